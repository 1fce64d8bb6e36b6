//! A granted slot, held while its request runs.

use std::sync;

use base::{clock, name};
use peer::message;
use policy::request;

use crate::{admission, waiter};

/// A granted slot. Dropped without [`Permit::finish`], it counts as stopped.
pub struct Permit {
    admission: sync::Arc<admission::Admission>,
    ask: message::SlotRequest,
    waiter: sync::Arc<waiter::Waiter>,
    /// Where the request runs.
    pub upstream: name::Upstream,
    started: clock::Millis,
    ended: bool,
}

impl Permit {
    /// The slot that `ask` was granted on `upstream` now.
    pub(crate) fn new(
        admission: sync::Arc<admission::Admission>,
        ask: message::SlotRequest,
        waiter: sync::Arc<waiter::Waiter>,
        upstream: name::Upstream,
    ) -> Self {
        let started = admission.now();
        Self {
            admission,
            ask,
            waiter,
            upstream,
            started,
            ended: false,
        }
    }

    /// Whether the request has to stop for a higher tier.
    pub fn is_preempted(&self) -> bool {
        self.waiter.lock().stopped
    }

    /// When the slot was granted.
    pub fn granted_at(&self) -> clock::Millis {
        self.started
    }

    /// Gives the slot back.
    pub fn finish(mut self, outcome: request::Outcome, tokens: u32, first: clock::Millis) {
        self.end(outcome, tokens, first);
    }

    fn end(&mut self, outcome: request::Outcome, tokens: u32, first: clock::Millis) {
        if self.ended {
            return;
        }
        self.ended = true;
        let total = self.admission.now().since(self.started);
        self.admission.leave(
            &self.ask,
            &request::RunStats {
                outcome,
                tokens,
                ttft: first,
                total,
            },
        );
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(request::Outcome::Stopped, 0, clock::Millis::ZERO);
    }
}
