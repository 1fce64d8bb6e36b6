//! Decides which request of a service runs next in a data centre, and on which upstream.
//!
//! Rules, in order of precedence:
//!
//! 1. A class with a minimum share that has waited `max_wait` without a grant, and runs fewer
//!    requests than its minimum share, gets the next free slot. Only this rule lets a request
//!    overtake one of a higher tier.
//! 2. Otherwise the highest tier with a request that fits a free slot goes first.
//! 3. Within a tier the team with the least weighted service goes first.
//! 4. A request that would miss its target preempts a resumable request of the lowest tier below
//!    its own, but never one that is covered by the minimum share of its class.
//! 5. A request that can't meet its target even by preemption is refused; on arrival if the miss is
//!    predictable.

use std::cell;
use std::collections;

use base::{clock, name, refusal};

use crate::{length, pool, queue, request};

/// Divisor of a new sample in the moving means of response times: the newest sample has 1/32 of the
/// weight.
const MEAN_SAMPLES: f64 = 32.0;
/// Time that a stopped request needs to free its slot.
const STOP_DELAY: clock::Millis = clock::Millis(50);
/// Number of regular completions that a request close to missing its target may wait for before it
/// preempts another one.
const MAX_AWAITED_COMPLETIONS: f64 = 2.0;
/// A request is refused on arrival if its expected wait exceeds the time it may wait by this
/// factor. The factor is above 1 because waits are often shorter than expected, and a request that
/// was admitted by mistake is still refused later.
const REFUSAL_WAIT_FACTOR: f64 = 1.5;
/// Number of prompt tokens that are charged like one generated token.
const PROMPT_TOKENS_PER_CHARGED_TOKEN: u32 = 8;
/// Time for which a rejected request counts as demand.
const REJECTED_DEMAND_PERIOD: clock::Millis = clock::Millis(3_000);
/// Retry delay sent to clients if no upstream runs; one may have been started by then.
const NO_UPSTREAM_RETRY_DELAY: clock::Millis = clock::Millis(5_000);
/// Time between two calls of the dispatcher above which its process was paused. A running host
/// calls [`Dispatcher::tick`] every few milliseconds.
const PAUSE_THRESHOLD: clock::Millis = clock::Millis(500);
/// Maximum number of requests that may wait for one service.
const MAX_WAITING_REQUESTS: usize = 20_000;

#[derive(Debug)]
struct RunningRequest {
    request: request::SlotRequest,
    upstream: name::Upstream,
    started_at: clock::Millis,
    charged_tokens: i64,
    stopping: bool,
}

#[derive(Debug)]
struct ClassState {
    settings: request::ClassSettings,
    running: u32,
    waiting: u32,
    last_grant: clock::Millis,
    last_request: clock::Millis,
}

/// Decision counters of a dispatcher since it was created.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DecisionCounts {
    /// Number of requests granted a slot.
    pub granted: u64,
    /// Number of grants made because of a class's minimum share.
    pub by_min_share: u64,
    /// Number of requests refused on arrival.
    pub refused_early: u64,
    /// Number of requests refused after they waited in the queue.
    pub refused_late: u64,
    /// Number of running requests stopped in favour of a higher tier.
    pub preempted: u64,
    /// Number of running requests stopped because their preemptible upstream is being reclaimed.
    pub evicted: u64,
}

/// The dispatcher of one service in one data centre.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queue: queue::Queue,
    pool: pool::Pool,
    lengths: length::LengthEstimator,
    running: collections::HashMap<request::Ticket, RunningRequest>,
    classes: collections::BTreeMap<name::Class, ClassState>,
    rejected: collections::VecDeque<(clock::Millis, bool)>,
    mean_total_ms: f64,
    mean_ttft_ms: f64,
    counts: DecisionCounts,
    last_call: clock::Millis,
}

impl Dispatcher {
    /// Replaces the configured upstreams. Refuses waiting requests that no upstream can serve any
    /// more, and preempts requests on preemptible upstreams that are being reclaimed.
    pub fn configure(
        &mut self,
        upstreams: &[pool::UpstreamConfig],
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        self.pool.configure(upstreams);
        self.refuse_unservable(out);
        self.preempt_evicted(out);
        self.grant(now, out);
    }

    /// Upstreams of this dispatcher, with their load and measured speed.
    pub fn pool(&mut self) -> &mut pool::Pool {
        &mut self.pool
    }

    /// Whether the dispatcher has a waiting or running request with this ticket.
    pub fn contains(&self, ticket: request::Ticket) -> bool {
        self.running.contains_key(&ticket) || self.is_waiting(ticket)
    }

    /// Whether a request with this ticket waits in the queue.
    pub fn is_waiting(&self, ticket: request::Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Upstream that runs the request; `None` if it is not running.
    pub fn upstream_of(&self, ticket: request::Ticket) -> Option<&name::Upstream> {
        self.running.get(&ticket).map(|r| &r.upstream)
    }

    /// Tickets of all running requests, in arbitrary order.
    pub fn running_tickets(&self) -> impl Iterator<Item = request::Ticket> {
        self.running.keys().copied()
    }

    /// Decision counters since the dispatcher was created.
    pub fn counts(&self) -> DecisionCounts {
        self.counts
    }

    /// Number of requests waiting for a slot.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Number of running requests, including those being stopped.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Demand for slots by running, waiting and recently rejected requests, as the pair of
    /// non-evictable and evictable requests.
    pub fn demand(&self, now: clock::Millis) -> (u32, u32) {
        let mut non_evictable = 0;
        let mut evictable = 0;
        let mut count = |is_evictable: bool| {
            if is_evictable {
                evictable += 1
            } else {
                non_evictable += 1
            }
        };
        let running = self.running.values().map(|r| &r.request);
        for request in running.chain(self.queue.iter().map(|w| &w.request)) {
            count(can_be_evicted(request));
        }
        for (at, is_evictable) in &self.rejected {
            if now.since(*at) < REJECTED_DEMAND_PERIOD {
                count(*is_evictable);
            }
        }
        (non_evictable, evictable)
    }

    /// Records a request that was refused for lack of capacity, for [`Self::demand`].
    fn record_rejected(&mut self, request: &request::SlotRequest, now: clock::Millis) {
        let is_old = |(at, _): &(clock::Millis, bool)| now.since(*at) >= REJECTED_DEMAND_PERIOD;
        while self.rejected.front().is_some_and(is_old)
            || self.rejected.len() >= MAX_WAITING_REQUESTS
        {
            self.rejected.pop_front();
        }
        self.rejected.push_back((now, can_be_evicted(request)));
    }

    /// Handles a new request, or a preempted one that is submitted again with the tokens received
    /// so far.
    pub fn submit(
        &mut self,
        request: request::SlotRequest,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        self.record_call(now);
        self.update_class(&request, now);
        if let Some(refusal) = self.refusal_on_arrival(&request, now) {
            self.counts.refused_early += 1;
            self.record_rejected(&request, now);
            out.push(request::Decision::Refuse(request.ticket, refusal));
            return;
        }
        if let Some(class) = self.classes.get_mut(&request.class.name) {
            class.waiting += 1;
        }
        self.queue.push(request, now);
        self.grant(now, out);
        self.preempt(now, out);
    }

    /// Adds a running request that was granted by another dispatcher or by its host.
    pub fn adopt(
        &mut self,
        request: request::SlotRequest,
        upstream: &name::Upstream,
        now: clock::Millis,
    ) {
        if self.running.contains_key(&request.ticket) {
            return;
        }
        self.cancel(request.ticket);
        self.update_class(&request, now);
        self.start(request, upstream.clone(), now);
    }

    /// Removes a waiting request, for example after its client disconnected.
    pub fn cancel(&mut self, ticket: request::Ticket) {
        let Some(removed) = self.queue.cancel(ticket) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&removed.request.class.name) {
            class.waiting -= 1;
        }
    }

    /// Records a call at `now`. While the process is paused no slot is granted, and a wait that is
    /// estimated from that time would refuse requests for which there is room.
    fn record_call(&mut self, now: clock::Millis) {
        if now.since(self.last_call) > PAUSE_THRESHOLD {
            self.queue.forget_grant_rates();
        }
        self.last_call = now;
    }

    /// Handles the end of a granted request.
    pub fn finish(
        &mut self,
        ticket: request::Ticket,
        stats: &request::RunStats,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        self.record_call(now);
        let Some(run) = self.running.remove(&ticket) else {
            return;
        };
        self.pool.release(&run.upstream, stats, now);
        if let Some(class) = self.classes.get_mut(&run.request.class.name) {
            class.running -= 1;
        }
        let used_tokens = charge_tokens(&run.request, stats.tokens);
        let correction = used_tokens - run.charged_tokens;
        self.queue.charge(
            run.request.class.tier,
            &run.request.team,
            run.request.weight,
            correction,
        );
        if stats.outcome == request::Outcome::Completed {
            self.observe(&run.request, stats);
        }
        self.grant(now, out);
        self.preempt(now, out);
    }

    /// Removes all requests of a failed host. `is_theirs` is whether a ticket belongs to that host.
    pub fn remove_host(
        &mut self,
        is_theirs: impl Fn(request::Ticket) -> bool,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        let waiting: Vec<_> = self.queue.iter().map(|w| w.request.ticket).collect();
        for ticket in waiting {
            if is_theirs(ticket) {
                self.cancel(ticket);
            }
        }
        self.remove_running(is_theirs, clock::Millis::ZERO, now, out);
    }

    /// Removes running requests that their host no longer runs. `is_gone` is whether a ticket is
    /// no longer running. Requests that started less than `min_age` ago stay, because the messages
    /// about them may still be in transit.
    pub fn remove_running(
        &mut self,
        is_gone: impl Fn(request::Ticket) -> bool,
        min_age: clock::Millis,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        let candidates = self
            .running
            .iter()
            .filter(|(_, r)| now.since(r.started_at) >= min_age);
        let running: Vec<_> = candidates.map(|(ticket, _)| *ticket).collect();
        let zero = clock::Millis::ZERO;
        for ticket in running {
            if !is_gone(ticket) {
                continue;
            }
            let stats = request::RunStats {
                outcome: request::Outcome::Stopped,
                tokens: 0,
                ttft: zero,
                total: zero,
            };
            self.finish(ticket, &stats, now, out);
        }
    }

    /// Applies the passage of time: refuses overdue requests, grants slots that minimum shares now
    /// claim, and preempts for requests that are about to miss their target.
    pub fn tick(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        self.record_call(now);
        self.refuse_overdue(now, out);
        self.grant(now, out);
        self.preempt(now, out);
    }

    fn update_class(&mut self, request: &request::SlotRequest, now: clock::Millis) {
        let settings = &request.class;
        let class = self
            .classes
            .entry(settings.name.clone())
            .or_insert_with(|| ClassState {
                settings: settings.clone(),
                running: 0,
                waiting: 0,
                last_grant: now,
                last_request: now,
            });
        // A class without requests for `max_wait` was not kept waiting, so its wait starts now.
        if class.waiting == 0 && now.since(class.last_request) > settings.max_wait {
            class.last_grant = now;
        }
        class.last_request = now;
        class.settings = settings.clone();
    }

    fn refusal_on_arrival(
        &self,
        request: &request::SlotRequest,
        now: clock::Millis,
    ) -> Option<refusal::Refusal> {
        if !self.pool.can_serve(request) {
            let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
            return Some(refusal.with_retry_after(NO_UPSTREAM_RETRY_DELAY));
        }
        if request.received_tokens > 0 {
            return None;
        }
        let wait = self.expected_wait(request, now);
        if self.queue.len() >= MAX_WAITING_REQUESTS {
            return Some(
                refusal::Refusal::not_run(refusal::Reason::TargetMissed).with_retry_after(wait),
            );
        }
        let slack = self.slack(&request.class, request.waited);
        let is_hopeless = wait.0 as f64 > slack.0 as f64 * REFUSAL_WAIT_FACTOR;
        if !is_hopeless
            || self.is_min_share_due(&request.class.name, now)
            || self.can_preempt_for(request)
        {
            return None;
        }
        let retry_after = wait.since(slack);
        Some(refusal::Refusal::not_run(refusal::Reason::TargetMissed).with_retry_after(retry_after))
    }

    /// Remaining time that a request may wait and still meet its target.
    fn slack(&self, settings: &request::ClassSettings, waited: clock::Millis) -> clock::Millis {
        let ttft = clock::Millis(self.mean_ttft_ms as u64);
        settings.ttft_target.since(waited).since(ttft)
    }

    /// Expected wait of a request that arrives now: the longer of two estimates, one from the rate
    /// at which requests complete, one from the rate at which its tier and team are granted slots.
    pub fn expected_wait(
        &self,
        request: &request::SlotRequest,
        now: clock::Millis,
    ) -> clock::Millis {
        let tier = request.class.tier;
        let ahead = self.queue.count_ahead(tier, &request.team, request.weight);
        let total = self.queue.count_above(tier) + ahead;
        let free = self
            .pool
            .total_slots()
            .saturating_sub(self.pool.used_slots()) as usize;
        if total < free {
            return clock::Millis::ZERO;
        }
        let by_completions = (total + 1 - free) as f64 * self.completion_interval_ms();
        let by_grant_rate = self.queue.expected_wait_ms(tier, &request.team, ahead, now);
        clock::Millis(by_completions.max(by_grant_rate) as u64)
    }

    /// Mean time between two completions while all slots are in use, in milliseconds. It is zero
    /// until the first response has completed, so that nothing is refused without a measurement.
    fn completion_interval_ms(&self) -> f64 {
        self.mean_total_ms / f64::from(self.pool.total_slots().max(1))
    }

    fn min_share_slots(&self, settings: &request::ClassSettings) -> u32 {
        if settings.min_share == 0 {
            return 0;
        }
        (self.pool.total_slots() * u32::from(settings.min_share) / 1000).max(1)
    }

    fn is_min_share_due(&self, class: &name::Class, now: clock::Millis) -> bool {
        let Some(class) = self.classes.get(class) else {
            return false;
        };
        let is_starved = now.since(class.last_grant) >= class.settings.max_wait;
        let min_slots = self.min_share_slots(&class.settings);
        is_starved && class.running < min_slots && class.waiting < min_slots
    }

    /// Preempts resumable requests on preemptible upstreams that are draining, so that they resume
    /// on other upstreams before theirs is reclaimed.
    fn preempt_evicted(&mut self, out: &mut Vec<request::Decision>) {
        for (ticket, run) in &mut self.running {
            let found = self
                .pool
                .members()
                .iter()
                .find(|m| m.config.name == run.upstream);
            let is_reclaimed = found.is_some_and(|m| m.draining && m.config.preemptible);
            if !is_reclaimed || run.stopping || !run.request.resumable {
                continue;
            }
            run.stopping = true;
            self.counts.evicted += 1;
            out.push(request::Decision::Preempt(*ticket));
        }
    }

    fn refuse_unservable(&mut self, out: &mut Vec<request::Decision>) {
        let mut unservable = Vec::new();
        for w in self.queue.iter() {
            if w.request.received_tokens == 0 && !self.pool.can_serve(&w.request) {
                unservable.push(w.request.ticket);
            }
        }
        for ticket in unservable {
            self.cancel(ticket);
            let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
            out.push(request::Decision::Refuse(ticket, refusal));
        }
    }

    fn refuse_overdue(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        let mut overdue = Vec::new();
        for w in self.queue.iter() {
            let slack = self.slack(&w.request.class, now.since(w.waiting_since));
            if w.request.received_tokens == 0 && slack == clock::Millis::ZERO {
                overdue.push(w.request.ticket);
            }
        }
        for ticket in overdue {
            self.cancel(ticket);
            self.counts.refused_late += 1;
            let retry_after = clock::Millis(self.mean_total_ms as u64);
            let refusal = refusal::Refusal::not_run(refusal::Reason::TargetMissed)
                .with_retry_after(retry_after);
            out.push(request::Decision::Refuse(ticket, refusal));
        }
    }

    fn grant(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        loop {
            let by_min_share = self.next_by_min_share(now);
            let Some(ticket) = by_min_share.or_else(|| self.next_in_order(now)) else {
                return;
            };
            let Some(w) = self.queue.remove(ticket) else {
                return;
            };
            let Some(upstream) = self.pool.choose(&w.request, now) else {
                return;
            };
            if let Some(class) = self.classes.get_mut(&w.request.class.name) {
                class.waiting -= 1;
            }
            self.counts.granted += 1;
            self.counts.by_min_share += u64::from(by_min_share.is_some());
            out.push(request::Decision::Grant(ticket, upstream.clone()));
            self.start(w.request, upstream, now);
        }
    }

    fn start(
        &mut self,
        request: request::SlotRequest,
        upstream: name::Upstream,
        now: clock::Millis,
    ) {
        if let Some(class) = self.classes.get_mut(&request.class.name) {
            class.running += 1;
            class.last_grant = now;
        }
        let expected_tokens = self.lengths.estimate(&request.class.name, &request.team, 0);
        let expected_tokens = (expected_tokens as u32).min(request.max_tokens);
        let charged_tokens = charge_tokens(&request, expected_tokens);
        self.pool.acquire(&upstream, request.prefix_hash, now);
        self.queue
            .record_grant(request.class.tier, &request.team, now);
        self.queue.charge(
            request.class.tier,
            &request.team,
            request.weight,
            charged_tokens,
        );
        let ticket = request.ticket;
        let run = RunningRequest {
            request,
            upstream,
            started_at: now,
            charged_tokens,
            stopping: false,
        };
        self.running.insert(ticket, run);
    }

    /// Next request of a class that has waited `max_wait` and runs fewer requests than its minimum
    /// share; the class that has waited longest goes first.
    fn next_by_min_share(&self, now: clock::Millis) -> Option<request::Ticket> {
        let mut longest_starved: Option<(clock::Millis, &name::Class)> = None;
        for (name, class) in &self.classes {
            let is_starved = now.since(class.last_grant) >= class.settings.max_wait;
            if class.waiting == 0
                || !is_starved
                || class.running >= self.min_share_slots(&class.settings)
            {
                continue;
            }
            if longest_starved.is_none_or(|(t, _)| class.last_grant < t) {
                longest_starved = Some((class.last_grant, name));
            }
        }
        let (_, class) = longest_starved?;
        self.queue
            .next(|r| &r.class.name == class && self.pool.choose(r, now).is_some())
    }

    fn next_in_order(&self, now: clock::Millis) -> Option<request::Ticket> {
        // For a request without excluded upstreams, whether a free slot fits depends only on
        // whether the request is resumable, so each of the two results is computed once.
        let cache = cell::Cell::new([None; 2]);
        self.queue.next(|r| {
            if !r.excluded.is_empty() {
                return self.pool.choose(r, now).is_some();
            }
            let index = usize::from(r.resumable);
            let mut fits = cache.get();
            let result = *fits[index].get_or_insert_with(|| self.pool.choose(r, now).is_some());
            cache.set(fits);
            result
        })
    }

    fn can_preempt_for(&self, request: &request::SlotRequest) -> bool {
        let competing = self.queue.count_above(request.class.tier + 1) as u32;
        let victims = self
            .running
            .values()
            .filter(|r| self.is_preemptible_by(r, request.class.tier));
        victims.count() as u32 > competing
    }

    fn is_preemptible_by(&self, run: &RunningRequest, tier: u8) -> bool {
        if run.stopping || !run.request.resumable || run.request.class.tier <= tier {
            return false;
        }
        let Some(class) = self.classes.get(&run.request.class.name) else {
            return false;
        };
        class.running > self.min_share_slots(&class.settings)
    }

    /// Preempts lower-tier requests in favour of requests that would otherwise miss their target.
    fn preempt(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        let min_slack = MAX_AWAITED_COMPLETIONS * self.completion_interval_ms();
        let min_slack = clock::Millis(min_slack as u64) + STOP_DELAY;
        let mut urgent: Vec<(u8, bool)> = Vec::new();
        for w in self.queue.iter() {
            let slack = self.slack(&w.request.class, now.since(w.waiting_since));
            if w.request.received_tokens == 0 && slack < min_slack {
                urgent.push((w.request.class.tier, w.request.resumable));
            }
        }
        urgent.sort_unstable();
        let stopping = self.running.values().filter(|r| r.stopping).count();
        for (tier, resumable) in urgent.into_iter().skip(stopping) {
            let Some(ticket) = self.choose_victim(tier, resumable) else {
                return;
            };
            if let Some(run) = self.running.get_mut(&ticket) {
                run.stopping = true;
            }
            self.counts.preempted += 1;
            out.push(request::Decision::Preempt(ticket));
        }
    }

    /// Chooses the running request to preempt for a request of `tier`: the one that started last
    /// among those of the lowest tier. A request that is not resumable needs a slot of an upstream
    /// that can't be reclaimed.
    fn choose_victim(&self, tier: u8, resumable: bool) -> Option<request::Ticket> {
        let mut best: Option<(u8, clock::Millis, request::Ticket)> = None;
        for (ticket, run) in &self.running {
            if !self.is_preemptible_by(run, tier)
                || !(resumable || self.is_on_demand(&run.upstream))
            {
                continue;
            }
            let rank = (run.request.class.tier, run.started_at, *ticket);
            if best.is_none_or(|b| rank > b) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, ticket)| ticket)
    }

    fn is_on_demand(&self, upstream: &name::Upstream) -> bool {
        let found = self
            .pool
            .members()
            .iter()
            .find(|m| &m.config.name == upstream);
        found.is_some_and(|m| !m.config.preemptible && !m.draining)
    }

    /// Updates the length and time estimates from a complete response. Responses granted by another
    /// dispatcher count too, so that a dispatcher that takes over has usable estimates.
    pub fn observe(&mut self, request: &request::SlotRequest, stats: &request::RunStats) {
        let total_tokens = request.received_tokens + stats.tokens;
        self.lengths
            .observe(&request.class.name, &request.team, total_tokens);
        update_mean(&mut self.mean_total_ms, stats.total);
        update_mean(&mut self.mean_ttft_ms, stats.ttft);
    }
}

/// Whether a request may run on a preemptible upstream and be stopped when it is reclaimed.
fn can_be_evicted(request: &request::SlotRequest) -> bool {
    request.class.evictable && request.resumable
}

fn update_mean(mean_ms: &mut f64, sample: clock::Millis) {
    let x = sample.0 as f64;
    *mean_ms = if *mean_ms == 0.0 {
        x
    } else {
        *mean_ms + (x - *mean_ms) / MEAN_SAMPLES
    };
}

/// Tokens to charge to the team of a request that generates `tokens` tokens, with part of the
/// prompt included.
fn charge_tokens(request: &request::SlotRequest, tokens: u32) -> i64 {
    i64::from(tokens) + i64::from(request.prompt_tokens / PROMPT_TOKENS_PER_CHARGED_TOKEN) + 1
}
