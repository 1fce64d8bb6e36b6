//! Cold upstreams as this host knows them, and the requests that it may send to them.
//!
//! The state holds for one process of an upstream and is kept apart from its entry, so that an entry that
//! disappears and returns resets neither the cold period nor the count of requests.

use std::collections;
use std::rc;

use base::{clock, name};
use policy::cold_start;
use tokio::time;

use crate::{announcements, fleet, host, membership, model, selection};

/// Time between two checks for cold periods that have ended, for the log and the metrics.
const CHECK_INTERVAL: clock::Millis = clock::Millis(500);
/// Shared prompt tokens from which on a prefix that is cached elsewhere counts as long: they take an
/// engine about 10 ms.
const LONG_PREFIX_TOKENS: u64 = 1_000;
/// Estimated cost of reading such a prefix at a cold upstream, in milliseconds, in addition to the time
/// it takes: the prefix is read again elsewhere when requests return to its preferred upstream. It is of
/// the order of the time within which a stream should begin, so idleness alone does not outweigh it.
const LONG_PREFIX_COST_MS: f64 = 600.0;

/// Limit of the cold upstreams of a service.
#[derive(Clone, Copy, Debug)]
struct Limit {
    period: clock::Millis,
    /// Requests that the owner may send within [`cold_start::WINDOW`].
    allowance: u32,
}

/// What is known about one process of an upstream.
#[derive(Debug)]
struct State {
    name: name::Upstream,
    service: name::Service,
    dc: name::Dc,
    is_listed: bool,
    /// Cold period; `None` if the process is warm. It may have ended already.
    cold: Option<cold_start::Period>,
    ownership: cold_start::Ownership,
    sent: cold_start::SendWindow,
}

impl State {
    fn new(upstream: &model::Upstream) -> Self {
        Self {
            name: upstream.name.clone(),
            service: upstream.service.clone(),
            dc: upstream.dc.clone(),
            is_listed: true,
            cold: None,
            ownership: cold_start::Ownership::default(),
            sent: cold_start::SendWindow::default(),
        }
    }

    /// Applies news that the process stays cold for `left`. `hosts` is for the log line.
    fn record(
        &mut self,
        hosts: &cold_start::HostList,
        left: clock::Millis,
        source: cold_start::Source,
        now: clock::Millis,
    ) {
        self.end_elapsed(now);
        let known = self.cold;
        self.cold = cold_start::next_period(known, left, source, now);
        let upstream = &self.name;
        let source = source.as_str();
        match (known, self.cold) {
            (None, Some(period)) => {
                let left_ms = period.until.since(now).0;
                let own = self.ownership.holds(hosts, now);
                tracing::info!(event = "upstream_cold", %upstream, source, left_ms, own);
            }
            (Some(period), None) => {
                let age_ms = now.since(period.read_at).0;
                tracing::info!(event = "upstream_warm", %upstream, source, cold_age_ms = age_ms);
            }
            _ => {}
        }
    }

    /// Ends a cold period that has elapsed.
    fn end_elapsed(&mut self, now: clock::Millis) {
        let Some(period) = self.cold.filter(|p| now >= p.until) else {
            return;
        };
        self.cold = None;
        tracing::info!(
            event = "upstream_warm",
            upstream = %self.name,
            source = "elapsed",
            cold_source = period.source.as_str(),
            cold_age_ms = now.since(period.read_at).0,
        );
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The upstream is warm, or has no limit.
    Warm,
    /// The upstream is cold for this long, and this host may send to it.
    Cold(clock::Millis),
    /// The upstream is cold, and this host may not send to it for this long at least.
    Held(clock::Millis),
}

impl Admission {
    /// Whether the upstream is used only if there is no other: a crash would end a request that may not
    /// be repeated.
    pub fn is_last_choice(self, criteria: &selection::Criteria<'_>) -> bool {
        matches!(self, Self::Cold(_)) && !criteria.is_retryable
    }

    /// Cost in milliseconds of sending to the upstream because it is cold, where it has to read
    /// `unread_tokens`.
    pub fn cost_ms(self, criteria: &selection::Criteria<'_>, unread_tokens: u64) -> f64 {
        let prefix = criteria.shared_prefix().map_or(0, |(_, tokens)| tokens);
        let is_cached = unread_tokens < u64::from(criteria.prompt_tokens);
        match self {
            Self::Cold(_) if prefix >= LONG_PREFIX_TOKENS && !is_cached => LONG_PREFIX_COST_MS,
            _ => 0.0,
        }
    }

    /// Remaining cold time of an upstream that may be sent to; `None` if it is warm.
    pub fn cold_left(self) -> Option<clock::Millis> {
        match self {
            Self::Cold(left) => Some(left),
            Self::Warm | Self::Held(_) => None,
        }
    }
}

/// Cold upstreams, their owners and the requests sent to them. By default there is no limit.
#[derive(Debug, Default)]
pub struct WarmUp {
    /// Name of this host, and what a cold upstream bears; `None` if no limit is in force.
    rule: Option<(name::Host, host::ColdTolerance)>,
    limits: collections::HashMap<name::Service, Limit>,
    hosts: cold_start::HostList,
    upstreams: collections::HashMap<u64, State>,
}

/// Limit of one service, for the selection among its upstreams.
#[derive(Clone, Copy)]
pub struct Gate<'a> {
    warm_up: &'a WarmUp,
    limit: Option<Limit>,
}

impl Gate<'_> {
    /// Whether this host may send a request to an upstream now.
    pub fn admission(&self, process: announcements::Process, now: clock::Millis) -> Admission {
        let Some(limit) = self.limit else {
            return Admission::Warm;
        };
        let state = self.warm_up.upstreams.get(&process.id);
        let Some((state, period)) = state.and_then(|s| Some((s, s.cold?))) else {
            return Admission::Warm;
        };
        let left = period.until.since(now);
        if left == clock::Millis::ZERO {
            return Admission::Warm;
        }
        if !state.ownership.holds(&self.warm_up.hosts, now) {
            return Admission::Held(left);
        }
        let unknown = period.known_from.since(now);
        if unknown > clock::Millis::ZERO {
            return Admission::Held(unknown.min(left));
        }
        match state.sent.wait(limit.allowance, now) {
            Some(clock::Millis::ZERO) => Admission::Cold(left),
            Some(wait) => Admission::Held(wait.min(left)),
            None => Admission::Held(left),
        }
    }
}

impl WarmUp {
    /// Creates the state of the host `own`. Without `tolerance`, no upstream is limited.
    pub fn new(own: name::Host, tolerance: Option<host::ColdTolerance>) -> Self {
        Self {
            rule: tolerance.map(|t| (own, t)),
            ..Self::default()
        }
    }

    /// Replaces the limits by those of the services of a configuration.
    pub fn set_limits<'a>(&mut self, services: impl Iterator<Item = &'a model::Service>) {
        self.limits.clear();
        let Some((_, tolerance)) = &self.rule else {
            return;
        };
        for service in services {
            let Some(limit) = service.cold_limit else {
                continue;
            };
            let rate = limit.requests_per_s;
            let limit = Limit {
                period: limit.period,
                allowance: cold_start::allowance(rate, tolerance.factor, tolerance.extra),
            };
            self.limits.insert(service.name.clone(), limit);
        }
    }

    /// Determines the owners again if the registered hosts, as read last, have changed.
    pub fn update_hosts(&mut self, membership: &membership::Membership, now: clock::Millis) {
        let Some((own, _)) = &self.rule else {
            return;
        };
        let Some(valid_until) = membership.valid_until() else {
            return;
        };
        let registered = membership.registered().iter();
        let hosts = registered.map(|(r, _)| (&r.host, &r.dc));
        let reading = self.hosts.update(hosts, valid_until, now);
        for state in self.upstreams.values_mut() {
            let upstream = (&state.name, &state.dc);
            state.ownership.update(reading, &self.hosts, own, upstream);
        }
    }

    /// Records that an upstream is listed. `is_written` says whether the entry has been written since it
    /// was last read; an old one, read again, does not say how long the upstream is cold from now on.
    pub fn record_entry(
        &mut self,
        upstream: &model::Upstream,
        process: announcements::Process,
        is_written: bool,
        now: clock::Millis,
    ) {
        let Some((own, _)) = &self.rule else {
            return;
        };
        let known = self.upstreams.get(&process.id);
        let is_new = known.is_none();
        let is_same = known.is_some_and(|s| s.name == upstream.name && s.dc == upstream.dc);
        let state = self.upstreams.entry(process.id);
        let state = state.or_insert_with(|| State::new(upstream));
        state.is_listed = true;
        state.service = upstream.service.clone();
        if !is_same {
            state.dc = upstream.dc.clone();
            let upstream = (&state.name, &state.dc);
            let reading = cold_start::Reading::Changed;
            state.ownership.update(reading, &self.hosts, own, upstream);
        }
        if is_written {
            let source = if is_new {
                cold_start::Source::FirstEntry
            } else {
                cold_start::Source::Entry
            };
            state.record(&self.hosts, upstream.cold_left, source, now);
        }
    }

    /// Records that a response to a request sent at `sent_at` states how long its upstream stays cold.
    pub fn record_response(
        &mut self,
        process: announcements::Process,
        left: clock::Millis,
        sent_at: clock::Millis,
        now: clock::Millis,
    ) {
        if let Some(state) = self.upstreams.get_mut(&process.id) {
            state.record(
                &self.hosts,
                left,
                cold_start::Source::Response { sent_at },
                now,
            );
        }
    }

    /// Marks all upstreams of the data centre `dc` whose service has a limit as cold for its period.
    pub fn mark_dc_cold(&mut self, dc: &name::Dc, now: clock::Millis) {
        for state in self.upstreams.values_mut() {
            if state.dc != *dc {
                continue;
            }
            if let Some(limit) = self.limits.get(&state.service) {
                state.record(&self.hosts, limit.period, cold_start::Source::DrainEnd, now);
            }
        }
    }

    /// Records that an upstream is no longer listed.
    pub fn record_removed(&mut self, process: announcements::Process) {
        if let Some(state) = self.upstreams.get_mut(&process.id) {
            state.is_listed = false;
        }
    }

    /// Counts a request that is sent now, also to a warm upstream: it may turn cold within a second.
    pub fn record_sent(&mut self, process: announcements::Process, now: clock::Millis) {
        if let Some(state) = self.upstreams.get_mut(&process.id)
            && self.limits.contains_key(&state.service)
        {
            state.sent.record(now);
        }
    }

    /// Takes back a request, sent at `sent_at`, that another process has answered with 421.
    pub fn take_back(&mut self, process: announcements::Process, sent_at: clock::Millis) {
        if let Some(state) = self.upstreams.get_mut(&process.id) {
            state.sent.take_back(sent_at);
        }
    }

    /// Returns the limit of `service`.
    pub fn gate(&self, service: &name::Service) -> Gate<'_> {
        Gate {
            warm_up: self,
            limit: self.limits.get(service).copied(),
        }
    }

    /// Whether a process is cold and its service has a limit.
    pub fn is_cold(&self, process: announcements::Process, now: clock::Millis) -> bool {
        let state = self.upstreams.get(&process.id);
        state.is_some_and(|s| {
            s.cold.is_some_and(|p| now < p.until) && self.limits.contains_key(&s.service)
        })
    }

    /// Ends elapsed cold periods, forgets processes that are gone, and returns how many listed upstreams
    /// are cold.
    pub fn end_elapsed(&mut self, now: clock::Millis) -> usize {
        for state in self.upstreams.values_mut() {
            state.end_elapsed(now);
        }
        self.upstreams
            .retain(|_, s| s.is_listed || s.cold.is_some() || !s.sent.is_idle(now));
        let is_cold = |s: &&State| s.is_listed && s.cold.is_some();
        self.upstreams.values().filter(is_cold).count()
    }
}

impl fleet::Fleet {
    /// Inserts or updates an upstream from its entry in the store, like [`Self::put`], and records how long
    /// it is cold. `is_written` is as in [`WarmUp::record_entry`].
    pub fn put_entry(
        &mut self,
        upstream: model::Upstream,
        is_written: bool,
        now: clock::Millis,
    ) -> bool {
        let name = upstream.name.clone();
        let has_changed = self.put(upstream);
        if let Some((upstream, process)) =
            self.get(&name).map(|t| (t.upstream.clone(), t.process()))
        {
            let warm_up = &mut self.warm_up;
            warm_up.record_entry(&upstream, process, is_written, now);
        }
        has_changed
    }

    /// Counts the upstreams of the data centre `dc` whose service has a limit for cold ones as cold for
    /// the service's warm-up period from `now` on. Must be called when the drain of `dc` ends, before the
    /// first request is sent there.
    pub fn mark_dc_cold(&mut self, dc: &name::Dc, now: clock::Millis) {
        self.warm_up.mark_dc_cold(dc, now);
    }
}

/// Logs upstreams that turn warm as time passes, and keeps the metric of cold upstreams.
pub async fn watch(host: rc::Rc<host::Host>) {
    loop {
        let now = host.now();
        let count = host.fleet.borrow_mut().warm_up.end_elapsed(now);
        host.metrics.set_cold_upstreams(count);
        time::sleep(CHECK_INTERVAL.duration()).await;
    }
}
