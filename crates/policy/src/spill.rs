//! Whether a request goes to a neighbour data centre.

use base::clock;

/// What is known of a service in another data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Free slots as last told.
    pub free: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// One way to it.
    pub distance: clock::Millis,
    /// Whether the way is paid by volume.
    pub paid: bool,
    /// When this was told.
    pub told: clock::Millis,
}

/// Older news of a neighbour counts as none.
const MAX_AGE: clock::Millis = clock::Millis(3_000);

/// A budget of bytes on a paid link: a rate, and what was saved of it.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Bytes a millisecond that spilled requests may use.
    pub rate: u64,
    saved: u64,
    at: clock::Millis,
}

/// Savings of a link are capped at this time's worth.
const SAVED: clock::Millis = clock::Millis(1_000);

impl Link {
    /// A link whose spilled requests may use `rate` bytes a millisecond.
    pub fn new(rate: u64, now: clock::Millis) -> Self {
        Self {
            rate,
            saved: rate * SAVED.0,
            at: now,
        }
    }

    /// Takes `bytes` from the budget if they are there.
    pub fn spend(&mut self, bytes: u64, now: clock::Millis) -> bool {
        let earned = self.rate * now.since(self.at).0;
        self.saved = (self.saved + earned).min(self.rate * SAVED.0);
        self.at = now;
        if self.saved < bytes {
            return false;
        }
        self.saved -= bytes;
        true
    }
}

/// Whether a neighbour can meet a target that this data centre can't.
///
/// `wait` is the wait expected here, `slack` the time left for it within the target. A request
/// goes over a paid link only if it would be refused here.
pub fn wins(n: &Neighbour, wait: clock::Millis, slack: clock::Millis, now: clock::Millis) -> bool {
    if now.since(n.told) > MAX_AGE || n.free <= n.waiting {
        return false;
    }
    let there = clock::Millis(n.distance.0 * 2);
    if there > slack {
        return false;
    }
    if n.paid { wait > slack } else { wait > there }
}
