//! Tests of the decisions on cold upstreams.

use base::{clock, name};
use policy::cold_start::{self, HostList, Ownership, Reading, Source};
use proptest::prelude::*;

const TTL: clock::Millis = clock::Millis(10_000);
const RATE: f64 = 9.5;
const BOUND: usize = 19;

fn ms(n: u64) -> clock::Millis {
    clock::Millis(n)
}

fn hosts(numbers: impl Iterator<Item = usize>) -> Vec<(name::Host, name::Dc)> {
    let host = |n: usize| {
        let dc = ["a", "b", "c"][n % 3];
        (format!("h{n:03}").as_str().into(), dc.into())
    };
    numbers.map(host).collect()
}

fn list(hosts: &[(name::Host, name::Dc)], at: u64) -> HostList {
    let mut list = HostList::default();
    list.update(hosts.iter().map(|(h, d)| (h, d)), ms(at) + TTL, ms(at));
    list
}

/// Guards against an upstream that crashes because stale news of it ends its cold period.
#[test]
fn stale_news_of_a_warm_upstream_does_not_end_a_cold_period() {
    let next = cold_start::next_period;
    let response = |at| Source::Response { sent_at: ms(at) };
    let drained = next(None, ms(3_000), Source::DrainEnd, ms(1_000));
    assert_eq!(drained.unwrap().until, ms(4_000));
    assert_eq!(next(drained, ms(0), Source::Entry, ms(1_100)), drained);
    assert_eq!(next(drained, ms(0), response(999), ms(1_100)), drained);
    assert_eq!(next(drained, ms(0), response(1_001), ms(1_100)), None);
    let told = next(None, ms(2_000), response(0), ms(50));
    assert_eq!(next(told, ms(0), Source::Entry, ms(60)), told);
    // An entry that prolongs the period doesn't make it one that the next entry ends.
    let longer = next(told, ms(3_000), Source::Entry, ms(60));
    assert_eq!(longer.unwrap().until, ms(3_060));
    assert_eq!(next(longer, ms(0), Source::Entry, ms(70)), longer);
    let listed = next(None, ms(3_000), Source::Entry, ms(50));
    assert_eq!(next(listed, ms(0), Source::Entry, ms(60)), None);
    let again = next(listed, ms(3_000), Source::Entry, ms(2_000));
    assert_eq!(again.unwrap().until, ms(5_000));
    let faulty = next(None, ms(u64::MAX), Source::Entry, ms(50));
    assert_eq!(faulty.unwrap().until, ms(50) + cold_start::MAX_LEFT);
}

#[test]
fn allowance_is_half_of_the_bound_or_the_rate_and_nothing_for_bad_figures() {
    assert_eq!(cold_start::allowance(RATE, 1.5, 5.0), 9);
    assert_eq!(cold_start::allowance(4.0, 1.0, 0.0), 2);
    assert_eq!(cold_start::allowance(0.5, 1.5, 5.0), 0);
    assert_eq!(cold_start::allowance(-3.0, 1.5, 5.0), 0);
    assert_eq!(cold_start::allowance(f64::NAN, 1.5, 5.0), 0);
    assert_eq!(cold_start::allowance(9.5, f64::NAN, 5.0), 0);
}

/// Guards against owners far from the upstream, and against a change of most owners with each host.
#[test]
fn owners_are_near_and_most_stay_when_a_host_leaves() {
    let all = hosts(0..95);
    let full = list(&all, 0);
    let without = list(&hosts((0..95).filter(|n| *n != 7)), 0);
    let mut moved = 0;
    for n in 0..140 {
        let upstream = name::Upstream::from(format!("u{n}").as_str());
        let dc = name::Dc::from(["a", "b", "c", "d"][n % 4]);
        let owner = full.owner(&upstream, &dc).unwrap();
        let owner_dc = &all.iter().find(|(h, _)| h == owner).unwrap().1;
        assert!(*owner_dc == dc || dc.as_str() == "d");
        moved += usize::from(without.owner(&upstream, &dc) != Some(owner));
    }
    assert!(moved <= 12, "{moved} of 140 moved");
}

/// Guards against senders that can't know whether another host is the owner by now.
#[test]
fn host_without_a_settled_and_recent_list_owns_nothing() {
    let all = hosts(0..1);
    let (own, dc) = &all[0];
    let upstream = (&"u".into(), dc);
    let mut ownership = Ownership::default();
    assert!(!ownership.holds(&HostList::default(), ms(90_000)));
    let mut list = HostList::default();
    let read = |list: &mut HostList, at| list.update([(own, dc)].into_iter(), ms(at) + TTL, ms(at));
    for (at, expected) in [(1_000, Reading::Resumed), (9_000, Reading::Same)] {
        let reading = read(&mut list, at);
        assert_eq!(reading, expected);
        ownership.update(reading, &list, own, upstream);
    }
    assert!(!ownership.holds(&list, ms(3_999)));
    assert!(ownership.holds(&list, ms(4_000)));
    assert!(!ownership.holds(&list, ms(19_000)), "the list is old");
    let reading = read(&mut list, 20_000);
    ownership.update(reading, &list, own, upstream);
    assert!(!ownership.holds(&list, ms(22_999)), "not settled again");
    assert!(ownership.holds(&list, ms(23_000)));
}

proptest! {
    /// Guards against a sum over all hosts above what an upstream bears: each host has one of two lists
    /// that may differ in any hosts, or an old one, and sends whenever it may.
    #[test]
    fn sum_over_hosts_with_two_lists_stays_within_the_bound(
        first in prop::collection::btree_set(0usize..24, 1..24),
        second in prop::collection::btree_set(0usize..24, 1..24),
        uses_second in prop::collection::vec(any::<bool>(), 24),
        is_old in prop::collection::vec(prop::bool::weighted(0.1), 24),
        tries in prop::collection::vec((0usize..24, 0u64..40), 300),
        taken_back in 0usize..300,
    ) {
        let lists = [first, second].map(|set| hosts(set.into_iter()));
        let upstream = (&name::Upstream::from("u"), &name::Dc::from("b"));
        let allowance = cold_start::allowance(RATE, 1.5, 5.0);
        let mut now = 100_000;
        let mut views = Vec::new();
        for (n, (own, _)) in hosts(0..24).into_iter().enumerate() {
            let read_at = if is_old[n] { now - TTL.0 } else { now - 5_000 };
            let list = list(&lists[usize::from(uses_second[n])], read_at);
            let mut ownership = Ownership::default();
            ownership.update(Reading::Changed, &list, &own, upstream);
            views.push((list, ownership, cold_start::SendWindow::default()));
        }
        let mut sent = Vec::new();
        for (i, (host, pause)) in tries.into_iter().enumerate() {
            now += pause / 10;
            for (n, (list, ownership, window)) in views.iter_mut().enumerate() {
                let is_free = window.wait(allowance, ms(now)) == Some(ms(0));
                if n > host || !ownership.holds(list, ms(now)) || !is_free {
                    continue;
                }
                window.record(ms(now));
                if i == taken_back {
                    window.take_back(ms(now));
                } else {
                    sent.push(now);
                }
            }
        }
        for (i, at) in sent.iter().enumerate() {
            let within = sent[i..].iter().take_while(|t| **t <= at + 1_000).count();
            prop_assert!(within <= BOUND, "{} in one second", within);
        }
    }
}
