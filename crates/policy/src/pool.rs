//! The upstreams of one service in one data centre, and the choice among them.
//!
//! An upstream's speed is learnt from answers, not from its load reports, which lag: a straggler
//! shows as slow first tokens. Reports only ever lower the free slots.

use base::{clock, name};
use serde::{Deserialize, Serialize};

use crate::{breaker, request};

/// An upstream as configured.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct UpstreamConfig {
    /// Its name.
    pub name: name::Upstream,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its cost while running.
    pub price: u32,
    /// Whether it can be evicted.
    #[serde(rename = "cheap")]
    pub preemptible: bool,
}

/// Weight of the newest answer in the moving means, as one part in this many.
const SMOOTHING: f64 = 8.0;
/// An upstream this many times slower than the median is a straggler.
const STRAGGLER: f64 = 2.5;
/// How long a straggler is left alone before it gets a trial.
const TRIAL_EVERY: clock::Millis = clock::Millis(5_000);
/// How much a warm prefix is worth, as a share of an upstream's load.
const WARM_BONUS: f64 = 0.4;
/// What makes an upstream the last choice: more than any load times any slowness.
const LAST_RESORT: f64 = 1_000.0;
/// Tokens of an answer that shows an upstream's pace.
const PACED_TOKENS: u32 = 8;
/// An answer this many times slower than the median, or faster than the mean, counts for more.
const SUSPECT: f64 = 1.5;
/// Weight of such an answer, as one part in this many.
const SUSPECT_SMOOTHING: f64 = 2.0;
/// Prefixes remembered for each upstream.
const PREFIXES: usize = 64;

/// One upstream with what was learnt of it.
#[derive(Debug)]
pub struct Member {
    /// As configured.
    pub config: UpstreamConfig,
    /// Requests granted and not ended.
    pub active: u32,
    /// Requests that others run on it, as last reported.
    pub external: u32,
    /// Whether new work may go to it.
    pub draining: bool,
    breaker: breaker::Breaker,
    ms_per_token: f64,
    last_grant: clock::Millis,
    cached_prefixes: Vec<u64>,
}

impl Member {
    /// Slots not in use.
    pub fn free_slots(&self) -> u32 {
        self.config
            .slots
            .saturating_sub(self.active + self.external)
    }

    fn load(&self) -> f64 {
        f64::from(self.active + self.external + 1) / f64::from(self.config.slots.max(1))
    }
}

/// The upstreams of one service in one data centre.
#[derive(Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
}

impl Pool {
    /// Takes the upstreams as configured now; what was learnt of those that stay is kept.
    pub fn configure(&mut self, sites: &[UpstreamConfig]) {
        self.members
            .retain(|m| m.active > 0 || sites.iter().any(|s| s.name == m.config.name));
        for m in &mut self.members {
            m.draining = true;
        }
        for site in sites {
            if let Some(m) = self.members.iter_mut().find(|m| m.config.name == site.name) {
                m.config = site.clone();
                m.draining = false;
                continue;
            }
            self.members.push(Member {
                config: site.clone(),
                active: 0,
                external: 0,
                draining: false,
                breaker: breaker::Breaker::default(),
                ms_per_token: 0.0,
                last_grant: clock::Millis::ZERO,
                cached_prefixes: Vec::new(),
            });
        }
    }

    /// The upstreams, leaving ones included.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Sets what others run on an upstream, from its load report.
    pub fn set_external(&mut self, name: &name::Upstream, foreign: u32) {
        if let Some(m) = self.find(name) {
            m.external = foreign.min(m.config.slots);
        }
    }

    /// All slots of upstreams that take new work.
    pub fn total_slots(&self) -> u32 {
        self.members
            .iter()
            .filter(|m| !m.draining)
            .map(|m| m.config.slots)
            .sum()
    }

    /// Slots in use on upstreams that take new work.
    pub fn used_slots(&self) -> u32 {
        self.members
            .iter()
            .filter(|m| !m.draining)
            .map(|m| m.active + m.external)
            .sum()
    }

    /// Whether an upstream could take this request, now or later.
    pub fn can_serve(&self, ask: &request::SlotRequest) -> bool {
        self.members.iter().any(|m| !m.draining && allowed(m, ask))
    }

    /// The best upstream with a free slot for this request.
    pub fn choose(&self, ask: &request::SlotRequest, now: clock::Millis) -> Option<name::Upstream> {
        let median = self.median_pace();
        let mut best: Option<(f64, &Member)> = None;
        let mut last: Option<&Member> = None;
        for m in &self.members {
            if m.draining || m.free_slots() == 0 || !allowed(m, ask) {
                continue;
            }
            last = last.or(Some(m));
            if m.breaker.is_open(now) || (m.breaker.is_half_open(now) && m.active > 0) {
                continue;
            }
            if self.is_straggler(m, median)
                && (m.active > 0 || now.since(m.last_grant) < TRIAL_EVERY)
            {
                continue;
            }
            let cost = score(m, ask, median);
            if best.is_none_or(|(c, _)| cost < c) {
                best = Some((cost, m));
            }
        }
        let chosen = best.map(|(_, m)| m).or_else(|| self.fallback(last, now));
        chosen.map(|m| m.config.name.clone())
    }

    /// A closed breaker elsewhere with no free slot is worth waiting for; if every breaker is
    /// open, one upstream is tried all the same.
    fn fallback<'a>(&self, last: Option<&'a Member>, now: clock::Millis) -> Option<&'a Member> {
        let usable = |m: &Member| !m.draining && !m.breaker.is_open(now);
        if self.members.iter().any(usable) {
            return None;
        }
        last.filter(|m| m.active == 0)
    }

    fn median_pace(&self) -> f64 {
        let mut paces: Vec<f64> = self
            .members
            .iter()
            .map(|m| m.ms_per_token)
            .filter(|p| *p > 0.0)
            .collect();
        if paces.is_empty() {
            return 0.0;
        }
        paces.sort_by(f64::total_cmp);
        paces[(paces.len() - 1) / 2]
    }

    fn is_straggler(&self, m: &Member, median: f64) -> bool {
        median > 0.0 && m.ms_per_token > median * STRAGGLER
    }

    /// Notes a grant.
    pub fn acquire(&mut self, name: &name::Upstream, prefix: u64, now: clock::Millis) {
        let Some(m) = self.find(name) else { return };
        m.active += 1;
        m.last_grant = now;
        if prefix == 0 || m.cached_prefixes.contains(&prefix) {
            return;
        }
        if m.cached_prefixes.len() == PREFIXES {
            m.cached_prefixes.remove(0);
        }
        m.cached_prefixes.push(prefix);
    }

    /// Notes the end of a grant.
    pub fn release(
        &mut self,
        name: &name::Upstream,
        spent: &request::RunStats,
        now: clock::Millis,
    ) {
        let Some(m) = self.find(name) else { return };
        m.active = m.active.saturating_sub(1);
        match spent.outcome {
            request::Outcome::Completed => m.breaker.record_success(),
            request::Outcome::Failed | request::Outcome::Refused => m.breaker.record_failure(now),
            request::Outcome::Stopped => {}
        }
        if spent.tokens < PACED_TOKENS {
            return;
        }
        let pace = spent.total.since(spent.ttft).0 as f64 / f64::from(spent.tokens);
        self.observe_pace(name, pace);
    }

    /// Learns an upstream's pace, in milliseconds a token: fast when it has changed much, so that
    /// a straggler, and the end of one, is seen after a few answers.
    fn observe_pace(&mut self, name: &name::Upstream, pace: f64) {
        let median = self.median_pace();
        let Some(m) = self.find(name) else { return };
        let slower = median > 0.0 && pace > median * SUSPECT;
        let faster = m.ms_per_token > pace * SUSPECT;
        let smoothing = if slower || faster {
            SUSPECT_SMOOTHING
        } else {
            SMOOTHING
        };
        m.ms_per_token = if m.ms_per_token == 0.0 {
            pace
        } else {
            m.ms_per_token + (pace - m.ms_per_token) / smoothing
        };
    }

    /// Forgets the cached prefixes of an upstream, as after a gap in its cache events.
    pub fn clear_prefixes(&mut self, name: &name::Upstream) {
        if let Some(m) = self.find(name) {
            m.cached_prefixes.clear();
        }
    }

    fn find(&mut self, name: &name::Upstream) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| &m.config.name == name)
    }
}

/// Work that can't be continued elsewhere never runs where an eviction can come.
fn allowed(m: &Member, ask: &request::SlotRequest) -> bool {
    (ask.resumable || !m.config.preemptible) && !ask.avoid.contains(&m.config.name)
}

/// Lower is better: load, scaled by slowness, less a bonus for a warm prefix. Classes that stand
/// an eviction prefer cheap upstreams, so that the others stay free for those that don't; these
/// take a cheap one only when no other has a free slot.
fn score(m: &Member, ask: &request::SlotRequest, median: f64) -> f64 {
    let slow = if median > 0.0 && m.ms_per_token > 0.0 {
        (m.ms_per_token / median).max(0.5)
    } else {
        1.0
    };
    let warm = if ask.prefix_hash != 0 && m.cached_prefixes.contains(&ask.prefix_hash) {
        WARM_BONUS
    } else {
        0.0
    };
    let cheap = match (m.config.preemptible, ask.class.evictable) {
        (false, _) => 0.0,
        (true, true) => -1.0,
        (true, false) => LAST_RESORT,
    };
    m.load() * slow - warm + cheap
}
