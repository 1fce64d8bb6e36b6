//! Usage on its way from an ended answer to the store.
//!
//! A record is copied to a peer before its caller sees the end of the answer. If the host dies,
//! the peer writes what the host had not. With no peer, the record is written at once.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use policy::usage;
use ports::store;

/// How long the end of an answer waits for its usage to be safe elsewhere.
const SAFE: clock::Millis = clock::Millis(1_000);
/// How long it waits for a peer's copy before it asks for a write.
const COPY: clock::Millis = clock::Millis(100);
/// Copies of a host whose connection was lost are written after this.
const TAKE_OVER: clock::Millis = clock::Millis(5_000);
/// Tries of one flush: another writer of the same journal may come first.
const WRITES: u32 = 5;

/// Prefix of all journals in the store.
pub const JOURNALS: &str = "usage/journal/";

/// Key of a journal.
pub fn journal_key(incarnation: &usage::Incarnation) -> String {
    format!("{JOURNALS}{}", incarnation.0)
}

struct State {
    own: usage::Ledger,
    revision: Option<u64>,
    next: u64,
    safe: collections::BTreeSet<u64>,
    wanted: bool,
}

struct Copies {
    ledger: usage::Ledger,
    host: name::Host,
    /// When the connection to the host was lost, if no record has come since. The host may be
    /// back under its name: it does not know the records of its earlier start.
    lost: Option<clock::Millis>,
}

/// The usage of this host and the copies it keeps for others.
pub struct UsageLedger {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
    copies: sync::Mutex<collections::HashMap<usage::Incarnation, Copies>>,
}

impl UsageLedger {
    /// An empty ledger of this start of the host.
    pub fn new(incarnation: usage::Incarnation) -> Self {
        let own = usage::Ledger::new(incarnation);
        let state = State {
            revision: None,
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
        copy: impl FnOnce(&usage::Record) -> bool,
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
        drop(state);
        if copy(&record) && self.wait_safe(number, COPY) {
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
            if state.safe.remove(&number) || !state.own.is_pending(number) {
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
        if state.own.is_pending(number) {
            state.safe.insert(number);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Waits up to `limit` for a record that must be written at once; tells whether there is one.
    pub fn wait_flush_request(&self, limit: clock::Millis) -> bool {
        let end = time::Instant::now() + limit.duration();
        let mut state = self.lock();
        while !state.wanted {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        true
    }

    /// Writes this host's open records; tells whether all are in the store.
    pub fn flush(&self, store: &dyn store::Store) -> bool {
        let now = clock::Clock::System.unix_time().0;
        self.lock().wanted = false;
        let mut tries = WRITES;
        while tries > 0 {
            tries -= 1;
            let state = self.lock();
            let (journal, over) = (state.own.with_pending(now), state.revision);
            drop(state);
            let Some(journal) = journal else { return true };
            let Some(standing) = write(store, &journal, over) else {
                return false;
            };
            let mut state = self.lock();
            state.own.set_journal(standing.journal);
            state.revision = Some(standing.revision);
            let State { own, safe, .. } = &mut *state;
            safe.retain(|n| own.is_pending(*n));
            drop(state);
            self.changed.notify_all();
        }
        false
    }

    /// The records of this host that stand in the store.
    pub fn standing(&self) -> usage::NumberSet {
        self.lock().own.written_records().clone()
    }

    /// Keeps a copy of a record of another host.
    pub fn keep(&self, host: &name::Host, incarnation: usage::Incarnation, record: usage::Record) {
        let mut copies = self.lock_copies();
        let kept = copies.entry(incarnation.clone()).or_insert_with(|| Copies {
            ledger: usage::Ledger::new(incarnation),
            host: host.clone(),
            lost: None,
        });
        kept.lost = None;
        kept.ledger.add(record);
    }

    /// Records of another host stand in the store.
    pub fn drop_copies(&self, incarnation: &usage::Incarnation, records: &usage::NumberSet) {
        let mut copies = self.lock_copies();
        let Some(kept) = copies.get_mut(incarnation) else {
            return;
        };
        kept.ledger.mark_written(records);
        if kept.ledger.pending() == 0 {
            copies.remove(incarnation);
        }
    }

    /// The connection to a host was lost.
    pub fn lost(&self, host: &name::Host, now: clock::Millis) {
        for kept in self.lock_copies().values_mut() {
            if &kept.host == host {
                kept.lost.get_or_insert(now);
            }
        }
    }

    /// Writes the copies of hosts whose connection was lost a while ago.
    pub fn take_over(&self, store: &dyn store::Store, now: clock::Millis) {
        let mut orphans = Vec::new();
        for (incarnation, kept) in self.lock_copies().iter() {
            if kept.lost.is_some_and(|at| now.since(at) >= TAKE_OVER) {
                orphans.push((incarnation.clone(), kept.ledger.clone()));
            }
        }
        for (incarnation, ledger) in orphans {
            if let Some(records) = write_orphan(store, ledger) {
                tracing::info!(event = "usage_taken_over", incarnation = %incarnation.0);
                self.drop_copies(&incarnation, &records);
            }
        }
    }

    /// How many records are not in the store yet.
    pub fn pending(&self) -> usize {
        self.lock().own.pending()
    }
}

/// A journal as it stands in the store.
struct Standing {
    journal: usage::Journal,
    revision: u64,
}

fn standing(entry: &store::Entry) -> Option<Standing> {
    let journal = serde_json::from_slice(entry.bytes()).ok()?;
    Some(Standing {
        journal,
        revision: entry.revision,
    })
}

/// Adds the copies of a host that is gone to its journal; the records that stand then.
fn write_orphan(store: &dyn store::Store, mut ledger: usage::Ledger) -> Option<usage::NumberSet> {
    let key = journal_key(ledger.incarnation());
    let now = clock::Clock::System.unix_time().0;
    let mut over = None;
    if let Some(found) = store.get(&key).ok()? {
        let found = standing(&found)?;
        ledger.set_journal(found.journal);
        over = Some(found.revision);
    }
    for _ in 0..WRITES {
        let Some(journal) = ledger.with_pending(now) else {
            return Some(ledger.written_records().clone());
        };
        let written = write(store, &journal, over)?;
        ledger.set_journal(written.journal);
        over = Some(written.revision);
    }
    None
}

/// Writes a journal over the one at revision `over`; gives the journal that stands then, this one or
/// another writer's.
fn write(
    store: &dyn store::Store,
    journal: &usage::Journal,
    over: Option<u64>,
) -> Option<Standing> {
    let key = journal_key(&journal.incarnation);
    let bytes = serde_json::to_vec(journal).ok()?;
    let written = match over {
        Some(revision) => store::replace(store, &key, &bytes, revision),
        None => match store::create(store, &key, &bytes) {
            Ok(store::CreateOutcome::Own(revision)) => Ok(revision),
            Ok(store::CreateOutcome::Other(found)) => Err(store::Error::Conflict(Some(found))),
            Err(e) => Err(e),
        },
    };
    match written {
        Ok(revision) => Some(Standing {
            journal: journal.clone(),
            revision,
        }),
        Err(store::Error::Conflict(Some(found))) => standing(&found),
        Err(e) => {
            tracing::warn!(event = "usage_not_written", error = %e, entry = journal.last_entry);
            None
        }
    }
}
