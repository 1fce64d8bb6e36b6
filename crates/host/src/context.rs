//! What every part of a host shares.

use std::sync;
use std::sync::atomic;

use base::{clock, name};
use config::{document, key, view};
use peer::message;
use policy::usage;
use ports::store;

use crate::{admission, blocked_keys, directory, ledger, metrics, settings, upstream};

/// How far a host is in its life, as callers see it.
#[derive(Debug, Default)]
pub struct Phase(atomic::AtomicU8);

const SERVING: u8 = 0;
const DRAINING: u8 = 1;
const CLOSED: u8 = 2;

impl Phase {
    /// The balancer should send no more callers; those that come are served.
    pub fn start_draining(&self) {
        self.0.store(DRAINING, atomic::Ordering::SeqCst);
    }

    /// New requests are refused.
    pub fn close(&self) {
        self.0.store(CLOSED, atomic::Ordering::SeqCst);
    }

    /// Whether the balancer may send callers.
    pub fn is_serving(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == SERVING
    }

    /// Whether new requests are refused.
    pub fn is_closed(&self) -> bool {
        self.0.load(atomic::Ordering::SeqCst) == CLOSED
    }
}

/// Shared by all threads of a host.
pub struct Context {
    /// Checked settings.
    pub settings: settings::Settings,
    /// Time.
    pub clock: clock::Clock,
    /// Drawn at start; tells this start of the host from others.
    pub incarnation: u64,
    /// The configuration as requests read it.
    pub view: sync::RwLock<view::View>,
    /// Keys blocked at a host and not yet withdrawn in the configuration.
    pub blocked_keys: blocked_keys::BlockedKeys,
    /// The key-value service.
    pub store: sync::Arc<dyn store::Store>,
    /// Grants.
    pub admission: sync::Arc<admission::Admission>,
    /// Hosts known to this one.
    pub directory: sync::Arc<directory::Directory>,
    /// Usage not yet written.
    pub ledger: ledger::UsageLedger,
    /// Instruments.
    pub metrics: metrics::Metrics,
    /// Clients of upstreams.
    pub upstreams: upstream::HttpClient,
    /// How far this host is in its life.
    pub phase: Phase,
    /// Whether a configuration is in force, whole.
    pub ready: atomic::AtomicBool,
    /// When the store or a peer was last heard, in milliseconds of `clock`.
    pub last_contact: atomic::AtomicU64,
    /// Requests being served.
    pub active: atomic::AtomicUsize,
    /// Numbers requests.
    pub requests: atomic::AtomicU64,
}

impl Context {
    /// All that a store or a peer had to tell is in force.
    pub fn set_ready(&self) {
        self.ready.store(true, atomic::Ordering::SeqCst);
    }

    /// Whether a configuration is in force, whole.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::SeqCst)
    }

    /// The configuration, for reading.
    pub fn view(&self) -> sync::RwLockReadGuard<'_, view::View> {
        self.view
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// The configuration, for changing.
    pub fn view_mut(&self) -> sync::RwLockWriteGuard<'_, view::View> {
        self.view
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes that the store or a peer was heard.
    pub fn record_contact(&self) {
        self.last_contact
            .store(self.clock.now().0, atomic::Ordering::Relaxed);
    }

    /// The team of a working key, by its digest.
    pub fn team_by_key(&self, digest: &str) -> Option<sync::Arc<document::Team>> {
        if key::parse_digest(digest).is_some_and(|d| self.blocked_keys.contains(&d)) {
            return None;
        }
        self.view().team_by_key(digest)
    }

    /// Whether the store or a peer was heard recently enough to trust known keys.
    pub fn are_keys_trusted(&self) -> bool {
        let heard = clock::Millis(self.last_contact.load(atomic::Ordering::Relaxed));
        self.clock.now().since(heard) <= self.settings.durations.key_trust
    }

    /// Records usage and waits until it is safe on a peer or in the store.
    pub fn record_usage(&self, account: usage::Account, amount: usage::Amount) {
        self.ledger.record(account, amount, |record| {
            let Some(peer) = self.copy_holder() else {
                return false;
            };
            let message = message::Message::UsageCopy(self.incarnation, record.clone());
            self.admission.send(&peer, message)
        });
    }

    /// The peer that keeps copies of this host's usage: the next live one of its data centre, or
    /// else any that is heard.
    fn copy_holder(&self) -> Option<name::Host> {
        let now = self.clock.now();
        let live = self.directory.live_hosts(now);
        let own = self.directory.host();
        let at = live.iter().position(|h| h == own)?;
        if live.len() > 1 {
            return Some(live[(at + 1) % live.len()].clone());
        }
        let heard = self.directory.reachable_hosts(now);
        heard.into_iter().next().map(|(host, _, _)| host)
    }

    /// A new request's id, unique over all hosts.
    pub fn request_id(&self) -> String {
        let n = self.requests.fetch_add(1, atomic::Ordering::Relaxed);
        format!("{:016x}{n:08x}", self.incarnation)
    }
}
