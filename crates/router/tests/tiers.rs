//! How urgent a request is: its team's tier, then its route's.

mod env;

use std::collections;
use std::rc;

use base::clock;
use base::name;
use router::model;

const LIMITS: model::Limits = model::Limits {
    head_bytes: 1_000,
    body_bytes: 1_000,
    head_timeout: clock::Millis(1_000),
    idle_timeout: clock::Millis(1_000),
};

fn route(tier: u8) -> model::Route {
    model::Route {
        path_prefix: format!("/{tier}/"),
        tier,
        ..env::route()
    }
}

fn team(tier: Option<u8>) -> model::Team {
    model::Team {
        name: name::Team::from("t"),
        tier,
    }
}

fn config(routes: &[u8], teams: &[Option<u8>]) -> model::Config {
    let mut keys = collections::HashMap::new();
    for (n, &tier) in teams.iter().enumerate() {
        keys.insert(format!("k{n}"), rc::Rc::new(team(tier)));
    }
    let routes = routes.iter().map(|&t| route(t)).collect();
    model::Config::new(1, routes, Vec::new(), LIMITS, Some(keys))
}

/// Requests of one team had one tier whatever their route: engines preempted the urgent ones of a
/// team and ran its other ones on.
#[test]
fn routes_are_told_apart_within_a_team_tier() {
    let config = config(&[0, 1, 2, 2], &[Some(0), Some(1), Some(1)]);
    let tier = |t, r| config.tier(Some(&team(Some(t))), &route(r));
    assert_eq!([tier(0, 0), tier(0, 1), tier(0, 2)], [0, 1, 2]);
    assert_eq!([tier(1, 0), tier(1, 1), tier(1, 2)], [3, 4, 5]);
}

#[test]
fn routes_alone_decide_without_team_tiers() {
    let config = config(&[0, 3, 7], &[None, None]);
    let tiers = [0, 3, 7].map(|r| config.tier(Some(&team(None)), &route(r)));
    assert_eq!(tiers, [0, 1, 2]);
    assert_eq!(config.tier(None, &route(7)), 2, "a public route");
}

#[test]
fn more_combinations_than_tiers_keep_their_order() {
    let all: Vec<u8> = (0..8).collect();
    let teams: Vec<Option<u8>> = all.iter().map(|&t| Some(t)).collect();
    let config = config(&all, &teams);
    let mut last = 0;
    for &t in &all {
        for &r in &all {
            let tier = config.tier(Some(&team(Some(t))), &route(r));
            assert!(tier >= last, "team {t} route {r}");
            last = tier;
        }
    }
    assert_eq!(usize::from(last), model::TIER_COUNT - 1);
}
