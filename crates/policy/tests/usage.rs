//! Usage is counted once, whoever writes it and whatever fails.

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
    /// An answer ends; its record is copied to the peer, or not.
    Record(bool),
    /// The host writes; the write takes effect or not, its answer comes or not.
    HostWrites { effect: bool, answer: bool },
    /// The peer, told that the host is gone, reads what stands and writes its copies.
    PeerWrites { effect: bool, answer: bool },
    /// The host tells the peer what stands.
    Tell,
    /// A window is sealed and reported.
    Seal,
    /// Entries of reported windows are trimmed from the journal.
    Trim,
}

fn op() -> impl Strategy<Value = Op> {
    let write = || (any::<bool>(), any::<bool>());
    prop_oneof![
        6 => any::<bool>().prop_map(Op::Record),
        3 => write().prop_map(|(effect, answer)| Op::HostWrites { effect, answer }),
        3 => write().prop_map(|(effect, answer)| Op::PeerWrites { effect, answer }),
        1 => Just(Op::Tell),
        2 => Just(Op::Seal),
        1 => Just(Op::Trim),
    ]
}

/// The journal in the store, with its revision.
#[derive(Default)]
struct Store {
    journal: Option<(usage::Journal, u64)>,
    revision: u64,
}

impl Store {
    /// Writes over the journal at `over`; tells whether it stood there.
    fn write(&mut self, journal: &usage::Journal, over: Option<u64>) -> bool {
        if self.journal.as_ref().map(|(_, r)| *r) != over {
            return false;
        }
        self.revision += 1;
        self.journal = Some((journal.clone(), self.revision));
        true
    }
}

/// A ledger with the revision of the journal it knows.
struct Writer {
    ledger: usage::Ledger,
    over: Option<u64>,
}

impl Writer {
    fn new() -> Self {
        Self {
            ledger: usage::Ledger::new(incarnation()),
            over: None,
        }
    }

    /// Writes what is open; learns what stands if the answer comes.
    fn write(&mut self, store: &mut Store, effect: bool, answer: bool) {
        let Some(journal) = self.ledger.with_pending(0) else {
            return;
        };
        if effect {
            store.write(&journal, self.over);
        }
        if answer {
            self.read(store);
        }
    }

    fn read(&mut self, store: &Store) {
        if let Some((journal, revision)) = &store.journal {
            self.ledger.set_journal(journal.clone());
            self.over = Some(*revision);
        }
    }
}

struct World {
    host: Writer,
    peer: Writer,
    store: Store,
    windows: Vec<usage::Window>,
    served: u64,
    copied: collections::BTreeSet<u64>,
}

impl World {
    fn new() -> Self {
        Self {
            host: Writer::new(),
            peer: Writer::new(),
            store: Store::default(),
            windows: vec![usage::Window::default()],
            served: 0,
            copied: collections::BTreeSet::new(),
        }
    }

    fn record(&mut self, copied: bool) {
        self.served += 1;
        let amount = usage::Amount {
            requests: 1,
            prompt_tokens: 0,
            completion_tokens: self.served,
        };
        let record = usage::Record {
            number: self.served,
            account: account(),
            amount,
        };
        self.host.ledger.add(record.clone());
        if copied {
            self.peer.ledger.add(record);
            self.copied.insert(self.served);
        }
    }

    fn peer_writes(&mut self, effect: bool, answer: bool) {
        self.peer.read(&self.store);
        self.peer.write(&mut self.store, effect, answer);
    }

    fn seal(&mut self) {
        let journals: Vec<_> = self.store.journal.iter().map(|(b, _)| b.clone()).collect();
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

    fn billed(&self) -> u64 {
        let lines = self.windows.iter().flat_map(|w| &w.lines);
        lines.map(|l| l.amount.completion_tokens).sum()
    }

    fn act(&mut self, op: &Op) {
        match *op {
            Op::Record(copied) => self.record(copied),
            Op::HostWrites { effect, answer } => self.host.write(&mut self.store, effect, answer),
            Op::PeerWrites { effect, answer } => self.peer_writes(effect, answer),
            Op::Tell => {
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
    fn a_host_that_lives_bills_everything_once(ops in proptest::collection::vec(op(), 1..80)) {
        let mut world = World::new();
        for op in &ops {
            world.act(op);
            prop_assert!(world.billed() <= (1..=world.served).sum());
        }
        for _ in 0..100 {
            world.host.write(&mut world.store, true, true);
        }
        prop_assert_eq!(world.host.ledger.pending(), 0);
        world.seal();
        prop_assert_eq!(world.billed(), (1..=world.served).sum());
    }

    #[test]
    fn a_host_that_dies_loses_only_what_was_never_copied_nor_written(
        ops in proptest::collection::vec(op(), 1..80),
    ) {
        let mut world = World::new();
        for op in &ops {
            world.act(op);
        }
        for _ in 0..100 {
            world.peer_writes(true, true);
        }
        world.seal();
        let billed = world.billed();
        prop_assert!(billed <= (1..=world.served).sum());
        prop_assert!(billed >= world.copied.iter().sum());
    }
}

#[test]
fn numbers_hold_what_was_inserted() {
    let mut numbers = usage::NumberSet::default();
    for n in [5, 1, 2, 9, 3, 4, 7, 8, 8] {
        numbers.insert(n);
    }
    let held: Vec<u64> = (0..12).filter(|n| numbers.contains(*n)).collect();
    assert_eq!(held, [1, 2, 3, 4, 5, 7, 8, 9]);
    assert_eq!(numbers.len(), 8);
}
