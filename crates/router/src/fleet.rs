//! The upstreams as this host knows them, and the choice among them.
//!
//! Shared parts of prompts go to the upstream that rendezvous hashing names, so that hosts agree
//! without talking; load, slowness and distance move a request away from it.

use std::collections;

use base::{clock, hash, name};
use smallvec::SmallVec;

use crate::{model, ports, slowdown, stream_class};

/// Tokens of a prompt that an engine reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 112.0;
/// Time to the first event besides reading, in milliseconds.
const FIRST_MS: f64 = 50.0;
/// Weight of a request's own reading against waiting: it takes the engine's time from others.
const OWN_READING: f64 = 2.0;
/// Time that one running request adds to a request's first token, in milliseconds.
const RUNNING_MS: f64 = 1.0;
/// Time that one request in a plain service's slots adds, in milliseconds.
const PLAIN_MS: f64 = 20.0;
/// Cost of another data centre in the same region, in milliseconds.
const NEAR_MS: f64 = 6.0;
/// Cost of another region, in milliseconds.
const FAR_MS: f64 = 60.0;
/// How long a load report counts.
const LOAD_LIFE: clock::Millis = clock::Millis(1_500);
/// How long a shared part is taken to be kept by the upstream that read it.
const WARM_LIFE: clock::Millis = clock::Millis(20_000);
/// Shared parts remembered.
const MAX_WARM: usize = 4_096;
/// Failures in a row that set an upstream aside.
const TRIP: u32 = 2;
/// First time for which a failing upstream is set aside.
const FIRST_PAUSE: clock::Millis = clock::Millis(400);
/// Longest time for which a failing upstream is set aside.
const MAX_PAUSE: clock::Millis = clock::Millis(3_000);
/// Weight of the newest outcome in the rate of failures, as one part in this many.
const FAILURE_SMOOTHING: f64 = 10.0;
/// Cost of an upstream that fails every request, in milliseconds.
const FAILING_MS: f64 = 2_000.0;

/// One upstream with what was learnt of it.
#[derive(Debug)]
pub struct TrackedUpstream {
    /// As listed.
    pub upstream: model::Upstream,
    /// Requests that this host has there.
    pub in_flight: u32,
    /// Tokens that this host has sent there and that are not read yet.
    pub unread_tokens: u64,
    reported_load: Option<([u32; 3], clock::Millis)>,
    consecutive_failures: u32,
    failure_rate: f64,
    backoff: clock::Millis,
    backoff_until: clock::Millis,
    slowdown: slowdown::Slowdown,
    missing_mark: u64,
    stream_class: stream_class::StreamClass,
    last_data: clock::Millis,
}

impl TrackedUpstream {
    fn new(upstream: model::Upstream) -> Self {
        Self {
            upstream,
            in_flight: 0,
            unread_tokens: 0,
            reported_load: None,
            consecutive_failures: 0,
            failure_rate: 0.0,
            backoff: clock::Millis::ZERO,
            backoff_until: clock::Millis::ZERO,
            slowdown: slowdown::Slowdown::default(),
            missing_mark: 0,
            stream_class: stream_class::StreamClass::Other,
            last_data: clock::Millis::ZERO,
        }
    }

    fn active_requests(&self, now: clock::Millis) -> f64 {
        let told = match self.reported_load {
            Some(([running, waiting, _], at)) if now.since(at) < LOAD_LIFE => running + waiting,
            _ => 0,
        };
        f64::from(told.max(self.in_flight))
    }
}

/// What a request asks of an upstream.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// The parts of its prompt.
    pub prompt_parts: &'a [ports::PromptPart],
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// Which engines it has first claim on.
    pub stream_class: stream_class::StreamClass,
    /// Upstreams that it has been at.
    pub excluded: &'a [name::Upstream],
}

impl Criteria<'_> {
    /// The last part that others share, and the tokens up to its end.
    fn shared_prefix(&self) -> Option<(u64, u64)> {
        let (_, shared) = self.prompt_parts.split_last()?;
        let last = shared.last()?;
        Some((last.id, shared.iter().map(|p| u64::from(p.tokens)).sum()))
    }
}

/// The choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Selection {
    /// The upstream.
    pub name: name::Upstream,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Tokens that it is expected to read.
    pub unread_tokens: u64,
    /// Time to the first event at an engine without other work.
    pub base_latency: clock::Millis,
    /// The same at this one, as slow as it is taken to be now.
    pub likely_latency: clock::Millis,
    /// What decided.
    pub details: Details,
}

/// What decided a choice, for the logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Details {
    /// Upstreams that could be chosen.
    pub usable: u32,
    /// Whether it keeps the prompt's shared part, as far as known.
    pub prefix_cached: bool,
    /// Requests that this host had there.
    pub in_flight: u32,
    /// Running and waiting requests that it last reported.
    pub reported_requests: u32,
    /// How old that report is, in milliseconds.
    pub report_age_ms: u64,
    /// The cost that was least, in milliseconds.
    pub cost_ms: u64,
    /// The streams that have first claim on it.
    pub upstream_class: stream_class::StreamClass,
}

/// Where this host stands.
#[derive(Clone, Debug)]
pub struct Location {
    /// Its data centre.
    pub dc: name::Dc,
    /// The region of each data centre.
    pub regions: collections::HashMap<name::Dc, name::Region>,
}

impl Location {
    fn distance_cost_ms(&self, dc: &name::Dc) -> f64 {
        if *dc == self.dc {
            return 0.0;
        }
        if self.regions.get(dc) == self.regions.get(&self.dc) {
            return NEAR_MS;
        }
        FAR_MS
    }
}

/// The upstreams of one service.
#[derive(Debug, Default)]
struct Pool {
    names: Vec<name::Upstream>,
    /// How slow those of each band are on the whole.
    typical: slowdown::TypicalSlowdown,
}

/// All upstreams.
#[derive(Debug)]
pub struct Fleet {
    location: Location,
    upstreams: collections::HashMap<name::Upstream, TrackedUpstream>,
    services: collections::HashMap<name::Service, Pool>,
    prefix_cache: collections::HashMap<u64, SmallVec<[(u64, clock::Millis); 2]>>,
    last_mark: u64,
}

impl Fleet {
    /// No upstreams yet.
    pub fn new(place: Location) -> Self {
        Self {
            location: place,
            upstreams: collections::HashMap::new(),
            services: collections::HashMap::new(),
            prefix_cache: collections::HashMap::new(),
            last_mark: 0,
        }
    }

    /// Takes an upstream as listed now; returns whether anything but its load changed.
    pub fn put(&mut self, upstream: model::Upstream) -> bool {
        let name = upstream.name.clone();
        if let Some(m) = self.upstreams.get_mut(&name) {
            let same = m.upstream.started_at == upstream.started_at
                && m.upstream.address == upstream.address
                && m.upstream.service == upstream.service;
            if same {
                let changed = m.upstream.state != upstream.state;
                let service = upstream.service.clone();
                m.upstream = upstream;
                m.missing_mark = 0;
                if changed {
                    self.assign_classes(&service);
                }
                return changed;
            }
            self.remove(&name);
        }
        let pool = self.services.entry(upstream.service.clone()).or_default();
        pool.names.push(name.clone());
        let service = upstream.service.clone();
        self.upstreams.insert(name, TrackedUpstream::new(upstream));
        self.assign_classes(&service);
        true
    }

    /// Forgets an upstream that is gone; returns where it listened.
    pub fn remove(&mut self, name: &name::Upstream) -> Option<std::net::SocketAddr> {
        let member = self.upstreams.remove(name)?;
        if let Some(pool) = self.services.get_mut(&member.upstream.service) {
            pool.names.retain(|n| n != name);
        }
        self.assign_classes(&member.upstream.service);
        Some(member.upstream.address)
    }

    /// Divides the engines into bands: the same at every host, and over the data centres.
    fn assign_classes(&mut self, service: &name::Service) {
        let mut ranked: Vec<(u64, name::Dc, name::Upstream)> = self
            .of_service(service)
            .filter(|m| m.upstream.state == model::UpstreamState::Ready)
            .map(|m| (name_hash(m), m.upstream.dc.clone(), m.upstream.name.clone()))
            .collect();
        ranked.sort_unstable();
        for (name, band) in stream_class::assign_classes(ranked) {
            if let Some(m) = self.upstreams.get_mut(&name) {
                m.stream_class = band;
            }
        }
    }

    /// Notes that an upstream's entry is gone; returns the number of this miss.
    pub fn mark_missing(&mut self, name: &name::Upstream) -> u64 {
        self.last_mark += 1;
        if let Some(m) = self.upstreams.get_mut(name) {
            m.missing_mark = self.last_mark;
        }
        self.last_mark
    }

    /// Whether an upstream's entry is gone since this miss.
    pub fn is_missing_since(&self, name: &name::Upstream, miss: u64) -> bool {
        self.upstreams
            .get(name)
            .is_some_and(|m| m.missing_mark == miss)
    }

    /// The names of all upstreams.
    pub fn names(&self) -> Vec<name::Upstream> {
        self.upstreams.keys().cloned().collect()
    }

    /// The upstreams of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &name::Service,
    ) -> impl Iterator<Item = &'a TrackedUpstream> {
        let names = self.services.get(service).map_or(&[][..], |p| &p.names);
        names.iter().filter_map(|n| self.upstreams.get(n))
    }

    /// One upstream.
    pub fn get(&self, name: &name::Upstream) -> Option<&TrackedUpstream> {
        self.upstreams.get(name)
    }

    /// The best upstream for a request.
    pub fn select(&self, wish: &Criteria<'_>, now: clock::Millis) -> Option<Selection> {
        let usable = |m: &&TrackedUpstream| {
            m.upstream.state == model::UpstreamState::Ready
                && !wish.excluded.contains(&m.upstream.name)
        };
        let shared = wish.shared_prefix();
        let home = shared.and_then(|(id, _)| self.preferred_upstream(wish, id));
        let usual = self
            .services
            .get(wish.service)
            .map_or_else(slowdown::TypicalSlowdown::default, |p| p.typical);
        let mut best: Option<(f64, &TrackedUpstream, u64)> = None;
        let mut usable_count = 0;
        for m in self.of_service(wish.service).filter(usable) {
            usable_count += 1;
            let unread = self.tokens_to_read(wish, m, shared, home, now);
            let mut cost = self.cost_ms(wish, m, &usual, unread, now);
            if now < m.backoff_until {
                cost += FAILING_MS;
            }
            if best.is_none_or(|(c, _, _)| cost < c) {
                best = Some((cost, m, unread));
            }
        }
        let (cost, m, unread) = best?;
        let (told, told_age) = match m.reported_load {
            Some(([running, waiting, _], at)) => (running + waiting, now.since(at).0),
            None => (0, 0),
        };
        let reasons = Details {
            usable: usable_count,
            prefix_cached: unread < u64::from(wish.prompt_tokens),
            in_flight: m.in_flight,
            reported_requests: told,
            report_age_ms: told_age,
            cost_ms: cost as u64,
            upstream_class: m.stream_class,
        };
        let expected = FIRST_MS + unread as f64 / READ_TOKENS_PER_MS;
        let likely = expected * m.slowdown.estimate(&usual, m.stream_class, now);
        Some(Selection {
            details: reasons,
            name: m.upstream.name.clone(),
            address: m.upstream.address,
            unread_tokens: unread,
            base_latency: clock::Millis(expected as u64),
            likely_latency: clock::Millis(likely as u64),
        })
    }

    /// The upstream that keeps a shared part, if all hosts see the same ones.
    fn preferred_upstream(&self, wish: &Criteria<'_>, part: u64) -> Option<&name::Upstream> {
        let ready = || {
            self.of_service(wish.service)
                .filter(|m| m.upstream.state == model::UpstreamState::Ready)
        };
        let weight = |m: &&TrackedUpstream| hash::stable_hash(&(part ^ name_hash(m)).to_le_bytes());
        let own = ready()
            .filter(|m| m.stream_class == wish.stream_class)
            .max_by_key(weight);
        own.or_else(|| ready().max_by_key(weight))
            .map(|m| &m.upstream.name)
    }

    fn tokens_to_read(
        &self,
        wish: &Criteria<'_>,
        m: &TrackedUpstream,
        shared: Option<(u64, u64)>,
        home: Option<&name::Upstream>,
        now: clock::Millis,
    ) -> u64 {
        let prompt = u64::from(wish.prompt_tokens);
        let Some((id, tokens)) = shared else {
            return prompt;
        };
        let mark = mark(&m.upstream);
        let warm = self.prefix_cache.get(&id).is_some_and(|list| {
            list.iter()
                .any(|(u, at)| *u == mark && now.since(*at) < WARM_LIFE)
        });
        if warm || home == Some(&m.upstream.name) {
            return prompt.saturating_sub(tokens);
        }
        prompt
    }

    fn cost_ms(
        &self,
        wish: &Criteria<'_>,
        m: &TrackedUpstream,
        usual: &slowdown::TypicalSlowdown,
        unread: u64,
        now: clock::Millis,
    ) -> f64 {
        let queue = if wish.prompt_parts.is_empty() {
            m.active_requests(now) * PLAIN_MS
        } else {
            let own = unread as f64 * OWN_READING;
            (own + m.unread_tokens as f64) / READ_TOKENS_PER_MS
                + m.active_requests(now) * RUNNING_MS
        };
        let far = self.location.distance_cost_ms(&m.upstream.dc);
        let unlike = if wish.prompt_parts.is_empty() {
            0.0
        } else {
            stream_class::mismatch_cost_ms(wish.stream_class, m.stream_class, unread)
        };
        queue * m.slowdown.estimate(usual, m.stream_class, now)
            + far
            + unlike
            + m.failure_rate * FAILING_MS
    }

    /// Notes a request sent.
    pub fn record_sent(
        &mut self,
        pick: &Selection,
        parts: &[ports::PromptPart],
        now: clock::Millis,
    ) {
        let Some(m) = self.upstreams.get_mut(&pick.name) else {
            return;
        };
        m.in_flight += 1;
        m.unread_tokens += pick.unread_tokens;
        let mark = mark(&m.upstream);
        let Some((_, shared)) = parts.split_last() else {
            return;
        };
        if self.prefix_cache.len() > MAX_WARM {
            self.prefix_cache
                .retain(|_, list| list.iter().any(|(_, at)| now.since(*at) < WARM_LIFE));
        }
        for part in shared {
            let list = self.prefix_cache.entry(part.id).or_default();
            list.retain(|(u, at)| *u != mark && now.since(*at) < WARM_LIFE);
            list.push((mark, now));
        }
    }

    /// Notes that the prompt was read, or that it won't be.
    pub fn record_prompt_read(&mut self, name: &name::Upstream, unread: u64) {
        if let Some(m) = self.upstreams.get_mut(name) {
            m.unread_tokens = m.unread_tokens.saturating_sub(unread);
        }
    }

    /// Notes that bytes of an answer came.
    pub fn record_data(&mut self, name: &name::Upstream, now: clock::Millis) {
        if let Some(m) = self.upstreams.get_mut(name) {
            m.last_data = now;
        }
    }

    /// Whether bytes of any answer came since.
    pub fn has_data_since(&self, name: &name::Upstream, since: clock::Millis) -> bool {
        self.upstreams
            .get(name)
            .is_some_and(|m| m.last_data > since)
    }

    /// Notes a request ended.
    pub fn record_end(&mut self, name: &name::Upstream) {
        if let Some(m) = self.upstreams.get_mut(name) {
            m.in_flight = m.in_flight.saturating_sub(1);
        }
    }

    /// Notes a load report.
    pub fn record_load(&mut self, name: &name::Upstream, load: [u32; 3], now: clock::Millis) {
        if let Some(m) = self.upstreams.get_mut(name) {
            m.reported_load = Some((load, now));
        }
    }

    /// Notes an answer, `ratio` times as late as expected.
    pub fn record_success(&mut self, name: &name::Upstream, ratio: f64, now: clock::Millis) {
        let Some(m) = self.upstreams.get_mut(name) else {
            return;
        };
        m.consecutive_failures = 0;
        m.backoff = clock::Millis::ZERO;
        m.backoff_until = clock::Millis::ZERO;
        m.failure_rate -= m.failure_rate / FAILURE_SMOOTHING;
        let Some(pool) = self.services.get_mut(&m.upstream.service) else {
            return;
        };
        m.slowdown
            .record(&mut pool.typical, m.stream_class, ratio, now);
    }

    /// Notes a failure: it is set aside after some in a row, and used less after each.
    pub fn record_failure(&mut self, name: &name::Upstream, now: clock::Millis) {
        let Some(m) = self.upstreams.get_mut(name) else {
            return;
        };
        m.consecutive_failures += 1;
        m.failure_rate += (1.0 - m.failure_rate) / FAILURE_SMOOTHING;
        if m.consecutive_failures < TRIP {
            return;
        }
        let next = clock::Millis(m.backoff.0 * 2).max(FIRST_PAUSE);
        m.backoff = next.min(MAX_PAUSE);
        m.backoff_until = now + m.backoff;
    }
}

fn name_hash(m: &TrackedUpstream) -> u64 {
    hash::stable_hash(m.upstream.name.as_str().as_bytes())
}

/// One start of an upstream: a new start keeps nothing.
fn mark(upstream: &model::Upstream) -> u64 {
    hash::stable_hash(upstream.name.as_str().as_bytes()) ^ upstream.started_at
}
