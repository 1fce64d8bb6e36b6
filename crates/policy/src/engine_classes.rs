//! Decides what share of a service's engines is reserved for each class of streams.
//!
//! An engine that changes its class loses the use of the prefixes in its cache, and the next burst may be
//! of another class. So the shares stay at their defaults until one class is crowded while another has
//! engines to spare, and then move once, by a bounded part.

use std::collections;

use base::clock;

/// Number of classes. Arrays of this length are in the order in which the classes are declared.
pub const CLASS_COUNT: usize = 3;

/// Share of a service's engines for each class, in thousandths; the sum is [`WHOLE`].
pub type Shares = [u16; CLASS_COUNT];

/// Sum of the shares of a service.
pub const WHOLE: u16 = 1_000;
/// Shares while no demand has called for others.
pub const DEFAULT_SHARES: Shares = [200, 200, 600];

/// Class whose share is constant. It needs engines that process few prompts, which bursts of other classes
/// must not take, and its own bursts last as long as its streams: engines that followed one came late.
const SHORT_GAP: usize = 0;
/// Samples of the need whose median counts. A burst of two seconds changes no median of five.
const SAMPLE_COUNT: usize = 5;
/// Samples from which on shares are changed.
const MIN_SAMPLES: usize = 4;
/// Ratio of two classes' crowding from which on engines move, and the ratio that remains after it. Bursts
/// of one class by a factor of 2.5 pass below the first one; following these cost 0.05 to 0.08 of the value
/// of all responses, in prefixes that were read again.
const START_RATIO: f64 = 4.0;
const STOP_RATIO: f64 = 2.0;
/// Decisions in a row that have to call for a change.
const MIN_CALLS: u32 = 2;
/// Part of its default share that a class gives away at most.
const MAX_GIVEN: f64 = 1.0 / 3.0;
/// Engines needed per engine of a class below which it is not crowded.
const MIN_CROWDING: f64 = 0.4;
/// Time for which the crowding must have been even before the defaults are restored.
const RETURN_PERIOD: clock::Millis = clock::Millis::secs(10);
/// Largest plausible figure of the demand.
const MAX_FIGURE: f64 = 1e9;

/// Demand of one class, over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens per second that engines have to process.
    pub prompt_tokens: f64,
    /// Requests that are running at engines.
    pub running: f64,
    /// Requests per second.
    pub requests: f64,
}

impl Demand {
    /// Returns the demand with each figure in its range, and whether all of them were: figures that
    /// are negative or no numbers count as 0.
    pub fn clamped(&self) -> (Self, bool) {
        let clamp = |x: f64| {
            if x.is_nan() {
                0.0
            } else {
                x.clamp(0.0, MAX_FIGURE)
            }
        };
        let clamped = Self {
            prompt_tokens: clamp(self.prompt_tokens),
            running: clamp(self.running),
            requests: clamp(self.requests),
        };
        (clamped, clamped == *self)
    }
}

/// What one engine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineModel {
    /// Prompt tokens that an engine processes per second beside its other work; greater than 0.
    pub tokens_per_s: f64,
    /// Requests that an engine runs at once without delaying their tokens; greater than 0.
    pub requests: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            tokens_per_s: 25_000.0,
            requests: 10.0,
        }
    }
}

impl EngineModel {
    /// Number of engines that a demand occupies, not rounded.
    fn need(&self, demand: &Demand) -> f64 {
        demand.prompt_tokens / self.tokens_per_s.max(1.0) + demand.running / self.requests.max(1.0)
    }
}

/// Result of one decision, with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Shares from now on.
    pub shares: Shares,
    /// Whether they differ from those before.
    pub changed: bool,
    /// Engines that each class needs.
    pub need: [f64; CLASS_COUNT],
    /// Engines needed per engine of each class before the decision; 0 for a class without demand,
    /// infinite for one without engines.
    pub pressure: [f64; CLASS_COUNT],
}

/// Decides on the shares of one service.
#[derive(Clone, Debug)]
pub struct Planner {
    shares: Shares,
    samples: collections::VecDeque<[f64; CLASS_COUNT]>,
    /// Decisions in a row that called for a change.
    calls: u32,
    /// When the classes became evenly crowded; `None` while they are not.
    even_since: Option<clock::Millis>,
}

impl Default for Planner {
    fn default() -> Self {
        Self::new(DEFAULT_SHARES)
    }
}

impl Planner {
    /// Creates a planner that begins with `shares`, or with the default ones if these are invalid.
    pub fn new(shares: Shares) -> Self {
        Self {
            shares: if is_valid(&shares) {
                shares
            } else {
                DEFAULT_SHARES
            },
            samples: collections::VecDeque::new(),
            calls: 0,
            even_since: None,
        }
    }

    /// Takes the demand of the last second and the number of ready engines, and decides on the
    /// shares. Must be called once a second.
    pub fn decide(
        &mut self,
        demand: &[Demand; CLASS_COUNT],
        engines: u32,
        model: &EngineModel,
        now: clock::Millis,
    ) -> Decision {
        if self.samples.len() >= SAMPLE_COUNT {
            self.samples.pop_front();
        }
        let sample = demand.map(|d| model.need(&d.clamped().0));
        self.samples.push_back(sample);
        let need = self.median_need();
        let pressure = crowding(&need, &self.shares, engines);
        let before = self.shares;
        if engines > 0 && self.samples.len() >= MIN_SAMPLES {
            self.change(&need, engines, now);
        }
        Decision {
            shares: self.shares,
            changed: self.shares != before,
            need,
            pressure,
        }
    }

    fn median_need(&self) -> [f64; CLASS_COUNT] {
        let mut median = [0.0; CLASS_COUNT];
        for (class, median) in median.iter_mut().enumerate() {
            let mut samples: Vec<f64> = self.samples.iter().map(|s| s[class]).collect();
            samples.sort_by(f64::total_cmp);
            *median = samples[samples.len() / 2];
        }
        median
    }

    fn change(&mut self, need: &[f64; CLASS_COUNT], engines: u32, now: clock::Millis) {
        let crowding = crowding(need, &DEFAULT_SHARES, engines);
        let Some((crowded, donor)) = most_uneven(&crowding) else {
            return;
        };
        let ratio = |class: usize| crowding[class] / crowding[donor];
        if ratio(crowded) <= STOP_RATIO {
            self.calls = 0;
            let since = *self.even_since.get_or_insert(now);
            if now.since(since) >= RETURN_PERIOD {
                self.shares = DEFAULT_SHARES;
            }
            return;
        }
        self.even_since = None;
        // Engines stay with the class that has got them until it does without.
        let is_needed =
            |class: usize| self.shares[class] > DEFAULT_SHARES[class] && ratio(class) > STOP_RATIO;
        let is_uneven = ratio(crowded) >= START_RATIO && crowding[crowded] >= MIN_CROWDING;
        if !is_uneven || (0..CLASS_COUNT).any(is_needed) {
            self.calls = 0;
            return;
        }
        self.calls += 1;
        if self.calls >= MIN_CALLS {
            self.calls = 0;
            self.shares = moved_shares(need, crowded, donor);
        }
    }
}

/// Engines needed per engine of each class; 0 for a class without demand.
fn crowding(need: &[f64; CLASS_COUNT], shares: &Shares, engines: u32) -> [f64; CLASS_COUNT] {
    let mut crowding = [0.0; CLASS_COUNT];
    for (class, crowding) in crowding.iter_mut().enumerate() {
        if need[class] > 0.0 {
            let share = f64::from(shares[class]) / f64::from(WHOLE);
            *crowding = need[class] / (share * f64::from(engines));
        }
    }
    crowding
}

/// Returns the most crowded class and the least crowded other one that may give engines away; `None` if
/// there is no such pair. A class without demand keeps its engines: others use them at a low cost.
fn most_uneven(crowding: &[f64; CLASS_COUNT]) -> Option<(usize, usize)> {
    let by_crowding = |a: &usize, b: &usize| crowding[*a].total_cmp(&crowding[*b]);
    let classes = || (0..CLASS_COUNT).filter(|class| *class != SHORT_GAP);
    let crowded = classes().max_by(by_crowding)?;
    let may_give = |class: &usize| *class != crowded && crowding[*class] > 0.0;
    let donor = classes().filter(may_give).min_by(by_crowding)?;
    Some((crowded, donor))
}

/// The default shares, with engines moved from `donor` to `crowded` until the ratio of their crowding is
/// [`STOP_RATIO`], but no more than [`MAX_GIVEN`].
fn moved_shares(need: &[f64; CLASS_COUNT], crowded: usize, donor: usize) -> Shares {
    let mut shares = DEFAULT_SHARES;
    let (taker, giver) = (f64::from(shares[crowded]), f64::from(shares[donor]));
    let given = (need[crowded] * giver - STOP_RATIO * need[donor] * taker)
        / (need[crowded] + STOP_RATIO * need[donor]);
    let given = given.clamp(0.0, giver * MAX_GIVEN) as u16;
    shares[crowded] += given;
    shares[donor] -= given;
    shares
}

/// Whether shares are complete: their sum is [`WHOLE`].
pub fn is_valid(shares: &Shares) -> bool {
    shares.iter().map(|s| u32::from(*s)).sum::<u32>() == u32::from(WHOLE)
}
