//! Upstreams known to this host, and the selection of one for each request.
//!
//! Prompts with a shared prefix go to the upstream that rendezvous hashing selects for that prefix,
//! so hosts agree on it without communicating. Load, slowdown, failures and distance can outweigh
//! that preference.

use std::collections;

use base::{clock, hash, name};
use smallvec::SmallVec;

use crate::{
    announcements, location, model, ports, reported_load, selection, slowdown, stream_class,
};

/// Prompt tokens that an idle engine processes per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 112.0;
/// Time from sending a prompt to its first event, excluding prompt processing, in milliseconds.
const FIRST_EVENT_BASE_MS: f64 = 50.0;
/// Weight of a request's own unread tokens relative to tokens queued before it. It exceeds 1
/// because processing this prompt also delays the other requests of the engine.
const OWN_PREFILL_WEIGHT: f64 = 2.0;
/// Estimated delay of the first token per active request at an engine, in milliseconds.
const ACTIVE_REQUEST_COST_MS: f64 = 1.0;
/// Estimated delay per active request at an upstream that is not an engine, in milliseconds.
const PLAIN_REQUEST_COST_MS: f64 = 20.0;
/// How long an upstream is assumed to have a prefix cached after it received a prompt with it.
const PREFIX_CACHE_TTL: clock::Millis = clock::Millis(20_000);
/// Number of prefixes above which expired entries of the prefix cache table are removed.
const MAX_CACHED_PREFIXES: usize = 4_096;
/// Consecutive failures after which an upstream is avoided for a backoff period.
const FAILURES_BEFORE_BACKOFF: u32 = 2;
/// Initial backoff period of a failing upstream.
const MIN_BACKOFF_DELAY: clock::Millis = clock::Millis(400);
/// Upper bound on the backoff period of a failing upstream.
const MAX_BACKOFF_DELAY: clock::Millis = clock::Millis(3_000);
/// Divisor of the exponential moving average of failures: the latest outcome has weight `1 / N`.
const FAILURE_RATE_SMOOTHING: f64 = 10.0;
/// Share of the drain deadline for which an upstream that leaves is still used if there is no other. It
/// goes on serving for longer, and its successor may need that time to start.
const LEAVING_USE_SHARE: f64 = 0.5;
/// Cost added for an upstream in backoff, and for a failure rate of 1, in milliseconds.
const FAILURE_COST_MS: f64 = 2_000.0;

/// An upstream and what this host has observed about it.
#[derive(Debug)]
pub struct TrackedUpstream {
    /// Latest published entry of the upstream.
    pub upstream: model::Upstream,
    /// Requests from this host that the upstream has not finished.
    pub in_flight: u32,
    /// Prompt tokens sent by this host that the upstream has not processed yet.
    pub unread_tokens: u64,
    reported_load: reported_load::ReportedLoad,
    consecutive_failures: u32,
    failure_rate: f64,
    backoff: clock::Millis,
    backoff_until: clock::Millis,
    slowdown: slowdown::Slowdown,
    /// Mark set by [`Fleet::mark_missing`]; 0 while the entry is present.
    missing_mark: u64,
    /// Class of streams that the upstream is reserved for.
    stream_class: stream_class::StreamClass,
    /// Time of the latest response bytes received from the upstream.
    last_data: clock::Millis,
}

impl TrackedUpstream {
    fn new(upstream: model::Upstream) -> Self {
        Self {
            upstream,
            in_flight: 0,
            unread_tokens: 0,
            reported_load: reported_load::ReportedLoad::default(),
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
        let reported_requests = self.reported_load.active_requests(now);
        f64::from(reported_requests.max(self.in_flight))
    }
}

/// Upstreams of one service and their typical slowdown.
#[derive(Debug, Default)]
struct ServiceUpstreams {
    names: Vec<name::Upstream>,
    /// Typical slowdown of these upstreams for each stream class.
    typical: slowdown::TypicalSlowdown,
}

/// All known upstreams, with the state needed to select among them.
#[derive(Debug)]
pub struct Fleet {
    location: location::Location,
    upstreams: collections::HashMap<name::Upstream, TrackedUpstream>,
    services: collections::HashMap<name::Service, ServiceUpstreams>,
    /// For each prefix id, the upstream instances that received it and when.
    prefix_cache: collections::HashMap<u64, SmallVec<[(u64, clock::Millis); 2]>>,
    last_mark: u64,
    announcements: announcements::Announcements,
    /// Time for which an upstream that said that it leaves may get requests that no other takes.
    leaving_use: clock::Millis,
}

impl Fleet {
    /// Creates a fleet without upstreams for a host at `location`. An upstream that has said that it
    /// leaves gets no request after `drain_deadline`.
    pub fn new(location: location::Location, drain_deadline: clock::Millis) -> Self {
        Self {
            location,
            upstreams: collections::HashMap::new(),
            services: collections::HashMap::new(),
            prefix_cache: collections::HashMap::new(),
            last_mark: 0,
            announcements: announcements::Announcements::default(),
            leaving_use: clock::Millis((drain_deadline.0 as f64 * LEAVING_USE_SHARE) as u64),
        }
    }

    /// Inserts or updates an upstream. Returns whether it is new or its state changed; another
    /// start time, address or service counts as a new upstream.
    pub fn put(&mut self, upstream: model::Upstream) -> bool {
        let name = upstream.name.clone();
        if let Some(tracked) = self.upstreams.get_mut(&name) {
            let same_instance = tracked.upstream.started_at == upstream.started_at
                && tracked.upstream.address == upstream.address
                && tracked.upstream.service == upstream.service;
            if same_instance {
                let changed = tracked.upstream.state != upstream.state;
                let service = upstream.service.clone();
                tracked.upstream = upstream;
                tracked.missing_mark = 0;
                if changed {
                    self.assign_classes(&service);
                }
                return changed;
            }
            self.remove(&name);
        }
        let service_upstreams = self.services.entry(upstream.service.clone()).or_default();
        service_upstreams.names.push(name.clone());
        let service = upstream.service.clone();
        self.upstreams.insert(name, TrackedUpstream::new(upstream));
        self.assign_classes(&service);
        true
    }

    /// Removes an upstream and returns its address, or `None` if it is unknown.
    pub fn remove(&mut self, name: &name::Upstream) -> Option<std::net::SocketAddr> {
        let tracked = self.upstreams.remove(name)?;
        if let Some(service_upstreams) = self.services.get_mut(&tracked.upstream.service) {
            service_upstreams.names.retain(|n| n != name);
        }
        self.assign_classes(&tracked.upstream.service);
        Some(tracked.upstream.address)
    }

    /// Reserves the ready engines of a service for stream classes. All hosts compute the same
    /// assignment, which spreads the engines of each class over the data centres.
    fn assign_classes(&mut self, service: &name::Service) {
        let mut ranked: Vec<(u64, name::Dc, name::Upstream)> = self
            .of_service(service)
            .filter(|tracked| tracked.upstream.state == model::UpstreamState::Ready)
            .map(|tracked| {
                (
                    name_hash(tracked),
                    tracked.upstream.dc.clone(),
                    tracked.upstream.name.clone(),
                )
            })
            .collect();
        ranked.sort_unstable();
        for (name, class) in stream_class::assign_classes(ranked) {
            if let Some(tracked) = self.upstreams.get_mut(&name) {
                tracked.stream_class = class;
            }
        }
    }

    /// Marks an upstream whose store entry disappeared. Returns the mark, which is unique, or `None`
    /// if the upstream is unknown or marked already: the time of its absence goes on.
    pub fn mark_missing(&mut self, name: &name::Upstream) -> Option<u64> {
        let tracked = self.upstreams.get_mut(name)?;
        if tracked.missing_mark != 0 {
            return None;
        }
        self.last_mark += 1;
        tracked.missing_mark = self.last_mark;
        Some(self.last_mark)
    }

    /// Whether `mark` is still the current mark of the upstream: its entry has neither reappeared
    /// nor been marked again.
    pub fn is_missing_since(&self, name: &name::Upstream, mark: u64) -> bool {
        self.upstreams
            .get(name)
            .is_some_and(|tracked| tracked.missing_mark == mark)
    }

    /// Names of all known upstreams, in no particular order.
    pub fn names(&self) -> Vec<name::Upstream> {
        self.upstreams.keys().cloned().collect()
    }

    /// Iterates over the upstreams of `service`, whatever their state.
    pub fn of_service<'a>(
        &'a self,
        service: &name::Service,
    ) -> impl Iterator<Item = &'a TrackedUpstream> {
        let names = self.services.get(service).map_or(&[][..], |p| &p.names);
        names.iter().filter_map(|n| self.upstreams.get(n))
    }

    /// Returns the upstream named `name`, or `None` if it is unknown.
    pub fn get(&self, name: &name::Upstream) -> Option<&TrackedUpstream> {
        self.upstreams.get(name)
    }

    /// Ready upstreams that the request has not been sent to, and whether each takes requests by its
    /// own responses.
    fn untried<'a>(
        &'a self,
        criteria: &'a selection::Criteria<'_>,
        now: clock::Millis,
    ) -> impl Iterator<Item = (&'a TrackedUpstream, announcements::Willingness)> {
        let ready = self.of_service(criteria.service).filter(|tracked| {
            tracked.upstream.state == model::UpstreamState::Ready
                && !criteria.excluded.contains(&tracked.upstream.name)
        });
        ready.map(move |tracked| {
            let process = instance_id(&tracked.upstream);
            (tracked, self.announcements.willingness(process, now))
        })
    }

    /// Returns why [`Self::select`] finds no upstream, with the counts of upstreams passed over.
    pub fn shortage(
        &self,
        criteria: &selection::Criteria<'_>,
        now: clock::Millis,
    ) -> (selection::Shortage, selection::Details) {
        let mut details = selection::Details::default();
        let mut is_full = false;
        let mut pause: Option<clock::Millis> = None;
        for (_, willingness) in self.untried(criteria, now) {
            match willingness {
                announcements::Willingness::Willing => is_full = true,
                announcements::Willingness::Paused(until) => {
                    details.paused += 1;
                    let left = until.since(now);
                    pause = Some(pause.map_or(left, |p| p.min(left)));
                }
                announcements::Willingness::Leaving(_) => details.leaving += 1,
            }
        }
        let shortage = match pause {
            _ if is_full => selection::Shortage::Full,
            Some(left) => selection::Shortage::Paused(left),
            None => selection::Shortage::None,
        };
        (shortage, details)
    }

    /// Records that a response of the selected upstream says that it leaves. Returns whether this is
    /// new. Only another process of the upstream ends it.
    pub fn record_leaving(&mut self, name: &name::Upstream, now: clock::Millis) -> bool {
        let Some(process) = self.upstreams.get(name).map(|t| instance_id(&t.upstream)) else {
            return false;
        };
        self.announcements.record_leaving(process, now)
    }

    /// Records that the upstream wants no requests for `pause`, and returns until when it gets none.
    /// `spread` is a random number.
    pub fn record_pause(
        &mut self,
        name: &name::Upstream,
        pause: clock::Millis,
        spread: u32,
        now: clock::Millis,
    ) -> Option<clock::Millis> {
        let process = self.upstreams.get(name).map(|t| instance_id(&t.upstream))?;
        let until = self.announcements.record_pause(process, pause, spread, now);
        Some(until)
    }

    /// Selects the upstream with the lowest estimated cost, or `None` if none is usable.
    pub fn select(
        &self,
        criteria: &selection::Criteria<'_>,
        now: clock::Millis,
    ) -> Option<selection::Selection> {
        let has_room = |tracked: &&TrackedUpstream| {
            !criteria.prompt_parts.is_empty() || tracked.reported_load.has_room(criteria.tier, now)
        };
        let shared_prefix = criteria.shared_prefix();
        let preferred =
            shared_prefix.and_then(|(id, _)| self.preferred_upstream(criteria, id, now));
        let typical = self
            .services
            .get(criteria.service)
            .map_or_else(slowdown::TypicalSlowdown::default, |p| p.typical);
        let mut best: Option<(f64, &TrackedUpstream, u64)> = None;
        let mut last_resort = None;
        let (mut usable_count, mut leaving_count, mut paused_count) = (0, 0, 0);
        for (tracked, willingness) in self.untried(criteria, now) {
            match willingness {
                announcements::Willingness::Willing => {}
                announcements::Willingness::Paused(_) => {
                    paused_count += 1;
                    continue;
                }
                announcements::Willingness::Leaving(since) => {
                    leaving_count += 1;
                    if now.since(since) < self.leaving_use && has_room(&tracked) {
                        last_resort = Some(tracked);
                    }
                    continue;
                }
            }
            if !has_room(&tracked) {
                continue;
            }
            usable_count += 1;
            let unread_tokens =
                self.tokens_to_read(criteria, tracked, shared_prefix, preferred, now);
            let mut cost_ms = self.cost_ms(criteria, tracked, &typical, unread_tokens, now);
            if now < tracked.backoff_until {
                cost_ms += FAILURE_COST_MS;
            }
            if best.is_none_or(|(c, _, _)| cost_ms < c) {
                best = Some((cost_ms, tracked, unread_tokens));
            }
        }
        let last_resort = last_resort.map(|t| (0.0, t, u64::from(criteria.prompt_tokens)));
        let (cost_ms, tracked, unread_tokens) = best.or(last_resort)?;
        let (reported_requests, report_age_ms) = tracked.reported_load.latest(now);
        let details = selection::Details {
            usable: usable_count,
            leaving: leaving_count,
            paused: paused_count,
            prefix_cached: unread_tokens < u64::from(criteria.prompt_tokens),
            in_flight: tracked.in_flight,
            reported_requests,
            report_age_ms,
            cost_ms: cost_ms as u64,
            upstream_class: tracked.stream_class,
        };
        let base_latency_ms = FIRST_EVENT_BASE_MS + unread_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let likely_latency_ms = base_latency_ms
            * tracked
                .slowdown
                .estimate(&typical, tracked.stream_class, now);
        Some(selection::Selection {
            details,
            name: tracked.upstream.name.clone(),
            address: tracked.upstream.address,
            unread_tokens,
            base_latency: clock::Millis(base_latency_ms as u64),
            likely_latency: clock::Millis(likely_latency_ms as u64),
        })
    }

    fn has_said_leaving(&self, tracked: &TrackedUpstream, now: clock::Millis) -> bool {
        let process = instance_id(&tracked.upstream);
        let willingness = self.announcements.willingness(process, now);
        matches!(willingness, announcements::Willingness::Leaving(_))
    }

    /// Returns the upstream that is preferred for caching the prefix: the one with the highest
    /// rendezvous hash among ready upstreams of the request's class, or of any class if there are
    /// none. Hosts that know the same upstreams agree on it.
    fn preferred_upstream(
        &self,
        criteria: &selection::Criteria<'_>,
        prefix_id: u64,
        now: clock::Millis,
    ) -> Option<&name::Upstream> {
        let ready = || {
            self.of_service(criteria.service)
                .filter(|tracked| tracked.upstream.state == model::UpstreamState::Ready)
                .filter(|tracked| !self.has_said_leaving(tracked, now))
        };
        let rendezvous_weight = |tracked: &&TrackedUpstream| {
            hash::stable_hash(&(prefix_id ^ name_hash(tracked)).to_le_bytes())
        };
        let in_class = ready()
            .filter(|tracked| tracked.stream_class == criteria.stream_class)
            .max_by_key(rendezvous_weight);
        in_class
            .or_else(|| ready().max_by_key(rendezvous_weight))
            .map(|tracked| &tracked.upstream.name)
    }

    /// Estimates the prompt tokens that `tracked` has to process, excluding a cached prefix.
    fn tokens_to_read(
        &self,
        criteria: &selection::Criteria<'_>,
        tracked: &TrackedUpstream,
        shared_prefix: Option<(u64, u64)>,
        preferred: Option<&name::Upstream>,
        now: clock::Millis,
    ) -> u64 {
        let prompt_tokens = u64::from(criteria.prompt_tokens);
        let Some((id, tokens)) = shared_prefix else {
            return prompt_tokens;
        };
        let instance_id = instance_id(&tracked.upstream);
        let cached = self.prefix_cache.get(&id).is_some_and(|list| {
            list.iter()
                .any(|(u, at)| *u == instance_id && now.since(*at) < PREFIX_CACHE_TTL)
        });
        if cached || preferred == Some(&tracked.upstream.name) {
            return prompt_tokens.saturating_sub(tokens);
        }
        prompt_tokens
    }

    /// Estimates the cost in milliseconds of sending the request to `tracked`.
    fn cost_ms(
        &self,
        criteria: &selection::Criteria<'_>,
        tracked: &TrackedUpstream,
        typical: &slowdown::TypicalSlowdown,
        unread_tokens: u64,
        now: clock::Millis,
    ) -> f64 {
        let queue_cost = if criteria.prompt_parts.is_empty() {
            tracked.active_requests(now) * PLAIN_REQUEST_COST_MS
        } else {
            let own_tokens = unread_tokens as f64 * OWN_PREFILL_WEIGHT;
            (own_tokens + tracked.unread_tokens as f64) / PREFILL_TOKENS_PER_MS
                + tracked.active_requests(now) * ACTIVE_REQUEST_COST_MS
        };
        let distance_cost = self.location.distance_cost_ms(&tracked.upstream.dc);
        let class_cost = if criteria.prompt_parts.is_empty() {
            0.0
        } else {
            stream_class::mismatch_cost_ms(
                criteria.stream_class,
                tracked.stream_class,
                unread_tokens,
            )
        };
        queue_cost
            * tracked
                .slowdown
                .estimate(typical, tracked.stream_class, now)
            + distance_cost
            + class_cost
            + tracked.failure_rate * FAILURE_COST_MS
    }

    /// Records that a request was sent to the selected upstream.
    pub fn record_sent(
        &mut self,
        selection: &selection::Selection,
        parts: &[ports::PromptPart],
        now: clock::Millis,
    ) {
        let Some(tracked) = self.upstreams.get_mut(&selection.name) else {
            return;
        };
        tracked.in_flight += 1;
        tracked.unread_tokens += selection.unread_tokens;
        let instance_id = instance_id(&tracked.upstream);
        let Some((_, shared_parts)) = parts.split_last() else {
            return;
        };
        if self.prefix_cache.len() > MAX_CACHED_PREFIXES {
            self.prefix_cache
                .retain(|_, list| list.iter().any(|(_, at)| now.since(*at) < PREFIX_CACHE_TTL));
        }
        for part in shared_parts {
            let list = self.prefix_cache.entry(part.id).or_default();
            list.retain(|(u, at)| *u != instance_id && now.since(*at) < PREFIX_CACHE_TTL);
            list.push((instance_id, now));
        }
    }

    /// Records that the upstream has processed a prompt, or never will, so that the prompt no
    /// longer counts in [`TrackedUpstream::unread_tokens`].
    pub fn record_prompt_read(&mut self, name: &name::Upstream, unread_tokens: u64) {
        if let Some(tracked) = self.upstreams.get_mut(name) {
            tracked.unread_tokens = tracked.unread_tokens.saturating_sub(unread_tokens);
        }
    }

    /// Records that response bytes arrived from the upstream.
    pub fn record_data(&mut self, name: &name::Upstream, now: clock::Millis) {
        if let Some(tracked) = self.upstreams.get_mut(name) {
            tracked.last_data = now;
        }
    }

    /// Whether response bytes of any request arrived from the upstream after `since`.
    pub fn has_data_since(&self, name: &name::Upstream, since: clock::Millis) -> bool {
        self.upstreams
            .get(name)
            .is_some_and(|tracked| tracked.last_data > since)
    }

    /// Records that a request at the upstream has ended.
    pub fn record_end(&mut self, name: &name::Upstream) {
        if let Some(tracked) = self.upstreams.get_mut(name) {
            tracked.in_flight = tracked.in_flight.saturating_sub(1);
        }
    }

    /// Records a load report: running requests, waiting requests and slots.
    pub fn record_load(&mut self, name: &name::Upstream, load: [u32; 3], now: clock::Millis) {
        if let Some(tracked) = self.upstreams.get_mut(name) {
            tracked.reported_load.record(load, now);
        }
    }

    /// Records a response that took `ratio` times as long as [`selection::Selection::base_latency`].
    pub fn record_success(&mut self, name: &name::Upstream, ratio: f64, now: clock::Millis) {
        let Some(tracked) = self.upstreams.get_mut(name) else {
            return;
        };
        tracked.consecutive_failures = 0;
        tracked.backoff = clock::Millis::ZERO;
        tracked.backoff_until = clock::Millis::ZERO;
        tracked.failure_rate -= tracked.failure_rate / FAILURE_RATE_SMOOTHING;
        let Some(service_upstreams) = self.services.get_mut(&tracked.upstream.service) else {
            return;
        };
        tracked.slowdown.record(
            &mut service_upstreams.typical,
            tracked.stream_class,
            ratio,
            now,
        );
    }

    /// Records a failed request. It raises the cost of the upstream; several consecutive failures
    /// start a backoff period, which doubles with each further failure.
    pub fn record_failure(&mut self, name: &name::Upstream, now: clock::Millis) {
        let Some(tracked) = self.upstreams.get_mut(name) else {
            return;
        };
        tracked.consecutive_failures += 1;
        tracked.failure_rate += (1.0 - tracked.failure_rate) / FAILURE_RATE_SMOOTHING;
        if tracked.consecutive_failures < FAILURES_BEFORE_BACKOFF {
            return;
        }
        let backoff = clock::Millis(tracked.backoff.0 * 2).max(MIN_BACKOFF_DELAY);
        tracked.backoff = backoff.min(MAX_BACKOFF_DELAY);
        tracked.backoff_until = now + tracked.backoff;
    }
}

fn name_hash(tracked: &TrackedUpstream) -> u64 {
    hash::stable_hash(tracked.upstream.name.as_str().as_bytes())
}

/// Identifies one process of an upstream: a restarted upstream has an empty prefix cache.
fn instance_id(upstream: &model::Upstream) -> u64 {
    hash::stable_hash(upstream.name.as_str().as_bytes()) ^ upstream.started_at
}
