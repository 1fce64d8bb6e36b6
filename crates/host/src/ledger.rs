//! Usage on its way from an ended answer to the store.
//!
//! A record is copied to a peer before its caller sees the end of the answer. If the host dies,
//! the peer writes what the host had not. With no peer, the record is written at once.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use platform::store;
use policy::usage;

/// How long the end of an answer waits for its usage to be safe elsewhere.
const SAFE: clock::Millis = clock::Millis(1_000);
/// How long it waits for a peer's copy before it asks for a write.
const COPY: clock::Millis = clock::Millis(100);
/// A host silent for this long has its copies written by the peer that holds them.
const TAKE_OVER: clock::Millis = clock::Millis(5_000);
/// Batches read at a time.
const PAGE: usize = 64;

/// Prefix of all batches in the store.
pub const BATCHES: &str = "usage/batch/";

/// Key of a batch.
pub fn batch_key(incarnation: &usage::Incarnation, number: u64) -> String {
    format!("{BATCHES}{}/{number:08}", incarnation.0)
}

struct State {
    own: usage::Ledger,
    next: u64,
    safe: collections::BTreeSet<u64>,
    wanted: bool,
}

struct Copies {
    ledger: usage::Ledger,
    host: name::Host,
    added: clock::Millis,
}

/// The usage of this host and the copies it keeps for others.
pub struct Shared {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    copies: sync::Mutex<collections::HashMap<usage::Incarnation, Copies>>,
}

/// What is to be sent after a flush.
#[derive(Debug, Default)]
pub struct Flushed {
    /// Batches that stand in the store now.
    pub written: Vec<usage::Batch>,
    /// Whether records remain that could not be written.
    pub failed: bool,
}

impl Shared {
    /// An empty ledger of this start of the host.
    pub fn new(incarnation: usage::Incarnation) -> Self {
        let own = usage::Ledger::new(incarnation);
        let state = State {
            own,
            next: 1,
            safe: collections::BTreeSet::new(),
            wanted: false,
        };
        Self {
            state: sync::Mutex::new(state),
            changed: sync::Condvar::new(),
            copies: sync::Mutex::default(),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_copies(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<usage::Incarnation, Copies>> {
        self.copies
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records an amount and waits until it is safe elsewhere, or that takes too long. `copy`
    /// sends a record to a peer and tells whether there was one to send it to.
    pub fn record(
        &self,
        account: usage::Account,
        amount: usage::Amount,
        copy: impl FnOnce(&usage::Incarnation, &usage::Record) -> bool,
    ) {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        let record = usage::Record {
            number,
            account,
            amount,
        };
        state.own.add(record.clone());
        let incarnation = state.own.incarnation().clone();
        drop(state);
        if copy(&incarnation, &record) && self.wait_safe(number, COPY) {
            return;
        }
        self.lock().wanted = true;
        self.changed.notify_all();
        if !self.wait_safe(number, SAFE) {
            tracing::warn!(event = "usage_not_safe_yet", number);
        }
    }

    fn wait_safe(&self, number: u64, limit: clock::Millis) -> bool {
        let end = time::Instant::now() + limit.duration();
        let mut state = self.lock();
        loop {
            if state.safe.remove(&number) || !state.own.is_open(number) {
                return true;
            }
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }

    /// A peer keeps a copy of a record.
    pub fn copied(&self, number: u64) {
        let mut state = self.lock();
        if state.own.is_open(number) {
            state.safe.insert(number);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Waits up to `limit` for a record that must be written at once.
    pub fn wait_wanted(&self, limit: clock::Millis) {
        let end = time::Instant::now() + limit.duration();
        let mut state = self.lock();
        while !state.wanted {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }

    /// Writes this host's open records.
    pub fn flush(&self, store: &dyn store::Store) -> Flushed {
        let mut out = Flushed::default();
        self.lock().wanted = false;
        loop {
            let Some(batch) = self.lock().own.batch() else {
                return out;
            };
            let Some(standing) = write(store, &batch) else {
                out.failed = true;
                return out;
            };
            let mut state = self.lock();
            state.own.written(&standing);
            let own = &state.own;
            let kept: Vec<u64> = state
                .safe
                .iter()
                .copied()
                .filter(|n| own.is_open(*n))
                .collect();
            state.safe = kept.into_iter().collect();
            drop(state);
            self.changed.notify_all();
            out.written.push(standing);
        }
    }

    /// Keeps a copy of a record of another host.
    pub fn keep(
        &self,
        host: &name::Host,
        incarnation: usage::Incarnation,
        record: usage::Record,
        now: clock::Millis,
    ) {
        let mut copies = self.lock_copies();
        let kept = copies.entry(incarnation.clone()).or_insert_with(|| Copies {
            ledger: usage::Ledger::new(incarnation),
            host: host.clone(),
            added: now,
        });
        kept.added = now;
        kept.ledger.add(record);
    }

    /// A batch of another host stands in the store.
    pub fn drop_copies(&self, batch: &usage::Batch) {
        let mut copies = self.lock_copies();
        let Some(kept) = copies.get_mut(&batch.incarnation) else {
            return;
        };
        kept.ledger.written(batch);
        if kept.ledger.open() == 0 {
            copies.remove(&batch.incarnation);
        }
    }

    /// Writes the copies of hosts that are gone; `is_gone` tells by host.
    pub fn take_over(
        &self,
        store: &dyn store::Store,
        is_gone: impl Fn(&name::Host) -> bool,
        now: clock::Millis,
    ) {
        let mut orphans = Vec::new();
        for (incarnation, kept) in self.lock_copies().iter() {
            if now.since(kept.added) >= TAKE_OVER && is_gone(&kept.host) {
                orphans.push((incarnation.clone(), kept.ledger.clone()));
            }
        }
        for (incarnation, mut ledger) in orphans {
            if !catch_up(store, &mut ledger) {
                continue;
            }
            while let Some(batch) = ledger.batch() {
                let Some(standing) = write(store, &batch) else {
                    break;
                };
                tracing::info!(event = "usage_taken_over", incarnation = %incarnation.0, batch = standing.number);
                ledger.written(&standing);
                self.drop_copies(&standing);
            }
            if ledger.open() == 0 {
                self.lock_copies().remove(&incarnation);
            }
        }
    }

    /// How many records are not in the store yet.
    pub fn open(&self) -> usize {
        self.lock().own.open()
    }
}

/// Reads which batches of an incarnation stand in the store.
fn catch_up(store: &dyn store::Store, ledger: &mut usage::Ledger) -> bool {
    let prefix = format!("{BATCHES}{}/", ledger.incarnation().0);
    let mut after = batch_key(ledger.incarnation(), ledger.batches());
    loop {
        let Ok(entries) = store.list(&prefix, &after, PAGE) else {
            return false;
        };
        let Some(last) = entries.last() else {
            return true;
        };
        after = last.key.clone();
        for entry in &entries {
            if let Ok(batch) = serde_json::from_slice(entry.bytes()) {
                ledger.written(&batch);
            }
        }
    }
}

/// Writes a batch under its number; returns the batch that stands there.
fn write(store: &dyn store::Store, batch: &usage::Batch) -> Option<usage::Batch> {
    let key = batch_key(&batch.incarnation, batch.number);
    let bytes = serde_json::to_vec(batch).ok()?;
    match store::create(store, &key, &bytes) {
        Ok(store::Created::Mine(_)) => Some(batch.clone()),
        Ok(store::Created::Other(entry)) => serde_json::from_slice(entry.bytes()).ok(),
        Err(e) => {
            tracing::warn!(event = "usage_not_written", error = %e, batch = batch.number);
            None
        }
    }
}
