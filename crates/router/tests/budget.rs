//! The budget of repeats over all hosts.

use base::clock;
use proptest::prelude::*;
use router::budget;

const BOUND: budget::Limit = budget::Limit {
    ratio: 0.2,
    base_retries: 56.0,
    window: clock::Millis(10_000),
};

#[test]
fn a_host_without_requests_spends_its_part_of_the_extra_only() {
    let mut budget = budget::Budget::default();
    let spent = (0..100)
        .filter(|_| budget.try_spend(clock::Millis(5), &BOUND, 8))
        .count();
    assert!((1..=7).contains(&spent), "{spent}");
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = budget::Budget::default();
    while budget.try_spend(clock::Millis(0), &BOUND, 8) {}
    assert!(!budget.has_capacity(clock::Millis(9_999), &BOUND, 8));
    assert!(budget.has_capacity(clock::Millis(10_001), &BOUND, 8));
}

proptest! {
    /// In every window the repeats of all hosts stay within ratio x requests + extra, counted in
    /// that window alone, whatever the arrivals are.
    #[test]
    fn the_sum_over_hosts_stays_within_the_bound(
        steps in prop::collection::vec((0u64..400, 0usize..4, any::<bool>()), 1..600),
    ) {
        let hosts = 4;
        let mut budgets: Vec<_> = (0..hosts).map(|_| budget::Budget::default()).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        let mut now = 0;
        for (pause, host, repeat) in steps {
            now += pause;
            let at = clock::Millis(now);
            if !repeat {
                budgets[host].record_request(at, &BOUND);
                requests.push(now);
            } else if budgets[host].try_spend(at, &BOUND, hosts as u32) {
                repeats.push(now);
            }
        }
        for end in &repeats {
            let inside = |t: &&u64| **t <= *end && end - **t <= BOUND.window.0;
            let repeats = repeats.iter().filter(inside).count() as f64;
            // The page takes the fullest of this window, the one before and half a window before.
            let before = |t: &&u64| **t <= *end && end - **t <= 2 * BOUND.window.0;
            let requests = requests.iter().filter(before).count() as f64;
            prop_assert!(repeats <= BOUND.ratio * requests + BOUND.base_retries);
        }
    }
}
