//! Exit codes of `jacinthctl`.

use std::process;

/// Exit code of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitCode {
    /// The command succeeded (0).
    Success,
    /// The command failed and changed nothing, although its input is valid (1).
    Failure,
    /// The command line, the document or another input file is invalid (2).
    Usage,
    /// Another operator made a change first, or trial has a different document; nothing was changed
    /// (3).
    Conflict,
    /// The store did not respond, so the change may or may not have been written (4).
    Unknown,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        process::ExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Conflict => 3,
            ExitCode::Unknown => 4,
        })
    }
}
