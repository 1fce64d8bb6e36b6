//! Tests of the speeds of the digest in the selection of an upstream.

use base::{clock, name};
use policy::engine_classes;
use router::{digest, fleet, location, model, ports, selection, stream_class};

const NOW: clock::Millis = clock::Millis(100_000);
const ALL_OTHER: engine_classes::Shares = [0, 0, 1_000];

fn fleet(count: u8) -> fleet::Fleet {
    let location = location::Location {
        dc: "a".into(),
        regions: [("a".into(), "x".into())].into(),
    };
    let mut fleet = fleet::Fleet::new(location, clock::Millis(2_500));
    for n in 0..count {
        fleet.put(model::Upstream {
            name: format!("u{n}").as_str().into(),
            service: "llm".into(),
            address: ([10, 0, 0, n], 80).into(),
            dc: "a".into(),
            state: model::UpstreamState::Ready,
            preemptible: false,
            started_at: 1,
            cold_left: clock::Millis::ZERO,
            slots: 8,
        });
    }
    fleet
}

fn select(fleet: &fleet::Fleet, prefix: u64, prefix_tokens: u32) -> selection::Selection {
    let own = ports::PromptPart {
        id: 1_000_000 + prefix,
        tokens: 4_000,
    };
    let shared = ports::PromptPart {
        id: prefix,
        tokens: prefix_tokens,
    };
    let criteria = selection::Criteria {
        id: "q",
        service: &"llm".into(),
        prompt_parts: &[shared, own],
        prompt_tokens: own.tokens + prefix_tokens,
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        excluded: &[],
        homes: None,
        is_retryable: true,
    };
    fleet.select(&criteria, NOW).expect("an upstream")
}

/// Load of a deployment where one engine in four has a speed of 0.55: it got as many prefixes as the
/// others. The prefixes of the others must stay where they are.
#[test]
fn slow_engine_gets_fewer_prefixes() {
    let mut fleet = fleet(8);
    fleet.set_figures(&"llm".into(), ALL_OTHER, Vec::new());
    let engines = |fleet: &fleet::Fleet| -> Vec<_> {
        let prefixes = 0..4_000;
        prefixes.map(|p| select(fleet, p, 60_000).name).collect()
    };
    let before = engines(&fleet);
    let slow = name::Upstream::from("u3");
    let speeds = vec![(digest::engine_id(&slow), 50)];
    fleet.set_figures(&"llm".into(), ALL_OTHER, speeds);
    let after = engines(&fleet);
    let count = |names: &[name::Upstream]| names.iter().filter(|n| **n == slow).count();
    assert!((420..=580).contains(&count(&before)), "{}", count(&before));
    assert!((200..=330).contains(&count(&after)), "{}", count(&after));
    let mut pairs = before.iter().zip(&after);
    assert!(pairs.all(|(before, after)| before == after || *before == slow));
}

/// Guards against a slow engine that is chosen as readily as others for a prompt without a cached
/// prefix, and against an estimate of its latency that ignores its speed.
#[test]
fn cost_and_latency_follow_the_speed() {
    let mut fleet = fleet(2);
    let first = select(&fleet, 1, 0);
    let speeds = vec![(digest::engine_id(&first.name), 50)];
    fleet.set_figures(&"llm".into(), ALL_OTHER, speeds.clone());
    assert_ne!(select(&fleet, 1, 0).name, first.name);
    let other = select(&fleet, 1, 0).name;
    fleet.remove(&other);
    let slow = select(&fleet, 1, 0);
    assert_eq!(slow.base_latency.0 / 10, first.base_latency.0 * 2 / 10);
}

/// Load of engines that process 64 tokens per millisecond, not 112: guards against an expected latency
/// that the measured slowdown doesn't correct.
#[test]
fn slowdown_corrects_the_estimate_for_slower_engines() {
    const ACTUAL_RATE: u64 = 64;
    let mut fleet = fleet(6);
    let actual_ms = |s: &selection::Selection| 50 + s.unread_tokens / ACTUAL_RATE;
    for prefix in 0..300 {
        let selection = select(&fleet, prefix, 0);
        let ratio = actual_ms(&selection) as f64 / selection.base_latency.0 as f64;
        fleet.record_success(&selection.name, ratio, NOW);
    }
    let selection = select(&fleet, 5, 0);
    let error = selection.likely_latency.0 as f64 / actual_ms(&selection) as f64;
    assert!((0.9..1.1).contains(&error), "{error}");
}

/// Load of engines on machines shared with others, which are slow for some hundred milliseconds at a
/// time. A report must not keep requests away for longer, and an absurd one not at all times.
#[test]
fn machine_that_is_slow_for_some_hundred_milliseconds() {
    let report = |percent| ports::LoadReport {
        running: 0,
        waiting: 0,
        slots: 64,
        slowdown_percent: percent,
    };
    let mut fleet = fleet(2);
    let first = select(&fleet, 1, 0).name;
    fleet.record_load(&first, report(None), NOW);
    assert_eq!(select(&fleet, 1, 0).name, first, "no figure");
    fleet.record_load(&first, report(Some(250)), NOW);
    assert_ne!(select(&fleet, 1, 0).name, first);
    let slowdown = |age_ms| {
        let load = &fleet.get(&first).expect("an upstream").reported_load;
        load.machine_slowdown(NOW + clock::Millis(age_ms))
    };
    assert!(slowdown(0) == 2.5 && slowdown(200) == 1.75 && slowdown(700) == 1.0);
    fleet.record_load(&first, report(Some(u32::MAX)), NOW);
    let load = &fleet.get(&first).expect("an upstream").reported_load;
    assert_eq!(load.machine_slowdown(NOW), 10.0);
}
