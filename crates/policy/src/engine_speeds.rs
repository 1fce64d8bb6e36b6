//! Engines of a service that are slower than the others.
//!
//! The gap between two events of a stream grows with the load of the engine, and for some hundred
//! milliseconds at a time with the load of its machine. Therefore a low quantile of many gaps counts: a
//! slow engine has long gaps always, a loaded one only often. Engines are compared with those of the
//! same class only, which have about the same load. That an engine is slow outlasts a change of its
//! class, so that engines do not change places for ever.

use std::collections;

use base::clock;
use smallvec::SmallVec;

/// Time for which a sample counts.
const SAMPLE_TTL: clock::Millis = clock::Millis::secs(15);
/// Largest number of samples that are kept of an engine. With fewer, some prompts in a row would be all
/// that is known of a busy engine.
const MAX_SAMPLES: usize = 256;
/// Number of samples below which nothing is concluded.
const MIN_SAMPLES: usize = 30;
/// Quantile of the gaps that counts. Machines are slow for 15% of the time, and prompts make up to 70%
/// of the gaps longer, for up to a second at a time; a quarter of the gaps are then those of the engine
/// alone. With 0.1, equal engines were told as slow in a simulation of few samples.
const GAP_QUANTILE: f64 = 0.05;
/// Gaps below this are of events that arrived together, in milliseconds.
const MIN_GAP_MS: u16 = 3;
/// Gaps below this are not compared, in milliseconds: they are measured in whole milliseconds, which is
/// too coarse for them.
const MIN_COMPARED_MS: f64 = 10.0;
/// Number of other engines of a class, not known to be slow, below which an engine is not compared.
const MIN_OTHERS: usize = 2;
/// Speed relative to the others below which an engine is slow.
const SLOW_SPEED: f64 = 0.75;
/// Updates in a row in which it has to be below that.
const SLOW_UPDATES: u32 = 2;
/// Speed above which an engine is no longer slow, and for how long it has to be above it. An engine that
/// changes its class loses the use of its cached prefixes, so this is slow to happen.
const USUAL_SPEED: f64 = 0.9;
const USUAL_PERIOD: clock::Millis = clock::Millis::secs(20);
/// Told speeds are rounded to a multiple of this, in percent, and are in this range.
const TOLD_STEP: f64 = 5.0;
const TOLD_RANGE: (f64, f64) = (25.0, 75.0);
/// Speed of an engine that is not slow, in percent.
const USUAL_PERCENT: u8 = 100;

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

#[derive(Clone, Debug, Default)]
struct Engine {
    gaps: Samples,
    class: usize,
    /// Updates in a row in which the engine was below [`SLOW_SPEED`].
    low_updates: u32,
    /// Speed in percent that is told of a slow engine; `None` for others.
    slow_percent: Option<u8>,
    /// Since when a slow engine has been above [`USUAL_SPEED`].
    usual_since: Option<clock::Millis>,
}

impl Engine {
    /// Takes the speed relative to the others; `None` if it is not known now.
    fn update(&mut self, speed: Option<f64>, now: clock::Millis) {
        if self.slow_percent.is_some() {
            if speed.is_none_or(|speed| speed <= USUAL_SPEED) {
                self.usual_since = None;
                return;
            }
            let since = *self.usual_since.get_or_insert(now);
            if now.since(since) >= USUAL_PERIOD {
                self.slow_percent = None;
                self.low_updates = 0;
            }
            return;
        }
        let Some(speed) = speed.filter(|speed| *speed < SLOW_SPEED) else {
            self.low_updates = 0;
            return;
        };
        self.low_updates += 1;
        if self.low_updates >= SLOW_UPDATES {
            let percent = (speed * 100.0 / TOLD_STEP).round() * TOLD_STEP;
            self.slow_percent = Some(percent.clamp(TOLD_RANGE.0, TOLD_RANGE.1) as u8);
            self.usual_since = None;
        }
    }
}

/// Speeds of the engines of one service.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    engines: collections::BTreeMap<u32, Engine>,
}

impl Speeds {
    /// Creates the state of a leader that knows these speeds in percent from the one before it.
    pub fn with_known(known: &[(u32, u8)]) -> Self {
        let slow = known.iter().filter(|(_, p)| *p < USUAL_PERCENT);
        let engine = |(id, percent): &(u32, u8)| {
            let engine = Engine {
                slow_percent: Some(*percent),
                ..Engine::default()
            };
            (*id, engine)
        };
        Self {
            engines: slow.map(engine).collect(),
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

    /// Updates the speeds and returns those of the slow engines, in percent of the others'. `classes`
    /// has all engines and the index of the class that each is reserved for. Must be called once a
    /// second.
    pub fn update(&mut self, classes: &[(u32, usize)], now: clock::Millis) -> Vec<(u32, u8)> {
        let known: collections::BTreeMap<u32, usize> = classes.iter().copied().collect();
        self.engines.retain(|id, _| known.contains_key(id));
        let mut gaps: collections::BTreeMap<u32, f64> = collections::BTreeMap::new();
        // Gaps of the engines that are not slow, by class.
        let mut usual: collections::BTreeMap<usize, Vec<f64>> = collections::BTreeMap::new();
        for (id, class) in known {
            let engine = self.engines.entry(id).or_default();
            if engine.class != class {
                // The gaps before were those of another load.
                engine.class = class;
                engine.gaps = Samples::default();
            }
            let gap_ms = engine.gaps.quantile(GAP_QUANTILE, now);
            let Some(gap_ms) = gap_ms.filter(|gap| *gap >= MIN_COMPARED_MS) else {
                continue;
            };
            gaps.insert(id, gap_ms);
            if engine.slow_percent.is_none() {
                usual.entry(class).or_default().push(gap_ms);
            }
        }
        for gaps in usual.values_mut() {
            gaps.sort_by(f64::total_cmp);
        }
        for (id, engine) in &mut self.engines {
            let usual = usual.get(&engine.class).map_or(&[][..], |gaps| gaps);
            let speed = gaps.get(id).and_then(|gap_ms| {
                let own = engine.slow_percent.is_none().then_some(*gap_ms);
                Some(median_of_others(usual, own)? / gap_ms)
            });
            engine.update(speed, now);
        }
        let told = |(id, engine): (&u32, &Engine)| Some((*id, engine.slow_percent?));
        self.engines.iter().filter_map(told).collect()
    }
}

/// Returns the median of the sorted gaps without `own`, which is one of them; `None` if there are too few.
fn median_of_others(gaps: &[f64], own: Option<f64>) -> Option<f64> {
    let others = gaps.len() - usize::from(own.is_some());
    if others < MIN_OTHERS {
        return None;
    }
    let median = others / 2;
    let is_own_before = own.is_some_and(|own| own <= gaps[median]);
    Some(gaps[median + usize::from(is_own_before)])
}
