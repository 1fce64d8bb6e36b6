//! Why a command failed, told once with the way out.

use std::error;
use std::fmt;

use base::diagnostic;
use config::remote;

use crate::exit_codes;

/// Why a command failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Fault {
    /// The document is faulty.
    Document(diagnostic::Diagnostics),
    /// The store or another operator stood in the way.
    Remote(remote::Error),
    /// Trial holds another document than the one named; holds trial's digest.
    NotTried(String),
    /// No such team in the environment.
    NoTeam(String),
    /// No such key in the environment.
    NoKey,
    /// The secret can't be read.
    Secret(String),
    /// The host did not take the request.
    Host(String),
}

impl From<remote::Error> for Fault {
    fn from(e: remote::Error) -> Self {
        Self::Remote(e)
    }
}

impl From<diagnostic::Diagnostics> for Fault {
    fn from(findings: diagnostic::Diagnostics) -> Self {
        Self::Document(findings)
    }
}

impl Fault {
    /// The exit code that tells it.
    pub(crate) fn code(&self) -> exit_codes::ExitCode {
        match self {
            Self::Document(_) => exit_codes::ExitCode::Usage,
            Self::Remote(remote::Error::Conflict(_)) | Self::NotTried(_) => {
                exit_codes::ExitCode::Conflict
            }
            Self::Remote(remote::Error::Unknown) => exit_codes::ExitCode::Unknown,
            Self::Secret(_) => exit_codes::ExitCode::Usage,
            Self::Remote(_) | Self::NoTeam(_) | Self::NoKey | Self::Host(_) => {
                exit_codes::ExitCode::Failure
            }
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document(findings) => write!(f, "{findings}"),
            Self::Remote(e @ remote::Error::Conflict(_)) => {
                write!(f, "{e}. Look at 'jacinthctl diff', then apply again.")
            }
            Self::Remote(e @ remote::Error::Unknown) => {
                write!(f, "{e}. 'jacinthctl status' tells once the store answers.")
            }
            Self::Remote(e) => write!(f, "{e}. Try again."),
            Self::NotTried(digest) => write!(
                f,
                "trial holds document {digest}, not the one named; nothing was changed. \
                 Promote that digest, or apply the document again."
            ),
            Self::NoTeam(team) => write!(
                f,
                "no team {team:?} in this environment; nothing was changed. \
                 Add it to the document, apply and promote."
            ),
            Self::Secret(e) => {
                write!(
                    f,
                    "the secret can't be read: {e}. Give the file that holds it."
                )
            }
            Self::Host(e) => write!(
                f,
                "{e}; the key is not blocked. Check the secret, or try another host."
            ),
            Self::NoKey => write!(
                f,
                "no such key in this environment; nothing was changed. \
                 Give the key itself or its SHA-256."
            ),
        }
    }
}

impl error::Error for Fault {}
