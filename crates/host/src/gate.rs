//! Grants of slots: from this host's own dispatchers, or from the dispatching host.
//!
//! A request asks the host that dispatches its service. If no word comes back in time, the host
//! grants itself its share of the slots. A grant that comes too late is given back at once, so
//! two dispatchers at a time cost time and never a promise.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name, refusal};
use peer::message;
use policy::{ask, dispatch, pool, share};

use crate::directory;

/// How long a dispatcher may be silent before the host grants itself its share.
const ANSWER: clock::Millis = clock::Millis(60);
/// How often a waiting request asks its dispatcher again.
const ASK_AGAIN: clock::Millis = clock::Millis(250);

/// A grant younger than this may still be on its way to its host.
const SETTLE: clock::Millis = clock::Millis(1_000);

/// Sends messages to other hosts.
pub trait Outbox: Send + Sync {
    /// Queues a message; tells whether it was queued.
    fn send(&self, host: &name::Host, message: message::Message) -> bool;
}

/// Looks up what a message only names.
pub trait Terms: Send + Sync {
    /// The terms of a class and the weight of a team, as configured now.
    fn terms(&self, class: &name::Class, team: &name::Team) -> Option<(ask::Terms, u32)>;
}

/// Finds another data centre for a request that this one refuses.
pub trait Neighbours: Send + Sync {
    /// The dispatcher of a data centre that can meet the target. `wait` is what this data centre
    /// would take, `slack` what is left, `bytes` what would cross the link.
    fn find(
        &self,
        service: &name::Service,
        wait: clock::Millis,
        slack: clock::Millis,
        bytes: u64,
    ) -> Option<name::Host>;
}

/// Where a request was granted.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Source {
    Own,
    Peer(name::Host),
}

#[derive(Debug, Default)]
struct Slot {
    decision: Option<(ask::Decision, Source)>,
    heard: bool,
    stopped: bool,
}

/// What one request waits on.
#[derive(Debug, Default)]
struct Waiter {
    slot: sync::Mutex<Slot>,
    changed: sync::Condvar,
}

impl Waiter {
    fn lock(&self) -> sync::MutexGuard<'_, Slot> {
        self.slot
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Waits until `ready` holds or `limit` has passed.
    fn wait(
        &self,
        limit: clock::Millis,
        ready: impl Fn(&Slot) -> bool,
    ) -> sync::MutexGuard<'_, Slot> {
        let end = time::Instant::now() + limit.duration();
        let mut slot = self.lock();
        while !ready(&slot) {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(slot, left);
            slot = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        slot
    }
}

struct Desk {
    dispatcher: dispatch::Dispatcher,
    /// Upstreams as configured, before this host's share is taken.
    sites: Vec<pool::Site>,
    whole: bool,
}

struct Entry {
    waiter: sync::Arc<Waiter>,
    ask: message::Ask,
    granted: Option<(name::Upstream, Source)>,
    /// The dispatcher of another data centre that was asked.
    away: Option<name::Host>,
    at: clock::Millis,
}

#[derive(Default)]
struct State {
    desks: collections::HashMap<name::Service, Desk>,
    entries: collections::HashMap<ask::Ticket, Entry>,
    away: collections::HashSet<(name::Host, name::Service)>,
    next: u32,
}

/// Grants of slots for the requests of one host.
pub struct Gate {
    clock: clock::Clock,
    number: u32,
    directory: sync::Arc<directory::Directory>,
    state: sync::Mutex<State>,
    outbox: sync::OnceLock<sync::Weak<dyn Outbox>>,
    terms: sync::OnceLock<sync::Weak<dyn Terms>>,
    neighbours: sync::OnceLock<sync::Weak<dyn Neighbours>>,
}

/// The number of a host in the upper half of its tickets.
pub fn number(host: &name::Host) -> u32 {
    base::hash::stable(host.as_str().as_bytes()) as u32
}

fn is_from(ticket: ask::Ticket, number: u32) -> bool {
    (ticket.0 >> 32) as u32 == number
}

/// Work for after the lock is released.
#[derive(Default)]
struct Effects {
    decisions: Vec<ask::Decision>,
}

impl Gate {
    /// A gate that grants alone until it knows other hosts.
    pub fn new(clock: clock::Clock, directory: sync::Arc<directory::Directory>) -> Self {
        let number = number(directory.host());
        let outbox = sync::OnceLock::new();
        let terms = sync::OnceLock::new();
        let neighbours = sync::OnceLock::new();
        Self {
            clock,
            number,
            directory,
            state: sync::Mutex::default(),
            outbox,
            terms,
            neighbours,
        }
    }

    /// Connects the gate to other hosts and to the configuration.
    pub fn connect(
        &self,
        outbox: sync::Weak<dyn Outbox>,
        terms: sync::Weak<dyn Terms>,
        neighbours: sync::Weak<dyn Neighbours>,
    ) {
        let _ = self.outbox.set(outbox);
        let _ = self.terms.set(terms);
        let _ = self.neighbours.set(neighbours);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sends a message to another host; tells whether it was queued.
    pub fn send(&self, host: &name::Host, message: message::Message) -> bool {
        let outbox = self.outbox.get().and_then(sync::Weak::upgrade);
        outbox.is_some_and(|o| o.send(host, message))
    }

    fn expand(&self, ask: &message::Ask) -> Option<ask::Ask> {
        let terms = self.terms.get().and_then(sync::Weak::upgrade)?;
        let (terms, weight) = terms.terms(&ask.class, &ask.team)?;
        Some(ask::Ask {
            ticket: ask.ticket,
            team: ask.team.clone(),
            weight,
            terms,
            waited: ask.waited,
            prompt: ask.prompt,
            limit: ask.limit,
            prefix: ask.prefix,
            resumable: ask.resumable,
            held: ask.held,
            avoid: ask.avoid.iter().cloned().collect(),
        })
    }

    /// This host's data centre.
    pub fn dc(&self) -> &name::Dc {
        self.directory.dc()
    }

    /// A new request's ticket.
    pub fn ticket(&self) -> ask::Ticket {
        let mut state = self.lock();
        state.next = state.next.wrapping_add(1);
        ask::Ticket(u64::from(self.number) << 32 | u64::from(state.next))
    }

    /// Sets the upstreams of a service in this data centre.
    pub fn configure(&self, service: &name::Service, sites: Vec<pool::Site>) {
        let now = self.clock.now();
        let whole = &self.directory.dispatcher(service, now) == self.directory.host();
        let (index, hosts) = self.directory.rank(now);
        let mut effects = Effects::default();
        let mut state = self.lock();
        let desk = state.desks.entry(service.clone()).or_insert_with(|| Desk {
            dispatcher: dispatch::Dispatcher::default(),
            sites: Vec::new(),
            whole: true,
        });
        let taken_over = whole && !desk.whole;
        desk.whole = whole;
        let shared = if whole {
            sites.clone()
        } else {
            part(&sites, hosts, index)
        };
        if shared != desk.sites {
            desk.dispatcher
                .configure(&shared, now, &mut effects.decisions);
            desk.sites = shared;
        }
        drop(state);
        self.carry_out(effects);
        if taken_over {
            self.adopt_own(service);
        }
    }

    /// Waits for a slot, in this data centre or in another that can meet the target.
    ///
    /// # Errors
    ///
    /// The refusal; nothing ran under this ticket.
    pub fn enter(self: &sync::Arc<Self>, ask: message::Ask) -> Result<Pass, refusal::Refusal> {
        let start = self.clock.now();
        let waiter = self.expect(&ask, None);
        let mut ask = ask;
        let waited = ask.waited;
        loop {
            ask.waited = waited + self.clock.now().since(start);
            let limit = self.ask_dispatcher(&ask, &waiter);
            let slot = waiter.wait(limit, |s| s.decision.is_some());
            let Some((decision, source)) = slot.decision.clone() else {
                continue;
            };
            drop(slot);
            let settled = self.settle(ask.clone(), waiter, decision, source);
            return settled.or_else(|refusal| self.spill(ask, refusal));
        }
    }

    /// Registers a request that a decision is awaited for.
    fn expect(&self, ask: &message::Ask, away: Option<name::Host>) -> sync::Arc<Waiter> {
        let waiter = sync::Arc::new(Waiter::default());
        let at = self.clock.now();
        let entry = Entry {
            waiter: waiter.clone(),
            ask: ask.clone(),
            granted: None,
            away,
            at,
        };
        self.lock().entries.insert(ask.ticket, entry);
        waiter
    }

    /// How many requests this host has at another dispatcher that it asked there after `at`.
    pub fn away_since(&self, host: &name::Host, service: &name::Service, at: clock::Millis) -> u32 {
        let state = self.lock();
        let there =
            |e: &&Entry| e.away.as_ref() == Some(host) && &e.ask.service == service && e.at >= at;
        state.entries.values().filter(there).count() as u32
    }

    /// Asks another data centre for a request that this one refuses; `refusal` stands if none
    /// grants it in time.
    fn spill(
        self: &sync::Arc<Self>,
        mut ask: message::Ask,
        refusal: refusal::Refusal,
    ) -> Result<Pass, refusal::Refusal> {
        use refusal::Reason;
        if !matches!(refusal.reason, Reason::TargetMissed | Reason::NoUpstream) {
            return Err(refusal);
        }
        let Some(full) = self.expand(&ask) else {
            return Err(refusal);
        };
        let slack = full.terms.first.since(ask.waited);
        let wait = slack + refusal.retry.unwrap_or(clock::Millis::secs(1));
        let neighbours = self.neighbours.get().and_then(sync::Weak::upgrade);
        let found = neighbours.and_then(|n| n.find(&ask.service, wait, slack, crossing(&ask)));
        let Some(host) = found else {
            return Err(refusal);
        };
        ask.ticket = self.ticket();
        let waiter = self.expect(&ask, Some(host.clone()));
        let sent = self.send(&host, message::Message::Ask(ask.clone()));
        let limit = if sent { slack } else { clock::Millis::ZERO };
        let decision = waiter
            .wait(limit, |s| s.decision.is_some())
            .decision
            .clone();
        match decision {
            Some((ask::Decision::Grant(_, upstream), _)) => {
                tracing::debug!(event = "spilled", host = %host, upstream = %upstream);
                let started = self.clock.now();
                Ok(Pass {
                    gate: self.clone(),
                    ask,
                    waiter,
                    upstream,
                    started,
                    ended: false,
                })
            }
            _ => {
                self.lock().entries.remove(&ask.ticket);
                self.send(
                    &host,
                    message::Message::Withdraw(ask.service.clone(), ask.ticket),
                );
                Err(refusal)
            }
        }
    }

    /// Asks the dispatching host, or this host's own desk; returns how long to wait for more.
    fn ask_dispatcher(&self, ask: &message::Ask, waiter: &Waiter) -> clock::Millis {
        let dispatcher = self.directory.dispatcher(&ask.service, self.clock.now());
        if &dispatcher != self.directory.host() {
            waiter.lock().heard = false;
            if self.send(&dispatcher, message::Message::Ask(ask.clone())) {
                let slot = waiter.wait(ANSWER, |s| s.heard || s.decision.is_some());
                if slot.heard || slot.decision.is_some() {
                    return ASK_AGAIN;
                }
            }
            tracing::debug!(event = "dispatcher_silent", host = %dispatcher);
            self.send(
                &dispatcher,
                message::Message::Withdraw(ask.service.clone(), ask.ticket),
            );
        }
        self.adopt_own(&ask.service);
        self.ask_own(ask);
        ASK_AGAIN
    }

    /// Counts at this host's own desk what it runs under grants of a dispatcher that is silent or
    /// gone.
    fn adopt_own(&self, service: &name::Service) {
        let now = self.clock.now();
        let mut running = Vec::new();
        for entry in self.lock().entries.values() {
            let here = entry.away.is_none() && &entry.ask.service == service;
            if let (true, Some((upstream, Source::Peer(_)))) = (here, &entry.granted) {
                running.push((entry.ask.clone(), upstream.clone()));
            }
        }
        for (ask, upstream) in running {
            let Some(full) = self.expand(&ask) else {
                continue;
            };
            if let Some(desk) = self.lock().desks.get_mut(service) {
                desk.dispatcher.adopt(full, &upstream, now);
            }
        }
    }

    fn ask_own(&self, ask: &message::Ask) {
        let Some(full) = self.expand(ask) else {
            let refusal = refusal::Refusal::not_run(refusal::Reason::UnknownClass);
            self.deliver(ask::Decision::Refuse(ask.ticket, refusal), Source::Own);
            return;
        };
        let now = self.clock.now();
        let mut effects = Effects::default();
        let mut state = self.lock();
        match state.desks.get_mut(&ask.service) {
            Some(desk) if desk.dispatcher.knows(ask.ticket) => {
                desk.dispatcher.tick(now, &mut effects.decisions);
            }
            Some(desk) => desk.dispatcher.ask(full, now, &mut effects.decisions),
            None => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
                effects
                    .decisions
                    .push(ask::Decision::Refuse(ask.ticket, refusal));
            }
        }
        drop(state);
        self.carry_out(effects);
    }

    fn settle(
        self: &sync::Arc<Self>,
        ask: message::Ask,
        waiter: sync::Arc<Waiter>,
        decision: ask::Decision,
        source: Source,
    ) -> Result<Pass, refusal::Refusal> {
        match decision {
            ask::Decision::Grant(_, upstream) => {
                self.withdraw_elsewhere(&ask, &source);
                let gate = self.clone();
                let started = self.clock.now();
                Ok(Pass {
                    gate,
                    ask,
                    waiter,
                    upstream,
                    started,
                    ended: false,
                })
            }
            ask::Decision::Refuse(ticket, refusal) => {
                self.lock().entries.remove(&ticket);
                self.withdraw_own(&ask.service, ticket);
                Err(refusal)
            }
            ask::Decision::Preempt(ticket) => {
                self.lock().entries.remove(&ticket);
                Err(refusal::Refusal::not_run(refusal::Reason::Shed))
            }
        }
    }

    /// Takes a granted request out of the queue it was not granted from.
    fn withdraw_elsewhere(&self, ask: &message::Ask, source: &Source) {
        if source != &Source::Own {
            return self.withdraw_own(&ask.service, ask.ticket);
        }
        let dispatcher = self.directory.dispatcher(&ask.service, self.clock.now());
        if &dispatcher != self.directory.host() {
            self.send(
                &dispatcher,
                message::Message::Withdraw(ask.service.clone(), ask.ticket),
            );
        }
    }

    fn withdraw_own(&self, service: &name::Service, ticket: ask::Ticket) {
        if let Some(desk) = self.lock().desks.get_mut(service) {
            desk.dispatcher.withdraw(ticket);
        }
    }

    /// Passes decisions to the requests waiting here, or to the hosts that asked.
    fn carry_out(&self, effects: Effects) {
        for decision in effects.decisions {
            if is_from(decision.ticket(), self.number) {
                self.deliver(decision, Source::Own);
                continue;
            }
            let Some(host) = self.host_of(decision.ticket()) else {
                continue;
            };
            self.send(&host, message::Message::Decide(decision));
        }
    }

    fn host_of(&self, ticket: ask::Ticket) -> Option<name::Host> {
        let heard = self.directory.heard(self.clock.now());
        let found = heard
            .into_iter()
            .find(|(host, _, _)| is_from(ticket, number(host)));
        found.map(|(host, _, _)| host)
    }

    /// Gives a decision to its request; gives a grant back that nobody waits for.
    fn deliver(&self, decision: ask::Decision, source: Source) {
        let ticket = decision.ticket();
        let mut state = self.lock();
        let Some(entry) = state.entries.get_mut(&ticket) else {
            drop(state);
            if let ask::Decision::Grant(..) = decision {
                self.give_back(ticket, &source, None);
            }
            return;
        };
        let waiter = entry.waiter.clone();
        match &decision {
            ask::Decision::Preempt(_) => {
                waiter.lock().stopped = true;
            }
            ask::Decision::Grant(_, upstream) => {
                if let Some((_, first)) = &entry.granted {
                    let again = *first == source;
                    let service = entry.ask.service.clone();
                    drop(state);
                    if !again {
                        self.give_back(ticket, &source, Some(&service));
                    }
                    return;
                }
                entry.granted = Some((upstream.clone(), source.clone()));
                waiter.lock().decision = Some((decision, source));
            }
            ask::Decision::Refuse(..) => {
                let mut slot = waiter.lock();
                if slot.decision.is_none() {
                    slot.decision = Some((decision, source));
                }
            }
        }
        drop(state);
        waiter.changed.notify_all();
    }

    fn give_back(&self, ticket: ask::Ticket, source: &Source, service: Option<&name::Service>) {
        let spent = ask::Spent {
            outcome: ask::Outcome::Stopped,
            tokens: 0,
            first: clock::Millis::ZERO,
            total: clock::Millis::ZERO,
        };
        let services: Vec<name::Service> = match service {
            Some(service) => vec![service.clone()],
            None => self.lock().desks.keys().cloned().collect(),
        };
        for service in services {
            self.ended(&service, ticket, &spent, source);
        }
    }

    fn ended(
        &self,
        service: &name::Service,
        ticket: ask::Ticket,
        spent: &ask::Spent,
        source: &Source,
    ) {
        match source {
            Source::Own => self.done(service, ticket, spent),
            Source::Peer(host) => {
                let message = message::Message::Done(service.clone(), ticket, *spent);
                self.send(host, message);
                // The own desk may have adopted it meanwhile.
                self.done(service, ticket, spent);
            }
        }
    }

    fn done(&self, service: &name::Service, ticket: ask::Ticket, spent: &ask::Spent) {
        let now = self.clock.now();
        let mut effects = Effects::default();
        let mut state = self.lock();
        if let Some(desk) = state.desks.get_mut(service) {
            desk.dispatcher
                .done(ticket, spent, now, &mut effects.decisions);
        }
        drop(state);
        self.carry_out(effects);
    }

    /// Teaches this host's own desk what another's grant showed.
    fn learn(&self, ask: &message::Ask, spent: &ask::Spent) {
        let Some(full) = self.expand(ask) else { return };
        if let Some(desk) = self.lock().desks.get_mut(&ask.service) {
            desk.dispatcher.learn(&full, spent);
        }
    }

    /// Lets time pass at every desk.
    pub fn tick(&self) {
        let now = self.clock.now();
        let mut effects = Effects::default();
        let mut state = self.lock();
        for desk in state.desks.values_mut() {
            desk.dispatcher.tick(now, &mut effects.decisions);
        }
        drop(state);
        self.carry_out(effects);
    }

    /// A message about grants came from another host.
    pub fn message(&self, host: &name::Host, message: message::Message) {
        match message {
            message::Message::Ask(ask) => self.asked(host, &ask),
            message::Message::Queued(ticket) => self.queued(ticket),
            message::Message::Decide(decision) => {
                self.deliver(decision, Source::Peer(host.clone()));
            }
            message::Message::Withdraw(service, ticket) if is_from(ticket, number(host)) => {
                self.withdraw_own(&service, ticket);
            }
            message::Message::Done(service, ticket, spent) if is_from(ticket, number(host)) => {
                self.done(&service, ticket, &spent);
            }
            message::Message::Holding(service, digest) => {
                self.compare(host, &service, digest);
            }
            message::Message::TellHolding(service) => {
                let held = self.held(host, &service);
                self.send(host, message::Message::Held(service, held));
            }
            message::Message::Held(service, held) => self.adopt(host, &service, &held),
            _ => {}
        }
    }

    fn asked(&self, host: &name::Host, ask: &message::Ask) {
        if !is_from(ask.ticket, number(host)) {
            return;
        }
        let running = {
            let state = self.lock();
            let desk = state.desks.get(&ask.service);
            desk.and_then(|d| d.dispatcher.runs_on(ask.ticket).cloned())
        };
        if let Some(upstream) = running {
            let decision = ask::Decision::Grant(ask.ticket, upstream);
            self.send(host, message::Message::Decide(decision));
            return;
        }
        self.ask_own(ask);
        // A decision that is on its way already says as much.
        let waits = {
            let state = self.lock();
            let desk = state.desks.get(&ask.service);
            desk.is_some_and(|d| d.dispatcher.waits(ask.ticket))
        };
        if waits {
            self.send(host, message::Message::Queued(ask.ticket));
        }
    }

    fn queued(&self, ticket: ask::Ticket) {
        let waiter = self.lock().entries.get(&ticket).map(|e| e.waiter.clone());
        if let Some(waiter) = waiter {
            waiter.lock().heard = true;
            waiter.changed.notify_all();
        }
    }

    /// What this host runs of a service under grants that count at the dispatcher `host`.
    fn held(&self, host: &name::Host, service: &name::Service) -> Vec<message::Held> {
        let own = self.directory.dispatcher(service, self.clock.now());
        let mut out = Vec::new();
        for entry in self.lock().entries.values() {
            let counts_at = entry.away.as_ref().unwrap_or(&own);
            if &entry.ask.service != service || counts_at != host {
                continue;
            }
            let Some((upstream, _)) = &entry.granted else {
                continue;
            };
            out.push(message::Held {
                ask: entry.ask.clone(),
                upstream: upstream.clone(),
            });
        }
        out
    }

    /// Tells each dispatcher in brief what this host runs under its grants.
    pub fn tell_holding(&self) {
        let now = self.clock.now();
        let mut digests: collections::HashMap<(name::Host, name::Service), message::Digest> =
            collections::HashMap::new();
        let mut state = self.lock();
        for service in state.desks.keys() {
            let dispatcher = self.directory.dispatcher(service, now);
            digests.entry((dispatcher, service.clone())).or_default();
        }
        // A dispatcher that was asked from afar is told of the end too.
        for place in std::mem::take(&mut state.away) {
            digests.entry(place).or_default();
        }
        let mut away = collections::HashSet::new();
        for (ticket, entry) in &state.entries {
            if entry.granted.is_none() {
                continue;
            }
            let service = &entry.ask.service;
            let dispatcher = match &entry.away {
                Some(host) => host.clone(),
                None => self.directory.dispatcher(service, now),
            };
            let place = (dispatcher, service.clone());
            if entry.away.is_some() {
                away.insert(place.clone());
            }
            digests.entry(place).or_default().add(*ticket);
        }
        state.away = away;
        drop(state);
        for ((host, service), digest) in digests {
            if &host != self.directory.host() {
                self.send(&host, message::Message::Holding(service, digest));
            }
        }
    }

    fn compare(&self, host: &name::Host, service: &name::Service, theirs: message::Digest) {
        let mut ours = message::Digest::default();
        let number = number(host);
        if let Some(desk) = self.lock().desks.get(service) {
            for ticket in desk.dispatcher.tickets() {
                if is_from(ticket, number) {
                    ours.add(ticket);
                }
            }
        }
        if ours != theirs {
            self.send(host, message::Message::TellHolding(service.clone()));
        }
    }

    fn adopt(&self, host: &name::Host, service: &name::Service, held: &[message::Held]) {
        let now = self.clock.now();
        let number = number(host);
        let known: collections::HashSet<_> = held.iter().map(|h| h.ask.ticket).collect();
        let mut full = Vec::new();
        for h in held {
            if let Some(ask) = self.expand(&h.ask)
                && is_from(h.ask.ticket, number)
            {
                full.push((ask, h.upstream.clone()));
            }
        }
        let mut effects = Effects::default();
        let mut state = self.lock();
        if let Some(desk) = state.desks.get_mut(service) {
            let gone = |t: ask::Ticket| is_from(t, number) && !known.contains(&t);
            desk.dispatcher
                .forget_running(gone, SETTLE, now, &mut effects.decisions);
            for (ask, upstream) in full {
                desk.dispatcher.adopt(ask, &upstream, now);
            }
        }
        drop(state);
        self.carry_out(effects);
    }

    /// A host is gone: its waiting and running requests leave the desks.
    pub fn forget(&self, host: &name::Host) {
        let now = self.clock.now();
        let number = number(host);
        let mut effects = Effects::default();
        let mut state = self.lock();
        for desk in state.desks.values_mut() {
            desk.dispatcher
                .forget(|t| is_from(t, number), now, &mut effects.decisions);
        }
        drop(state);
        self.carry_out(effects);
    }

    /// The load of the services that this host dispatches.
    pub fn loads(&self) -> Vec<message::Load> {
        let mut out = Vec::new();
        for (service, desk) in &mut self.lock().desks {
            if !desk.whole {
                continue;
            }
            let waiting = desk.dispatcher.waiting() as u32;
            let (firm, loose) = desk.dispatcher.demand();
            let pool = desk.dispatcher.pool();
            let free = pool.slots().saturating_sub(pool.busy());
            out.push(message::Load {
                service: service.clone(),
                free,
                waiting,
                firm,
                loose,
            });
        }
        out
    }
}

/// Bytes that a spilled request sends over the link, its answer included: a token travels as an
/// event of its own.
fn crossing(ask: &message::Ask) -> u64 {
    const BYTES_PER_PROMPT_TOKEN: u64 = 5;
    const BYTES_PER_EVENT: u64 = 200;
    const EXPECTED_EVENTS: u64 = 400;
    let events = u64::from(ask.limit).min(EXPECTED_EVENTS);
    u64::from(ask.prompt) * BYTES_PER_PROMPT_TOKEN + events * BYTES_PER_EVENT
}

/// This host's share of each upstream.
fn part(sites: &[pool::Site], hosts: u32, index: u32) -> Vec<pool::Site> {
    let mut out = Vec::new();
    for (n, site) in sites.iter().enumerate() {
        // Rotated by the upstream's place, so that odd slots spread over the hosts.
        let slots = share::slots(site.slots, hosts, (index + n as u32) % hosts.max(1));
        if slots > 0 {
            out.push(pool::Site {
                slots,
                ..site.clone()
            });
        }
    }
    out
}

/// A granted slot. Dropped without [`Pass::finish`], it counts as stopped.
pub struct Pass {
    gate: sync::Arc<Gate>,
    ask: message::Ask,
    waiter: sync::Arc<Waiter>,
    /// Where the request runs.
    pub upstream: name::Upstream,
    started: clock::Millis,
    ended: bool,
}

impl Pass {
    /// Whether the request has to stop for a higher tier.
    pub fn is_stopped(&self) -> bool {
        self.waiter.lock().stopped
    }

    /// When the slot was granted.
    pub fn started(&self) -> clock::Millis {
        self.started
    }

    /// Gives the slot back.
    pub fn finish(mut self, outcome: ask::Outcome, tokens: u32, first: clock::Millis) {
        self.end(outcome, tokens, first);
    }

    fn end(&mut self, outcome: ask::Outcome, tokens: u32, first: clock::Millis) {
        if self.ended {
            return;
        }
        self.ended = true;
        let total = self.gate.clock.now().since(self.started);
        let spent = ask::Spent {
            outcome,
            tokens,
            first,
            total,
        };
        let entry = self.gate.lock().entries.remove(&self.ask.ticket);
        let source = entry
            .and_then(|e| e.granted)
            .map_or(Source::Own, |(_, source)| source);
        if outcome == ask::Outcome::Whole && source != Source::Own {
            self.gate.learn(&self.ask, &spent);
        }
        self.gate
            .ended(&self.ask.service, self.ask.ticket, &spent, &source);
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        self.end(ask::Outcome::Stopped, 0, clock::Millis::ZERO);
    }
}
