//! Usage records that are not in the store yet.
//!
//! A record is copied to a peer before the client gets the end of the response. If the host dies,
//! the peer writes the records that the host had not written. Without a peer, the record is written
//! to the store at once.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use policy::usage;
use ports::store;

/// Longest time that the end of a response is held back until its usage record is on a peer or in
/// the store.
const REPLICATION_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// Time limit for the acknowledgement of a peer, after which a write to the store is requested.
const PEER_COPY_TIMEOUT: clock::Millis = clock::Millis(100);
/// Time after the loss of the connection to a host at which its usage copies are written.
const ORPHAN_DELAY: clock::Millis = clock::Millis(5_000);
/// Attempts of one flush; an attempt fails if another host has written the same journal meanwhile.
const MAX_WRITE_ATTEMPTS: u32 = 5;

/// Prefix of the store keys of all usage journals.
pub const JOURNAL_PREFIX: &str = "usage/journal/";

/// Store key of the usage journal of one run of a host.
pub fn journal_key(incarnation: &usage::Incarnation) -> String {
    format!("{JOURNAL_PREFIX}{}", incarnation.0)
}

struct State {
    ledger: usage::Ledger,
    /// Revision of the journal in the store; `None` before the first write.
    revision: Option<u64>,
    next_number: u64,
    /// Numbers of pending records of which a peer has a copy.
    replicated: collections::BTreeSet<u64>,
    flush_requested: bool,
}

struct PeerCopies {
    ledger: usage::Ledger,
    host: name::Host,
    /// Time at which the connection to the host was lost; `None` if it is open or a record has
    /// arrived since. A host that restarts under the same name does not know the records of its
    /// previous run.
    disconnected_at: Option<clock::Millis>,
}

/// Usage records of this host, and copies of the usage records of other hosts.
pub struct UsageLedger {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    copies: sync::Mutex<collections::HashMap<usage::Incarnation, PeerCopies>>,
}

impl UsageLedger {
    /// Creates an empty ledger for this run of the host.
    pub fn new(incarnation: usage::Incarnation) -> Self {
        let ledger = usage::Ledger::new(incarnation);
        let state = State {
            revision: None,
            ledger,
            next_number: 1,
            replicated: collections::BTreeSet::new(),
            flush_requested: false,
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
    ) -> sync::MutexGuard<'_, collections::HashMap<usage::Incarnation, PeerCopies>> {
        self.copies
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records the usage of a request and waits until the record is on a peer or in the store, at
    /// most for `PEER_COPY_TIMEOUT` plus `REPLICATION_TIMEOUT`. `copy` sends a record to a peer and
    /// returns whether there is a peer.
    pub fn record(
        &self,
        account: usage::Account,
        amount: usage::Amount,
        copy: impl FnOnce(&usage::Record) -> bool,
    ) {
        let mut state = self.lock();
        let number = state.next_number;
        state.next_number += 1;
        let record = usage::Record {
            number,
            account,
            amount,
        };
        state.ledger.add(record.clone());
        drop(state);
        if copy(&record) && self.wait_replicated(number, PEER_COPY_TIMEOUT) {
            return;
        }
        self.lock().flush_requested = true;
        self.changed.notify_all();
        if !self.wait_replicated(number, REPLICATION_TIMEOUT) {
            tracing::warn!(event = "usage_not_safe_yet", number);
        }
    }

    fn wait_replicated(&self, number: u64, limit: clock::Millis) -> bool {
        let deadline = time::Instant::now() + limit.duration();
        let mut state = self.lock();
        loop {
            if state.replicated.remove(&number) || !state.ledger.is_pending(number) {
                return true;
            }
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }

    /// Marks the record `number` as copied by a peer.
    pub fn acknowledge_copy(&self, number: u64) {
        let mut state = self.lock();
        if state.ledger.is_pending(number) {
            state.replicated.insert(number);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Waits at most `limit` for a record that must be written at once; returns whether there is
    /// one.
    pub fn wait_flush_request(&self, limit: clock::Millis) -> bool {
        let deadline = time::Instant::now() + limit.duration();
        let mut state = self.lock();
        while !state.flush_requested {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        true
    }

    /// Writes the pending records of this host; returns whether all of them are in the store.
    pub fn flush(&self, store: &dyn store::Store) -> bool {
        let now = clock::Clock::System.unix_time().0;
        self.lock().flush_requested = false;
        let mut attempts = MAX_WRITE_ATTEMPTS;
        while attempts > 0 {
            attempts -= 1;
            let state = self.lock();
            let (journal, expected_revision) = (state.ledger.with_pending(now), state.revision);
            drop(state);
            let Some(journal) = journal else { return true };
            let Some(stored) = write(store, &journal, expected_revision) else {
                return false;
            };
            let mut state = self.lock();
            state.ledger.set_journal(stored.journal);
            state.revision = Some(stored.revision);
            let State {
                ledger, replicated, ..
            } = &mut *state;
            replicated.retain(|n| ledger.is_pending(*n));
            drop(state);
            self.changed.notify_all();
        }
        false
    }

    /// Numbers of the records of this host that are in the store.
    pub fn written_records(&self) -> usage::NumberSet {
        self.lock().ledger.written_records().clone()
    }

    /// Stores a copy of a usage record of another host.
    pub fn store_copy(
        &self,
        host: &name::Host,
        incarnation: usage::Incarnation,
        record: usage::Record,
    ) {
        let mut copies = self.lock_copies();
        let peer_copies = copies
            .entry(incarnation.clone())
            .or_insert_with(|| PeerCopies {
                ledger: usage::Ledger::new(incarnation),
                host: host.clone(),
                disconnected_at: None,
            });
        peer_copies.disconnected_at = None;
        peer_copies.ledger.add(record);
    }

    /// Drops the copies of records of another host that are in the store.
    pub fn drop_copies(&self, incarnation: &usage::Incarnation, records: &usage::NumberSet) {
        let mut copies = self.lock_copies();
        let Some(peer_copies) = copies.get_mut(incarnation) else {
            return;
        };
        peer_copies.ledger.mark_written(records);
        if peer_copies.ledger.pending() == 0 {
            copies.remove(incarnation);
        }
    }

    /// Records the time at which the connection to a host was lost.
    pub fn record_disconnect(&self, host: &name::Host, now: clock::Millis) {
        for peer_copies in self.lock_copies().values_mut() {
            if &peer_copies.host == host {
                peer_copies.disconnected_at.get_or_insert(now);
            }
        }
    }

    /// Writes the usage copies of hosts whose connection was lost at least `ORPHAN_DELAY` ago.
    pub fn take_over(&self, store: &dyn store::Store, now: clock::Millis) {
        let mut orphans = Vec::new();
        for (incarnation, peer_copies) in self.lock_copies().iter() {
            if peer_copies
                .disconnected_at
                .is_some_and(|at| now.since(at) >= ORPHAN_DELAY)
            {
                orphans.push((incarnation.clone(), peer_copies.ledger.clone()));
            }
        }
        for (incarnation, ledger) in orphans {
            if let Some(records) = write_orphan(store, ledger) {
                tracing::info!(event = "usage_taken_over", incarnation = %incarnation.0);
                self.drop_copies(&incarnation, &records);
            }
        }
    }

    /// Number of usage records of this host that are not in the store yet.
    pub fn pending(&self) -> usize {
        self.lock().ledger.pending()
    }
}

/// Journal in the store with its revision.
struct StoredJournal {
    journal: usage::Journal,
    revision: u64,
}

fn parse_journal(entry: &store::Entry) -> Option<StoredJournal> {
    let journal = serde_json::from_slice(entry.bytes()).ok()?;
    Some(StoredJournal {
        journal,
        revision: entry.revision,
    })
}

/// Adds the usage copies of a lost host to its journal in the store. Returns the numbers of all
/// records in that journal, or `None` if the write failed.
fn write_orphan(store: &dyn store::Store, mut ledger: usage::Ledger) -> Option<usage::NumberSet> {
    let key = journal_key(ledger.incarnation());
    let now = clock::Clock::System.unix_time().0;
    let mut expected_revision = None;
    if let Some(found) = store.get(&key).ok()? {
        expected_revision = Some(found.revision);
        // Another program's value is replaced.
        if let Some(stored) = parse_journal(&found) {
            ledger.set_journal(stored.journal);
        }
    }
    for _ in 0..MAX_WRITE_ATTEMPTS {
        let Some(journal) = ledger.with_pending(now) else {
            return Some(ledger.written_records().clone());
        };
        let written = write(store, &journal, expected_revision)?;
        ledger.set_journal(written.journal);
        expected_revision = Some(written.revision);
    }
    None
}

/// Writes a journal if the store still has it at `expected_revision`. Returns the journal that is
/// in the store afterwards, either this one or that of another writer; `None` if the write failed.
fn write(
    store: &dyn store::Store,
    journal: &usage::Journal,
    expected_revision: Option<u64>,
) -> Option<StoredJournal> {
    let key = journal_key(&journal.incarnation);
    let bytes = serde_json::to_vec(journal).ok()?;
    let mut written = match expected_revision {
        Some(revision) => store::replace(store, &key, &bytes, revision),
        None => match store::create(store, &key, &bytes) {
            Ok(store::CreateOutcome::Own(revision)) => Ok(revision),
            Ok(store::CreateOutcome::Other(found)) => Err(store::Error::Conflict(Some(found))),
            Err(e) => Err(e),
        },
    };
    if let Err(store::Error::Conflict(Some(found))) = &written
        && parse_journal(found).is_none()
    {
        tracing::warn!(event = "journal_replaced", key, revision = found.revision);
        written = store::replace(store, &key, &bytes, found.revision);
    }
    match written {
        Ok(revision) => Some(StoredJournal {
            journal: journal.clone(),
            revision,
        }),
        Err(store::Error::Conflict(Some(found))) => parse_journal(&found),
        Err(e) => {
            tracing::warn!(event = "usage_not_written", error = %e, entry = journal.last_entry);
            None
        }
    }
}
