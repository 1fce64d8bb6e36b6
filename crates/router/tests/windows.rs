//! Tests of request counts by window, and of wall time while the system's clock jumps.

use base::{clock, name};
use router::windows;

#[test]
fn wall_time_ignores_a_short_clock_jump() {
    let mut clock = windows::SmoothedWallClock::default();
    let offset = 1_700_000_000_000;
    for s in 0..30 {
        let now = clock::Millis(s * 1_000);
        let jumped = if (10..16).contains(&s) { 2_400 } else { 0 };
        let unix = clock::Millis(offset + now.0 + jumped);
        assert_eq!(clock.estimate(now, unix).0, offset + now.0, "second {s}");
    }
}

#[test]
fn corrected_clock_is_adopted_after_a_while() {
    let mut clock = windows::SmoothedWallClock::default();
    let at = |clock: &mut windows::SmoothedWallClock, s: u64, offset: u64| {
        clock
            .estimate(
                clock::Millis(s * 1_000),
                clock::Millis(1_000_000 + s * 1_000 + offset),
            )
            .0
    };
    for s in 0..3 {
        at(&mut clock, s, 2_000);
    }
    for s in 3..10 {
        at(&mut clock, s, 0);
    }
    assert_eq!(at(&mut clock, 10, 0), 1_010_000);
}

#[test]
fn counts_are_kept_by_window_and_team() {
    let (a, b) = (name::Team::from("a"), name::Team::from("b"));
    let mut counts = windows::WindowCounts::default();
    counts.record_request(7, &a);
    counts.record_request(7, &a);
    counts.record_request(7, &b);
    counts.record_request(8, &a);
    let mut sum = router::ports::RequestCounts::new();
    counts.add_to(7, &mut sum);
    assert_eq!(sum.get(&a), Some(&2));
    assert_eq!(sum.get(&b), Some(&1));
    for window in 9..40 {
        counts.record_request(window, &a);
    }
    assert!(counts.0.len() <= 6, "old windows are dropped");
}
