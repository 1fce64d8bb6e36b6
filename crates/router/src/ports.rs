//! Interfaces that the router requires of the surrounding platform: store, orders and protocol.

use std::collections;
use std::fmt;
use std::future;
use std::pin;

use base::{clock, name};
use smallvec::SmallVec;
use tokio::sync::watch;

use crate::{model, revision};

/// A boxed future that is not `Send`, because a host runs on a single thread.
pub type LocalFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + 'a>>;

/// A key-value pair in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// Key of the item.
    pub key: String,
    /// Value of the item, not interpreted by the store.
    pub value: Vec<u8>,
    /// Store revision at which the value was last written.
    pub revision: revision::Revision,
    /// Store revision at which the key was created.
    pub created: revision::Revision,
    /// Id of the lease with which the key expires, 0 for none; `None` if the store does not say.
    pub lease: Option<u64>,
    /// Why the item can't be read; the value is empty then. `None` for an item that can be read.
    pub fault: Option<&'static str>,
}

impl Item {
    /// Parses the value as JSON.
    ///
    /// # Errors
    ///
    /// Why the item can't be read or is not of this form, in words for a log line.
    pub fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, String> {
        match self.fault {
            Some(fault) => Err(fault.to_owned()),
            None => serde_json::from_slice(&self.value).map_err(|e| e.to_string()),
        }
    }

    /// Whether the last part of the key, after a slash, is `name`.
    pub fn is_named(&self, name: &str) -> bool {
        let parent = self.key.strip_suffix(name);
        parent.is_some_and(|parent| parent.ends_with('/'))
    }
}

/// A change that a watch of the store reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchEvent {
    /// A key was created or its value was written.
    Put(Item),
    /// The key was removed at this store revision, by a transaction or because its lease ended.
    Removed(String, revision::Revision),
}

/// Lease in the store. An id may be given out again in a later era.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Id of the lease, unique within the era.
    pub id: u64,
    /// Era of the store in which the lease was granted.
    pub era: u64,
}

/// Error of a store operation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused the operation or could not be reached; nothing was changed.
    Refused,
    /// There was no valid response: the write may have been applied, or may be applied later. Also the
    /// result of a call during which the store was restored.
    Unknown,
    /// A key is not at its expected revision; nothing was changed.
    Conflict,
    /// The requested part of the store's history has been compacted, or is of an earlier era.
    Compacted,
    /// The lease does not exist, or is of an earlier era; nothing was changed.
    NoLease,
}

impl StoreError {
    /// Stable text of the error in log lines.
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

/// A write within a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key to write.
    pub key: String,
    /// New value of the key.
    pub value: Vec<u8>,
    /// Lease with which the key expires.
    pub lease: Option<Lease>,
}

/// Writes and removals that are applied atomically.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Keys with the revisions that they must be at; [`revision::Revision::NONE`] for a key that must not
    /// exist.
    pub expected: Vec<(String, revision::Revision)>,
    /// Keys to create or overwrite.
    pub writes: Vec<Write>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// Result of a read of the store: what was read, and the store's revision.
pub type Read<T> = Result<(T, revision::Revision), StoreError>;

/// Access to the key-value store shared by all hosts.
///
/// The store may come back from an older copy, without writes and leases that it has acknowledged. That
/// begins a new era, which shows in its revisions and leases.
pub trait Store {
    /// Era of the store by its latest response.
    fn era(&self) -> watch::Receiver<u64>;
    /// Returns the item at `key`, or `None` if it does not exist, and the store's revision.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Read<Option<Item>>>;
    /// Returns all items whose keys start with `prefix`, in the order of the keys' bytes, and the store's
    /// revision at the first page. An item that another program wrote may have a [`Item::fault`], or is
    /// left out if its key can't be read. With `stale`, the call is cheaper but the result may be seconds old.
    fn list<'a>(&'a self, prefix: &'a str, stale: bool) -> LocalFuture<'a, Read<Vec<Item>>>;
    /// Returns changes of keys that start with `prefix` after the revision `after`, and the
    /// revision up to which they are complete. Waits up to `wait` for the first change.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: revision::Revision,
        wait: clock::Millis,
    ) -> LocalFuture<'a, Read<Vec<WatchEvent>>>;
    /// Applies a transaction and returns its revision.
    fn commit<'a>(
        &'a self,
        transaction: &'a Transaction,
    ) -> LocalFuture<'a, Result<revision::Revision, StoreError>>;
    /// Creates a lease that expires after `ttl` unless it is renewed.
    fn grant_lease(&self, ttl: clock::Millis) -> LocalFuture<'_, Result<Lease, StoreError>>;
    /// Extends a lease by its time to live.
    fn renew_lease(&self, lease: Lease) -> LocalFuture<'_, Result<(), StoreError>>;
    /// Ends a lease and removes the keys attached to it.
    fn release_lease(&self, lease: Lease) -> LocalFuture<'_, Result<(), StoreError>>;
}

/// Error of an order or usage report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderError {
    /// The platform has no more upstreams of this kind in this data centre at the moment.
    NoneLeft,
    /// Refused temporarily: too many calls, or the platform is unavailable. Nothing was changed.
    Refused,
    /// Refused permanently, with this HTTP status.
    Rejected(u16),
    /// There was no response: the order or report may have been accepted.
    Unknown,
    /// The term ended before the call was sent.
    TermOver,
}

/// Term of the leader: permission to act for all hosts, which one host holds at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Fencing token, which increases with each new leader.
    pub token: u64,
    /// Time on the system clock after which no call may be sent.
    pub deadline: clock::Millis,
}

/// Requested number of upstreams of a service in a data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// Service to scale.
    pub service: name::Service,
    /// Data centre to scale the service in.
    pub dc: name::Dc,
    /// Number of upstreams of this kind that should run.
    pub count: u32,
    /// Whether `count` refers to preemptible upstreams or to on-demand ones.
    pub preemptible: bool,
}

/// Number of requests that started in a usage window, by team.
pub type RequestCounts = collections::BTreeMap<name::Team, u64>;

/// Calls to the platform that only the leader may make, within its [`Term`].
pub trait Orders {
    /// Requests a number of upstreams.
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

/// A segment of a prompt. All but the last may be shared with other requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Identifier of the segment; requests with equal ids have the same segment.
    pub id: u64,
    /// Length of the segment in tokens.
    pub tokens: u32,
}

/// Identifiers of the parts of a prompt, as written to log lines: hexadecimal, separated by commas.
#[derive(Clone, Copy, Debug)]
pub struct PartIds<'a>(pub &'a [PromptPart]);

impl fmt::Display for PartIds<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, part) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str(",")?;
            }
            write!(f, "{:x}", part.id)?;
        }
        Ok(())
    }
}

/// Information in the headers of a client's request.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMeta {
    /// Identifier that the client assigned to the request.
    pub id: String,
    /// How long the client waits for the response; `None` if the header is absent.
    pub timeout: Option<clock::Millis>,
    /// API key of the client; `None` if the header is absent.
    pub api_key: Option<String>,
    /// Segments of the prompt in order; empty if the header is absent.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// Load that an upstream states in a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// How long work takes on the upstream's machine now, in percent of the usual time; `None` if the
    /// upstream does not state it.
    pub slowdown_percent: Option<u32>,
}

/// Information in the headers of an upstream's response.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMeta {
    /// Identifier of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the response has the upstream's signature header.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub refused: bool,
    /// Load of the upstream; `None` if the response does not state it.
    pub load: Option<LoadReport>,
    /// How long the upstream stays cold; `None` if the response does not state it.
    pub cold_left: Option<clock::Millis>,
    /// How long the upstream keeps the connection open without a request.
    pub idle_timeout: Option<clock::Millis>,
    /// Whether the upstream states that it leaves.
    pub leaving: bool,
    /// How long the upstream wants no further requests; `None` if it did not say so, or nothing that
    /// can be read.
    pub retry_after: Option<clock::Millis>,
}

/// Information that a host adds to the headers of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeta<'a> {
    /// Upstream that must process the request.
    pub upstream: &'a name::Upstream,
    /// Time until the client stops waiting.
    pub remaining: clock::Millis,
    /// Team of the client; `None` if the request has no valid API key.
    pub team: Option<&'a name::Team>,
    /// Priority tier of the request; 0 is the most urgent.
    pub tier: u8,
    /// Id of the last event that the client received, if a stream is resumed.
    pub last_event_id: Option<u64>,
}

/// Headers of requests and responses, and format of the entries in the store.
pub trait Protocol {
    /// Reads the headers of a client's request.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid or missing header.
    fn read_request(&self, headers: &http::HeaderMap) -> Result<RequestMeta, &'static str>;
    /// Removes headers that clients may not set and adds those of `meta`.
    fn write_request(&self, headers: &mut http::HeaderMap, meta: UpstreamMeta<'_>);
    /// Reads the headers of an upstream's response.
    fn read_response(&self, headers: &http::HeaderMap) -> ResponseMeta;
    /// Store key of the configuration.
    fn config_key(&self) -> &str;
    /// Prefix of the store keys of upstream entries.
    fn upstream_prefix(&self) -> &str;
    /// Prefix of the store keys that name the data centres being drained.
    fn drain_prefix(&self) -> &str;
    /// Prefix of the store keys that operators write: that of the configuration, and of
    /// [`Self::drain_prefix`].
    fn operator_prefix(&self) -> &str;
    /// Parses a configuration.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with the configuration.
    fn parse_config(&self, bytes: &[u8]) -> Result<model::Config, base::diagnostic::Diagnostics>;
    /// Parses the store entry of an upstream.
    ///
    /// # Errors
    ///
    /// Returns a description of the invalid field or key.
    fn parse_upstream(&self, key: &str, bytes: &[u8]) -> Result<model::Upstream, String>;
}
