//! Upstreams known to this host, and the selection of one for each request.
//!
//! Prompts with a shared prefix go to the upstream that rendezvous hashing selects for that prefix,
//! so hosts agree on it without communicating. Load, slowdown, failures and distance can outweigh
//! that preference.

use std::collections;

use base::{clock, name};
use policy::engine_classes;

mod dc_drains;

use crate::{
    announcements, location, model, offloading, ports, prefix_cache, selection, slowdown,
    stream_class, tracked, warm_up,
};

/// Time from sending a prompt to its first event, excluding prompt processing, in milliseconds.
pub(crate) const FIRST_EVENT_BASE_MS: f64 = 50.0;
/// Prompt tokens that an idle engine processes per millisecond; the measured slowdown corrects it for
/// other engines.
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 112.0;
/// Weight of a request's own unread tokens relative to tokens queued before it. It exceeds 1
/// because processing this prompt also delays the other requests of the engine.
const OWN_PREFILL_WEIGHT: f64 = 2.0;
/// Estimated delay of the first token per active request at an engine, in milliseconds.
pub(crate) const ACTIVE_REQUEST_COST_MS: f64 = 1.0;
/// Estimated delay per active request at an upstream that is not an engine, in milliseconds.
pub(crate) const PLAIN_REQUEST_COST_MS: f64 = 20.0;
/// Share of the drain deadline for which an upstream that leaves is still used if there is no other. It
/// goes on serving for longer, and its successor may need that time to start.
const LEAVING_USE_SHARE: f64 = 0.5;

/// Upstreams of one service and their typical slowdown.
#[derive(Debug)]
pub(crate) struct ServiceUpstreams {
    pub(crate) names: Vec<name::Upstream>,
    /// Typical slowdown of these upstreams for each stream class.
    pub(crate) typical: slowdown::TypicalSlowdown,
    /// Shares of the engines by class, by the leader's digest.
    pub(crate) shares: engine_classes::Shares,
}

impl Default for ServiceUpstreams {
    fn default() -> Self {
        Self {
            names: Vec::new(),
            typical: slowdown::TypicalSlowdown::default(),
            shares: engine_classes::DEFAULT_SHARES,
        }
    }
}

/// All known upstreams, with the state needed to select among them.
#[derive(Debug)]
pub struct Fleet {
    location: location::Location,
    pub(crate) upstreams: collections::HashMap<name::Upstream, tracked::TrackedUpstream>,
    pub(crate) services: collections::HashMap<name::Service, ServiceUpstreams>,
    prefix_cache: prefix_cache::PrefixCache,
    last_mark: u64,
    /// What upstreams said of themselves in responses.
    pub announcements: announcements::Announcements,
    /// Cold upstreams, and what this host may send to them.
    pub warm_up: warm_up::WarmUp,
    /// What leaves for other data centres.
    pub offloading: offloading::Offloading,
    /// Time for which an upstream that said that it leaves may get requests that no other takes.
    leaving_use: clock::Millis,
    /// Data centres whose upstreams get no requests.
    drained_dcs: collections::BTreeSet<name::Dc>,
}

impl Fleet {
    /// Creates a fleet without upstreams for a host at `location`. An upstream that has said that it
    /// leaves gets no request after `drain_deadline`.
    pub fn new(location: location::Location, drain_deadline: clock::Millis) -> Self {
        Self {
            offloading: offloading::Offloading::new(location.clone()),
            location,
            upstreams: collections::HashMap::new(),
            services: collections::HashMap::new(),
            prefix_cache: prefix_cache::PrefixCache::default(),
            last_mark: 0,
            announcements: announcements::Announcements::default(),
            warm_up: warm_up::WarmUp::default(),
            leaving_use: clock::Millis((drain_deadline.0 as f64 * LEAVING_USE_SHARE) as u64),
            drained_dcs: collections::BTreeSet::new(),
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
        self.upstreams
            .insert(name, tracked::TrackedUpstream::new(upstream));
        self.assign_classes(&service);
        true
    }

    /// Removes an upstream and returns its address, or `None` if it is unknown.
    pub fn remove(&mut self, name: &name::Upstream) -> Option<std::net::SocketAddr> {
        let tracked = self.upstreams.remove(name)?;
        self.warm_up.record_removed(tracked.process());
        if let Some(service_upstreams) = self.services.get_mut(&tracked.upstream.service) {
            service_upstreams.names.retain(|n| n != name);
        }
        self.assign_classes(&tracked.upstream.service);
        Some(tracked.upstream.address)
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

    /// Whether an entry says of an upstream what was so before its known state: that an earlier process runs,
    /// or that a process which leaves is ready.
    pub fn is_step_back(&self, entry: &model::Upstream) -> bool {
        self.upstreams.get(&entry.name).is_some_and(|tracked| {
            let known = &tracked.upstream;
            let is_same = known.started_at == entry.started_at;
            let leaves = |u: &model::Upstream| u.state == model::UpstreamState::Leaving;
            known.started_at > entry.started_at || is_same && leaves(known) && !leaves(entry)
        })
    }

    /// Names of all known upstreams, in no particular order.
    pub fn names(&self) -> Vec<name::Upstream> {
        self.upstreams.keys().cloned().collect()
    }

    /// Iterates over the upstreams of `service`, whatever their state.
    pub fn of_service<'a>(
        &'a self,
        service: &name::Service,
    ) -> impl Iterator<Item = &'a tracked::TrackedUpstream> {
        let names = self.services.get(service).map_or(&[][..], |p| &p.names);
        names.iter().filter_map(|n| self.upstreams.get(n))
    }

    /// Returns the upstream named `name`, or `None` if it is unknown.
    pub fn get(&self, name: &name::Upstream) -> Option<&tracked::TrackedUpstream> {
        self.upstreams.get(name)
    }

    /// Ready upstreams that the request has not been sent to, and whether each takes requests by its
    /// own responses.
    fn untried<'a>(
        &'a self,
        criteria: &'a selection::Criteria<'_>,
        now: clock::Millis,
    ) -> impl Iterator<Item = (&'a tracked::TrackedUpstream, announcements::Willingness)> {
        let ready = self.of_service(criteria.service).filter(|tracked| {
            tracked.upstream.state == model::UpstreamState::Ready
                && !criteria.excluded.contains(&tracked.upstream.name)
        });
        ready.map(move |tracked| {
            let process = tracked.process();
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
        let mut cold: Option<clock::Millis> = None;
        let gate = self.warm_up.gate(criteria.service);
        for (tracked, willingness) in self.untried(criteria, now) {
            if details.record_excluded(self.exclusion(criteria.homes, tracked)) {
                continue;
            }
            let age = self.announcements.age(tracked.process(), now);
            details.record_passed_over(willingness, age);
            match willingness {
                announcements::Willingness::Willing => {
                    match gate.admission(tracked.process(), now) {
                        warm_up::Admission::Held(left) => {
                            details.cold_held += 1;
                            cold = Some(cold.map_or(left, |c| c.min(left)));
                        }
                        _ => is_full = true,
                    }
                }
                announcements::Willingness::Paused(until) => {
                    let left = until.since(now);
                    pause = Some(pause.map_or(left, |p| p.min(left)));
                }
                announcements::Willingness::Leaving(_) => {}
            }
        }
        let shortage = match (cold, pause) {
            _ if is_full => selection::Shortage::Full,
            (Some(left), None) => selection::Shortage::Cold(left),
            (Some(left), Some(paused)) if left <= paused => selection::Shortage::Cold(left),
            (_, Some(left)) => selection::Shortage::Paused(left),
            (None, None) if criteria.homes.is_some() => selection::Shortage::Home,
            (None, None) => selection::Shortage::None,
        };
        (shortage, details)
    }

    /// Selects the upstream with the lowest estimated cost, or `None` if none is usable.
    pub fn select(
        &self,
        criteria: &selection::Criteria<'_>,
        now: clock::Millis,
    ) -> Option<selection::Selection> {
        let has_room = |tracked: &&tracked::TrackedUpstream| {
            !criteria.prompt_parts.is_empty() || tracked.reported_load.has_room(criteria.tier, now)
        };
        let shared_prefix = criteria.shared_prefix();
        let preferred =
            shared_prefix.and_then(|(id, _)| self.preferred_upstream(criteria, id, now));
        let service = self.services.get(criteria.service)?;
        let typical = service.typical;
        let gate = self.warm_up.gate(criteria.service);
        // The second one is used only if there is no other.
        let mut best: [Option<(f64, &tracked::TrackedUpstream, u64)>; 2] = [None; 2];
        let mut last_resort = None;
        let mut cost_here_ms: Option<f64> = None;
        let mut details = selection::Details::default();
        for (tracked, willingness) in self.untried(criteria, now) {
            if details.record_excluded(self.exclusion(criteria.homes, tracked)) {
                continue;
            }
            let admission = gate.admission(tracked.process(), now);
            if matches!(admission, warm_up::Admission::Held(_)) {
                details.cold_held += 1;
                continue;
            }
            if willingness != announcements::Willingness::Willing {
                let age = self.announcements.age(tracked.process(), now);
                details.record_passed_over(willingness, age);
                if let announcements::Willingness::Leaving(since) = willingness
                    && now.since(since) < self.leaving_use
                    && has_room(&tracked)
                {
                    last_resort = Some(tracked);
                }
                continue;
            }
            if !has_room(&tracked) {
                continue;
            }
            details.usable += 1;
            let unread_tokens =
                self.tokens_to_read(criteria, tracked, shared_prefix, preferred, now);
            let cost_ms = self.cost_ms(criteria, tracked, service, unread_tokens, now)
                + admission.cost_ms(criteria, unread_tokens);
            if tracked.upstream.dc == self.location.dc {
                cost_here_ms = Some(cost_here_ms.map_or(cost_ms, |c| c.min(cost_ms)));
            }
            let best = &mut best[usize::from(admission.is_last_choice(criteria))];
            if best.is_none_or(|(c, _, _)| cost_ms < c) {
                *best = Some((cost_ms, tracked, unread_tokens));
            }
        }
        let last_resort = last_resort.map(|t| (0.0, t, u64::from(criteria.prompt_tokens)));
        let [best, last_choice] = best;
        let (cost_ms, tracked, unread_tokens) = best.or(last_resort).or(last_choice)?;
        let (reported_requests, report_age_ms) = tracked.reported_load.latest(now);
        let details = selection::Details {
            prefix_cached: unread_tokens < u64::from(criteria.prompt_tokens),
            in_flight: tracked.in_flight,
            reported_requests,
            report_age_ms,
            cost_ms: cost_ms as u64,
            upstream_class: tracked.stream_class,
            cold_left: gate.admission(tracked.process(), now).cold_left(),
            cost_here_ms: cost_here_ms.map(|c| c as u64),
            ..details
        };
        let details = self.offloading.explain(details, criteria, tracked, now);
        let base_latency_ms = FIRST_EVENT_BASE_MS + unread_tokens as f64 / PREFILL_TOKENS_PER_MS;
        let likely_latency_ms = base_latency_ms
            * tracked
                .slowdown
                .estimate(&typical, tracked.stream_class, now);
        Some(selection::Selection {
            details,
            name: tracked.upstream.name.clone(),
            process: tracked.process(),
            address: tracked.upstream.address,
            unread_tokens,
            base_latency: clock::Millis(base_latency_ms as u64),
            likely_latency: clock::Millis(likely_latency_ms as u64),
        })
    }

    /// Estimates the prompt tokens that `tracked` has to process, excluding a cached prefix.
    fn tokens_to_read(
        &self,
        criteria: &selection::Criteria<'_>,
        tracked: &tracked::TrackedUpstream,
        shared_prefix: Option<(u64, u64)>,
        preferred: Option<&name::Upstream>,
        now: clock::Millis,
    ) -> u64 {
        let prompt_tokens = u64::from(criteria.prompt_tokens);
        let Some((id, tokens)) = shared_prefix else {
            return prompt_tokens;
        };
        let instance_id = tracked.process().id;
        let cached = self.prefix_cache.contains(id, instance_id, now);
        if cached || preferred == Some(&tracked.upstream.name) {
            return prompt_tokens.saturating_sub(tokens);
        }
        prompt_tokens
    }

    /// Estimates the cost in milliseconds of sending the request to `tracked`.
    fn cost_ms(
        &self,
        criteria: &selection::Criteria<'_>,
        tracked: &tracked::TrackedUpstream,
        service: &ServiceUpstreams,
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
        let read_before = u64::from(criteria.prompt_tokens).saturating_sub(unread_tokens);
        let saving_ms = read_before as f64 * OWN_PREFILL_WEIGHT / PREFILL_TOKENS_PER_MS;
        let dc = &tracked.upstream.dc;
        let distance_cost = self.offloading.cost_ms(criteria, dc, saving_ms, now);
        let class_cost = if criteria.prompt_parts.is_empty() {
            0.0
        } else {
            stream_class::mismatch_cost_ms(
                criteria.stream_class,
                tracked.stream_class,
                unread_tokens,
            )
        };
        let slowdown = tracked
            .slowdown
            .estimate(&service.typical, tracked.stream_class, now);
        queue_cost * slowdown * tracked.reported_load.machine_slowdown(now)
            + distance_cost
            + class_cost
            + tracked.failures.cost_ms(now)
    }

    /// Records that a request was sent to the selected upstream.
    pub fn record_sent(
        &mut self,
        selection: &selection::Selection,
        parts: &[ports::PromptPart],
        now: clock::Millis,
    ) {
        self.warm_up.record_sent(selection.process, now);
        let Some(tracked) = self.upstreams.get_mut(&selection.name) else {
            return;
        };
        tracked.in_flight += 1;
        tracked.unread_tokens += selection.unread_tokens;
        let instance_id = tracked.process().id;
        let service = tracked.upstream.service.clone();
        let shared_parts = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        for part in shared_parts {
            self.prefix_cache.insert(part.id, instance_id, now);
        }
        self.update_offloading(&service, !parts.is_empty(), now);
    }

    /// Records that the upstream has processed a prompt, or never will, so that the prompt no
    /// longer counts in [`tracked::TrackedUpstream::unread_tokens`].
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

    /// Records a load report.
    pub fn record_load(
        &mut self,
        name: &name::Upstream,
        load: ports::LoadReport,
        now: clock::Millis,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(name) {
            tracked.reported_load.record(load, now);
        }
    }

    /// Records a response that took `ratio` times as long as [`selection::Selection::base_latency`].
    pub fn record_success(&mut self, name: &name::Upstream, ratio: f64, now: clock::Millis) {
        let Some(tracked) = self.upstreams.get_mut(name) else {
            return;
        };
        tracked.failures.record_success();
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

    /// Records a failed request.
    pub fn record_failure(&mut self, name: &name::Upstream, now: clock::Millis) {
        if let Some(tracked) = self.upstreams.get_mut(name) {
            tracked.failures.record_failure(now);
        }
    }
}
