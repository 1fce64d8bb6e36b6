//! The dispatchers that run on this host: whole ones for the services that it dispatches, and ones
//! with its share of the slots for the rest.

use std::collections;

use base::{clock, name, refusal};
use peer::message;
use policy::{dispatch, pool, request, share};

/// A grant younger than this may still be on its way to its host.
const SETTLE: clock::Millis = clock::Millis(1_000);

/// Decisions to be passed on.
pub type Decisions = Vec<request::Decision>;

/// A running request and where it runs.
pub type Running = (request::SlotRequest, name::Upstream);

/// What part of a service's slots a host has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Part {
    /// All: the host dispatches the service.
    Whole,
    /// A share, as one of `hosts` live ones.
    Share {
        /// The host's place among the live ones.
        index: u32,
        /// How many there are.
        hosts: u32,
    },
}

struct Local {
    dispatcher: dispatch::Dispatcher,
    sites: Vec<pool::UpstreamConfig>,
    whole: bool,
}

/// The dispatchers of one host.
#[derive(Default)]
pub struct Dispatchers(collections::HashMap<name::Service, Local>);

impl Dispatchers {
    /// Sets the upstreams of a service; tells besides whether this host has just become its
    /// dispatcher.
    pub fn configure(
        &mut self,
        service: &name::Service,
        sites: &[pool::UpstreamConfig],
        part: Part,
        now: clock::Millis,
    ) -> (Decisions, bool) {
        let mut out = Decisions::new();
        let local = self.0.entry(service.clone()).or_insert_with(|| Local {
            dispatcher: dispatch::Dispatcher::default(),
            sites: Vec::new(),
            whole: true,
        });
        let whole = part == Part::Whole;
        let taken_over = whole && !local.whole;
        local.whole = whole;
        let sites = part.of(sites);
        if sites != local.sites {
            local.dispatcher.configure(&sites, now, &mut out);
            local.sites = sites;
        }
        (out, taken_over)
    }

    /// The services that have a dispatcher.
    pub fn services(&self) -> impl Iterator<Item = &name::Service> {
        self.0.keys()
    }

    /// The dispatcher of a service.
    pub fn dispatcher(&self, service: &name::Service) -> Option<&dispatch::Dispatcher> {
        self.0.get(service).map(|d| &d.dispatcher)
    }

    fn dispatcher_mut(&mut self, service: &name::Service) -> Option<&mut dispatch::Dispatcher> {
        self.0.get_mut(service).map(|d| &mut d.dispatcher)
    }

    /// A request asks, or asks again.
    pub fn ask(
        &mut self,
        service: &name::Service,
        ask: request::SlotRequest,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        match self.dispatcher_mut(service) {
            Some(d) if d.contains(ask.ticket) => d.tick(now, &mut out),
            Some(d) => d.submit(ask, now, &mut out),
            None => {
                let refusal = refusal::Refusal::not_run(refusal::Reason::NoUpstream);
                out.push(request::Decision::Refuse(ask.ticket, refusal));
            }
        }
        out
    }

    /// A waiting request is gone.
    pub fn withdraw(&mut self, service: &name::Service, ticket: request::Ticket) {
        if let Some(d) = self.dispatcher_mut(service) {
            d.cancel(ticket);
        }
    }

    /// A granted request ended.
    pub fn done(
        &mut self,
        service: &name::Service,
        ticket: request::Ticket,
        spent: &request::RunStats,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        if let Some(d) = self.dispatcher_mut(service) {
            d.finish(ticket, spent, now, &mut out);
        }
        out
    }

    /// Learns from an answer that another host granted.
    pub fn learn(
        &mut self,
        service: &name::Service,
        ask: &request::SlotRequest,
        spent: &request::RunStats,
    ) {
        if let Some(d) = self.dispatcher_mut(service) {
            d.observe(ask, spent);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: clock::Millis) -> Decisions {
        let mut out = Decisions::new();
        for local in self.0.values_mut() {
            local.dispatcher.tick(now, &mut out);
        }
        out
    }

    /// Counts running requests that another dispatcher granted.
    pub fn adopt(&mut self, service: &name::Service, running: Vec<Running>, now: clock::Millis) {
        let Some(d) = self.dispatcher_mut(service) else {
            return;
        };
        for (ask, upstream) in running {
            d.adopt(ask, &upstream, now);
        }
    }

    /// Takes a host's own list of what it runs for true; `is_theirs` tells by ticket.
    pub fn reconcile(
        &mut self,
        service: &name::Service,
        running: Vec<Running>,
        is_theirs: impl Fn(request::Ticket) -> bool,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        let known: collections::HashSet<_> = running.iter().map(|(a, _)| a.ticket).collect();
        if let Some(d) = self.dispatcher_mut(service) {
            let is_gone = |t| is_theirs(t) && !known.contains(&t);
            d.remove_running(is_gone, SETTLE, now, &mut out);
        }
        self.adopt(service, running, now);
        out
    }

    /// A host is gone with all its requests; `is_theirs` tells by ticket.
    pub fn forget(
        &mut self,
        is_theirs: impl Fn(request::Ticket) -> bool,
        now: clock::Millis,
    ) -> Decisions {
        let mut out = Decisions::new();
        for local in self.0.values_mut() {
            local.dispatcher.remove_host(&is_theirs, now, &mut out);
        }
        out
    }

    /// What a host runs of a service by this host's record; `is_theirs` tells by ticket.
    pub fn digest(
        &self,
        service: &name::Service,
        is_theirs: impl Fn(request::Ticket) -> bool,
    ) -> message::TicketDigest {
        let mut out = message::TicketDigest::default();
        let Some(d) = self.dispatcher(service) else {
            return out;
        };
        for ticket in d.running_tickets() {
            if is_theirs(ticket) {
                out.add(ticket);
            }
        }
        out
    }

    /// The load of the services that this host dispatches.
    pub fn loads(&mut self, now: clock::Millis) -> Vec<message::ServiceLoad> {
        let mut out = Vec::new();
        for (service, local) in &mut self.0 {
            if !local.whole {
                continue;
            }
            let service = service.clone();
            let waiting = local.dispatcher.waiting() as u32;
            let (firm, loose) = local.dispatcher.demand(now);
            let pool = local.dispatcher.pool();
            let free = pool.total_slots().saturating_sub(pool.used_slots());
            out.push(message::ServiceLoad {
                service,
                free_slots: free,
                waiting,
                non_evictable: firm,
                evictable: loose,
            });
        }
        out
    }
}

impl Part {
    /// This part of each upstream.
    fn of(self, sites: &[pool::UpstreamConfig]) -> Vec<pool::UpstreamConfig> {
        let Self::Share { index, hosts } = self else {
            return sites.to_vec();
        };
        let mut out = Vec::new();
        for (n, site) in sites.iter().enumerate() {
            // Rotated by the upstream's place, so that odd slots spread over the hosts.
            let slots = share::host_slots(site.slots, hosts, (index + n as u32) % hosts.max(1));
            if slots > 0 {
                out.push(pool::UpstreamConfig {
                    slots,
                    ..site.clone()
                });
            }
        }
        out
    }
}
