//! Tests of the messages between hosts, over real connections.

mod env;

use std::net;

use base::{clock, name};
use env::hosts::{registration_of, start_hosts, start_tasks, wait_for};
use router::{membership, reports};
use tokio::time;

#[test]
fn host_without_store_follows_another_host() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "3");
        cluster.put("up/a", "ready 1 1");
        let [isolated, connected] = start_hosts(&cluster, ["isolated", "connected"]);
        isolated.store_mode.set(env::StoreMode::Unavailable);
        start_tasks(&isolated);
        start_tasks(&connected);
        wait_for("the state of the other host", || {
            isolated.config_version() == Some(3) && isolated.ready_upstreams() == ["a"]
        })
        .await;
        assert!(isolated.host.is_ready());
        cluster.put("config", "4");
        cluster.put("up/b", "ready 2 1");
        cluster.remove("up/a");
        wait_for("changes from the other host", || {
            isolated.config_version() == Some(4) && isolated.ready_upstreams() == ["b"]
        })
        .await;
        // Later changes are read from the store again.
        isolated.store_mode.set(env::StoreMode::Available);
        cluster.put("config", "5");
        wait_for("changes from the store again", || {
            isolated.config_version() == Some(5)
        })
        .await;
        assert_eq!(isolated.ready_upstreams(), ["b"]);
    });
}

#[test]
fn two_hosts_of_a_data_centre_watch_and_the_others_follow_them() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "3");
        cluster.put("up/a", "ready 1 1");
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3", "h4"]);
        let watchers = nodes.iter().filter(|n| n.host.is_watcher()).count();
        assert_eq!(watchers, 2);
        for node in &nodes {
            start_tasks(node);
        }
        wait_for("two hosts follow others", || {
            nodes[2..].iter().all(|n| n.host.relies_on_peer())
        })
        .await;
        cluster.put("config", "4");
        wait_for("version 4 at all hosts", || {
            nodes.iter().all(|n| n.config_version() == Some(4))
        })
        .await;
        // Followers use the store themselves when the hosts that they follow cannot reach it.
        for node in &nodes[..2] {
            node.store_mode.set(env::StoreMode::Unavailable);
        }
        cluster.put("config", "5");
        wait_for("version 5 at all hosts", || {
            nodes.iter().all(|n| n.config_version() == Some(5))
        })
        .await;
    });
}

/// Hosts that were down at the same time once cost a stopping host a time-out each, one after the
/// other, and it was killed before it ended.
#[test]
fn hosts_that_do_not_answer_delay_the_hand_over_once() {
    const SILENT_HOSTS: usize = 6;
    /// The longest wait for one host: its connection and its acknowledgement.
    const MAX_WAIT_MS: u64 = 1_300;
    env::run(|| async {
        let cluster = env::Cluster::new();
        let stopping = env::node(&cluster, "stopping", 1);
        // The system accepts the connections, and no process answers on them.
        let silent: Vec<_> = (0..SILENT_HOSTS)
            .map(|_| net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port"))
            .collect();
        let item = |(n, listener): (usize, &net::TcpListener)| {
            let address = listener.local_addr().expect("local address");
            registration_of(&format!("s{n}"), &format!("dc{n}"), address)
        };
        let items: Vec<_> = silent.iter().enumerate().map(item).collect();
        let now = stopping.host.now();
        stopping
            .host
            .membership
            .borrow_mut()
            .update_hosts(&items, now);
        let writer = membership::ReportWriter::new(&stopping.host);
        let begin = time::Instant::now();
        reports::hand_over(&stopping.host, &writer).await;
        let waited = begin.elapsed().as_millis() as u64;
        assert!(waited <= MAX_WAIT_MS, "{waited} ms of simulated time");
    });
}

#[test]
fn stopping_host_hands_over_its_counts_and_received_reports() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        let [stopping, next] = start_hosts(&cluster, ["stopping", "next"]);
        let team = name::Team::from("t");
        stopping
            .host
            .usage_counter
            .borrow_mut()
            .counts
            .record_request(7, &team);
        let received = membership::HostReport {
            host: "dead".into(),
            boot_id: 9,
            counted_until: 1,
            windows: stopping.host.usage_counter.borrow().counts.clone(),
            demand: Default::default(),
        };
        stopping
            .host
            .membership
            .borrow_mut()
            .record_report(received, clock::Millis(1));
        let writer = membership::ReportWriter::new(&stopping.host);
        reports::hand_over(&stopping.host, &writer).await;
        reports::hand_over(&stopping.host, &writer).await;
        let counted = next.host.membership.borrow().window_counts(7);
        assert_eq!(counted.get(&team), Some(&2), "one request of each process");
    });
}
