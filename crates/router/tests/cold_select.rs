//! Tests of the selection among cold and warm upstreams at one host, which owns them all.

use std::iter;

use base::{clock, name};
use router::{
    fleet, host, location, membership, model, ports, revision, selection, stream_class, warm_up,
};

const NOW: clock::Millis = clock::Millis(10_000);

fn upstream(name: &str, cold_left: clock::Millis) -> model::Upstream {
    model::Upstream {
        name: name.into(),
        service: "llm".into(),
        address: ([10, 0, 0, 1], 80).into(),
        dc: "a".into(),
        state: model::UpstreamState::Ready,
        preemptible: false,
        started_at: 1,
        cold_left,
        slots: 8,
    }
}

fn read_hosts(fleet: &mut fleet::Fleet, now: clock::Millis) {
    let mut membership = membership::Membership::default();
    let value = br#"{"host":"h","dc":"a","peer":"10.0.1.1:1"}"#.to_vec();
    let item = ports::Item {
        key: "hosts/h".into(),
        value,
        revision: revision::Revision::without_era(1),
        created: revision::Revision::without_era(1),
        lease: Some(0),
        fault: None,
    };
    membership.update_hosts(&[item], now);
    fleet.warm_up.update_hosts(&membership, now);
}

/// Creates the fleet of the only host, with upstreams given by name and remaining cold time.
fn fleet(upstreams: &[(&str, u64)], factor: Option<f64>) -> fleet::Fleet {
    let location = location::Location {
        dc: "a".into(),
        regions: [("a".into(), "x".into())].into(),
    };
    let mut fleet = fleet::Fleet::new(location, clock::Millis(2_500));
    let tolerance = factor.map(|factor| host::ColdTolerance { factor, extra: 5.0 });
    fleet.warm_up = warm_up::WarmUp::new("h".into(), tolerance);
    let service = model::Service {
        name: "llm".into(),
        engine: None,
        scaling: None,
        cold_limit: Some(model::ColdLimit {
            period: clock::Millis(3_000),
            requests_per_s: 9.5,
        }),
    };
    fleet.warm_up.set_limits(iter::once(&service));
    read_hosts(&mut fleet, clock::Millis(5_000));
    for (name, cold) in upstreams {
        let entry = upstream(name, clock::Millis(*cold));
        fleet.put_entry(entry, true, NOW);
    }
    fleet
}

fn select(
    fleet: &fleet::Fleet,
    parts: &[ports::PromptPart],
    is_retryable: bool,
    now: clock::Millis,
) -> Option<selection::Selection> {
    fleet.select(&criteria(&"llm".into(), parts, is_retryable), now)
}

fn criteria<'a>(
    service: &'a name::Service,
    prompt_parts: &'a [ports::PromptPart],
    is_retryable: bool,
) -> selection::Criteria<'a> {
    selection::Criteria {
        id: "q",
        service,
        prompt_parts,
        prompt_tokens: prompt_parts.iter().map(|p| p.tokens).sum(),
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        excluded: &[],
        homes: None,
        is_retryable,
    }
}

/// Sends requests until none is selected and returns their number.
fn send_all(fleet: &mut fleet::Fleet, now: clock::Millis) -> usize {
    let selected = iter::from_fn(|| {
        let selection = select(fleet, &[], true, now)?;
        fleet.record_sent(&selection, &[], now);
        Some(selection)
    });
    selected.take(100).count()
}

/// Guards against a lost share (421 counted) and against a share that a rewritten, unchanged or restarted
/// entry grants once more.
#[test]
fn only_requests_that_reached_the_process_count_in_its_share() {
    let mut fleet = fleet(&[("u", 3_000)], Some(1.5));
    let at = NOW + clock::Millis(1_600);
    assert_eq!(send_all(&mut fleet, at), 9);
    let (shortage, details) = fleet.shortage(&criteria(&"llm".into(), &[], true), at);
    assert_eq!(shortage, selection::Shortage::Cold(clock::Millis(1_050)));
    assert_eq!(details.cold_held, 1);
    fleet.remove(&"u".into());
    fleet.put_entry(upstream("u", clock::Millis(3_000)), true, at);
    assert_eq!(send_all(&mut fleet, at), 0);
    let process = fleet.get(&"u".into()).unwrap().process();
    fleet.warm_up.take_back(process, at);
    assert_eq!(send_all(&mut fleet, at + clock::Millis(1)), 1);
    // The same entry, read again when the period has ended, is no news.
    let later = at + clock::Millis(3_001);
    fleet.put_entry(upstream("u", clock::Millis(3_000)), false, later);
    assert_eq!(send_all(&mut fleet, later), 100);
    read_hosts(&mut fleet, NOW);
    let mut restarted = upstream("u", clock::Millis(3_000));
    restarted.started_at = 2;
    fleet.put_entry(restarted, true, later);
    assert_eq!(send_all(&mut fleet, later), 9);
    let without_list = later + clock::Millis(2_600);
    assert_eq!(send_all(&mut fleet, without_list), 0);
}

/// Guards against requests that end with a crash or read a long prefix again, for an idle upstream.
#[test]
fn cold_upstream_is_left_to_requests_that_may_be_repeated_and_have_no_long_prefix_elsewhere() {
    let mut fleet = fleet(&[("cold", 3_000), ("warm", 0)], Some(1.5));
    for _ in 0..10 {
        let parts = [ports::PromptPart {
            id: 1,
            tokens: 4_000,
        }; 2];
        let selection = select(&fleet, &parts, true, NOW).unwrap();
        assert_eq!(selection.name.as_str(), "warm");
        fleet.record_sent(&selection, &[], NOW);
    }
    let selection = select(&fleet, &[], true, NOW).unwrap();
    assert_eq!(selection.name.as_str(), "cold");
    assert_eq!(selection.details.cold_left, Some(clock::Millis(3_000)));
    assert_eq!(
        select(&fleet, &[], false, NOW).unwrap().name.as_str(),
        "warm"
    );
    fleet.remove(&"warm".into());
    assert_eq!(
        select(&fleet, &[], false, NOW).unwrap().name.as_str(),
        "cold"
    );
}

/// Guards earlier deployments, which do not set the tolerance.
#[test]
fn without_tolerance_a_cold_upstream_is_used_like_any_other() {
    let mut fleet = fleet(&[("u", 3_000)], None);
    fleet.mark_dc_cold(&"a".into(), NOW);
    assert_eq!(send_all(&mut fleet, NOW), 100);
}
