//! Requests that began, counted by team and by usage window of the wall clock.

use std::collections;

use base::{clock, name};
use serde::{Deserialize, Serialize};

/// Number of windows whose counts are kept; older ones have been reported or are past the report
/// deadline.
const MAX_WINDOWS: usize = 6;
/// Number of samples kept of the difference between wall clock and monotonic clock.
const MAX_SAMPLES: usize = 61;
/// Minimum time between two samples.
const SAMPLE_INTERVAL: clock::Millis = clock::Millis(1_000);

/// Wall time that is not affected by a short jump of the system's wall clock: the monotonic clock
/// plus the median of the sampled differences between the two clocks.
#[derive(Debug, Default)]
pub struct SmoothedWallClock {
    samples: collections::VecDeque<i64>,
    last_sampled: clock::Millis,
}

impl SmoothedWallClock {
    /// Wall time at the monotonic time `now`, where `unix` is the current reading of the system's
    /// wall clock.
    pub fn estimate(&mut self, now: clock::Millis, unix: clock::Millis) -> clock::Millis {
        if self.samples.is_empty() || now.since(self.last_sampled) >= SAMPLE_INTERVAL {
            self.last_sampled = now;
            self.samples.push_back(unix.0 as i64 - now.0 as i64);
            if self.samples.len() > MAX_SAMPLES {
                self.samples.pop_front();
            }
        }
        let mut sorted: Vec<i64> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let median = sorted[(sorted.len() - 1) / 2];
        clock::Millis((now.0 as i64 + median).max(0) as u64)
    }
}

/// Request counts by window number, then by team.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowCounts(pub collections::BTreeMap<u64, collections::BTreeMap<name::Team, u64>>);

impl WindowCounts {
    /// Counts one request of `team` in `window` and drops the oldest windows.
    pub fn record_request(&mut self, window: u64, team: &name::Team) {
        let counts = self.0.entry(window).or_default();
        match counts.get_mut(team) {
            Some(n) => *n += 1,
            None => {
                counts.insert(team.clone(), 1);
            }
        }
        while self.0.len() > MAX_WINDOWS {
            self.0.pop_first();
        }
    }

    /// Adds the counts of `window` to `sum`, by team.
    pub fn add_to(&self, window: u64, sum: &mut collections::BTreeMap<name::Team, u64>) {
        for (team, n) in self.0.get(&window).into_iter().flatten() {
            *sum.entry(team.clone()).or_default() += n;
        }
    }
}

/// Request counts of this host, and the clock that assigns requests to windows.
#[derive(Debug, Default)]
pub struct UsageCounter {
    /// Requests that began at this host's upstreams, by window and team.
    pub counts: WindowCounts,
    wall_clock: SmoothedWallClock,
}

impl UsageCounter {
    /// Wall time from the current readings of the monotonic clock and the system's wall clock.
    pub fn wall_time(&mut self, now: clock::Millis, unix: clock::Millis) -> clock::Millis {
        self.wall_clock.estimate(now, unix)
    }
}
