//! Property tests of usage accounting: every record is billed at most once, whichever host writes
//! it and whichever writes or responses are lost.

use std::collections;

use policy::usage;
use proptest::prelude::*;

fn account() -> usage::Account {
    usage::Account {
        team: Some("quotes".into()),
        class: "chat".into(),
        service: "drafter".into(),
    }
}

fn incarnation() -> usage::Incarnation {
    usage::Incarnation("h1-1".to_owned())
}

#[derive(Clone, Debug)]
enum Op {
    /// The host records a response; the flag is whether the record is copied to the peer.
    Record(bool),
    /// The host writes its pending records; the flags are whether the store applies the write, and
    /// whether its response arrives.
    HostWrites { applied: bool, responds: bool },
    /// The peer considers the host failed, reads the journal and writes its copies; the flags are
    /// as in `HostWrites`.
    PeerWrites { applied: bool, responds: bool },
    /// The host notifies the peer of the records in the journal.
    NotifyPeer,
    /// A window is sealed and reported.
    Seal,
    /// Entries of reported windows are trimmed from the journal.
    Trim,
}

fn op() -> impl Strategy<Value = Op> {
    let write = || (any::<bool>(), any::<bool>());
    prop_oneof![
        6 => any::<bool>().prop_map(Op::Record),
        3 => write().prop_map(|(applied, responds)| Op::HostWrites { applied, responds }),
        3 => write().prop_map(|(applied, responds)| Op::PeerWrites { applied, responds }),
        1 => Just(Op::NotifyPeer),
        2 => Just(Op::Seal),
        1 => Just(Op::Trim),
    ]
}

/// Simulated store with one journal and its revision.
#[derive(Default)]
struct Store {
    journal: Option<(usage::Journal, u64)>,
    revision: u64,
}

impl Store {
    /// Replaces the journal if it is at `revision`; returns whether it was.
    fn write(&mut self, journal: &usage::Journal, revision: Option<u64>) -> bool {
        if self.journal.as_ref().map(|(_, r)| *r) != revision {
            return false;
        }
        self.revision += 1;
        self.journal = Some((journal.clone(), self.revision));
        true
    }
}

/// A ledger, and the revision of the journal that it read last.
struct Writer {
    ledger: usage::Ledger,
    revision: Option<u64>,
}

impl Writer {
    fn new() -> Self {
        Self {
            ledger: usage::Ledger::new(incarnation()),
            revision: None,
        }
    }

    /// Writes the pending records, and reads the journal if the response arrives.
    fn write(&mut self, store: &mut Store, applied: bool, responds: bool) {
        let Some(journal) = self.ledger.with_pending(0) else {
            return;
        };
        if applied {
            store.write(&journal, self.revision);
        }
        if responds {
            self.read(store);
        }
    }

    fn read(&mut self, store: &Store) {
        if let Some((journal, revision)) = &store.journal {
            self.ledger.set_journal(journal.clone());
            self.revision = Some(*revision);
        }
    }
}

struct Simulation {
    host: Writer,
    peer: Writer,
    store: Store,
    windows: Vec<usage::Window>,
    recorded: u64,
    copied: collections::BTreeSet<u64>,
}

impl Simulation {
    fn new() -> Self {
        Self {
            host: Writer::new(),
            peer: Writer::new(),
            store: Store::default(),
            windows: vec![usage::Window::default()],
            recorded: 0,
            copied: collections::BTreeSet::new(),
        }
    }

    fn record(&mut self, copied: bool) {
        self.recorded += 1;
        let amount = usage::Amount {
            requests: 1,
            prompt_tokens: 0,
            completion_tokens: self.recorded,
        };
        let record = usage::Record {
            number: self.recorded,
            account: account(),
            amount,
        };
        self.host.ledger.add(record.clone());
        if copied {
            self.peer.ledger.add(record);
            self.copied.insert(self.recorded);
        }
    }

    fn peer_writes(&mut self, applied: bool, responds: bool) {
        self.peer.read(&self.store);
        self.peer.write(&mut self.store, applied, responds);
    }

    fn seal(&mut self) {
        let journals: Vec<_> = self.store.journal.iter().map(|(j, _)| j.clone()).collect();
        let last = &self.windows[self.windows.len() - 1];
        let next = usage::seal(last, &journals, 0);
        self.windows.push(next);
    }

    fn trim(&mut self) {
        let last = &self.windows[self.windows.len() - 1];
        let through = last
            .last_entries
            .get(&incarnation())
            .copied()
            .unwrap_or_default();
        let Some((journal, revision)) = self.store.journal.clone() else {
            return;
        };
        if let Some(trimmed) = journal.trimmed(through) {
            self.store.write(&trimmed, Some(revision));
        }
    }

    /// Sum of the billed tokens. The token count of each record is its number, so that the sum
    /// shows records that are missing or billed twice.
    fn billed(&self) -> u64 {
        let lines = self.windows.iter().flat_map(|w| &w.lines);
        lines.map(|l| l.amount.completion_tokens).sum()
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Record(copied) => self.record(copied),
            Op::HostWrites { applied, responds } => {
                self.host.write(&mut self.store, applied, responds)
            }
            Op::PeerWrites { applied, responds } => self.peer_writes(applied, responds),
            Op::NotifyPeer => {
                if let Some((journal, _)) = &self.store.journal {
                    self.peer.ledger.mark_written(&journal.records);
                }
            }
            Op::Seal => self.seal(),
            Op::Trim => self.trim(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn live_host_bills_each_record_exactly_once(ops in proptest::collection::vec(op(), 1..80)) {
        let mut sim = Simulation::new();
        for op in &ops {
            sim.apply(op);
            prop_assert!(sim.billed() <= (1..=sim.recorded).sum());
        }
        for _ in 0..100 {
            sim.host.write(&mut sim.store, true, true);
        }
        prop_assert_eq!(sim.host.ledger.pending(), 0);
        sim.seal();
        prop_assert_eq!(sim.billed(), (1..=sim.recorded).sum::<u64>());
    }

    #[test]
    fn failed_host_loses_only_records_neither_copied_nor_written(
        ops in proptest::collection::vec(op(), 1..80),
    ) {
        let mut sim = Simulation::new();
        for op in &ops {
            sim.apply(op);
        }
        for _ in 0..100 {
            sim.peer_writes(true, true);
        }
        sim.seal();
        let billed = sim.billed();
        prop_assert!(billed <= (1..=sim.recorded).sum());
        prop_assert!(billed >= sim.copied.iter().sum());
    }
}

#[test]
fn number_set_contains_inserted_numbers() {
    let mut numbers = usage::NumberSet::default();
    for n in [5, 1, 2, 9, 3, 4, 7, 8, 8] {
        numbers.insert(n);
    }
    let contained: Vec<u64> = (0..12).filter(|n| numbers.contains(*n)).collect();
    assert_eq!(contained, [1, 2, 3, 4, 5, 7, 8, 9]);
    assert_eq!(numbers.len(), 8);
}
