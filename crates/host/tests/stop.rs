//! Planned stops cut no request; a second signal is fast.

mod env;

use std::thread;
use std::time;

#[test]
fn a_planned_stop_cuts_no_request_and_hands_over_lease_and_usage() {
    let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 2);
    let url = site.url(0, "/v1/chat/completions");
    let code = thread::scope(|scope| {
        let mut running = Vec::new();
        for n in 0..6 {
            let (url, key) = (&url, &key);
            running.push(
                scope.spawn(move || env::chat(url, key, &format!("p{n}"), 300).expect("answer")),
            );
        }
        env::wait_until("running answers", || {
            site.engines
                .iter()
                .map(|e| e.stats()["running"].as_u64().expect("count"))
                .sum::<u64>()
                == 6
        });
        site.host(0).signal(libc::SIGTERM);
        let code = site.host_mut(0).wait();
        for r in running {
            let answer = r.join().expect("caller");
            assert!(answer.is_complete(), "{answer:?}");
        }
        code
    });
    assert_eq!(code, Some(0));
    let log = site.log(0);
    assert!(log.contains("event=stopped cut=0 usage_open=0"), "{log}");
    // Either host may have held the leases; if this one did, it gave them back.
    let claimed = log.matches("event=lease_claimed").count();
    assert_eq!(
        log.matches("event=lease_released").count(),
        claimed,
        "{log}"
    );
}

#[test]
fn a_stopping_host_tells_the_balancer_first_and_still_serves() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    site.times_yaml.push_str("\n  drain_ms: 5000");
    site.times_yaml = site.times_yaml.replace("linger_ms: 100", "linger_ms: 1500");
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    site.host(0).signal(libc::SIGTERM);
    let ready = site.url(0, "/readyz");
    env::wait_until("not ready", || {
        env::call("GET", &ready, &[], "").is_ok_and(|a| a.status == 503)
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
            .expect("answer")
            .is_complete()
    );
    assert_eq!(site.host_mut(0).wait(), Some(0));
}

#[test]
fn a_second_signal_ends_the_wait() {
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
fn a_taken_address_and_faulty_settings_are_told_to_a_person() {
    let mut site = env::Site::new(&["lalitpur"], 0);
    let _taken = std::net::TcpListener::bind(site.host_configs[0].listen).expect("bind");
    site.spawn(0);
    assert_eq!(site.host_mut(0).wait(), Some(1));
    let file = site.dir.join("faulty.yaml");
    std::fs::write(&file, "host: 'a b'\ndc: x\nregion: y\nlisten: here\npeer: there\nstore: s\nplatform: p\nsecret: short\n")
        .expect("settings");
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_jacinthslip"))
        .args(["check", "--settings"])
        .arg(&file)
        .output()
        .expect("check");
    assert_eq!(out.status.code(), Some(2));
    let err = String::from_utf8_lossy(&out.stderr);
    assert_eq!(err.lines().count(), 6, "{err}");
    assert!(err.contains(":1:7: host"), "{err}");
}
