//! The configuration and the upstreams as hosts follow them.

mod env;

use router::store_watch;
use tokio::task;

/// Within which a change must be in force: the bound in the settings of the hosts here.
const BOUND_MS: u64 = 2_500;

fn follow_all(node: &env::Node) {
    task::spawn_local(store_watch::watch_config(node.host.clone()));
    task::spawn_local(store_watch::watch_upstreams(node.host.clone()));
}

#[test]
fn changes_are_followed() {
    env::run(|| async {
        let world = env::World::new();
        world.put("config", "3");
        world.put("up/a", "ready 1 1");
        let node = env::node(&world, "h", 1);
        follow_all(&node);
        env::pass(50).await;
        assert_eq!(node.version(), Some(3));
        assert_eq!(node.ready(), ["a"]);
        world.put("config", "4");
        world.put("up/b", "ready 2 1");
        world.put("up/a", "leaving 1 1");
        env::pass(BOUND_MS).await;
        assert_eq!(node.version(), Some(4));
        assert_eq!(node.ready(), ["b"]);
        world.remove("up/b");
        env::pass(BOUND_MS).await;
        assert_eq!(node.ready(), [""; 0]);
    });
}

#[test]
fn a_version_never_goes_back_and_a_broken_one_changes_nothing() {
    env::run(|| async {
        let world = env::World::new();
        world.put("config", "7");
        let node = env::node(&world, "h", 1);
        follow_all(&node);
        env::pass(50).await;
        for broken in ["6", "x", ""] {
            world.put("config", broken);
            env::pass(50).await;
            assert_eq!(node.version(), Some(7), "after {broken:?}");
        }
    });
}

/// A relisting after a compaction ended the task with a panic once.
#[test]
fn a_compaction_is_followed_by_a_relisting() {
    env::run(|| async {
        let world = env::World::new();
        for name in ["a", "b", "c"] {
            world.put(&format!("up/{name}"), "ready 1 1");
        }
        let node = env::node(&world, "h", 1);
        follow_all(&node);
        env::pass(50).await;
        for round in 0..3 {
            world.remove(["up/a", "up/b", "up/c"][round]);
            world.put(&format!("up/n{round}"), "ready 2 1");
            world.compact();
            env::pass(3_000).await;
            let ready = node.ready();
            assert!(ready.contains(&format!("n{round}")), "{ready:?}");
            assert!(
                !ready.contains(&["a", "b", "c"][round].to_owned()),
                "{ready:?}"
            );
        }
    });
}

#[test]
fn entries_that_lapse_while_the_store_is_away_may_come_back() {
    env::run(|| async {
        let world = env::World::new();
        world.put("up/a", "ready 1 1");
        world.put("up/b", "ready 2 1");
        let node = env::node(&world, "h", 1);
        follow_all(&node);
        env::pass(50).await;
        node.mood.set(env::Mood::Down);
        world.remove("up/a");
        world.remove("up/b");
        env::pass(4_000).await;
        assert_eq!(node.ready(), ["a", "b"], "the last list stands meanwhile");
        node.mood.set(env::Mood::Well);
        env::pass(1_500).await;
        world.put("up/a", "ready 1 1");
        env::pass(300).await;
        assert_eq!(node.ready(), ["a", "b"]);
        env::pass(1_500).await;
        assert_eq!(node.ready(), ["a"], "one that is still missing is gone");
    });
}

#[test]
fn an_unreadable_entry_leaves_the_others() {
    env::run(|| async {
        let world = env::World::new();
        world.put("up/a", "ready 1 1");
        world.put("up/x", "odd");
        let node = env::node(&world, "h", 1);
        follow_all(&node);
        env::pass(50).await;
        world.put("up/a", "nonsense");
        world.put("up/b", "ready 2 1");
        env::pass(50).await;
        assert_eq!(node.ready(), ["a", "b"]);
    });
}

#[test]
fn late_news_do_not_bring_back_what_is_gone() {
    env::run(|| async {
        let world = env::World::new();
        world.put("up/a", "ready 1 1");
        let node = env::node(&world, "h", 1);
        follow_all(&node);
        env::pass(50).await;
        world.remove("up/a");
        env::pass(50).await;
        assert_eq!(node.ready(), [""; 0]);
        store_watch::apply_entry(&node.host, "up/a", 1, b"ready 1 1");
        assert_eq!(
            node.ready(),
            [""; 0],
            "an entry written before it was removed"
        );
        store_watch::apply_entry(&node.host, "up/a", 9, b"ready 1 2");
        assert_eq!(node.ready(), ["a"], "a new one");
        store_watch::apply_removal(&node.host, "up/a", 3);
        assert_eq!(node.ready(), ["a"], "a removal before it was written");
    });
}

/// Refused calls cost as much as others: each host asked four times a second for each thing that it
/// follows, all through an outage.
#[test]
fn an_outage_is_not_filled_with_calls() {
    const OUTAGE_MS: u64 = 20_000;
    /// Calls of a host: two things followed, each at most once a second but for the first few times.
    const MOST: u32 = 2 * (OUTAGE_MS / 1_000 + 6) as u32;
    /// Live upstreams' entries are back within this time.
    const BACK_MS: u64 = 2_000;
    env::run(|| async {
        let world = env::World::new();
        world.put("config", "3");
        let nodes = ["h1", "h2", "h3"].map(|n| env::node(&world, n, 1));
        for node in &nodes {
            follow_all(node);
        }
        env::pass(2_000).await;
        for node in &nodes {
            node.mood.set(env::Mood::Down);
        }
        env::pass(OUTAGE_MS).await;
        for node in &nodes {
            let refused = node.refused.get();
            assert!(refused <= MOST, "{refused} calls refused");
            node.mood.set(env::Mood::Well);
        }
        world.put("config", "4");
        env::pass(BACK_MS).await;
        for node in &nodes {
            assert_eq!(node.version(), Some(4));
        }
    });
}
