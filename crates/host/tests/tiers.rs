//! Tests of priority tiers: requests of a higher tier preempt others, which still complete; and of
//! the limit of concurrent requests per host.

mod env;

use std::io::Write as _;
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use standin::engine;

fn chat_in_class(
    site: &env::Site,
    n: usize,
    key: &str,
    class: &str,
    prompt: &str,
    tokens: u64,
) -> env::Response {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("X-Request-Class", class),
    ];
    let body = env::chat_body(prompt, tokens, true);
    env::call(
        "POST",
        &site.url(n, "/v1/chat/completions"),
        &headers,
        &body,
    )
    .expect("response")
}

/// All slots run low-tier requests when high-tier requests arrive. The high-tier requests must be
/// meet their latency target, and the preempted responses must be complete, with no token lost or
/// duplicated.
#[test]
fn higher_tier_preempts_a_lower_one_which_completes_later() {
    let mut site = env::Site::new(&["lalitpur", "lalitpur"], 1);
    site.apply(&site.document().replace("first_ms: 10000", "first_ms: 700"));
    let key = site.issue_key("quotes");
    site.start_all();
    env::wait_until("the peers", || site.log(0).contains("event=peer_opened"));
    thread::sleep(time::Duration::from_secs(1));
    // Gives the dispatcher an estimate of the run time.
    assert!(chat_in_class(&site, 0, &key, "batch", "first", 900).is_complete());
    thread::scope(|scope| {
        let mut low_tier = Vec::new();
        for n in 0..8 {
            let (site, key) = (&site, &key);
            low_tier.push(scope.spawn(move || {
                let prompt = format!("sheet {n}");
                let response = chat_in_class(site, n % 2, key, "batch", &prompt, 1_500);
                assert!(response.is_complete(), "{response:?}");
                assert_eq!(response.text(), engine::response_text(&prompt, 1_500));
            }));
        }
        env::wait_until("a full engine", || site.engines[0].stats()["running"] == 8);
        let mut high_tier = Vec::new();
        for n in 0..3 {
            let (site, key) = (&site, &key);
            high_tier.push(scope.spawn(move || {
                let prompt = format!("quote {n}");
                let response = chat_in_class(site, n % 2, key, "chat", &prompt, 20);
                assert!(response.is_complete(), "{response:?}");
                assert_eq!(response.text(), engine::response_text(&prompt, 20));
            }));
        }
        for h in high_tier {
            h.join().expect("high tier");
        }
        assert!(
            low_tier.iter().any(|l| !l.is_finished()),
            "no low-tier request was preempted"
        );
        for l in low_tier {
            l.join().expect("low tier");
        }
    });
    let preempted: usize = (0..2)
        .map(|n| site.log(n).matches("reason=preempted").count())
        .sum();
    assert!(preempted >= 1, "no preempted request in the logs");
}

/// A host serves no more concurrent requests than its limit. It must refuse further ones at once,
/// with a `Retry-After` header, even while slow clients send their bodies.
#[test]
fn requests_over_the_limit_of_a_host_are_refused_at_once() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    let file = site.write_settings(0);
    let text = std::fs::read_to_string(&file).expect("settings");
    std::fs::write(&file, format!("{text}limits: {{requests: 3}}\n")).expect("settings");
    site.spawn_with_existing_settings(0);
    site.wait_ready(0);
    let done = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        for n in 0..3 {
            let (site, key, done) = (&site, &key, &done);
            scope.spawn(move || {
                assert!(
                    chat_in_class(site, 0, key, "chat", &format!("long {n}"), 1_500).is_complete()
                );
                done.store(true, atomic::Ordering::SeqCst);
            });
        }
        env::wait_until("three running requests", || {
            site.engines[0].stats()["running"] == 3
        });
        // Clients that send their bodies slowly must not delay the refusal of the next request.
        let mut slow_clients = Vec::new();
        for _ in 0..4 {
            let mut socket = net::TcpStream::connect(site.host_configs[0].listen).expect("connect");
            let head =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{";
            socket.write_all(head.as_bytes()).expect("send");
            slow_clients.push(socket);
        }
        thread::sleep(time::Duration::from_millis(100));
        let refused = chat_in_class(&site, 0, &key, "chat", "one more", 2);
        assert_eq!(
            (refused.status, refused.reason().as_str()),
            (503, "host_full")
        );
        assert_eq!(
            (refused.execution().as_str(), refused.retry_after.as_deref()),
            ("not_run", Some("1"))
        );
        assert!(!done.load(atomic::Ordering::SeqCst));
    });
    assert!(chat_in_class(&site, 0, &key, "chat", "room again", 2).is_complete());
}
