//! Usage counted once: records in numbered batches, batches in sealed windows.
//!
//! A host numbers its records and writes them in numbered batches. A batch names all records that
//! it and the batches before it hold, and batch `n + 1` sums only records that batches 1 to `n`
//! don't, whoever writes it: the host, or a peer that holds copies of its records. A window includes whole batches in
//! their sequence and begins where the window before it ended.

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
    pub prompt: u64,
    /// Tokens of answers.
    pub answer: u64,
}

impl Amount {
    /// Adds another amount.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.answer += other.answer;
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

/// Figures summed by account, in the order of accounts.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Figures(pub collections::BTreeMap<Account, Amount>);

impl Figures {
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
pub struct Numbers(Vec<(u64, u64)>);

impl Numbers {
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

/// Records written together.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Whose records.
    pub incarnation: Incarnation,
    /// Its number, from 1.
    pub number: u64,
    /// The records in this batch and all before it.
    pub records: Numbers,
    /// The sums of the records that this batch added.
    pub lines: Vec<Line>,
}

/// The records of one incarnation that are not yet in a batch: kept by the host itself, and as
/// copies by its peers.
#[derive(Clone, Debug)]
pub struct Ledger {
    incarnation: Incarnation,
    open: collections::BTreeMap<u64, Record>,
    written: Numbers,
    batches: u64,
}

/// Records of one batch at most.
const MAX_BATCH: usize = 50_000;

impl Ledger {
    /// An empty ledger.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            open: collections::BTreeMap::new(),
            written: Numbers::default(),
            batches: 0,
        }
    }

    /// Whose records these are.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Keeps a record, once.
    pub fn add(&mut self, record: Record) {
        if self.written.contains(record.number) {
            return;
        }
        self.open.insert(record.number, record);
    }

    /// How many records are not in a batch.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Whether a record is not in a batch.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// How many batches are known to be written.
    pub fn batches(&self) -> u64 {
        self.batches
    }

    /// The next batch to write, if a record is open.
    pub fn batch(&self) -> Option<Batch> {
        if self.open.is_empty() {
            return None;
        }
        let mut records = self.written.clone();
        let mut figures = Figures::default();
        for record in self.open.values().take(MAX_BATCH) {
            records.insert(record.number);
            figures.add(&record.account, &record.amount);
        }
        let number = self.batches + 1;
        let incarnation = self.incarnation.clone();
        Some(Batch {
            incarnation,
            number,
            records,
            lines: figures.lines(),
        })
    }

    /// A batch stands in the store, whoever wrote it.
    pub fn written(&mut self, batch: &Batch) {
        if batch.number <= self.batches {
            return;
        }
        self.batches = batch.number;
        self.written = batch.records.clone();
        let written = &self.written;
        self.open.retain(|n, _| !written.contains(*n));
    }
}

/// A sealed window of usage.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Its number, from 1.
    pub number: u64,
    /// When it was sealed, in milliseconds of the Unix epoch.
    pub sealed: u64,
    /// The figures.
    pub lines: Vec<Line>,
    /// For each incarnation, the last batch included in this or an earlier window.
    pub through: collections::BTreeMap<Incarnation, u64>,
}

/// The window after `last`: all of `batches` that continue it in sequence.
pub fn seal(last: &Window, batches: &[Batch], at: u64) -> Window {
    let mut through = last.through.clone();
    let mut figures = Figures::default();
    let mut order: Vec<&Batch> = batches.iter().collect();
    order.sort_by_key(|b| (b.incarnation.clone(), b.number));
    for batch in order {
        let done = through.entry(batch.incarnation.clone()).or_default();
        if batch.number != *done + 1 {
            continue;
        }
        *done = batch.number;
        for line in &batch.lines {
            figures.add(&line.account, &line.amount);
        }
    }
    Window {
        number: last.number + 1,
        sealed: at,
        lines: figures.lines(),
        through,
    }
}
