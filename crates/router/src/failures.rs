//! Failures of an upstream, as far as they make it less suited for the next request.

use base::clock;

/// Consecutive failures after which an upstream is avoided for a backoff period.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Initial backoff period of a failing upstream.
const MIN_BACKOFF_DELAY: clock::Millis = clock::Millis(400);
/// Upper bound on the backoff period of a failing upstream.
const MAX_BACKOFF_DELAY: clock::Millis = clock::Millis(3_000);
/// Divisor of the exponential moving average of failures: the latest outcome has weight `1 / N`.
const FAILURE_RATE_SMOOTHING: f64 = 10.0;
/// Cost added for an upstream in backoff, and for a failure rate of 1, in milliseconds.
const FAILURE_COST_MS: f64 = 2_000.0;

/// Failures of one upstream.
#[derive(Debug, Default)]
pub struct Failures {
    consecutive: u32,
    /// Moving average of failures among all requests, from 0 to 1.
    rate: f64,
    backoff: clock::Millis,
    backoff_until: clock::Millis,
}

impl Failures {
    /// Records a request that went well.
    pub fn record_success(&mut self) {
        self.consecutive = 0;
        self.backoff = clock::Millis::ZERO;
        self.backoff_until = clock::Millis::ZERO;
        self.rate -= self.rate / FAILURE_RATE_SMOOTHING;
    }

    /// Records a failed request. It raises the cost of the upstream; several consecutive failures
    /// start a backoff period, which doubles with each further failure.
    pub fn record_failure(&mut self, now: clock::Millis) {
        self.consecutive += 1;
        self.rate += (1.0 - self.rate) / FAILURE_RATE_SMOOTHING;
        if self.consecutive < FAILURES_BEFORE_BACKOFF {
            return;
        }
        let backoff = clock::Millis(self.backoff.0 * 2).max(MIN_BACKOFF_DELAY);
        self.backoff = backoff.min(MAX_BACKOFF_DELAY);
        self.backoff_until = now + self.backoff;
    }

    /// Cost of the upstream for its failures, in milliseconds.
    pub fn cost_ms(&self, now: clock::Millis) -> f64 {
        let backoff = if now < self.backoff_until { 1.0 } else { 0.0 };
        (self.rate + backoff) * FAILURE_COST_MS
    }
}
