//! Retry budget.
//!
//! Retries are limited to a fraction of the successful requests, so that they can't amplify an
//! outage. A small constant rate is added, so that a service with little traffic can retry too.

use base::clock;

/// Amount that a success adds to the budget, in thousandths of a retry.
const DEPOSIT_MILLIRETRIES: u32 = 100;
/// Amount that each millisecond adds to the budget, in thousandths of a retry.
const MILLIRETRIES_PER_MS: u64 = 2;
/// Maximum balance of the budget, in thousandths of a retry.
const MAX_BALANCE_MILLIRETRIES: u32 = 20_000;
/// Cost of one retry, in thousandths of a retry.
const RETRY_COST_MILLIRETRIES: u32 = 1_000;

/// A token bucket that limits the retries of one host.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: u32,
    updated_at: clock::Millis,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_BALANCE_MILLIRETRIES / 2,
            updated_at: clock::Millis::ZERO,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for a successful request.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + DEPOSIT_MILLIRETRIES).min(MAX_BALANCE_MILLIRETRIES);
    }

    /// Takes one retry from the budget. Returns false if the balance is too low.
    pub fn try_spend(&mut self, now: clock::Millis) -> bool {
        let earned = (now.since(self.updated_at).0 * MILLIRETRIES_PER_MS)
            .min(u64::from(MAX_BALANCE_MILLIRETRIES)) as u32;
        self.balance = (self.balance + earned).min(MAX_BALANCE_MILLIRETRIES);
        self.updated_at = now;
        if self.balance < RETRY_COST_MILLIRETRIES {
            return false;
        }
        self.balance -= RETRY_COST_MILLIRETRIES;
        true
    }
}
