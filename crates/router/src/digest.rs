//! What the leader distributes to all hosts every second: the shares of engines by class, the speeds
//! of engines, and the load by data centre.
//!
//! Hosts report their load to the leader, see [`HostLoad`]. Hosts that watch the store get the digest
//! in the answer, the others from the host that they follow.

use std::cell;
use std::rc;

use base::{clock, name};
use policy::engine_classes;
use serde::{Deserialize, Serialize};

use crate::host;

/// Age of the digest at which a host asks the leader for it even if it follows another host, which
/// may be of an earlier release.
const STALE_AGE: clock::Millis = clock::Millis(3_000);

/// Version of a digest. A later leader's digests are newer than all of an earlier one's.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Version {
    /// Fencing token of the leader that made the digest.
    pub token: u64,
    /// Number of the digest among those of this leader, from 1.
    pub sequence: u64,
}

/// Load of the requests of one class from one host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct ClassLoad {
    /// Requests sent to upstreams in the reported period.
    pub requests: u32,
    /// Prompt tokens that upstreams had to process for them.
    pub prompt_tokens: u64,
    /// Requests at upstreams at the end of the period.
    pub running: u32,
}

/// Load at the upstreams of one data centre.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct DcLoad {
    /// Requests at upstreams.
    pub running: u32,
    /// Prompt tokens that were sent and have not been processed yet.
    pub unread_tokens: u64,
}

/// Load of one service from one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service to which the requests were sent.
    pub service: name::Service,
    /// Load by class, in the order of [`crate::stream_class::StreamClass::ALL`].
    pub classes: [ClassLoad; engine_classes::CLASS_COUNT],
    /// Load by data centre of the upstreams.
    pub dcs: Vec<(name::Dc, DcLoad)>,
}

/// Load that one host reports to the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Length of the reported period.
    pub period: clock::Millis,
    /// Load by service.
    pub services: Vec<ServiceLoad>,
    /// Whether the answer is to contain the digest if it is newer than `known`.
    pub wants_digest: bool,
    /// Version of the digest that the host knows; zeros without one.
    pub known: Version,
}

/// What a digest says about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceDigest {
    /// Service that the figures are about.
    pub service: name::Service,
    /// Shares of the service's engines by class.
    pub shares: engine_classes::Shares,
    /// Load by data centre over all hosts.
    pub dcs: Vec<(name::Dc, DcLoad)>,
}

/// What the leader distributes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Version, by which hosts ignore older digests.
    pub version: Version,
    /// Services in the order of their names.
    pub services: Vec<ServiceDigest>,
}

/// Digest that a host goes by.
#[derive(Debug, Default)]
pub struct CurrentDigest {
    digest: cell::RefCell<Option<(rc::Rc<Digest>, clock::Millis)>>,
    has_warned: cell::Cell<bool>,
}

impl CurrentDigest {
    /// The latest digest; `None` before the first one.
    pub fn get(&self) -> Option<rc::Rc<Digest>> {
        self.digest.borrow().as_ref().map(|(d, _)| d.clone())
    }

    /// Version of the latest digest; zeros before the first one.
    pub fn version(&self) -> Version {
        let digest = self.digest.borrow();
        digest
            .as_ref()
            .map_or(Version::default(), |(d, _)| d.version)
    }

    /// Time since the latest digest was received; `None` before the first one.
    pub fn age(&self, now: clock::Millis) -> Option<clock::Millis> {
        self.digest.borrow().as_ref().map(|(_, at)| now.since(*at))
    }

    /// Logs the first implausible figure that the host is told.
    pub fn warn_once(&self, what: &'static str, service: &name::Service) {
        if !self.has_warned.replace(true) {
            tracing::warn!(event = "digest_implausible", what, %service);
        }
    }
}

/// Whether this host is to ask the leader for the digest.
pub fn is_wanted(host: &host::Host) -> bool {
    let age = host.digest.age(host.now());
    !host.relies_on_peer() || age.is_none_or(|age| age >= STALE_AGE)
}

/// Takes over a digest unless it is as old as the current one, and passes it on to followers. Returns
/// whether it was newer. Implausible figures of a service are left out.
pub fn apply(host: &host::Host, digest: &rc::Rc<Digest>) -> bool {
    if digest.version <= host.digest.version() {
        return false;
    }
    let mut fleet = host.fleet.borrow_mut();
    for service in &digest.services {
        if !engine_classes::is_valid(&service.shares) {
            host.digest.warn_once("shares", &service.service);
            continue;
        }
        host.metrics
            .record_shares(&service.service, &service.shares);
        fleet.set_shares(&service.service, service.shares);
        if host.settings.offload.by_load {
            fleet.record_dc_loads(&service.service, &service.dcs, host.now());
        }
    }
    drop(fleet);
    *host.digest.digest.borrow_mut() = Some((digest.clone(), host.now()));
    host.store_cache.notify_change();
    true
}
