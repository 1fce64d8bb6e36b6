//! Tests of the leader election and of the usage that the leader reports.

mod env;

use std::collections;

use base::{clock, name};
use router::{host, membership, ports, revision, usage};

const LEASE_MS: u64 = 3_000;

#[test]
fn new_leader_acts_only_after_the_previous_lease_ended() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let nodes = ["h1", "h2", "h3"].map(|n| env::node(&cluster, n, 1));
        let _tasks = [
            env::run_leader_election(&nodes[0]),
            env::run_leader_election(&nodes[1]),
            env::run_leader_election(&nodes[2]),
        ];
        for round in 0..12 {
            env::sleep_ms(15_000).await;
            let leaders: Vec<_> = nodes.iter().filter(|n| n.host.is_leader.get()).collect();
            assert_eq!(leaders.len(), 1, "round {round}");
            // The leader loses the store and later regains it.
            leaders[0].store_mode.set(env::StoreMode::Unavailable);
            env::sleep_ms(2_500).await;
            assert!(!leaders[0].host.is_leader.get(), "round {round}");
            env::sleep_ms(2_500).await;
            leaders[0].store_mode.set(env::StoreMode::Available);
        }
        assert!(cluster.calls.borrow().len() > 20);
        env::check_calls(&cluster, LEASE_MS);
    });
}

/// A call that is in flight when the leadership is lost arrives before the calls of the next
/// leader.
#[test]
fn new_leader_waits_for_calls_in_flight() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.call_delay.set(clock::Millis(600));
        let window = clock::Millis(300);
        let nodes = ["h1", "h2", "h3"].map(|n| env::node_with_window(&cluster, n, 1, window));
        let _tasks = [
            env::run_leader_election(&nodes[0]),
            env::run_leader_election(&nodes[1]),
            env::run_leader_election(&nodes[2]),
        ];
        for _ in 0..40 {
            env::sleep_ms(4_900).await;
            for node in &nodes {
                if node.host.is_leader.get() {
                    node.host.phase.send_replace(host::Phase::Unready);
                    env::sleep_ms(3_500).await;
                    node.host.phase.send_replace(host::Phase::Serving);
                    env::run_leader_election(node);
                    break;
                }
            }
        }
        assert!(cluster.calls.borrow().len() > 200);
        env::check_calls(&cluster, LEASE_MS);
    });
}

/// A host that waits before its claim, because it was started again, sleeps through another's whole leadership.
/// It must wait for the calls in flight of that one as well.
#[test]
fn new_leader_waits_for_calls_of_a_leader_that_came_and_went_unseen() {
    for stop_ms in (2_000..2_500).step_by(20) {
        env::run(|| async move {
            let cluster = env::Cluster::new();
            cluster.call_delay.set(clock::Millis(600));
            let window = clock::Millis(300);
            let later = env::node_with_window(&cluster, "h2", 1, window);
            let _later = env::run_later_election(&later);
            env::sleep_ms(500).await;
            let first = env::node_with_window(&cluster, "h1", 1, window);
            let _first = env::run_leader_election(&first);
            env::sleep_ms(stop_ms).await;
            first.host.phase.send_replace(host::Phase::Unready);
            env::sleep_ms(5_000).await;
            assert!(later.host.is_leader.get(), "stop after {stop_ms} ms");
            env::check_calls(&cluster, LEASE_MS);
        });
    }
}

/// A short outage of the store does not change the leader, because its lease still exists.
#[test]
fn leadership_continues_if_the_lease_outlives_an_outage() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&cluster, n, 1));
        let _tasks = [
            env::run_leader_election(&nodes[0]),
            env::run_leader_election(&nodes[1]),
        ];
        env::sleep_ms(15_000).await;
        let leader = usize::from(!nodes[0].host.is_leader.get());
        cluster.freeze_leases(true);
        for node in &nodes {
            node.store_mode.set(env::StoreMode::Unavailable);
        }
        env::sleep_ms(6_000).await;
        assert!(
            !nodes[leader].host.is_leader.get(),
            "the leader must not act during the outage"
        );
        for node in &nodes {
            node.store_mode.set(env::StoreMode::Available);
        }
        env::sleep_ms(700).await;
        assert!(nodes[leader].host.is_leader.get());
        cluster.freeze_leases(false);
        env::sleep_ms(15_000).await;
        env::check_calls(&cluster, LEASE_MS);
    });
}

/// A host without connection reports late: the window waits for it until it must be sealed.
#[test]
fn window_waits_for_hosts_that_have_not_reported() {
    let timing = host::Timing {
        change_deadline: clock::Millis(2_500),
        shutdown_grace: clock::Millis(8_000),
        platform_lease: clock::Millis(LEASE_MS),
        usage_window: clock::Millis(5_000),
        report_deadline: clock::Millis(10_000),
    };
    let record = usage::SealedWindows {
        next_window: 3,
        ..usage::SealedWindows::default()
    };
    let due = |wall: u64, reported: bool| record.is_due(clock::Millis(wall), &timing, |_| reported);
    assert!(
        !due(20_000, true),
        "the outcome of requests that began in the window is not known yet"
    );
    assert!(due(21_600, true));
    assert!(!due(27_000, false));
    assert!(
        due(28_100, false),
        "the window must not be late for a host that never reports"
    );
    let mut membership = membership::Membership::default();
    let report = |boot_id, counted_until| membership::HostReport {
        host: "h".into(),
        boot_id,
        counted_until,
        windows: router::windows::WindowCounts::default(),
        demand: collections::BTreeMap::new(),
    };
    membership.record_report(report(1, 10), clock::Millis(1));
    assert!(!membership.is_reported_up_to(0, 11));
    membership.record_report(report(2, 12), clock::Millis(2));
    assert!(
        membership.is_reported_up_to(0, 11),
        "an earlier process of a restarted host is not waited for"
    );
}

/// A new leader had the reports of two hosts of ninety-five, took them for all, and sealed a window
/// with half of its requests 40 ms after its election (incident 1877 of the large deployment).
#[test]
fn a_window_waits_for_registered_hosts_that_a_new_leader_has_not_heard_of() {
    let registration = |host: &str| ports::Item {
        key: format!("hosts/{host}"),
        value: serde_json::to_vec(&membership::Registration {
            host: host.into(),
            dc: "a".into(),
            peer_address: ([127, 0, 0, 1], 1).into(),
        })
        .expect("json"),
        revision: revision::Revision::without_era(1),
        created: revision::Revision::without_era(1),
        lease: Some(0),
        fault: None,
    };
    let report = |host: &str| membership::HostReport {
        host: host.into(),
        boot_id: 1,
        counted_until: 12,
        windows: router::windows::WindowCounts::default(),
        demand: collections::BTreeMap::new(),
    };
    let mut membership = membership::Membership::default();
    membership.update_hosts(&["h1", "h2"].map(registration), clock::Millis(1));
    membership.record_report(report("h1"), clock::Millis(1));
    assert!(!membership.is_reported_up_to(0, 11));
    membership.record_report(report("h2"), clock::Millis(2));
    assert!(membership.is_reported_up_to(0, 11));
    membership.record_report(report("h3"), clock::Millis(2));
    assert!(!membership.is_reported_up_to(0, 13));
}

#[test]
fn lost_responses_leave_one_leader() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&cluster, n, 1));
        let _tasks = [
            env::run_leader_election(&nodes[0]),
            env::run_leader_election(&nodes[1]),
        ];
        for round in 0..10 {
            nodes[round % 2]
                .store_mode
                .set(env::StoreMode::LosesResponses);
            env::sleep_ms(6_000).await;
            nodes[round % 2].store_mode.set(env::StoreMode::Available);
            env::sleep_ms(9_000).await;
        }
        env::check_calls(&cluster, LEASE_MS);
    });
}

#[test]
fn stopping_leader_is_replaced_at_once() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&cluster, n, 1));
        let _tasks = [
            env::run_leader_election(&nodes[0]),
            env::run_leader_election(&nodes[1]),
        ];
        env::sleep_ms(15_000).await;
        let leader = usize::from(!nodes[0].host.is_leader.get());
        nodes[leader].host.phase.send_replace(host::Phase::Unready);
        env::sleep_ms(1_500).await;
        assert!(nodes[1 - leader].host.is_leader.get());
        env::sleep_ms(20_000).await;
        env::check_calls(&cluster, LEASE_MS);
    });
}

#[test]
fn each_window_is_sealed_once_and_reported_with_the_same_counts() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&cluster, n, 1));
        let _tasks = [
            env::run_leader_election(&nodes[0]),
            env::run_leader_election(&nodes[1]),
        ];
        let team = name::Team::from("t");
        let writers: Vec<_> = nodes
            .iter()
            .map(|n| membership::ReportWriter::new(&n.host))
            .collect();
        for step in 0..240 {
            for (node, writer) in nodes.iter().zip(&writers) {
                let window = cluster.clock.now().0 / 5_000;
                node.host
                    .usage_counter
                    .borrow_mut()
                    .counts
                    .record_request(window, &team);
                let report = writer.report(&node.host);
                writer.write(&node.host, &report).await;
            }
            env::sleep_ms(250).await;
            // The leader changes while windows are open.
            let unavailable = step % 80 > 60;
            nodes[0].store_mode.set(if unavailable {
                env::StoreMode::Unavailable
            } else {
                env::StoreMode::Available
            });
        }
        env::sleep_ms(20_000).await;
        let record = cluster.value(usage::STORE_KEY).expect("sealed");
        let record: usage::SealedWindows = serde_json::from_slice(&record).expect("readable");
        assert!(record.next_window >= 12, "{record:?}");
        for window in 1..record.next_window - 1 {
            assert!(
                cluster.reported_windows().contains(&window),
                "window {window}"
            );
        }
        env::check_calls(&cluster, LEASE_MS);
    });
}

/// Requests that were served before the first leader was elected are reported too.
#[test]
fn first_leader_reports_requests_that_began_before_its_election() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let node = env::node(&cluster, "h1", 1);
        let team = name::Team::from("t");
        node.host
            .usage_counter
            .borrow_mut()
            .counts
            .record_request(0, &team);
        env::sleep_ms(5_500).await;
        let _task = env::run_leader_election(&node);
        let writer = membership::ReportWriter::new(&node.host);
        for _ in 0..30 {
            env::sleep_ms(500).await;
            let report = writer.report(&node.host);
            writer.write(&node.host, &report).await;
        }
        let reported = cluster.report_of(0);
        assert_eq!(reported.as_deref(), Some(r#"{Team("t"): 1}"#));
    });
}

#[test]
fn repeated_reports_of_a_process_are_counted_once() {
    let mut membership = membership::Membership::default();
    let team = name::Team::from("t");
    let mut report = membership::HostReport {
        host: "h".into(),
        boot_id: 1,
        counted_until: 10,
        windows: router::windows::WindowCounts::default(),
        demand: collections::BTreeMap::new(),
    };
    report.windows.record_request(3, &team);
    membership.record_report(report.clone(), base::clock::Millis(5));
    report.windows.record_request(3, &team);
    report.counted_until = 20;
    membership.record_report(report.clone(), base::clock::Millis(6));
    let delayed = membership::HostReport {
        counted_until: 15,
        ..report.clone()
    };
    membership.record_report(delayed, base::clock::Millis(7));
    let restarted = membership::HostReport {
        boot_id: 2,
        ..report
    };
    membership.record_report(restarted, base::clock::Millis(8));
    assert_eq!(membership.window_counts(3).get(&team), Some(&4));
}
