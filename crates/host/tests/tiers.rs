//! Higher tiers come first, and what they displace is finished all the same.

mod env;

use std::io::Write as _;
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use standin::engine;

fn as_class(
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
    .expect("answer")
}

/// All slots run low-tier answers when high-tier requests arrive: these meet their target, and the
/// answers that made room are whole, with no token lost or doubled.
#[test]
fn a_higher_tier_displaces_a_lower_one_which_is_finished_later() {
    let mut site = env::Site::new(&["lalitpur", "lalitpur"], 1);
    site.apply(&site.document().replace("first_ms: 10000", "first_ms: 700"));
    let key = site.issue_key("quotes");
    site.start_all();
    env::wait_until("the peers", || site.log(0).contains("event=peer_opened"));
    thread::sleep(time::Duration::from_secs(1));
    // The dispatcher learns how long an answer takes.
    assert!(as_class(&site, 0, &key, "batch", "first", 900).is_complete());
    thread::scope(|scope| {
        let mut low = Vec::new();
        for n in 0..8 {
            let (site, key) = (&site, &key);
            low.push(scope.spawn(move || {
                let prompt = format!("sheet {n}");
                let answer = as_class(site, n % 2, key, "batch", &prompt, 1_500);
                assert!(answer.is_complete(), "{answer:?}");
                assert_eq!(answer.text(), engine::response_text(&prompt, 1_500));
            }));
        }
        env::wait_until("a full engine", || site.engines[0].stats()["running"] == 8);
        let mut high = Vec::new();
        for n in 0..3 {
            let (site, key) = (&site, &key);
            high.push(scope.spawn(move || {
                let prompt = format!("quote {n}");
                let answer = as_class(site, n % 2, key, "chat", &prompt, 20);
                assert!(answer.is_complete(), "{answer:?}");
                assert_eq!(answer.text(), engine::response_text(&prompt, 20));
            }));
        }
        for h in high {
            h.join().expect("high tier");
        }
        assert!(
            low.iter().any(|l| !l.is_finished()),
            "nothing had to make room"
        );
        for l in low {
            l.join().expect("low tier");
        }
    });
    let displaced: usize = (0..2)
        .map(|n| site.log(n).matches("reason=preempted").count())
        .sum();
    assert!(displaced >= 1, "no answer was displaced");
}

/// A host serves no more requests than its limit; the rest are told at once, with a time.
#[test]
fn requests_over_the_host_s_limit_are_refused_at_once() {
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
                assert!(as_class(site, 0, key, "chat", &format!("long {n}"), 1_500).is_complete());
                done.store(true, atomic::Ordering::SeqCst);
            });
        }
        env::wait_until("three running answers", || {
            site.engines[0].stats()["running"] == 3
        });
        // Callers that send their bodies slowly must not keep the next one from its refusal.
        let mut slow = Vec::new();
        for _ in 0..4 {
            let mut socket = net::TcpStream::connect(site.host_configs[0].listen).expect("connect");
            let head =
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n{";
            socket.write_all(head.as_bytes()).expect("send");
            slow.push(socket);
        }
        thread::sleep(time::Duration::from_millis(100));
        let refused = as_class(&site, 0, &key, "chat", "one more", 2);
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
    assert!(as_class(&site, 0, &key, "chat", "room again", 2).is_complete());
}
