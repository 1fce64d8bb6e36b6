//! Revisions of the store that stay in order when the store comes back from an older copy.
//!
//! A restored store gives out the numbers again that it has lost. Its era rises each time, so a revision
//! is the pair of both.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bits of the number, enough for 17 years at 2,000 changes a second.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
/// Largest era.
pub const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Revision of the store. A revision of a later era is greater than all of an earlier one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
pub struct Revision(u64);

impl Revision {
    /// Revision before all others; as a condition, the key must not exist.
    pub const NONE: Self = Self(0);

    /// Revision with this number in an era; `None` if one of them is too large.
    pub const fn new(era: u64, number: u64) -> Option<Self> {
        if era > MAX_ERA || number > MAX_NUMBER {
            return None;
        }
        Some(Self(era << NUMBER_BITS | number))
    }

    /// Revision of a store that does not state its era.
    pub const fn without_era(number: u64) -> Self {
        Self(number & MAX_NUMBER)
    }

    /// Era in which the store gave the number out; 0 if it does not state its era.
    pub const fn era(self) -> u64 {
        self.0 >> NUMBER_BITS
    }

    /// Number within the era.
    pub const fn number(self) -> u64 {
        self.0 & MAX_NUMBER
    }

    /// Fencing token for a leader whose key was created at this revision.
    pub const fn token(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            0 => write!(f, "{}", self.number()),
            era => write!(f, "{era}.{}", self.number()),
        }
    }
}
