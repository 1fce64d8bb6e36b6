//! Breaker, budget, shares, spill and the choice of upstream, case by case.

use base::clock;
use policy::{breaker, budget, pool, request, share, spill};

const NOW: clock::Millis = clock::Millis(100_000);

fn later(ms: u64) -> clock::Millis {
    NOW + clock::Millis(ms)
}

#[test]
fn a_breaker_opens_after_three_failures_and_lets_a_trial_through() {
    let mut b = breaker::Breaker::default();
    b.record_failure(NOW);
    b.record_failure(NOW);
    assert!(!b.is_open(NOW));
    b.record_failure(NOW);
    assert!(b.is_open(NOW) && !b.is_open(later(500)) && b.is_half_open(later(500)));
    b.record_failure(later(500));
    assert!(b.is_open(later(1_400)) && !b.is_open(later(1_500)));
    b.record_success();
    assert!(!b.is_open(later(501)) && !b.is_half_open(later(501)));
}

#[test]
fn retries_are_bounded_by_successes_and_time() {
    let mut b = budget::Budget::default();
    while b.try_spend(NOW) {}
    assert!(!b.try_spend(NOW));
    (0..10).for_each(|_| b.deposit());
    assert!(b.try_spend(NOW) && !b.try_spend(NOW));
    assert!(b.try_spend(later(500)) && !b.try_spend(later(500)));
}

#[test]
fn the_shares_of_all_hosts_add_up_to_the_slots() {
    for slots in 0..40 {
        for hosts in 1..12 {
            let sum: u32 = (0..hosts).map(|h| share::host_slots(slots, hosts, h)).sum();
            assert_eq!(sum, slots);
        }
    }
}

#[test]
fn a_request_spills_only_when_it_wins() {
    let near = spill::Neighbour {
        free_slots: 2,
        waiting: 0,
        one_way_delay: clock::Millis(1),
        metered: false,
        reported_at: NOW,
    };
    let far = spill::Neighbour {
        one_way_delay: clock::Millis(20),
        metered: true,
        ..near
    };
    let full = spill::Neighbour { waiting: 2, ..near };
    let old = spill::Neighbour {
        reported_at: clock::Millis(90_000),
        ..near
    };
    let ms = clock::Millis;
    let cases = [
        ("near, a wait here", near, 50, 600, true),
        ("near, no wait here", near, 0, 600, false),
        ("far, would be refused here", far, 900, 600, true),
        ("far, could wait here", far, 500, 600, false),
        ("far, no time for the way", far, 900, 30, false),
        ("no room there", full, 900, 600, false),
        ("old news", old, 900, 600, false),
    ];
    for (name, neighbour, wait, slack, wins) in cases {
        assert_eq!(
            spill::should_spill(&neighbour, ms(wait), ms(slack), NOW),
            wins,
            "{name}"
        );
    }
}

#[test]
fn a_paid_link_gives_what_its_rate_allows() {
    let mut link = spill::LinkBudget::new(100, NOW);
    assert!(link.try_spend(100_000, NOW));
    assert!(!link.try_spend(1, NOW));
    assert!(link.try_spend(5_000, later(50)) && !link.try_spend(1, later(50)));
}

fn site(name: &str, cheap: bool) -> pool::UpstreamConfig {
    pool::UpstreamConfig {
        name: name.into(),
        slots: 4,
        price: 1,
        preemptible: cheap,
    }
}

fn ask() -> request::SlotRequest {
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

fn spent(outcome: request::Outcome, total: u64) -> request::RunStats {
    request::RunStats {
        outcome,
        tokens: 20,
        ttft: clock::Millis(20),
        total: clock::Millis(total),
    }
}

fn pool_of(sites: &[pool::UpstreamConfig]) -> pool::Pool {
    let mut p = pool::Pool::default();
    p.configure(sites);
    p
}

fn chosen(p: &pool::Pool, ask: &request::SlotRequest, now: clock::Millis) -> Option<String> {
    p.choose(ask, now).map(|u| u.as_str().to_owned())
}

#[test]
fn failures_of_all_upstreams_leave_one_to_try() {
    let mut p = pool_of(&[site("a", false), site("b", false)]);
    for name in ["a", "b"] {
        for _ in 0..3 {
            p.acquire(&name.into(), 0, NOW);
            p.release(&name.into(), &spent(request::Outcome::Failed, 1), NOW);
        }
    }
    assert!(chosen(&p, &ask(), NOW).is_some());
}

#[test]
fn a_straggler_is_left_alone_and_tried_again() {
    let mut p = pool_of(&[site("a", false), site("b", false), site("c", false)]);
    for (name, total) in [("a", 220), ("b", 220), ("c", 2_200)] {
        for _ in 0..4 {
            p.acquire(&name.into(), 0, NOW);
            p.release(
                &name.into(),
                &spent(request::Outcome::Completed, total),
                NOW,
            );
        }
    }
    for _ in 0..4 {
        p.acquire(&"a".into(), 0, NOW);
        p.acquire(&"b".into(), 0, NOW);
    }
    assert_eq!(chosen(&p, &ask(), later(100)), None);
    assert_eq!(chosen(&p, &ask(), later(5_000)).as_deref(), Some("c"));
}

#[test]
fn a_warm_prefix_draws_a_request_until_load_outweighs_it() {
    let mut p = pool_of(&[site("a", false), site("b", false)]);
    p.acquire(&"b".into(), 77, NOW);
    let warm = request::SlotRequest {
        prefix_hash: 77,
        ..ask()
    };
    assert_eq!(chosen(&p, &warm, NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&p, &ask(), NOW).as_deref(), Some("a"));
    p.acquire(&"b".into(), 77, NOW);
    assert_eq!(chosen(&p, &warm, NOW).as_deref(), Some("a"));
    p.clear_prefixes(&"b".into());
    assert_eq!(chosen(&p, &warm, NOW).as_deref(), Some("a"));
}

#[test]
fn a_leaving_or_avoided_upstream_is_never_chosen() {
    let mut p = pool_of(&[site("a", false), site("b", false)]);
    let avoiding = request::SlotRequest {
        excluded: ["b".into()].into_iter().collect(),
        ..ask()
    };
    assert_eq!(chosen(&p, &avoiding, NOW).as_deref(), Some("a"));
    p.configure(&[site("b", false)]);
    assert_eq!(chosen(&p, &ask(), NOW).as_deref(), Some("b"));
    assert_eq!(chosen(&p, &avoiding, NOW), None);
    assert!(!p.can_serve(&avoiding));
}

#[test]
fn work_that_can_t_be_continued_never_runs_on_a_cheap_upstream() {
    let p = pool_of(&[site("a", true)]);
    let single = request::SlotRequest {
        resumable: false,
        ..ask()
    };
    assert_eq!(chosen(&p, &single, NOW), None);
    assert_eq!(chosen(&p, &ask(), NOW).as_deref(), Some("a"));
}
