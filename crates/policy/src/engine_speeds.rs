//! Speeds of the engines of a service, relative to each other.
//!
//! The gap between two events of a stream grows with the load of the engine, and for some hundred
//! milliseconds at a time with the load of its machine. Therefore a low quantile of many gaps counts,
//! and engines are compared with those of the same class only, which have about the same load. What
//! the gaps of a class have in common is its load; the rest is the speed of each engine. The speed
//! outlasts a change of the class, so that engines do not change places for ever.

use std::collections;

use base::clock;
use smallvec::SmallVec;

/// Time for which a sample counts.
const SAMPLE_TTL: clock::Millis = clock::Millis::secs(15);
/// Largest number of samples that are kept of an engine.
const MAX_SAMPLES: usize = 96;
/// Number of samples below which nothing is concluded.
const MIN_SAMPLES: usize = 20;
/// Quantile of the gaps that counts. Machines are slow for 15% of the time, and prompts make gaps
/// longer, so the low gaps are those of the engine alone; the lowest ones are of events that arrived
/// together.
const GAP_QUANTILE: f64 = 0.2;
/// Gaps below this are of events that arrived together, in milliseconds.
const MIN_GAP_MS: u16 = 3;
/// Gaps below this are not compared, in milliseconds: they are measured in whole milliseconds, which is
/// too coarse for them.
const MIN_COMPARED_MS: f64 = 10.0;
/// Number of measured engines of a class below which they are not compared.
const MIN_ENGINES: usize = 3;
/// Divisor of the moving mean of a speed.
const SPEED_SMOOTHING: f64 = 4.0;
/// Range of speeds, relative to the mean.
const SPEED_RANGE: (f64, f64) = (0.5, 1.25);
/// Difference from 100% above which a speed is told, and change of a told speed that is told, in
/// percent.
const TOLD_DIFFERENCE: u8 = 10;
const TOLD_CHANGE: u8 = 7;
/// Time between two changes of the told speeds. Engines are ordered by them, so speeds that were told
/// one by one while they are learnt would move engines to and fro between classes.
const TOLD_INTERVAL: clock::Millis = clock::Millis::secs(10);
/// Speed of an engine that is not known to differ from the others, in percent.
const MEAN_PERCENT: u8 = 100;

/// Recent gaps between events of one engine.
#[derive(Clone, Debug, Default)]
struct Samples(collections::VecDeque<(clock::Millis, u16)>);

impl Samples {
    fn push(&mut self, value: u16, now: clock::Millis) {
        if self.0.len() >= MAX_SAMPLES {
            self.0.pop_front();
        }
        self.0.push_back((now, value));
    }

    /// Returns a quantile of the samples that are recent enough, or `None` if there are too few.
    fn quantile(&mut self, quantile: f64, now: clock::Millis) -> Option<f64> {
        self.0.retain(|(at, _)| now.since(*at) < SAMPLE_TTL);
        if self.0.len() < MIN_SAMPLES {
            return None;
        }
        let mut values: SmallVec<[u16; MAX_SAMPLES]> = self.0.iter().map(|(_, v)| *v).collect();
        let index = (values.len() as f64 * quantile) as usize;
        let index = index.min(values.len() - 1);
        Some(f64::from(*values.select_nth_unstable(index).1))
    }
}

#[derive(Clone, Debug)]
struct Engine {
    gaps: Samples,
    class: usize,
    /// Speed relative to the mean of all engines.
    speed: f64,
    /// Speed as it was told last, in percent.
    told: u8,
}

impl Engine {
    fn new(told: u8) -> Self {
        Self {
            gaps: Samples::default(),
            class: 0,
            speed: f64::from(told) / f64::from(MEAN_PERCENT),
            told,
        }
    }
}

/// Speeds of the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    engines: collections::BTreeMap<u32, Engine>,
    /// When the told speeds were changed last, or the first update came.
    told_at: Option<clock::Millis>,
}

impl Speeds {
    /// Creates the state of a leader that knows these speeds in percent from the one before it.
    pub fn with_known(known: &[(u32, u8)]) -> Self {
        let engine = |(id, percent): &(u32, u8)| (*id, Engine::new(*percent));
        Self {
            engines: known.iter().map(engine).collect(),
            told_at: None,
        }
    }

    /// Records a gap between two events of a stream from an engine. Engines that
    /// [`Self::update`] was not called with are ignored.
    pub fn record_gap(&mut self, engine: u32, gap_ms: u16, now: clock::Millis) {
        if gap_ms < MIN_GAP_MS {
            return;
        }
        if let Some(engine) = self.engines.get_mut(&engine) {
            engine.gaps.push(gap_ms, now);
        }
    }

    /// Updates the speeds and returns those in percent that differ from the mean. `classes` has all
    /// engines and the index of the class that each is reserved for.
    pub fn update(&mut self, classes: &[(u32, usize)], now: clock::Millis) -> Vec<(u32, u8)> {
        let known: collections::BTreeMap<u32, usize> = classes.iter().copied().collect();
        self.engines.retain(|id, _| known.contains_key(id));
        let mut measured: collections::BTreeMap<usize, Vec<(u32, f64)>> =
            collections::BTreeMap::new();
        for (id, class) in known {
            let engine = self.engines.entry(id).or_insert(Engine::new(MEAN_PERCENT));
            if engine.class != class {
                // The gaps before were those of another load.
                engine.class = class;
                engine.gaps = Samples::default();
            }
            let gap_ms = engine.gaps.quantile(GAP_QUANTILE, now);
            if let Some(gap_ms) = gap_ms.filter(|gap| *gap >= MIN_COMPARED_MS) {
                measured.entry(class).or_default().push((id, gap_ms));
            }
        }
        for engines in measured.values().filter(|m| m.len() >= MIN_ENGINES) {
            self.compare(engines);
        }
        self.normalize();
        let told_at = *self.told_at.get_or_insert(now);
        let is_due = now.since(told_at) >= TOLD_INTERVAL;
        if is_due {
            self.told_at = Some(now);
        }
        self.told(is_due)
    }

    /// Updates the speeds of the engines of one class by their gaps in milliseconds.
    fn compare(&mut self, engines: &[(u32, f64)]) {
        let mut loads: Vec<f64> = engines
            .iter()
            .filter_map(|(id, gap_ms)| Some(gap_ms * self.engines.get(id)?.speed))
            .collect();
        loads.sort_by(f64::total_cmp);
        let load = loads[loads.len() / 2];
        for (id, gap_ms) in engines {
            if let Some(engine) = self.engines.get_mut(id) {
                let speed = (load / gap_ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
                engine.speed += (speed - engine.speed) / SPEED_SMOOTHING;
            }
        }
    }

    /// Makes 1 the mean of the speeds.
    fn normalize(&mut self) {
        let sum: f64 = self.engines.values().map(|e| e.speed).sum();
        let mean = sum / self.engines.len().max(1) as f64;
        for engine in self.engines.values_mut() {
            engine.speed = (engine.speed / mean).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        }
    }

    fn told(&mut self, is_due: bool) -> Vec<(u32, u8)> {
        let mut told = Vec::new();
        for (id, engine) in &mut self.engines {
            let percent = (engine.speed * f64::from(MEAN_PERCENT)).round() as u8;
            if is_due && percent.abs_diff(engine.told) >= TOLD_CHANGE {
                engine.told = percent;
            }
            if engine.told.abs_diff(MEAN_PERCENT) > TOLD_DIFFERENCE {
                told.push((*id, engine.told));
            }
        }
        told
    }
}
