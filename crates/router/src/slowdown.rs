//! How slow upstreams are: what was seen of each lately, and what is usual.
//!
//! A host of many sees an upstream rarely. Were one that it has not seen taken to be fast, all
//! requests would leave the upstreams that keep their prompts' shared parts whenever these get
//! slow, though all others are as slow and have to read the whole prompt.

use base::clock;

use crate::stream_class;

/// The bounds of one delay: answers are at most this many times as fast or late as expected.
const LEAST: f64 = 0.5;
const MOST: f64 = 20.0;
/// Weight of the newest delay of an upstream, as one part in this many.
const SMOOTHING: f64 = 6.0;
/// Weight of the newest delay in what is usual, as one part in this many.
const USUAL_SMOOTHING: f64 = 20.0;
/// Time in which half of what was seen of an upstream ceases to count, in milliseconds.
const HALF_LIFE_MS: f64 = 3_000.0;

/// How late answers of an upstream are, as a multiple of what is expected.
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
    /// What to expect of an upstream of this band.
    pub fn estimate(
        &self,
        usual: &TypicalSlowdown,
        band: stream_class::StreamClass,
        now: clock::Millis,
    ) -> f64 {
        let usual = usual.0[band as usize];
        let age = now.since(self.updated).0 as f64;
        usual + (self.ratio - usual) * (-age / HALF_LIFE_MS).exp2()
    }

    /// Notes an answer that was `ratio` times as late as expected.
    pub fn record(
        &mut self,
        usual: &mut TypicalSlowdown,
        band: stream_class::StreamClass,
        ratio: f64,
        now: clock::Millis,
    ) {
        let ratio = ratio.clamp(LEAST, MOST);
        let before = self.estimate(usual, band, now);
        self.ratio = before + (ratio - before) / SMOOTHING;
        self.updated = now;
        let usual = &mut usual.0[band as usize];
        *usual += (ratio - *usual) / USUAL_SMOOTHING;
    }
}

/// How late answers of the upstreams of one service are on the whole, for each band.
#[derive(Clone, Copy, Debug)]
pub struct TypicalSlowdown([f64; stream_class::StreamClass::ALL.len()]);

impl Default for TypicalSlowdown {
    fn default() -> Self {
        Self([1.0; stream_class::StreamClass::ALL.len()])
    }
}
