//! The view that requests read: items indexed for look-up, changed in place. It is the only copy
//! of the configuration that a host keeps; names that recur share their memory.

use std::collections;
use std::sync;

use base::name;

use crate::{document, item, key, log};

/// Items indexed for the request path.
#[derive(Debug, Default)]
pub struct View {
    /// The revision shown.
    pub revision: u64,
    keys: collections::HashMap<[u8; 32], Key>,
    teams: collections::HashMap<name::Team, sync::Arc<document::Team>>,
    classes: collections::HashMap<name::Class, sync::Arc<document::Class>>,
    services: collections::HashMap<name::Service, sync::Arc<document::Service>>,
    models: collections::HashMap<String, name::Service>,
}

#[derive(Debug)]
struct Key {
    team: name::Team,
    withdrawn: bool,
}

impl View {
    /// A view of the items of `state`.
    pub fn new(state: &log::State) -> Self {
        let mut out = Self {
            revision: state.revision,
            ..Self::default()
        };
        for item in state.items.values() {
            out.put(item);
        }
        out
    }

    /// Applies one change.
    pub fn apply(&mut self, change: &item::Change) {
        match change {
            item::Change::Put(item) => self.put(item),
            item::Change::Remove(id) => self.remove(id),
        }
    }

    fn put(&mut self, item: &item::Item) {
        match item {
            item::Item::Class(c) => {
                self.classes
                    .insert(c.name.clone(), sync::Arc::new(c.clone()));
            }
            item::Item::Team(t) => self.put_team(t),
            item::Item::Service(s) => self.put_service(s),
            item::Item::Key(k) => self.put_key(k),
        }
    }

    fn put_service(&mut self, s: &document::Service) {
        self.models.retain(|_, name| name != &s.name);
        for model in &s.models {
            self.models.insert(model.clone(), s.name.clone());
        }
        self.services
            .insert(s.name.clone(), sync::Arc::new(s.clone()));
    }

    fn put_team(&mut self, t: &document::Team) {
        let known = |name: &name::Class| match self.classes.get_key_value(name) {
            Some((shared, _)) => shared.clone(),
            None => name.clone(),
        };
        let classes = t.classes.iter().map(known).collect();
        let team = document::Team {
            name: t.name.clone(),
            weight: t.weight,
            classes,
        };
        self.teams.insert(t.name.clone(), sync::Arc::new(team));
    }

    fn put_key(&mut self, k: &item::Key) {
        let Some(digest) = key::bytes(&k.digest) else {
            return;
        };
        if self.keys.get(&digest).is_some_and(|old| old.withdrawn) {
            return;
        }
        let team = match self.teams.get_key_value(&k.team) {
            Some((shared, _)) => shared.clone(),
            None => k.team.clone(),
        };
        self.keys.insert(
            digest,
            Key {
                team,
                withdrawn: k.withdrawn,
            },
        );
    }

    /// All items, in the order in which they can be put into an empty view.
    pub fn items(&self) -> impl Iterator<Item = item::Item> {
        let classes = self
            .classes
            .values()
            .map(|c| item::Item::Class((**c).clone()));
        let teams = self.teams.values().map(|t| item::Item::Team((**t).clone()));
        let services = self
            .services
            .values()
            .map(|s| item::Item::Service((**s).clone()));
        let keys = self.keys.iter().map(|(digest, k)| {
            let digest = key::hex(digest);
            item::Item::Key(item::Key {
                digest,
                team: k.team.clone(),
                withdrawn: k.withdrawn,
            })
        });
        classes.chain(teams).chain(services).chain(keys)
    }

    /// Applies a log entry if it is the next one; tells whether it was.
    pub fn advance(&mut self, entry: &log::Entry) -> bool {
        if entry.revision != self.revision + 1 {
            return false;
        }
        for change in &entry.changes {
            self.apply(change);
        }
        self.revision = entry.revision;
        true
    }

    fn remove(&mut self, id: &item::Id) {
        match id {
            item::Id::Class(n) => {
                self.classes.remove(n);
            }
            item::Id::Team(n) => {
                self.teams.remove(n);
            }
            item::Id::Service(n) => {
                self.services.remove(n);
                self.models.retain(|_, name| name != n);
            }
            item::Id::Key(_) => {}
        }
    }

    /// The team of a working key, by the key's digest.
    pub fn team_of(&self, digest: &str) -> Option<sync::Arc<document::Team>> {
        let key = self.keys.get(&key::bytes(digest)?)?;
        if key.withdrawn {
            return None;
        }
        self.teams.get(&key.team).cloned()
    }

    /// Whether a key is known and withdrawn.
    pub fn is_withdrawn(&self, digest: &[u8; 32]) -> bool {
        self.keys.get(digest).is_some_and(|k| k.withdrawn)
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<sync::Arc<document::Team>> {
        self.teams.get(name).cloned()
    }

    /// A class by name.
    pub fn class(&self, name: &str) -> Option<sync::Arc<document::Class>> {
        self.classes.get(name).cloned()
    }

    /// The class of the lowest tier, for callers without a key; the first by name of several.
    pub fn lowest_class(&self) -> Option<sync::Arc<document::Class>> {
        let rank = |c: &&sync::Arc<document::Class>| (c.tier, std::cmp::Reverse(c.name.clone()));
        self.classes.values().max_by_key(rank).cloned()
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<sync::Arc<document::Service>> {
        self.services.get(name).cloned()
    }

    /// The service that serves a model.
    pub fn service_of(&self, model: &str) -> Option<sync::Arc<document::Service>> {
        self.service(self.models.get(model)?.as_str())
    }

    /// All models, in no order.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.models.keys().map(String::as_str)
    }

    /// All services, in no order.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<document::Service>> {
        self.services.values()
    }

    /// How many teams there are.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}
