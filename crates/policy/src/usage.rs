//! Exactly-once accounting of usage: hosts add records to journals, and journals are summed up in
//! sealed windows.
//!
//! A host numbers its records and adds them in batches to its journal, a single value in the store
//! that is changed only by compare-and-swap. The journal lists the numbers of all records ever
//! added, so any writer, whether the host or a peer that has copies, adds each record only once. A
//! sealed window contains the entries that no earlier window contains. Entries contained in a
//! window are trimmed from the journal, but the numbers of their records stay listed.

use std::collections;

use base::name;
use serde::{Deserialize, Serialize};

/// Key by which usage is summed: team, class and service.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Account {
    /// Team that is charged; `None` on a route that needs no API key.
    pub team: Option<name::Team>,
    /// Request class that the usage belongs to.
    pub class: name::Class,
    /// Service that served the requests.
    pub service: name::Service,
}

/// An amount of usage: number of requests and of tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Number of requests counted in this amount.
    pub requests: u64,
    /// Total number of prompt tokens.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Total number of generated tokens.
    #[serde(rename = "answer")]
    pub completion_tokens: u64,
}

impl Amount {
    /// Adds another amount to this one.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
    }
}

/// Usage of one response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Sequence number of the record within its incarnation, from 1.
    pub number: u64,
    /// Account that the usage is charged to.
    pub account: Account,
    /// Requests and tokens used by the response.
    pub amount: Amount,
}

/// Total usage of one account.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LineItem {
    /// Account that the usage is charged to.
    pub account: Account,
    /// Total requests and tokens of the account.
    pub amount: Amount,
}

/// Usage summed by account, sorted by account.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Totals(pub collections::BTreeMap<Account, Amount>);

impl Totals {
    /// Adds an amount to the total of an account.
    pub fn add(&mut self, account: &Account, amount: &Amount) {
        if let Some(total) = self.0.get_mut(account) {
            return total.add(amount);
        }
        self.0.insert(account.clone(), *amount);
    }

    /// Returns the totals as line items, one per account.
    pub fn lines(&self) -> Vec<LineItem> {
        let line = |(a, m): (&Account, &Amount)| LineItem {
            account: a.clone(),
            amount: *m,
        };
        self.0.iter().map(line).collect()
    }
}

/// A set of record numbers, stored as sorted inclusive ranges.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NumberSet(Vec<(u64, u64)>);

impl NumberSet {
    /// Whether record number `n` is in the set.
    pub fn contains(&self, n: u64) -> bool {
        let index = self.0.partition_point(|(_, end)| *end < n);
        self.0.get(index).is_some_and(|(start, _)| *start <= n)
    }

    /// Adds record number `n`, and merges the ranges that it connects.
    pub fn insert(&mut self, n: u64) {
        let index = self.0.partition_point(|(_, end)| *end + 1 < n);
        let Some(range) = self.0.get_mut(index) else {
            self.0.push((n, n));
            return;
        };
        if n + 1 < range.0 {
            self.0.insert(index, (n, n));
            return;
        }
        range.0 = range.0.min(n);
        range.1 = range.1.max(n);
        self.merge_next(index);
    }

    /// Number of record numbers in the set.
    pub fn len(&self) -> u64 {
        self.0.iter().map(|(start, end)| end - start + 1).sum()
    }

    /// Whether the set contains no number.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn merge_next(&mut self, index: usize) {
        let Some(next) = self.0.get(index + 1).copied() else {
            return;
        };
        if self.0[index].1 + 1 >= next.0 {
            self.0[index].1 = next.1.max(self.0[index].1);
            self.0.remove(index + 1);
        }
    }
}

/// Identifier of one run of a host process: the name of the host and a random number chosen at its
/// start.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub String);

impl Incarnation {
    /// Identifies the run of `host` that chose `number` at its start.
    pub fn new(host: &name::Host, number: u64) -> Self {
        Self(format!("{host}-{number:016x}"))
    }
}

/// A batch of records in a journal.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct JournalEntry {
    /// Sequence number of the entry within its journal, from 1.
    pub number: u64,
    /// Totals of the records in the entry, one line per account.
    pub lines: Vec<LineItem>,
}

/// Usage journal of one incarnation, as kept in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Host incarnation that the records belong to.
    pub incarnation: Incarnation,
    /// Number of the last entry ever added; 0 if there was none.
    #[serde(rename = "number")]
    pub last_entry: u64,
    /// Numbers of all records ever added, including those of trimmed entries.
    pub records: NumberSet,
    /// Entries that have not been trimmed.
    pub entries: Vec<JournalEntry>,
    /// Time at which records were last added, in milliseconds since the Unix epoch.
    #[serde(rename = "touched")]
    pub updated_ms: u64,
}

impl Journal {
    /// Creates a journal without records for a host incarnation.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last_entry: 0,
            records: NumberSet::default(),
            entries: Vec::new(),
            updated_ms: 0,
        }
    }

    /// Returns the journal without the entries up to number `through`, or `None` if it contains
    /// none of them.
    pub fn trimmed(&self, through: u64) -> Option<Self> {
        if self.entries.iter().all(|e| e.number > through) {
            return None;
        }
        let mut out = self.clone();
        out.entries.retain(|e| e.number > through);
        Some(out)
    }
}

/// Records of one incarnation that are not in its journal yet. The host keeps a ledger of its own
/// records, and its peers keep ledgers of copies.
#[derive(Clone, Debug)]
pub struct Ledger {
    pending: collections::BTreeMap<u64, Record>,
    journal: Journal,
}

/// Maximum number of records added to a journal in one write.
const MAX_RECORDS_PER_WRITE: usize = 50_000;

impl Ledger {
    /// Creates a ledger without records, with an empty journal.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            pending: collections::BTreeMap::new(),
            journal: Journal::new(incarnation),
        }
    }

    /// Host incarnation that the records belong to.
    pub fn incarnation(&self) -> &Incarnation {
        &self.journal.incarnation
    }

    /// Adds a pending record, unless the journal already contains it.
    pub fn add(&mut self, record: Record) {
        if self.journal.records.contains(record.number) {
            return;
        }
        self.pending.insert(record.number, record);
    }

    /// Numbers of all records in the journal.
    pub fn written_records(&self) -> &NumberSet {
        &self.journal.records
    }

    /// Number of records that are not in the journal yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Whether the record with this number is not in the journal yet.
    pub fn is_pending(&self, number: u64) -> bool {
        self.pending.contains_key(&number)
    }

    /// Returns the journal with the pending records added, to replace the current one in the
    /// store, or `None` if no record is pending. `now_ms` is the Unix time in milliseconds.
    pub fn with_pending(&self, now_ms: u64) -> Option<Journal> {
        if self.pending.is_empty() {
            return None;
        }
        let mut journal = self.journal.clone();
        let mut totals = Totals::default();
        for record in self.pending.values().take(MAX_RECORDS_PER_WRITE) {
            journal.records.insert(record.number);
            totals.add(&record.account, &record.amount);
        }
        journal.last_entry += 1;
        journal.updated_ms = now_ms;
        journal.entries.push(JournalEntry {
            number: journal.last_entry,
            lines: totals.lines(),
        });
        Some(journal)
    }

    /// Sets the journal to the one read from the store, whichever host wrote it, and drops the
    /// pending records that it contains.
    pub fn set_journal(&mut self, journal: Journal) {
        self.mark_written(&journal.records);
        self.journal = journal;
    }

    /// Drops pending records that the journal in the store contains.
    pub fn mark_written(&mut self, records: &NumberSet) {
        self.pending.retain(|n, _| !records.contains(*n));
    }
}

/// Totals of a reporting window, which never change once it is sealed.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Sequence number of the window, from 1.
    pub number: u64,
    /// Time at which the window was sealed, in milliseconds since the Unix epoch.
    #[serde(rename = "sealed")]
    pub sealed_ms: u64,
    /// Total usage in the window, one line per account.
    pub lines: Vec<LineItem>,
    /// For each journal, the number of the last entry that this or an earlier window contains.
    #[serde(rename = "through")]
    pub last_entries: collections::BTreeMap<Incarnation, u64>,
}

/// Creates the window after `last` from all entries of `journals` that no earlier window contains.
/// Journals that no longer exist are not listed in it. `now_ms` is the Unix time in milliseconds.
pub fn seal(last: &Window, journals: &[Journal], now_ms: u64) -> Window {
    let mut last_entries = collections::BTreeMap::new();
    let mut totals = Totals::default();
    for journal in journals {
        let mut last_sealed = last
            .last_entries
            .get(&journal.incarnation)
            .copied()
            .unwrap_or_default();
        for entry in &journal.entries {
            if entry.number <= last_sealed {
                continue;
            }
            last_sealed = entry.number;
            for line in &entry.lines {
                totals.add(&line.account, &line.amount);
            }
        }
        last_entries.insert(journal.incarnation.clone(), last_sealed);
    }
    Window {
        number: last.number + 1,
        sealed_ms: now_ms,
        lines: totals.lines(),
        last_entries,
    }
}
