//! Tests of request tiers, which follow from the team's tier and then the route's.

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
        homes: model::Homes::new(),
    }
}

fn config(routes: &[u8], teams: &[Option<u8>]) -> model::Config {
    let mut teams_by_key = collections::HashMap::new();
    for (n, &tier) in teams.iter().enumerate() {
        teams_by_key.insert(format!("k{n}"), rc::Rc::new(team(tier)));
    }
    let routes = routes.iter().map(|&t| route(t)).collect();
    model::Config::new(1, routes, Vec::new(), LIMITS, Some(teams_by_key))
}

/// Guards against one tier for all requests of a team, whatever their route. Engines then preempted
/// the urgent requests of a team while its less urgent ones ran on.
#[test]
fn route_tiers_are_distinguished_within_a_team_tier() {
    let config = config(&[0, 1, 2, 2], &[Some(0), Some(1), Some(1)]);
    let tier = |t, r| config.tier(Some(&team(Some(t))), &route(r));
    assert_eq!([tier(0, 0), tier(0, 1), tier(0, 2)], [0, 1, 2]);
    assert_eq!([tier(1, 0), tier(1, 1), tier(1, 2)], [3, 4, 5]);
}

#[test]
fn only_route_tiers_count_without_team_tiers() {
    let config = config(&[0, 3, 7], &[None, None]);
    let tiers = [0, 3, 7].map(|r| config.tier(Some(&team(None)), &route(r)));
    assert_eq!(tiers, [0, 1, 2]);
    assert_eq!(config.tier(None, &route(7)), 2, "a public route");
}

#[test]
fn order_is_kept_with_more_combinations_than_tiers() {
    let all_tiers: Vec<u8> = (0..8).collect();
    let teams: Vec<Option<u8>> = all_tiers.iter().map(|&team_tier| Some(team_tier)).collect();
    let config = config(&all_tiers, &teams);
    let mut previous = 0;
    for &team_tier in &all_tiers {
        for &route_tier in &all_tiers {
            let tier = config.tier(Some(&team(Some(team_tier))), &route(route_tier));
            assert!(tier >= previous, "team {team_tier} route {route_tier}");
            previous = tier;
        }
    }
    assert_eq!(usize::from(previous), model::TIER_COUNT - 1);
}
