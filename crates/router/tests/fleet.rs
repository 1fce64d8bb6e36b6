//! Tests of the selection of an upstream.

use std::collections;

use base::{clock, name};
use router::{announcements, fleet, location, model, ports, selection, stream_class};

fn location() -> location::Location {
    let regions = [("a", "x"), ("b", "x"), ("c", "y")];
    location::Location {
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
        cold_left: clock::Millis::ZERO,
        slots: 8,
    }
}

fn fleet(n: u8) -> fleet::Fleet {
    let mut fleet = fleet::Fleet::new(location(), clock::Millis(2_500));
    for i in 0..n {
        let dc = ["a", "b", "c"][usize::from(i % 3)];
        fleet.put(upstream(&format!("u{i}"), dc, i));
    }
    fleet
}

fn parts(shared_id: u64, own_id: u64) -> Vec<ports::PromptPart> {
    vec![
        ports::PromptPart {
            id: shared_id,
            tokens: 13_000,
        },
        ports::PromptPart {
            id: own_id,
            tokens: 3_000,
        },
    ]
}

fn criteria<'a>(
    service: &'a name::Service,
    parts: &'a [ports::PromptPart],
    stream_class: stream_class::StreamClass,
) -> selection::Criteria<'a> {
    selection::Criteria {
        service,
        prompt_parts: parts,
        prompt_tokens: parts.iter().map(|p| p.tokens).sum(),
        tier: 0,
        stream_class,
        excluded: &[],
        homes: None,
        is_retryable: true,
        id: "r",
    }
}

const NOW: clock::Millis = clock::Millis(100_000);

#[test]
fn hosts_agree_on_the_upstream_of_a_shared_prefix() {
    let service = name::Service::from("llm");
    let fleet_a = fleet(12);
    let mut fleet_b = fleet::Fleet::new(
        location::Location {
            dc: "b".into(),
            ..location()
        },
        clock::Millis(2_500),
    );
    for i in (0..12).rev() {
        let dc = ["a", "b", "c"][usize::from(i % 3)];
        fleet_b.put(upstream(&format!("u{i}"), dc, i));
    }
    let mut used = collections::HashSet::new();
    for id in 0..200 {
        let parts = parts(id, 1_000 + id);
        let criteria = criteria(&service, &parts, stream_class::StreamClass::Other);
        let selection = fleet_a.select(&criteria, NOW).map(|p| p.name);
        assert_eq!(
            selection,
            fleet_b.select(&criteria, NOW).map(|p| p.name),
            "prefix {id}"
        );
        used.extend(selection);
    }
    assert!(used.len() >= 6, "prefixes are not spread: {used:?}");
}

#[test]
fn most_prefixes_keep_their_upstream_when_another_is_removed() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let preferred = |fleet: &fleet::Fleet, id| {
        let parts = parts(id, 1_000 + id);
        fleet
            .select(
                &criteria(&service, &parts, stream_class::StreamClass::Other),
                NOW,
            )
            .map(|p| p.name)
    };
    let before: Vec<_> = (0..300).map(|id| preferred(&fleet, id)).collect();
    fleet.remove(&"u4".into());
    let moved = (0..300)
        .filter(|id| preferred(&fleet, *id) != before[*id as usize])
        .count();
    assert!(moved <= 300 / 4, "{moved} of 300 moved");
}

#[test]
fn streams_of_different_classes_go_to_different_engines() {
    let service = name::Service::from("llm");
    let fleet = fleet(12);
    let selected = |stream_class| -> collections::HashSet<name::Upstream> {
        let selection = |id| {
            let parts = parts(id, 1_000 + id);
            fleet
                .select(&criteria(&service, &parts, stream_class), NOW)
                .map(|p| p.name)
        };
        (0..200).filter_map(selection).collect()
    };
    let [short_gap, not_resumable, other] = [
        stream_class::StreamClass::ShortGap,
        stream_class::StreamClass::NotResumable,
        stream_class::StreamClass::Other,
    ]
    .map(selected);
    assert!(
        short_gap.is_disjoint(&not_resumable)
            && short_gap.is_disjoint(&other)
            && not_resumable.is_disjoint(&other)
    );
}

/// Guards against treating an engine without measurements as fast. When all engines were slow,
/// prompts then left the engines that had their prefix cached for one without measurements, which
/// had to process them whole.
#[test]
fn prompts_stay_with_their_cached_prefix_while_all_engines_are_slow() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let preferred = |fleet: &fleet::Fleet, id| {
        let parts = parts(id, 1_000 + id);
        let selection = fleet.select(
            &criteria(&service, &parts, stream_class::StreamClass::Other),
            NOW,
        );
        selection.map(|p| p.name)
    };
    let all_preferred: Vec<_> = (0..100).filter_map(|id| preferred(&fleet, id)).collect();
    let unmeasured = all_preferred[0].clone();
    for _ in 0..20 {
        for name in fleet.names().iter().filter(|n| **n != unmeasured) {
            fleet.record_success(name, 20.0, NOW);
        }
    }
    let moved = (0..100)
        .filter(|id| preferred(&fleet, *id).as_ref() != all_preferred.get(*id as usize))
        .count();
    assert_eq!(moved, 0);
}

/// Guards against a likely latency that ignores general load. With many hosts, a wait that was as
/// long at every engine was then taken for a stall of a single one.
#[test]
fn the_likely_latency_follows_the_typical_slowdown() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let parts = parts(1, 2);
    let selection = |fleet: &fleet::Fleet| {
        let criteria = criteria(&service, &parts, stream_class::StreamClass::Other);
        fleet
            .select(&criteria, NOW)
            .map(|p| (p.name, p.base_latency, p.likely_latency))
    };
    let (preferred, base_latency, likely_latency) = selection(&fleet).unwrap();
    assert_eq!(base_latency, likely_latency);
    for _ in 0..20 {
        for name in fleet.names().iter().filter(|n| **n != preferred) {
            fleet.record_success(name, 10.0, NOW);
        }
    }
    let (same, base_latency, likely_latency) = selection(&fleet).unwrap();
    assert_eq!(same, preferred, "the engine without measurements");
    assert!(likely_latency.0 >= 5 * base_latency.0, "{likely_latency:?}");
}

/// Guards against a fixed cost of running other requests on the engines of short-gap streams, which
/// sent long prompts there as readily as short ones.
#[test]
fn short_prompts_spill_to_short_gap_engines_before_long_ones() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(12);
    let prompt = |tokens| vec![ports::PromptPart { id: 9, tokens }];
    let selection = |fleet: &fleet::Fleet, parts: &[ports::PromptPart]| {
        let criteria = criteria(&service, parts, stream_class::StreamClass::Other);
        fleet.select(&criteria, NOW)
    };
    let upstream_class = |fleet: &fleet::Fleet, tokens| {
        selection(fleet, &prompt(tokens)).map(|p| p.details.upstream_class)
    };
    // The queues of all other engines are 1.3 s long.
    let long_prompt = prompt(150_000);
    while let Some(selection) = selection(&fleet, &long_prompt) {
        if fleet
            .get(&selection.name)
            .is_some_and(|tracked| tracked.unread_tokens > 0)
        {
            break;
        }
        fleet.record_sent(&selection, &long_prompt, NOW);
    }
    assert_eq!(
        upstream_class(&fleet, 2_000),
        Some(stream_class::StreamClass::ShortGap)
    );
    assert_ne!(
        upstream_class(&fleet, 17_000),
        Some(stream_class::StreamClass::ShortGap)
    );
}

#[test]
fn leaving_and_excluded_upstreams_are_not_selected() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(2);
    let mut leaving = upstream("u0", "a", 0);
    leaving.state = model::UpstreamState::Leaving;
    fleet.put(leaving);
    let parts = parts(1, 2);
    let first = fleet.select(
        &criteria(&service, &parts, stream_class::StreamClass::Other),
        NOW,
    );
    assert_eq!(first.map(|p| p.name), Some("u1".into()));
    let excluded = [name::Upstream::from("u1")];
    let second = selection::Criteria {
        excluded: &excluded,
        ..criteria(&service, &parts, stream_class::StreamClass::Other)
    };
    assert_eq!(fleet.select(&second, NOW), None);
}

#[test]
fn a_failing_upstream_is_avoided_until_it_recovers() {
    let service = name::Service::from("llm");
    let mut fleet = fleet(2);
    let none: [ports::PromptPart; 0] = [];
    let criteria = criteria(&service, &none, stream_class::StreamClass::Other);
    let nearest = fleet.select(&criteria, NOW).map(|p| p.name);
    assert_eq!(nearest, Some("u0".into()));
    for _ in 0..3 {
        fleet.record_failure(&"u0".into(), NOW);
    }
    assert_eq!(
        fleet.select(&criteria, NOW).map(|p| p.name),
        Some("u1".into())
    );
    for _ in 0..60 {
        fleet.record_success(&"u0".into(), 1.0, NOW);
    }
    assert_eq!(
        fleet.select(&criteria, NOW).map(|p| p.name),
        Some("u0".into())
    );
}

#[test]
fn a_restarted_upstream_starts_with_empty_counters() {
    let mut fleet = fleet(1);
    let selection = selection::Selection {
        name: "u0".into(),
        process: announcements::Process {
            id: 0,
            has_start: false,
        },
        address: ([10, 0, 0, 0], 80).into(),
        unread_tokens: 5,
        base_latency: clock::Millis(50),
        likely_latency: clock::Millis(50),
        details: selection::Details::default(),
    };
    fleet.record_sent(&selection, &[], NOW);
    let mut restarted = upstream("u0", "a", 0);
    restarted.started_at = 2;
    fleet.put(restarted);
    assert_eq!(
        fleet
            .get(&"u0".into())
            .map(|tracked| (tracked.in_flight, tracked.unread_tokens)),
        Some((0, 0))
    );
}
