//! Hosts while the store comes back from older copies: leadership, usage, entries of upstreams, and what hosts
//! relay to each other.

mod env;

use std::rc;

use base::{clock, name};
use env::hosts::{start_hosts, start_tasks, wait_for};
use rand::{Rng as _, SeedableRng as _, rngs};
use router::{host, link, membership, relay, store_watch};
use tokio::task;

const LEASE_MS: u64 = 3_000;
const SEEDS: std::ops::Range<u64> = 0..40;
const STEPS: u32 = 60;

/// A running host, the task of its election and that of its reports.
struct Running {
    node: env::Node,
    tasks: Vec<task::JoinHandle<()>>,
}

impl Running {
    fn start(cluster: &rc::Rc<env::Cluster>, name: &str, is_first: bool) -> Self {
        let node = env::node_with_window(cluster, name, 1, clock::Millis(1_000));
        let election = if is_first {
            env::run_leader_election(&node)
        } else {
            env::run_later_election(&node)
        };
        let writer = membership::ReportWriter::new(&node.host);
        let host = node.host.clone();
        let reports = task::spawn_local(async move {
            let team = name::Team::from("t");
            loop {
                env::sleep_ms(300).await;
                let window = host.wall_time().0 / 1_000;
                host.usage_counter
                    .borrow_mut()
                    .counts
                    .record_request(window, &team);
                let report = writer.report(&host);
                writer.write(&host, &report).await;
            }
        });
        let tasks = vec![election, reports];
        Self { node, tasks }
    }

    /// Ends the process without a word.
    fn kill(self) {
        for task in self.tasks {
            task.abort();
        }
    }
}

/// Guards against two leaders at once, tokens that go back or are given twice, and windows that are reported
/// with two counts, over series of restores, cuts, kills and stops in any order.
#[test]
fn one_leader_acts_whenever_the_store_is_restored() {
    for seed in SEEDS {
        println!("seed {seed}");
        env::run(|| async move {
            let mut rng = rngs::SmallRng::seed_from_u64(seed);
            let cluster = env::Cluster::new();
            cluster
                .call_delay
                .set(clock::Millis(rng.random_range(0..600)));
            let names = ["h1", "h2", "h3"];
            let mut running: Vec<Running> = names
                .iter()
                .map(|name| Running::start(&cluster, name, true))
                .collect();
            let mut copies = vec![cluster.copy()];
            for _ in 0..STEPS {
                env::sleep_ms(rng.random_range(20..1_500)).await;
                let n = rng.random_range(0..names.len());
                match rng.random_range(0..10) {
                    0..3 => copies.push(cluster.copy()),
                    3 | 4 => {
                        // The copy is some seconds old, in most cases.
                        let age = rng.random_range(1..=copies.len().min(3));
                        let copy = copies[copies.len() - age].clone();
                        let away = rng.random_bool(0.5);
                        for running in running.iter().filter(|_| away) {
                            running.node.store_mode.set(env::StoreMode::Unavailable);
                        }
                        env::sleep_ms(rng.random_range(0..4_000)).await;
                        let leases = [
                            env::restore::CopiedLeases::Kept,
                            env::restore::CopiedLeases::Lost,
                            env::restore::CopiedLeases::Ended,
                        ];
                        cluster.restore(&copy, leases[rng.random_range(0..3)]);
                        for running in running.iter().filter(|_| away) {
                            running.node.store_mode.set(env::StoreMode::Available);
                        }
                    }
                    5 => {
                        let mode = &running[n].node.store_mode;
                        mode.set(match mode.get() {
                            env::StoreMode::Available if rng.random_bool(0.5) => {
                                env::StoreMode::Silent
                            }
                            env::StoreMode::Available => env::StoreMode::LosesResponses,
                            _ => env::StoreMode::Available,
                        });
                    }
                    6 => {
                        let new = Running::start(&cluster, names[n], false);
                        std::mem::replace(&mut running[n], new).kill();
                    }
                    7 => {
                        let phase = &running[n].node.host.phase;
                        phase.send_replace(host::Phase::Unready);
                        env::sleep_ms(1_500).await;
                        let new = Running::start(&cluster, names[n], false);
                        std::mem::replace(&mut running[n], new).kill();
                    }
                    _ => {}
                }
            }
            for running in &running {
                running.node.store_mode.set(env::StoreMode::Available);
            }
            let before = cluster.calls.borrow().len();
            env::sleep_ms(25_000).await;
            assert!(
                cluster.calls.borrow().len() > before + 10,
                "seed {seed}: no leader acts"
            );
            env::check_calls(&cluster, LEASE_MS);
        });
    }
}

/// Guards against upstreams that a restored copy lacks and that are dropped before they have written their
/// entries again, or never.
#[test]
fn upstreams_that_a_restored_copy_lacks_have_the_time_to_reappear() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let node = env::node(&cluster, "h", 1);
        let host = node.host.clone();
        task::spawn_local(store_watch::watch_upstreams(host));
        cluster.put("up/a", "ready 1 1");
        env::sleep_ms(500).await;
        let copy = cluster.copy();
        cluster.put("up/b", "ready 2 1");
        cluster.put("up/c", "ready 3 1");
        env::sleep_ms(500).await;
        assert_eq!(node.ready_upstreams(), ["a", "b", "c"]);
        cluster.restore(&copy, env::restore::CopiedLeases::Kept);
        for _ in 0..15 {
            env::sleep_ms(100).await;
            assert_eq!(node.ready_upstreams(), ["a", "b", "c"]);
        }
        cluster.put("up/b", "ready 2 1");
        for _ in 0..30 {
            env::sleep_ms(100).await;
            assert!(node.ready_upstreams().contains(&"b".to_owned()));
        }
        assert_eq!(node.ready_upstreams(), ["a", "b"]);
    });
}

/// Guards against entries of a copy that bring back an upstream's earlier process, or one that has left and
/// whose numbers the store has not reached again.
#[test]
fn copied_entries_do_not_bring_back_earlier_processes() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let node = env::node(&cluster, "h", 1);
        let host = node.host.clone();
        task::spawn_local(store_watch::watch_upstreams(host));
        cluster.put("up/a", "ready 1 1");
        cluster.put("up/b", "ready 2 1");
        cluster.put("up/c", "ready 3 1");
        env::sleep_ms(500).await;
        let copy = cluster.copy();
        cluster.put("up/a", "ready 4 2");
        cluster.remove("up/b");
        cluster.put("up/c", "leaving 3 1");
        env::sleep_ms(500).await;
        let address = || {
            let fleet = node.host.fleet.borrow();
            let tracked = fleet
                .of_service(&"s".into())
                .find(|t| t.upstream.name == "a".into());
            tracked.map(|t| t.upstream.address.port())
        };
        assert_eq!(
            (node.ready_upstreams(), address()),
            (vec!["a".to_owned()], Some(4))
        );
        cluster.restore(&copy, env::restore::CopiedLeases::Kept);
        for _ in 0..40 {
            env::sleep_ms(100).await;
            assert_eq!(
                (node.ready_upstreams(), address()),
                (vec!["a".to_owned()], Some(4))
            );
        }
        // Written again, beyond the numbers that the store has lost.
        for _ in 0..4 {
            cluster.put("up/b", "ready 2 1");
        }
        cluster.put("up/c", "ready 3 2");
        env::sleep_ms(500).await;
        assert_eq!(node.ready_upstreams(), ["a", "b", "c"]);
    });
}

/// Guards against followers that take what was written after a restore for older than what they know, since its
/// revisions are lower.
#[test]
fn followers_learn_of_a_restore_from_the_hosts_that_they_follow() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "3");
        cluster.put("up/a", "ready 1 1");
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3", "h4"]);
        for node in &nodes {
            start_tasks(node);
        }
        wait_for("two hosts follow others", || {
            nodes[2..].iter().all(|n| n.host.relies_on_peer())
        })
        .await;
        let copy = cluster.copy();
        for _ in 0..20 {
            cluster.put("up/a", "ready 1 1");
        }
        cluster.put("up/b", "ready 2 1");
        wait_for("the second upstream at all hosts", || {
            nodes.iter().all(|n| n.ready_upstreams() == ["a", "b"])
        })
        .await;
        let reads = nodes[2].read_calls.get() + nodes[3].read_calls.get();
        cluster.restore(&copy, env::restore::CopiedLeases::Kept);
        cluster.put("up/a", "leaving 1 1");
        cluster.put("up/c", "ready 3 1");
        cluster.put("up/b", "ready 2 1");
        wait_for("the entries of the new era at all hosts", || {
            nodes.iter().all(|n| n.ready_upstreams() == ["b", "c"])
        })
        .await;
        let reads_after = nodes[2].read_calls.get() + nodes[3].read_calls.get();
        assert_eq!(reads_after, reads, "reads of the followers");
    });
}

/// Guards against revisions that a host of an earlier release can't compare with the store's: it knows numbers
/// alone.
#[test]
fn hosts_of_an_earlier_release_get_revisions_without_era() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.restore(&cluster.copy(), env::restore::CopiedLeases::Kept);
        cluster.put("config", "3");
        cluster.put("up/a", "ready 1 1");
        let [node] = start_hosts(&cluster, ["h"]);
        start_tasks(&node);
        wait_for("the upstream", || node.ready_upstreams() == ["a"]).await;
        let handshakes = [
            (relay::Handshake::FollowWith { config_hash: None }, 0),
            (relay::Handshake::FollowEras { config_hash: None }, 1),
        ];
        for (handshake, era) in handshakes {
            let mut link = link::open(node.host.settings.peer_address)
                .await
                .expect("a connection");
            link.sender.send(&handshake).await.expect("sent");
            loop {
                let update = link.receiver.receive(clock::Millis(1_000)).await;
                match update.expect("an update") {
                    relay::Update::Put(entry) => {
                        assert_eq!((entry.revision.era(), entry.revision.number()), (era, 2));
                    }
                    relay::Update::Complete(at) => {
                        assert_eq!((at.era(), at.number()), (era, 2));
                        break;
                    }
                    _ => {}
                }
            }
        }
    });
}
