//! Slowdown of upstreams: the time to their first event relative to the expected time.
//!
//! In a deployment with many hosts, one host rarely sends requests to a given upstream. The
//! estimate of an upstream therefore decays to the typical slowdown of its service and not to 1.
//! Otherwise upstreams without recent measurements would look fast, and under general load requests
//! would leave the upstreams that have their prefix cached for others that are just as slow and
//! must process the whole prompt.

use base::clock;

use crate::stream_class;

/// Bounds to which a measured ratio of actual to expected time is clamped.
const MIN_RATIO: f64 = 0.5;
const MAX_RATIO: f64 = 20.0;
/// Divisor of an upstream's moving average: the latest measurement has weight `1 / N`.
const UPSTREAM_SMOOTHING: f64 = 6.0;
/// Divisor of the typical slowdown's moving average: the latest measurement has weight `1 / N`.
const TYPICAL_SMOOTHING: f64 = 20.0;
/// Time in which the weight of an upstream's own measurements halves, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Slowdown of one upstream, as a ratio of actual to expected time.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    ratio: f64,
    updated: clock::Millis,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            updated: clock::Millis::ZERO,
        }
    }
}

impl Slowdown {
    /// Estimates the current slowdown of an upstream that is reserved for `stream_class`.
    pub fn estimate(
        &self,
        typical: &TypicalSlowdown,
        stream_class: stream_class::StreamClass,
        now: clock::Millis,
    ) -> f64 {
        let typical = typical.0[stream_class as usize];
        let age = now.since(self.updated).0 as f64;
        typical + (self.ratio - typical) * (-age / HALF_LIFE_MS).exp2()
    }

    /// Records a response that took `ratio` times as long as expected, also in `typical`.
    pub fn record(
        &mut self,
        typical: &mut TypicalSlowdown,
        stream_class: stream_class::StreamClass,
        ratio: f64,
        now: clock::Millis,
    ) {
        let ratio = ratio.clamp(MIN_RATIO, MAX_RATIO);
        let previous = self.estimate(typical, stream_class, now);
        self.ratio = previous + (ratio - previous) / UPSTREAM_SMOOTHING;
        self.updated = now;
        let typical = &mut typical.0[stream_class as usize];
        *typical += (ratio - *typical) / TYPICAL_SMOOTHING;
    }
}

/// Typical slowdown of the upstreams of one service, indexed by stream class.
#[derive(Clone, Copy, Debug)]
pub struct TypicalSlowdown([f64; stream_class::StreamClass::ALL.len()]);

impl Default for TypicalSlowdown {
    fn default() -> Self {
        Self([1.0; stream_class::StreamClass::ALL.len()])
    }
}
