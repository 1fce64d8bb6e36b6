//! Tests of the host directory: live hosts, the choice of the dispatcher, and the removal of hosts.

use base::{clock, name};
use jacinthslip::directory;

fn host(name: &str) -> name::Host {
    name.into()
}

fn directory_with_three_peers() -> directory::Directory {
    let d = directory::Directory::new(host("h1"), "lalitpur".into());
    for (name, dc) in [("h2", "lalitpur"), ("h3", "lalitpur"), ("h4", "lekhnath")] {
        d.record_dc(&host(name), &dc.into());
    }
    d
}

const NOW: clock::Millis = clock::Millis(10_000);

#[test]
fn reachable_hosts_that_are_not_draining_are_live() {
    let d = directory_with_three_peers();
    assert_eq!(d.live_hosts(NOW), [host("h1")]);
    for name in ["h2", "h3", "h4"] {
        d.record_heartbeat(&host(name), 1, false, NOW);
    }
    assert_eq!(d.live_hosts(NOW), ["h1", "h2", "h3"].map(host));
    d.record_heartbeat(&host("h2"), 1, true, NOW);
    d.record_disconnect(&host("h3"));
    assert_eq!(d.live_hosts(NOW), [host("h1")]);
    d.record_heartbeat(&host("h3"), 1, false, NOW);
    let after_timeout = NOW + directory::HEARTBEAT_TIMEOUT + clock::Millis(1);
    assert_eq!(d.live_hosts(after_timeout), [host("h1")]);
    // A heartbeat of a host whose data centre was never recorded is ignored.
    d.record_heartbeat(&host("h9"), 1, false, NOW);
    assert!(!d.is_reachable(&host("h9"), NOW));
}

#[test]
fn all_hosts_choose_the_same_dispatcher_and_a_lost_host_moves_few_services() {
    let hosts = ["h1", "h2", "h3"];
    let directory_of = |own: &str, live: &[&str]| {
        let d = directory::Directory::new(host(own), "x".into());
        for other in live.iter().filter(|o| **o != own) {
            d.record_dc(&host(other), &"x".into());
            d.record_heartbeat(&host(other), 1, false, NOW);
        }
        d
    };
    for n in 0..50 {
        let service = format!("s{n}").as_str().into();
        let all: Vec<_> = hosts
            .iter()
            .map(|h| directory_of(h, &hosts).dispatcher(&service, NOW))
            .collect();
        assert!(all.iter().all(|h| *h == all[0]));
        let without_h3 = directory_of("h1", &["h1", "h2"]).dispatcher(&service, NOW);
        if all[0] != host("h3") {
            assert_eq!(without_h3, all[0], "moved without need");
        }
    }
}

#[test]
fn hosts_neither_listed_nor_reachable_are_removed() {
    let d = directory_with_three_peers();
    d.record_heartbeat(&host("h3"), 1, false, NOW);
    let removed = d.remove_unlisted(&[host("h4")], NOW);
    assert_eq!(removed, [host("h2")]);
    assert!(d.is_reachable(&host("h3"), NOW));
}
