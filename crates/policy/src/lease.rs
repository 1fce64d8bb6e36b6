//! A lease on the store: at most one holder acts, without trust in clocks that agree.
//!
//! The record holds an epoch and a beat. The holder renews the beat and counts its time from
//! before it sent the renewal. A follower counts from when it first saw a beat, and claims the
//! next epoch only after the beat has stood still for the lease, a margin and the longest flight
//! of an order. So the follower's wait begins after the holder's time began, and is longer.

use base::{clock, name};
use serde::{Deserialize, Serialize};

/// What the store holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The holder's name.
    pub holder: name::Host,
    /// A number that the holder drew at its start; tells a restarted holder from the old one.
    pub incarnation: u64,
    /// Grows by one with each new holder; the fencing number of its orders.
    pub epoch: u64,
    /// Grows by one with each renewal.
    #[serde(rename = "beat")]
    pub renewals: u64,
    /// Whether the holder gave it back: the next one need not wait.
    pub released: bool,
}

/// The times of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a renewal lasts.
    pub ttl: clock::Millis,
    /// For clocks that run at unlike speeds, and for the end of what the holder began.
    pub margin: clock::Millis,
    /// The longest life of an order in flight.
    pub order_timeout: clock::Millis,
}

impl Timing {
    /// How long a beat must stand still before the next holder may claim.
    pub fn takeover_delay(&self) -> clock::Millis {
        self.ttl + self.margin + self.order_timeout
    }

    /// When to renew.
    pub fn renewal_interval(&self) -> clock::Millis {
        clock::Millis(self.ttl.0 / 3)
    }
}

/// Who claims or holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Owner {
    /// Its name.
    pub name: name::Host,
    /// The number drawn at its start.
    pub incarnation: u64,
}

/// Does not hold the lease and watches its record.
#[derive(Clone, Debug)]
pub struct Follower {
    owner: Owner,
    times: Timing,
    seen: Option<(Record, u64)>,
    since: clock::Millis,
    known: bool,
}

/// A write to the store: the record, and the revision it replaces; `None` for an absent key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// The new record.
    pub record: Record,
    /// The store's revision of the record it replaces.
    pub replaces: Option<u64>,
}

impl Follower {
    /// A follower that has seen nothing.
    pub fn new(owner: Owner, times: Timing) -> Self {
        Self {
            owner,
            times,
            seen: None,
            since: clock::Millis::ZERO,
            known: false,
        }
    }

    /// Notes a reading of the record; `now` is taken after the answer came.
    pub fn observe(&mut self, found: Option<(Record, u64)>, now: clock::Millis) {
        if self.known && self.seen == found {
            return;
        }
        self.known = true;
        self.seen = found;
        self.since = now;
    }

    /// The claim that may be written now, if any.
    pub fn claim(&self, now: clock::Millis) -> Option<Write> {
        if !self.known {
            return None;
        }
        let (epoch, over) = match &self.seen {
            None => (1, None),
            Some((r, revision)) => {
                let still = now.since(self.since) >= self.times.takeover_delay();
                if !r.released && !still {
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
        Some(Write {
            record,
            replaces: over,
        })
    }

    /// The claim was written; `sent` was taken before the write was sent.
    pub fn into_holder(self, write: Write, revision: u64, sent: clock::Millis) -> Holder {
        Holder {
            owner: self.owner,
            times: self.times,
            record: write.record,
            revision,
            from: sent,
        }
    }

    /// The record last seen.
    pub fn record(&self) -> Option<&Record> {
        self.seen.as_ref().map(|(r, _)| r)
    }
}

/// Holds the lease until its time is over.
#[derive(Clone, Debug)]
pub struct Holder {
    owner: Owner,
    times: Timing,
    record: Record,
    revision: u64,
    from: clock::Millis,
}

impl Holder {
    /// The epoch: the fencing number of orders under this lease.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// No order may go out after this.
    pub fn deadline(&self) -> clock::Millis {
        self.from + self.times.ttl
    }

    /// Whether orders may go out now.
    pub fn is_valid(&self, now: clock::Millis) -> bool {
        now < self.deadline()
    }

    /// The renewal to write, once it is time for it.
    pub fn renewal(&self, now: clock::Millis) -> Option<Write> {
        if now.since(self.from) < self.times.renewal_interval() {
            return None;
        }
        let record = Record {
            renewals: self.record.renewals + 1,
            ..self.record.clone()
        };
        Some(Write {
            record,
            replaces: Some(self.revision),
        })
    }

    /// The renewal was written; `sent` was taken before the write was sent.
    pub fn record_renewal(&mut self, write: Write, revision: u64, sent: clock::Millis) {
        self.record = write.record;
        self.revision = revision;
        self.from = sent;
    }

    /// The write that gives the lease back. No order may be sent after it is written.
    pub fn release(self) -> (Follower, Write) {
        let record = Record {
            renewals: self.record.renewals + 1,
            released: true,
            ..self.record.clone()
        };
        let write = Write {
            record,
            replaces: Some(self.revision),
        };
        (Follower::new(self.owner, self.times), write)
    }

    /// Another holder was seen, or the time is over: back to watching.
    pub fn into_follower(self) -> Follower {
        Follower::new(self.owner, self.times)
    }
}
