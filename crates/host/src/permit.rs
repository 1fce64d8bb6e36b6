//! Permit for a granted upstream slot, held while the request runs.

use std::sync;

use base::{clock, name};
use peer::message;
use policy::request;

use crate::{admission, waiter};

/// Granted upstream slot, returned to the dispatcher on drop. A permit that is dropped without
/// [`Permit::finish`] counts as stopped.
pub struct Permit {
    admission: sync::Arc<admission::Admission>,
    request: message::SlotRequest,
    waiter: sync::Arc<waiter::Waiter>,
    /// Upstream on which the request runs.
    pub upstream: name::Upstream,
    granted_at: clock::Millis,
    finished: bool,
}

impl Permit {
    /// Creates the permit for a slot on `upstream` that was granted to `request` just now.
    pub(crate) fn new(
        admission: sync::Arc<admission::Admission>,
        request: message::SlotRequest,
        waiter: sync::Arc<waiter::Waiter>,
        upstream: name::Upstream,
    ) -> Self {
        let granted_at = admission.now();
        Self {
            admission,
            request,
            waiter,
            upstream,
            granted_at,
            finished: false,
        }
    }

    /// Whether the request has to stop because a request of a higher tier needs the slot.
    pub fn is_preempted(&self) -> bool {
        self.waiter.lock().preempted
    }

    /// Time at which the slot was granted.
    pub fn granted_at(&self) -> clock::Millis {
        self.granted_at
    }

    /// Returns the slot to the dispatcher. `tokens` is the number of generated tokens and `ttft`
    /// the time from the grant to the first token.
    pub fn finish(mut self, outcome: request::Outcome, tokens: u32, ttft: clock::Millis) {
        self.release(outcome, tokens, ttft);
    }

    fn release(&mut self, outcome: request::Outcome, tokens: u32, ttft: clock::Millis) {
        if self.finished {
            return;
        }
        self.finished = true;
        let total = self.admission.now().since(self.granted_at);
        self.admission.release(
            &self.request,
            &request::RunStats {
                outcome,
                tokens,
                ttft,
                total,
            },
        );
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.release(request::Outcome::Stopped, 0, clock::Millis::ZERO);
    }
}
