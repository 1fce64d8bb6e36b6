//! Upstreams that fail before, during or after a response, and clients that send invalid requests
//! or disconnect. Guards against responses with lost or repeated tokens, against truncated
//! responses without an error, and against error responses that report `not_run` for a request
//! that an upstream may have run.

mod env;

use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::thread;
use std::time;

use standin::{address, engine};

const MAX_TOKENS: u64 = 40;

/// Description of a fault, also used as the prompt, and the fault as JSON for the stand-in engines.
/// `count` is the number of requests that each engine fails, `after` the number of tokens that it
/// sends before the fault.
const FAULT_CASES: &[(&str, &str)] = &[
    (
        "engine refuses before running",
        r#"{"mode":"refuse","count":1}"#,
    ),
    (
        "connection breaks before the first token",
        r#"{"mode":"cut","after":0,"count":1}"#,
    ),
    (
        "connection breaks in the middle",
        r#"{"mode":"cut","after":17,"count":1}"#,
    ),
    (
        "connection breaks twice",
        r#"{"mode":"cut","after":11,"count":2}"#,
    ),
    (
        "stream ends without [DONE]",
        r#"{"mode":"no_end","after":9,"count":1}"#,
    ),
    (
        "connection breaks after the last token, before [DONE]",
        r#"{"mode":"cut_end","count":1}"#,
    ),
    ("engine stalls", r#"{"mode":"stall","after":5,"count":1}"#),
    (
        "engine sends an invalid event",
        r#"{"mode":"garbage","after":5,"count":1}"#,
    ),
    (
        "engine sends the response of another request",
        r#"{"mode":"crossed","after":5,"count":1}"#,
    ),
    (
        "engine sends tokens slowly",
        r#"{"mode":"slow","after":5,"count":1}"#,
    ),
];

/// Starts a site of one host and two engines, with a stall timeout of 400 ms. Also returns an API
/// key.
fn start_site() -> (env::Site, String) {
    let mut site = env::Site::new(&["lalitpur"], 2);
    site.times_yaml.push_str("\n  stall_ms: 400");
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    (site, key)
}

#[test]
fn failed_stream_continues_on_another_engine_without_losing_or_repeating_tokens() {
    let (site, key) = start_site();
    let url = site.url(0, "/v1/chat/completions");
    for (name, fault) in FAULT_CASES {
        for engine in &site.engines {
            engine.set_fault(fault);
        }
        let response = env::chat(&url, &key, name, MAX_TOKENS).expect(name);
        assert!(response.is_complete(), "{name}: {response:?}");
        assert_eq!(
            response.text(),
            engine::response_text(name, MAX_TOKENS),
            "{name}"
        );
        for engine in &site.engines {
            engine.set_fault("{}");
        }
        // Lets the circuit breakers close and the detection of slow engines reset before the next
        // case.
        thread::sleep(time::Duration::from_millis(600));
    }
}

#[test]
fn stream_that_cannot_continue_ends_with_an_error_and_without_done() {
    let (site, key) = start_site();
    let url = site.url(0, "/v1/chat/completions");
    let first = env::chat(&url, &key, "before", 3).expect("response");
    assert!(first.is_complete());
    for engine in &site.engines {
        engine.set_fault(r#"{"mode":"cut","after":1,"count":1000}"#);
    }
    let response = env::chat(&url, &key, "never complete", MAX_TOKENS).expect("response");
    assert_eq!(response.status, 200);
    assert!(!response.is_complete(), "{response:?}");
    let last_event = response.events().last().expect("an event");
    let error: serde_json::Value = serde_json::from_str(last_event).expect("json");
    assert_eq!(error["error"]["reason"], "upstream_failed");
    assert_eq!(error["error"]["run"], "unknown");
    let expected = engine::response_text("never complete", MAX_TOKENS);
    assert!(expected.starts_with(&response.text()));
}

#[test]
fn refusal_before_the_first_token_reports_not_run() {
    let (site, key) = start_site();
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
fn client_disconnect_cancels_the_upstream_request() {
    let (site, key) = start_site();
    let body = env::chat_body("a long one", 5_000, true);
    let mut socket = net::TcpStream::connect(site.host_configs[0].listen).expect("connect");
    write!(
        socket,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("send");
    let mut received = [0; 400];
    socket.read_exact(&mut received).expect("first bytes");
    drop(socket);
    env::wait_until("the upstream request to be cancelled", || {
        site.engines
            .iter()
            .any(|e| e.stats()["cancelled"].as_u64() == Some(1))
    });
}

#[test]
fn invalid_requests_are_refused_and_later_requests_succeed() {
    let (site, key) = start_site();
    let url = site.url(0, "/v1/chat/completions");
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let oversized = "x".repeat(3 << 20);
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
            "two completions at once",
            r#"{"model":"drafter-7b","n":2,"messages":[{"role":"user","content":"x"}]}"#,
            400,
            "bad_request",
        ),
        (
            "a negative token limit",
            r#"{"model":"drafter-7b","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}"#,
            400,
            "bad_request",
        ),
        ("a body over the limit", &oversized, 413, "too_large"),
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
    let class_headers = [
        ("Authorization", bearer.as_str()),
        ("X-Request-Class", "none"),
    ];
    let body = env::chat_body("x", 2, true);
    let refused = env::call("POST", &url, &class_headers, &body).expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (400, "unknown_class")
    );
    for path in ["/", "/v1/none", "/s/none/x", "/s/drafter/x"] {
        let refused = env::call("GET", &site.url(0, path), &headers, "").expect("refusal");
        assert_eq!(refused.status, 404, "{path}");
    }
    assert!(
        env::chat(&url, &key, "a valid request", 5)
            .expect("response")
            .is_complete()
    );
}

#[test]
fn half_closed_malformed_and_idle_connections_do_not_affect_other_clients() {
    let (site, key) = start_site();
    let listen = site.host_configs[0].listen;
    let mut sockets = Vec::new();
    for text in [
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{",
        "GET / HT",
        "\u{0}\u{1}garbage\r\n\r\n",
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ] {
        let mut socket = net::TcpStream::connect(listen).expect("connect");
        socket.write_all(text.as_bytes()).expect("send");
        socket.shutdown(net::Shutdown::Write).expect("half-close");
        sockets.push(socket);
    }
    for _ in 0..50 {
        sockets.push(net::TcpStream::connect(listen).expect("connect"));
    }
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "a valid request", 5)
            .expect("response")
            .is_complete()
    );
    drop(sockets);
    assert!(
        env::chat(&url, &key, "a valid request", 5)
            .expect("response")
            .is_complete()
    );
}

#[test]
fn every_refusal_and_retry_reason_has_a_counter() {
    let (site, _key) = start_site();
    let url = site.url(0, "/v1/chat/completions");
    env::chat(&url, "jk-nobody", "x", 1).expect("refusal");
    let metrics = env::call("GET", &site.url(0, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    for reason in base::refusal::Reason::ALL {
        let line = format!("refusals_total{{reason=\"{}\"", reason.as_str());
        assert!(metrics.contains(&line), "{line} is missing in\n{metrics}");
    }
    let bad_key = metrics
        .lines()
        .find(|l| l.starts_with("refusals_total{reason=\"bad_key\""));
    assert!(bad_key.is_some_and(|l| l.ends_with(" 1")), "{bad_key:?}");
    for reason in ["connect", "refused", "broken", "slow", "preempted"] {
        assert!(
            metrics.contains(&format!("retries_total{{reason=\"{reason}\"")),
            "{reason}"
        );
    }
}

/// Guards against continuing a complete response. The engine sends the finish reason, and its
/// connection breaks before `[DONE]`.
#[test]
fn stream_cut_after_its_finish_reason_is_not_continued() {
    let (site, key) = start_site();
    for engine in &site.engines {
        engine.set_fault(r#"{"mode":"cut_end","count":1}"#);
    }
    let url = site.url(0, "/v1/chat/completions");
    let bearer = format!("Bearer {key}");
    // Without a token limit in the request, a continued response would get longer.
    let body =
        r#"{"model":"drafter-7b","stream":true,"messages":[{"role":"user","content":"short"}]}"#;
    let headers = [("Authorization", bearer.as_str())];
    let response = env::call("POST", &url, &headers, body).expect("response");
    assert!(response.is_complete(), "{response:?}");
    assert_eq!(response.text(), engine::response_text("short", 16));
}

/// A stream whose gaps between tokens are far above the target of its class moves to another
/// engine. It moves only once, even if the second engine is slow as well.
#[test]
fn slow_stream_moves_to_another_engine_once() {
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
    let response = env::chat(&url, &key, "a slow one", 200).expect("response");
    assert!(response.is_complete(), "{response:?}");
    assert_eq!(response.text(), engine::response_text("a slow one", 200));
    let metrics = env::call("GET", &site.url(0, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    let slow = metrics
        .lines()
        .find(|l| l.starts_with("retries_total{reason=\"slow\""));
    assert!(slow.is_some_and(|l| l.ends_with(" 1")), "{slow:?}");
}

/// Guards against an error response that reports `not_run` because the last attempt failed to
/// connect. The connection to the first upstream breaks before its first token, so the request may
/// have run there, and the second upstream is unreachable.
#[test]
fn request_that_reached_an_upstream_never_reports_not_run() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    let unreachable = address::free_address();
    let document = site.document();
    let engine_line = document
        .lines()
        .find(|l| l.contains("name: e0"))
        .expect("engine");
    let second_engine = engine_line.replace("e0", "e9").replace(
        &site.engines[0].address.to_string(),
        &unreachable.to_string(),
    );
    let plain_line = document
        .lines()
        .find(|l| l.contains("name: p-lalitpur"))
        .expect("plain");
    let second_plain = plain_line
        .replace("p-", "q-")
        .replace(&site.plain.address.to_string(), &unreachable.to_string());
    let document = document
        .replace(engine_line, &format!("{engine_line}\n{second_engine}"))
        .replace(plain_line, &format!("{plain_line}\n{second_plain}"));
    site.apply(&document);
    let key = site.issue_key("quotes");
    site.start_all();

    site.engines[0].set_fault(r#"{"mode":"cut","after":0,"count":1000}"#);
    let url = site.url(0, "/v1/chat/completions");
    let refused = env::chat(&url, &key, "reached one", 5).expect("refusal");
    let told = (refused.status, refused.execution());
    assert_eq!(told, (502, "unknown".to_owned()), "{refused:?}");
    assert!(site.engines[0].stats()["started"].as_u64() > Some(0));

    site.plain
        .set_fault(r#"{"mode":"lose_answer","count":1000}"#);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let refused = env::call("GET", &site.url(0, "/s/ledger/x"), &headers, "").expect("refusal");
    let told = (refused.status, refused.execution());
    assert_eq!(told, (502, "unknown".to_owned()), "{refused:?}");

    // The upstream's own response to an idempotent request is forwarded if no other upstream is
    // left to try, but not a status that promises that nothing ran.
    site.plain.set_fault(r#"{"mode":"fail","count":1000}"#);
    let response = env::call("GET", &site.url(0, "/s/ledger/x"), &headers, "").expect("response");
    assert_eq!((response.status, response.body.as_str()), (500, ""));
    site.plain.set_fault(r#"{"mode":"refuse","count":1000}"#);
    let refused = env::call("GET", &site.url(0, "/s/ledger/x"), &headers, "").expect("refusal");
    let told = (refused.status, refused.execution());
    assert_eq!(told, (502, "unknown".to_owned()), "{refused:?}");
}

/// Guards against applying the stall timeout to the time before a response begins, which may be
/// longer. That time has a limit of its own, `answer_ms`.
#[test]
fn stall_timeout_does_not_apply_before_the_response_begins() {
    let mut site = env::Site::new(&["lalitpur"], 0);
    site.times_yaml
        .push_str("\n  stall_ms: 300\n  answer_ms: 10000");
    site.engines
        .push(env::spawn_standin_with("engine", &["8", "900", "2"]));
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    let response = env::chat(&url, &key, "begins late", 5).expect("response");
    assert!(response.is_complete(), "{response:?}");
    assert_eq!(response.text(), engine::response_text("begins late", 5));

    site.plain.set_fault(r#"{"run_ms":900}"#);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let response =
        env::call("POST", &site.url(0, "/s/ledger/slow"), &headers, "one").expect("response");
    assert_eq!(response.status, 200, "{response:?}");
}
