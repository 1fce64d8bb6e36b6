//! Whether a failed send may be repeated, and how it ends if not.

use std::sync;

use base::{clock, refusal};
use policy::budget;

use crate::{metrics, upstream};

/// The retry budget of a host.
#[derive(Debug, Default)]
pub struct Budget(sync::Mutex<budget::Budget>);

impl Budget {
    fn lock(&self) -> sync::MutexGuard<'_, budget::Budget> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes a success.
    pub fn earn(&self) {
        self.lock().earn();
    }

    /// Takes one retry, if there is one.
    pub fn spend(&self) -> bool {
        self.lock().spend(clock::Clock::System.now())
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

/// The refusal of a request whose send failed for good; `started` if the caller has part of it.
pub fn refusal(error: upstream::Error, started: bool) -> refusal::Refusal {
    let reason = match error {
        upstream::Error::Timeout => refusal::Reason::UpstreamTimeout,
        upstream::Error::NotSent | upstream::Error::Refused => refusal::Reason::NoUpstream,
        upstream::Error::Rejected(_) => refusal::Reason::BadRequest,
        upstream::Error::Broken => refusal::Reason::UpstreamFailed,
    };
    let run = match error {
        upstream::Error::NotSent | upstream::Error::Refused if !started => refusal::Run::NotRun,
        _ => refusal::Run::Unknown,
    };
    refusal::Refusal {
        reason,
        run,
        retry: None,
    }
}
