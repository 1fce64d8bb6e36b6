//! Tests of the grants of slots across hosts: by the dispatching host, and by each host from its
//! own share while the dispatching host does not respond.

mod env;

use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use standin::engine;

fn running_requests(site: &env::Site) -> u64 {
    site.engines
        .iter()
        .map(|e| e.stats()["running"].as_u64().expect("count"))
        .sum()
}

/// Sends `count` concurrent requests through `hosts`, checks the responses, and returns the largest
/// number of running and waiting requests that one engine reported.
fn run_load(site: &env::Site, key: &str, hosts: &[usize], count: usize, tokens: u64) -> u64 {
    thread::scope(|scope| {
        let mut clients = Vec::new();
        for n in 0..count {
            let url = site.url(hosts[n % hosts.len()], "/v1/chat/completions");
            clients.push(scope.spawn(move || {
                let prompt = format!("p{n}");
                let response = env::chat(&url, key, &prompt, tokens).expect("response");
                assert!(response.is_complete(), "{response:?}");
                assert_eq!(response.text(), engine::response_text(&prompt, tokens));
            }));
        }
        let mut max_load = 0;
        while clients.iter().any(|c| !c.is_finished()) {
            for e in &site.engines {
                let stats = e.stats();
                let load = stats["running"].as_u64().expect("count")
                    + stats["waiting"].as_u64().expect("count");
                max_load = max_load.max(load);
            }
            thread::sleep(time::Duration::from_millis(5));
        }
        for c in clients {
            c.join().expect("client");
        }
        max_load
    })
}

fn wait_connected(site: &env::Site) {
    for n in 0..site.host_configs.len() {
        env::wait_until("all peers", || {
            site.log(n).matches("event=peer_opened").count() >= site.host_configs.len() - 1
        });
    }
    // Two heartbeat intervals, so that every host has received the heartbeats of all others.
    thread::sleep(time::Duration::from_millis(900));
}

#[test]
fn hosts_of_a_data_centre_share_the_slots_of_an_engine() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur", "lalitpur"], 1);
    wait_connected(&site);
    let max_load = run_load(&site, &key, &[0, 1, 2], 60, 100);
    assert!(max_load <= 8, "{max_load} answers at once on 8 slots");
}

/// The dispatching host is suspended, and in a second round killed, under load. The other hosts
/// must serve all requests, and the slots must not be oversubscribed after its return.
#[test]
fn frozen_or_killed_dispatcher_stops_no_requests() {
    for signal in [libc::SIGSTOP, libc::SIGKILL] {
        let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur", "lalitpur"], 1);
        wait_connected(&site);
        let names: Vec<&str> = site.host_configs.iter().map(|p| p.name.as_str()).collect();
        let dispatcher_name =
            base::hash::rendezvous("drafter", names.iter().copied()).expect("dispatcher");
        let dispatcher = site
            .host_configs
            .iter()
            .position(|p| p.name == dispatcher_name)
            .expect("place");
        let others: Vec<usize> = (0..3).filter(|n| *n != dispatcher).collect();
        thread::scope(|scope| {
            let (shared_site, key, others) = (&site, &key, &others);
            let load_thread = scope.spawn(move || run_load(shared_site, key, others, 80, 100));
            thread::sleep(time::Duration::from_millis(300));
            shared_site.host(dispatcher).signal(signal);
            load_thread.join().expect("load");
        });
        site.host(dispatcher).signal(libc::SIGCONT);
        if signal == libc::SIGKILL {
            site.host_mut(dispatcher).kill();
            site.start(dispatcher);
        }
        thread::sleep(time::Duration::from_millis(1_500));
        let max_load = run_load(&site, &key, &[0, 1, 2], 40, 50);
        assert!(
            max_load <= 8,
            "{max_load} answers at once on 8 slots after the return"
        );
        assert_eq!(running_requests(&site), 0);
    }
}

/// Connections to the peer port without the secret or with invalid frames must not disturb the
/// hosts.
#[test]
fn unauthenticated_connections_and_invalid_frames_are_harmless() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 1);
    wait_connected(&site);
    let mut sockets = Vec::new();
    for n in 0..100u8 {
        let mut socket = net::TcpStream::connect(site.host_configs[0].peer).expect("connect");
        let _ = socket.write_all(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n");
        let _ = socket.write_all(&[n; 300]);
        sockets.push(socket);
    }
    let max_load = run_load(&site, &key, &[0, 1], 20, 20);
    assert!(max_load <= 8);
    assert!(!site.log(0).contains("child_restarted"));
}

/// An upstream that the platform lists as leaving must get no new requests after a few seconds.
#[test]
fn leaving_upstream_gets_no_new_requests() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 2);
    wait_connected(&site);
    run_load(&site, &key, &[0, 1], 20, 10);
    let host_list = r#"{"hosts":[],"upstreams":[{"name":"e0","state":"leaving"}]}"#;
    env::client()
        .post(site.platform.url("/list"))
        .send(host_list)
        .expect("list");
    thread::sleep(time::Duration::from_secs(4));
    let started = |n: usize| site.engines[n].stats()["started"].as_u64().expect("count");
    let before = (started(0), started(1));
    run_load(&site, &key, &[0, 1], 20, 10);
    assert_eq!(started(0), before.0);
    assert_eq!(started(1), before.1 + 20);
}
