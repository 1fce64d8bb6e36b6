//! What the router needs of the platform around it: a store, a list, orders and a dialect.

use std::collections;
use std::fmt;
use std::future;
use std::pin;

use base::{clock, name};
use smallvec::SmallVec;

use crate::model;

/// A future on the host's one thread.
pub type LocalFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + 'a>>;

/// A value in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: String,
    /// Its bytes.
    pub value: Vec<u8>,
    /// The store's revision of its last write.
    pub revision: u64,
    /// The store's revision of its creation.
    pub created: u64,
}

/// What a watch saw.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was written.
    Put(Item),
    /// A key was removed.
    Removed(String),
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Nothing was done: the store refused or could not be reached.
    Refused,
    /// No readable answer: a write may have been done, or may be done later.
    Unknown,
    /// A key is not at the revision expected; nothing was done.
    Conflict,
    /// The history asked for is gone.
    Compacted,
    /// No such lease; nothing was done.
    NoLease,
}

impl StoreError {
    /// The stable text for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unknown => "no_answer",
            Self::Conflict => "conflict",
            Self::Compacted => "compacted",
            Self::NoLease => "no_lease",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One write of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// Its new bytes.
    pub value: Vec<u8>,
    /// The lease that it ends with; 0 for none.
    pub lease: u64,
}

/// Writes that are done together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys and the revisions that they must be at; 0 for an absent key.
    pub expected: Vec<(String, u64)>,
    /// What is written.
    pub writes: Vec<Write>,
    /// Keys that are removed.
    pub removes: Vec<String>,
}

/// The key-value service, as it answers this host.
pub trait Store {
    /// One key, and the store's revision.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<(Option<Item>, u64), StoreError>>;
    /// All keys under a prefix, and the store's revision of the first page; `stale` takes what
    /// may be seconds old for less.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        stale: bool,
    ) -> LocalFuture<'a, Result<(Vec<Item>, u64), StoreError>>;
    /// Changes under a prefix after a revision, waiting for the first one.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: u64,
        wait: clock::Millis,
    ) -> LocalFuture<'a, Result<(Vec<WatchEvent>, u64), StoreError>>;
    /// Does a transaction; returns its revision.
    fn commit<'a>(&'a self, t: &'a Transaction) -> LocalFuture<'a, Result<u64, StoreError>>;
    /// A lease of this length.
    fn grant_lease(&self, ttl: clock::Millis) -> LocalFuture<'_, Result<u64, StoreError>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> LocalFuture<'_, Result<(), StoreError>>;
    /// Ends a lease and removes its keys.
    fn release_lease(&self, lease: u64) -> LocalFuture<'_, Result<(), StoreError>>;
}

/// Why an order or report was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// None of that kind is to be had there at the moment.
    NoneLeft,
    /// Refused for now: too many calls, or the platform is down.
    Refused,
    /// Refused for good, with this status.
    Rejected(u16),
    /// No answer: it may have been taken.
    Unknown,
    /// The term ended before it was sent.
    TermOver,
}

/// The right to act: a fencing token and the time until which it holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Grows with each holder.
    pub token: u64,
    /// On the system clock: nothing is sent after it.
    pub deadline: clock::Millis,
}

/// Upstreams wanted of a service in a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The service.
    pub service: name::Service,
    /// The data centre.
    pub dc: name::Dc,
    /// How many.
    pub count: u32,
    /// Whether those that may be reclaimed are meant.
    pub preemptible: bool,
}

/// Requests that began in a window, by team.
pub type RequestCounts = collections::BTreeMap<name::Team, u64>;

/// Calls that one host at a time may make.
pub trait Orders {
    /// Orders upstreams.
    fn scale<'a>(&'a self, term: Term, order: &'a Order)
    -> LocalFuture<'a, Result<(), OrderError>>;
    /// Reports the usage of a window.
    fn report_usage<'a>(
        &'a self,
        term: Term,
        window: u64,
        counts: &'a RequestCounts,
    ) -> LocalFuture<'a, Result<(), OrderError>>;
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// What it is.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// What a request's head says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMeta {
    /// The caller's id of it.
    pub id: String,
    /// How long the caller waits.
    pub timeout: Option<clock::Millis>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The parts of its prompt, first to last.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// Tokens of its prompt.
    pub prompt_tokens: u32,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// What an upstream's head says.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMeta {
    /// The id of the request that it answers.
    pub request_id: Option<String>,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Whether it says that the request did not run.
    pub refused: bool,
    /// Running and waiting requests and slots of the upstream.
    pub load: Option<[u32; 3]>,
    /// How long the connection may stay open without a request.
    pub idle_timeout: Option<clock::Millis>,
}

/// What a host sets on the head of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeta<'a> {
    /// Who must answer.
    pub upstream: &'a name::Upstream,
    /// Time left.
    pub remaining: clock::Millis,
    /// Whose request it is.
    pub team: Option<&'a name::Team>,
    /// Its tier.
    pub tier: u8,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
}

/// How callers, upstreams and the store's entries are read and written.
pub trait Protocol {
    /// Reads a request's head.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn read_request(&self, head: &http::HeaderMap) -> Result<RequestMeta, &'static str>;
    /// Removes what callers may not say and sets what the upstream is told.
    fn write_request(&self, head: &mut http::HeaderMap, send: UpstreamMeta<'_>);
    /// Reads an upstream's head.
    fn read_response(&self, head: &http::HeaderMap) -> ResponseMeta;
    /// The store's key of the configuration.
    fn config_key(&self) -> &str;
    /// The beginning of the store's keys of upstreams.
    fn upstream_prefix(&self) -> &str;
    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// All findings.
    fn parse_config(&self, bytes: &[u8]) -> Result<model::Config, base::diagnostic::Diagnostics>;
    /// Reads the entry of an upstream.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse_upstream(&self, key: &str, bytes: &[u8]) -> Result<model::Upstream, String>;
}
