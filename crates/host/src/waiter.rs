//! State on which the thread of a request waits for the decision of a dispatcher.

use std::sync;
use std::time;

use base::{clock, name};
use policy::request;

/// Dispatcher that made a decision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecisionSource {
    /// The local dispatcher of this host.
    Local,
    /// The dispatcher on another host.
    Peer(name::Host),
}

/// Notifications that a request has received from its dispatcher so far.
#[derive(Debug, Default)]
pub struct Status {
    /// Decision and the dispatcher that made it; `None` while the request waits.
    pub decision: Option<(request::Decision, DecisionSource)>,
    /// Whether the dispatcher has confirmed that the request is in its queue.
    pub queued: bool,
    /// Whether the request has to stop because a request of a higher tier needs its slot.
    pub preempted: bool,
}

/// Status of a request and a condition variable that signals its changes.
#[derive(Debug, Default)]
pub struct Waiter {
    status: sync::Mutex<Status>,
    changed: sync::Condvar,
}

impl Waiter {
    /// Locks and returns the status.
    pub fn lock(&self) -> sync::MutexGuard<'_, Status> {
        self.status
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Changes the status and wakes the thread of the request.
    pub fn update(&self, change: impl FnOnce(&mut Status)) {
        change(&mut self.lock());
        self.changed.notify_all();
    }

    /// Waits until `ready` returns true or `limit` has passed; returns the status in either case.
    pub fn wait(
        &self,
        limit: clock::Millis,
        ready: impl Fn(&Status) -> bool,
    ) -> sync::MutexGuard<'_, Status> {
        let deadline = time::Instant::now() + limit.duration();
        let mut status = self.lock();
        while !ready(&status) {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(status, remaining);
            status = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        status
    }
}
