//! Property tests of invariants under random outages, delays and changes: one leader at a time,
//! consistent reports, and configurations and upstreams that converge.

mod env;

use proptest::prelude::*;
use router::store_watch;
use tokio::task;

const LEASE_MS: u64 = 3_000;
/// Time within which a change has taken effect at a host that the store answers: retry delays of
/// earlier calls, the time within which expired entries may reappear, and the deadline for changes
/// in the settings of the test hosts.
const SETTLE_MS: u64 = 10_000;

fn store_mode() -> impl Strategy<Value = env::StoreMode> {
    prop_oneof![
        Just(env::StoreMode::Available),
        Just(env::StoreMode::Unavailable),
        Just(env::StoreMode::LosesResponses)
    ]
}

/// Change of the store's contents or of its availability to a host.
#[derive(Clone, Debug)]
enum Change {
    Config,
    Put(u8, u8),
    Remove(u8),
    Compact,
    StoreMode(usize, env::StoreMode),
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        Just(Change::Config),
        (0..4u8, 1..4u8).prop_map(|(n, born)| Change::Put(n, born)),
        (0..4u8).prop_map(Change::Remove),
        Just(Change::Compact),
        (0..2usize, store_mode()).prop_map(|(n, store_mode)| Change::StoreMode(n, store_mode)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Each fencing token belongs to one leader, tokens never decrease, no host acts before and
    /// after another one within a lease, and each window is reported with one set of counts. The
    /// test environment checks these rules.
    #[test]
    fn one_host_at_a_time_is_leader(
        steps in prop::collection::vec((0..3usize, store_mode(), 50..4_000u64), 1..40),
        call_delay_ms in 0..700u64,
    ) {
        env::run(|| async {
            let cluster = env::Cluster::new();
            cluster.call_delay.set(base::clock::Millis(call_delay_ms));
            let window = base::clock::Millis(300);
            let nodes = ["h1", "h2", "h3"].map(|n| env::node_with_window(&cluster, n, 1, window));
            for node in &nodes {
                env::run_leader_election(node);
            }
            for (n, store_mode, ms) in steps {
                nodes[n].store_mode.set(store_mode);
                env::sleep_ms(ms).await;
            }
            for node in &nodes {
                node.store_mode.set(env::StoreMode::Available);
            }
            env::sleep_ms(3 * SETTLE_MS).await;
            assert!(!cluster.calls.borrow().is_empty());
            env::check_calls(&cluster, LEASE_MS);
        });
    }

    /// Configuration versions never decrease, and all hosts end with the contents of the store.
    #[test]
    fn hosts_converge_to_the_contents_of_the_store(
        steps in prop::collection::vec((change(), 0..3_000u64), 1..40),
    ) {
        env::run(|| async {
            let cluster = env::Cluster::new();
            let mut version = 1;
            cluster.put("config", "1");
            let nodes = ["h1", "h2"].map(|n| env::node(&cluster, n, 1));
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
                        cluster.put("config", &version.to_string());
                    }
                    Change::Put(n, born) => {
                        cluster.put(&format!("up/u{n}"), &format!("ready {n} {born}"));
                        listed.insert(format!("u{n}"));
                    }
                    Change::Remove(n) => {
                        cluster.remove(&format!("up/u{n}"));
                        listed.remove(&format!("u{n}"));
                    }
                    Change::Compact => cluster.compact(),
                    Change::StoreMode(n, store_mode) => nodes[n].store_mode.set(store_mode),
                }
                env::sleep_ms(ms).await;
                for (node, seen) in nodes.iter().zip(&mut seen) {
                    assert!(
                        node.config_version() >= *seen,
                        "{:?} after {seen:?}",
                        node.config_version()
                    );
                    *seen = node.config_version();
                }
            }
            for node in &nodes {
                node.store_mode.set(env::StoreMode::Available);
            }
            env::sleep_ms(SETTLE_MS).await;
            for node in &nodes {
                assert_eq!(node.config_version(), Some(version));
                assert_eq!(node.ready_upstreams(), listed.iter().cloned().collect::<Vec<_>>());
            }
        });
    }
}
