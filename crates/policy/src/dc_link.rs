//! The way between data centres: its cost, its delay and losses as measured by opening connections, and
//! a budget of bytes.

use base::clock;
use smallvec::SmallVec;

/// Cost of an upstream in another data centre of the region if nothing is measured, in milliseconds.
const SAME_REGION_COST_MS: f64 = 6.0;
/// Cost of an upstream in another region if nothing is measured, in milliseconds.
const OTHER_REGION_COST_MS: f64 = 60.0;
/// Part of a link's capacity from which on its use raises the cost.
const BUSY_LINK_USE: f64 = 0.5;
/// Part of a link's capacity from which on shares fall.
const CONGESTED_LINK_USE: f64 = 0.85;
/// Delay beyond the usual one from which on shares fall, in milliseconds.
const CONGESTED_DELAY_MS: f64 = 20.0;
/// Period of the measurements that are judged together. A change of a link shows within it.
const SAMPLE_PERIOD: clock::Millis = clock::Millis(1_000);
/// Measurements that are judged together at most.
const MAX_SAMPLES: usize = 16;
/// Measurements from which on a delay counts: one may be slow because of the machine at its end.
const MIN_SAMPLES: usize = 2;
/// Cost of a link on which no connection opens, in milliseconds.
const LOST_LINK_COST_MS: f64 = 2_000.0;
/// Time in which a cost that is not confirmed falls to its half. No connections are opened to a data
/// centre whose cost is high, so only time lowers it.
const HALVING_PERIOD_MS: f64 = 10_000.0;
/// Longest delay that counts, in milliseconds.
const MAX_DELAY_MS: f64 = 2_000.0;

/// How far a data centre is from a host.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// The host's own data centre.
    #[default]
    SameDc,
    /// Another data centre of the host's region.
    SameRegion,
    /// A data centre of another region, or an unknown one.
    OtherRegion,
}

impl Distance {
    /// Cost of an upstream at this distance if nothing is measured, in milliseconds.
    pub const fn usual_cost_ms(self) -> f64 {
        match self {
            Self::SameDc => 0.0,
            Self::SameRegion => SAME_REGION_COST_MS,
            Self::OtherRegion => OTHER_REGION_COST_MS,
        }
    }

    /// Stable text of the distance in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::SameDc => "same_dc",
            Self::SameRegion => "same_region",
            Self::OtherRegion => "other_region",
        }
    }
}

/// Way from a host to a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    /// How far the data centre is.
    pub distance: Distance,
    /// Delay beyond the usual one, from measured connections, in milliseconds; 0 if none is known.
    pub excess_delay_ms: f64,
    /// Part of the link's capacity that is used, 0 to 1 or more; `None` if unknown.
    pub link_use: Option<f64>,
    /// Price of a byte to another region, in milliseconds of waiting; 0 if traffic is free.
    pub ms_per_byte: f64,
}

impl Path {
    /// Cost in milliseconds of a request that moves `bytes` in both directions together.
    pub fn cost_ms(&self, bytes: u64) -> f64 {
        let usual = self.distance.usual_cost_ms();
        let price = match self.distance {
            Distance::SameDc => return 0.0,
            Distance::SameRegion => 0.0,
            Distance::OtherRegion => self.ms_per_byte * bytes as f64,
        };
        let link_use = self.link_use.unwrap_or(0.0).clamp(BUSY_LINK_USE, 1.0);
        // Waiting time at a link grows with the inverse of what is left of its capacity.
        let queueing = usual * (link_use - BUSY_LINK_USE) / (1.05 - link_use);
        usual + queueing + price + self.excess_delay_ms.max(0.0)
    }

    /// Whether the link is so slow, lossy or busy that less must be sent over it.
    pub fn is_congested(&self) -> bool {
        self.excess_delay_ms > CONGESTED_DELAY_MS
            || self.link_use.is_some_and(|u| u > CONGESTED_LINK_USE)
    }
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: clock::Millis,
    /// Time to open the connection in milliseconds; `None` if it timed out.
    delay_ms: Option<f64>,
    /// Hash of the address.
    address: u64,
}

/// What connections to a data centre tell of the link to it.
#[derive(Clone, Debug, Default)]
pub struct LinkHealth {
    samples: SmallVec<[Sample; MAX_SAMPLES]>,
    cost_ms: f64,
    raised_at: clock::Millis,
}

impl LinkHealth {
    /// Records an opened connection, or one that timed out (`delay_ms` of `None`). A refused
    /// connection is no measurement. `usual_ms` is a delay that such a link may have, and includes
    /// what the host itself adds at the time.
    pub fn record(
        &mut self,
        address: u64,
        delay_ms: Option<f64>,
        usual_ms: f64,
        now: clock::Millis,
    ) {
        self.samples.retain(|s| now.since(s.at) < SAMPLE_PERIOD);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(Sample {
            at: now,
            delay_ms,
            address,
        });
        let measured = self.measured_cost_ms(usual_ms);
        if measured > self.excess_ms(now) {
            self.cost_ms = measured;
            self.raised_at = now;
        }
    }

    fn measured_cost_ms(&self, usual_ms: f64) -> f64 {
        let is_lost = |s: &&Sample| s.delay_ms.is_none();
        let mut lost = self.samples.iter().filter(is_lost);
        // Connections to a single address may fail because its machine ended.
        let first = lost.next().map(|s| s.address);
        let is_link_lossy = lost.any(|s| Some(s.address) != first);
        let opened = self.samples.iter().filter_map(|s| s.delay_ms);
        let opened_count = opened.clone().count();
        let fastest = opened.fold(MAX_DELAY_MS, f64::min);
        let slow_ms = if opened_count >= MIN_SAMPLES {
            (fastest - usual_ms).max(0.0)
        } else {
            0.0
        };
        if !is_link_lossy {
            return slow_ms;
        }
        let lost_share = 1.0 - opened_count as f64 / self.samples.len() as f64;
        slow_ms + lost_share * LOST_LINK_COST_MS
    }

    /// Delay beyond the usual one in milliseconds, with losses; 0 if nothing unusual was measured.
    pub fn excess_ms(&self, now: clock::Millis) -> f64 {
        let age_ms = now.since(self.raised_at).0 as f64;
        let cost = self.cost_ms * 0.5_f64.powf(age_ms / HALVING_PERIOD_MS);
        if cost < 1.0 { 0.0 } else { cost }
    }

    /// Shortest time to open a connection of the latest ones, in milliseconds, and the age of the
    /// latest one; `None` without any in the last second.
    pub fn round_trip(&self, now: clock::Millis) -> Option<(f64, clock::Millis)> {
        let recent = self
            .samples
            .iter()
            .filter(|s| now.since(s.at) < SAMPLE_PERIOD);
        let opened = recent.filter_map(|s| s.delay_ms.map(|d| (d, now.since(s.at))));
        opened.reduce(|a, b| (a.0.min(b.0), a.1.min(b.1)))
    }
}

/// A token bucket of bytes for requests that leave over a metered link.
#[derive(Clone, Copy, Debug)]
pub struct LinkBudget {
    /// Rate at which such requests may use the link, in bytes per millisecond.
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
