//! Local dispatchers of this host, one per service.
//!
//! For services that this host dispatches, the dispatcher manages all slots of the data centre. For
//! the other services it manages this host's share of the slots.

use std::collections;

use base::{clock, name, refusal};
use peer::message;
use policy::{dispatch, pool, request, share};

/// Age below which a grant may still be in transit to its host: until then the request is kept even
/// if the host does not report it as running.
const GRANT_SETTLE_TIME: clock::Millis = clock::Millis(1_000);

/// Decisions that the caller has to deliver to the requests.
pub type Decisions = Vec<request::Decision>;

/// A running request and the upstream on which it runs.
pub type PlacedRequest = (request::SlotRequest, name::Upstream);

/// Share of the slots of a service that the local dispatcher manages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotShare {
    /// All slots, because this host dispatches the service.
    All,
    /// The share of one of the live hosts of the data centre.
    Fraction {
        /// Position of this host in the sorted list of live hosts, from 0.
        index: u32,
        /// Number of live hosts in the data centre.
        hosts: u32,
    },
}

struct LocalDispatcher {
    dispatcher: dispatch::Dispatcher,
    upstreams: Vec<pool::UpstreamConfig>,
    /// Whether this host dispatches the service for its data centre.
    primary: bool,
}

/// Local dispatchers of one host by service.
#[derive(Default)]
pub struct Dispatchers(collections::HashMap<name::Service, LocalDispatcher>);

impl Dispatchers {
    /// Sets the upstreams of a service. Also returns whether this host has just become the
    /// dispatcher of the service.
    pub fn configure(
        &mut self,
        service: &name::Service,
        upstreams: &[pool::UpstreamConfig],
        share: SlotShare,
        now: clock::Millis,
    ) -> (Decisions, bool) {
        let mut out = Decisions::new();
        let local = self
            .0
            .entry(service.clone())
            .or_insert_with(|| LocalDispatcher {
                dispatcher: dispatch::Dispatcher::default(),
                upstreams: Vec::new(),
                primary: true,
            });
        let primary = share == SlotShare::All;
        let taken_over = primary && !local.primary;
        local.primary = primary;
        let upstreams = share.of_upstreams(upstreams);
        if upstreams != local.upstreams {
            local.dispatcher.configure(&upstreams, now, &mut out);
            local.upstreams = upstreams;
        }
        (out, taken_over)
    }

    /// Names of the services that have a local dispatcher.
    pub fn services(&self) -> impl Iterator<Item = &name::Service> {
        self.0.keys()
    }

    /// Local dispatcher of a service; `None` if the service is not configured.
    pub fn dispatcher(&self, service: &name::Service) -> Option<&dispatch::Dispatcher> {
        self.0.get(service).map(|d| &d.dispatcher)
    }

    fn dispatcher_mut(&mut self, service: &name::Service) -> Option<&mut dispatch::Dispatcher> {
        self.0.get_mut(service).map(|d| &mut d.dispatcher)
    }

    /// Submits a slot request, or processes the queue if the dispatcher has the request already.
    /// The request is refused if the service has no local dispatcher.
    pub fn submit(
        &mut self,
        service: &name::Service,
        request: request::SlotRequest,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        match self.dispatcher_mut(service) {
            Some(d) if d.contains(request.ticket) => d.tick(now, &mut out),
            Some(d) => d.submit(request, now, &mut out),
            None => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
                out.push(request::Decision::Refuse(request.ticket, refusal));
            }
        }
        out
    }

    /// Removes a waiting request from the queue of its service.
    pub fn cancel(&mut self, service: &name::Service, ticket: request::Ticket) {
        if let Some(d) = self.dispatcher_mut(service) {
            d.cancel(ticket);
        }
    }

    /// Releases the slot of a request that has ended.
    pub fn finish(
        &mut self,
        service: &name::Service,
        ticket: request::Ticket,
        stats: &request::RunStats,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        if let Some(d) = self.dispatcher_mut(service) {
            d.finish(ticket, stats, now, &mut out);
        }
        out
    }

    /// Updates the estimates of run times with a response whose slot another host granted.
    pub fn observe(
        &mut self,
        service: &name::Service,
        request: &request::SlotRequest,
        stats: &request::RunStats,
    ) {
        if let Some(d) = self.dispatcher_mut(service) {
            d.observe(request, stats);
        }
    }

    /// Processes time-outs and queues of all local dispatchers.
    pub fn tick(&mut self, now: clock::Millis) -> Decisions {
        let mut out = Decisions::new();
        for local in self.0.values_mut() {
            local.dispatcher.tick(now, &mut out);
        }
        out
    }

    /// Adds running requests whose slots another dispatcher granted.
    pub fn adopt(
        &mut self,
        service: &name::Service,
        running: Vec<PlacedRequest>,
        now: clock::Millis,
    ) {
        let Some(d) = self.dispatcher_mut(service) else {
            return;
        };
        for (request, upstream) in running {
            d.adopt(request, &upstream, now);
        }
    }

    /// Replaces the records of what a host runs of a service by the list that the host sent.
    /// `is_from_host` tests whether a ticket belongs to that host.
    pub fn reconcile(
        &mut self,
        service: &name::Service,
        running: Vec<PlacedRequest>,
        is_from_host: impl Fn(request::Ticket) -> bool,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        let reported: collections::HashSet<_> = running.iter().map(|(a, _)| a.ticket).collect();
        if let Some(d) = self.dispatcher_mut(service) {
            let is_gone = |t| is_from_host(t) && !reported.contains(&t);
            d.remove_running(is_gone, GRANT_SETTLE_TIME, now, &mut out);
        }
        self.adopt(service, running, now);
        out
    }

    /// Removes all requests of a lost host. `is_from_host` tests whether a ticket belongs to that
    /// host.
    pub fn remove_host(
        &mut self,
        is_from_host: impl Fn(request::Ticket) -> bool,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        for local in self.0.values_mut() {
            local.dispatcher.remove_host(&is_from_host, now, &mut out);
        }
        out
    }

    /// Digest of the requests that a host runs of a service according to the local dispatcher.
    /// `is_from_host` tests whether a ticket belongs to that host.
    pub fn digest(
        &self,
        service: &name::Service,
        is_from_host: impl Fn(request::Ticket) -> bool,
    ) -> message::TicketDigest {
        let mut out = message::TicketDigest::default();
        let Some(d) = self.dispatcher(service) else {
            return out;
        };
        for ticket in d.running_tickets() {
            if is_from_host(ticket) {
                out.add(ticket);
            }
        }
        out
    }

    /// Loads of the services that this host dispatches for its data centre.
    pub fn loads(&mut self, now: clock::Millis) -> Vec<message::ServiceLoad> {
        let mut out = Vec::new();
        for (service, local) in &mut self.0 {
            if !local.primary {
                continue;
            }
            let service = service.clone();
            let waiting = local.dispatcher.waiting() as u32;
            let (non_evictable, evictable) = local.dispatcher.demand(now);
            let pool = local.dispatcher.pool();
            let free_slots = pool.total_slots().saturating_sub(pool.used_slots());
            out.push(message::ServiceLoad {
                service,
                free_slots,
                waiting,
                non_evictable,
                evictable,
            });
        }
        out
    }
}

impl SlotShare {
    /// Upstreams with the slots of this share; an upstream without any slot is left out.
    fn of_upstreams(self, upstreams: &[pool::UpstreamConfig]) -> Vec<pool::UpstreamConfig> {
        let Self::Fraction { index, hosts } = self else {
            return upstreams.to_vec();
        };
        let mut out = Vec::new();
        for (position, upstream) in upstreams.iter().enumerate() {
            // Rotated by the position of the upstream, so that the slots left over by the division
            // are spread over the hosts.
            let slots = share::host_slots(
                upstream.slots,
                hosts,
                (index + position as u32) % hosts.max(1),
            );
            if slots > 0 {
                out.push(pool::UpstreamConfig {
                    slots,
                    ..upstream.clone()
                });
            }
        }
        out
    }
}
