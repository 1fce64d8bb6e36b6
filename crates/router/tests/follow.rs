//! Tests of how hosts apply changes of the configuration and of upstreams in the store.

mod env;

use std::ops;

use router::{host, revision, store_watch};
use tokio::task;

/// Time within which a change must take effect: the deadline in the settings of the test hosts.
const CHANGE_DEADLINE_MS: u64 = 2_500;

fn start_watches(node: &env::Node) {
    task::spawn_local(store_watch::watch_config(node.host.clone()));
    task::spawn_local(store_watch::watch_upstreams(node.host.clone()));
}

#[test]
fn changes_in_the_store_are_applied() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "3");
        cluster.put("up/a", "ready 1 1");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        assert_eq!(node.config_version(), Some(3));
        assert_eq!(node.ready_upstreams(), ["a"]);
        cluster.put("config", "4");
        cluster.put("up/b", "ready 2 1");
        cluster.put("up/a", "leaving 1 1");
        env::sleep_ms(CHANGE_DEADLINE_MS).await;
        assert_eq!(node.config_version(), Some(4));
        assert_eq!(node.ready_upstreams(), ["b"]);
        cluster.remove("up/b");
        env::sleep_ms(CHANGE_DEADLINE_MS).await;
        assert_eq!(node.ready_upstreams(), [""; 0]);
    });
}

#[test]
fn older_and_invalid_configurations_are_ignored() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "7");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        for ignored in ["6", "x", ""] {
            cluster.put("config", ignored);
            env::sleep_ms(50).await;
            assert_eq!(node.config_version(), Some(7), "after {ignored:?}");
        }
    });
}

/// A new listing after a compaction once ended the watch task with a panic.
#[test]
fn upstreams_are_listed_again_after_a_compaction() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        for name in ["a", "b", "c"] {
            cluster.put(&format!("up/{name}"), "ready 1 1");
        }
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        for round in 0..3 {
            cluster.remove(["up/a", "up/b", "up/c"][round]);
            cluster.put(&format!("up/n{round}"), "ready 2 1");
            cluster.compact();
            env::sleep_ms(3_000).await;
            let ready = node.ready_upstreams();
            assert!(ready.contains(&format!("n{round}")), "{ready:?}");
            assert!(
                !ready.contains(&["a", "b", "c"][round].to_owned()),
                "{ready:?}"
            );
        }
    });
}

#[test]
fn entries_that_expire_in_an_outage_may_reappear() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("up/a", "ready 1 1");
        cluster.put("up/b", "ready 2 1");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        node.store_mode.set(env::StoreMode::Unavailable);
        cluster.remove("up/a");
        cluster.remove("up/b");
        env::sleep_ms(4_000).await;
        assert_eq!(
            node.ready_upstreams(),
            ["a", "b"],
            "the last list is kept during the outage"
        );
        node.store_mode.set(env::StoreMode::Available);
        env::sleep_ms(1_500).await;
        cluster.put("up/a", "ready 1 1");
        env::sleep_ms(300).await;
        assert_eq!(node.ready_upstreams(), ["a", "b"]);
        env::sleep_ms(1_500).await;
        assert_eq!(
            node.ready_upstreams(),
            ["a"],
            "an upstream that does not reappear is removed"
        );
    });
}

/// Waits of a host drawn at random decide when it first calls the store after an outage. The time
/// for which it kept a missing entry once began with that call, and ended too late in one run of a
/// hundred.
#[test]
fn entries_missing_after_an_outage_of_any_length_are_dropped_in_time() {
    const OUTAGES_MS: ops::Range<u64> = 4_000..5_000;
    const STEP_MS: usize = 5;
    /// Time after the return of the store within which a live upstream has written its entry.
    const REAPPEAR_MS: u64 = 1_800;
    /// Time after the return of the store at which a missing entry is no longer listed.
    const GONE_MS: u64 = 3_300;
    for outage_ms in OUTAGES_MS.step_by(STEP_MS) {
        env::run(|| async move {
            let cluster = env::Cluster::new();
            cluster.put("up/a", "ready 1 1");
            let node = env::node(&cluster, "h", 1);
            start_watches(&node);
            env::sleep_ms(50).await;
            node.store_mode.set(env::StoreMode::Unavailable);
            cluster.remove("up/a");
            env::sleep_ms(outage_ms).await;
            node.store_mode.set(env::StoreMode::Available);
            env::sleep_ms(REAPPEAR_MS).await;
            assert_eq!(node.ready_upstreams(), ["a"], "outage of {outage_ms} ms");
            env::sleep_ms(GONE_MS - REAPPEAR_MS).await;
            assert_eq!(node.ready_upstreams(), [""; 0], "outage of {outage_ms} ms");
        });
    }
}

/// Each new listing once began the wait for a missing entry anew, so an upstream that had left stayed
/// in use as long as the store came and went.
#[test]
fn missing_entry_is_dropped_in_time_while_the_store_comes_and_goes() {
    const OUTAGE_MS: u64 = 300;
    const AVAILABLE_MS: u64 = 1_100;
    /// Time after the first return of the store at which a missing entry is no longer listed.
    const GONE_MS: u64 = 3_300;
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("up/a", "ready 1 1");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        node.store_mode.set(env::StoreMode::Unavailable);
        cluster.remove("up/a");
        env::sleep_ms(2_000).await;
        let mode = node.store_mode.clone();
        task::spawn_local(async move {
            loop {
                mode.set(env::StoreMode::Available);
                env::sleep_ms(AVAILABLE_MS).await;
                mode.set(env::StoreMode::Unavailable);
                env::sleep_ms(OUTAGE_MS).await;
            }
        });
        env::sleep_ms(GONE_MS).await;
        assert_eq!(node.ready_upstreams(), [""; 0]);
    });
}

/// A removal was applied with the revision of the whole response, which is that of later changes too:
/// an upstream that was back by then was unknown until its next heartbeat.
#[test]
fn upstream_removed_and_written_again_at_once_is_listed() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("up/a", "ready 1 1");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(host::DISCOVERY_PERIOD.0).await;
        cluster.remove("up/a");
        cluster.put("up/a", "ready 1 2");
        env::sleep_ms(CHANGE_DEADLINE_MS).await;
        assert_eq!(node.ready_upstreams(), ["a"]);
    });
}

#[test]
fn invalid_entry_does_not_affect_other_upstreams() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("up/a", "ready 1 1");
        cluster.put("up/x", "odd");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        cluster.put("up/a", "nonsense");
        cluster.put("up/b", "ready 2 1");
        env::sleep_ms(50).await;
        assert_eq!(node.ready_upstreams(), ["a", "b"]);
    });
}

#[test]
fn delayed_updates_do_not_restore_removed_upstreams() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("up/a", "ready 1 1");
        let node = env::node(&cluster, "h", 1);
        start_watches(&node);
        env::sleep_ms(50).await;
        cluster.remove("up/a");
        env::sleep_ms(50).await;
        assert_eq!(node.ready_upstreams(), [""; 0]);
        store_watch::apply_entry(
            &node.host,
            "up/a",
            revision::Revision::without_era(1),
            b"ready 1 1",
        );
        assert_eq!(
            node.ready_upstreams(),
            [""; 0],
            "an entry written before the removal is ignored"
        );
        store_watch::apply_entry(
            &node.host,
            "up/a",
            revision::Revision::without_era(9),
            b"ready 1 2",
        );
        assert_eq!(
            node.ready_upstreams(),
            ["a"],
            "an entry written after the removal is applied"
        );
        store_watch::apply_removal(&node.host, "up/a", revision::Revision::without_era(3));
        assert_eq!(
            node.ready_upstreams(),
            ["a"],
            "a removal before the last write is ignored"
        );
    });
}

/// Refused calls cost the store as much as others: each host once made four calls per second for
/// each watched key or prefix throughout an outage.
#[test]
fn watches_make_few_calls_during_an_outage() {
    const OUTAGE_MS: u64 = 20_000;
    /// Largest number of calls of a host: two watches, each with at most one call per second except
    /// for the first few.
    const MAX_REFUSED_CALLS: u32 = 2 * (OUTAGE_MS / 1_000 + 6) as u32;
    /// Time within which the entries of live upstreams are written again after the outage.
    const RECOVERY_MS: u64 = 2_000;
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "3");
        let nodes = ["h1", "h2", "h3"].map(|n| env::node(&cluster, n, 1));
        for node in &nodes {
            start_watches(node);
        }
        env::sleep_ms(2_000).await;
        for node in &nodes {
            node.store_mode.set(env::StoreMode::Unavailable);
        }
        env::sleep_ms(OUTAGE_MS).await;
        for node in &nodes {
            let refused = node.refused_calls.get();
            assert!(refused <= MAX_REFUSED_CALLS, "{refused} calls refused");
            node.store_mode.set(env::StoreMode::Available);
        }
        cluster.put("config", "4");
        env::sleep_ms(RECOVERY_MS).await;
        for node in &nodes {
            assert_eq!(node.config_version(), Some(4));
        }
    });
}
