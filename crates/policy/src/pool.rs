//! The upstreams of one service in one data centre, and the choice among them.
//!
//! The speed of an upstream is measured from its responses, not taken from its load reports, which
//! lag: a straggler shows as slow responses. Load reports only ever reduce the number of free
//! slots.

use base::{clock, name};
use serde::{Deserialize, Serialize};

use crate::{breaker, request};

/// Configuration of an upstream as the dispatcher uses it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamConfig {
    /// Name of the upstream in the configuration.
    pub name: name::Upstream,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Relative price of the upstream while it runs.
    pub price: u32,
    /// Whether the platform may reclaim the upstream at short notice.
    #[serde(rename = "cheap")]
    pub preemptible: bool,
}

/// Divisor of a new sample in the moving mean of an upstream's speed: the newest response has 1/8
/// of the weight.
const MEAN_SAMPLES: f64 = 8.0;
/// An upstream whose time per token exceeds the median by this factor is a straggler.
const STRAGGLER_RATIO: f64 = 2.5;
/// Time after the last grant to an idle straggler before it gets another request as a trial.
const STRAGGLER_RETRY_INTERVAL: clock::Millis = clock::Millis(5_000);
/// Amount by which a cached prompt prefix lowers an upstream's cost; a cost of 1 is a full load at
/// median speed.
const CACHED_PREFIX_BONUS: f64 = 0.4;
/// Cost added to an upstream that should be chosen last; larger than any load times any slowdown.
const LAST_RESORT_COST: f64 = 1_000.0;
/// Minimum length of a response, in tokens, for its time per token to be a usable sample.
const MIN_SPEED_SAMPLE_TOKENS: u32 = 8;
/// A response that is slower than the median of all upstreams by this factor, or faster than the
/// upstream's mean by this factor, gets a higher weight in the mean.
const SPEED_CHANGE_RATIO: f64 = 1.5;
/// Divisor of a sample in the moving mean when the upstream's speed has changed by
/// [`SPEED_CHANGE_RATIO`]: the newest response has half of the weight.
const SPEED_CHANGE_MEAN_SAMPLES: f64 = 2.0;
/// Maximum number of cached prompt prefixes tracked for each upstream.
const MAX_CACHED_PREFIXES: usize = 64;

/// An upstream in a pool, with its current load and measured speed.
#[derive(Debug)]
pub struct Member {
    /// Current configuration of the upstream.
    pub config: UpstreamConfig,
    /// Number of granted requests that have not ended.
    pub in_flight: u32,
    /// Number of requests that the upstream runs for other clients, by its last load report.
    pub external: u32,
    /// Whether the upstream was removed from the configuration and gets no new requests.
    pub draining: bool,
    breaker: breaker::Breaker,
    ms_per_token: f64,
    last_grant: clock::Millis,
    cached_prefixes: Vec<u64>,
}

impl Member {
    /// Slots that are in use neither by granted requests nor by other clients.
    pub fn free_slots(&self) -> u32 {
        self.config
            .slots
            .saturating_sub(self.in_flight + self.external)
    }

    fn load(&self) -> f64 {
        f64::from(self.in_flight + self.external + 1) / f64::from(self.config.slots.max(1))
    }
}

/// The upstreams of one service in one data centre.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
}

impl Pool {
    /// Replaces the configured upstreams. Those that stay keep their measurements; those that were
    /// removed drain until their requests have ended.
    pub fn configure(&mut self, configs: &[UpstreamConfig]) {
        self.members
            .retain(|m| m.in_flight > 0 || configs.iter().any(|c| c.name == m.config.name));
        for m in &mut self.members {
            m.draining = true;
        }
        for config in configs {
            if let Some(m) = self
                .members
                .iter_mut()
                .find(|m| m.config.name == config.name)
            {
                m.config = config.clone();
                m.draining = false;
                continue;
            }
            self.members.push(Member {
                config: config.clone(),
                in_flight: 0,
                external: 0,
                draining: false,
                breaker: breaker::Breaker::default(),
                ms_per_token: 0.0,
                last_grant: clock::Millis::ZERO,
                cached_prefixes: Vec::new(),
            });
        }
    }

    /// All upstreams of the pool, including those that drain.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sets the number of requests that an upstream runs for other clients, from its load report.
    pub fn set_external(&mut self, name: &name::Upstream, external: u32) {
        if let Some(m) = self.find(name) {
            m.external = external.min(m.config.slots);
        }
    }

    /// Total number of slots on upstreams that are not draining.
    pub fn total_slots(&self) -> u32 {
        self.members
            .iter()
            .filter(|m| !m.draining)
            .map(|m| m.config.slots)
            .sum()
    }

    /// Number of slots in use on upstreams that are not draining.
    pub fn used_slots(&self) -> u32 {
        self.members
            .iter()
            .filter(|m| !m.draining)
            .map(|m| m.in_flight + m.external)
            .sum()
    }

    /// Whether any upstream may run this request, now or once it has a free slot.
    pub fn can_serve(&self, request: &request::SlotRequest) -> bool {
        self.members
            .iter()
            .any(|m| !m.draining && is_allowed(m, request))
    }

    /// Returns the best upstream with a free slot for this request, or `None` if the request should
    /// wait.
    pub fn choose(
        &self,
        request: &request::SlotRequest,
        now: clock::Millis,
    ) -> Option<name::Upstream> {
        let median = self.median_ms_per_token();
        let mut best: Option<(f64, &Member)> = None;
        let mut any_free: Option<&Member> = None;
        for m in &self.members {
            if m.draining || m.free_slots() == 0 || !is_allowed(m, request) {
                continue;
            }
            any_free = any_free.or(Some(m));
            if m.breaker.is_open(now) || (m.breaker.is_half_open(now) && m.in_flight > 0) {
                continue;
            }
            if self.is_straggler(m, median)
                && (m.in_flight > 0 || now.since(m.last_grant) < STRAGGLER_RETRY_INTERVAL)
            {
                continue;
            }
            let cost = placement_cost(m, request, median);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, m));
            }
        }
        let chosen = best
            .map(|(_, m)| m)
            .or_else(|| self.fallback(any_free, now));
        chosen.map(|m| m.config.name.clone())
    }

    /// Returns `free`, an upstream with a free slot, if the breakers of all upstreams are open and
    /// no request runs on it. While any breaker is not open, the request waits for that upstream
    /// instead.
    fn fallback<'a>(&self, free: Option<&'a Member>, now: clock::Millis) -> Option<&'a Member> {
        let usable = |m: &Member| !m.draining && !m.breaker.is_open(now);
        if self.members.iter().any(usable) {
            return None;
        }
        free.filter(|m| m.in_flight == 0)
    }

    fn median_ms_per_token(&self) -> f64 {
        let mut samples: Vec<f64> = self
            .members
            .iter()
            .map(|m| m.ms_per_token)
            .filter(|p| *p > 0.0)
            .collect();
        if samples.is_empty() {
            return 0.0;
        }
        samples.sort_by(f64::total_cmp);
        samples[(samples.len() - 1) / 2]
    }

    fn is_straggler(&self, m: &Member, median: f64) -> bool {
        median > 0.0 && m.ms_per_token > median * STRAGGLER_RATIO
    }

    /// Counts a request granted on an upstream, and its prompt prefix as cached there.
    pub fn acquire(&mut self, name: &name::Upstream, prefix_hash: u64, now: clock::Millis) {
        let Some(m) = self.find(name) else { return };
        m.in_flight += 1;
        m.last_grant = now;
        if prefix_hash == 0 || m.cached_prefixes.contains(&prefix_hash) {
            return;
        }
        if m.cached_prefixes.len() == MAX_CACHED_PREFIXES {
            m.cached_prefixes.remove(0);
        }
        m.cached_prefixes.push(prefix_hash);
    }

    /// Frees the slot of a granted request that ended, and updates the breaker and the speed of the
    /// upstream.
    pub fn release(
        &mut self,
        name: &name::Upstream,
        stats: &request::RunStats,
        now: clock::Millis,
    ) {
        let Some(m) = self.find(name) else { return };
        m.in_flight = m.in_flight.saturating_sub(1);
        match stats.outcome {
            request::Outcome::Completed => m.breaker.record_success(),
            request::Outcome::Failed | request::Outcome::Refused => m.breaker.record_failure(now),
            request::Outcome::Stopped => {}
        }
        if stats.tokens < MIN_SPEED_SAMPLE_TOKENS {
            return;
        }
        let ms_per_token = stats.total.since(stats.ttft).0 as f64 / f64::from(stats.tokens);
        self.observe_speed(name, ms_per_token);
    }

    /// Updates the mean time per token of an upstream. A sample that differs a lot gets a higher
    /// weight, so that an upstream is seen to become a straggler, or to recover, within a few
    /// responses.
    fn observe_speed(&mut self, name: &name::Upstream, ms_per_token: f64) {
        let median = self.median_ms_per_token();
        let Some(m) = self.find(name) else { return };
        let slower = median > 0.0 && ms_per_token > median * SPEED_CHANGE_RATIO;
        let faster = m.ms_per_token > ms_per_token * SPEED_CHANGE_RATIO;
        let divisor = if slower || faster {
            SPEED_CHANGE_MEAN_SAMPLES
        } else {
            MEAN_SAMPLES
        };
        m.ms_per_token = if m.ms_per_token == 0.0 {
            ms_per_token
        } else {
            m.ms_per_token + (ms_per_token - m.ms_per_token) / divisor
        };
    }

    /// Clears the cached prompt prefixes of an upstream, for example after missed cache events.
    pub fn clear_prefixes(&mut self, name: &name::Upstream) {
        if let Some(m) = self.find(name) {
            m.cached_prefixes.clear();
        }
    }

    fn find(&mut self, name: &name::Upstream) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| &m.config.name == name)
    }
}

/// Whether an upstream may run a request: one that can't be resumed on another upstream never runs
/// on a preemptible one, and no request returns to an upstream that failed it.
fn is_allowed(m: &Member, request: &request::SlotRequest) -> bool {
    (request.resumable || !m.config.preemptible) && !request.excluded.contains(&m.config.name)
}

/// Cost of running a request on an upstream, lower is better: the load times the slowdown against
/// the median, minus a bonus for a cached prefix. Evictable classes prefer preemptible upstreams,
/// which keeps the others free; other classes take a preemptible one only if nothing else has a
/// free slot.
fn placement_cost(m: &Member, request: &request::SlotRequest, median: f64) -> f64 {
    let slowdown = if median > 0.0 && m.ms_per_token > 0.0 {
        (m.ms_per_token / median).max(0.5)
    } else {
        1.0
    };
    let cached_bonus =
        if request.prefix_hash != 0 && m.cached_prefixes.contains(&request.prefix_hash) {
            CACHED_PREFIX_BONUS
        } else {
            0.0
        };
    let preemptible_cost = match (m.config.preemptible, request.class.evictable) {
        (false, _) => 0.0,
        (true, true) => -1.0,
        (true, false) => LAST_RESORT_COST,
    };
    m.load() * slowdown - cached_bonus + preemptible_cost
}
