//! State that all threads of a host share.

use std::sync;
use std::sync::atomic;

use base::{clock, name};
use config::{document, key, view};
use peer::message;
use policy::usage;
use ports::store;
use router::memory;

use crate::{active_view, admission, blocked_keys, directory, ledger, metrics, settings, upstream};

/// Phase of a host for new requests: serving, draining (still serving, but not ready for the load
/// balancer) or closed.
#[derive(Debug, Default)]
pub struct Phase(atomic::AtomicU8);

const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const CLOSED: u8 = 2;

impl Phase {
    /// Starts draining: the readiness check fails, so that the load balancer sends no more clients;
    /// requests that still arrive are served.
    pub fn start_draining(&self) {
        self.0.store(DRAINING, atomic::Ordering::SeqCst);
    }

    /// Closes the host: new requests are refused.
    pub fn close(&self) {
        self.0.store(CLOSED, atomic::Ordering::SeqCst);
    }

    /// Whether the load balancer may send clients.
    pub fn is_serving(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == SERVING
    }

    /// Whether the host refuses new requests.
    pub fn is_closed(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == CLOSED
    }
}

/// State that is shared by all threads of a host.
pub struct Context {
    /// Validated settings of the host.
    pub settings: settings::Settings,
    /// Clock for all time-outs and timestamps of the host.
    pub clock: clock::Clock,
    /// Random number that distinguishes this run of the host from its other runs.
    pub incarnation: u64,
    /// Active configuration, indexed for lookups by requests.
    pub view: active_view::ActiveView,
    /// Keys that are blocked and not yet withdrawn in the configuration.
    pub blocked_keys: blocked_keys::BlockedKeys,
    /// Client of the key-value store.
    pub store: sync::Arc<dyn store::Store>,
    /// Acquires upstream slots for requests.
    pub admission: sync::Arc<admission::Admission>,
    /// Known hosts with their reachability.
    pub directory: sync::Arc<directory::Directory>,
    /// Usage records that are not in the store yet.
    pub ledger: ledger::UsageLedger,
    /// Metrics of the host.
    pub metrics: metrics::Metrics,
    /// HTTP clients of the upstreams.
    pub upstreams: upstream::HttpClient,
    /// Memory for requests and responses.
    pub memory: memory::Budget,
    /// Whether this host serves, drains or refuses new requests.
    pub phase: Phase,
    /// Whether a complete configuration is active.
    pub ready: atomic::AtomicBool,
    /// Time of the last contact with the store or a peer, in milliseconds of `clock`.
    pub last_contact: atomic::AtomicU64,
    /// Number of requests that are being served.
    pub active: atomic::AtomicUsize,
    /// Counter for request ids.
    pub requests: atomic::AtomicU64,
}

impl Context {
    /// Marks the configuration as complete: all changes known to the store or to a peer are active.
    pub fn set_ready(&self) {
        self.ready.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether a complete configuration is active.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::SeqCst)
    }

    /// Snapshot of the active configuration.
    pub fn view(&self) -> sync::Arc<view::View> {
        self.view.snapshot()
    }

    /// Records a successful contact with the store or a peer.
    pub fn record_contact(&self) {
        self.last_contact
            .store(self.clock.now().0, atomic::Ordering::Relaxed);
    }

    /// Team of the key with this digest; `None` if the key is unknown, blocked or withdrawn.
    pub fn team_by_key(&self, digest: &str) -> Option<sync::Arc<document::Team>> {
        if key::parse_digest(digest).is_some_and(|d| self.blocked_keys.contains(&d)) {
            return None;
        }
        self.view().team_by_key(digest)
    }

    /// Whether the last contact with the store or a peer is recent enough to trust the known keys.
    pub fn are_keys_trusted(&self) -> bool {
        let last_contact = clock::Millis(self.last_contact.load(atomic::Ordering::Relaxed));
        self.clock.now().since(last_contact) <= self.settings.durations.key_trust
    }

    /// Records the usage of a request and waits until the record is on a peer or in the store, up
    /// to a time limit.
    pub fn record_usage(&self, account: usage::Account, amount: usage::Amount) {
        self.ledger.record(account, amount, |record| {
            let Some(peer) = self.usage_copy_peer() else {
                return false;
            };
            let message = message::Message::UsageCopy(self.incarnation, record.clone());
            self.admission.send(&peer, message)
        });
    }

    /// Peer that keeps the copies of the usage records of this host: the next live host of its data
    /// centre, or any reachable host if there is none.
    fn usage_copy_peer(&self) -> Option<name::Host> {
        let now = self.clock.now();
        let live = self.directory.live_hosts(now);
        let own_name = self.directory.host();
        let index = live.iter().position(|h| h == own_name)?;
        if live.len() > 1 {
            return Some(live[(index + 1) % live.len()].clone());
        }
        let reachable = self.directory.reachable_hosts(now);
        reachable.into_iter().next().map(|(host, _, _)| host)
    }

    /// Creates a request id that is unique across all hosts.
    pub fn request_id(&self) -> String {
        let n = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{:016x}{n:08x}", self.incarnation)
    }
}
