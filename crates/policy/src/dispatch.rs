//! Which request of a service runs next in a data centre, and where.
//!
//! Rules, in this order:
//!
//! 1. A class with a floor that has waited its bound without a grant, and runs fewer requests
//!    than its floor, gets the next free slot. This is the only way past a higher tier.
//! 2. Otherwise the highest tier with a request that fits a free slot goes first.
//! 3. Within a tier the team with the least weighted service goes first.
//! 4. A request that would miss its target stops a resumable one of the lowest tier below its
//!    own, never one that its class's floor covers.
//! 5. A request that can't meet its target even so is refused, at arrival if that is foreseen.

use std::cell;
use std::collections;

use base::{clock, name, refusal};

use crate::{length, pool, queue, request};

/// Weight of the newest sample in the moving means, as one part in this many.
const SMOOTHING: f64 = 32.0;
/// Time for a stopped request to leave its slot.
const STOP_TIME: clock::Millis = clock::Millis(50);
/// Natural ends of answers that an urgent request may still wait for.
const ENDS_AWAITED: f64 = 2.0;
/// A request is refused at arrival when its expected wait is this many times what it may wait:
/// a wait is often shorter than expected, and one that was admitted in vain is refused later.
const DOUBT: f64 = 1.5;
/// Prompt tokens that count as one generated token in a charge.
const PROMPT_PER_TOKEN: u32 = 8;
/// What was rejected counts as demand for this long.
const REMEMBERED: clock::Millis = clock::Millis(3_000);
/// When to come back where no upstream runs: one may be started meanwhile.
const START_TIME: clock::Millis = clock::Millis(5_000);
/// The most requests that may wait for one service.
const MAX_WAITING: usize = 20_000;

#[derive(Debug)]
struct Running {
    ask: request::SlotRequest,
    upstream: name::Upstream,
    started: clock::Millis,
    charged: i64,
    stopping: bool,
}

#[derive(Debug)]
struct Class {
    terms: request::ClassSettings,
    running: u32,
    waiting: u32,
    last_grant: clock::Millis,
    last_ask: clock::Millis,
}

/// Counters of a dispatcher since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Grants given.
    pub granted: u64,
    /// Grants given by a class's floor.
    pub by_min_share: u64,
    /// Requests refused at arrival.
    pub refused_early: u64,
    /// Requests refused after waiting.
    pub refused_late: u64,
    /// Requests stopped for a higher tier.
    pub preempted: u64,
    /// Requests moved off an upstream that is being reclaimed.
    pub evicted: u64,
}

/// The dispatcher of one service in one data centre.
#[derive(Debug, Default)]
pub struct Dispatcher {
    queue: queue::Queue,
    pool: pool::Pool,
    lengths: length::LengthEstimator,
    running: collections::HashMap<request::Ticket, Running>,
    classes: collections::BTreeMap<name::Class, Class>,
    rejected: collections::VecDeque<(clock::Millis, bool)>,
    total_ms: f64,
    first_ms: f64,
    counts: Counts,
}

impl Dispatcher {
    /// Takes the upstreams as configured now.
    pub fn configure(
        &mut self,
        sites: &[pool::UpstreamConfig],
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        self.pool.configure(sites);
        self.refuse_homeless(out);
        self.leave_evicted(out);
        self.grant(now, out);
    }

    /// The upstreams with what was learnt of them.
    pub fn pool(&mut self) -> &mut pool::Pool {
        &mut self.pool
    }

    /// Whether a request waits or runs here.
    pub fn contains(&self, ticket: request::Ticket) -> bool {
        self.running.contains_key(&ticket) || self.is_waiting(ticket)
    }

    /// Whether a request waits here.
    pub fn is_waiting(&self, ticket: request::Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Where a request runs.
    pub fn upstream_of(&self, ticket: request::Ticket) -> Option<&name::Upstream> {
        self.running.get(&ticket).map(|r| &r.upstream)
    }

    /// The running requests, in no order.
    pub fn running_tickets(&self) -> impl Iterator<Item = request::Ticket> {
        self.running.keys().copied()
    }

    /// What was decided so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many requests wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// How many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Slots wanted by running and waiting work, and by what was rejected lately: by work that
    /// must not be evicted, and by work that may.
    pub fn demand(&self, now: clock::Millis) -> (u32, u32) {
        let mut firm = 0;
        let mut loose = 0;
        let mut count = |is_loose: bool| if is_loose { loose += 1 } else { firm += 1 };
        let running = self.running.values().map(|r| &r.ask);
        for ask in running.chain(self.queue.iter().map(|w| &w.request)) {
            count(is_loose(ask));
        }
        for (at, is_loose) in &self.rejected {
            if now.since(*at) < REMEMBERED {
                count(*is_loose);
            }
        }
        (firm, loose)
    }

    /// Notes a request refused for want of room.
    fn note_rejected(&mut self, ask: &request::SlotRequest, now: clock::Millis) {
        let old = |(at, _): &(clock::Millis, bool)| now.since(*at) >= REMEMBERED;
        while self.rejected.front().is_some_and(old) || self.rejected.len() >= MAX_WAITING {
            self.rejected.pop_front();
        }
        self.rejected.push_back((now, is_loose(ask)));
    }

    /// A request arrives, or comes back with tokens it holds.
    pub fn submit(
        &mut self,
        ask: request::SlotRequest,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        self.note_class(&ask, now);
        if let Some(refusal) = self.refuse_early(&ask, now) {
            self.counts.refused_early += 1;
            self.note_rejected(&ask, now);
            out.push(request::Decision::Refuse(ask.ticket, refusal));
            return;
        }
        if let Some(class) = self.classes.get_mut(&ask.class.name) {
            class.waiting += 1;
        }
        self.queue.push(ask, now);
        self.grant(now, out);
        self.preempt(now, out);
    }

    /// A request that another dispatcher granted, or the host itself, now counts here.
    pub fn adopt(
        &mut self,
        ask: request::SlotRequest,
        upstream: &name::Upstream,
        now: clock::Millis,
    ) {
        if self.running.contains_key(&ask.ticket) {
            return;
        }
        self.withdraw(ask.ticket);
        self.note_class(&ask, now);
        self.start(ask, upstream.clone(), now);
    }

    /// A waiting request is gone.
    pub fn withdraw(&mut self, ticket: request::Ticket) {
        let Some(gone) = self.queue.remove(ticket) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&gone.request.class.name) {
            class.waiting -= 1;
        }
    }

    /// A granted request ended.
    pub fn finish(
        &mut self,
        ticket: request::Ticket,
        spent: &request::RunStats,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        let Some(run) = self.running.remove(&ticket) else {
            return;
        };
        self.pool.release(&run.upstream, spent, now);
        if let Some(class) = self.classes.get_mut(&run.ask.class.name) {
            class.running -= 1;
        }
        let due = service(&run.ask, spent.tokens);
        let correction = due - run.charged;
        self.queue.charge(
            run.ask.class.tier,
            &run.ask.team,
            run.ask.weight,
            correction,
        );
        if spent.outcome == request::Outcome::Completed {
            self.observe(&run.ask, spent);
        }
        self.grant(now, out);
        self.preempt(now, out);
    }

    /// Forgets the requests of a host that is gone; `is_theirs` tells by ticket.
    pub fn remove_host(
        &mut self,
        is_theirs: impl Fn(request::Ticket) -> bool,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        let waiting: Vec<_> = self.queue.iter().map(|w| w.request.ticket).collect();
        for ticket in waiting {
            if is_theirs(ticket) {
                self.withdraw(ticket);
            }
        }
        self.remove_running(is_theirs, clock::Millis::ZERO, now, out);
    }

    /// Forgets running requests that are gone; `is_gone` tells by ticket. Those that started
    /// less than `age` ago stay: word of them may still be on its way.
    pub fn remove_running(
        &mut self,
        is_gone: impl Fn(request::Ticket) -> bool,
        age: clock::Millis,
        now: clock::Millis,
        out: &mut Vec<request::Decision>,
    ) {
        let old = self
            .running
            .iter()
            .filter(|(_, r)| now.since(r.started) >= age);
        let running: Vec<_> = old.map(|(ticket, _)| *ticket).collect();
        let zero = clock::Millis::ZERO;
        for ticket in running {
            if !is_gone(ticket) {
                continue;
            }
            let spent = request::RunStats {
                outcome: request::Outcome::Stopped,
                tokens: 0,
                ttft: zero,
                total: zero,
            };
            self.finish(ticket, &spent, now, out);
        }
    }

    /// Time passes: overdue requests are refused, floors open, urgent ones stop others.
    pub fn tick(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        self.refuse_overdue(now, out);
        self.grant(now, out);
        self.preempt(now, out);
    }

    fn note_class(&mut self, ask: &request::SlotRequest, now: clock::Millis) {
        let terms = &ask.class;
        let class = self
            .classes
            .entry(terms.name.clone())
            .or_insert_with(|| Class {
                terms: terms.clone(),
                running: 0,
                waiting: 0,
                last_grant: now,
                last_ask: now,
            });
        // A class that asked for nothing has not been kept waiting.
        if class.waiting == 0 && now.since(class.last_ask) > terms.max_wait {
            class.last_grant = now;
        }
        class.last_ask = now;
        class.terms = terms.clone();
    }

    fn refuse_early(
        &self,
        ask: &request::SlotRequest,
        now: clock::Millis,
    ) -> Option<refusal::Refusal> {
        if !self.pool.can_serve(ask) {
            let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
            return Some(refusal.retry(START_TIME));
        }
        if ask.received_tokens > 0 {
            return None;
        }
        let wait = self.expected_wait(ask, now);
        if self.queue.len() >= MAX_WAITING {
            return Some(refusal::Refusal::not_run(refusal::Reason::TargetMissed).retry(wait));
        }
        let slack = self.slack(&ask.class, ask.waited);
        let hopeless = wait.0 as f64 > slack.0 as f64 * DOUBT;
        if !hopeless || self.floor_is_due(&ask.class.name, now) || self.has_victim_for(ask) {
            return None;
        }
        let after = wait.since(slack);
        Some(refusal::Refusal::not_run(refusal::Reason::TargetMissed).retry(after))
    }

    /// Time left to wait before the target can't be met.
    fn slack(&self, terms: &request::ClassSettings, waited: clock::Millis) -> clock::Millis {
        let first = clock::Millis(self.first_ms as u64);
        terms.ttft_target.since(waited).since(first)
    }

    /// The wait expected for a request that arrives now: by the requests ahead of it, and by how
    /// fast its tier and its team are being served while they wait.
    pub fn expected_wait(&self, ask: &request::SlotRequest, now: clock::Millis) -> clock::Millis {
        let tier = ask.class.tier;
        let ahead = self.queue.count_ahead(tier, &ask.team, ask.weight);
        let total = self.queue.count_above(tier) + ahead;
        let free = self
            .pool
            .total_slots()
            .saturating_sub(self.pool.used_slots()) as usize;
        if total < free {
            return clock::Millis::ZERO;
        }
        let by_ends = (total + 1 - free) as f64 * self.end_every();
        let by_pace = self.queue.expected_wait_ms(tier, &ask.team, ahead, now);
        clock::Millis(by_ends.max(by_pace) as u64)
    }

    /// Mean time between two ends of answers while all slots are in use, in milliseconds; zero
    /// while none has ended, so that nothing is refused on a guess.
    fn end_every(&self) -> f64 {
        self.total_ms / f64::from(self.pool.total_slots().max(1))
    }

    fn floor_slots(&self, terms: &request::ClassSettings) -> u32 {
        if terms.min_share == 0 {
            return 0;
        }
        (self.pool.total_slots() * u32::from(terms.min_share) / 1000).max(1)
    }

    fn floor_is_due(&self, class: &name::Class, now: clock::Millis) -> bool {
        let Some(class) = self.classes.get(class) else {
            return false;
        };
        let starved = now.since(class.last_grant) >= class.terms.max_wait;
        let floor = self.floor_slots(&class.terms);
        starved && class.running < floor && class.waiting < floor
    }

    /// Stops resumable work on cheap upstreams that are leaving, so that it goes on elsewhere
    /// before the upstream is reclaimed.
    fn leave_evicted(&mut self, out: &mut Vec<request::Decision>) {
        for (ticket, run) in &mut self.running {
            let found = self
                .pool
                .members()
                .iter()
                .find(|m| m.config.name == run.upstream);
            let leaves = found.is_some_and(|m| m.draining && m.config.preemptible);
            if !leaves || run.stopping || !run.ask.resumable {
                continue;
            }
            run.stopping = true;
            self.counts.evicted += 1;
            out.push(request::Decision::Preempt(*ticket));
        }
    }

    fn refuse_homeless(&mut self, out: &mut Vec<request::Decision>) {
        let mut gone = Vec::new();
        for w in self.queue.iter() {
            if w.request.received_tokens == 0 && !self.pool.can_serve(&w.request) {
                gone.push(w.request.ticket);
            }
        }
        for ticket in gone {
            self.withdraw(ticket);
            let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
            out.push(request::Decision::Refuse(ticket, refusal));
        }
    }

    fn refuse_overdue(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        let mut late = Vec::new();
        for w in self.queue.iter() {
            let slack = self.slack(&w.request.class, now.since(w.since));
            if w.request.received_tokens == 0 && slack == clock::Millis::ZERO {
                late.push(w.request.ticket);
            }
        }
        for ticket in late {
            self.withdraw(ticket);
            self.counts.refused_late += 1;
            let wait = clock::Millis(self.total_ms as u64);
            let refusal = refusal::Refusal::not_run(refusal::Reason::TargetMissed).retry(wait);
            out.push(request::Decision::Refuse(ticket, refusal));
        }
    }

    fn grant(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        loop {
            let due = self.next_due(now);
            let Some(ticket) = due.or_else(|| self.next_in_order(now)) else {
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
            self.counts.by_min_share += u64::from(due.is_some());
            out.push(request::Decision::Grant(ticket, upstream.clone()));
            self.start(w.request, upstream, now);
        }
    }

    fn start(&mut self, ask: request::SlotRequest, upstream: name::Upstream, now: clock::Millis) {
        if let Some(class) = self.classes.get_mut(&ask.class.name) {
            class.running += 1;
            class.last_grant = now;
        }
        let expected = self.lengths.estimate(&ask.class.name, &ask.team, 0);
        let expected = (expected as u32).min(ask.max_tokens);
        let charged = service(&ask, expected);
        self.pool.acquire(&upstream, ask.prefix_hash, now);
        self.queue.record_grant(ask.class.tier, &ask.team, now);
        self.queue
            .charge(ask.class.tier, &ask.team, ask.weight, charged);
        let ticket = ask.ticket;
        let run = Running {
            ask,
            upstream,
            started: now,
            charged,
            stopping: false,
        };
        self.running.insert(ticket, run);
    }

    /// The next request of a class whose floor is open, the longest starved class first.
    fn next_due(&self, now: clock::Millis) -> Option<request::Ticket> {
        let mut due: Option<(clock::Millis, &name::Class)> = None;
        for (name, class) in &self.classes {
            let starved = now.since(class.last_grant) >= class.terms.max_wait;
            if class.waiting == 0 || !starved || class.running >= self.floor_slots(&class.terms) {
                continue;
            }
            if due.is_none_or(|(t, _)| class.last_grant < t) {
                due = Some((class.last_grant, name));
            }
        }
        let (_, class) = due?;
        self.queue
            .next(|a| &a.class.name == class && self.pool.choose(a, now).is_some())
    }

    fn next_in_order(&self, now: clock::Millis) -> Option<request::Ticket> {
        // Whether a request without upstreams to avoid fits depends only on whether it can be
        // continued elsewhere, so each of the two answers is looked up once.
        let known = cell::Cell::new([None; 2]);
        self.queue.next(|a| {
            if !a.avoid.is_empty() {
                return self.pool.choose(a, now).is_some();
            }
            let kind = usize::from(a.resumable);
            let mut fits = known.get();
            let answer = *fits[kind].get_or_insert_with(|| self.pool.choose(a, now).is_some());
            known.set(fits);
            answer
        })
    }

    fn has_victim_for(&self, ask: &request::SlotRequest) -> bool {
        let wanted = self.queue.count_above(ask.class.tier + 1) as u32;
        let victims = self
            .running
            .values()
            .filter(|r| self.may_stop(r, ask.class.tier));
        victims.count() as u32 > wanted
    }

    fn may_stop(&self, run: &Running, tier: u8) -> bool {
        if run.stopping || !run.ask.resumable || run.ask.class.tier <= tier {
            return false;
        }
        let Some(class) = self.classes.get(&run.ask.class.name) else {
            return false;
        };
        class.running > self.floor_slots(&class.terms)
    }

    /// Stops lower-tier work for requests that would otherwise miss their target.
    fn preempt(&mut self, now: clock::Millis, out: &mut Vec<request::Decision>) {
        let read_limit = ENDS_AWAITED * self.end_every();
        let read_limit = clock::Millis(read_limit as u64) + STOP_TIME;
        let mut urgent: Vec<(u8, bool)> = Vec::new();
        for w in self.queue.iter() {
            let slack = self.slack(&w.request.class, now.since(w.since));
            if w.request.received_tokens == 0 && slack < read_limit {
                urgent.push((w.request.class.tier, w.request.resumable));
            }
        }
        urgent.sort_unstable();
        let stopping = self.running.values().filter(|r| r.stopping).count();
        for (tier, resumable) in urgent.into_iter().skip(stopping) {
            let Some(ticket) = self.victim(tier, resumable) else {
                return;
            };
            if let Some(run) = self.running.get_mut(&ticket) {
                run.stopping = true;
            }
            self.counts.preempted += 1;
            out.push(request::Decision::Preempt(ticket));
        }
    }

    /// The running request to stop for one of `tier`: of the lowest tier, the latest started.
    fn victim(&self, tier: u8, resumable: bool) -> Option<request::Ticket> {
        let mut best: Option<(u8, clock::Millis, request::Ticket)> = None;
        for (ticket, run) in &self.running {
            if !self.may_stop(run, tier) || !(resumable || self.is_firm(&run.upstream)) {
                continue;
            }
            let rank = (run.ask.class.tier, run.started, *ticket);
            if best.is_none_or(|b| rank > b) {
                best = Some(rank);
            }
        }
        best.map(|(_, _, ticket)| ticket)
    }

    fn is_firm(&self, upstream: &name::Upstream) -> bool {
        let found = self
            .pool
            .members()
            .iter()
            .find(|m| &m.config.name == upstream);
        found.is_some_and(|m| !m.config.preemptible && !m.draining)
    }

    /// Learns from a whole answer; also from one that another dispatcher granted, so that a dispatcher
    /// that has to take over knows what to expect.
    pub fn observe(&mut self, ask: &request::SlotRequest, spent: &request::RunStats) {
        let whole = ask.received_tokens + spent.tokens;
        self.lengths.observe(&ask.class.name, &ask.team, whole);
        mean(&mut self.total_ms, spent.total);
        mean(&mut self.first_ms, spent.ttft);
    }
}

/// Whether a request may run where an eviction can come.
fn is_loose(ask: &request::SlotRequest) -> bool {
    ask.class.evictable && ask.resumable
}

fn mean(value: &mut f64, sample: clock::Millis) {
    let x = sample.0 as f64;
    *value = if *value == 0.0 {
        x
    } else {
        *value + (x - *value) / SMOOTHING
    };
}

/// Service in tokens that a request received.
fn service(ask: &request::SlotRequest, tokens: u32) -> i64 {
    i64::from(tokens) + i64::from(ask.prompt_tokens / PROMPT_PER_TOKEN) + 1
}
