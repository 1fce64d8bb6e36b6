//! Tests of the assignment of engines to classes.

use std::collections;

use base::{hash, name};
use policy::engine_classes;
use router::stream_class;

const DCS: [&str; 6] = ["na", "nb", "nc", "sa", "sb", "sc"];

type Assignment = collections::BTreeMap<name::Upstream, stream_class::StreamClass>;

/// Assigns 140 engines in six data centres.
fn assign(shares: engine_classes::Shares) -> Assignment {
    let mut ranked: Vec<_> = (0..140)
        .map(|n| {
            let name = format!("{}-{n}", DCS[n % DCS.len()]);
            stream_class::RankedEngine {
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
    let before = assign(engine_classes::DEFAULT_SHARES);
    for (shares, max_moved) in [
        ([200, 300, 500], 14),
        ([100, 300, 600], 14),
        ([300, 200, 500], 28),
        ([200, 0, 800], 28),
    ] {
        let after = assign(shares);
        let moved = moved(&before, &after);
        assert!(moved <= max_moved, "{shares:?}: {moved} moved");
    }
}

/// Guards against a class that has engines in some data centres only, so that its streams cross the
/// others.
#[test]
fn each_class_is_spread_over_the_data_centres() {
    let assignment = assign([100, 600, 300]);
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

/// Guards against a class without any engine where there are few of them.
#[test]
fn classes_of_few_engines() {
    let sizes = |total, shares| {
        let ranked = (0..total).map(|n: u64| stream_class::RankedEngine {
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
