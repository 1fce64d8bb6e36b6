//! Time in milliseconds.
//!
//! The system clock reads `CLOCK_BOOTTIME`, which is monotonic and keeps counting while the machine
//! is suspended, so a lease that expired during a suspend is detected as expired.

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
    /// Zero milliseconds: an empty duration, or the start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates a value from a number of whole seconds.
    pub const fn secs(n: u64) -> Self {
        Self(n * 1000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts the value to a [`time::Duration`].
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

/// A source of time: the system clock, or a manual clock for tests.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The system clock, which reads `CLOCK_BOOTTIME`.
    #[default]
    System,
    /// A clock that moves only through [`Clock::advance`]; holds its time in milliseconds.
    Manual(sync::Arc<atomic::AtomicU64>),
}

impl Clock {
    /// Creates a manual clock that starts at zero and moves only through [`Clock::advance`].
    pub fn manual() -> Self {
        Self::Manual(sync::Arc::default())
    }

    /// Returns the monotonic time since an unspecified start.
    pub fn now(&self) -> Millis {
        match self {
            Self::System => from_timespec(sys::clock_gettime(sys::ClockId::Boottime)),
            Self::Manual(now_ms) => Millis(now_ms.load(atomic::Ordering::SeqCst)),
        }
    }

    /// Returns the time since the Unix epoch. It can jump, so it is used for usage window numbers
    /// and records, never for leases.
    pub fn unix_time(&self) -> Millis {
        match self {
            Self::System => from_timespec(sys::clock_gettime(sys::ClockId::Realtime)),
            Self::Manual(_) => self.now(),
        }
    }

    /// Moves a manual clock forward by `step`; has no effect on the system clock.
    pub fn advance(&self, step: Millis) {
        if let Self::Manual(now_ms) = self {
            now_ms.fetch_add(step.0, atomic::Ordering::SeqCst);
        }
    }
}

fn from_timespec(t: sys::Timespec) -> Millis {
    Millis(t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000)
}
