//! The view that requests read: items indexed for look-up, changed in place.

use std::collections;
use std::sync;

use base::name;

use crate::{document, item};

/// Items indexed for the request path.
#[derive(Debug, Default)]
pub struct View {
    /// The revision shown.
    pub revision: u64,
    keys: collections::HashMap<String, Key>,
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
    /// A view of all `items` at `revision`.
    pub fn new(revision: u64, items: &item::Items) -> Self {
        let mut out = Self {
            revision,
            ..Self::default()
        };
        for item in items.values() {
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
            item::Item::Team(t) => {
                self.teams.insert(t.name.clone(), sync::Arc::new(t.clone()));
            }
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

    fn put_key(&mut self, k: &item::Key) {
        if self.keys.get(&k.digest).is_some_and(|old| old.withdrawn) {
            return;
        }
        let key = Key {
            team: k.team.clone(),
            withdrawn: k.withdrawn,
        };
        self.keys.insert(k.digest.clone(), key);
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
        let key = self.keys.get(digest)?;
        if key.withdrawn {
            return None;
        }
        self.teams.get(&key.team).cloned()
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
