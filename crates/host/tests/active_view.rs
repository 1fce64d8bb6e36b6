//! Tests of the configuration that request threads read while others change it.

use std::sync;
use std::thread;

use config::{document, item, log};
use jacinthslip::active_view;

/// Log entry that adds the team `t<revision>`.
fn entry(revision: u64) -> log::Entry {
    let team = document::Team {
        name: format!("t{revision}").as_str().into(),
        weight: 1,
        classes: Vec::new(),
    };
    log::Entry {
        revision,
        writer: 0,
        digest: String::new(),
        written_ms: 0,
        changes: vec![item::Change::Put(item::Item::Team(team))],
    }
}

/// A reader once held a lock guard while it read the configuration again. A writer that waited
/// between the two reads stopped the host for good.
#[test]
fn a_held_snapshot_blocks_neither_a_writer_nor_a_second_read() {
    let active = active_view::ActiveView::default();
    let held = active.snapshot();
    thread::scope(|scope| {
        let writer = scope.spawn(|| active.update(|view| view.advance(&entry(1))));
        assert!(writer.join().expect("writer"), "the change was applied");
    });
    assert_eq!((held.revision, active.snapshot().revision), (0, 1));
}

#[test]
fn readers_beside_a_writer_see_whole_revisions_in_order() {
    const REVISIONS: u64 = 2_000;
    const READERS: usize = 8;
    let active = active_view::ActiveView::default();
    let start = sync::Barrier::new(READERS + 1);
    thread::scope(|scope| {
        for _ in 0..READERS {
            scope.spawn(|| {
                start.wait();
                let mut last = 0;
                while last < REVISIONS {
                    let outer = active.snapshot();
                    let inner = active.snapshot();
                    assert!(last <= outer.revision && outer.revision <= inner.revision);
                    for revision in [outer.revision, outer.revision + 1] {
                        let is_known = outer.team(&format!("t{revision}")).is_some();
                        assert_eq!(is_known, revision == outer.revision && revision > 0);
                    }
                    last = inner.revision;
                }
            });
        }
        start.wait();
        for revision in 1..=REVISIONS {
            assert!(active.update(|view| view.advance(&entry(revision))));
        }
    });
}
