//! Tests of requests that are limited to home regions.

mod env;

use std::collections;
use std::rc;

use base::{clock, name, refusal};
use router::{attempt, fleet, homes, location, model, ports, retry, selection, stream_class};
use smallvec::smallvec;

const NOW: clock::Millis = clock::Millis(100_000);

/// Host in the data centre `a`; `a` and `b` are in the region `x`, `c` is in `y`.
fn location() -> location::Location {
    let regions = [("a", "x"), ("b", "x"), ("c", "y")];
    let regions = regions.map(|(dc, region)| (dc.into(), region.into()));
    location::Location {
        dc: "a".into(),
        regions: regions.into(),
    }
}

/// Fleet with six upstreams in each data centre, named after it.
fn fleet() -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(location(), clock::Millis(2_500));
    for n in 0..6 {
        for dc in ["a", "b", "c"] {
            fleet.put(env::upstream(&format!("{dc}{n}"), dc));
        }
    }
    fleet
}

fn node() -> env::Node {
    let window = clock::Millis(5_000);
    let node = env::node_at(&env::Cluster::new(), "h", 1, window, location());
    *node.host.fleet.borrow_mut() = fleet();
    node
}

/// Guards against a limit that is only a cost: with half of the engines gone and long queues at the
/// others, requests went to the idle engines of the other region.
#[test]
fn home_region_that_loses_half_of_its_engines_serves_alone() {
    let service = name::Service::from("s");
    let homes = [name::Region::from("x")];
    let mut fleet = fleet();
    for n in 0..3 {
        for dc in ["a", "b"] {
            fleet.remove(&format!("{dc}{n}").as_str().into());
        }
    }
    let mut counts = collections::BTreeMap::new();
    for id in 0..600 {
        let part = |id, tokens| ports::PromptPart { id, tokens };
        let parts = [part(id % 40, 13_000), part(1_000 + id, 3_000)];
        let criteria = selection::Criteria {
            id: "q",
            service: &service,
            prompt_parts: &parts,
            prompt_tokens: 16_000,
            tier: 0,
            stream_class: stream_class::StreamClass::ALL[id as usize % 3],
            excluded: &[],
            homes: Some(&homes),
            is_retryable: true,
        };
        let selection = fleet.select(&criteria, NOW).expect("an upstream at home");
        fleet.record_sent(&selection, &parts, NOW);
        *counts.entry(selection.name).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 6, "{counts:?}");
    assert!(counts.keys().all(|n| !n.as_str().starts_with('c')));
    assert!(counts.values().all(|n| *n <= 200), "{counts:?}");
}

/// Guards against a last resort outside the homes, and against the refusal `no_upstream`, which does
/// not tell an operator that the homes are the cause.
#[test]
fn without_upstreams_at_home_a_request_is_refused() {
    env::run(|| async {
        let node = node();
        let names = node.host.fleet.borrow().names();
        for name in names.iter().filter(|n| !n.as_str().starts_with('c')) {
            node.host.fleet.borrow_mut().remove(name);
        }
        let mut fleet = node.host.fleet.borrow_mut();
        let process = fleet.get(&"c0".into()).expect("listed").process();
        fleet.announcements.record_leaving(process, node.host.now());
        drop(fleet);
        let mut limited = env::route();
        limited.homes = smallvec!["x".into()];
        let call = env::call(limited);
        let mut history = retry::AttemptHistory::default();
        let reason = retry::select_upstream(&node.host, &call, &mut history).unwrap_err();
        assert_eq!(reason, refusal::Reason::HomeUnavailable);
        assert_eq!(history.details.outside_homes, 6);
        let response = retry::refuse_after_attempts(&node.host, &call, &history, reason);
        assert_eq!(response.status(), 503);
        assert!(response.headers().contains_key("retry-after"));
        let open = env::call(env::route());
        let mut history = retry::AttemptHistory::default();
        assert!(retry::select_upstream(&node.host, &open, &mut history).is_ok());
    });
}

/// Guards against a retry or resumed stream that forgets the limit of the team or of the route.
#[test]
fn every_attempt_stays_in_the_regions_of_route_and_team() {
    env::run(|| async {
        let node = node();
        let mut route = env::route();
        route.homes = smallvec!["x".into(), "y".into()];
        route.max_attempts = 9;
        let team = model::Team {
            name: "t".into(),
            tier: None,
            homes: smallvec!["y".into(), "z".into()],
        };
        let call = attempt::Call {
            team: Some(rc::Rc::new(team)),
            ..env::call(route)
        };
        let mut history = retry::AttemptHistory::default();
        for _ in 0..6 {
            let selection = retry::select_upstream(&node.host, &call, &mut history);
            assert!(selection.is_ok_and(|s| s.name.as_str().starts_with('c')));
            let failure = attempt::Failure::Connect;
            retry::record_failure(&node.host, &call, &mut history, failure, false);
        }
        let reason = retry::select_upstream(&node.host, &call, &mut history).unwrap_err();
        assert_eq!(reason, refusal::Reason::HomeUnavailable);
    });
}

/// Guards against a mistake in a region's name that shows only in refused requests.
#[test]
fn homes_without_a_data_centre_are_reported_by_route_and_team() {
    env::run(|| async {
        let node = node();
        let mut route = env::route();
        route.homes = smallvec!["x".into(), "mars".into()];
        let team = rc::Rc::new(model::Team {
            name: "t".into(),
            tier: None,
            homes: smallvec!["venus".into()],
        });
        let keys = ["k1", "k2"].map(|key| (key.to_owned(), team.clone()));
        let limits = model::Limits {
            head_bytes: 1,
            body_bytes: 1,
            head_timeout: clock::Millis(1),
            idle_timeout: clock::Millis(1),
        };
        let config = model::Config::new(1, vec![route], Vec::new(), limits, Some(keys.into()));
        let unknown = homes::unknown(&node.host, &config);
        let expected = [
            ("route", "r", vec!["mars".into()]),
            ("team", "t", vec!["venus".into()]),
        ];
        assert_eq!(unknown, expected);
    });
}
