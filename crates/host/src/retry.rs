//! Decides whether a failed attempt may be retried, and which refusal ends the request if not.

use std::sync;

use base::{clock, refusal};
use policy::budget;

use crate::{metrics, upstream};

/// Retry budget that all requests of a host share: successes add to it, retries take from it.
#[derive(Debug, Default)]
pub struct SharedRetryBudget(sync::Mutex<budget::RetryBudget>);

impl SharedRetryBudget {
    fn lock(&self) -> sync::MutexGuard<'_, budget::RetryBudget> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Adds the credit of one successful request.
    pub fn deposit(&self) {
        self.lock().deposit();
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn try_spend(&self) -> bool {
        self.lock().try_spend(clock::Clock::System.now())
    }
}

/// A failed attempt to run a request on an upstream.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Reason of the failure, as counted in the metrics.
    pub reason: metrics::RetryReason,
    /// Whether the request may be run more than once.
    pub retryable: bool,
}

impl FailedAttempt {
    /// Whether the request may be sent again, which takes one retry from the budget. A preempted
    /// request may always be sent again without using the budget, because it did not fail.
    pub fn may_retry(&self, budget: &SharedRetryBudget) -> bool {
        match self.reason {
            metrics::RetryReason::Preempted => true,
            metrics::RetryReason::Connect | metrics::RetryReason::Refused => budget.try_spend(),
            metrics::RetryReason::BadResponse | metrics::RetryReason::Slow => {
                self.retryable && budget.try_spend()
            }
        }
    }
}

/// Maps the error of an attempt to the reason that the metrics count.
pub fn reason(error: upstream::Error) -> metrics::RetryReason {
    match error {
        upstream::Error::NotSent => metrics::RetryReason::Connect,
        upstream::Error::Refused | upstream::Error::Rejected(_) => metrics::RetryReason::Refused,
        upstream::Error::BadResponse | upstream::Error::Timeout => {
            metrics::RetryReason::BadResponse
        }
    }
}

/// Whether the upstream may have run the request of a failed attempt.
pub fn may_have_run(error: upstream::Error) -> bool {
    matches!(
        error,
        upstream::Error::BadResponse | upstream::Error::Timeout
    )
}

/// Returns the refusal of a request whose last attempt failed with `error`. It covers only that
/// attempt: the calling code must set [`refusal::Execution::Unknown`] if an earlier attempt may
/// have run the request.
pub fn refusal(error: upstream::Error) -> refusal::Refusal {
    let reason = match error {
        upstream::Error::Timeout => refusal::Reason::UpstreamTimeout,
        upstream::Error::NotSent | upstream::Error::Refused => refusal::Reason::NoUpstream,
        upstream::Error::Rejected(_) => refusal::Reason::BadRequest,
        upstream::Error::BadResponse => refusal::Reason::UpstreamFailed,
    };
    if may_have_run(error) {
        return refusal::Refusal::unknown(reason);
    }
    refusal::Refusal::not_run(reason)
}
