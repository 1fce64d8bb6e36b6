//! Items: the pieces of a configuration that change one by one.

use std::collections;

use base::name;
use serde::{Deserialize, Serialize};

use crate::{document, key};

/// One piece of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A request class.
    Class(document::Class),
    /// A team.
    Team(document::Team),
    /// A service with its upstreams.
    Service(document::Service),
    /// A team's key.
    Key(Key),
}

/// A team's key. A withdrawn key stays as a withdrawn entry and is never issued again.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// SHA-256 of the key in hexadecimal.
    pub digest: String,
    /// The team it stands for.
    pub team: name::Team,
    /// Whether it has stopped working.
    pub withdrawn: bool,
}

/// Which piece an item is. The order is that of application: classes before teams before services.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Id {
    /// A class by name.
    Class(name::Class),
    /// A team by name.
    Team(name::Team),
    /// A service by name.
    Service(name::Service),
    /// A key by its digest.
    Key(String),
}

impl Item {
    /// The piece that this item describes.
    pub fn id(&self) -> Id {
        match self {
            Self::Class(c) => Id::Class(c.name.clone()),
            Self::Team(t) => Id::Team(t.name.clone()),
            Self::Service(s) => Id::Service(s.name.clone()),
            Self::Key(k) => Id::Key(k.digest.clone()),
        }
    }
}

/// All items of an environment.
pub type Items = collections::BTreeMap<Id, Item>;

/// One change of one item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds the item or replaces it.
    Put(Item),
    /// Removes the item.
    Remove(Id),
}

/// The items of a document.
pub fn items(doc: &document::Document) -> Items {
    let mut out = Items::new();
    for c in &doc.classes {
        out.insert(Id::Class(c.name.clone()), Item::Class(c.clone()));
    }
    for t in &doc.teams {
        out.insert(Id::Team(t.name.clone()), Item::Team(t.clone()));
    }
    for s in &doc.services {
        out.insert(Id::Service(s.name.clone()), Item::Service(s.clone()));
    }
    out
}

/// The changes that lead from `old` to `new`. Keys are left alone: a document doesn't carry them.
pub fn diff(old: &Items, new: &Items) -> Vec<Change> {
    let mut out = Vec::new();
    for (id, item) in new {
        if old.get(id) == Some(item) {
            continue;
        }
        out.push(Change::Put(item.clone()));
    }
    for id in old.keys() {
        if matches!(id, Id::Key(_)) || new.contains_key(id) {
            continue;
        }
        out.push(Change::Remove(id.clone()));
    }
    out
}

/// Applies one change. A withdrawn key stays withdrawn whatever comes later.
pub fn apply(items: &mut Items, change: &Change) {
    let item = match change {
        Change::Remove(Id::Key(_)) => return,
        Change::Remove(id) => {
            items.remove(id);
            return;
        }
        Change::Put(item) => item,
    };
    let id = item.id();
    if let Some(Item::Key(k)) = items.get(&id)
        && k.withdrawn
    {
        return;
    }
    items.insert(id, item.clone());
}

/// The digest of a document's items, keys left out: what a promotion names.
pub fn digest(items: &Items) -> String {
    use sha2::Digest as _;
    let mut hash = sha2::Sha256::new();
    for (id, item) in items {
        if matches!(id, Id::Key(_)) {
            continue;
        }
        hash.update(serde_json::to_vec(item).unwrap_or_default());
        hash.update(b"\n");
    }
    key::hex(&hash.finalize())
}
