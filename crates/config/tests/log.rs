//! The change log: documents, diffs, snapshots and views must describe the same configuration, and
//! a revision is applied only once.

use base::clock;
use config::{document, item, key, log, log_store, parse, view};
use ports::memory;
use ports::store::{Expect, Store as _};
use proptest::prelude::*;

fn class(name: &str, tier: u8) -> document::Class {
    document::Class {
        name: name.into(),
        tier,
        ttft_target: clock::Millis(500),
        gap_target: clock::Millis(64),
        max_wait: clock::Millis(30_000),
        min_share: 20,
        evictable: true,
    }
}

fn documents() -> impl Strategy<Value = document::Document> {
    let classes = proptest::collection::btree_map("[a-e]", 0u8..4, 1..5);
    let teams = proptest::collection::btree_map("[f-m]", 1u32..9, 0..6);
    (classes, teams).prop_map(|(classes, teams)| {
        let classes: Vec<_> = classes.iter().map(|(n, t)| class(n, *t)).collect();
        let default_class = classes[0].name.clone();
        let team = |(n, weight): (&String, &u32)| document::Team {
            name: n.as_str().into(),
            weight: *weight,
            classes: vec![default_class.clone()],
        };
        document::Document {
            teams: teams.iter().map(team).collect(),
            classes,
            services: vec![],
        }
    })
}

fn stamp(writer: u64) -> log_store::Stamp {
    log_store::Stamp {
        writer,
        written_ms: writer,
    }
}

proptest! {
    #[test]
    fn diff_turns_one_document_into_the_next(docs in proptest::collection::vec(documents(), 1..8)) {
        let mut state = log::State::default();
        let mut view = view::View::default();
        for (n, doc) in docs.iter().enumerate() {
            let target = item::items(doc);
            let entry = log::Entry {
                revision: n as u64 + 1,
                writer: 1,
                digest: item::digest(&target),
                written_ms: 1,
                changes: item::diff(&state.items, &target),
            };
            prop_assert!(state.advance(&entry) && view.advance(&entry));
            prop_assert!(!state.advance(&entry) && !view.advance(&entry));
            prop_assert_eq!(item::digest(&state.items), &*entry.digest);
        }
        // The view and its snapshot contain the same items as the state.
        let mut read = item::Items::new();
        for segment in log::segments(view.items()) {
            prop_assert!(log::read_segment(&segment, &mut read).is_ok());
        }
        prop_assert_eq!(read, state.items);
    }

    #[test]
    fn parser_accepts_any_text_or_returns_diagnostics(text in "[a-z:\\-\\{\\}\\[\\], \n\"0-9]{0,200}") {
        if let Err(diagnostics) = parse::document("x.yaml", &text) {
            prop_assert!(!diagnostics.0.is_empty());
        }
    }
}

#[test]
fn withdrawn_key_never_becomes_valid_again() {
    let key = |withdrawn| {
        let digest = key::digest("k");
        item::Change::Put(item::Item::Key(item::Key {
            digest,
            team: "t".into(),
            withdrawn,
        }))
    };
    let mut items = item::Items::new();
    let mut view = view::View::default();
    let team = document::Team {
        name: "t".into(),
        weight: 1,
        classes: vec![],
    };
    let team = item::Change::Put(item::Item::Team(team));
    let remove = item::Change::Remove(item::Id::Key(key::digest("k")));
    for change in [team, key(false), key(true), key(false), remove, key(false)] {
        item::apply(&mut items, &change);
        view.apply(&change);
    }
    assert!(view.team_by_key(&key::digest("k")).is_none());
    let Some(item::Item::Key(k)) = items.get(&item::Id::Key(key::digest("k"))) else {
        panic!("the entry of the withdrawn key was removed");
    };
    assert!(k.withdrawn);
}

/// After many changes, a newer snapshot exists, old entries are deleted, and a new reader gets the
/// same state. Of two writers that append to the same revision, one is rejected.
#[test]
fn snapshots_and_entries_give_the_same_state() {
    let store = memory::MemoryStore::default();
    let mut state = log::State::default();
    for n in 0..2 * log::ENTRIES_PER_SNAPSHOT + 700 {
        let put = item::Change::Put(item::Item::Class(class(
            &format!("c{}", n % 50),
            (n % 4) as u8,
        )));
        log_store::append(&store, "e", &mut state, vec![put], stamp(n)).expect("append");
    }
    let loaded = log_store::load(&store, "e").expect("load");
    assert_eq!(
        (loaded.revision, &loaded.items),
        (state.revision, &state.items)
    );
    assert!(
        log_store::snapshot_revision(&store, "e").expect("snapshot") > log::ENTRIES_PER_SNAPSHOT
    );
    assert!(
        log_store::read_entry(&store, "e", 1)
            .expect("entry")
            .is_none(),
        "old entries are never deleted"
    );
    let mut outdated = log::State {
        revision: state.revision - 1,
        ..state.clone()
    };
    let result = log_store::append(&store, "e", &mut outdated, vec![], stamp(9));
    assert_eq!(result, Err(log_store::Error::Conflict(state.revision)));
}

/// With 37,000 teams and one key each, no snapshot segment exceeds the store's value size limit.
#[test]
fn segments_of_37000_teams_fit_into_store_values() {
    let mut items = item::Items::new();
    for n in 0..37_000 {
        let name = format!("team-{n:06}");
        let team = document::Team {
            name: name.as_str().into(),
            weight: 1,
            classes: vec!["chat".into()],
        };
        let digest = key::digest(&name);
        let key = item::Key {
            digest,
            team: name.as_str().into(),
            withdrawn: false,
        };
        for item in [item::Item::Team(team), item::Item::Key(key)] {
            items.insert(item.id(), item);
        }
    }
    let store = memory::MemoryStore::default();
    for (n, bytes) in log::segments(items.values().cloned()).iter().enumerate() {
        store
            .put(&log::segment_key("e", 1, n as u32), bytes, Expect::Absent)
            .expect("fits");
    }
    assert!(store.len() > 5);
}
