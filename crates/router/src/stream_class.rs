//! Classes of streams, and the engines that are reserved for each class.
//!
//! While an engine processes a prompt, each of its steps takes longer, which delays the tokens of
//! all its other requests. Streams tolerate this delay to different degrees, so each class of
//! streams prefers its own engines.

use std::collections;

use base::name;
use policy::engine_classes;

use crate::model;

/// Number of engines below which none are reserved.
const MIN_DIVIDED_ENGINES: usize = 3;
/// Cost of running a short-gap stream beside prompts that are processed, in milliseconds.
const SHORT_GAP_ON_OTHER_COST_MS: f64 = 400.0;
/// Cost per unread prompt token of running another request beside short-gap streams, in
/// milliseconds. One or two chunks of a prompt do not make an event late; more in a row do.
const OTHER_ON_SHORT_GAP_MS_PER_TOKEN: f64 = 0.15;
/// Cost of running a stream that can't be resumed on an engine for other streams, where prompts
/// are processed, and of running another request beside streams that can't be resumed, in
/// milliseconds.
const NOT_RESUMABLE_ON_OTHER_COST_MS: f64 = 150.0;
const OTHER_ON_NOT_RESUMABLE_COST_MS: f64 = 300.0;
/// Mean duration of an engine step while the engine processes a long prompt, in milliseconds.
const PREFILL_STEP_MS: u64 = 50;

/// A class of streams; each engine is reserved for one class.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StreamClass {
    /// Streams whose target gap is too short for an engine that also processes long prompts.
    ShortGap,
    /// Streams that can't be resumed elsewhere: if the engine is too slow, the whole response is
    /// lost.
    NotResumable,
    /// Streams that are neither short-gap nor impossible to resume, and all other requests.
    #[default]
    Other,
}

impl StreamClass {
    /// All classes, in declaration order, so that `ALL[class as usize] == class`.
    pub const ALL: [Self; 3] = [Self::ShortGap, Self::NotResumable, Self::Other];

    /// Name of the class in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ShortGap => "quick",
            Self::NotResumable => "once",
            Self::Other => "other",
        }
    }
}

/// Returns the class of a route's streams, given the tokens per event of the engine.
pub fn class_of(route: &model::Route, tokens_per_event: u32) -> StreamClass {
    let short_gap_limit_ms = u64::from(tokens_per_event) * PREFILL_STEP_MS;
    if route.gap_target.is_some_and(|g| g.0 <= short_gap_limit_ms) {
        StreamClass::ShortGap
    } else if route.is_retryable() {
        StreamClass::Other
    } else {
        StreamClass::NotResumable
    }
}

/// Cost in milliseconds of running a request of one class on an engine reserved for another.
pub fn mismatch_cost_ms(
    request_class: StreamClass,
    engine_class: StreamClass,
    unread_tokens: u64,
) -> f64 {
    match (request_class, engine_class) {
        (StreamClass::ShortGap, StreamClass::NotResumable | StreamClass::Other) => {
            SHORT_GAP_ON_OTHER_COST_MS
        }
        (StreamClass::NotResumable | StreamClass::Other, StreamClass::ShortGap) => {
            OTHER_ON_SHORT_GAP_MS_PER_TOKEN * unread_tokens as f64
        }
        (StreamClass::NotResumable, StreamClass::Other) => NOT_RESUMABLE_ON_OTHER_COST_MS,
        (StreamClass::Other, StreamClass::NotResumable) => OTHER_ON_NOT_RESUMABLE_COST_MS,
        _ => 0.0,
    }
}

/// An engine of a service, as [`assign_classes`] orders them.
#[derive(Clone, Debug)]
pub struct RankedEngine {
    /// Hash of the name, which decides among the engines of a data centre.
    pub hash: u64,
    /// Data centre in which the engine runs.
    pub dc: name::Dc,
    /// Name of the engine.
    pub name: name::Upstream,
}

/// Assigns a class to each engine of a service. `ranked` is sorted by hash; the engines of each
/// class are spread over the data centres. The classes follow each other in one order of the engines,
/// so that a share that changes moves few engines.
pub fn assign_classes(
    ranked: Vec<RankedEngine>,
    shares: &engine_classes::Shares,
) -> Vec<(RankedEngine, StreamClass)> {
    let mut next_rank: collections::HashMap<name::Dc, u32> = collections::HashMap::new();
    let mut ordered: Vec<(u32, RankedEngine)> = Vec::with_capacity(ranked.len());
    for engine in ranked {
        let rank = next_rank.entry(engine.dc.clone()).or_default();
        ordered.push((*rank, engine));
        *rank += 1;
    }
    ordered.sort_by_key(|(rank, _)| *rank);
    let [short_gap, not_resumable] = class_sizes(ordered.len(), shares);
    let divided = ordered.len() >= MIN_DIVIDED_ENGINES;
    let engines = ordered.into_iter().enumerate();
    let class = |(i, (_, engine))| {
        let class = match i {
            _ if !divided => StreamClass::Other,
            i if i < short_gap => StreamClass::ShortGap,
            i if i < short_gap + not_resumable => StreamClass::NotResumable,
            _ => StreamClass::Other,
        };
        (engine, class)
    };
    engines.map(class).collect()
}

/// Numbers of engines for [`StreamClass::ShortGap`] and [`StreamClass::NotResumable`]. Other requests
/// keep one engine if they have any share.
fn class_sizes(total: usize, shares: &engine_classes::Shares) -> [usize; 2] {
    let whole = usize::from(engine_classes::WHOLE);
    let [short_gap, not_resumable, other] = shares.map(usize::from);
    let mut short_gap = (total * short_gap).div_ceil(whole).min(total);
    let mut not_resumable = (total * not_resumable / whole).min(total - short_gap);
    if other > 0 && short_gap + not_resumable == total {
        let larger = if short_gap > not_resumable {
            &mut short_gap
        } else {
            &mut not_resumable
        };
        *larger = larger.saturating_sub(1);
    }
    [short_gap, not_resumable]
}
