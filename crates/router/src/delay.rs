//! How slow upstreams are: what was seen of each lately, and what is usual.
//!
//! A host of many sees an upstream rarely. Were one that it has not seen taken to be fast, all
//! requests would leave the upstreams that keep their prompts' shared parts whenever these get
//! slow, though all others are as slow and have to read the whole prompt.

use base::clock;

use crate::band;

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
pub struct Delay {
    seen: f64,
    at: clock::Millis,
}

impl Default for Delay {
    fn default() -> Self {
        Self {
            seen: 1.0,
            at: clock::Millis::ZERO,
        }
    }
}

impl Delay {
    /// What to expect of an upstream of this band.
    pub fn expect(&self, usual: &Usual, band: band::Band, now: clock::Millis) -> f64 {
        let usual = usual.0[band as usize];
        let age = now.since(self.at).0 as f64;
        usual + (self.seen - usual) * (-age / HALF_LIFE_MS).exp2()
    }

    /// Notes an answer that was `ratio` times as late as expected.
    pub fn note(&mut self, usual: &mut Usual, band: band::Band, ratio: f64, now: clock::Millis) {
        let ratio = ratio.clamp(LEAST, MOST);
        let before = self.expect(usual, band, now);
        self.seen = before + (ratio - before) / SMOOTHING;
        self.at = now;
        let usual = &mut usual.0[band as usize];
        *usual += (ratio - *usual) / USUAL_SMOOTHING;
    }
}

/// How late answers of the upstreams of one service are on the whole, for each band.
#[derive(Clone, Copy, Debug)]
pub struct Usual([f64; band::Band::ALL.len()]);

impl Default for Usual {
    fn default() -> Self {
        Self([1.0; band::Band::ALL.len()])
    }
}
