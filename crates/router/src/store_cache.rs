//! Contents of the store as this host knows them, for the hosts that follow it.

use std::cell;
use std::collections;
use std::rc;

use base::{faulty_keys, name};
use tokio::sync::watch;

use crate::{dc_drain, revision};

/// Number of keys of removed entries that are remembered, so that delayed messages do not restore
/// these entries.
const MAX_REMOVED_KEYS: usize = 4_096;

/// Store revision of a write, and the bytes written.
type VersionedValue = (revision::Revision, rc::Rc<[u8]>);

/// Contents of the store as last read by this host or relayed to it.
pub struct StoreCache {
    config: cell::RefCell<Option<rc::Rc<[u8]>>>,
    upstreams: cell::RefCell<collections::BTreeMap<String, VersionedValue>>,
    removed: cell::RefCell<collections::HashMap<String, revision::Revision>>,
    revision: cell::Cell<revision::Revision>,
    drained_dcs: cell::RefCell<Option<dc_drain::DrainedDcs>>,
    /// Entries that were logged as unusable.
    pub faulty_keys: faulty_keys::FaultyKeys,
    changes: watch::Sender<u64>,
}

impl Default for StoreCache {
    fn default() -> Self {
        Self {
            config: cell::RefCell::default(),
            upstreams: cell::RefCell::default(),
            removed: cell::RefCell::default(),
            revision: cell::Cell::new(revision::Revision::NONE),
            drained_dcs: cell::RefCell::default(),
            faulty_keys: faulty_keys::FaultyKeys::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl StoreCache {
    /// Wakes the tasks that send the contents, and the leader's digest, to followers.
    pub fn notify_change(&self) {
        self.changes.send_modify(|n| *n += 1);
    }

    /// Stores the current configuration.
    pub fn set_config(&self, bytes: &[u8]) {
        *self.config.borrow_mut() = Some(bytes.into());
        self.notify_change();
    }

    /// Stores an upstream's entry. Returns whether it is at least as new as the known one: other
    /// hosts may lag behind the store.
    pub fn put(&self, key: &str, revision: revision::Revision, value: &[u8]) -> bool {
        // A restored store has lost the removal, so what its copy holds was written before it.
        if self
            .removed
            .borrow()
            .get(key)
            .is_some_and(|at| *at >= revision || at.number() >= revision.number())
        {
            return false;
        }
        if self.is_newer(key, revision) {
            return false;
        }
        if self.has_write(key, revision, value) {
            return true;
        }
        let mut upstreams = self.upstreams.borrow_mut();
        upstreams.insert(key.to_owned(), (revision, value.into()));
        drop(upstreams);
        self.notify_change();
        true
    }

    /// Whether the entry of `key` was written after revision `at`.
    pub fn is_newer(&self, key: &str, at: revision::Revision) -> bool {
        self.upstreams
            .borrow()
            .get(key)
            .is_some_and(|(r, _)| *r > at)
    }

    /// Whether a write of the entry of `key` is the known one. A restored store returns the writes of its copy
    /// with their numbers, but in the new era.
    pub fn has_write(&self, key: &str, revision: revision::Revision, value: &[u8]) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.get(key).is_some_and(|(known, bytes)| {
            *known == revision || known.number() == revision.number() && **bytes == *value
        })
    }

    /// Whether a write of the entry of `key` may be older than the known one although its era is later: a
    /// restored store returns writes of its copy, whose numbers are lower than those of the writes it lost.
    pub fn may_be_copied(&self, key: &str, revision: revision::Revision) -> bool {
        let upstreams = self.upstreams.borrow();
        upstreams.get(key).is_some_and(|(known, _)| {
            known.era() < revision.era() && known.number() >= revision.number()
        })
    }

    /// Removes an upstream's entry that is missing at store revision `at`, and remembers the
    /// removal.
    pub fn remove(&self, key: &str, at: revision::Revision) {
        self.upstreams.borrow_mut().remove(key);
        let mut removed = self.removed.borrow_mut();
        if removed.len() >= MAX_REMOVED_KEYS {
            removed.clear();
        }
        removed.insert(key.to_owned(), at);
        drop(removed);
        self.notify_change();
    }

    /// Advances the store revision up to which the list of upstreams is complete.
    pub fn advance_to(&self, revision: revision::Revision) {
        self.revision.set(self.revision.get().max(revision));
    }

    /// Stores the data centres that are being drained, unless they are known up to a later revision.
    /// Returns those known before, or `None` if nothing was stored.
    pub fn set_drained_dcs(
        &self,
        drained: dc_drain::DrainedDcs,
    ) -> Option<collections::BTreeSet<name::Dc>> {
        let mut known = self.drained_dcs.borrow_mut();
        if known
            .as_ref()
            .is_some_and(|k| k.revision > drained.revision)
        {
            return None;
        }
        let changed = known.as_ref().is_none_or(|k| k.dcs != drained.dcs);
        let before = known.replace(drained);
        drop(known);
        if changed {
            self.notify_change();
        }
        Some(before.unwrap_or_default().dcs)
    }

    /// Data centres that are being drained; `None` until they have been read.
    pub fn drained_dcs(&self) -> Option<dc_drain::DrainedDcs> {
        self.drained_dcs.borrow().clone()
    }

    /// Subscribes to changes of the contents.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Current configuration as stored; `None` until one has been read.
    pub fn config(&self) -> Option<rc::Rc<[u8]>> {
        self.config.borrow().clone()
    }

    /// Known entries of upstreams by key.
    pub fn upstreams(&self) -> cell::Ref<'_, collections::BTreeMap<String, VersionedValue>> {
        self.upstreams.borrow()
    }

    /// Store revision up to which the list of upstreams is complete.
    pub fn revision(&self) -> revision::Revision {
        self.revision.get()
    }

    /// Keys of the known entries of upstreams.
    pub fn keys(&self) -> Vec<String> {
        self.upstreams.borrow().keys().cloned().collect()
    }
}
