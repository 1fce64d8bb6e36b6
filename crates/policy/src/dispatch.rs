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

use crate::{ask, length, pool, queue};

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
    ask: ask::Ask,
    upstream: name::Upstream,
    started: clock::Millis,
    charged: i64,
    stopping: bool,
}

#[derive(Debug)]
struct Class {
    terms: ask::Terms,
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
    pub by_floor: u64,
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
    lengths: length::Lengths,
    running: collections::HashMap<ask::Ticket, Running>,
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
        sites: &[pool::Site],
        now: clock::Millis,
        out: &mut Vec<ask::Decision>,
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
    pub fn knows(&self, ticket: ask::Ticket) -> bool {
        self.running.contains_key(&ticket) || self.waits(ticket)
    }

    /// Whether a request waits here.
    pub fn waits(&self, ticket: ask::Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Where a request runs.
    pub fn runs_on(&self, ticket: ask::Ticket) -> Option<&name::Upstream> {
        self.running.get(&ticket).map(|r| &r.upstream)
    }

    /// The running requests, in no order.
    pub fn tickets(&self) -> impl Iterator<Item = ask::Ticket> {
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
        for ask in running.chain(self.queue.iter().map(|w| &w.ask)) {
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
    fn note_rejected(&mut self, ask: &ask::Ask, now: clock::Millis) {
        let old = |(at, _): &(clock::Millis, bool)| now.since(*at) >= REMEMBERED;
        while self.rejected.front().is_some_and(old) || self.rejected.len() >= MAX_WAITING {
            self.rejected.pop_front();
        }
        self.rejected.push_back((now, is_loose(ask)));
    }

    /// A request arrives, or comes back with tokens it holds.
    pub fn ask(&mut self, ask: ask::Ask, now: clock::Millis, out: &mut Vec<ask::Decision>) {
        self.note_class(&ask, now);
        if let Some(refusal) = self.refuse_early(&ask, now) {
            self.counts.refused_early += 1;
            self.note_rejected(&ask, now);
            out.push(ask::Decision::Refuse(ask.ticket, refusal));
            return;
        }
        if let Some(class) = self.classes.get_mut(&ask.terms.class) {
            class.waiting += 1;
        }
        self.queue.push(ask, now);
        self.grant(now, out);
        self.preempt(now, out);
    }

    /// A request that another dispatcher granted, or the host itself, now counts here.
    pub fn adopt(&mut self, ask: ask::Ask, upstream: &name::Upstream, now: clock::Millis) {
        if self.running.contains_key(&ask.ticket) {
            return;
        }
        self.withdraw(ask.ticket);
        self.note_class(&ask, now);
        self.start(ask, upstream.clone(), now);
    }

    /// A waiting request is gone.
    pub fn withdraw(&mut self, ticket: ask::Ticket) {
        let Some(gone) = self.queue.remove(ticket) else {
            return;
        };
        if let Some(class) = self.classes.get_mut(&gone.ask.terms.class) {
            class.waiting -= 1;
        }
    }

    /// A granted request ended.
    pub fn done(
        &mut self,
        ticket: ask::Ticket,
        spent: &ask::Spent,
        now: clock::Millis,
        out: &mut Vec<ask::Decision>,
    ) {
        let Some(run) = self.running.remove(&ticket) else {
            return;
        };
        self.pool.give(&run.upstream, spent, now);
        if let Some(class) = self.classes.get_mut(&run.ask.terms.class) {
            class.running -= 1;
        }
        let due = service(&run.ask, spent.tokens);
        let correction = due - run.charged;
        self.queue.charge(
            run.ask.terms.tier,
            &run.ask.team,
            run.ask.weight,
            correction,
        );
        if spent.outcome == ask::Outcome::Whole {
            self.learn(&run.ask, spent);
        }
        self.grant(now, out);
        self.preempt(now, out);
    }

    /// Forgets the requests of a host that is gone; `is_theirs` tells by ticket.
    pub fn forget(
        &mut self,
        is_theirs: impl Fn(ask::Ticket) -> bool,
        now: clock::Millis,
        out: &mut Vec<ask::Decision>,
    ) {
        let waiting: Vec<_> = self.queue.iter().map(|w| w.ask.ticket).collect();
        for ticket in waiting {
            if is_theirs(ticket) {
                self.withdraw(ticket);
            }
        }
        self.forget_running(is_theirs, clock::Millis::ZERO, now, out);
    }

    /// Forgets running requests that are gone; `is_gone` tells by ticket. Those that started
    /// less than `age` ago stay: word of them may still be on its way.
    pub fn forget_running(
        &mut self,
        is_gone: impl Fn(ask::Ticket) -> bool,
        age: clock::Millis,
        now: clock::Millis,
        out: &mut Vec<ask::Decision>,
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
            let spent = ask::Spent {
                outcome: ask::Outcome::Stopped,
                tokens: 0,
                first: zero,
                total: zero,
            };
            self.done(ticket, &spent, now, out);
        }
    }

    /// Time passes: overdue requests are refused, floors open, urgent ones stop others.
    pub fn tick(&mut self, now: clock::Millis, out: &mut Vec<ask::Decision>) {
        self.refuse_overdue(now, out);
        self.grant(now, out);
        self.preempt(now, out);
    }

    fn note_class(&mut self, ask: &ask::Ask, now: clock::Millis) {
        let terms = &ask.terms;
        let class = self
            .classes
            .entry(terms.class.clone())
            .or_insert_with(|| Class {
                terms: terms.clone(),
                running: 0,
                waiting: 0,
                last_grant: now,
                last_ask: now,
            });
        // A class that asked for nothing has not been kept waiting.
        if class.waiting == 0 && now.since(class.last_ask) > terms.bound {
            class.last_grant = now;
        }
        class.last_ask = now;
        class.terms = terms.clone();
    }

    fn refuse_early(&self, ask: &ask::Ask, now: clock::Millis) -> Option<refusal::Refusal> {
        if !self.pool.suits(ask) {
            let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
            return Some(refusal.retry(START_TIME));
        }
        if ask.held > 0 {
            return None;
        }
        let wait = self.expect_wait(ask, now);
        if self.queue.len() >= MAX_WAITING {
            return Some(refusal::Refusal::not_run(refusal::Reason::TargetMissed).retry(wait));
        }
        let slack = self.slack(&ask.terms, ask.waited);
        let hopeless = wait.0 as f64 > slack.0 as f64 * DOUBT;
        if !hopeless || self.floor_is_due(&ask.terms.class, now) || self.has_victim_for(ask) {
            return None;
        }
        let after = wait.since(slack);
        Some(refusal::Refusal::not_run(refusal::Reason::TargetMissed).retry(after))
    }

    /// Time left to wait before the target can't be met.
    fn slack(&self, terms: &ask::Terms, waited: clock::Millis) -> clock::Millis {
        let first = clock::Millis(self.first_ms as u64);
        terms.first.since(waited).since(first)
    }

    /// The wait expected for a request that arrives now: by the requests ahead of it, and by how
    /// fast its tier and its team are being served while they wait.
    pub fn expect_wait(&self, ask: &ask::Ask, now: clock::Millis) -> clock::Millis {
        let tier = ask.terms.tier;
        let ahead = self.queue.ahead(tier, &ask.team, ask.weight);
        let total = self.queue.above(tier) + ahead;
        let free = self.pool.slots().saturating_sub(self.pool.busy()) as usize;
        if total < free {
            return clock::Millis::ZERO;
        }
        let by_ends = (total + 1 - free) as f64 * self.end_every();
        let by_pace = self.queue.expect_wait(tier, &ask.team, ahead, now);
        clock::Millis(by_ends.max(by_pace) as u64)
    }

    /// Mean time between two ends of answers while all slots are in use, in milliseconds; zero
    /// while none has ended, so that nothing is refused on a guess.
    fn end_every(&self) -> f64 {
        self.total_ms / f64::from(self.pool.slots().max(1))
    }

    fn floor_slots(&self, terms: &ask::Terms) -> u32 {
        if terms.floor == 0 {
            return 0;
        }
        (self.pool.slots() * u32::from(terms.floor) / 1000).max(1)
    }

    fn floor_is_due(&self, class: &name::Class, now: clock::Millis) -> bool {
        let Some(class) = self.classes.get(class) else {
            return false;
        };
        let starved = now.since(class.last_grant) >= class.terms.bound;
        let floor = self.floor_slots(&class.terms);
        starved && class.running < floor && class.waiting < floor
    }

    /// Stops resumable work on cheap upstreams that are leaving, so that it goes on elsewhere
    /// before the upstream is reclaimed.
    fn leave_evicted(&mut self, out: &mut Vec<ask::Decision>) {
        for (ticket, run) in &mut self.running {
            let found = self
                .pool
                .members()
                .iter()
                .find(|m| m.site.name == run.upstream);
            let leaves = found.is_some_and(|m| m.leaving && m.site.cheap);
            if !leaves || run.stopping || !run.ask.resumable {
                continue;
            }
            run.stopping = true;
            self.counts.evicted += 1;
            out.push(ask::Decision::Preempt(*ticket));
        }
    }

    fn refuse_homeless(&mut self, out: &mut Vec<ask::Decision>) {
        let mut gone = Vec::new();
        for w in self.queue.iter() {
            if w.ask.held == 0 && !self.pool.suits(&w.ask) {
                gone.push(w.ask.ticket);
            }
        }
        for ticket in gone {
            self.withdraw(ticket);
            let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
            out.push(ask::Decision::Refuse(ticket, refusal));
        }
    }

    fn refuse_overdue(&mut self, now: clock::Millis, out: &mut Vec<ask::Decision>) {
        let mut late = Vec::new();
        for w in self.queue.iter() {
            let slack = self.slack(&w.ask.terms, now.since(w.since));
            if w.ask.held == 0 && slack == clock::Millis::ZERO {
                late.push(w.ask.ticket);
            }
        }
        for ticket in late {
            self.withdraw(ticket);
            self.counts.refused_late += 1;
            let wait = clock::Millis(self.total_ms as u64);
            let refusal = refusal::Refusal::not_run(refusal::Reason::TargetMissed).retry(wait);
            out.push(ask::Decision::Refuse(ticket, refusal));
        }
    }

    fn grant(&mut self, now: clock::Millis, out: &mut Vec<ask::Decision>) {
        loop {
            let due = self.next_due(now);
            let Some(ticket) = due.or_else(|| self.next_in_order(now)) else {
                return;
            };
            let Some(w) = self.queue.remove(ticket) else {
                return;
            };
            let Some(upstream) = self.pool.choose(&w.ask, now) else {
                return;
            };
            if let Some(class) = self.classes.get_mut(&w.ask.terms.class) {
                class.waiting -= 1;
            }
            self.counts.granted += 1;
            self.counts.by_floor += u64::from(due.is_some());
            out.push(ask::Decision::Grant(ticket, upstream.clone()));
            self.start(w.ask, upstream, now);
        }
    }

    fn start(&mut self, ask: ask::Ask, upstream: name::Upstream, now: clock::Millis) {
        if let Some(class) = self.classes.get_mut(&ask.terms.class) {
            class.running += 1;
            class.last_grant = now;
        }
        let expected = self.lengths.expect(&ask.terms.class, &ask.team, 0);
        let expected = (expected as u32).min(ask.limit);
        let charged = service(&ask, expected);
        self.pool.take(&upstream, ask.prefix, now);
        self.queue.served(ask.terms.tier, &ask.team, now);
        self.queue
            .charge(ask.terms.tier, &ask.team, ask.weight, charged);
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
    fn next_due(&self, now: clock::Millis) -> Option<ask::Ticket> {
        let mut due: Option<(clock::Millis, &name::Class)> = None;
        for (name, class) in &self.classes {
            let starved = now.since(class.last_grant) >= class.terms.bound;
            if class.waiting == 0 || !starved || class.running >= self.floor_slots(&class.terms) {
                continue;
            }
            if due.is_none_or(|(t, _)| class.last_grant < t) {
                due = Some((class.last_grant, name));
            }
        }
        let (_, class) = due?;
        self.queue
            .next(|a| &a.terms.class == class && self.pool.choose(a, now).is_some())
    }

    fn next_in_order(&self, now: clock::Millis) -> Option<ask::Ticket> {
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

    fn has_victim_for(&self, ask: &ask::Ask) -> bool {
        let wanted = self.queue.above(ask.terms.tier + 1) as u32;
        let victims = self
            .running
            .values()
            .filter(|r| self.may_stop(r, ask.terms.tier));
        victims.count() as u32 > wanted
    }

    fn may_stop(&self, run: &Running, tier: u8) -> bool {
        if run.stopping || !run.ask.resumable || run.ask.terms.tier <= tier {
            return false;
        }
        let Some(class) = self.classes.get(&run.ask.terms.class) else {
            return false;
        };
        class.running > self.floor_slots(&class.terms)
    }

    /// Stops lower-tier work for requests that would otherwise miss their target.
    fn preempt(&mut self, now: clock::Millis, out: &mut Vec<ask::Decision>) {
        let read_limit = ENDS_AWAITED * self.end_every();
        let read_limit = clock::Millis(read_limit as u64) + STOP_TIME;
        let mut urgent: Vec<(u8, bool)> = Vec::new();
        for w in self.queue.iter() {
            let slack = self.slack(&w.ask.terms, now.since(w.since));
            if w.ask.held == 0 && slack < read_limit {
                urgent.push((w.ask.terms.tier, w.ask.resumable));
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
            out.push(ask::Decision::Preempt(ticket));
        }
    }

    /// The running request to stop for one of `tier`: of the lowest tier, the latest started.
    fn victim(&self, tier: u8, resumable: bool) -> Option<ask::Ticket> {
        let mut best: Option<(u8, clock::Millis, ask::Ticket)> = None;
        for (ticket, run) in &self.running {
            if !self.may_stop(run, tier) || !(resumable || self.is_firm(&run.upstream)) {
                continue;
            }
            let rank = (run.ask.terms.tier, run.started, *ticket);
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
            .find(|m| &m.site.name == upstream);
        found.is_some_and(|m| !m.site.cheap && !m.leaving)
    }

    /// Learns from a whole answer; also from one that another dispatcher granted, so that a dispatcher
    /// that has to take over knows what to expect.
    pub fn learn(&mut self, ask: &ask::Ask, spent: &ask::Spent) {
        let whole = ask.held + spent.tokens;
        self.lengths.learn(&ask.terms.class, &ask.team, whole);
        mean(&mut self.total_ms, spent.total);
        mean(&mut self.first_ms, spent.first);
    }
}

/// Whether a request may run where an eviction can come.
fn is_loose(ask: &ask::Ask) -> bool {
    ask.terms.evictable && ask.resumable
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
fn service(ask: &ask::Ask, tokens: u32) -> i64 {
    i64::from(tokens) + i64::from(ask.prompt / PROMPT_PER_TOKEN) + 1
}
