//! Admission of requests: acquires upstream slots from the dispatcher of a service.
//!
//! A slot request goes to the host that dispatches the service. If that host does not respond
//! within `DISPATCHER_TIMEOUT`, this host grants slots from its own share of the upstreams. A grant
//! that arrives too late is returned at once.
//!
//! While a dispatcher responds, an upstream gets at most as many requests as it has slots. While it
//! is silent but its grants still run, each other host may add up to its share; the upstream queues
//! the excess until the next digest of running requests.

use std::collections;
use std::sync;

use base::{clock, name, refusal};
use peer::message;
use policy::{pool, request};

use crate::{directory, dispatchers, permit, waiter};

/// Longest wait for any response of a remote dispatcher, after which the host grants slots from its
/// own share.
const DISPATCHER_TIMEOUT: clock::Millis = clock::Millis(60);
/// Interval at which a waiting request repeats its slot request to the dispatcher.
const RESUBMIT_INTERVAL: clock::Millis = clock::Millis(250);

/// Sends messages to other hosts.
pub trait Outbox: Send + Sync {
    /// Queues a message to `host`; returns whether there was a connection that accepted it.
    fn send(&self, host: &name::Host, message: message::Message) -> bool;
}

/// Resolves the class and team names of a peer message into their configured settings.
pub trait ClassLookup: Send + Sync {
    /// Returns the settings of a class and the weight of a team in the current configuration, or
    /// `None` if the class is unknown.
    fn class_settings(
        &self,
        class: &name::Class,
        team: &name::Team,
    ) -> Option<(request::ClassSettings, u32)>;
}

/// Selects another data centre for a request that this one refused.
pub trait SpillTargets: Send + Sync {
    /// Returns the dispatcher of a data centre that can meet the latency target. `wait` is the
    /// expected wait in this data centre, `slack` the time left until the target, and `bytes` the
    /// estimated traffic over the link between the data centres.
    fn find(
        &self,
        service: &name::Service,
        wait: clock::Millis,
        slack: clock::Millis,
        bytes: u64,
    ) -> Option<name::Host>;
}

/// A request of this host that waits for a slot or runs.
struct Entry {
    waiter: sync::Arc<waiter::Waiter>,
    request: message::SlotRequest,
    granted: Option<(name::Upstream, waiter::DecisionSource)>,
    /// Dispatcher of another data centre that received the slot request; `None` if not spilled.
    spilled_to: Option<name::Host>,
    registered_at: clock::Millis,
}

#[derive(Default)]
struct State {
    dispatchers: dispatchers::Dispatchers,
    entries: collections::HashMap<request::Ticket, Entry>,
    /// Dispatchers of other data centres, with the service, that received a digest in the last
    /// round. They get one more, empty digest after the last of their requests has ended.
    spill_dispatchers: collections::HashSet<(name::Host, name::Service)>,
    next_ticket: u32,
}

/// Acquires and releases upstream slots for the requests of one host.
pub struct Admission {
    clock: clock::Clock,
    ticket_prefix: u32,
    directory: sync::Arc<directory::Directory>,
    state: sync::Mutex<State>,
    outbox: sync::OnceLock<sync::Weak<dyn Outbox>>,
    class_lookup: sync::OnceLock<sync::Weak<dyn ClassLookup>>,
    spill_targets: sync::OnceLock<sync::Weak<dyn SpillTargets>>,
}

/// Returns the hash of the host name that forms the upper half of the tickets of that host.
fn ticket_prefix(host: &name::Host) -> u32 {
    base::hash::stable_hash(host.as_str().as_bytes()) as u32
}

fn has_prefix(ticket: request::Ticket, prefix: u32) -> bool {
    (ticket.0 >> 32) as u32 == prefix
}

/// Statistics of a request that never ran on an upstream.
const NOT_RUN_STATS: request::RunStats = request::RunStats {
    outcome: request::Outcome::Stopped,
    tokens: 0,
    ttft: clock::Millis::ZERO,
    total: clock::Millis::ZERO,
};

impl Admission {
    /// Creates an admission that uses only local dispatchers until other hosts are known. Tickets
    /// are numbered from `first_ticket`, so that a restarted host does not reuse the tickets of its
    /// previous run.
    pub fn new(
        clock: clock::Clock,
        directory: sync::Arc<directory::Directory>,
        first_ticket: u32,
    ) -> Self {
        let ticket_prefix = ticket_prefix(directory.host());
        let state = State {
            next_ticket: first_ticket,
            ..State::default()
        };
        Self {
            clock,
            ticket_prefix,
            directory,
            state: sync::Mutex::new(state),
            outbox: sync::OnceLock::new(),
            class_lookup: sync::OnceLock::new(),
            spill_targets: sync::OnceLock::new(),
        }
    }

    /// Sets the links to the other hosts, to the configuration and to the load summaries of other
    /// data centres. Only the first call has an effect.
    pub fn connect(
        &self,
        outbox: sync::Weak<dyn Outbox>,
        class_lookup: sync::Weak<dyn ClassLookup>,
        spill_targets: sync::Weak<dyn SpillTargets>,
    ) {
        let _ = self.outbox.set(outbox);
        let _ = self.class_lookup.set(class_lookup);
        let _ = self.spill_targets.set(spill_targets);
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Sends a message to another host; returns whether it was queued.
    pub fn send(&self, host: &name::Host, message: message::Message) -> bool {
        let outbox = self.outbox.get().and_then(sync::Weak::upgrade);
        outbox.is_some_and(|o| o.send(host, message))
    }

    fn send_cancel(&self, host: &name::Host, request: &message::SlotRequest) {
        self.send(
            host,
            message::Message::Cancel(request.service.clone(), request.ticket),
        );
    }

    fn resolve(&self, request: &message::SlotRequest) -> Option<request::SlotRequest> {
        let lookup = self.class_lookup.get().and_then(sync::Weak::upgrade)?;
        let (class, weight) = lookup.class_settings(&request.class, &request.team)?;
        Some(request::SlotRequest {
            ticket: request.ticket,
            team: request.team.clone(),
            weight,
            class,
            waited: request.waited,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix_hash: request.prefix_hash,
            resumable: request.resumable,
            received_tokens: request.received_tokens,
            excluded: request.excluded.iter().cloned().collect(),
        })
    }

    /// Data centre in which this host runs.
    pub fn dc(&self) -> &name::Dc {
        self.directory.dc()
    }

    /// Allocates a ticket: the prefix of this host and a counter.
    pub fn new_ticket(&self) -> request::Ticket {
        let mut state = self.lock();
        state.next_ticket = state.next_ticket.wrapping_add(1);
        request::Ticket(u64::from(self.ticket_prefix) << 32 | u64::from(state.next_ticket))
    }

    /// Configures the local dispatcher of a service with the upstreams of this data centre: with
    /// all slots if this host dispatches the service, otherwise with its share.
    pub fn configure(&self, service: &name::Service, upstreams: &[pool::UpstreamConfig]) {
        let now = self.now();
        let share = if &self.directory.dispatcher(service, now) == self.directory.host() {
            dispatchers::SlotShare::All
        } else {
            let (index, hosts) = self.directory.rank(now);
            dispatchers::SlotShare::Fraction { index, hosts }
        };
        let (decisions, taken_over) = self
            .lock()
            .dispatchers
            .configure(service, upstreams, share, now);
        self.route_decisions(decisions);
        if taken_over {
            self.adopt_running(service);
        }
    }

    /// Waits for a slot in this data centre or in another one that can meet the latency target.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the dispatcher; no upstream has run the request under this ticket.
    pub fn acquire(
        self: &sync::Arc<Self>,
        mut request: message::SlotRequest,
    ) -> Result<permit::Permit, refusal::Refusal> {
        let start = self.now();
        let waiter = self.register(&request, None);
        let initial_wait = request.waited;
        loop {
            request.waited = initial_wait + self.now().since(start);
            let limit = self.request_slot(&request, &waiter);
            let decision = waiter
                .wait(limit, |s| s.decision.is_some())
                .decision
                .clone();
            match decision {
                None => {}
                Some((request::Decision::Grant(_, upstream), source)) => {
                    self.cancel_elsewhere(&request, &source);
                    return Ok(permit::Permit::new(self.clone(), request, waiter, upstream));
                }
                Some((request::Decision::Refuse(_, refusal), _)) => {
                    self.lock()
                        .dispatchers
                        .cancel(&request.service, request.ticket);
                    self.release(&request, &NOT_RUN_STATS);
                    return self.spill(request, refusal);
                }
                // Only a request with a granted slot can be preempted.
                Some((request::Decision::Preempt(_), _)) => {
                    unreachable!("preempted before a grant")
                }
            }
        }
    }

    /// Registers a request that waits for a decision.
    fn register(
        &self,
        request: &message::SlotRequest,
        spilled_to: Option<name::Host>,
    ) -> sync::Arc<waiter::Waiter> {
        let waiter = sync::Arc::new(waiter::Waiter::default());
        let request = request.clone();
        let ticket = request.ticket;
        let registered_at = self.now();
        let entry = Entry {
            waiter: waiter.clone(),
            request,
            granted: None,
            spilled_to,
            registered_at,
        };
        self.lock().entries.insert(ticket, entry);
        waiter
    }

    /// Removes a request and returns its slot to the dispatcher. This includes a slot that was
    /// granted after the request had stopped waiting.
    pub(crate) fn release(&self, request: &message::SlotRequest, stats: &request::RunStats) {
        let entry = self.lock().entries.remove(&request.ticket);
        let Some((_, source)) = entry.and_then(|e| e.granted) else {
            return;
        };
        if stats.outcome == request::Outcome::Completed && source != waiter::DecisionSource::Local {
            self.observe(request, stats);
        }
        self.finish(&request.service, request.ticket, stats, &source);
    }

    /// Number of requests of this host that were spilled to the dispatcher `host` of another data
    /// centre at or after `since`.
    pub fn spilled_since(
        &self,
        host: &name::Host,
        service: &name::Service,
        since: clock::Millis,
    ) -> u32 {
        let state = self.lock();
        let matches = |e: &&Entry| {
            e.spilled_to.as_ref() == Some(host)
                && &e.request.service == service
                && e.registered_at >= since
        };
        state.entries.values().filter(matches).count() as u32
    }

    /// Requests a slot in another data centre after this one refused the request. Returns the
    /// original `refusal` if no slot is granted in time.
    fn spill(
        self: &sync::Arc<Self>,
        mut request: message::SlotRequest,
        refusal: refusal::Refusal,
    ) -> Result<permit::Permit, refusal::Refusal> {
        let Some((host, slack)) = self.find_spill_target(&request, &refusal) else {
            return Err(refusal);
        };
        request.ticket = self.new_ticket();
        let waiter = self.register(&request, Some(host.clone()));
        let sent = self.send(&host, message::Message::SlotRequest(request.clone()));
        let limit = if sent { slack } else { clock::Millis::ZERO };
        let decision = waiter
            .wait(limit, |s| s.decision.is_some())
            .decision
            .clone();
        if let Some((request::Decision::Grant(_, upstream), _)) = decision {
            tracing::debug!(event = "spilled", host = %host, upstream = %upstream);
            return Ok(permit::Permit::new(self.clone(), request, waiter, upstream));
        }
        self.send_cancel(&host, &request);
        self.release(&request, &NOT_RUN_STATS);
        Err(refusal)
    }

    /// Returns the dispatcher of another data centre that can meet the latency target, and the time
    /// left until the target.
    fn find_spill_target(
        &self,
        request: &message::SlotRequest,
        refusal: &refusal::Refusal,
    ) -> Option<(name::Host, clock::Millis)> {
        use refusal::Reason;
        if !matches!(refusal.reason, Reason::TargetMissed | Reason::NoUpstream) {
            return None;
        }
        let slack = self
            .resolve(request)?
            .class
            .ttft_target
            .since(request.waited);
        let wait = slack + refusal.retry_after.unwrap_or(clock::Millis::secs(1));
        let spill_targets = self.spill_targets.get().and_then(sync::Weak::upgrade)?;
        let host = spill_targets.find(&request.service, wait, slack, transfer_bytes(request))?;
        Some((host, slack))
    }

    /// Sends a slot request to the dispatching host, or submits it to the local dispatcher. Returns
    /// how long to wait for the decision before the request is sent again.
    fn request_slot(
        &self,
        request: &message::SlotRequest,
        waiter: &waiter::Waiter,
    ) -> clock::Millis {
        let dispatcher = self.directory.dispatcher(&request.service, self.now());
        if &dispatcher != self.directory.host() {
            waiter.lock().queued = false;
            if self.send(&dispatcher, message::Message::SlotRequest(request.clone())) {
                let status = waiter.wait(DISPATCHER_TIMEOUT, |s| s.queued || s.decision.is_some());
                if status.queued || status.decision.is_some() {
                    return RESUBMIT_INTERVAL;
                }
            }
            tracing::debug!(event = "dispatcher_silent", host = %dispatcher);
            self.send_cancel(&dispatcher, request);
            self.adopt_running(&request.service);
        }
        self.submit_locally(request);
        RESUBMIT_INTERVAL
    }

    /// Adds to the local dispatcher the running requests of this host whose slots were granted by a
    /// dispatcher that no longer responds.
    fn adopt_running(&self, service: &name::Service) {
        let mut granted = Vec::new();
        for entry in self.lock().entries.values() {
            let is_local = entry.spilled_to.is_none() && &entry.request.service == service;
            if let (true, Some((upstream, waiter::DecisionSource::Peer(_)))) =
                (is_local, &entry.granted)
            {
                granted.push(message::RunningRequest {
                    request: entry.request.clone(),
                    upstream: upstream.clone(),
                });
            }
        }
        let running = self.resolve_all(&granted);
        self.lock().dispatchers.adopt(service, running, self.now());
    }

    fn resolve_all(&self, running: &[message::RunningRequest]) -> Vec<dispatchers::PlacedRequest> {
        let resolve =
            |h: &message::RunningRequest| Some((self.resolve(&h.request)?, h.upstream.clone()));
        running.iter().filter_map(resolve).collect()
    }

    fn submit_locally(&self, request: &message::SlotRequest) {
        let decisions = match self.resolve(request) {
            Some(resolved) => {
                self.lock()
                    .dispatchers
                    .submit(&request.service, resolved, self.now())
            }
            None => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::UnknownClass);
                vec![request::Decision::Refuse(request.ticket, refusal)]
            }
        };
        self.route_decisions(decisions);
    }

    /// Cancels a granted request in the queue of the dispatcher that did not grant it.
    fn cancel_elsewhere(&self, request: &message::SlotRequest, source: &waiter::DecisionSource) {
        if source != &waiter::DecisionSource::Local {
            return self
                .lock()
                .dispatchers
                .cancel(&request.service, request.ticket);
        }
        let dispatcher = self.directory.dispatcher(&request.service, self.now());
        if &dispatcher != self.directory.host() {
            self.send_cancel(&dispatcher, request);
        }
    }

    /// Delivers decisions to local requests, or sends them to the hosts that own the requests.
    fn route_decisions(&self, decisions: dispatchers::Decisions) {
        for decision in decisions {
            if has_prefix(decision.ticket(), self.ticket_prefix) {
                self.deliver(decision, waiter::DecisionSource::Local);
            } else if let Some(host) = self.host_by_ticket(decision.ticket()) {
                self.send(&host, message::Message::Decision(decision));
            }
        }
    }

    fn host_by_ticket(&self, ticket: request::Ticket) -> Option<name::Host> {
        let reachable = self.directory.reachable_hosts(self.now());
        let found = reachable
            .into_iter()
            .find(|(host, _, _)| has_prefix(ticket, ticket_prefix(host)));
        found.map(|(host, _, _)| host)
    }

    /// Delivers a decision to its local request; returns a grant whose request no longer waits.
    fn deliver(&self, decision: request::Decision, source: waiter::DecisionSource) {
        let ticket = decision.ticket();
        let mut state = self.lock();
        let Some(entry) = state.entries.get_mut(&ticket) else {
            let services: Vec<_> = state.dispatchers.services().cloned().collect();
            drop(state);
            if let request::Decision::Grant(..) = decision {
                self.return_grant(&services, ticket, &source);
            }
            return;
        };
        let waiter = entry.waiter.clone();
        match &decision {
            request::Decision::Preempt(_) => waiter.update(|status| status.preempted = true),
            request::Decision::Grant(_, upstream) => match &entry.granted {
                Some((_, granted_by)) => {
                    let is_repeated = *granted_by == source;
                    let service = entry.request.service.clone();
                    drop(state);
                    if !is_repeated {
                        self.return_grant(&[service], ticket, &source);
                    }
                }
                None => {
                    entry.granted = Some((upstream.clone(), source.clone()));
                    waiter.update(|status| status.decision = Some((decision, source)));
                }
            },
            request::Decision::Refuse(..) => waiter.update(|status| {
                status.decision.get_or_insert((decision, source));
            }),
        }
    }

    fn return_grant(
        &self,
        services: &[name::Service],
        ticket: request::Ticket,
        source: &waiter::DecisionSource,
    ) {
        for service in services {
            self.finish(service, ticket, &NOT_RUN_STATS, source);
        }
    }

    fn finish(
        &self,
        service: &name::Service,
        ticket: request::Ticket,
        stats: &request::RunStats,
        source: &waiter::DecisionSource,
    ) {
        if let waiter::DecisionSource::Peer(host) = source {
            let message = message::Message::Finished(service.clone(), ticket, *stats);
            self.send(host, message);
        }
        // The local dispatcher may have adopted a request that another host granted.
        self.finish_locally(service, ticket, stats);
    }

    fn finish_locally(
        &self,
        service: &name::Service,
        ticket: request::Ticket,
        stats: &request::RunStats,
    ) {
        let decisions = self
            .lock()
            .dispatchers
            .finish(service, ticket, stats, self.now());
        self.route_decisions(decisions);
    }

    /// Updates the estimates of the local dispatcher with a completed request whose slot another
    /// host granted.
    fn observe(&self, request: &message::SlotRequest, stats: &request::RunStats) {
        let Some(resolved) = self.resolve(request) else {
            return;
        };
        self.lock()
            .dispatchers
            .observe(&request.service, &resolved, stats);
    }

    /// Processes time-outs and queues of every local dispatcher.
    pub fn tick(&self) {
        let decisions = self.lock().dispatchers.tick(self.now());
        self.route_decisions(decisions);
    }

    /// Handles a message of another host about slot requests and grants.
    pub fn handle_message(&self, host: &name::Host, message: message::Message) {
        let is_from_sender = |t: request::Ticket| has_prefix(t, ticket_prefix(host));
        match message {
            message::Message::SlotRequest(request) if is_from_sender(request.ticket) => {
                self.handle_request(host, &request)
            }
            message::Message::Queued(ticket) => self.handle_queued(ticket),
            message::Message::Decision(decision) => {
                self.deliver(decision, waiter::DecisionSource::Peer(host.clone()));
            }
            message::Message::Cancel(service, ticket) if is_from_sender(ticket) => {
                self.lock().dispatchers.cancel(&service, ticket);
            }
            message::Message::Finished(service, ticket, stats) if is_from_sender(ticket) => {
                self.finish_locally(&service, ticket, &stats);
            }
            message::Message::RunningDigest(service, digest)
                if self.lock().dispatchers.digest(&service, is_from_sender) != digest =>
            {
                self.send(host, message::Message::FetchRunning(service));
            }
            message::Message::FetchRunning(service) => {
                let running = self.running_for(host, &service);
                self.send(host, message::Message::Running(service, running));
            }
            message::Message::Running(service, mut running) => {
                running.retain(|h| is_from_sender(h.request.ticket));
                let running = self.resolve_all(&running);
                let now = self.now();
                let decisions =
                    self.lock()
                        .dispatchers
                        .reconcile(&service, running, is_from_sender, now);
                self.route_decisions(decisions);
            }
            _ => {}
        }
    }

    fn handle_request(&self, host: &name::Host, request: &message::SlotRequest) {
        let running = self.upstream_of(request);
        if let Some(upstream) = running {
            let decision = request::Decision::Grant(request.ticket, upstream);
            self.send(host, message::Message::Decision(decision));
            return;
        }
        self.submit_locally(request);
        // A decision that has been sent already makes a notice of queueing unnecessary.
        if self.is_waiting_locally(request) {
            self.send(host, message::Message::Queued(request.ticket));
        }
    }

    fn upstream_of(&self, request: &message::SlotRequest) -> Option<name::Upstream> {
        let state = self.lock();
        state
            .dispatchers
            .dispatcher(&request.service)?
            .upstream_of(request.ticket)
            .cloned()
    }

    fn is_waiting_locally(&self, request: &message::SlotRequest) -> bool {
        let state = self.lock();
        state
            .dispatchers
            .dispatcher(&request.service)
            .is_some_and(|d| d.is_waiting(request.ticket))
    }

    fn handle_queued(&self, ticket: request::Ticket) {
        let waiter = self.lock().entries.get(&ticket).map(|e| e.waiter.clone());
        if let Some(waiter) = waiter {
            waiter.update(|status| status.queued = true);
        }
    }

    /// Running requests of this host for a service whose slots the dispatcher `host` manages.
    fn running_for(
        &self,
        host: &name::Host,
        service: &name::Service,
    ) -> Vec<message::RunningRequest> {
        let dc_dispatcher = self.directory.dispatcher(service, self.now());
        let mut out = Vec::new();
        for entry in self.lock().entries.values() {
            let dispatcher = entry.spilled_to.as_ref().unwrap_or(&dc_dispatcher);
            if &entry.request.service != service || dispatcher != host {
                continue;
            }
            let Some((upstream, _)) = &entry.granted else {
                continue;
            };
            out.push(message::RunningRequest {
                request: entry.request.clone(),
                upstream: upstream.clone(),
            });
        }
        out
    }

    /// Sends each remote dispatcher a digest of the requests that this host runs under its grants,
    /// so that the dispatcher can detect differences from its own records.
    pub fn send_digests(&self) {
        for ((host, service), digest) in self.running_digests() {
            if &host != self.directory.host() {
                self.send(&host, message::Message::RunningDigest(service, digest));
            }
        }
    }

    fn running_digests(
        &self,
    ) -> collections::HashMap<(name::Host, name::Service), message::TicketDigest> {
        let now = self.now();
        let mut out: collections::HashMap<_, message::TicketDigest> = collections::HashMap::new();
        let mut state = self.lock();
        for service in state.dispatchers.services() {
            let dispatcher = self.directory.dispatcher(service, now);
            out.entry((dispatcher, service.clone())).or_default();
        }
        // A dispatcher of another data centre also gets an empty digest once all requests that it
        // granted have ended.
        for destination in std::mem::take(&mut state.spill_dispatchers) {
            out.entry(destination).or_default();
        }
        let mut spill_dispatchers = collections::HashSet::new();
        for (ticket, entry) in &state.entries {
            if entry.granted.is_none() {
                continue;
            }
            let service = entry.request.service.clone();
            let dc_dispatcher = || self.directory.dispatcher(&service, now);
            let dispatcher = entry.spilled_to.clone().unwrap_or_else(dc_dispatcher);
            let destination = (dispatcher, service);
            if entry.spilled_to.is_some() {
                spill_dispatchers.insert(destination.clone());
            }
            out.entry(destination).or_default().add(*ticket);
        }
        state.spill_dispatchers = spill_dispatchers;
        out
    }

    /// Removes all waiting and running requests of a lost host from the local dispatchers.
    pub fn remove_host(&self, host: &name::Host) {
        let ticket_prefix = ticket_prefix(host);
        let decisions = self
            .lock()
            .dispatchers
            .remove_host(|t| has_prefix(t, ticket_prefix), self.now());
        self.route_decisions(decisions);
    }

    /// Loads of the services that this host dispatches.
    pub fn loads(&self) -> Vec<message::ServiceLoad> {
        self.lock().dispatchers.loads(self.now())
    }
}

/// Estimates the bytes that a spilled request and its response send over the link between data
/// centres. Each token of the response is sent as a separate event.
fn transfer_bytes(request: &message::SlotRequest) -> u64 {
    const BYTES_PER_PROMPT_TOKEN: u64 = 5;
    const BYTES_PER_EVENT: u64 = 200;
    const EXPECTED_EVENTS: u64 = 400;
    let events = u64::from(request.max_tokens).min(EXPECTED_EVENTS);
    u64::from(request.prompt_tokens) * BYTES_PER_PROMPT_TOKEN + events * BYTES_PER_EVENT
}
