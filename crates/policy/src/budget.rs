//! Retries under a budget: a share of the successes, so that retries can't multiply a failure.

/// Tokens of the budget earned by a success, in thousandths of a retry.
const EARNED: u32 = 100;
/// The most that can be saved, in thousandths of a retry.
const MAX_SAVED: u32 = 20_000;
/// What a retry costs, in thousandths of a retry.
const COST: u32 = 1_000;

/// A retry budget of one service on one host.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    saved: u32,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED / 2,
        }
    }
}

impl Budget {
    /// Notes a success.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MAX_SAVED);
    }

    /// Takes one retry, if the budget holds one.
    pub fn spend(&mut self) -> bool {
        if self.saved < COST {
            return false;
        }
        self.saved -= COST;
        true
    }
}
