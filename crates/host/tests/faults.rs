//! Engines that fail in the middle of answers: the caller gets its whole answer, once, or an
//! explicit error.

mod env;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use standin::engine;

const TOKENS: u64 = 40;

/// Each fault of the first engine asked, after some tokens.
const CASES: &[(&str, &str)] = &[
    (
        "it refuses before running",
        r#"{"mode":"refuse","count":1}"#,
    ),
    (
        "it cuts before the first token",
        r#"{"mode":"cut","after":0,"count":1}"#,
    ),
    (
        "it cuts in the middle",
        r#"{"mode":"cut","after":17,"count":1}"#,
    ),
    ("it cuts twice", r#"{"mode":"cut","after":11,"count":2}"#),
    (
        "it ends without the end mark",
        r#"{"mode":"no_end","after":9,"count":1}"#,
    ),
    (
        "it cuts after the answer, before the end mark",
        r#"{"mode":"cut_end","count":1}"#,
    ),
    ("it stalls", r#"{"mode":"stall","after":5,"count":1}"#),
    (
        "it sends garbage",
        r#"{"mode":"garbage","after":5,"count":1}"#,
    ),
    (
        "it sends another's answer",
        r#"{"mode":"crossed","after":5,"count":1}"#,
    ),
    ("it trickles", r#"{"mode":"slow","after":5,"count":1}"#),
];

fn site() -> (env::Site, String) {
    let mut site = env::Site::new(&["lalitpur"], 2);
    site.times_yaml.push_str("\n  stall_ms: 400");
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    (site, key)
}

#[test]
fn an_answer_goes_on_elsewhere_with_no_token_lost_or_doubled() {
    let (site, key) = site();
    let url = site.url(0, "/v1/chat/completions");
    for (name, fault) in CASES {
        for engine in &site.engines {
            engine.set_fault(fault);
        }
        let answer = env::chat(&url, &key, name, TOKENS).expect(name);
        assert!(answer.is_complete(), "{name}: {answer:?}");
        assert_eq!(answer.text(), engine::response_text(name, TOKENS), "{name}");
        for engine in &site.engines {
            engine.set_fault("{}");
        }
        // The breakers and the straggler rule must not outlast the fault.
        thread::sleep(time::Duration::from_millis(600));
    }
}

#[test]
fn an_answer_that_can_t_go_on_ends_with_an_error_and_no_end_mark() {
    let (site, key) = site();
    let url = site.url(0, "/v1/chat/completions");
    let first = env::chat(&url, &key, "before", 3).expect("answer");
    assert!(first.is_complete());
    for engine in &site.engines {
        engine.set_fault(r#"{"mode":"cut","after":1,"count":1000}"#);
    }
    let answer = env::chat(&url, &key, "never whole", TOKENS).expect("answer");
    assert_eq!(answer.status, 200);
    assert!(!answer.is_complete(), "{answer:?}");
    let last = answer.events().last().expect("an event");
    let last: serde_json::Value = serde_json::from_str(last).expect("json");
    assert_eq!(last["error"]["reason"], "upstream_failed");
    assert_eq!(last["error"]["run"], "unknown");
    let told = engine::response_text("never whole", TOKENS);
    assert!(told.starts_with(&answer.text()));
}

#[test]
fn a_refusal_before_the_first_byte_is_not_run() {
    let (site, key) = site();
    for engine in &site.engines {
        engine.set_fault(r#"{"mode":"refuse","count":1000}"#);
    }
    let url = site.url(0, "/v1/chat/completions");
    let refused = env::chat(&url, &key, "no room", 5).expect("refusal");
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(refused.execution(), "not_run");
    let started: u64 = site
        .engines
        .iter()
        .map(|e| e.stats()["started"].as_u64().expect("count"))
        .sum();
    assert_eq!(started, 0);
}

#[test]
fn a_caller_that_goes_away_cancels_its_answer_upstream() {
    let (site, key) = site();
    let body = env::chat_body("a long one", 5_000, true);
    let mut socket = net::TcpStream::connect(site.host_configs[0].listen).expect("connect");
    write!(
        socket,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("send");
    let mut some = [0; 400];
    socket.read_exact(&mut some).expect("the beginning");
    drop(socket);
    env::wait_until("a cancelled answer", || {
        site.engines
            .iter()
            .any(|e| e.stats()["cancelled"].as_u64() == Some(1))
    });
}

#[test]
fn bad_requests_are_told_and_the_next_caller_is_unharmed() {
    let (site, key) = site();
    let url = site.url(0, "/v1/chat/completions");
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let many = "x".repeat(3 << 20);
    let cases: &[(&str, &str, u16, &str)] = &[
        ("broken JSON", "{\"model\": ", 400, "bad_request"),
        ("no model", "{\"messages\": []}", 400, "bad_request"),
        (
            "an unknown model",
            r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#,
            404,
            "unknown_model",
        ),
        (
            "no messages",
            r#"{"model":"drafter-7b","messages":[]}"#,
            400,
            "bad_request",
        ),
        (
            "two answers at once",
            r#"{"model":"drafter-7b","n":2,"messages":[{"role":"user","content":"x"}]}"#,
            400,
            "bad_request",
        ),
        (
            "a negative limit",
            r#"{"model":"drafter-7b","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}"#,
            400,
            "bad_request",
        ),
        ("a body over the limit", &many, 413, "too_large"),
    ];
    for (name, body, status, reason) in cases {
        let refused = env::call("POST", &url, &headers, body).expect(name);
        assert_eq!(
            (refused.status, refused.reason().as_str()),
            (*status, *reason),
            "{name}"
        );
        assert_eq!(refused.execution(), "not_run", "{name}");
    }
    let classed = [
        ("Authorization", bearer.as_str()),
        ("X-Request-Class", "none"),
    ];
    let body = env::chat_body("x", 2, true);
    let refused = env::call("POST", &url, &classed, &body).expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (400, "unknown_class")
    );
    for path in ["/", "/v1/none", "/s/none/x", "/s/drafter/x"] {
        let refused = env::call("GET", &site.url(0, path), &headers, "").expect("refusal");
        assert_eq!(refused.status, 404, "{path}");
    }
    assert!(
        env::chat(&url, &key, "unharmed", 5)
            .expect("answer")
            .is_complete()
    );
}

#[test]
fn half_closed_broken_and_slow_callers_harm_nobody() {
    let (site, key) = site();
    let listen = site.host_configs[0].listen;
    let mut held = Vec::new();
    for text in [
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
        "GET / HT",
        "\u{0}\u{1}garbage\r\n\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ] {
        let mut socket = net::TcpStream::connect(listen).expect("connect");
        socket.write_all(text.as_bytes()).expect("send");
        socket.shutdown(net::Shutdown::Write).expect("half-close");
        held.push(socket);
    }
    for _ in 0..50 {
        held.push(net::TcpStream::connect(listen).expect("connect"));
    }
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "unharmed", 5)
            .expect("answer")
            .is_complete()
    );
    drop(held);
    assert!(
        env::chat(&url, &key, "unharmed", 5)
            .expect("answer")
            .is_complete()
    );
}

#[test]
fn every_refusal_and_retry_reason_has_its_counter() {
    let (site, _key) = site();
    let url = site.url(0, "/v1/chat/completions");
    env::chat(&url, "jk-nobody", "x", 1).expect("refusal");
    let text = env::call("GET", &site.url(0, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    for reason in base::refusal::Reason::ALL {
        let line = format!("refusals_total{{reason=\"{}\"", reason.as_str());
        assert!(text.contains(&line), "{line} is missing in\n{text}");
    }
    let bad_key = text
        .lines()
        .find(|l| l.starts_with("refusals_total{reason=\"bad_key\""));
    assert!(bad_key.is_some_and(|l| l.ends_with(" 1")), "{bad_key:?}");
    for reason in ["connect", "refused", "broken", "slow", "preempted"] {
        assert!(
            text.contains(&format!("retries_total{{reason=\"{reason}\"")),
            "{reason}"
        );
    }
}

/// The engine says that the answer has ended, and the connection breaks before the end mark: the
/// answer is whole and is not continued.
#[test]
fn an_answer_that_has_ended_is_not_continued() {
    let (site, key) = site();
    for engine in &site.engines {
        engine.set_fault(r#"{"mode":"cut_end","count":1}"#);
    }
    let url = site.url(0, "/v1/chat/completions");
    let bearer = format!("Bearer {key}");
    // Without a limit of its own a continued answer would grow.
    let body =
        r#"{"model":"drafter-7b","stream":true,"messages":[{"role":"user","content":"short"}]}"#;
    let headers = [("Authorization", bearer.as_str())];
    let answer = env::call("POST", &url, &headers, body).expect("answer");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), engine::response_text("short", 16));
}

/// An engine that trickles far over the class's target is left for another, once.
#[test]
fn an_answer_that_trickles_moves_to_a_faster_engine() {
    let mut site = env::Site::new(&["lalitpur"], 2);
    site.apply(
        &site
            .document()
            .replace("first_ms: 10000", "first_ms: 10000, gap_ms: 3"),
    );
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    for engine in &site.engines {
        engine.set_fault(r#"{"mode":"slow","count":1}"#);
    }
    let answer = env::chat(&url, &key, "a slow one", 200).expect("answer");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), engine::response_text("a slow one", 200));
    let text = env::call("GET", &site.url(0, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    let slow = text
        .lines()
        .find(|l| l.starts_with("retries_total{reason=\"slow\""));
    assert!(slow.is_some_and(|l| l.ends_with(" 1")), "{slow:?}");
}

/// The first engine breaks off before its first token, the second can't be reached: the request
/// may have run on the first, and the refusal says so.
#[test]
fn a_request_that_reached_one_upstream_is_never_said_not_to_have_run() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    let dead = env::free_port();
    let document = site.document();
    let line = document
        .lines()
        .find(|l| l.contains("name: e0"))
        .expect("engine");
    let other = line
        .replace("e0", "e9")
        .replace(&site.engines[0].address.to_string(), &dead.to_string());
    let plain = document
        .lines()
        .find(|l| l.contains("name: p-lalitpur"))
        .expect("plain");
    let second = plain
        .replace("p-", "q-")
        .replace(&site.plain.address.to_string(), &dead.to_string());
    let document = document
        .replace(line, &format!("{line}\n{other}"))
        .replace(plain, &format!("{plain}\n{second}"));
    site.apply(&document);
    let key = site.issue_key("quotes");
    site.start_all();

    site.engines[0].set_fault(r#"{"mode":"cut","after":0,"count":1000}"#);
    let url = site.url(0, "/v1/chat/completions");
    let refused = env::chat(&url, &key, "reached one", 5).expect("refusal");
    assert_eq!(refused.execution(), "unknown", "{refused:?}");
    assert!(site.engines[0].stats()["started"].as_u64() > Some(0));

    site.plain
        .set_fault(r#"{"mode":"lose_answer","count":1000}"#);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let refused = env::call("GET", &site.url(0, "/s/ledger/x"), &headers, "").expect("refusal");
    assert_eq!(refused.execution(), "unknown", "{refused:?}");

    // What an upstream answers to a call that may be repeated is passed on when nobody else is left.
    site.plain.set_fault(r#"{"mode":"refuse","count":1000}"#);
    let answer = env::call("GET", &site.url(0, "/s/ledger/x"), &headers, "").expect("answer");
    assert_eq!((answer.status, answer.body.as_str()), (503, ""));
}

/// Silence counts as a stall only inside an answer: a call may take longer than that to begin.
#[test]
fn an_answer_that_begins_late_is_waited_for() {
    let mut site = env::Site::new(&["lalitpur"], 0);
    site.times_yaml
        .push_str("\n  stall_ms: 300\n  answer_ms: 10000");
    site.engines
        .push(env::spawn_standin_with("engine", &["8", "900", "2"]));
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    let answer = env::chat(&url, &key, "begins late", 5).expect("answer");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), engine::response_text("begins late", 5));

    site.plain.set_fault(r#"{"run_ms":900}"#);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let answer =
        env::call("POST", &site.url(0, "/s/ledger/slow"), &headers, "one").expect("answer");
    assert_eq!(answer.status, 200, "{answer:?}");
}
