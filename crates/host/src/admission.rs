//! Grants of slots: from this host's own dispatchers, or from the dispatching host.
//!
//! A request asks the host that dispatches its service. If no word comes back in time, the host
//! grants itself its share of the slots. A grant that comes too late is given back at once, so
//! two dispatchers at a time cost time and never a promise.

use std::collections;
use std::sync;

use base::{clock, name, refusal};
use peer::message;
use policy::{pool, request};

use crate::{directory, dispatchers, permit, waiter};

/// How long a dispatcher may be silent before the host grants itself its share.
const ANSWER: clock::Millis = clock::Millis(60);
/// How often a waiting request asks its dispatcher again.
const ASK_AGAIN: clock::Millis = clock::Millis(250);

/// Sends messages to other hosts.
pub trait Outbox: Send + Sync {
    /// Queues a message; tells whether it was queued.
    fn send(&self, host: &name::Host, message: message::Message) -> bool;
}

/// Looks up what a message only names.
pub trait Terms: Send + Sync {
    /// The terms of a class and the weight of a team, as configured now.
    fn terms(
        &self,
        class: &name::Class,
        team: &name::Team,
    ) -> Option<(request::ClassSettings, u32)>;
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

/// A request of this host that waits or runs.
struct Entry {
    waiter: sync::Arc<waiter::Waiter>,
    ask: message::SlotRequest,
    granted: Option<(name::Upstream, waiter::Source)>,
    /// The dispatcher of another data centre that was asked.
    away: Option<name::Host>,
    at: clock::Millis,
}

#[derive(Default)]
struct State {
    dispatchers: dispatchers::Dispatchers,
    entries: collections::HashMap<request::Ticket, Entry>,
    /// Dispatchers of other data centres that were last told what runs under their grants.
    away: collections::HashSet<(name::Host, name::Service)>,
    next: u32,
}

/// Grants of slots for the requests of one host.
pub struct Admission {
    clock: clock::Clock,
    number: u32,
    directory: sync::Arc<directory::Directory>,
    state: sync::Mutex<State>,
    outbox: sync::OnceLock<sync::Weak<dyn Outbox>>,
    terms: sync::OnceLock<sync::Weak<dyn Terms>>,
    neighbours: sync::OnceLock<sync::Weak<dyn Neighbours>>,
}

/// The number of a host in the upper half of its tickets.
fn number(host: &name::Host) -> u32 {
    base::hash::stable_hash(host.as_str().as_bytes()) as u32
}

fn is_from(ticket: request::Ticket, number: u32) -> bool {
    (ticket.0 >> 32) as u32 == number
}

/// What a request used that never ran.
const NOTHING: request::RunStats = request::RunStats {
    outcome: request::Outcome::Stopped,
    tokens: 0,
    ttft: clock::Millis::ZERO,
    total: clock::Millis::ZERO,
};

impl Admission {
    /// A admission that grants alone until it knows other hosts. Tickets are counted from `first`, so
    /// that a restarted host does not use those of its earlier start.
    pub fn new(
        clock: clock::Clock,
        directory: sync::Arc<directory::Directory>,
        first: u32,
    ) -> Self {
        let number = number(directory.host());
        let state = State {
            next: first,
            ..State::default()
        };
        Self {
            clock,
            number,
            directory,
            state: sync::Mutex::new(state),
            outbox: sync::OnceLock::new(),
            terms: sync::OnceLock::new(),
            neighbours: sync::OnceLock::new(),
        }
    }

    /// Connects the admission to other hosts and to the configuration.
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

    pub(crate) fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Sends a message to another host; tells whether it was queued.
    pub fn send(&self, host: &name::Host, message: message::Message) -> bool {
        let outbox = self.outbox.get().and_then(sync::Weak::upgrade);
        outbox.is_some_and(|o| o.send(host, message))
    }

    fn send_withdraw(&self, host: &name::Host, ask: &message::SlotRequest) {
        self.send(
            host,
            message::Message::Cancel(ask.service.clone(), ask.ticket),
        );
    }

    fn expand(&self, ask: &message::SlotRequest) -> Option<request::SlotRequest> {
        let terms = self.terms.get().and_then(sync::Weak::upgrade)?;
        let (terms, weight) = terms.terms(&ask.class, &ask.team)?;
        Some(request::SlotRequest {
            ticket: ask.ticket,
            team: ask.team.clone(),
            weight,
            class: terms,
            waited: ask.waited,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            prefix_hash: ask.prefix_hash,
            resumable: ask.resumable,
            received_tokens: ask.received_tokens,
            excluded: ask.excluded.iter().cloned().collect(),
        })
    }

    /// This host's data centre.
    pub fn dc(&self) -> &name::Dc {
        self.directory.dc()
    }

    /// A new request's ticket.
    pub fn new_ticket(&self) -> request::Ticket {
        let mut state = self.lock();
        state.next = state.next.wrapping_add(1);
        request::Ticket(u64::from(self.number) << 32 | u64::from(state.next))
    }

    /// Sets the upstreams of a service in this data centre.
    pub fn configure(&self, service: &name::Service, sites: &[pool::UpstreamConfig]) {
        let now = self.now();
        let part = if &self.directory.dispatcher(service, now) == self.directory.host() {
            dispatchers::Part::Whole
        } else {
            let (index, hosts) = self.directory.rank(now);
            dispatchers::Part::Share { index, hosts }
        };
        let (decisions, taken_over) = self.lock().dispatchers.configure(service, sites, part, now);
        self.carry_out(decisions);
        if taken_over {
            self.adopt_own(service);
        }
    }

    /// Waits for a slot, in this data centre or in another that can meet the target.
    ///
    /// # Errors
    ///
    /// The refusal; nothing ran under this ticket.
    pub fn acquire(
        self: &sync::Arc<Self>,
        mut ask: message::SlotRequest,
    ) -> Result<permit::Permit, refusal::Refusal> {
        let start = self.now();
        let waiter = self.expect(&ask, None);
        let waited = ask.waited;
        loop {
            ask.waited = waited + self.now().since(start);
            let limit = self.ask_dispatcher(&ask, &waiter);
            let decided = waiter
                .wait(limit, |s| s.decision.is_some())
                .decision
                .clone();
            match decided {
                None => {}
                Some((request::Decision::Grant(_, upstream), source)) => {
                    self.withdraw_elsewhere(&ask, &source);
                    return Ok(permit::Permit::new(self.clone(), ask, waiter, upstream));
                }
                Some((request::Decision::Refuse(_, refusal), _)) => {
                    self.lock().dispatchers.withdraw(&ask.service, ask.ticket);
                    self.leave(&ask, &NOTHING);
                    return self.spill(ask, refusal);
                }
                // A request is stopped only after its grant.
                Some((request::Decision::Preempt(_), _)) => {
                    unreachable!("preempted before a grant")
                }
            }
        }
    }

    /// Registers a request that a decision is awaited for.
    fn expect(
        &self,
        ask: &message::SlotRequest,
        away: Option<name::Host>,
    ) -> sync::Arc<waiter::Waiter> {
        let waiter = sync::Arc::new(waiter::Waiter::default());
        let ask = ask.clone();
        let ticket = ask.ticket;
        let at = self.now();
        let entry = Entry {
            waiter: waiter.clone(),
            ask,
            granted: None,
            away,
            at,
        };
        self.lock().entries.insert(ticket, entry);
        waiter
    }

    /// A request leaves. A slot that it was granted is given back, also one whose grant came
    /// after the request had given up.
    pub(crate) fn leave(&self, ask: &message::SlotRequest, spent: &request::RunStats) {
        let entry = self.lock().entries.remove(&ask.ticket);
        let Some((_, source)) = entry.and_then(|e| e.granted) else {
            return;
        };
        if spent.outcome == request::Outcome::Completed && source != waiter::Source::Own {
            self.learn(ask, spent);
        }
        self.ended(&ask.service, ask.ticket, spent, &source);
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
        mut ask: message::SlotRequest,
        refusal: refusal::Refusal,
    ) -> Result<permit::Permit, refusal::Refusal> {
        let Some((host, slack)) = self.find_neighbour(&ask, &refusal) else {
            return Err(refusal);
        };
        ask.ticket = self.new_ticket();
        let waiter = self.expect(&ask, Some(host.clone()));
        let sent = self.send(&host, message::Message::SlotRequest(ask.clone()));
        let limit = if sent { slack } else { clock::Millis::ZERO };
        let decided = waiter
            .wait(limit, |s| s.decision.is_some())
            .decision
            .clone();
        if let Some((request::Decision::Grant(_, upstream), _)) = decided {
            tracing::debug!(event = "spilled", host = %host, upstream = %upstream);
            return Ok(permit::Permit::new(self.clone(), ask, waiter, upstream));
        }
        self.send_withdraw(&host, &ask);
        self.leave(&ask, &NOTHING);
        Err(refusal)
    }

    /// A dispatcher elsewhere that can meet the target, and the time that is left for it.
    fn find_neighbour(
        &self,
        ask: &message::SlotRequest,
        refusal: &refusal::Refusal,
    ) -> Option<(name::Host, clock::Millis)> {
        use refusal::Reason;
        if !matches!(refusal.reason, Reason::TargetMissed | Reason::NoUpstream) {
            return None;
        }
        let slack = self.expand(ask)?.class.ttft_target.since(ask.waited);
        let wait = slack + refusal.retry_after.unwrap_or(clock::Millis::secs(1));
        let neighbours = self.neighbours.get().and_then(sync::Weak::upgrade)?;
        let host = neighbours.find(&ask.service, wait, slack, crossing(ask))?;
        Some((host, slack))
    }

    /// Asks the dispatching host, or this host's own dispatcher; returns how long to wait for more.
    fn ask_dispatcher(&self, ask: &message::SlotRequest, waiter: &waiter::Waiter) -> clock::Millis {
        let dispatcher = self.directory.dispatcher(&ask.service, self.now());
        if &dispatcher != self.directory.host() {
            waiter.lock().heard = false;
            if self.send(&dispatcher, message::Message::SlotRequest(ask.clone())) {
                let slot = waiter.wait(ANSWER, |s| s.heard || s.decision.is_some());
                if slot.heard || slot.decision.is_some() {
                    return ASK_AGAIN;
                }
            }
            tracing::debug!(event = "dispatcher_silent", host = %dispatcher);
            self.send_withdraw(&dispatcher, ask);
            self.adopt_own(&ask.service);
        }
        self.ask_own(ask);
        ASK_AGAIN
    }

    /// Counts at this host's own dispatcher what it runs under grants of a dispatcher that is silent or
    /// gone.
    fn adopt_own(&self, service: &name::Service) {
        let mut granted = Vec::new();
        for entry in self.lock().entries.values() {
            let here = entry.away.is_none() && &entry.ask.service == service;
            if let (true, Some((upstream, waiter::Source::Peer(_)))) = (here, &entry.granted) {
                granted.push(message::RunningRequest {
                    request: entry.ask.clone(),
                    upstream: upstream.clone(),
                });
            }
        }
        let running = self.expand_all(&granted);
        self.lock().dispatchers.adopt(service, running, self.now());
    }

    fn expand_all(&self, held: &[message::RunningRequest]) -> Vec<dispatchers::Running> {
        let full =
            |h: &message::RunningRequest| Some((self.expand(&h.request)?, h.upstream.clone()));
        held.iter().filter_map(full).collect()
    }

    fn ask_own(&self, ask: &message::SlotRequest) {
        let decisions = match self.expand(ask) {
            Some(full) => self.lock().dispatchers.ask(&ask.service, full, self.now()),
            None => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::UnknownClass);
                vec![request::Decision::Refuse(ask.ticket, refusal)]
            }
        };
        self.carry_out(decisions);
    }

    /// Takes a granted request out of the queue it was not granted from.
    fn withdraw_elsewhere(&self, ask: &message::SlotRequest, source: &waiter::Source) {
        if source != &waiter::Source::Own {
            return self.lock().dispatchers.withdraw(&ask.service, ask.ticket);
        }
        let dispatcher = self.directory.dispatcher(&ask.service, self.now());
        if &dispatcher != self.directory.host() {
            self.send_withdraw(&dispatcher, ask);
        }
    }

    /// Passes decisions to the requests waiting here, or to the hosts that asked.
    fn carry_out(&self, decisions: dispatchers::Decisions) {
        for decision in decisions {
            if is_from(decision.ticket(), self.number) {
                self.deliver(decision, waiter::Source::Own);
            } else if let Some(host) = self.host_of(decision.ticket()) {
                self.send(&host, message::Message::Decision(decision));
            }
        }
    }

    fn host_of(&self, ticket: request::Ticket) -> Option<name::Host> {
        let heard = self.directory.reachable_hosts(self.now());
        let found = heard
            .into_iter()
            .find(|(host, _, _)| is_from(ticket, number(host)));
        found.map(|(host, _, _)| host)
    }

    /// Gives a decision to its request; gives a grant back that nobody waits for.
    fn deliver(&self, decision: request::Decision, source: waiter::Source) {
        let ticket = decision.ticket();
        let mut state = self.lock();
        let Some(entry) = state.entries.get_mut(&ticket) else {
            let services: Vec<_> = state.dispatchers.services().cloned().collect();
            drop(state);
            if let request::Decision::Grant(..) = decision {
                self.give_back(&services, ticket, &source);
            }
            return;
        };
        let waiter = entry.waiter.clone();
        match &decision {
            request::Decision::Preempt(_) => waiter.change(|slot| slot.stopped = true),
            request::Decision::Grant(_, upstream) => match &entry.granted {
                Some((_, first)) => {
                    let again = *first == source;
                    let service = entry.ask.service.clone();
                    drop(state);
                    if !again {
                        self.give_back(&[service], ticket, &source);
                    }
                }
                None => {
                    entry.granted = Some((upstream.clone(), source.clone()));
                    waiter.change(|slot| slot.decision = Some((decision, source)));
                }
            },
            request::Decision::Refuse(..) => waiter.change(|slot| {
                slot.decision.get_or_insert((decision, source));
            }),
        }
    }

    fn give_back(
        &self,
        services: &[name::Service],
        ticket: request::Ticket,
        source: &waiter::Source,
    ) {
        for service in services {
            self.ended(service, ticket, &NOTHING, source);
        }
    }

    fn ended(
        &self,
        service: &name::Service,
        ticket: request::Ticket,
        spent: &request::RunStats,
        source: &waiter::Source,
    ) {
        if let waiter::Source::Peer(host) = source {
            let message = message::Message::Finished(service.clone(), ticket, *spent);
            self.send(host, message);
        }
        // The own dispatcher may have adopted a request that another host granted.
        self.done(service, ticket, spent);
    }

    fn done(&self, service: &name::Service, ticket: request::Ticket, spent: &request::RunStats) {
        let decisions = self
            .lock()
            .dispatchers
            .done(service, ticket, spent, self.now());
        self.carry_out(decisions);
    }

    /// Teaches this host's own dispatcher what another's grant showed.
    fn learn(&self, ask: &message::SlotRequest, spent: &request::RunStats) {
        let Some(full) = self.expand(ask) else { return };
        self.lock().dispatchers.learn(&ask.service, &full, spent);
    }

    /// Lets time pass at every dispatcher.
    pub fn tick(&self) {
        let decisions = self.lock().dispatchers.tick(self.now());
        self.carry_out(decisions);
    }

    /// A message about grants came from another host.
    pub fn message(&self, host: &name::Host, message: message::Message) {
        let is_theirs = |t: request::Ticket| is_from(t, number(host));
        match message {
            message::Message::SlotRequest(ask) if is_theirs(ask.ticket) => self.asked(host, &ask),
            message::Message::Queued(ticket) => self.queued(ticket),
            message::Message::Decision(decision) => {
                self.deliver(decision, waiter::Source::Peer(host.clone()));
            }
            message::Message::Cancel(service, ticket) if is_theirs(ticket) => {
                self.lock().dispatchers.withdraw(&service, ticket);
            }
            message::Message::Finished(service, ticket, spent) if is_theirs(ticket) => {
                self.done(&service, ticket, &spent);
            }
            message::Message::RunningDigest(service, digest)
                if self.lock().dispatchers.digest(&service, is_theirs) != digest =>
            {
                self.send(host, message::Message::FetchRunning(service));
            }
            message::Message::FetchRunning(service) => {
                let held = self.held(host, &service);
                self.send(host, message::Message::Running(service, held));
            }
            message::Message::Running(service, mut held) => {
                held.retain(|h| is_theirs(h.request.ticket));
                let running = self.expand_all(&held);
                let now = self.now();
                let decisions = self
                    .lock()
                    .dispatchers
                    .reconcile(&service, running, is_theirs, now);
                self.carry_out(decisions);
            }
            _ => {}
        }
    }

    fn asked(&self, host: &name::Host, ask: &message::SlotRequest) {
        let running = self.upstream_of(ask);
        if let Some(upstream) = running {
            let decision = request::Decision::Grant(ask.ticket, upstream);
            self.send(host, message::Message::Decision(decision));
            return;
        }
        self.ask_own(ask);
        // A decision that is on its way already says as much.
        if self.waits_here(ask) {
            self.send(host, message::Message::Queued(ask.ticket));
        }
    }

    fn upstream_of(&self, ask: &message::SlotRequest) -> Option<name::Upstream> {
        let state = self.lock();
        state
            .dispatchers
            .dispatcher(&ask.service)?
            .upstream_of(ask.ticket)
            .cloned()
    }

    fn waits_here(&self, ask: &message::SlotRequest) -> bool {
        let state = self.lock();
        state
            .dispatchers
            .dispatcher(&ask.service)
            .is_some_and(|d| d.is_waiting(ask.ticket))
    }

    fn queued(&self, ticket: request::Ticket) {
        let waiter = self.lock().entries.get(&ticket).map(|e| e.waiter.clone());
        if let Some(waiter) = waiter {
            waiter.change(|slot| slot.heard = true);
        }
    }

    /// What this host runs of a service under grants that count at the dispatcher `host`.
    fn held(&self, host: &name::Host, service: &name::Service) -> Vec<message::RunningRequest> {
        let own = self.directory.dispatcher(service, self.now());
        let mut out = Vec::new();
        for entry in self.lock().entries.values() {
            let counts_at = entry.away.as_ref().unwrap_or(&own);
            if &entry.ask.service != service || counts_at != host {
                continue;
            }
            let Some((upstream, _)) = &entry.granted else {
                continue;
            };
            out.push(message::RunningRequest {
                request: entry.ask.clone(),
                upstream: upstream.clone(),
            });
        }
        out
    }

    /// Tells each dispatcher in brief what this host runs under its grants.
    pub fn tell_holding(&self) {
        for ((host, service), digest) in self.holding() {
            if &host != self.directory.host() {
                self.send(&host, message::Message::RunningDigest(service, digest));
            }
        }
    }

    fn holding(&self) -> collections::HashMap<(name::Host, name::Service), message::TicketDigest> {
        let now = self.now();
        let mut out: collections::HashMap<_, message::TicketDigest> = collections::HashMap::new();
        let mut state = self.lock();
        for service in state.dispatchers.services() {
            let dispatcher = self.directory.dispatcher(service, now);
            out.entry((dispatcher, service.clone())).or_default();
        }
        // A dispatcher that was asked from afar is told of the end too.
        for place in std::mem::take(&mut state.away) {
            out.entry(place).or_default();
        }
        let mut away = collections::HashSet::new();
        for (ticket, entry) in &state.entries {
            if entry.granted.is_none() {
                continue;
            }
            let service = entry.ask.service.clone();
            let own = || self.directory.dispatcher(&service, now);
            let dispatcher = entry.away.clone().unwrap_or_else(own);
            let place = (dispatcher, service);
            if entry.away.is_some() {
                away.insert(place.clone());
            }
            out.entry(place).or_default().add(*ticket);
        }
        state.away = away;
        out
    }

    /// A host is gone: its waiting and running requests leave the dispatchers.
    pub fn forget(&self, host: &name::Host) {
        let number = number(host);
        let decisions = self
            .lock()
            .dispatchers
            .forget(|t| is_from(t, number), self.now());
        self.carry_out(decisions);
    }

    /// The load of the services that this host dispatches.
    pub fn loads(&self) -> Vec<message::ServiceLoad> {
        self.lock().dispatchers.loads(self.now())
    }
}

/// Bytes that a spilled request sends over the link, its answer included: a token travels as an
/// event of its own.
fn crossing(ask: &message::SlotRequest) -> u64 {
    const BYTES_PER_PROMPT_TOKEN: u64 = 5;
    const BYTES_PER_EVENT: u64 = 200;
    const EXPECTED_EVENTS: u64 = 400;
    let events = u64::from(ask.max_tokens).min(EXPECTED_EVENTS);
    u64::from(ask.prompt_tokens) * BYTES_PER_PROMPT_TOKEN + events * BYTES_PER_EVENT
}
