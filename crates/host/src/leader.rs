//! Leader election by a lease in the store.

use std::sync;

use base::{clock, faulty_keys, name};
use policy::lease;
use ports::{orders, store};

/// State of one host in the election for a lease: holder or follower.
pub struct Leader {
    key: String,
    store: sync::Arc<dyn store::Store>,
    clock: clock::Clock,
    state: State,
    read_interval: clock::Millis,
    last_read: Option<clock::Millis>,
}

enum State {
    Following(lease::Follower),
    Holding(lease::Holder),
}

/// Leases that were logged as unreadable.
static FAULTY_KEYS: faulty_keys::FaultyKeys = faulty_keys::FaultyKeys::new();

/// Safety margin for a lease of length `ttl`: a tenth of it, at least `MIN_MARGIN_MS`.
fn margin(ttl: clock::Millis) -> clock::Millis {
    const MIN_MARGIN_MS: u64 = 200;
    clock::Millis((ttl.0 / 10).max(MIN_MARGIN_MS))
}

impl Leader {
    /// Creates a follower of the lease under the store key `key`.
    pub fn new(
        key: String,
        store: sync::Arc<dyn store::Store>,
        clock: clock::Clock,
        host: &name::Host,
        incarnation: u64,
        ttl: clock::Millis,
    ) -> Self {
        let owner = lease::Owner {
            name: host.clone(),
            incarnation,
        };
        let timing = lease::Timing {
            ttl,
            margin: margin(ttl),
            order_timeout: orders::ORDER_TIMEOUT,
        };
        let state = State::Following(lease::Follower::new(owner, timing));
        Self {
            read_interval: timing.renewal_interval(),
            last_read: None,
            key,
            store,
            clock,
            state,
        }
    }

    /// Renews the lease, or claims it if its holder has not renewed it. Returns the term in which
    /// orders may be sent, if this host holds the lease.
    pub fn step(&mut self) -> Option<orders::Term> {
        let now = self.clock.now();
        let state = match &self.state {
            // Reads of a follower count against the rate limit of the store, so they are no more
            // frequent than the renewals.
            State::Following(_)
                if self
                    .last_read
                    .is_some_and(|at| now.since(at) < self.read_interval) =>
            {
                return None;
            }
            State::Following(follower) => self.step_follower(follower.clone()),
            State::Holding(holder) => self.step_holder(holder.clone()),
        };
        if matches!(state, State::Following(_)) {
            self.last_read = Some(now);
        }
        self.state = state;
        self.term()
    }

    /// Term in which orders may be sent; `None` if this host holds no valid lease.
    pub fn term(&self) -> Option<orders::Term> {
        let State::Holding(holder) = &self.state else {
            return None;
        };
        let valid = holder.is_valid(self.clock.now());
        valid.then(|| orders::Term {
            epoch: holder.epoch(),
            deadline: holder.deadline(),
        })
    }

    /// Whether this host is the holder by its last step. The lease may have expired since; see
    /// [`Leader::term`].
    pub fn is_holding(&self) -> bool {
        matches!(self.state, State::Holding(_))
    }

    /// Reads the lease record. One that another program has written counts as that of a holder who does not
    /// renew it. Each epoch took a write, so the revision is at least as high as all epochs so far.
    fn read_record(&self, entry: &store::Entry) -> lease::Record {
        serde_json::from_slice(entry.bytes()).unwrap_or_else(|e| {
            let fault = e.to_string();
            FAULTY_KEYS.log("lease_unreadable", &entry.key, entry.revision, &fault);
            lease::Record {
                holder: name::Host::from(""),
                incarnation: 0,
                epoch: entry.revision,
                renewals: 0,
                released: false,
            }
        })
    }

    fn step_follower(&self, mut follower: lease::Follower) -> State {
        let Ok(found) = self.store.get(&self.key) else {
            return State::Following(follower);
        };
        let record = found.map(|e| (self.read_record(&e), e.revision));
        follower.observe(record, self.clock.now());
        let Some(write) = follower.claim(self.clock.now()) else {
            return State::Following(follower);
        };
        let sent_at = self.clock.now();
        match self.write(&write) {
            Ok(revision) => {
                tracing::info!(event = "lease_claimed", key = %self.key, epoch = write.record.epoch);
                State::Holding(follower.into_holder(write, revision, sent_at))
            }
            Err(_) => State::Following(follower),
        }
    }

    fn step_holder(&self, mut holder: lease::Holder) -> State {
        let now = self.clock.now();
        if !holder.is_valid(now) {
            tracing::warn!(event = "lease_lapsed", key = %self.key, epoch = holder.epoch());
            return State::Following(holder.into_follower());
        }
        let Some(write) = holder.renewal(now) else {
            return State::Holding(holder);
        };
        match self.write(&write) {
            Ok(revision) => {
                holder.record_renewal(write, revision, now);
                State::Holding(holder)
            }
            Err(store::Error::Conflict(_)) => {
                tracing::warn!(event = "lease_lost", key = %self.key, epoch = holder.epoch());
                State::Following(holder.into_follower())
            }
            Err(_) => State::Holding(holder),
        }
    }

    fn write(&self, write: &lease::ConditionalWrite) -> Result<u64, store::Error> {
        let bytes = serde_json::to_vec(&write.record).unwrap_or_default();
        match write.replaces {
            Some(revision) => store::replace(&*self.store, &self.key, &bytes, revision),
            None => match store::create(&*self.store, &self.key, &bytes)? {
                store::CreateOutcome::Own(revision) => Ok(revision),
                store::CreateOutcome::Other(found) => Err(store::Error::Conflict(Some(found))),
            },
        }
    }

    /// Releases the lease, so that the next holder need not wait until it expires. Must not be
    /// called while an order is in flight.
    pub fn release(&mut self) {
        let State::Holding(holder) = &self.state else {
            return;
        };
        let (follower, write) = holder.clone().release();
        self.state = State::Following(follower);
        if self.write(&write).is_ok() {
            tracing::info!(event = "lease_released", key = %self.key, epoch = write.record.epoch);
        }
    }
}
