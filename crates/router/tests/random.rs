//! What holds whatever happens in whatever order: duties, windows, versions and lists.

mod env;

use proptest::prelude::*;
use router::store_watch;
use tokio::task;

const LEASE_MS: u64 = 3_000;
/// Within which a change is in force at a host that the store answers: pauses of calls before, the
/// time in which entries come back, and the bound in the settings of the hosts here.
const SETTLED_MS: u64 = 10_000;

fn mood() -> impl Strategy<Value = env::Mood> {
    prop_oneof![
        Just(env::Mood::Well),
        Just(env::Mood::Down),
        Just(env::Mood::LosesAnswers)
    ]
}

/// A change of what hosts follow.
#[derive(Clone, Debug)]
enum Change {
    Config,
    Put(u8, u8),
    Remove(u8),
    Compact,
    Mood(usize, env::Mood),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Config),
        (0..4u8, 1..4u8).prop_map(|(n, born)| Change::Put(n, born)),
        (0..4u8).prop_map(Change::Remove),
        Just(Change::Compact),
        (0..2usize, mood()).prop_map(|(n, mood)| Change::Mood(n, mood)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// One holder a token, no lower token after a higher, nobody acts around another within the
    /// lease, one set of figures a window (`env` checks these).
    #[test]
    fn duties_have_one_holder(
        steps in prop::collection::vec((0..3usize, mood(), 50..4_000u64), 1..40),
        flight in 0..700u64,
    ) {
        env::run(|| async {
            let world = env::World::new();
            world.flight.set(base::clock::Millis(flight));
            let window = base::clock::Millis(300);
            let nodes = ["h1", "h2", "h3"].map(|n| env::node_with(&world, n, 1, window));
            for node in &nodes {
                env::hold(node);
            }
            for (n, mood, ms) in steps {
                nodes[n].mood.set(mood);
                env::pass(ms).await;
            }
            for node in &nodes {
                node.mood.set(env::Mood::Well);
            }
            env::pass(3 * SETTLED_MS).await;
            assert!(!world.calls.borrow().is_empty());
            env::check(&world, LEASE_MS);
        });
    }

    /// Versions never go back, and all hosts end with what the store holds.
    #[test]
    fn hosts_follow_to_the_end(
        steps in prop::collection::vec((change(), 0..3_000u64), 1..40),
    ) {
        env::run(|| async {
            let world = env::World::new();
            let mut version = 1;
            world.put("config", "1");
            let nodes = ["h1", "h2"].map(|n| env::node(&world, n, 1));
            for node in &nodes {
                task::spawn_local(store_watch::watch_config(node.host.clone()));
                task::spawn_local(store_watch::watch_upstreams(node.host.clone()));
            }
            let mut seen = [None; 2];
            let mut listed = std::collections::BTreeSet::new();
            for (change, ms) in steps {
                match change {
                    Change::Config => {
                        version += 1;
                        world.put("config", &version.to_string());
                    }
                    Change::Put(n, born) => {
                        world.put(&format!("up/u{n}"), &format!("ready {n} {born}"));
                        listed.insert(format!("u{n}"));
                    }
                    Change::Remove(n) => {
                        world.remove(&format!("up/u{n}"));
                        listed.remove(&format!("u{n}"));
                    }
                    Change::Compact => world.compact(),
                    Change::Mood(n, mood) => nodes[n].mood.set(mood),
                }
                env::pass(ms).await;
                for (node, seen) in nodes.iter().zip(&mut seen) {
                    assert!(node.version() >= *seen, "{:?} after {seen:?}", node.version());
                    *seen = node.version();
                }
            }
            for node in &nodes {
                node.mood.set(env::Mood::Well);
            }
            env::pass(SETTLED_MS).await;
            for node in &nodes {
                assert_eq!(node.version(), Some(version));
                assert_eq!(node.ready(), listed.iter().cloned().collect::<Vec<_>>());
            }
        });
    }
}
