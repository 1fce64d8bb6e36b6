//! Tests of the regions and data centres in which a request may be served.

use std::collections;

use base::name;
use policy::placement;

/// Homes of a route, homes of a team, and the regions allowed by both.
type Case<'a> = (&'a [&'a str], &'a [&'a str], Option<&'a [&'a str]>);

fn regions(names: &[&str]) -> Vec<name::Region> {
    names.iter().map(|n| (*n).into()).collect()
}

/// Guards against a team's homes that lift the limit of a route, or the other way round.
#[test]
fn a_request_is_limited_by_its_route_and_its_team() {
    let cases: [Case<'_>; 6] = [
        (&[], &[], None),
        (&["x"], &[], Some(&["x"])),
        (&[], &["x", "y"], Some(&["x", "y"])),
        (&["x", "y"], &["y", "z"], Some(&["y"])),
        (&["x"], &["y"], Some(&[])),
        (&["x", "y"], &["y", "x"], Some(&["x", "y"])),
    ];
    for (route, team, expected) in cases {
        let allowed = placement::allowed_regions(&regions(route), &regions(team));
        let expected = expected.map(regions);
        assert_eq!(
            allowed.as_deref(),
            expected.as_deref(),
            "{route:?} {team:?}"
        );
    }
}

/// Guards against the use of a data centre whose region is not configured, which may be anywhere.
#[test]
fn only_data_centres_of_the_homes_serve_a_limited_request() {
    let homes = regions(&["x"]);
    let none = collections::BTreeSet::new();
    let dc = name::Dc::from("a");
    let exclusion = |homes: Option<&[name::Region]>, region: Option<&str>| {
        placement::exclusion(homes, &none, &dc, region.map(name::Region::from).as_ref())
    };
    let outside = Some(placement::Exclusion::OutsideHomes);
    assert_eq!(exclusion(Some(&homes), Some("x")), None);
    assert_eq!(exclusion(Some(&homes), Some("y")), outside);
    assert_eq!(exclusion(Some(&homes), None), outside);
    assert_eq!(exclusion(Some(&[]), Some("x")), outside);
    assert_eq!(exclusion(None, None), None);
}

/// Guards against a drain that only applies to requests without home regions.
#[test]
fn a_drained_data_centre_serves_no_request() {
    let homes = regions(&["x"]);
    let (a, b) = (name::Dc::from("a"), name::Dc::from("b"));
    let drained = collections::BTreeSet::from([a.clone()]);
    let region = name::Region::from("x");
    for homes in [None, Some(&homes[..])] {
        let exclusion = |dc| placement::exclusion(homes, &drained, dc, Some(&region));
        assert_eq!(exclusion(&a), Some(placement::Exclusion::Drained));
        assert_eq!(exclusion(&b), None);
    }
}

#[test]
fn homes_without_a_data_centre_are_found() {
    let known = [("a".into(), "x".into()), ("b".into(), "y".into())].into();
    let homes = regions(&["y", "mars", "x", "venus"]);
    let unknown: Vec<&str> = placement::unknown_homes(&homes, &known)
        .iter()
        .map(|home| home.as_str())
        .collect();
    assert_eq!(unknown, ["mars", "venus"]);
}
