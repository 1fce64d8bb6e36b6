//! In-memory view of the configuration, indexed for lookups on the request path and updated in
//! place. A host keeps no other copy of the configuration; equal names share their memory.

use std::collections;
use std::sync;

use base::name;

use crate::{document, item, key, log};

/// Configuration items indexed for lookups on the request path.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Revision of the configuration in the view.
    pub revision: u64,
    keys: collections::HashMap<[u8; 32], KeyEntry>,
    teams: collections::HashMap<name::Team, sync::Arc<document::Team>>,
    classes: collections::HashMap<name::Class, sync::Arc<document::Class>>,
    services: collections::HashMap<name::Service, sync::Arc<document::Service>>,
    models: collections::HashMap<String, name::Service>,
}

/// API key of a team, indexed by digest.
#[derive(Clone, Debug)]
struct KeyEntry {
    team: name::Team,
    withdrawn: bool,
}

impl View {
    /// Creates a view of the items of `state`.
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

    /// Applies a change to the view. A withdrawn key stays withdrawn.
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
        let shared_name = |name: &name::Class| match self.classes.get_key_value(name) {
            Some((shared, _)) => shared.clone(),
            None => name.clone(),
        };
        let classes = t.classes.iter().map(shared_name).collect();
        let team = document::Team {
            name: t.name.clone(),
            weight: t.weight,
            classes,
        };
        self.teams.insert(t.name.clone(), sync::Arc::new(team));
    }

    fn put_key(&mut self, k: &item::Key) {
        let Some(digest) = key::parse_digest(&k.digest) else {
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
            KeyEntry {
                team,
                withdrawn: k.withdrawn,
            },
        );
    }

    /// Returns all items: classes, teams, services, then keys, the order in which a view is filled.
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

    /// Applies a log entry if it has the next revision; returns whether it was applied.
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

    /// Returns the team of the API key with `digest`; `None` if the key is unknown or withdrawn, or
    /// its team does not exist.
    pub fn team_by_key(&self, digest: &str) -> Option<sync::Arc<document::Team>> {
        let key = self.keys.get(&key::parse_digest(digest)?)?;
        if key.withdrawn {
            return None;
        }
        self.teams.get(&key.team).cloned()
    }

    /// Returns whether the API key with `digest` is known and withdrawn.
    pub fn is_withdrawn(&self, digest: &[u8; 32]) -> bool {
        self.keys.get(digest).is_some_and(|k| k.withdrawn)
    }

    /// Returns the team with this name, if it exists.
    pub fn team(&self, name: &str) -> Option<sync::Arc<document::Team>> {
        self.teams.get(name).cloned()
    }

    /// Returns the request class with this name, if it exists.
    pub fn class(&self, name: &str) -> Option<sync::Arc<document::Class>> {
        self.classes.get(name).cloned()
    }

    /// Returns the class of the lowest tier, which applies to requests without a key. If there are
    /// several, returns the first one by name.
    pub fn lowest_class(&self) -> Option<sync::Arc<document::Class>> {
        let rank = |c: &&sync::Arc<document::Class>| (c.tier, std::cmp::Reverse(c.name.clone()));
        self.classes.values().max_by_key(rank).cloned()
    }

    /// Returns the service with this name, if it exists.
    pub fn service(&self, name: &str) -> Option<sync::Arc<document::Service>> {
        self.services.get(name).cloned()
    }

    /// Returns the service that offers `model`, if there is one.
    pub fn service_by_model(&self, model: &str) -> Option<sync::Arc<document::Service>> {
        self.service(self.models.get(model)?.as_str())
    }

    /// Returns the names of all models, in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.models.keys().map(String::as_str)
    }

    /// Returns all services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &sync::Arc<document::Service>> {
        self.services.values()
    }

    /// Returns the number of teams in the configuration.
    pub fn team_count(&self) -> usize {
        self.teams.len()
    }
}
