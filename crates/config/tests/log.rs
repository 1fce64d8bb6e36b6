//! The change log: documents, differences, snapshots and views agree; nothing goes back.

use base::clock;
use config::{document, item, key, log, parse, remote, view};
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
        let first = classes[0].name.clone();
        let team = |(n, weight): (&String, &u32)| document::Team {
            name: n.as_str().into(),
            weight: *weight,
            classes: vec![first.clone()],
        };
        document::Document {
            teams: teams.iter().map(team).collect(),
            classes,
            services: vec![],
        }
    })
}

fn stamp(writer: u64) -> remote::Stamp {
    remote::Stamp {
        writer,
        written_ms: writer,
    }
}

proptest! {
    #[test]
    fn a_difference_leads_from_one_document_to_the_next(docs in proptest::collection::vec(documents(), 1..8)) {
        let mut state = log::State::default();
        let mut shown = view::View::default();
        for (n, doc) in docs.iter().enumerate() {
            let wanted = item::items(doc);
            let entry = log::Entry {
                revision: n as u64 + 1,
                writer: 1,
                digest: item::digest(&wanted),
                written_ms: 1,
                changes: item::diff(&state.items, &wanted),
            };
            prop_assert!(state.advance(&entry) && shown.advance(&entry));
            prop_assert!(!state.advance(&entry) && !shown.advance(&entry));
            prop_assert_eq!(item::digest(&state.items), &*entry.digest);
        }
        // The view holds what the state holds, and so does a snapshot of the view.
        let mut read = item::Items::new();
        for segment in log::segments(shown.items()) {
            prop_assert!(log::read_segment(&segment, &mut read).is_ok());
        }
        prop_assert_eq!(read, state.items);
    }

    #[test]
    fn any_text_is_read_or_refused_with_places(text in "[a-z:\\-\\{\\}\\[\\], \n\"0-9]{0,200}") {
        if let Err(findings) = parse::document("x.yaml", &text) {
            prop_assert!(!findings.0.is_empty());
        }
    }
}

#[test]
fn a_withdrawn_key_is_never_brought_back() {
    let key = |withdrawn| {
        let digest = key::digest("k");
        item::Change::Put(item::Item::Key(item::Key {
            digest,
            team: "t".into(),
            withdrawn,
        }))
    };
    let mut items = item::Items::new();
    let mut shown = view::View::default();
    let team = document::Team {
        name: "t".into(),
        weight: 1,
        classes: vec![],
    };
    let team = item::Change::Put(item::Item::Team(team));
    let remove = item::Change::Remove(item::Id::Key(key::digest("k")));
    for change in [team, key(false), key(true), key(false), remove, key(false)] {
        item::apply(&mut items, &change);
        shown.apply(&change);
    }
    assert!(shown.team_by_key(&key::digest("k")).is_none());
    let Some(item::Item::Key(k)) = items.get(&item::Id::Key(key::digest("k"))) else {
        panic!("the withdrawn key is gone");
    };
    assert!(k.withdrawn);
}

/// Many changes: the snapshot moves on, old entries go, a reader from nothing gets the same state,
/// and of two writers at one revision one is refused.
#[test]
fn snapshots_and_entries_give_the_same_state() {
    let store = memory::MemoryStore::default();
    let mut state = log::State::default();
    for n in 0..2 * log::ENTRIES_PER_SNAPSHOT + 700 {
        let put = item::Change::Put(item::Item::Class(class(
            &format!("c{}", n % 50),
            (n % 4) as u8,
        )));
        remote::append(&store, "e", &mut state, vec![put], stamp(n)).expect("append");
    }
    let read = remote::load(&store, "e").expect("load");
    assert_eq!((read.revision, &read.items), (state.revision, &state.items));
    assert!(remote::snapshot_revision(&store, "e").expect("snapshot") > log::ENTRIES_PER_SNAPSHOT);
    assert!(
        remote::read_entry(&store, "e", 1).expect("entry").is_none(),
        "old entries stay for ever"
    );
    let mut late = log::State {
        revision: state.revision - 1,
        ..state.clone()
    };
    let result = remote::append(&store, "e", &mut late, vec![], stamp(9));
    assert_eq!(result, Err(remote::Error::Conflict(state.revision)));
}

/// 37,000 teams with their keys: no value passes the store's limit.
#[test]
fn the_letter_s_teams_fit_the_store() {
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
