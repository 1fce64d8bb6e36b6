//! The choice of an upstream.

use std::collections;

use base::{clock, name};
use router::{fleet, model, ports, stream_class};

fn place() -> fleet::Location {
    let regions = [("a", "x"), ("b", "x"), ("c", "y")];
    fleet::Location {
        dc: "a".into(),
        regions: regions
            .iter()
            .map(|(d, r)| ((*d).into(), (*r).into()))
            .collect(),
    }
}

fn upstream(name: &str, dc: &str, n: u8) -> model::Upstream {
    model::Upstream {
        name: name.into(),
        service: "llm".into(),
        address: ([10, 0, 0, n], 80).into(),
        dc: dc.into(),
        state: model::UpstreamState::Ready,
        preemptible: false,
        started_at: 1,
    }
}

fn fleet(n: u8) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(place());
    for i in 0..n {
        let dc = ["a", "b", "c"][usize::from(i % 3)];
        fleet.put(upstream(&format!("u{i}"), dc, i));
    }
    fleet
}

fn parts(shared: u64, own: u64) -> Vec<ports::PromptPart> {
    vec![
        ports::PromptPart {
            id: shared,
            tokens: 13_000,
        },
        ports::PromptPart {
            id: own,
            tokens: 3_000,
        },
    ]
}

fn wish<'a>(
    service: &'a name::Service,
    parts: &'a [ports::PromptPart],
    band: stream_class::StreamClass,
) -> fleet::Criteria<'a> {
    fleet::Criteria {
        service,
        prompt_parts: parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        stream_class: band,
        excluded: &[],
    }
}

const NOW: clock::Millis = clock::Millis(100_000);

#[test]
fn hosts_agree_where_a_shared_part_is_kept() {
    let service = name::Service::from("llm");
    let here = fleet(12);
    let mut there = fleet::Fleet::new(fleet::Location {
        dc: "b".into(),
        ..place()
    });
    for i in (0..12).rev() {
        let dc = ["a", "b", "c"][usize::from(i % 3)];
        there.put(upstream(&format!("u{i}"), dc, i));
    }
    let mut used = collections::HashSet::new();
    for id in 0..200 {
        let parts = parts(id, 1_000 + id);
        let wish = wish(&service, &parts, stream_class::StreamClass::Other);
        let pick = here.select(&wish, NOW).map(|p| p.name);
        assert_eq!(pick, there.select(&wish, NOW).map(|p| p.name), "part {id}");
        used.extend(pick);
    }
    assert!(used.len() >= 6, "parts are spread: {used:?}");
}

#[test]
fn most_shared_parts_stay_when_an_upstream_goes() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let home = |fleet: &fleet::Fleet, id| {
        let parts = parts(id, 1_000 + id);
        fleet
            .select(
                &wish(&service, &parts, stream_class::StreamClass::Other),
                NOW,
            )
            .map(|p| p.name)
    };
    let before: Vec<_> = (0..300).map(|id| home(&fleet, id)).collect();
    fleet.remove(&"u4".into());
    let moved = (0..300)
        .filter(|id| home(&fleet, *id) != before[*id as usize])
        .count();
    assert!(moved <= 300 / 4, "{moved} of 300 moved");
}

#[test]
fn streams_of_different_bands_go_to_different_engines() {
    let service = name::Service::from("llm");
    let fleet = fleet(12);
    let chosen = |band| -> collections::HashSet<name::Upstream> {
        let pick = |id| {
            let parts = parts(id, 1_000 + id);
            fleet
                .select(&wish(&service, &parts, band), NOW)
                .map(|p| p.name)
        };
        (0..200).filter_map(pick).collect()
    };
    let [quick, once, other] = [
        stream_class::StreamClass::ShortGap,
        stream_class::StreamClass::NotResumable,
        stream_class::StreamClass::Other,
    ]
    .map(chosen);
    assert!(quick.is_disjoint(&once) && quick.is_disjoint(&other) && once.is_disjoint(&other));
}

/// An engine that a host had not seen counted as fast: when all were slow, prompts left the engines
/// that kept their shared parts for any that was not seen, and were read whole there.
#[test]
fn prompts_stay_where_they_are_kept_while_all_engines_are_slow() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let home = |fleet: &fleet::Fleet, id| {
        let parts = parts(id, 1_000 + id);
        let pick = fleet.select(
            &wish(&service, &parts, stream_class::StreamClass::Other),
            NOW,
        );
        pick.map(|p| p.name)
    };
    let homes: Vec<_> = (0..100).filter_map(|id| home(&fleet, id)).collect();
    let unseen = homes[0].clone();
    for _ in 0..20 {
        for name in fleet.names().iter().filter(|n| **n != unseen) {
            fleet.record_success(name, 20.0, NOW);
        }
    }
    let moved = (0..100)
        .filter(|id| home(&fleet, *id).as_ref() != homes.get(*id as usize))
        .count();
    assert_eq!(moved, 0);
}

/// On a site of many hosts a wait that all engines made long was taken for silence of one of them.
#[test]
fn a_wait_is_likely_to_be_as_long_as_is_usual() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let parts = parts(1, 2);
    let pick = |fleet: &fleet::Fleet| {
        let wish = wish(&service, &parts, stream_class::StreamClass::Other);
        fleet
            .select(&wish, NOW)
            .map(|p| (p.name, p.base_latency, p.likely_latency))
    };
    let (home, expected, likely) = pick(&fleet).unwrap();
    assert_eq!(expected, likely);
    for _ in 0..20 {
        for name in fleet.names().iter().filter(|n| **n != home) {
            fleet.record_success(name, 10.0, NOW);
        }
    }
    let (same, expected, likely) = pick(&fleet).unwrap();
    assert_eq!(same, home, "which was not seen");
    assert!(likely.0 >= 5 * expected.0, "{likely:?}");
}

/// What spills to engines of streams with short pauses was chosen without regard to its length.
#[test]
fn short_prompts_spill_to_engines_of_short_pauses_before_long_ones() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let prompt = |tokens| vec![ports::PromptPart { id: 9, tokens }];
    let pick = |fleet: &fleet::Fleet, parts: &[ports::PromptPart]| {
        let wish = wish(&service, parts, stream_class::StreamClass::Other);
        fleet.select(&wish, NOW)
    };
    let band = |fleet: &fleet::Fleet, tokens| {
        pick(fleet, &prompt(tokens)).map(|p| p.details.upstream_class)
    };
    // All other engines are 1.3 s behind.
    let behind = prompt(150_000);
    while let Some(pick) = pick(&fleet, &behind) {
        if fleet.get(&pick.name).is_some_and(|m| m.unread_tokens > 0) {
            break;
        }
        fleet.record_sent(&pick, &behind, NOW);
    }
    assert_eq!(
        band(&fleet, 2_000),
        Some(stream_class::StreamClass::ShortGap)
    );
    assert_ne!(
        band(&fleet, 17_000),
        Some(stream_class::StreamClass::ShortGap)
    );
}

#[test]
fn leaving_and_avoided_upstreams_are_not_chosen() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(2);
    let mut leaving = upstream("u0", "a", 0);
    leaving.state = model::UpstreamState::Leaving;
    fleet.put(leaving);
    let parts = parts(1, 2);
    let first = fleet.select(
        &wish(&service, &parts, stream_class::StreamClass::Other),
        NOW,
    );
    assert_eq!(first.map(|p| p.name), Some("u1".into()));
    let avoid = [name::Upstream::from("u1")];
    let second = fleet::Criteria {
        excluded: &avoid,
        ..wish(&service, &parts, stream_class::StreamClass::Other)
    };
    assert_eq!(fleet.select(&second, NOW), None);
}

#[test]
fn a_failing_upstream_is_set_aside_and_comes_back() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(2);
    let none: [ports::PromptPart; 0] = [];
    let wish = wish(&service, &none, stream_class::StreamClass::Other);
    let near = fleet.select(&wish, NOW).map(|p| p.name);
    assert_eq!(near, Some("u0".into()));
    for _ in 0..3 {
        fleet.record_failure(&"u0".into(), NOW);
    }
    assert_eq!(fleet.select(&wish, NOW).map(|p| p.name), Some("u1".into()));
    for _ in 0..60 {
        fleet.record_success(&"u0".into(), 1.0, NOW);
    }
    assert_eq!(fleet.select(&wish, NOW).map(|p| p.name), Some("u0".into()));
}

#[test]
fn a_new_start_under_an_old_name_is_another_upstream() {
    let mut fleet = fleet(1);
    let pick = fleet::Selection {
        name: "u0".into(),
        address: ([10, 0, 0, 0], 80).into(),
        unread_tokens: 5,
        base_latency: clock::Millis(50),
        likely_latency: clock::Millis(50),
        details: fleet::Details::default(),
    };
    fleet.record_sent(&pick, &[], NOW);
    let mut again = upstream("u0", "a", 0);
    again.started_at = 2;
    fleet.put(again);
    assert_eq!(
        fleet
            .get(&"u0".into())
            .map(|m| (m.in_flight, m.unread_tokens)),
        Some((0, 0))
    );
}
