//! Repeats under a budget that all hosts share: each spends its part of it in sliding windows.

use std::collections;

use base::clock;

/// The bound on repeats of one service over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, in a window.
    pub base_retries: f64,
    /// Length of a window.
    pub window: clock::Millis,
}

/// Part of the bound that is spent, so that requests counted late break nothing.
const USED: f64 = 0.8;

/// Requests and repeats of one service at one host, in the last window.
#[derive(Debug, Default)]
pub struct Budget {
    requests: collections::VecDeque<clock::Millis>,
    retries: collections::VecDeque<clock::Millis>,
}

impl Budget {
    /// Notes a caller's request.
    pub fn record_request(&mut self, now: clock::Millis, bound: &Limit) {
        trim(&mut self.requests, now, bound.window);
        self.requests.push_back(now);
    }

    /// Whether this host's part of the budget, one of `hosts`, holds a repeat.
    pub fn has_capacity(&mut self, now: clock::Millis, bound: &Limit, hosts: u32) -> bool {
        trim(&mut self.requests, now, bound.window);
        trim(&mut self.retries, now, bound.window);
        let extra = bound.base_retries / f64::from(hosts.max(1));
        let allowed = USED * (bound.ratio * self.requests.len() as f64 + extra);
        self.retries.len() as f64 + 1.0 <= allowed
    }

    /// Takes one repeat if this host's part holds it.
    pub fn try_spend(&mut self, now: clock::Millis, bound: &Limit, hosts: u32) -> bool {
        let holds = self.has_capacity(now, bound, hosts);
        if holds {
            self.retries.push_back(now);
        }
        holds
    }
}

fn trim(times: &mut collections::VecDeque<clock::Millis>, now: clock::Millis, w: clock::Millis) {
    while times.front().is_some_and(|t| now.since(*t) > w) {
        times.pop_front();
    }
}
