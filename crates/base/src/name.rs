//! Names of hosts, data centres, teams and the rest, one type each.
//!
//! A name is cheap to clone and compares as text.

use std::borrow;
use std::fmt;
use std::sync;

use serde::{Deserialize, Serialize};

/// The longest name accepted, in bytes.
pub const MAX_BYTES: usize = 64;

/// Whether `text` may serve as a name: letters, digits, `-`, `_` and `.`, not empty.
pub fn is_valid(text: &str) -> bool {
    let ok = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_BYTES && text.chars().all(ok)
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// The name as text.
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
    /// A paying customer of the operators.
    Team,
    /// A request class with its targets.
    Class,
    /// A service that upstreams offer.
    Service,
    /// One back end of a service.
    Upstream,
    /// A data centre.
    Dc,
    /// A group of data centres joined by fast links.
    Region,
    /// A host of this system.
    Host,
}
