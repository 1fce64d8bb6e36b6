//! Requests that began, counted by team and by window of the wall clock.

use std::collections;

use base::{clock, name};
use serde::{Deserialize, Serialize};

/// Windows kept; older ones have been reported or are too late.
const KEPT: usize = 6;
/// Samples of the difference between the two clocks that are kept.
const SAMPLES: usize = 61;
/// Least time between samples.
const SAMPLE_EVERY: clock::Millis = clock::Millis(1_000);

/// Wall time that a jump of the time of day does not move: the steady clock plus the median
/// of the differences seen since the start.
#[derive(Debug, Default)]
pub struct WallTime {
    samples: collections::VecDeque<i64>,
    sampled: clock::Millis,
}

impl WallTime {
    /// The wall time at the steady time `now`, if the time of day reads `unix`.
    pub fn estimate(&mut self, now: clock::Millis, unix: clock::Millis) -> clock::Millis {
        if self.samples.is_empty() || now.since(self.sampled) >= SAMPLE_EVERY {
            self.sampled = now;
            self.samples.push_back(unix.0 as i64 - now.0 as i64);
            if self.samples.len() > SAMPLES {
                self.samples.pop_front();
            }
        }
        let mut sorted: Vec<i64> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let median = sorted[(sorted.len() - 1) / 2];
        clock::Millis((now.0 as i64 + median).max(0) as u64)
    }
}

/// The counts of some windows.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WindowCounts(pub collections::BTreeMap<u64, collections::BTreeMap<name::Team, u64>>);

impl WindowCounts {
    /// Counts one request of `team` in `window`.
    pub fn record_request(&mut self, window: u64, team: &name::Team) {
        let counts = self.0.entry(window).or_default();
        match counts.get_mut(team) {
            Some(n) => *n += 1,
            None => {
                counts.insert(team.clone(), 1);
            }
        }
        while self.0.len() > KEPT {
            self.0.pop_first();
        }
    }

    /// Adds the counts of `window` to `sum`.
    pub fn add_to(&self, window: u64, sum: &mut collections::BTreeMap<name::Team, u64>) {
        for (team, n) in self.0.get(&window).into_iter().flatten() {
            *sum.entry(team.clone()).or_default() += n;
        }
    }
}

/// The counts of this host, and the clock that they are counted by.
#[derive(Debug, Default)]
pub struct UsageCounter {
    /// The counts.
    pub counts: WindowCounts,
    time: WallTime,
}

impl UsageCounter {
    /// The wall time, given both clocks' readings.
    pub fn wall_time(&mut self, now: clock::Millis, unix: clock::Millis) -> clock::Millis {
        self.time.estimate(now, unix)
    }
}
