//! Decides what share of a service's engines is reserved for each class of streams.
//!
//! The shares follow the demand of the classes. An engine that changes its class loses the use of
//! the prefixes in its cache, so shares change only when the classes are clearly unequal, and in
//! bounded steps.

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

/// Samples of the need whose median counts. A burst of two seconds changes no median of five.
const SAMPLE_COUNT: usize = 5;
/// Samples from which on shares are changed.
const MIN_SAMPLES: usize = 4;
/// Divisor of the moving mean of the median: the newest one has weight `1 / N`. With the median alone,
/// noise of 40% changed the shares every six seconds.
const SMOOTHING: f64 = 3.0;
/// Ratio of two classes' pressures above which the shares begin to change, and below which they
/// are left alone again.
const START_RATIO: f64 = 1.5;
const STOP_RATIO: f64 = 1.25;
/// Sum over the decisions of the ratio's excess over [`START_RATIO`] at which a change begins: a ratio
/// of [`MAX_RATIO`] starts it at once, one of 1.6, as in noise, after ten seconds.
const MIN_EXCESS: f64 = 1.0;
/// Ratio above which a larger one makes no difference.
const MAX_RATIO: f64 = 4.0;
/// Highest pressure below which no change begins: no request waits, and caches would be lost for
/// nothing.
const MIN_PRESSURE: f64 = 0.1;
/// Largest part of all engines that changes its class at once, in thousandths.
const MAX_STEP: u16 = 100;
/// Difference from the intended shares that is left alone, in thousandths.
const TOLERANCE: u16 = 30;
/// Smallest share of a class with any demand, in thousandths.
const MIN_SHARE: u16 = 50;
/// Time between the end of one change and the begin of the next.
const SETTLE_PERIOD: clock::Millis = clock::Millis::secs(5);
/// Time since its last demand after which a class keeps no engine.
const IDLE_PERIOD: clock::Millis = clock::Millis::secs(30);
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

    fn is_any(&self) -> bool {
        self.prompt_tokens > 0.0 || self.running > 0.0 || self.requests > 0.0
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
    /// Moving mean of the median of the samples; `None` before the first sample.
    need: Option<[f64; CLASS_COUNT]>,
    /// When each class last had any demand.
    demanded_at: [Option<clock::Millis>; CLASS_COUNT],
    is_changing: bool,
    /// Sum of the excesses of the ratio over [`START_RATIO`], see [`MIN_EXCESS`].
    excess: f64,
    settled_at: Option<clock::Millis>,
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
            need: None,
            demanded_at: [None; CLASS_COUNT],
            is_changing: false,
            excess: 0.0,
            settled_at: None,
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
        let demand = demand.map(|d| d.clamped().0);
        for (class, demand) in demand.iter().enumerate() {
            // A new leader doesn't know which classes had demand before.
            let is_first = self.samples.is_empty() && self.shares[class] > 0;
            if demand.is_any() || is_first {
                self.demanded_at[class] = Some(now);
            }
        }
        if self.samples.len() >= SAMPLE_COUNT {
            self.samples.pop_front();
        }
        self.samples.push_back(demand.map(|d| model.need(&d)));
        let need = self.smooth_need();
        let pressure = self.pressure(&need, engines);
        let before = self.shares;
        if engines > 0 {
            let min = self.min_shares(engines, now);
            self.admit_returning(&demand, &min);
            self.change(&need, &pressure, &min, engines, now);
        }
        Decision {
            shares: self.shares,
            changed: self.shares != before,
            need,
            pressure,
        }
    }

    fn smooth_need(&mut self) -> [f64; CLASS_COUNT] {
        let mut median = [0.0; CLASS_COUNT];
        for (class, median) in median.iter_mut().enumerate() {
            let mut samples: Vec<f64> = self.samples.iter().map(|s| s[class]).collect();
            samples.sort_by(f64::total_cmp);
            *median = samples[samples.len() / 2];
        }
        if self.samples.len() <= MIN_SAMPLES {
            self.need = None;
        }
        let need = self.need.get_or_insert(median);
        for (need, median) in need.iter_mut().zip(median) {
            *need += (median - *need) / SMOOTHING;
        }
        *need
    }

    fn pressure(&self, need: &[f64; CLASS_COUNT], engines: u32) -> [f64; CLASS_COUNT] {
        let mut pressure = [0.0; CLASS_COUNT];
        for (class, pressure) in pressure.iter_mut().enumerate() {
            if need[class] > 0.0 {
                let share = f64::from(self.shares[class]) / f64::from(WHOLE);
                *pressure = need[class] / (share * f64::from(engines));
            }
        }
        pressure
    }

    /// Smallest share of each class: that of one engine at least if it had any demand lately.
    fn min_shares(&self, engines: u32, now: clock::Millis) -> Shares {
        let one_engine = u32::from(WHOLE).div_ceil(engines.max(1)) as u16;
        let min = MIN_SHARE.max(one_engine).min(WHOLE / CLASS_COUNT as u16);
        self.demanded_at.map(|at| match at {
            Some(at) if now.since(at) < IDLE_PERIOD => min,
            _ => 0,
        })
    }

    /// Gives a class that had no engine its smallest share as soon as it has demand.
    fn admit_returning(&mut self, demand: &[Demand; CLASS_COUNT], min: &Shares) {
        for class in 0..CLASS_COUNT {
            if self.shares[class] > 0 || !demand[class].is_any() {
                continue;
            }
            let Some(donor) = (0..CLASS_COUNT).max_by_key(|c| self.shares[*c]) else {
                continue;
            };
            let given = min[class].min(self.shares[donor]);
            self.shares[donor] -= given;
            self.shares[class] += given;
        }
    }

    fn change(
        &mut self,
        need: &[f64; CLASS_COUNT],
        pressure: &[f64; CLASS_COUNT],
        min: &Shares,
        engines: u32,
        now: clock::Millis,
    ) {
        let highest = pressure.iter().copied().fold(0.0, f64::max);
        if self.samples.len() < MIN_SAMPLES || highest <= 0.0 {
            return;
        }
        let target = target_shares(need, min);
        let ratio = self.imbalance(pressure, min, highest);
        if self.is_changing {
            let is_near = (0..CLASS_COUNT)
                .all(|class| self.shares[class].abs_diff(target[class]) <= TOLERANCE);
            if is_near || ratio <= STOP_RATIO {
                self.is_changing = false;
                self.settled_at = Some(now);
                return;
            }
        } else {
            let is_settling = self
                .settled_at
                .is_some_and(|at| now.since(at) < SETTLE_PERIOD);
            let excess = self.excess + ratio.min(MAX_RATIO) - START_RATIO;
            self.excess = excess.clamp(0.0, MIN_EXCESS);
            let is_unequal = ratio > START_RATIO && self.excess >= MIN_EXCESS;
            if !is_unequal || highest < MIN_PRESSURE || is_settling {
                return;
            }
            self.excess = 0.0;
            self.is_changing = true;
        }
        let one_engine = u32::from(WHOLE).div_ceil(engines) as u16;
        self.shares = step(&self.shares, &target, MAX_STEP.max(one_engine));
    }

    /// Ratio of the highest pressure to the lowest of the classes that can give engines away; 1 if
    /// there is none.
    fn imbalance(&self, pressure: &[f64; CLASS_COUNT], min: &Shares, highest: f64) -> f64 {
        let lowest = (0..CLASS_COUNT)
            .filter(|class| self.shares[*class] > min[*class] + TOLERANCE)
            .map(|class| pressure[class])
            .fold(highest, f64::min);
        if lowest == highest {
            1.0
        } else {
            highest / lowest
        }
    }
}

/// Whether shares are complete: their sum is [`WHOLE`].
pub fn is_valid(shares: &Shares) -> bool {
    shares.iter().map(|s| u32::from(*s)).sum::<u32>() == u32::from(WHOLE)
}

/// Shares in proportion to the need, except that no class gets less than `min`.
fn target_shares(need: &[f64; CLASS_COUNT], min: &Shares) -> Shares {
    let mut is_at_min = [false; CLASS_COUNT];
    let mut shares = [0.0; CLASS_COUNT];
    // Each round adds at least one class to those at their minimum, or is the last one.
    for _ in 0..=CLASS_COUNT {
        let mut rest = f64::from(WHOLE);
        let mut rest_need = 0.0;
        for class in 0..CLASS_COUNT {
            if is_at_min[class] {
                rest -= f64::from(min[class]);
            } else {
                rest_need += need[class];
            }
        }
        for class in 0..CLASS_COUNT {
            shares[class] = if is_at_min[class] {
                f64::from(min[class])
            } else {
                rest * need[class] / rest_need.max(f64::MIN_POSITIVE)
            };
        }
        let mut is_last = true;
        for class in 0..CLASS_COUNT {
            if !is_at_min[class] && shares[class] < f64::from(min[class]) {
                is_at_min[class] = true;
                is_last = false;
            }
        }
        if is_last {
            break;
        }
    }
    completed(shares)
}

/// Rounds shares; the class with the largest one takes what is missing from the whole.
fn completed(shares: [f64; CLASS_COUNT]) -> Shares {
    let mut rounded = shares.map(|s| s.round().clamp(0.0, f64::from(WHOLE)) as i32);
    let missing = i32::from(WHOLE) - rounded.iter().sum::<i32>();
    if let Some(largest) = rounded.iter_mut().max() {
        *largest += missing;
    }
    rounded.map(|s| s.clamp(0, i32::from(WHOLE)) as u16)
}

/// Moves `shares` towards `target`; classes gain at most `limit` together.
fn step(shares: &Shares, target: &Shares, limit: u16) -> Shares {
    let gain: u16 = (0..CLASS_COUNT)
        .map(|class| target[class].saturating_sub(shares[class]))
        .sum();
    if gain <= limit {
        return *target;
    }
    let part = f64::from(limit) / f64::from(gain);
    let mut next = [0.0; CLASS_COUNT];
    for (class, next) in next.iter_mut().enumerate() {
        let share = f64::from(shares[class]);
        *next = share + (f64::from(target[class]) - share) * part;
    }
    completed(next)
}
