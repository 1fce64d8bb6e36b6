//! Counts by window, and wall time that jumps.

use base::{clock, name};
use router::windows;

#[test]
fn wall_time_does_not_follow_a_jump() {
    let mut time = windows::WallTime::default();
    let offset = 1_700_000_000_000;
    for s in 0..30 {
        let now = clock::Millis(s * 1_000);
        let jumped = if (10..16).contains(&s) { 2_400 } else { 0 };
        let unix = clock::Millis(offset + now.0 + jumped);
        assert_eq!(time.estimate(now, unix).0, offset + now.0, "second {s}");
    }
}

#[test]
fn a_clock_that_was_set_right_is_believed_in_the_end() {
    let mut time = windows::WallTime::default();
    let at = |time: &mut windows::WallTime, s: u64, off: u64| {
        time.estimate(
            clock::Millis(s * 1_000),
            clock::Millis(1_000_000 + s * 1_000 + off),
        )
        .0
    };
    for s in 0..3 {
        at(&mut time, s, 2_000);
    }
    for s in 3..10 {
        at(&mut time, s, 0);
    }
    assert_eq!(at(&mut time, 10, 0), 1_010_000);
}

#[test]
fn counts_are_kept_by_window_and_team() {
    let (a, b) = (name::Team::from("a"), name::Team::from("b"));
    let mut counts = windows::WindowCounts::default();
    counts.record_request(7, &a);
    counts.record_request(7, &a);
    counts.record_request(7, &b);
    counts.record_request(8, &a);
    let mut sum = router::ports::Counts::new();
    counts.add_to(7, &mut sum);
    assert_eq!(sum.get(&a), Some(&2));
    assert_eq!(sum.get(&b), Some(&1));
    for window in 9..40 {
        counts.record_request(window, &a);
    }
    assert!(counts.0.len() <= 6, "old windows are dropped");
}
