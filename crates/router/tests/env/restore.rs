//! A store that comes back from an older copy.

use std::collections;

use base::clock;
use router::ports;

use super::Cluster;

/// What a restore does with the leases of the copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopiedLeases {
    /// They begin anew.
    Kept,
    /// They are gone, and their keys stay.
    Lost,
    /// They have ended, and their keys are removed.
    Ended,
}

/// Contents of the store at one time.
#[derive(Clone)]
pub struct StoreCopy {
    items: collections::BTreeMap<String, (ports::Item, u64)>,
    events: Vec<(u64, ports::WatchEvent)>,
    revision: u64,
    oldest_revision: u64,
    leases: collections::HashMap<u64, (clock::Millis, clock::Millis)>,
}

impl Cluster {
    /// Copies the contents as they are now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            items: self.items.borrow().clone(),
            events: self.events.borrow().clone(),
            revision: self.revision.get(),
            oldest_revision: self.oldest_revision.get(),
            leases: self.leases.borrow().clone(),
        }
    }

    /// Replaces the contents by a copy.
    pub fn restore(&self, copy: &StoreCopy, copied: CopiedLeases) {
        *self.items.borrow_mut() = copy.items.clone();
        *self.events.borrow_mut() = copy.events.clone();
        self.revision.set(copy.revision);
        self.oldest_revision.set(copy.oldest_revision);
        self.era.set(self.era.get() + 1);
        let mut leases = copy.leases.clone();
        let ids: Vec<u64> = leases.keys().copied().collect();
        for (end, ttl) in leases.values_mut() {
            *end = self.clock.now() + *ttl;
        }
        *self.leases.borrow_mut() = leases;
        match copied {
            CopiedLeases::Kept => {}
            CopiedLeases::Lost => self.leases.borrow_mut().clear(),
            CopiedLeases::Ended => {
                for id in ids {
                    self.revoke_lease(id);
                }
            }
        }
    }
}
