//! Whether a request goes to a neighbour data centre.

use base::clock;

/// What is known of a service in another data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Free slots as last told.
    pub free_slots: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// One way to it.
    pub one_way_delay: clock::Millis,
    /// Whether the way is paid by volume.
    pub metered: bool,
    /// When this was told.
    pub reported_at: clock::Millis,
}

/// Older news of a neighbour counts as none.
const MAX_AGE: clock::Millis = clock::Millis(3_000);

/// A budget of bytes on a paid link: a rate, and what was saved of it.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    /// Bytes a millisecond that spilled requests may use.
    pub bytes_per_ms: u64,
    saved: u64,
    at: clock::Millis,
}

/// Savings of a link are capped at this time's worth.
const SAVED: clock::Millis = clock::Millis(1_000);

impl LinkBudget {
    /// A link whose spilled requests may use `rate` bytes a millisecond.
    pub fn new(rate: u64, now: clock::Millis) -> Self {
        Self {
            bytes_per_ms: rate,
            saved: rate * SAVED.0,
            at: now,
        }
    }

    /// Takes `bytes` from the budget if they are there.
    pub fn try_spend(&mut self, bytes: u64, now: clock::Millis) -> bool {
        let earned = self.bytes_per_ms * now.since(self.at).0;
        self.saved = (self.saved + earned).min(self.bytes_per_ms * SAVED.0);
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
pub fn should_spill(
    n: &Neighbour,
    wait: clock::Millis,
    slack: clock::Millis,
    now: clock::Millis,
) -> bool {
    if now.since(n.reported_at) > MAX_AGE || n.free_slots <= n.waiting {
        return false;
    }
    let there = clock::Millis(n.one_way_delay.0 * 2);
    if there > slack {
        return false;
    }
    if n.metered {
        wait > slack
    } else {
        wait > there
    }
}
