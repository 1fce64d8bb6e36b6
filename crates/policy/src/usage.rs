//! Usage counted once: records in the journal of their host, journals in sealed windows.
//!
//! A host numbers its records and adds them, some at a time, to its journal: one value in the store,
//! changed only by compare-and-swap. The journal names all records ever added, so whoever writes it,
//! the host or a peer that holds copies, adds each record once. A sealed window takes the entries
//! that the window before it had not taken; entries taken are trimmed from the journal, their
//! records stay named.

use std::collections;

use base::name;
use serde::{Deserialize, Serialize};

/// Who pays for what.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Account {
    /// The team; `None` on a route open to all.
    pub team: Option<name::Team>,
    /// The class.
    pub class: name::Class,
    /// The service.
    pub service: name::Service,
}

/// What was used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests.
    pub requests: u64,
    /// Tokens of prompts.
    #[serde(rename = "prompt")]
    pub prompt_tokens: u64,
    /// Tokens of answers.
    #[serde(rename = "answer")]
    pub completion_tokens: u64,
}

impl Amount {
    /// Adds another amount.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.completion_tokens += other.completion_tokens;
    }
}

/// The usage of one answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its number on its host, from 1.
    pub number: u64,
    /// Who pays.
    pub account: Account,
    /// How much.
    pub amount: Amount,
}

/// One line of figures.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Who pays.
    pub account: Account,
    /// How much.
    pub amount: Amount,
}

/// Totals summed by account, in the order of accounts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Totals(pub collections::BTreeMap<Account, Amount>);

impl Totals {
    /// Adds an amount.
    pub fn add(&mut self, account: &Account, amount: &Amount) {
        if let Some(sum) = self.0.get_mut(account) {
            return sum.add(amount);
        }
        self.0.insert(account.clone(), *amount);
    }

    /// The sums as lines.
    pub fn lines(&self) -> Vec<Line> {
        let line = |(a, m): (&Account, &Amount)| Line {
            account: a.clone(),
            amount: *m,
        };
        self.0.iter().map(line).collect()
    }
}

/// A set of record numbers as ranges, both ends included.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NumberSet(Vec<(u64, u64)>);

impl NumberSet {
    /// Whether the set holds `n`.
    pub fn contains(&self, n: u64) -> bool {
        let at = self.0.partition_point(|(_, end)| *end < n);
        self.0.get(at).is_some_and(|(start, _)| *start <= n)
    }

    /// Adds `n`.
    pub fn insert(&mut self, n: u64) {
        let at = self.0.partition_point(|(_, end)| *end + 1 < n);
        let Some(range) = self.0.get_mut(at) else {
            self.0.push((n, n));
            return;
        };
        if n + 1 < range.0 {
            self.0.insert(at, (n, n));
            return;
        }
        range.0 = range.0.min(n);
        range.1 = range.1.max(n);
        self.join(at);
    }

    /// How many numbers the set holds.
    pub fn len(&self) -> u64 {
        self.0.iter().map(|(start, end)| end - start + 1).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    fn join(&mut self, at: usize) {
        let Some(next) = self.0.get(at + 1).copied() else {
            return;
        };
        if self.0[at].1 + 1 >= next.0 {
            self.0[at].1 = next.1.max(self.0[at].1);
            self.0.remove(at + 1);
        }
    }
}

/// One start of a host: its name and a number drawn at that start.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub String);

impl Incarnation {
    /// The start of `host` that drew `number`.
    pub fn new(host: &name::Host, number: u64) -> Self {
        Self(format!("{host}-{number:016x}"))
    }
}

/// Records added to a journal together.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number, from 1.
    pub number: u64,
    /// The sums of its records.
    pub lines: Vec<Line>,
}

/// The usage of one incarnation as it stands in the store.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Journal {
    /// Whose records.
    pub incarnation: Incarnation,
    /// The number of the last entry ever added; 0 for none.
    #[serde(rename = "number")]
    pub last_entry: u64,
    /// All records ever added.
    pub records: NumberSet,
    /// Entries that are not trimmed.
    pub entries: Vec<Entry>,
    /// When records were last added, in milliseconds of the Unix epoch.
    #[serde(rename = "touched")]
    pub updated_at: u64,
}

impl Journal {
    /// A journal with nothing in it.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            last_entry: 0,
            records: NumberSet::default(),
            entries: Vec::new(),
            updated_at: 0,
        }
    }

    /// The journal without the entries up to `through`; `None` if it holds none of them.
    pub fn trimmed(&self, through: u64) -> Option<Self> {
        if self.entries.iter().all(|e| e.number > through) {
            return None;
        }
        let mut out = self.clone();
        out.entries.retain(|e| e.number > through);
        Some(out)
    }
}

/// The records of one incarnation that are not yet in its journal: kept by the host itself, and as
/// copies by its peers.
#[derive(Clone, Debug)]
pub struct Ledger {
    open: collections::BTreeMap<u64, Record>,
    journal: Journal,
}

/// Records added to a journal at a time, at most.
const MAX_ADDED: usize = 50_000;

impl Ledger {
    /// An empty ledger.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            open: collections::BTreeMap::new(),
            journal: Journal::new(incarnation),
        }
    }

    /// Whose records these are.
    pub fn incarnation(&self) -> &Incarnation {
        &self.journal.incarnation
    }

    /// Keeps a record, once.
    pub fn add(&mut self, record: Record) {
        if self.journal.records.contains(record.number) {
            return;
        }
        self.open.insert(record.number, record);
    }

    /// All records in the journal.
    pub fn written_records(&self) -> &NumberSet {
        &self.journal.records
    }

    /// How many records are not in the journal.
    pub fn pending(&self) -> usize {
        self.open.len()
    }

    /// Whether a record is not in the journal.
    pub fn is_pending(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// The journal with the open records added at `at`, to be written over the one that stands;
    /// `None` if none is open.
    pub fn with_pending(&self, at: u64) -> Option<Journal> {
        if self.open.is_empty() {
            return None;
        }
        let mut journal = self.journal.clone();
        let mut figures = Totals::default();
        for record in self.open.values().take(MAX_ADDED) {
            journal.records.insert(record.number);
            figures.add(&record.account, &record.amount);
        }
        journal.last_entry += 1;
        journal.updated_at = at;
        journal.entries.push(Entry {
            number: journal.last_entry,
            lines: figures.lines(),
        });
        Some(journal)
    }

    /// This journal stands in the store, whoever wrote it.
    pub fn set_journal(&mut self, journal: Journal) {
        self.mark_written(&journal.records);
        self.journal = journal;
    }

    /// These records are in the journal that stands.
    pub fn mark_written(&mut self, records: &NumberSet) {
        self.open.retain(|n, _| !records.contains(*n));
    }
}

/// A sealed window of usage.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Its number, from 1.
    pub number: u64,
    /// When it was sealed, in milliseconds of the Unix epoch.
    #[serde(rename = "sealed")]
    pub sealed_at: u64,
    /// The figures.
    pub lines: Vec<Line>,
    /// For each journal, the last entry taken by this or an earlier window.
    #[serde(rename = "through")]
    pub last_entries: collections::BTreeMap<Incarnation, u64>,
}

/// The window after `last`: all entries of `journals` that no window has taken. Journals that are gone
/// are no longer listed.
pub fn seal(last: &Window, journals: &[Journal], at: u64) -> Window {
    let mut through = collections::BTreeMap::new();
    let mut figures = Totals::default();
    for journal in journals {
        let mut taken = last
            .last_entries
            .get(&journal.incarnation)
            .copied()
            .unwrap_or_default();
        for entry in &journal.entries {
            if entry.number <= taken {
                continue;
            }
            taken = entry.number;
            for line in &entry.lines {
                figures.add(&line.account, &line.amount);
            }
        }
        through.insert(journal.incarnation.clone(), taken);
    }
    Window {
        number: last.number + 1,
        sealed_at: at,
        lines: figures.lines(),
        last_entries: through,
    }
}
