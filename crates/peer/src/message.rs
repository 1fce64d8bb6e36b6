//! Messages that hosts exchange.
//!
//! `bincode` encodes fields and variants by position, so their order is part of the protocol.

use std::net;

use base::{clock, name};
use config::log;
use policy::{request, usage};
use serde::{Deserialize, Serialize};

/// Version of the message format. Connections to hosts of another version are closed.
pub const VERSION: u16 = 1;

/// One message from a host to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic state of the sender.
    Heartbeat(Heartbeat),
    /// Asks the dispatcher of a service for a slot; sent again while the request waits.
    SlotRequest(SlotRequest),
    /// The dispatcher has queued the request with this ticket.
    Queued(request::Ticket),
    /// The dispatcher granted, refused or preempted a request.
    Decision(request::Decision),
    /// Removes a waiting request from the queue of its service.
    Cancel(name::Service, request::Ticket),
    /// A request with a slot ended, so the slot is free again.
    Finished(name::Service, request::Ticket, request::RunStats),
    /// Digest of the requests that the sender runs under grants of the receiver, for one service.
    RunningDigest(name::Service, TicketDigest),
    /// Asks for the full list of running requests, because a digest did not match the records of
    /// the dispatcher.
    FetchRunning(name::Service),
    /// All requests that the sender runs under grants of the receiver, for one service.
    Running(name::Service, Vec<RunningRequest>),
    /// Asks for the entries of the configuration log from this revision on.
    FetchConfig(u64),
    /// Consecutive entries of the configuration log.
    ConfigEntries(Vec<log::Entry>),
    /// One segment of a configuration snapshot.
    ConfigSegment(ConfigSegment),
    /// Copy of a usage record and the random incarnation number of the host process that wrote it.
    /// The receiver writes the record to the store if that process dies.
    UsageCopy(u64, usage::Record),
    /// The sender keeps a copy of the usage record with this number.
    UsageCopied(u64),
    /// Usage records of the given incarnation are in the store, so their copies can be dropped.
    UsageStored(u64, usage::NumberSet),
    /// Load of the services that a host dispatches.
    LoadSummary(LoadSummary),
    /// Digests of API keys that an operator blocked at the sender, in hexadecimal.
    BlockedKeys(Vec<String>),
    /// Upstreams that will be stopped by an order and must get no new requests.
    DrainUpstreams(Vec<name::Upstream>),
}

/// Periodic message with the state of a host.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Revision of the configuration that the host uses.
    pub revision: u64,
    /// Whether the host is shutting down.
    pub draining: bool,
}

/// Request for a slot. It names its class and team only; the dispatcher looks up their settings in
/// its own configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Service that needs the slot.
    pub service: name::Service,
    /// Request class, which determines tier and targets.
    pub class: name::Class,
    /// Identifier of the request at its dispatcher.
    pub ticket: request::Ticket,
    /// Team whose key was used; empty on a route that needs no key.
    pub team: name::Team,
    /// Time that the request has waited for a slot so far.
    pub waited: clock::Millis,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the response in tokens.
    pub max_tokens: u32,
    /// Hash of the beginning of the prompt, to prefer an upstream that has it cached.
    pub prefix_hash: u64,
    /// Whether the response can be continued at another upstream.
    pub resumable: bool,
    /// Tokens of the response that the client has already received.
    pub received_tokens: u32,
    /// Upstreams at which an earlier attempt failed.
    pub excluded: Vec<name::Upstream>,
}

/// Digest of a set of tickets that is independent of their order, to compare two sets cheaply.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TicketDigest {
    /// Number of tickets.
    pub count: u32,
    /// Exclusive or of the hashes of all tickets.
    pub hash: u64,
}

impl TicketDigest {
    /// Adds one ticket, which must not be in the set yet.
    pub fn add(&mut self, ticket: request::Ticket) {
        self.count += 1;
        self.hash ^= base::hash::stable_hash(&ticket.0.to_le_bytes());
    }
}

/// A request that holds a slot.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Slot request that was granted.
    pub request: SlotRequest,
    /// Upstream that runs the request.
    pub upstream: name::Upstream,
}

/// One segment of a configuration snapshot, for hosts that are too far behind for log entries.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigSegment {
    /// Revision of the snapshot.
    pub revision: u64,
    /// Index of the segment, from 0.
    pub part: u32,
    /// Number of segments of the snapshot.
    pub parts: u32,
    /// Items of the segment, encoded as in the store.
    pub bytes: Vec<u8>,
}

/// Load of all services that a host dispatches.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Data centre of the host.
    pub dc: name::Dc,
    /// Region of the data centre.
    pub region: name::Region,
    /// Name of the dispatching host.
    pub host: name::Host,
    /// Address on which the host accepts connections of other hosts.
    pub address: net::SocketAddr,
    /// One entry for each service that the host dispatches.
    pub services: Vec<ServiceLoad>,
}

/// Load of one service in a data centre.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service that the numbers are for.
    pub service: name::Service,
    /// Slots without a request.
    pub free_slots: u32,
    /// Requests in the queue.
    pub waiting: u32,
    /// Running, waiting and recently rejected requests that must not run on preemptible upstreams.
    pub non_evictable: u32,
    /// Running, waiting and recently rejected requests that may run on preemptible upstreams.
    pub evictable: u32,
}
