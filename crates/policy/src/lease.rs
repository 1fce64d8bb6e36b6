//! A lease in the store that ensures at most one host acts as holder, without synchronized clocks.
//!
//! The record in the store contains an epoch and a renewal counter. The holder increments the
//! counter and measures its lease time from before it sent that renewal. A follower measures from
//! when it first read a given record, and claims the next epoch only after the record has not
//! changed for the lease TTL plus a margin plus the order timeout. The follower's wait therefore
//! starts later than the holder's lease time and is longer. A lease that its holder released can be
//! claimed at once.

use base::{clock, name};
use serde::{Deserialize, Serialize};

/// Lease record in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Host that holds the lease, or held it last.
    pub holder: name::Host,
    /// Random number that the holder chose at its start; distinguishes it from an earlier process
    /// on the same host.
    pub incarnation: u64,
    /// Incremented by each new holder; used as the fencing token of its orders.
    pub epoch: u64,
    /// Incremented by each renewal, and by the release.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Whether the holder released the lease, so that the next holder need not wait.
    pub released: bool,
}

/// Durations that govern a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time for which the lease is valid after a renewal.
    pub ttl: clock::Millis,
    /// Safety margin for clocks that run at different rates and for actions that the holder started
    /// before its lease expired.
    pub margin: clock::Millis,
    /// Longest time from sending an order to its last effect.
    pub order_timeout: clock::Millis,
}

impl Timing {
    /// Time for which the record must stay unchanged before another host may claim the lease.
    pub fn takeover_delay(&self) -> clock::Millis {
        self.ttl + self.margin + self.order_timeout
    }

    /// Time between renewals: a third of the TTL.
    pub fn renewal_interval(&self) -> clock::Millis {
        clock::Millis(self.ttl.0 / 3)
    }
}

/// Identity of a host that claims or holds the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// Name of the claiming or holding host.
    pub name: name::Host,
    /// Random number that the host chose at its start.
    pub incarnation: u64,
}

/// State of a host that does not hold the lease and watches its record.
#[derive(Clone, Debug)]
pub struct Follower {
    owner: Owner,
    timing: Timing,
    last_seen: Option<(Record, u64)>,
    unchanged_since: clock::Millis,
    has_observed: bool,
}

/// A conditional write of the lease record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConditionalWrite {
    /// Lease record to write.
    pub record: Record,
    /// Store revision that the write must replace; `None` if the key must not exist.
    pub replaces: Option<u64>,
}

impl Follower {
    /// Creates a follower that has not read the record yet.
    pub fn new(owner: Owner, timing: Timing) -> Self {
        Self {
            owner,
            timing,
            last_seen: None,
            unchanged_since: clock::Millis::ZERO,
            has_observed: false,
        }
    }

    /// Records a read of the lease record and its revision; `now` must be taken after the response
    /// of the store arrived.
    pub fn observe(&mut self, found: Option<(Record, u64)>, now: clock::Millis) {
        if self.has_observed && self.last_seen == found {
            return;
        }
        self.has_observed = true;
        self.last_seen = found;
        self.unchanged_since = now;
    }

    /// Returns the write that claims the lease, or `None` if the lease can't be claimed yet.
    pub fn claim(&self, now: clock::Millis) -> Option<ConditionalWrite> {
        if !self.has_observed {
            return None;
        }
        let (epoch, replaces) = match &self.last_seen {
            None => (1, None),
            Some((r, revision)) => {
                let expired = now.since(self.unchanged_since) >= self.timing.takeover_delay();
                if !r.released && !expired {
                    return None;
                }
                (r.epoch + 1, Some(*revision))
            }
        };
        let record = Record {
            holder: self.owner.name.clone(),
            incarnation: self.owner.incarnation,
            epoch,
            renewals: 0,
            released: false,
        };
        Some(ConditionalWrite { record, replaces })
    }

    /// Becomes the holder after the store accepted the claim `write` at `revision`; `sent` must be
    /// taken before the write was sent.
    pub fn into_holder(
        self,
        write: ConditionalWrite,
        revision: u64,
        sent: clock::Millis,
    ) -> Holder {
        Holder {
            owner: self.owner,
            timing: self.timing,
            record: write.record,
            revision,
            renewed_at: sent,
        }
    }

    /// Last record read from the store; `None` if there was none or it has not been read.
    pub fn record(&self) -> Option<&Record> {
        self.last_seen.as_ref().map(|(r, _)| r)
    }
}

/// State of a host that holds the lease until its TTL expires.
#[derive(Clone, Debug)]
pub struct Holder {
    owner: Owner,
    timing: Timing,
    record: Record,
    revision: u64,
    renewed_at: clock::Millis,
}

impl Holder {
    /// Epoch of the lease, used as the fencing token of orders sent under it.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// Time at which the lease expires; no order may be sent from then on.
    pub fn deadline(&self) -> clock::Millis {
        self.renewed_at + self.timing.ttl
    }

    /// Whether the lease has not expired, so that orders may be sent.
    pub fn is_valid(&self, now: clock::Millis) -> bool {
        now < self.deadline()
    }

    /// Returns the write that renews the lease, or `None` if a renewal is not due yet.
    pub fn renewal(&self, now: clock::Millis) -> Option<ConditionalWrite> {
        if now.since(self.renewed_at) < self.timing.renewal_interval() {
            return None;
        }
        let record = Record {
            renewals: self.record.renewals + 1,
            ..self.record.clone()
        };
        Some(ConditionalWrite {
            record,
            replaces: Some(self.revision),
        })
    }

    /// Extends the lease after the store accepted the renewal `write` at `revision`; `sent` must be
    /// taken before the write was sent.
    pub fn record_renewal(&mut self, write: ConditionalWrite, revision: u64, sent: clock::Millis) {
        self.record = write.record;
        self.revision = revision;
        self.renewed_at = sent;
    }

    /// Stops holding the lease; returns the write that releases it. No order may be sent
    /// afterwards.
    pub fn release(self) -> (Follower, ConditionalWrite) {
        let record = Record {
            renewals: self.record.renewals + 1,
            released: true,
            ..self.record.clone()
        };
        let write = ConditionalWrite {
            record,
            replaces: Some(self.revision),
        };
        (Follower::new(self.owner, self.timing), write)
    }

    /// Returns to watching the record, after another holder was found or the lease expired.
    pub fn into_follower(self) -> Follower {
        Follower::new(self.owner, self.timing)
    }
}
