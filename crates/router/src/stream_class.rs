//! Which engines a stream has first claim on.
//!
//! An engine that reads prompts takes long for each of its steps, and tokens of other requests
//! wait. So engines are divided among streams that mind this to different degrees.

use std::collections;

use base::name;

use crate::model;

/// Parts of a service's engines that streams with short pauses, and then streams that can't be
/// resumed, have first claim on.
const QUICK_SHARE: f64 = 0.2;
const ONCE_SHARE: f64 = 0.2;
/// The fewest engines that are divided.
const MIN_DIVIDED: usize = 3;
/// Cost of a stream with short pauses beside prompts that are read, in milliseconds.
const DISTURBED_MS: f64 = 400.0;
/// Cost of each token to be read beside streams with short pauses, in milliseconds: a chunk or two
/// delays no event past its time, more in a row do.
const DISTURBING_MS: f64 = 0.15;
/// Cost of a stream that can't be resumed beside prompts that others read, and of these beside it,
/// in milliseconds.
const ONCE_DISTURBED_MS: f64 = 150.0;
const ONCE_DISTURBING_MS: f64 = 300.0;
/// Mean time of an engine's step while it reads a long prompt, in milliseconds.
const READING_STEP_MS: u64 = 50;

/// A kind of stream, and the engines that it has first claim on.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StreamClass {
    /// Its pauses are too short for an engine that reads long prompts meanwhile.
    ShortGap,
    /// It can't be resumed: a slow engine that misses its timeout loses all of it.
    NotResumable,
    /// All others.
    #[default]
    Other,
}

impl StreamClass {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::ShortGap, Self::NotResumable, Self::Other];

    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ShortGap => "quick",
            Self::NotResumable => "once",
            Self::Other => "other",
        }
    }
}

/// The band of a route's streams, if an event of the engine holds `stride` tokens.
pub fn class_of(route: &model::Route, stride: u32) -> StreamClass {
    let quick = u64::from(stride) * READING_STEP_MS;
    if route.gap_target.is_some_and(|g| g.0 <= quick) {
        StreamClass::ShortGap
    } else if route.is_retryable() {
        StreamClass::Other
    } else {
        StreamClass::NotResumable
    }
}

/// The cost of a request of one band that reads `unread` tokens on an engine of another, in
/// milliseconds.
pub fn mismatch_cost_ms(wish: StreamClass, engine: StreamClass, unread: u64) -> f64 {
    match (wish, engine) {
        (StreamClass::ShortGap, StreamClass::NotResumable | StreamClass::Other) => DISTURBED_MS,
        (StreamClass::NotResumable | StreamClass::Other, StreamClass::ShortGap) => {
            DISTURBING_MS * unread as f64
        }
        (StreamClass::NotResumable, StreamClass::Other) => ONCE_DISTURBED_MS,
        (StreamClass::Other, StreamClass::NotResumable) => ONCE_DISTURBING_MS,
        _ => 0.0,
    }
}

/// Divides the engines of a service, in the order of their hashes, over the data centres.
pub fn assign_classes(
    ranked: Vec<(u64, name::Dc, name::Upstream)>,
) -> Vec<(name::Upstream, StreamClass)> {
    let mut seen: collections::HashMap<name::Dc, u32> = collections::HashMap::new();
    let mut order: Vec<(u32, name::Upstream)> = Vec::with_capacity(ranked.len());
    for (_, dc, name) in ranked {
        let rank = seen.entry(dc).or_default();
        order.push((*rank, name));
        *rank += 1;
    }
    order.sort_by_key(|(rank, _)| *rank);
    let all = order.len() as f64;
    let quick = (all * QUICK_SHARE).ceil() as usize;
    let once = quick + (all * ONCE_SHARE).floor() as usize;
    let divided = order.len() >= MIN_DIVIDED;
    let names = order.into_iter().enumerate();
    let band = |(i, (_, name))| {
        let band = match i {
            _ if !divided => StreamClass::Other,
            i if i < quick => StreamClass::ShortGap,
            i if i < once => StreamClass::NotResumable,
            _ => StreamClass::Other,
        };
        (name, band)
    };
    names.map(band).collect()
}
