//! Whether a failed send may be repeated, and how it ends if not.

use std::sync;

use base::{clock, refusal};
use policy::budget;

use crate::{metrics, upstream};

/// The retry budget of a host.
#[derive(Debug, Default)]
pub struct Budget(sync::Mutex<budget::RetryBudget>);

impl Budget {
    fn lock(&self) -> sync::MutexGuard<'_, budget::RetryBudget> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes a success.
    pub fn earn(&self) {
        self.lock().deposit();
    }

    /// Takes one retry, if there is one.
    pub fn spend(&self) -> bool {
        self.lock().try_spend(clock::Clock::System.now())
    }
}

/// A failed send.
#[derive(Clone, Copy, Debug)]
pub struct Retry {
    /// Why it failed.
    pub reason: metrics::Retry,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

impl Retry {
    /// Whether it may go out again. Work stopped for a higher tier always may: it did not fail.
    pub fn is_allowed(&self, budget: &Budget) -> bool {
        match self.reason {
            metrics::Retry::Preempted => true,
            metrics::Retry::Connect | metrics::Retry::Refused => budget.spend(),
            metrics::Retry::Broken | metrics::Retry::Slow => self.repeatable && budget.spend(),
        }
    }
}

/// The counter's reason for a failed send.
pub fn reason(error: upstream::Error) -> metrics::Retry {
    match error {
        upstream::Error::NotSent => metrics::Retry::Connect,
        upstream::Error::Refused | upstream::Error::Rejected(_) => metrics::Retry::Refused,
        upstream::Error::Broken | upstream::Error::Timeout => metrics::Retry::Broken,
    }
}

/// Whether the upstream may have run what failed.
pub fn may_have_run(error: upstream::Error) -> bool {
    matches!(error, upstream::Error::Broken | upstream::Error::Timeout)
}

/// The refusal of a request whose last send failed for good. An earlier send may have run all the
/// same: the caller of this function knows.
pub fn refusal(error: upstream::Error) -> refusal::Refusal {
    let reason = match error {
        upstream::Error::Timeout => refusal::Reason::UpstreamTimeout,
        upstream::Error::NotSent | upstream::Error::Refused => refusal::Reason::NoUpstream,
        upstream::Error::Rejected(_) => refusal::Reason::BadRequest,
        upstream::Error::Broken => refusal::Reason::UpstreamFailed,
    };
    if may_have_run(error) {
        return refusal::Refusal::unknown(reason);
    }
    refusal::Refusal::not_run(reason)
}
