//! Circuit breaker for a single upstream.
//!
//! The breaker only says whether requests should go to another upstream. [`crate::pool`] still
//! sends single requests when every breaker is open, so breakers can't make a whole service
//! unavailable.

use base::clock;

/// Consecutive failures that open a breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// First delay before an open breaker admits a request.
const INITIAL_OPEN_DELAY: clock::Millis = clock::Millis(500);
/// Longest delay before an open breaker admits a request.
const MAX_OPEN_DELAY: clock::Millis = clock::Millis(15_000);

/// Counts consecutive failures of an upstream and blocks requests to it with exponential backoff.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    open_until: clock::Millis,
    open_delay: clock::Millis,
}

impl Breaker {
    /// Records a success, which closes the breaker.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure. After enough consecutive failures the breaker opens; each further
    /// failure doubles the delay, up to a maximum.
    pub fn record_failure(&mut self, now: clock::Millis) {
        self.failures += 1;
        if self.failures < FAILURE_THRESHOLD {
            return;
        }
        let next = if self.open_delay == clock::Millis::ZERO {
            INITIAL_OPEN_DELAY
        } else {
            clock::Millis(self.open_delay.0 * 2)
        };
        self.open_delay = next.min(MAX_OPEN_DELAY);
        self.open_until = now + self.open_delay;
    }

    /// Whether the breaker is open, so that requests should go to other upstreams.
    pub fn is_open(&self, now: clock::Millis) -> bool {
        now < self.open_until
    }

    /// Whether the delay of an open breaker has passed, so that one request at a time may test
    /// the upstream.
    pub fn is_half_open(&self, now: clock::Millis) -> bool {
        self.failures >= FAILURE_THRESHOLD && now >= self.open_until
    }
}
