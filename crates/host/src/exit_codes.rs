//! Exit codes of the program.

use std::process;

/// How the program ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// As asked.
    Success,
    /// An error while running.
    Failure,
    /// The command line or the settings are faulty.
    Usage,
    /// A second signal cut the graceful stop short.
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
