//! Who holds the duties, and what it reports.

mod env;

use std::collections;

use base::{clock, name};
use router::{host, membership, usage};

const LEASE_MS: u64 = 3_000;

#[test]
fn the_next_holder_acts_only_after_the_last_one_cannot() {
    env::run(|| async {
        let world = env::World::new();
        let nodes = ["h1", "h2", "h3"].map(|n| env::node(&world, n, 1));
        let _tasks = [
            env::hold(&nodes[0]),
            env::hold(&nodes[1]),
            env::hold(&nodes[2]),
        ];
        for round in 0..12 {
            env::pass(15_000).await;
            let holding: Vec<_> = nodes.iter().filter(|n| n.host.is_leader.get()).collect();
            assert_eq!(holding.len(), 1, "round {round}");
            // The holder loses the store, and later gets it back.
            holding[0].mood.set(env::Mood::Down);
            env::pass(2_500).await;
            assert!(!holding[0].host.is_leader.get(), "round {round}");
            env::pass(2_500).await;
            holding[0].mood.set(env::Mood::Well);
        }
        assert!(world.calls.borrow().len() > 20);
        env::check(&world, LEASE_MS);
    });
}

/// Calls that are on their way when a holder is lost arrive before those of the next one.
#[test]
fn calls_in_flight_are_waited_out() {
    env::run(|| async {
        let world = env::World::new();
        world.flight.set(clock::Millis(600));
        let window = clock::Millis(300);
        let nodes = ["h1", "h2", "h3"].map(|n| env::node_with(&world, n, 1, window));
        let _tasks = [
            env::hold(&nodes[0]),
            env::hold(&nodes[1]),
            env::hold(&nodes[2]),
        ];
        for _ in 0..40 {
            env::pass(4_900).await;
            for node in &nodes {
                if node.host.is_leader.get() {
                    node.host.phase.send_replace(host::Phase::Unready);
                    env::pass(3_500).await;
                    node.host.phase.send_replace(host::Phase::Serving);
                    env::hold(node);
                    break;
                }
            }
        }
        assert!(world.calls.borrow().len() > 200);
        env::check(&world, LEASE_MS);
    });
}

/// A short outage does not change the holder: its lease is still there.
#[test]
fn a_lease_that_outlives_an_outage_goes_on() {
    env::run(|| async {
        let world = env::World::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&world, n, 1));
        let _tasks = [env::hold(&nodes[0]), env::hold(&nodes[1])];
        env::pass(15_000).await;
        let first = usize::from(!nodes[0].host.is_leader.get());
        world.hold_leases(true);
        for node in &nodes {
            node.mood.set(env::Mood::Down);
        }
        env::pass(6_000).await;
        assert!(
            !nodes[first].host.is_leader.get(),
            "nothing is sent meanwhile"
        );
        for node in &nodes {
            node.mood.set(env::Mood::Well);
        }
        env::pass(700).await;
        assert!(nodes[first].host.is_leader.get());
        world.hold_leases(false);
        env::pass(15_000).await;
        env::check(&world, LEASE_MS);
    });
}

/// A host that is cut off tells late: the window waits for it as long as there is time.
#[test]
fn a_window_waits_for_hosts_that_have_not_told() {
    let times = host::Timing {
        change_deadline: clock::Millis(2_500),
        shutdown_grace: clock::Millis(8_000),
        platform_lease: clock::Millis(LEASE_MS),
        usage_window: clock::Millis(5_000),
        report_deadline: clock::Millis(10_000),
    };
    let record = usage::SealedWindows {
        next: 3,
        ..usage::SealedWindows::default()
    };
    let due = |wall: u64, told: bool| record.is_due(clock::Millis(wall), &times, |_| told);
    assert!(
        !due(20_000, true),
        "requests that began may still be counted"
    );
    assert!(due(21_600, true));
    assert!(!due(27_000, false));
    assert!(
        due(28_100, false),
        "it is not late for one that never tells"
    );
    let mut membership = membership::Membership::default();
    let entry = |boot, at| membership::HostReport {
        host: "h".into(),
        boot_id: boot,
        at,
        windows: router::windows::WindowCounts::default(),
        demand: collections::BTreeMap::new(),
    };
    membership.record_report(entry(1, 10), clock::Millis(1));
    assert!(!membership.is_reported_up_to(0, 11));
    membership.record_report(entry(2, 12), clock::Millis(2));
    assert!(
        membership.is_reported_up_to(0, 11),
        "the start before is not waited for"
    );
}

#[test]
fn lost_answers_leave_one_holder() {
    env::run(|| async {
        let world = env::World::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&world, n, 1));
        let _tasks = [env::hold(&nodes[0]), env::hold(&nodes[1])];
        for round in 0..10 {
            nodes[round % 2].mood.set(env::Mood::LosesAnswers);
            env::pass(6_000).await;
            nodes[round % 2].mood.set(env::Mood::Well);
            env::pass(9_000).await;
        }
        env::check(&world, LEASE_MS);
    });
}

#[test]
fn a_stopping_holder_hands_over_at_once() {
    env::run(|| async {
        let world = env::World::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&world, n, 1));
        let _tasks = [env::hold(&nodes[0]), env::hold(&nodes[1])];
        env::pass(15_000).await;
        let first = usize::from(!nodes[0].host.is_leader.get());
        nodes[first].host.phase.send_replace(host::Phase::Unready);
        env::pass(1_500).await;
        assert!(nodes[1 - first].host.is_leader.get());
        env::pass(20_000).await;
        env::check(&world, LEASE_MS);
    });
}

#[test]
fn each_window_is_sealed_once_and_reported_with_one_set_of_figures() {
    env::run(|| async {
        let world = env::World::new();
        let nodes = ["h1", "h2"].map(|n| env::node(&world, n, 1));
        let _tasks = [env::hold(&nodes[0]), env::hold(&nodes[1])];
        let team = name::Team::from("t");
        let writers: Vec<_> = nodes
            .iter()
            .map(|n| membership::ReportWriter::new(&n.host))
            .collect();
        for step in 0..240 {
            for (node, writer) in nodes.iter().zip(&writers) {
                let window = world.clock.now().0 / 5_000;
                node.host
                    .usage_counter
                    .borrow_mut()
                    .counts
                    .record_request(window, &team);
                let entry = writer.report(&node.host);
                writer.write(&node.host, &entry).await;
            }
            env::pass(250).await;
            // Reporters change while windows are open.
            let away = step % 80 > 60;
            nodes[0].mood.set(if away {
                env::Mood::Down
            } else {
                env::Mood::Well
            });
        }
        env::pass(20_000).await;
        let record = world.value(usage::STORE_KEY).expect("sealed");
        let record: usage::SealedWindows = serde_json::from_slice(&record).expect("readable");
        assert!(record.next >= 12, "{record:?}");
        for window in 1..record.next - 1 {
            assert!(
                world.value(&format!("reported/{window}")).is_some(),
                "window {window}"
            );
        }
        env::check(&world, LEASE_MS);
    });
}

/// Requests served before anybody first held the duties are reported too.
#[test]
fn the_first_holder_reports_what_began_before_it() {
    env::run(|| async {
        let world = env::World::new();
        let node = env::node(&world, "h1", 1);
        let team = name::Team::from("t");
        node.host
            .usage_counter
            .borrow_mut()
            .counts
            .record_request(0, &team);
        env::pass(5_500).await;
        let _task = env::hold(&node);
        let writer = membership::ReportWriter::new(&node.host);
        for _ in 0..30 {
            env::pass(500).await;
            let entry = writer.report(&node.host);
            writer.write(&node.host, &entry).await;
        }
        let reported = world.value("reported/0").map(String::from_utf8);
        assert_eq!(reported, Some(Ok(r#"{Team("t"): 1}"#.to_owned())));
    });
}

#[test]
fn what_the_holder_was_told_is_counted_once() {
    let mut membership = membership::Membership::default();
    let team = name::Team::from("t");
    let mut entry = membership::HostReport {
        host: "h".into(),
        boot_id: 1,
        at: 10,
        windows: router::windows::WindowCounts::default(),
        demand: collections::BTreeMap::new(),
    };
    entry.windows.record_request(3, &team);
    membership.record_report(entry.clone(), base::clock::Millis(5));
    entry.windows.record_request(3, &team);
    entry.at = 20;
    membership.record_report(entry.clone(), base::clock::Millis(6));
    let late = membership::HostReport {
        at: 15,
        ..entry.clone()
    };
    membership.record_report(late, base::clock::Millis(7));
    let again = membership::HostReport {
        boot_id: 2,
        ..entry
    };
    membership.record_report(again, base::clock::Millis(8));
    assert_eq!(membership.window_counts(3).get(&team), Some(&4));
}
