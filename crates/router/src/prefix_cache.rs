//! Which upstreams are assumed to have which prefixes of prompts cached.

use std::collections;

use base::clock;
use smallvec::SmallVec;

/// How long an upstream is assumed to have a prefix cached after it received a prompt with it.
const PREFIX_CACHE_TTL: clock::Millis = clock::Millis(20_000);
/// Number of prefixes above which expired entries of the prefix cache table are removed.
const MAX_CACHED_PREFIXES: usize = 4_096;

/// Prefixes that upstreams received lately.
#[derive(Debug, Default)]
pub struct PrefixCache {
    /// For each prefix id, the upstream instances that received it and when.
    instances: collections::HashMap<u64, SmallVec<[(u64, clock::Millis); 2]>>,
}

impl PrefixCache {
    /// Whether the upstream instance is assumed to have the prefix cached.
    pub fn contains(&self, prefix: u64, instance: u64, now: clock::Millis) -> bool {
        self.instances.get(&prefix).is_some_and(|list| {
            list.iter()
                .any(|(u, at)| *u == instance && now.since(*at) < PREFIX_CACHE_TTL)
        })
    }

    /// Records that the upstream instance received a prompt with the prefix.
    pub fn insert(&mut self, prefix: u64, instance: u64, now: clock::Millis) {
        if self.instances.len() > MAX_CACHED_PREFIXES {
            self.instances
                .retain(|_, list| list.iter().any(|(_, at)| now.since(*at) < PREFIX_CACHE_TTL));
        }
        let list = self.instances.entry(prefix).or_default();
        list.retain(|(u, at)| *u != instance && now.since(*at) < PREFIX_CACHE_TTL);
        list.push((instance, now));
    }
}
