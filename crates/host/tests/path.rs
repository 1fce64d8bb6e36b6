//! The whole path on separate processes: caller, host, upstream and back.

mod env;

use standin::engine;

#[test]
fn a_streamed_answer_comes_through_and_an_unknown_key_is_refused() {
    let (site, key) = env::Site::ready(&["lalitpur", "lekhnath"], 2);
    for n in 0..2 {
        let url = site.url(n, "/v1/chat/completions");
        let answer = env::chat(&url, &key, "draft a quote", 20).expect("answer");
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), engine::response_text("draft a quote", 20));

        let refused = env::chat(&url, "jk-nobody", "draft a quote", 20).expect("refusal");
        assert_eq!(
            (refused.status, refused.reason().as_str()),
            (401, "bad_key")
        );
        assert_eq!(refused.execution(), "not_run");
    }
}

#[test]
fn a_whole_answer_carries_its_usage() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let url = site.url(0, "/v1/chat/completions");
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let body = env::chat_body("two words", 5, false);
    let answer = env::call("POST", &url, &headers, &body).expect("answer");
    let json = answer.json();
    assert_eq!(
        json["choices"][0]["message"]["content"],
        engine::response_text("two words", 5)
    );
    assert_eq!(json["usage"]["prompt_tokens"], 2);
    assert_eq!(json["usage"]["completion_tokens"], 5);
    assert_eq!(json["usage"]["total_tokens"], 7);
}

#[test]
fn no_key_reaches_an_upstream() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let chat = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&chat, &key, "hello", 3)
            .expect("answer")
            .is_complete()
    );
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("X-Team", "quotes"),
        ("Cookie", key.as_str()),
    ];
    let ledger = site.url(0, "/s/ledger/deposits");
    assert_eq!(
        env::call("POST", &ledger, &headers, "deposit 1")
            .expect("answer")
            .status,
        200
    );
    // A key in the body or the query is refused, not passed on.
    let refused = env::call("POST", &ledger, &headers, &format!("note {key}")).expect("refusal");
    assert_eq!(
        (refused.status, refused.execution().as_str()),
        (400, "not_run")
    );
    let query = format!("{ledger}?k={key}");
    assert_eq!(
        env::call("POST", &query, &headers, "deposit 2")
            .expect("refusal")
            .status,
        400
    );
    let refused = env::chat(&chat, &key, &format!("my key is {key}"), 3).expect("refusal");
    assert_eq!(refused.status, 400);

    let mut seen = site.engines[0].stats().to_string();
    seen.push_str(&site.plain.stats().to_string());
    assert!(!seen.contains(&key));
    assert!(!seen.contains("\"authorization\"") && !seen.contains("\"cookie\""));
    assert!(!site.log(0).contains(&key));
}

#[test]
fn models_are_listed_for_a_team_that_may_use_them() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let bearer = format!("Bearer {key}");
    let url = site.url(0, "/v1/models");
    let listed = env::call("GET", &url, &[("Authorization", &bearer)], "").expect("models");
    assert_eq!(listed.json()["data"][0]["id"], "drafter-7b");
    let refused = env::call("GET", &url, &[], "").expect("refusal");
    assert_eq!(refused.status, 401);
}

#[test]
fn a_route_open_to_all_needs_no_key_and_the_others_do() {
    let (site, _key) = env::Site::ready(&["lalitpur"], 1);
    let open = env::call("GET", &site.url(0, "/s/hours/today"), &[], "").expect("answer");
    assert_eq!(open.status, 200);
    let refused = env::call("GET", &site.url(0, "/s/ledger/list"), &[], "").expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (401, "bad_key")
    );
    let crews = site.issue_key("crews");
    let bearer = format!("Bearer {crews}");
    env::wait_until("the key in force", || {
        let url = site.url(0, "/s/ledger/list");
        let refused = env::call("GET", &url, &[("Authorization", &bearer)], "").expect("refusal");
        refused.status == 403
    });
}

#[test]
fn the_quickstart_serves_what_it_prints() {
    use std::io::Read as _;

    let listen = env::free_port().to_string();
    let host = std::path::Path::new(env!("CARGO_BIN_EXE_jacinthslip"));
    let example = host.parent().expect("folder").join("examples/quickstart");
    let mut child = std::process::Command::new(example)
        .arg(&listen)
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("quickstart");
    let ready = format!("http://{listen}/readyz");
    env::wait_until("the quickstart", || {
        env::call("GET", &ready, &[], "").is_ok_and(|a| a.status == 200)
    });
    let url = format!("http://{listen}/v1/chat/completions");
    let answer = env::chat(&url, "jk-quickstart", "Draft a quote.", 3).expect("answer");
    assert!(answer.is_complete(), "{answer:?}");
    // Its input is closed, as under a supervisor: it serves on until it is told to stop.
    drop(child.stdin.take().expect("stdin"));
    for _ in 0..5 {
        std::thread::sleep(std::time::Duration::from_millis(100));
        let answer = env::call("GET", &ready, &[], "").expect("answer");
        assert_eq!(answer.status, 200);
    }
    let term = std::process::Command::new("kill")
        .arg(child.id().to_string())
        .status();
    assert!(term.expect("kill").success());
    let mut printed = String::new();
    child
        .stdout
        .take()
        .expect("stdout")
        .read_to_string(&mut printed)
        .expect("output");
    assert!(printed.contains(&format!("curl -N {url}")), "{printed}");
    assert!(child.wait().expect("exit").success());
}
