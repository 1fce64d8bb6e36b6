//! Exit codes of the `jacinthslip` binary.

use std::process;

/// Result of a run, converted to the exit status of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command completed, or the host drained and stopped: status 0.
    Success,
    /// The host could not start or failed while running: status 1.
    Failure,
    /// Invalid command line or settings file: status 2.
    Usage,
    /// A second signal interrupted the graceful shutdown: status 130.
    Interrupted,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        process::ExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Interrupted => 130,
        })
    }
}
