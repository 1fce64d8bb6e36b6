//! Tests of the order in which a host tries others as its source, without a network.

mod env;

use std::net;

use base::clock;
use env::hosts;
use router::{host, location, membership, sources};

/// Longest time for which other hosts are tried before one that failed.
const FAILURE_PERIOD: clock::Millis = clock::Millis(20_000);

fn address(n: u16) -> net::SocketAddr {
    ([127, 0, 0, 1], n).into()
}

/// Three data centres of four hosts each in two regions; two hosts of each watch the store. The
/// addresses are 10 to 13 in `na`, 20 to 23 in `nb`, 30 to 33 in `sa`. The settings are those of
/// the host at 13.
fn setup(run: impl FnOnce(&host::Settings, &membership::Membership)) {
    env::run(|| async {
        let cluster = env::Cluster::new();
        let location = location::Location {
            dc: "na".into(),
            regions: ["na", "nb", "sa"]
                .map(|dc| (dc.into(), dc[..1].into()))
                .into(),
        };
        let window = clock::Millis(5_000);
        let node = env::node_at(&cluster, "na-13", 13, window, location);
        let mut items = Vec::new();
        for (dc, first) in [("na", 10), ("nb", 20), ("sa", 30)] {
            for n in first..first + 4 {
                let host = format!("{dc}-{n}");
                items.push(hosts::registration_of(&host, dc, address(n)));
            }
        }
        let mut membership = membership::Membership::default();
        membership.update_hosts(&items, clock::Millis::ZERO);
        run(&node.host.settings, &membership);
    });
}

/// With a random choice, each version of the configuration crossed the link between the regions
/// once for every second follower.
#[test]
fn nearest_watching_hosts_come_first_and_failed_ones_last() {
    setup(|settings, membership| {
        let mut sources = sources::Sources::default();
        let now = clock::Millis(1_000);
        let mut order = Vec::new();
        for _ in 0..11 {
            let source = sources
                .choose(settings, membership, now, rand::random)
                .expect("a source");
            order.push(source.address.port());
            sources.record_failure(source.address, sources::Failure::Lost, now);
        }
        let mut groups =
            [&order[..2], &order[2..4], &order[4..6], &order[6..7]].map(<[u16]>::to_vec);
        for group in &mut groups {
            group.sort_unstable();
        }
        assert_eq!(groups, [vec![10, 11], vec![20, 21], vec![30, 31], vec![12]]);
        order.sort_unstable();
        order.dedup();
        assert_eq!(order.len(), 11, "each host once before one is tried again");
    });
}

#[test]
fn follower_returns_to_a_nearer_host_only_after_its_failure_is_past() {
    setup(|settings, membership| {
        let mut sources = sources::Sources::default();
        let at = clock::Millis(1_000);
        sources.record_failure(address(10), sources::Failure::Lost, at);
        sources.record_failure(address(11), sources::Failure::Lost, at);
        let far = sources
            .choose(settings, membership, at, || 0)
            .expect("a source");
        assert_eq!(far.address, address(20));
        assert!(!sources.has_better(settings, membership, &far, at));
        let later = at + FAILURE_PERIOD;
        assert!(sources.has_better(settings, membership, &far, later));
        let near = sources
            .choose(settings, membership, later, || 0)
            .expect("a source");
        assert_eq!(near.address, address(10));
        assert!(!sources.has_better(settings, membership, &near, later));
    });
}
