//! Retries under a budget: a share of the successes, so that retries can't multiply a failure,
//! and a small rate besides, so that a site with little traffic can retry too.

use base::clock;

/// Tokens of the budget earned by a success, in thousandths of a retry.
const EARNED: u32 = 100;
/// Tokens of the budget earned by time, in thousandths of a retry a millisecond.
const RATE: u64 = 2;
/// The most that can be saved, in thousandths of a retry.
const MAX_SAVED: u32 = 20_000;
/// What a retry costs, in thousandths of a retry.
const COST: u32 = 1_000;

/// A retry budget of one service on one host.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: u32,
    at: clock::Millis,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED / 2,
            at: clock::Millis::ZERO,
        }
    }
}

impl Budget {
    /// Notes a success.
    pub fn deposit(&mut self) {
        self.saved = (self.saved + EARNED).min(MAX_SAVED);
    }

    /// Takes one retry, if the budget holds one.
    pub fn try_spend(&mut self, now: clock::Millis) -> bool {
        let earned = (now.since(self.at).0 * RATE).min(u64::from(MAX_SAVED)) as u32;
        self.saved = (self.saved + earned).min(MAX_SAVED);
        self.at = now;
        if self.saved < COST {
            return false;
        }
        self.saved -= COST;
        true
    }
}
