//! Retry budget of a service, shared by all hosts. Each host spends its own portion of the budget
//! within a sliding window.

use std::collections;

use base::clock;

/// RetryLimit on retries of one service, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimit {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed per window in addition to `ratio`, over all hosts.
    pub base_retries: f64,
    /// Length of the sliding window.
    pub window: clock::Millis,
}

/// Share of the limit that hosts spend. The margin keeps the limit when requests are counted late.
const SPENDABLE_SHARE: f64 = 0.8;

/// Requests and retries of one service at this host within the last window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: collections::VecDeque<clock::Millis>,
    retries: collections::VecDeque<clock::Millis>,
}

impl RetryBudget {
    /// Records a request received from a client.
    pub fn record_request(&mut self, now: clock::Millis, limit: &RetryLimit) {
        drop_expired(&mut self.requests, now, limit.window);
        self.requests.push_back(now);
    }

    /// Whether this host may retry, given that the budget is divided among `hosts` hosts.
    pub fn has_capacity(&mut self, now: clock::Millis, limit: &RetryLimit, hosts: u32) -> bool {
        drop_expired(&mut self.requests, now, limit.window);
        drop_expired(&mut self.retries, now, limit.window);
        let base_retries = limit.base_retries / f64::from(hosts.max(1));
        let allowed = SPENDABLE_SHARE * (limit.ratio * self.requests.len() as f64 + base_retries);
        self.retries.len() as f64 + 1.0 <= allowed
    }

    /// Records a retry if [`Self::has_capacity`] allows it. Returns whether it did.
    pub fn try_spend(&mut self, now: clock::Millis, limit: &RetryLimit, hosts: u32) -> bool {
        let available = self.has_capacity(now, limit, hosts);
        if available {
            self.retries.push_back(now);
        }
        available
    }
}

fn drop_expired(
    times: &mut collections::VecDeque<clock::Millis>,
    now: clock::Millis,
    window: clock::Millis,
) {
    while times.front().is_some_and(|t| now.since(*t) > window) {
        times.pop_front();
    }
}
