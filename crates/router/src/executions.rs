//! What is known of the execution of one request, over all its attempts.

use base::refusal;

/// Attempts of a request, by what is known of them. An attempt that has begun and not ended may run at any
/// moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Executions {
    begun: u32,
    not_run: u32,
    may_have_run: u32,
}

impl Executions {
    /// Records that an attempt begins.
    pub fn begin(&mut self) {
        self.begun += 1;
    }

    /// Records that an attempt has ended and certainly did not run.
    pub fn end_not_run(&mut self) {
        self.not_run += 1;
    }

    /// Records that an attempt has ended and may have run.
    pub fn end_unknown(&mut self) {
        self.may_have_run += 1;
    }

    /// Number of attempts that have begun.
    pub fn begun(&self) -> u32 {
        self.begun
    }

    /// Number of attempts that have ended and may have run.
    pub fn may_have_run(&self) -> u32 {
        self.may_have_run
    }

    /// Whether an upstream may have executed the request, or still may.
    pub fn known(&self) -> refusal::Execution {
        if self.not_run == self.begun {
            refusal::Execution::NotRun
        } else {
            refusal::Execution::Unknown
        }
    }
}
