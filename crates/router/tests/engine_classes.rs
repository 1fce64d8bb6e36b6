//! Tests of the assignment of engines to classes.

use std::collections;

use base::{hash, name};
use policy::engine_classes;
use router::stream_class;

const DCS: [&str; 6] = ["na", "nb", "nc", "sa", "sb", "sc"];

type Assignment = collections::BTreeMap<name::Upstream, stream_class::StreamClass>;

/// Assigns 140 engines in six data centres, with speeds in percent by the engine's number.
fn assign(shares: engine_classes::Shares, speed_percent: impl Fn(usize) -> u8) -> Assignment {
    let mut ranked: Vec<_> = (0..140)
        .map(|n| {
            let name = format!("{}-{n}", DCS[n % DCS.len()]);
            stream_class::RankedEngine {
                speed_percent: speed_percent(n),
                hash: hash::stable_hash(name.as_bytes()),
                dc: DCS[n % DCS.len()].into(),
                name: name.as_str().into(),
            }
        })
        .collect();
    ranked.sort_by_key(|engine| engine.hash);
    let assigned = stream_class::assign_classes(ranked, &shares);
    assigned
        .into_iter()
        .map(|(e, class)| (e.name, class))
        .collect()
}

fn count(assignment: &Assignment, class: stream_class::StreamClass) -> usize {
    assignment.values().filter(|c| **c == class).count()
}

fn moved(before: &Assignment, after: &Assignment) -> usize {
    before.iter().filter(|(n, c)| after[*n] != **c).count()
}

/// Guards against caches lost for nothing: a step of a tenth of the engines must not reshuffle the
/// others.
#[test]
fn changed_share_moves_few_engines() {
    let before = assign(engine_classes::DEFAULT_SHARES, |_| 100);
    for (shares, max_moved) in [
        ([200, 300, 500], 14),
        ([100, 300, 600], 14),
        ([300, 200, 500], 28),
        ([200, 0, 800], 28),
    ] {
        let after = assign(shares, |_| 100);
        let moved = moved(&before, &after);
        assert!(moved <= max_moved, "{shares:?}: {moved} moved");
    }
}

/// Guards against a class that has engines in some data centres only, so that its streams cross the
/// others.
#[test]
fn each_class_is_spread_over_the_data_centres() {
    let assignment = assign([100, 600, 300], |_| 100);
    for class in stream_class::StreamClass::ALL {
        for dc in DCS {
            let engines = assignment.iter();
            let engines = engines.filter(|(n, c)| n.as_str().starts_with(dc) && **c == class);
            let (here, all) = (engines.count(), count(&assignment, class));
            // A class may begin and end between two engines of equal rank.
            assert!(
                here.abs_diff(all / 6) <= 1,
                "{dc} {class:?}: {here} of {all}"
            );
        }
    }
}

/// Load of a deployment where one engine in four has a speed of 0.55: chats on slow engines were late.
/// Also guards against a new order of all engines when speeds become known: those that change their
/// class lose the use of their cached prefixes.
#[test]
fn slow_engines_for_short_gap_streams_change_places() {
    let speed = |n| if n % 4 == 0 { 55 } else { 100 };
    let slow = |assignment: &Assignment, class| {
        let engines = assignment.iter().filter(|(_, c)| **c == class);
        let numbers = engines.filter_map(|(n, _)| n.as_str()[3..].parse::<usize>().ok());
        numbers.filter(|n| speed(*n) < 100).count()
    };
    let [short_gap, not_resumable, other] = stream_class::StreamClass::ALL;
    for shares in [engine_classes::DEFAULT_SHARES, [500, 200, 300]] {
        let before = assign(shares, |_| 100);
        let after = assign(shares, speed);
        assert_eq!(slow(&after, short_gap), 0);
        for class in stream_class::StreamClass::ALL {
            assert_eq!(count(&after, class), count(&before, class), "{class:?}");
        }
        let exchanged = slow(&before, short_gap);
        assert!(exchanged > 0);
        assert_eq!(moved(&before, &after), 2 * exchanged);
        for (name, class) in before.iter().filter(|(_, c)| **c == not_resumable) {
            assert_eq!(after[name], *class, "{name}");
        }
        assert_eq!(
            slow(&after, other),
            slow(&before, other) + exchanged,
            "{shares:?}"
        );
        // One more slow engine moves two engines at most.
        let one_more = assign(shares, |n| if n == 5 { 75 } else { speed(n) });
        assert!(moved(&after, &one_more) <= 2);
    }
}

/// Guards against slow engines that push each other about, or leave a class without engines, where too
/// few others could take their places.
#[test]
fn too_few_engines_are_fast_enough() {
    for shares in [engine_classes::DEFAULT_SHARES, [800, 100, 100]] {
        let before = assign(shares, |_| 100);
        assert_eq!(assign(shares, |_| 50), before, "all are slow");
        let mostly_slow = assign(shares, |n| if n % 20 == 0 { 100 } else { 50 });
        for class in stream_class::StreamClass::ALL {
            assert_eq!(count(&mostly_slow, class), count(&before, class));
        }
        let fast = mostly_slow.iter().filter(|(n, _)| {
            let number = n.as_str()[3..].parse::<usize>();
            number.is_ok_and(|n| n % 20 == 0)
        });
        for (name, class) in fast {
            let expected = match before[name] {
                stream_class::StreamClass::Other => stream_class::StreamClass::ShortGap,
                unchanged => unchanged,
            };
            assert_eq!(*class, expected, "{name}");
        }
    }
}

/// Guards against a class without any engine where there are few of them.
#[test]
fn classes_of_few_engines() {
    let sizes = |total, shares| {
        let ranked = (0..total).map(|n: u64| stream_class::RankedEngine {
            speed_percent: 100,
            hash: n,
            dc: "na".into(),
            name: format!("u{n}").as_str().into(),
        });
        let assigned = stream_class::assign_classes(ranked.collect(), &shares);
        stream_class::StreamClass::ALL
            .map(|class| assigned.iter().filter(|(_, c)| *c == class).count())
    };
    assert_eq!(sizes(2, [200, 200, 600]), [0, 0, 2]);
    assert_eq!(sizes(3, [200, 200, 600]), [1, 0, 2]);
    assert_eq!(sizes(3, [334, 334, 332]), [1, 1, 1]);
    assert_eq!(sizes(3, [0, 1_000, 0]), [0, 3, 0]);
    assert_eq!(sizes(5, [200, 200, 600]), [1, 1, 3]);
    assert_eq!(sizes(0, [200, 200, 600]), [0, 0, 0]);
}
