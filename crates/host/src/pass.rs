//! A granted slot, held while its request runs.

use std::sync;

use base::{clock, name};
use peer::message;
use policy::ask;

use crate::{gate, waiter};

/// A granted slot. Dropped without [`Pass::finish`], it counts as stopped.
pub struct Pass {
    gate: sync::Arc<gate::Gate>,
    ask: message::Ask,
    waiter: sync::Arc<waiter::Waiter>,
    /// Where the request runs.
    pub upstream: name::Upstream,
    started: clock::Millis,
    ended: bool,
}

impl Pass {
    /// The slot that `ask` was granted on `upstream` now.
    pub(crate) fn new(
        gate: sync::Arc<gate::Gate>,
        ask: message::Ask,
        waiter: sync::Arc<waiter::Waiter>,
        upstream: name::Upstream,
    ) -> Self {
        let started = gate.now();
        Self {
            gate,
            ask,
            waiter,
            upstream,
            started,
            ended: false,
        }
    }

    /// Whether the request has to stop for a higher tier.
    pub fn is_stopped(&self) -> bool {
        self.waiter.lock().stopped
    }

    /// When the slot was granted.
    pub fn started(&self) -> clock::Millis {
        self.started
    }

    /// Gives the slot back.
    pub fn finish(mut self, outcome: ask::Outcome, tokens: u32, first: clock::Millis) {
        self.end(outcome, tokens, first);
    }

    fn end(&mut self, outcome: ask::Outcome, tokens: u32, first: clock::Millis) {
        if self.ended {
            return;
        }
        self.ended = true;
        let total = self.gate.now().since(self.started);
        self.gate.leave(
            &self.ask,
            &ask::Spent {
                outcome,
                tokens,
                first,
                total,
            },
        );
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.end(ask::Outcome::Stopped, 0, clock::Millis::ZERO);
    }
}
