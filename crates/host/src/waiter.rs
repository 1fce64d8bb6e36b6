//! What one request waits on for its decision.

use std::sync;
use std::time;

use base::{clock, name};
use policy::request;

/// Where a request was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// At this host's own dispatcher.
    Own,
    /// By another host.
    Peer(name::Host),
}

/// What has come for a request so far.
#[derive(Debug, Default)]
pub struct Slot {
    /// The decision and who took it.
    pub decision: Option<(request::Decision, Source)>,
    /// Whether the dispatcher said that the request waits there.
    pub heard: bool,
    /// Whether the request has to stop for a higher tier.
    pub stopped: bool,
}

/// What one request waits on.
#[derive(Debug, Default)]
pub struct Waiter {
    slot: sync::Mutex<Slot>,
    changed: sync::Condvar,
}

impl Waiter {
    /// What has come so far.
    pub fn lock(&self) -> sync::MutexGuard<'_, Slot> {
        self.slot
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Changes what has come, and wakes the request.
    pub fn change(&self, change: impl FnOnce(&mut Slot)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Waits until `ready` holds or `limit` has passed.
    pub fn wait(
        &self,
        limit: clock::Millis,
        ready: impl Fn(&Slot) -> bool,
    ) -> sync::MutexGuard<'_, Slot> {
        let end = time::Instant::now() + limit.duration();
        let mut slot = self.lock();
        while !ready(&slot) {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(slot, left);
            slot = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        slot
    }
}
