//! What hosts tell each other.

use std::net;

use base::{clock, name};
use config::log;
use policy::{request, usage};
use serde::{Deserialize, Serialize};

/// Version of the messages; hosts of another version are not talked to.
pub const VERSION: u16 = 1;

/// A message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// A request asks its dispatcher for a slot; repeated while it waits.
    SlotRequest(SlotRequest),
    /// The dispatcher has the request in its queue.
    Queued(request::Ticket),
    /// The dispatcher's decision.
    Decision(request::Decision),
    /// A waiting request is gone.
    Cancel(name::Service, request::Ticket),
    /// A granted request ended.
    Finished(name::Service, request::Ticket, request::RunStats),
    /// What a host runs of a service, in brief.
    RunningDigest(name::Service, TicketDigest),
    /// The dispatcher's own record of it differs: tell all.
    FetchRunning(name::Service),
    /// All that a host runs of a service.
    Running(name::Service, Vec<RunningRequest>),
    /// Send the log entries from this revision on.
    FetchConfig(u64),
    /// Log entries in sequence.
    ConfigEntries(Vec<log::Entry>),
    /// One part of a whole configuration.
    ConfigSegment(ConfigSegment),
    /// A copy of a usage record of the start that drew this number, to be written if the host
    /// dies.
    UsageCopy(u64, usage::Record),
    /// The copy is kept.
    UsageCopied(u64),
    /// These records of a start stand in the store: they need no copies.
    UsageStored(u64, usage::NumberSet),
    /// Free and waiting slots of the services that a host dispatches.
    LoadSummary(LoadSummary),
    /// Keys that an operator blocked at a host, by their digests in hexadecimal.
    BlockedKeys(Vec<String>),
    /// Upstreams that are about to be stopped by order: no new work.
    DrainUpstreams(Vec<name::Upstream>),
}

/// A heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The configuration in force.
    pub revision: u64,
    /// Whether the host is about to stop.
    pub leaving: bool,
}

/// A request's claim as it travels: the dispatcher knows the class's terms itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// The service.
    pub service: name::Service,
    /// The class.
    pub class: name::Class,
    /// The request.
    pub ticket: request::Ticket,
    /// Who pays; empty on a route open to all.
    pub team: name::Team,
    /// How long it has waited.
    pub waited: clock::Millis,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The longest answer taken, in tokens.
    pub max_tokens: u32,
    /// A hash of the prompt's beginning.
    pub prefix_hash: u64,
    /// Whether it can be continued elsewhere.
    pub resumable: bool,
    /// Tokens that the caller already has.
    pub received_tokens: u32,
    /// Upstreams that failed it.
    pub avoid: Vec<name::Upstream>,
}

/// A set of tickets in brief.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TicketDigest {
    /// How many.
    pub count: u32,
    /// The exclusive or of their hashes.
    pub hash: u64,
}

impl TicketDigest {
    /// Adds a ticket.
    pub fn add(&mut self, ticket: request::Ticket) {
        self.count += 1;
        self.hash ^= base::hash::stable_hash(&ticket.0.to_le_bytes());
    }
}

/// A running request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Its claim.
    pub request: SlotRequest,
    /// Where it runs.
    pub upstream: name::Upstream,
}

/// One part of a whole configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigSegment {
    /// The revision.
    pub revision: u64,
    /// This part's number, from 0.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// Its items, as in the store's snapshot.
    pub bytes: Vec<u8>,
}

/// The services that a host dispatches in brief.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// The data centre.
    pub dc: name::Dc,
    /// Its region.
    pub region: name::Region,
    /// The dispatching host.
    pub host: name::Host,
    /// Where it listens to other hosts.
    pub address: net::SocketAddr,
    /// Its services.
    pub services: Vec<ServiceLoad>,
}

/// The load of one service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: name::Service,
    /// Free slots.
    pub free_slots: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Running and waiting requests that must not be evicted.
    pub non_evictable: u32,
    /// Running and waiting requests that may be evicted.
    pub evictable: u32,
}
