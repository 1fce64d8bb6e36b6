//! Tests of the retry budget that all hosts share.

use base::clock;
use proptest::prelude::*;
use router::budget;

const LIMIT: budget::RetryLimit = budget::RetryLimit {
    ratio: 0.2,
    base_retries: 56.0,
    window: clock::Millis(10_000),
};

#[test]
fn a_host_without_requests_spends_only_its_part_of_the_base_retries() {
    let mut budget = budget::RetryBudget::default();
    let spent = (0..100)
        .filter(|_| budget.try_spend(clock::Millis(5), &LIMIT, 8))
        .count();
    assert!((1..=7).contains(&spent), "{spent}");
}

#[test]
fn spent_retries_are_available_again_after_the_window() {
    let mut budget = budget::RetryBudget::default();
    while budget.try_spend(clock::Millis(0), &LIMIT, 8) {}
    assert!(!budget.has_capacity(clock::Millis(9_999), &LIMIT, 8));
    assert!(budget.has_capacity(clock::Millis(10_001), &LIMIT, 8));
}

proptest! {
    /// In every window, the retries of all hosts stay within `ratio * requests + base_retries` for
    /// any arrival times.
    #[test]
    fn retries_of_all_hosts_stay_within_the_limit(
        steps in prop::collection::vec((0u64..400, 0usize..4, any::<bool>()), 1..600),
    ) {
        let hosts = 4;
        let mut budgets: Vec<_> = (0..hosts).map(|_| budget::RetryBudget::default()).collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = 0;
        for (pause, host, retry) in steps {
            now += pause;
            let at = clock::Millis(now);
            if !retry {
                budgets[host].record_request(at, &LIMIT);
                requests.push(now);
            } else if budgets[host].try_spend(at, &LIMIT, hosts as u32) {
                retries.push(now);
            }
        }
        for end in &retries {
            let inside = |t: &&u64| **t <= *end && end - **t <= LIMIT.window.0;
            let retries = retries.iter().filter(inside).count() as f64;
            // The specification counts the requests of the fullest of this window, the previous one
            // and one half a window earlier.
            let before = |t: &&u64| **t <= *end && end - **t <= 2 * LIMIT.window.0;
            let requests = requests.iter().filter(before).count() as f64;
            prop_assert!(retries <= LIMIT.ratio * requests + LIMIT.base_retries);
        }
    }
}
