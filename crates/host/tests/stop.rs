//! Graceful stop on `SIGTERM`: running requests finish, leases and usage are handed over, and a
//! second signal ends the process at once. Also exit codes when a host cannot start.

mod env;

use std::thread;
use std::time;

#[test]
fn graceful_stop_finishes_requests_and_hands_over_lease_and_usage() {
    let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 2);
    let url = site.url(0, "/v1/chat/completions");
    let code = thread::scope(|scope| {
        let mut clients = Vec::new();
        for n in 0..6 {
            let (url, key) = (&url, &key);
            clients.push(
                scope.spawn(move || env::chat(url, key, &format!("p{n}"), 300).expect("response")),
            );
        }
        env::wait_until("all requests to run", || {
            site.engines
                .iter()
                .map(|e| e.stats()["running"].as_u64().expect("count"))
                .sum::<u64>()
                == 6
        });
        site.host(0).signal(libc::SIGTERM);
        let code = site.host_mut(0).wait();
        for client in clients {
            let response = client.join().expect("client");
            assert!(response.is_complete(), "{response:?}");
        }
        code
    });
    assert_eq!(code, Some(0));
    let log = site.log(0);
    assert!(log.contains("event=stopped cut=0 usage_open=0"), "{log}");
    // Either host may have held the leases. If the stopped host did, it must have released them.
    let claimed = log.matches("event=lease_claimed").count();
    assert_eq!(
        log.matches("event=lease_released").count(),
        claimed,
        "{log}"
    );
}

/// Guards against a host that stops accepting requests before the load balancer has seen that it
/// is not ready.
#[test]
fn stopping_host_reports_not_ready_and_still_serves() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    site.times_yaml.push_str("\n  drain_ms: 5000");
    site.times_yaml = site.times_yaml.replace("linger_ms: 100", "linger_ms: 1500");
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    site.host(0).signal(libc::SIGTERM);
    let ready_url = site.url(0, "/readyz");
    env::wait_until("the host to report not ready", || {
        env::call("GET", &ready_url, &[], "").is_ok_and(|r| r.status == 503)
    });
    assert_eq!(
        env::call("GET", &site.url(0, "/healthz"), &[], "")
            .expect("health")
            .status,
        200
    );
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "late", 3)
            .expect("response")
            .is_complete()
    );
    assert_eq!(site.host_mut(0).wait(), Some(0));
}

#[test]
fn second_signal_stops_the_host_at_once() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    site.times_yaml = site
        .times_yaml
        .replace("linger_ms: 100", "linger_ms: 60000");
    site.apply(&site.document());
    site.start_all();
    site.host(0).signal(libc::SIGTERM);
    thread::sleep(time::Duration::from_millis(100));
    site.host(0).signal(libc::SIGTERM);
    assert_eq!(site.host_mut(0).wait(), Some(130));
}

#[test]
fn address_in_use_and_invalid_settings_are_reported() {
    let mut site = env::Site::new(&["lalitpur"], 0);
    let _listener = std::net::TcpListener::bind(site.host_configs[0].listen).expect("bind");
    site.spawn(0);
    assert_eq!(site.host_mut(0).wait(), Some(1));
    let file = site.dir.join("faulty.yaml");
    std::fs::write(&file, "host: 'a b'\ndc: x\nregion: y\nlisten: here\npeer: there\nstore: s\nplatform: p\nsecret: short\n")
        .expect("settings");
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_jacinthslip"))
        .args(["check", "--settings"])
        .arg(&file)
        .output()
        .expect("check");
    assert_eq!(output.status.code(), Some(2));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(errors.lines().count(), 6, "{errors}");
    assert!(errors.contains(":1:7: host"), "{errors}");
}
