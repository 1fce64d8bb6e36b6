//! Errors of commands, each with a message that says how to resolve it.

use std::error;
use std::fmt;
use std::io;

use base::diagnostic;
use config::log_store;

use crate::exit_codes;

/// Error of a command.
#[derive(Debug)]
pub(crate) enum Error {
    /// The document has errors, which have been printed.
    Reported,
    /// The result can't be printed.
    Output(io::Error),
    /// The document could not be read or has errors.
    Document(diagnostic::Diagnostics),
    /// The configuration log could not be read or written.
    ChangeLog(log_store::Error),
    /// The trial environment has a different document than the given one. Holds the digest of the
    /// document in trial.
    DigestMismatch(String),
    /// The environment has no team of this name.
    UnknownTeam(String),
    /// The environment has no such API key.
    UnknownKey,
    /// The secret file can't be read. Holds its path and the cause.
    Secret(String),
    /// The host could not be reached or rejected the request. Holds a description of the failure.
    Host(String),
}

impl From<log_store::Error> for Error {
    fn from(e: log_store::Error) -> Self {
        Self::ChangeLog(e)
    }
}

impl From<diagnostic::Diagnostics> for Error {
    fn from(diagnostics: diagnostic::Diagnostics) -> Self {
        Self::Document(diagnostics)
    }
}

impl Error {
    /// Returns the exit code for the error.
    pub(crate) fn exit_code(&self) -> exit_codes::ExitCode {
        match self {
            Self::Document(_) | Self::Reported => exit_codes::ExitCode::Usage,
            Self::ChangeLog(log_store::Error::Conflict(_)) | Self::DigestMismatch(_) => {
                exit_codes::ExitCode::Conflict
            }
            Self::ChangeLog(log_store::Error::Unknown) => exit_codes::ExitCode::Unknown,
            Self::Secret(_) => exit_codes::ExitCode::Usage,
            Self::Output(_)
            | Self::ChangeLog(_)
            | Self::UnknownTeam(_)
            | Self::UnknownKey
            | Self::Host(_) => exit_codes::ExitCode::Failure,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported => f.write_str("the document has errors"),
            Self::Output(e) => write!(f, "the result can't be printed: {e}"),
            Self::Document(diagnostics) => write!(f, "{diagnostics}"),
            Self::ChangeLog(e @ log_store::Error::Conflict(_)) => {
                write!(
                    f,
                    "{e}. Check the changes with 'jacinthctl diff', then apply again."
                )
            }
            Self::ChangeLog(e @ log_store::Error::Unknown) => {
                write!(
                    f,
                    "{e}. Check with 'jacinthctl status' once the store responds."
                )
            }
            Self::ChangeLog(e) => write!(f, "{e}. Try again."),
            Self::DigestMismatch(digest) => write!(
                f,
                "trial has document {digest}, not the given one; nothing was changed. \
                 Promote that digest, or apply the document again."
            ),
            Self::UnknownTeam(team) => write!(
                f,
                "no team {team:?} in this environment; nothing was changed. \
                 Add it to the document, then apply and promote the document."
            ),
            Self::Secret(e) => {
                write!(
                    f,
                    "the secret can't be read: {e}. Check the path of the secret file."
                )
            }
            Self::Host(e) => write!(
                f,
                "{e}; the key was not blocked. Check the secret, or try another host."
            ),
            Self::UnknownKey => write!(
                f,
                "no such key in this environment; nothing was changed. \
                 Pass the key or its SHA-256 digest in hexadecimal."
            ),
        }
    }
}

impl error::Error for Error {}
