//! Tests of data centres that operators drain.

mod env;

use std::collections;
use std::rc;

use base::{clock, name};
use env::hosts::{registration, start_hosts, start_hosts_at, start_tasks};
use router::{dc_drain, fleet, location, ports, revision, selection, store_watch, stream_class};
use tokio::task;

/// Time within which a host in contact knows of a drain: the deadline for changes of the test hosts.
const CHANGE_DEADLINE_MS: u64 = 2_500;
const DRAIN_DEADLINE: clock::Millis = clock::Millis(5_000);
const NOW: clock::Millis = clock::Millis(100_000);

fn cluster() -> rc::Rc<env::Cluster> {
    let cluster = env::Cluster::new();
    cluster.dc_drain_deadline.set(Some(DRAIN_DEADLINE));
    cluster.put("config", "1");
    cluster.put("up/a", "ready 1 1 a");
    cluster.put("up/b", "ready 2 1 b");
    cluster
}

fn start(cluster: &rc::Rc<env::Cluster>) -> env::Node {
    let location = location::Location {
        dc: "a".into(),
        regions: ["a", "b"].map(|dc| (dc.into(), "r".into())).into(),
    };
    let node = env::node_at(cluster, "h", 1, clock::Millis(5_000), location);
    task::spawn_local(store_watch::watch_config(node.host.clone()));
    task::spawn_local(store_watch::watch_upstreams(node.host.clone()));
    node
}

/// Data centres that a request without home regions may go to.
fn used(node: &env::Node) -> Vec<String> {
    let service = name::Service::from("s");
    let fleet = node.host.fleet.borrow();
    let mut excluded = Vec::new();
    while let Some(selection) = fleet.select(&plain(&service, &excluded), node.host.now()) {
        excluded.push(selection.name);
    }
    let mut used: Vec<String> = excluded.iter().map(ToString::to_string).collect();
    used.sort();
    used
}

fn plain<'a>(
    service: &'a name::Service,
    excluded: &'a [name::Upstream],
) -> selection::Criteria<'a> {
    selection::Criteria {
        id: "q",
        service,
        prompt_parts: &[],
        prompt_tokens: 0,
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        excluded,
        homes: None,
        is_retryable: true,
    }
}

/// Sends prompts that do not end and returns how many each data centre got.
fn send_prompts(fleet: &mut fleet::Fleet, count: u64) -> collections::BTreeMap<name::Dc, u64> {
    let service = name::Service::from("s");
    let mut counts = collections::BTreeMap::new();
    for id in 0..count {
        let part = |id, tokens| ports::PromptPart { id, tokens };
        let parts = [part(id % 60, 4_000), part(1_000 + id, 1_000)];
        let criteria = selection::Criteria {
            prompt_parts: &parts,
            prompt_tokens: 5_000,
            stream_class: stream_class::StreamClass::ALL[id as usize % 3],
            ..plain(&service, &[])
        };
        let selection = fleet.select(&criteria, NOW).expect("an upstream");
        fleet.record_sent(&selection, &parts, NOW);
        let dc = fleet.get(&selection.name).expect("listed");
        *counts.entry(dc.upstream.dc.clone()).or_insert(0) += 1;
    }
    counts
}

/// Fleet of a host in the data centre `a1` with eight upstreams in each data centre; the region has the
/// first letter of its name.
fn large_fleet() -> fleet::Fleet {
    const DCS: [&str; 5] = ["a1", "a2", "a3", "b1", "b2"];
    let location = location::Location {
        dc: "a1".into(),
        regions: DCS.map(|dc| (dc.into(), dc[..1].into())).into(),
    };
    let mut fleet = fleet::Fleet::new(location, clock::Millis(2_500));
    for dc in DCS {
        for n in 0..8 {
            fleet.put(env::upstream(&format!("{dc}-{n}"), dc));
        }
    }
    fleet
}

/// Guards against a prefix that stays assigned to an upstream of the drained data centre, so that hosts
/// do not agree on another one and each reads it again.
#[test]
fn prefixes_get_other_upstreams_during_a_drain() {
    let service = name::Service::from("s");
    let mut fleet = large_fleet();
    fleet.begin_dc_drain(&"a1".into());
    for id in 0..60 {
        let parts = [id, 1_000 + id].map(|id| ports::PromptPart { id, tokens: 4_000 });
        let criteria = selection::Criteria {
            prompt_parts: &parts,
            prompt_tokens: 8_000,
            ..plain(&service, &[])
        };
        let selection = fleet.select(&criteria, NOW).expect("an upstream");
        assert!(selection.details.prefix_cached, "prefix {id}");
    }
}

/// Guards against a drain whose load all goes to the nearest neighbour, and against engines of the
/// drained data centre that stay reserved for a class, which then has too few.
#[test]
fn load_of_data_centres_drained_at_the_peak_spreads_over_the_others() {
    let mut fleet = large_fleet();
    send_prompts(&mut fleet, 2_000);
    for (drained, max_share, classes) in [("a1", 0.35, [7, 6, 19]), ("a2", 0.45, [5, 4, 15])] {
        fleet.begin_dc_drain(&drained.into());
        let counts = send_prompts(&mut fleet, 2_000);
        assert!(!counts.contains_key(drained), "{counts:?}");
        let max = counts.values().max().copied().unwrap_or(0) as f64;
        assert!(max <= max_share * 2_000.0, "{counts:?}");
        let usable = stream_class::StreamClass::ALL.map(|class| {
            let names = fleet.names().into_iter().filter(|name| {
                let tracked = fleet.get(name).expect("listed");
                tracked.stream_class == class && !fleet.is_drained(&tracked.upstream.dc)
            });
            names.count()
        });
        assert_eq!(usable, classes, "engines of each class");
    }
    fleet.end_dc_drain(&"a1".into(), NOW);
    let counts = send_prompts(&mut fleet, 2_000);
    assert!(counts.contains_key("a1") && !counts.contains_key("a2"));
}

/// Guards against a last resort in a drained data centre: upstreams that leave were still used there.
#[test]
fn no_request_goes_to_a_drained_data_centre_as_a_last_resort() {
    env::run(|| async {
        let cluster = cluster();
        let node = start(&cluster);
        env::sleep_ms(50).await;
        for name in ["a", "b"] {
            let mut fleet = node.host.fleet.borrow_mut();
            let process = fleet.get(&name.into()).expect("listed").process();
            fleet.announcements.record_leaving(process, node.host.now());
        }
        assert_eq!(used(&node), ["a", "b"]);
        cluster.put("config/drain/a", "{}");
        env::sleep_ms(50).await;
        assert_eq!(used(&node), ["b"]);
        cluster.put("config/drain/b", "{}");
        env::sleep_ms(50).await;
        assert_eq!(used(&node), [""; 0]);
    });
}

/// Guards against an extra watch: its calls would cost the store as much again on each host.
#[test]
fn a_drain_takes_no_more_calls_than_the_configuration() {
    env::run(|| async {
        let mut calls = Vec::new();
        for deadline in [None, Some(DRAIN_DEADLINE)] {
            let cluster = cluster();
            cluster.dc_drain_deadline.set(deadline);
            let node = start(&cluster);
            env::sleep_ms(20_000).await;
            calls.push((node.read_calls.get(), node.watch_calls.get()));
            cluster.put("config/drain/a", "{}");
            env::sleep_ms(CHANGE_DEADLINE_MS).await;
            let is_drained = used(&node) == ["b"];
            assert_eq!(is_drained, deadline.is_some());
        }
        assert_eq!(calls[0], calls[1]);
    });
}

/// Guards against a host at the end of a chain that learns of the drain after the deadline, or not at
/// all: the sources of the others do not reach the store either.
#[test]
fn last_host_of_a_chain_learns_of_a_drain() {
    env::run_real_time(|| async {
        let cluster = cluster();
        let places = [("h1", "a"), ("h2", "b"), ("h3", "a"), ("h4", "b")];
        let nodes = start_hosts_at(&cluster, &places);
        start_tasks(&nodes[0]);
        for [source, node] in nodes.array_windows() {
            let items = [registration(source), registration(node)];
            let now = node.host.now();
            node.host.membership.borrow_mut().update_hosts(&items, now);
            node.store_mode.set(env::StoreMode::Unavailable);
            start_tasks(node);
        }
        env::hosts::wait_for("the chain", || {
            nodes
                .iter()
                .all(|n| n.host.is_ready() && n.host.learns_changes())
        })
        .await;
        for (key, expected) in [("a", vec!["b"]), ("b", vec![])] {
            cluster.put(&format!("config/drain/{key}"), "{}");
            env::sleep_ms(CHANGE_DEADLINE_MS).await;
            for node in &nodes {
                assert_eq!(used(node), expected, "{}", node.host.settings.host);
            }
        }
        cluster.remove("config/drain/b");
        env::sleep_ms(CHANGE_DEADLINE_MS).await;
        assert!(nodes.iter().all(|n| used(n) == ["b"]));
    });
}

/// Guards against a host that forgets a drain with the store, or that does not read the list again
/// when the store is back.
#[test]
fn host_keeps_the_last_known_drains_while_the_store_is_away() {
    for mode in [env::StoreMode::Unavailable, env::StoreMode::Silent] {
        env::run(|| async move {
            let cluster = cluster();
            cluster.put("config/drain/a", "{}");
            let node = start(&cluster);
            env::sleep_ms(50).await;
            assert_eq!(used(&node), ["b"]);
            node.store_mode.set(mode);
            env::sleep_ms(2_000).await;
            cluster.remove("config/drain/a");
            cluster.put("config/drain/b", "{}");
            cluster.compact();
            env::sleep_ms(8_000).await;
            assert_eq!(used(&node), ["b"], "the last known set is kept");
            node.store_mode.set(env::StoreMode::Available);
            env::sleep_ms(DRAIN_DEADLINE.0).await;
            assert_eq!(used(&node), ["a"]);
        });
    }
}

/// Guards against a host that serves before it knows the drains: it has a configuration and upstreams
/// from the store or from another host, in either order.
#[test]
fn restarted_host_knows_the_drains_before_it_serves() {
    env::run_real_time(|| async {
        let cluster = cluster();
        cluster.put("config/drain/a", "{}");
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3"]);
        for node in &nodes {
            start_tasks(node);
        }
        for node in &nodes {
            while !node.host.is_ready() {
                assert!(
                    node.config_version().is_none()
                        || node.host.fleet.borrow().is_drained(&"a".into())
                );
                env::sleep_ms(1).await;
            }
            assert_eq!(used(node), ["b"], "{}", node.host.settings.host);
        }
        assert!(nodes[2].read_calls.get() == 0, "from another host");
    });
}

/// Guards against a host whose watch ends with a suspension of its process and that goes on with what
/// it knew before.
#[test]
fn host_that_resumes_after_a_pause_learns_of_the_drain() {
    env::run(|| async {
        let cluster = cluster();
        let node = start(&cluster);
        env::sleep_ms(3_000).await;
        assert_eq!(used(&node), ["a", "b"]);
        cluster.put("config/drain/a", "{}");
        cluster.clock.advance(clock::Millis(8_000));
        env::sleep_ms(500).await;
        assert_eq!(used(&node), ["b"]);
    });
}

/// Guards against late messages of a slow host: they brought back a drain that was revoked, or undid
/// one that was set again.
#[test]
fn drain_revoked_and_set_again_out_of_order() {
    env::run(|| async {
        let cluster = cluster();
        let node = start(&cluster);
        env::sleep_ms(50).await;
        let at = revision::Revision::without_era;
        let relay = |number, dcs: &[&str]| {
            let dcs = dcs.iter().map(|dc| (*dc).into()).collect();
            dc_drain::apply_relayed(
                &node.host,
                dc_drain::DrainedDcs {
                    revision: at(number),
                    dcs,
                },
            );
        };
        let put = |number| {
            ports::WatchEvent::Put(ports::Item {
                key: "config/drain/a".to_owned(),
                value: b"{}".to_vec(),
                revision: at(number),
                created: at(number),
                lease: Some(0),
                fault: None,
            })
        };
        let removed = |number| ports::WatchEvent::Removed("config/drain/a".to_owned(), at(number));
        // Set at 10, revoked at 20, set again at 30.
        relay(20, &[]);
        relay(15, &["a"]);
        assert_eq!(used(&node), ["a", "b"], "a late set");
        dc_drain::apply_events(&node.host, &[put(10)], at(12));
        assert_eq!(used(&node), ["a", "b"], "a late event");
        dc_drain::apply_events(&node.host, &[put(10), removed(20), put(30)], at(30));
        assert_eq!(used(&node), ["b"]);
        relay(20, &[]);
        dc_drain::apply_events(&node.host, &[removed(20)], at(29));
        assert_eq!(used(&node), ["b"], "a late end");
        dc_drain::apply_list(&node.host, &[], at(25));
        assert_eq!(used(&node), ["b"], "a late list");
        relay(31, &["mars", "b"]);
        assert_eq!(used(&node), ["a"], "unknown names are ignored");
        dc_drain::apply_events(&node.host, &[put(30)], at(40));
        assert_eq!(used(&node), ["a"], "a late event of a later response");
    });
}

/// Guards against a mistake of an operator that stops the watch or the whole system.
#[test]
fn odd_keys_drain_nothing_and_odd_values_drain() {
    env::run(|| async {
        let cluster = cluster();
        for key in ["mars", "", "a/b", &"x".repeat(9_000)] {
            cluster.put(&format!("config/drain/{key}"), "{}");
        }
        let node = start(&cluster);
        env::sleep_ms(50).await;
        assert_eq!(used(&node), ["a", "b"]);
        cluster.put("config/drain/a", "no JSON");
        cluster.put("config/drains", "{}");
        cluster.put("config", "2");
        env::sleep_ms(CHANGE_DEADLINE_MS).await;
        assert_eq!(used(&node), ["b"]);
        assert_eq!(node.config_version(), Some(2));
    });
}
