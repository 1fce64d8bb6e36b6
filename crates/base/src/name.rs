//! Names of hosts, data centres, teams, services and so on, with one type for each kind.
//!
//! Names are reference-counted, so cloning is cheap, and they compare as text.

use std::borrow;
use std::fmt;
use std::sync;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether `text` is a valid name: 1 to [`MAX_NAME_BYTES`] ASCII letters, digits, `-`, `_`
/// or `.`.
pub fn is_valid(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a team: a customer with API keys.
    Team,
    /// Name of a request class, which sets priority and latency targets.
    Class,
    /// Name of a service, which is offered by one or more upstreams.
    Service,
    /// Name of an upstream: one back end of a service.
    Upstream,
    /// Name of a data centre, a zone of hosts and upstreams.
    Dc,
    /// Name of a region, a group of data centres connected by fast links.
    Region,
    /// Name of a host: a machine and the router process on it.
    Host,
}
