//! Leadership and usage of several hosts while the store comes back from older copies.

mod env;

use std::rc;

use base::{clock, name};
use rand::{Rng as _, SeedableRng as _, rngs};
use router::{host, membership};
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
                            env::CopiedLeases::Kept,
                            env::CopiedLeases::Lost,
                            env::CopiedLeases::Ended,
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
