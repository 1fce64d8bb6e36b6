//! Upstreams of the product's own interface whose answers are none by the grammar of HTTP, or whose
//! connection is reset before the end of an answer without a length.

mod env;
#[path = "../../../platform/tests/env/odd.rs"]
#[allow(dead_code, unreachable_pub)]
mod odd;
#[path = "../../../platform/tests/env/raw.rs"]
#[allow(dead_code, unreachable_pub)]
mod raw;

use std::time;

use raw::{RawRequest, RawUpstream, Reply};

/// Number at the end of the path, such as `/odd/12`.
fn number(request: &RawRequest<'_>) -> usize {
    let path = request.head.split_whitespace().nth(1).expect("a path");
    let (_, number) = path.rsplit_once('/').expect("a number");
    number.parse().expect("a number")
}

fn reply(request: &RawRequest<'_>) -> Reply {
    let n = number(request);
    let head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    let part = format!("{head}\r\n{}", odd::BODY).into_bytes();
    let delay = time::Duration::from_millis(n as u64 % 8);
    let path = request.head.split_whitespace().nth(1).expect("a path");
    match path.split('/').nth(1) {
        Some("odd") => Reply::Close(odd::answer(n, "")),
        Some("chunks") => {
            let chunks = odd::CHUNKS[n];
            let head = format!("{head}Transfer-Encoding: chunked\r\n");
            Reply::Close(format!("{head}\r\n5\r\npiece\r\n{chunks}").into_bytes())
        }
        Some("whole") => Reply::Close(part),
        Some("reset") => Reply::Reset(part),
        _ => Reply::ResetUnread(part, delay),
    }
}

/// Starts a site whose plain service is the odd upstream; returns an API key too.
fn start() -> (env::Site, String) {
    let mut site = env::Site::new(&["lalitpur"], 0);
    let (_, address) = RawUpstream::start(reply);
    let plain = site.plain.address.to_string();
    site.apply(&site.document().replace(&plain, &address.to_string()));
    let key = site.issue_key("quotes");
    site.start_all();
    (site, key)
}

/// Checks that neither a call that runs once nor one that may be repeated gets the answer to `path`.
fn check_failed(site: &env::Site, key: &str, path: &str, body: &str, context: &str) {
    let bearer = format!("Bearer {key}");
    for service in ["ledger", "hours"] {
        let url = site.url(0, &format!("/s/{service}/{path}"));
        let headers = [("Authorization", bearer.as_str())];
        let response = env::call("POST", &url, &headers, body).expect("a response");
        let text = format!("{service} {context}\n{response:?}");
        assert!(response.status >= 500 && response.status < 600, "{text}");
        assert!(!response.body.contains("boom"), "{text}");
        assert_ne!(response.execution(), "not_run", "{text}");
    }
}

/// Guards against an answer with an odd status, name of a header or framing, which clients got as one.
#[test]
fn odd_answer_never_reaches_a_client_as_one() {
    let (site, key) = start();
    for case in 0..odd::CASES {
        let bytes = odd::answer(case, "");
        let text = String::from_utf8_lossy(&bytes);
        check_failed(
            &site,
            &key,
            &format!("odd/{case}"),
            "x",
            &format!("{text:?}"),
        );
    }
}

/// Guards against a body whose chunks break the grammar, which ended as a complete answer.
#[test]
fn product_answer_with_odd_chunks_is_not_passed_on() {
    let (site, key) = start();
    for (case, text) in odd::CHUNKS.iter().enumerate() {
        check_failed(
            &site,
            &key,
            &format!("chunks/{case}"),
            "x",
            &format!("{text:?}"),
        );
    }
}

/// Guards against a check of resets that breaks a sound answer, which ends with its connection.
#[test]
fn answer_without_a_length_is_whole_when_its_connection_is_closed() {
    let (site, key) = start();
    let bearer = format!("Bearer {key}");
    for n in 0..16 {
        let url = site.url(0, &format!("/s/ledger/whole/{n}"));
        let headers = [("Authorization", bearer.as_str())];
        let response = env::call("POST", &url, &headers, "x").expect("a response");
        assert_eq!((response.status, response.body.as_str()), (200, odd::BODY));
    }
}

/// Guards against an answer without a length whose connection is reset, also while the upload is still being
/// written: its part was taken for the whole.
#[test]
fn answer_without_a_length_is_broken_by_a_reset() {
    let (site, key) = start();
    let upload = "x".repeat(900_000);
    for n in 0..16 {
        check_failed(&site, &key, &format!("reset/{n}"), "x", "reset");
        let path = format!("resets-unread/{n}");
        check_failed(&site, &key, &path, &upload, "reset while uploading");
    }
}
