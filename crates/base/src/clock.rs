//! Time in milliseconds.
//!
//! The system clock reads `CLOCK_BOOTTIME`: it is monotonic and goes on while the machine is
//! suspended, so a lease that lapsed during a suspend is seen as lapsed.

use std::fmt;
use std::ops;
use std::sync;
use std::sync::atomic;
use std::time;

use rustix::time as sys;
use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The zero point.
    pub const ZERO: Self = Self(0);

    /// A whole number of seconds.
    pub const fn secs(n: u64) -> Self {
        Self(n * 1000)
    }

    /// The time since `earlier`, zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The same length as a standard duration.
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A source of time: the machine's, or one that a test sets.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The machine's `CLOCK_BOOTTIME`.
    #[default]
    System,
    /// A clock that moves only when told to.
    Manual(sync::Arc<atomic::AtomicU64>),
}

impl Clock {
    /// A clock at zero that moves only through [`Clock::advance`].
    pub fn manual() -> Self {
        Self::Manual(sync::Arc::default())
    }

    /// Monotonic time since an unspecified start.
    pub fn now(&self) -> Millis {
        match self {
            Self::System => millis(sys::clock_gettime(sys::ClockId::Boottime)),
            Self::Manual(at) => Millis(at.load(atomic::Ordering::SeqCst)),
        }
    }

    /// Time since the Unix epoch; only for window numbers and records, never for leases.
    pub fn unix(&self) -> Millis {
        match self {
            Self::System => millis(sys::clock_gettime(sys::ClockId::Realtime)),
            Self::Manual(_) => self.now(),
        }
    }

    /// Moves a manual clock forward; the system clock ignores it.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(at) = self {
            at.fetch_add(by.0, atomic::Ordering::SeqCst);
        }
    }
}

fn millis(t: sys::Timespec) -> Millis {
    Millis(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
}
