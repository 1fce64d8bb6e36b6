//! Holds a lease on the store, or follows its holder.

use std::sync;

use base::{clock, name};
use policy::lease;
use ports::{orders, store};

/// A lease as one host sees it.
pub struct Leader {
    key: String,
    store: sync::Arc<dyn store::Store>,
    clock: clock::Clock,
    state: State,
    pause: clock::Millis,
    looked: Option<clock::Millis>,
}

enum State {
    Following(lease::Follower),
    Holding(lease::Holder),
}

/// The margin of a lease of length `ttl`.
fn margin(ttl: clock::Millis) -> clock::Millis {
    const LEAST: u64 = 200;
    clock::Millis((ttl.0 / 10).max(LEAST))
}

impl Leader {
    /// Follows the lease under `key`.
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
        let times = lease::Timing {
            ttl,
            margin: margin(ttl),
            order_timeout: orders::ORDER_TIMEOUT,
        };
        let state = State::Following(lease::Follower::new(owner, times));
        Self {
            pause: times.renewal_interval(),
            looked: None,
            key,
            store,
            clock,
            state,
        }
    }

    /// Renews the lease, or claims it if its holder is gone; the term in which orders may go out
    /// if this host holds it.
    pub fn step(&mut self) -> Option<orders::Term> {
        let now = self.clock.now();
        let state = match &self.state {
            // A follower's reads count against the store's rate: no more often than beats come.
            State::Following(_) if self.looked.is_some_and(|at| now.since(at) < self.pause) => {
                return None;
            }
            State::Following(follower) => self.follow(follower.clone()),
            State::Holding(holder) => self.hold(holder.clone()),
        };
        if matches!(state, State::Following(_)) {
            self.looked = Some(now);
        }
        self.state = state;
        self.term()
    }

    /// The term in which orders may go out, if this host holds the lease.
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

    /// Whether this host holds the lease.
    pub fn is_holding(&self) -> bool {
        matches!(self.state, State::Holding(_))
    }

    fn follow(&self, mut follower: lease::Follower) -> State {
        let Ok(found) = self.store.get(&self.key) else {
            return State::Following(follower);
        };
        let record = found.and_then(|e| {
            let record = serde_json::from_slice(e.bytes()).ok()?;
            Some((record, e.revision))
        });
        follower.observe(record, self.clock.now());
        let Some(write) = follower.claim(self.clock.now()) else {
            return State::Following(follower);
        };
        let sent = self.clock.now();
        match self.write(&write) {
            Ok(revision) => {
                tracing::info!(event = "lease_claimed", key = %self.key, epoch = write.record.epoch);
                State::Holding(follower.into_holder(write, revision, sent))
            }
            Err(_) => State::Following(follower),
        }
    }

    fn hold(&self, mut holder: lease::Holder) -> State {
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

    /// Gives the lease back, so that the next holder need not wait for it to lapse. No order may
    /// be under way.
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
