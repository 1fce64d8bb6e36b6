//! Hosts act as one: grants from the dispatching host, and from themselves when it is gone.

mod env;

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use standin::engine;

fn running(site: &env::Site) -> u64 {
    site.engines
        .iter()
        .map(|e| e.stats()["running"].as_u64().expect("count"))
        .sum()
}

/// Many answers at once over all hosts; the most that ran at once on one engine.
fn load(site: &env::Site, key: &str, hosts: &[usize], count: usize, tokens: u64) -> u64 {
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for n in 0..count {
            let url = site.url(hosts[n % hosts.len()], "/v1/chat/completions");
            callers.push(scope.spawn(move || {
                let prompt = format!("p{n}");
                let answer = env::chat(&url, key, &prompt, tokens).expect("answer");
                assert!(answer.is_complete(), "{answer:?}");
                assert_eq!(answer.text(), engine::response_text(&prompt, tokens));
            }));
        }
        let mut most = 0;
        while callers.iter().any(|c| !c.is_finished()) {
            for e in &site.engines {
                let stats = e.stats();
                let now = stats["running"].as_u64().expect("count")
                    + stats["waiting"].as_u64().expect("count");
                most = most.max(now);
            }
            thread::sleep(time::Duration::from_millis(5));
        }
        for c in callers {
            c.join().expect("caller");
        }
        most
    })
}

fn connected(site: &env::Site) {
    for n in 0..site.host_configs.len() {
        env::wait_until("all peers", || {
            site.log(n).matches("event=peer_opened").count() >= site.host_configs.len() - 1
        });
    }
    // Heartbeats of all have come.
    thread::sleep(time::Duration::from_millis(900));
}

#[test]
fn hosts_of_a_data_centre_share_the_slots_of_an_engine() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur", "lalitpur"], 1);
    connected(&site);
    let most = load(&site, &key, &[0, 1, 2], 60, 100);
    assert!(most <= 8, "{most} answers at once on 8 slots");
}

/// The dispatching host is frozen, then killed, under load: the others go on.
#[test]
fn a_frozen_or_killed_dispatcher_stops_nobody() {
    for signal in [libc::SIGSTOP, libc::SIGKILL] {
        let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur", "lalitpur"], 1);
        connected(&site);
        let names: Vec<&str> = site.host_configs.iter().map(|p| p.name.as_str()).collect();
        let chosen = base::hash::rendezvous("drafter", names.iter().copied()).expect("dispatcher");
        let dispatcher = site
            .host_configs
            .iter()
            .position(|p| p.name == chosen)
            .expect("place");
        let others: Vec<usize> = (0..3).filter(|n| *n != dispatcher).collect();
        thread::scope(|scope| {
            let (loaded, key, others) = (&site, &key, &others);
            let load = scope.spawn(move || load(loaded, key, others, 80, 100));
            thread::sleep(time::Duration::from_millis(300));
            loaded.host(dispatcher).signal(signal);
            load.join().expect("load");
        });
        site.host(dispatcher).signal(libc::SIGCONT);
        if signal == libc::SIGKILL {
            site.host_mut(dispatcher).kill();
            site.start(dispatcher);
        }
        thread::sleep(time::Duration::from_millis(1_500));
        let most = load(&site, &key, &[0, 1, 2], 40, 50);
        assert!(
            most <= 8,
            "{most} answers at once on 8 slots after the return"
        );
        assert_eq!(running(&site), 0);
    }
}

/// Whoever connects without the secret, or sends garbage, harms nobody.
#[test]
fn strangers_and_garbage_at_the_peer_port_harm_nobody() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 1);
    connected(&site);
    let mut held = Vec::new();
    for n in 0..100u8 {
        let mut socket = net::TcpStream::connect(site.host_configs[0].peer).expect("connect");
        let _ = socket.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        let _ = socket.write_all(&[n; 300]);
        held.push(socket);
    }
    let most = load(&site, &key, &[0, 1], 20, 20);
    assert!(most <= 8);
    assert!(!site.log(0).contains("child_restarted"));
}

/// An upstream that the list shows as leaving gets no new work after a few seconds.
#[test]
fn a_leaving_upstream_gets_no_new_work() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 2);
    connected(&site);
    load(&site, &key, &[0, 1], 20, 10);
    let list = r#"{"hosts":[],"upstreams":[{"name":"e0","state":"leaving"}]}"#;
    env::client()
        .post(site.platform.url("/list"))
        .send(list)
        .expect("list");
    thread::sleep(time::Duration::from_secs(4));
    let started = |n: usize| site.engines[n].stats()["started"].as_u64().expect("count");
    let before = (started(0), started(1));
    load(&site, &key, &[0, 1], 20, 10);
    assert_eq!(started(0), before.0);
    assert_eq!(started(1), before.1 + 20);
}
