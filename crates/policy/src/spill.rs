//! Decides whether a request spills over to another data centre.

use base::clock;

/// Load of a service in another data centre, as last reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Neighbour {
    /// Free slots of the service in the other data centre.
    pub free_slots: u32,
    /// Number of requests that wait for a slot in the other data centre.
    pub waiting: u32,
    /// One-way network delay to the other data centre.
    pub one_way_delay: clock::Millis,
    /// Whether traffic to the other data centre is billed by volume.
    pub metered: bool,
    /// Time at which the report of the other data centre was received.
    pub reported_at: clock::Millis,
}

/// Maximum age of a neighbour's load report; older reports are ignored.
const MAX_REPORT_AGE: clock::Millis = clock::Millis(3_000);

/// A token bucket of bytes for spilled requests on a metered link.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    /// Rate at which spilled requests may use the link, in bytes per millisecond.
    pub bytes_per_ms: u64,
    balance_bytes: u64,
    updated_at: clock::Millis,
}

/// Period whose worth of unused bytes a link budget may accumulate.
const MAX_BURST_PERIOD: clock::Millis = clock::Millis(1_000);

impl LinkBudget {
    /// Creates a full budget that refills at `bytes_per_ms` bytes per millisecond.
    pub fn new(bytes_per_ms: u64, now: clock::Millis) -> Self {
        Self {
            bytes_per_ms,
            balance_bytes: bytes_per_ms * MAX_BURST_PERIOD.0,
            updated_at: now,
        }
    }

    /// Takes `bytes` from the budget. Returns false, and takes nothing, if the balance is too low.
    pub fn try_spend(&mut self, bytes: u64, now: clock::Millis) -> bool {
        let earned = self.bytes_per_ms * now.since(self.updated_at).0;
        self.balance_bytes =
            (self.balance_bytes + earned).min(self.bytes_per_ms * MAX_BURST_PERIOD.0);
        self.updated_at = now;
        if self.balance_bytes < bytes {
            return false;
        }
        self.balance_bytes -= bytes;
        true
    }
}

/// Whether to send a request to `neighbour` because it serves the request sooner than this data
/// centre.
///
/// `expected_wait` is the wait expected in this data centre, `slack` the time left to start the
/// request within its target. A request uses a metered link only if this data centre would refuse
/// it.
pub fn should_spill(
    neighbour: &Neighbour,
    expected_wait: clock::Millis,
    slack: clock::Millis,
    now: clock::Millis,
) -> bool {
    if now.since(neighbour.reported_at) > MAX_REPORT_AGE
        || neighbour.free_slots <= neighbour.waiting
    {
        return false;
    }
    let round_trip = clock::Millis(neighbour.one_way_delay.0 * 2);
    if round_trip > slack {
        return false;
    }
    if neighbour.metered {
        expected_wait > slack
    } else {
        expected_wait > round_trip
    }
}
