//! Configuration items: the units in which a configuration is changed.

use std::collections;

use base::name;
use serde::{Deserialize, Serialize};

use crate::{document, key};

/// A configuration item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A request class with its targets.
    Class(document::Class),
    /// A team with its weight and classes.
    Team(document::Team),
    /// A service with its models and upstreams.
    Service(document::Service),
    /// An API key of a team.
    Key(Key),
}

/// An API key of a team. The entry of a withdrawn key is kept, so that the key can't become valid
/// again.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Key {
    /// SHA-256 digest of the key in hexadecimal.
    pub digest: String,
    /// Team that the key authenticates.
    pub team: name::Team,
    /// Whether the key is withdrawn and no longer accepted.
    pub withdrawn: bool,
}

/// Identifies a configuration item. The variants are ordered as items are applied: classes before
/// teams before services.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Id {
    /// A request class, by name.
    Class(name::Class),
    /// A team, by name.
    Team(name::Team),
    /// A service, by name.
    Service(name::Service),
    /// An API key, by its SHA-256 digest in hexadecimal.
    Key(String),
}

impl Item {
    /// Returns the identifier of the item.
    pub fn id(&self) -> Id {
        match self {
            Self::Class(c) => Id::Class(c.name.clone()),
            Self::Team(t) => Id::Team(t.name.clone()),
            Self::Service(s) => Id::Service(s.name.clone()),
            Self::Key(k) => Id::Key(k.digest.clone()),
        }
    }
}

/// All configuration items of an environment.
pub type Items = collections::BTreeMap<Id, Item>;

/// A change to one configuration item.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds the item, or replaces the item with the same identifier.
    Put(Item),
    /// Removes the item with this identifier.
    Remove(Id),
}

/// Converts a document to configuration items.
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

/// Returns the changes that turn `old` into `new`. API keys are never removed, because a document
/// does not contain them.
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

/// Applies a change to `items`. A withdrawn key stays withdrawn, whatever later changes contain.
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

/// Computes the digest of all items except API keys. A promotion names the document by this digest.
pub fn digest(items: &Items) -> String {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    for (id, item) in items {
        if matches!(id, Id::Key(_)) {
            continue;
        }
        hasher.update(serde_json::to_vec(item).unwrap_or_default());
        hasher.update(b"\n");
    }
    key::hex(&hasher.finalize())
}
