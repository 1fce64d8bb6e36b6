//! Exit codes of the program.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ExitCode {
    /// As asked.
    Success,
    /// Nothing was changed, for a reason outside the command.
    Failure,
    /// The command line or the document is faulty.
    Usage,
    /// Another operator was first; nothing was changed.
    Conflict,
    /// No answer came; the change may stand.
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
