//! A breaker for each upstream that can't take a whole service out.

use base::clock;

/// Failures in a row that open a breaker.
const TRIP: u32 = 3;
/// First pause of an open breaker.
const FIRST_PAUSE: clock::Millis = clock::Millis(500);
/// Longest pause of an open breaker.
const MAX_PAUSE: clock::Millis = clock::Millis(15_000);

/// Counts failures in a row and pauses the upstream after some.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    until: clock::Millis,
    pause: clock::Millis,
}

impl Breaker {
    /// Notes a success: the breaker closes.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure.
    pub fn record_failure(&mut self, now: clock::Millis) {
        self.failures += 1;
        if self.failures < TRIP {
            return;
        }
        let next = if self.pause == clock::Millis::ZERO {
            FIRST_PAUSE
        } else {
            clock::Millis(self.pause.0 * 2)
        };
        self.pause = next.min(MAX_PAUSE);
        self.until = now + self.pause;
    }

    /// Whether requests should go elsewhere.
    pub fn is_open(&self, now: clock::Millis) -> bool {
        now < self.until
    }

    /// Whether it lets a trial through after a pause: one request at a time.
    pub fn is_half_open(&self, now: clock::Millis) -> bool {
        self.failures >= TRIP && now >= self.until
    }
}
