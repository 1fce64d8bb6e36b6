//! Unit tests of the circuit breaker, the retry budget, slot shares, spillover and the choice of
//! upstream.

use base::clock;
use policy::{breaker, budget, dc_link, offload, pool, request, share};

const NOW: clock::Millis = clock::Millis(100_000);

fn after_ms(ms: u64) -> clock::Millis {
    NOW + clock::Millis(ms)
}

#[test]
fn breaker_opens_after_three_failures_and_half_opens_after_delay() {
    let mut b = breaker::Breaker::default();
    b.record_failure(NOW);
    b.record_failure(NOW);
    assert!(!b.is_open(NOW));
    b.record_failure(NOW);
    assert!(b.is_open(NOW) && !b.is_open(after_ms(500)) && b.is_half_open(after_ms(500)));
    b.record_failure(after_ms(500));
    assert!(b.is_open(after_ms(1_400)) && !b.is_open(after_ms(1_500)));
    b.record_success();
    assert!(!b.is_open(after_ms(501)) && !b.is_half_open(after_ms(501)));
}

#[test]
fn retry_budget_refills_by_successes_and_time() {
    let mut b = budget::RetryBudget::default();
    while b.try_spend(NOW) {}
    assert!(!b.try_spend(NOW));
    (0..10).for_each(|_| b.deposit());
    assert!(b.try_spend(NOW) && !b.try_spend(NOW));
    assert!(b.try_spend(after_ms(500)) && !b.try_spend(after_ms(500)));
}

#[test]
fn host_shares_add_up_to_all_slots() {
    for slots in 0..40 {
        for hosts in 1..12 {
            let sum: u32 = (0..hosts).map(|h| share::host_slots(slots, hosts, h)).sum();
            assert_eq!(sum, slots);
        }
    }
}

#[test]
fn request_spills_only_if_neighbour_is_faster() {
    let near = offload::Neighbour {
        free_slots: 2,
        waiting: 0,
        one_way_delay: clock::Millis(1),
        metered: false,
        reported_at: NOW,
    };
    let far = offload::Neighbour {
        one_way_delay: clock::Millis(20),
        metered: true,
        ..near
    };
    let full = offload::Neighbour { waiting: 2, ..near };
    let stale = offload::Neighbour {
        reported_at: clock::Millis(90_000),
        ..near
    };
    let ms = clock::Millis;
    let cases = [
        ("near, wait here", near, 50, 600, true),
        ("near, no wait here", near, 0, 600, false),
        ("far, would be refused here", far, 900, 600, true),
        ("far, could wait here", far, 500, 600, false),
        ("far, round trip exceeds slack", far, 900, 30, false),
        ("no free slots there", full, 900, 600, false),
        ("stale report", stale, 900, 600, false),
    ];
    for (name, neighbour, wait, slack, expected) in cases {
        assert_eq!(
            neighbour.is_better(ms(wait), ms(slack), NOW),
            expected,
            "{name}"
        );
    }
}

#[test]
fn metered_link_budget_refills_at_its_rate() {
    let mut link = dc_link::LinkBudget::new(100, NOW);
    assert!(link.try_spend(100_000, NOW));
    assert!(!link.try_spend(1, NOW));
    assert!(link.try_spend(5_000, after_ms(50)) && !link.try_spend(1, after_ms(50)));
}

fn upstream(name: &str, preemptible: bool) -> pool::UpstreamConfig {
    pool::UpstreamConfig {
        name: name.into(),
        slots: 4,
        price: 1,
        preemptible,
    }
}

fn slot_request() -> request::SlotRequest {
    request::SlotRequest {
        ticket: request::Ticket(1),
        team: "quotes".into(),
        weight: 1,
        class: request::ClassSettings {
            name: "chat".into(),
            tier: 0,
            ttft_target: clock::Millis(600),
            max_wait: clock::Millis(5_000),
            min_share: 20,
            evictable: true,
        },
        waited: clock::Millis::ZERO,
        prompt_tokens: 10,
        max_tokens: 100,
        prefix_hash: 0,
        resumable: true,
        received_tokens: 0,
        excluded: Default::default(),
    }
}

fn stats(outcome: request::Outcome, total_ms: u64) -> request::RunStats {
    request::RunStats {
        outcome,
        tokens: 20,
        ttft: clock::Millis(20),
        total: clock::Millis(total_ms),
    }
}

fn pool_of(upstreams: &[pool::UpstreamConfig]) -> pool::Pool {
    let mut p = pool::Pool::default();
    p.configure(upstreams);
    p
}

fn chosen(
    p: &pool::Pool,
    slot_request: &request::SlotRequest,
    now: clock::Millis,
) -> Option<String> {
    p.choose(slot_request, now).map(|u| u.as_str().to_owned())
}

#[test]
fn upstream_is_chosen_when_all_breakers_are_open() {
    let mut p = pool_of(&[upstream("a", false), upstream("b", false)]);
    for name in ["a", "b"] {
        for _ in 0..3 {
            p.acquire(&name.into(), 0, NOW);
            p.release(&name.into(), &stats(request::Outcome::Failed, 1), NOW);
        }
    }
    assert!(chosen(&p, &slot_request(), NOW).is_some());
}

#[test]
fn straggler_is_skipped_until_retry_interval() {
    let mut p = pool_of(&[
        upstream("a", false),
        upstream("b", false),
        upstream("c", false),
    ]);
    for (name, total_ms) in [("a", 220), ("b", 220), ("c", 2_200)] {
        for _ in 0..4 {
            p.acquire(&name.into(), 0, NOW);
            p.release(
                &name.into(),
                &stats(request::Outcome::Completed, total_ms),
                NOW,
            );
        }
    }
    for _ in 0..4 {
        p.acquire(&"a".into(), 0, NOW);
        p.acquire(&"b".into(), 0, NOW);
    }
    assert_eq!(chosen(&p, &slot_request(), after_ms(100)), None);
    assert_eq!(
        chosen(&p, &slot_request(), after_ms(5_000)).as_deref(),
        Some("c")
    );
}

#[test]
fn cached_prefix_is_preferred_until_load_outweighs_it() {
    let mut p = pool_of(&[upstream("a", false), upstream("b", false)]);
    p.acquire(&"b".into(), 77, NOW);
    let with_prefix = request::SlotRequest {
        prefix_hash: 77,
        ..slot_request()
    };
    assert_eq!(chosen(&p, &with_prefix, NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&p, &slot_request(), NOW).as_deref(), Some("a"));
    p.acquire(&"b".into(), 77, NOW);
    assert_eq!(chosen(&p, &with_prefix, NOW).as_deref(), Some("a"));
    p.clear_prefixes(&"b".into());
    assert_eq!(chosen(&p, &with_prefix, NOW).as_deref(), Some("a"));
}

#[test]
fn draining_or_excluded_upstream_is_never_chosen() {
    let mut p = pool_of(&[upstream("a", false), upstream("b", false)]);
    let excluding = request::SlotRequest {
        excluded: ["b".into()].into_iter().collect(),
        ..slot_request()
    };
    assert_eq!(chosen(&p, &excluding, NOW).as_deref(), Some("a"));
    p.configure(&[upstream("b", false)]);
    assert_eq!(chosen(&p, &slot_request(), NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&p, &excluding, NOW), None);
    assert!(!p.can_serve(&excluding));
}

#[test]
fn non_resumable_request_never_runs_on_preemptible_upstream() {
    let p = pool_of(&[upstream("a", true)]);
    let not_resumable = request::SlotRequest {
        resumable: false,
        ..slot_request()
    };
    assert_eq!(chosen(&p, &not_resumable, NOW), None);
    assert_eq!(chosen(&p, &slot_request(), NOW).as_deref(), Some("a"));
}
