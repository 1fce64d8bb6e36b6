//! Which hosts count as live, who dispatches, who is forgotten.

use base::{clock, name};
use jacinthslip::directory;

fn host(name: &str) -> name::Host {
    name.into()
}

fn three() -> directory::Directory {
    let d = directory::Directory::new(host("h1"), "lalitpur".into());
    for (name, dc) in [("h2", "lalitpur"), ("h3", "lalitpur"), ("h4", "lekhnath")] {
        d.record_dc(&host(name), &dc.into());
    }
    d
}

const NOW: clock::Millis = clock::Millis(10_000);

#[test]
fn only_hosts_that_are_heard_and_stay_are_live() {
    let d = three();
    assert_eq!(d.live_hosts(NOW), [host("h1")]);
    for name in ["h2", "h3", "h4"] {
        d.record_heartbeat(&host(name), 1, false, NOW);
    }
    assert_eq!(d.live_hosts(NOW), ["h1", "h2", "h3"].map(host));
    d.record_heartbeat(&host("h2"), 1, true, NOW);
    d.record_disconnect(&host("h3"));
    assert_eq!(d.live_hosts(NOW), [host("h1")]);
    d.record_heartbeat(&host("h3"), 1, false, NOW);
    let late = NOW + directory::HEARTBEAT_TIMEOUT + clock::Millis(1);
    assert_eq!(d.live_hosts(late), [host("h1")]);
    // Who was never placed is not taken for a host of this data centre.
    d.record_heartbeat(&host("h9"), 1, false, NOW);
    assert!(!d.is_reachable(&host("h9"), NOW));
}

#[test]
fn all_hosts_name_the_same_dispatcher_and_a_lost_one_moves_little() {
    let hosts = ["h1", "h2", "h3"];
    let view = |own: &str, live: &[&str]| {
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
            .map(|h| view(h, &hosts).dispatcher(&service, NOW))
            .collect();
        assert!(all.iter().all(|h| *h == all[0]));
        let without = view("h1", &["h1", "h2"]).dispatcher(&service, NOW);
        if all[0] != host("h3") {
            assert_eq!(without, all[0], "moved without need");
        }
    }
}

#[test]
fn hosts_that_are_neither_listed_nor_heard_are_forgotten() {
    let d = three();
    d.record_heartbeat(&host("h3"), 1, false, NOW);
    let gone = d.remove_unlisted(&[host("h4")], NOW);
    assert_eq!(gone, [host("h2")]);
    assert!(d.is_reachable(&host("h3"), NOW));
}
