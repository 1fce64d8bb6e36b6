//! Many hosts that start at the same time, as at the start of a system or after a power failure: the
//! calls that each of them makes to the store.

mod env;

use std::rc;

use base::{clock, name};
use env::hosts;
use router::{host, leader, membership, reports, store_watch};
use tokio::task;

const HOSTS: u16 = 40;

fn start_hosts(cluster: &rc::Rc<env::Cluster>) -> Vec<env::Node> {
    (1..=HOSTS)
        .map(|n| env::node(cluster, &format!("h{n}"), n))
        .collect()
}

/// Each host once claimed the leadership at the start, which cost three writes a host.
#[test]
fn few_of_many_hosts_claim_the_leadership() {
    /// Each claim takes two revisions of the store: one for the lease and one for the leader key.
    const MAX_REVISIONS: u64 = 2 * HOSTS as u64 / 8;
    env::run(|| async {
        let cluster = env::Cluster::new();
        let before = cluster.revision();
        let nodes = start_hosts(&cluster);
        for node in &nodes {
            env::run_leader_election(node);
        }
        env::sleep_ms(5_000).await;
        let leaders = nodes.iter().filter(|n| n.host.is_leader.get()).count();
        assert_eq!(leaders, 1);
        let revisions = cluster.revision() - before;
        assert!(revisions <= MAX_REVISIONS, "{revisions} revisions");
    });
}

/// A host that knows no other hosts watches the store itself. The hosts once learned of each other
/// only at their second read, several seconds after the start.
#[test]
fn hosts_know_each_other_within_the_discovery_period() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let nodes = start_hosts(&cluster);
        for node in &nodes {
            task::spawn_local(membership::refresh(node.host.clone()));
            task::spawn_local(membership::keep_registered(node.host.clone()));
        }
        env::sleep_ms(host::DISCOVERY_PERIOD.0).await;
        for node in &nodes {
            let known = node.host.membership.borrow().host_count();
            assert_eq!(known, u32::from(HOSTS), "{}", node.host.settings.host);
        }
        let watchers = nodes.iter().filter(|n| n.host.is_watcher()).count();
        assert_eq!(watchers, 2);
    });
}

/// Every watching host makes the same calls, so their number must not grow with that of the hosts.
#[test]
fn watching_hosts_are_few_and_spread_over_the_data_centres() {
    for (dcs, hosts_per_dc, watchers_per_dc) in
        [(1, 4, 2), (3, 2, 2), (3, 9, 2), (6, 16, 1), (22, 18, 1)]
    {
        let mut items = Vec::new();
        for dc in 0..dcs {
            for n in 0..hosts_per_dc {
                let (host, dc) = (format!("h{dc}-{n}"), format!("dc{dc}"));
                let address = ([127, 0, 0, 1], 1).into();
                items.push(hosts::registration_of(&host, &dc, address));
            }
        }
        let mut membership = membership::Membership::default();
        membership.update_hosts(&items, clock::Millis::ZERO);
        for dc in 0..dcs {
            let is_watcher = |n: &i32| {
                let host = name::Host::from(format!("h{dc}-{n}").as_str());
                membership.is_watcher(&host)
            };
            let watchers = (0..hosts_per_dc).filter(is_watcher).count();
            assert_eq!(watchers, watchers_per_dc, "{dcs} data centres");
        }
    }
}

/// Upstreams that start with the hosts change their entries all the time, and a new host once made
/// a watch call for each batch of changes before it knew whether another host watches for it.
#[test]
fn a_new_host_makes_few_watch_calls_while_upstreams_start() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let node = env::node(&cluster, "h", 1);
        task::spawn_local(store_watch::watch_upstreams(node.host.clone()));
        for n in 0..host::DISCOVERY_PERIOD.0 / 10 {
            env::sleep_ms(10).await;
            cluster.put(&format!("up/u{n}"), "ready 1 1");
        }
        assert_eq!(node.watch_calls.get(), 1);
        env::sleep_ms(500).await;
        assert_eq!(
            node.ready_upstreams().len() as u64,
            host::DISCOVERY_PERIOD.0 / 10
        );
    });
}

/// While no leader is known, each host once wrote a report without any counts.
#[test]
fn only_a_host_with_counts_writes_them_without_a_leader() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let node = env::node(&cluster, "h", 1);
        let writer = rc::Rc::new(membership::ReportWriter::new(&node.host));
        task::spawn_local(reports::run(node.host.clone(), writer));
        let stored = || cluster.has_prefix(membership::COUNTS_PREFIX);
        env::sleep_ms(3_000).await;
        assert!(!stored());
        let team = name::Team::from("t");
        node.host
            .usage_counter
            .borrow_mut()
            .counts
            .record_request(7, &team);
        env::sleep_ms(3_000).await;
        assert!(stored());
    });
}

/// New hosts do not wait for calls of an earlier leader, so a new leader that stops must leave the
/// key in place until its calls have arrived.
#[test]
fn a_new_leader_that_stops_releases_its_key_after_its_calls() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let node = env::node(&cluster, "h", 1);
        env::run_leader_election(&node);
        while !node.host.is_leader.get() {
            env::sleep_ms(5).await;
        }
        assert!(node.host.is_new());
        node.host.phase.send_replace(host::Phase::Unready);
        env::sleep_ms(leader::CALL_DRAIN_DELAY.0 - 50).await;
        assert!(cluster.has_prefix(leader::STORE_KEY));
        env::sleep_ms(100).await;
        assert!(!cluster.has_prefix(leader::STORE_KEY));
    });
}
