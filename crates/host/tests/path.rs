//! Requests from a client through a host to an upstream and back, each in a process of its own:
//! forwarding, usage, access control and the `quickstart` example.

mod env;

use standin::{address, engine};

#[test]
fn streamed_response_is_forwarded_and_an_unknown_key_is_refused() {
    let (site, key) = env::Site::ready(&["lalitpur", "lekhnath"], 2);
    for n in 0..2 {
        let url = site.url(n, "/v1/chat/completions");
        let response = env::chat(&url, &key, "draft a quote", 20).expect("response");
        assert!(response.is_complete(), "{response:?}");
        assert_eq!(response.text(), engine::response_text("draft a quote", 20));

        let refused = env::chat(&url, "jk-nobody", "draft a quote", 20).expect("refusal");
        assert_eq!(
            (refused.status, refused.reason().as_str()),
            (401, "bad_key")
        );
        assert_eq!(refused.execution(), "not_run");
    }
}

#[test]
fn non_streamed_response_includes_usage() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let url = site.url(0, "/v1/chat/completions");
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let body = env::chat_body("two words", 5, false);
    let response = env::call("POST", &url, &headers, &body).expect("response");
    let json = response.json();
    assert_eq!(
        json["choices"][0]["message"]["content"],
        engine::response_text("two words", 5)
    );
    assert_eq!(json["usage"]["prompt_tokens"], 2);
    assert_eq!(json["usage"]["completion_tokens"], 5);
    assert_eq!(json["usage"]["total_tokens"], 7);
}

#[test]
fn client_keys_never_reach_an_upstream() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let chat_url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&chat_url, &key, "hello", 3)
            .expect("response")
            .is_complete()
    );
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("X-Team", "quotes"),
        ("Cookie", key.as_str()),
    ];
    let ledger_url = site.url(0, "/s/ledger/deposits");
    assert_eq!(
        env::call("POST", &ledger_url, &headers, "deposit 1")
            .expect("response")
            .status,
        200
    );
    // A request with the key in its body or query is refused and not forwarded.
    let refused =
        env::call("POST", &ledger_url, &headers, &format!("note {key}")).expect("refusal");
    assert_eq!(
        (refused.status, refused.execution().as_str()),
        (400, "not_run")
    );
    let url_with_key = format!("{ledger_url}?k={key}");
    assert_eq!(
        env::call("POST", &url_with_key, &headers, "deposit 2")
            .expect("refusal")
            .status,
        400
    );
    let refused = env::chat(&chat_url, &key, &format!("my key is {key}"), 3).expect("refusal");
    assert_eq!(refused.status, 400);

    let mut received = site.engines[0].stats().to_string();
    received.push_str(&site.plain.stats().to_string());
    assert!(!received.contains(&key));
    assert!(!received.contains("\"authorization\"") && !received.contains("\"cookie\""));
    assert!(!site.log(0).contains(&key));
}

#[test]
fn models_are_listed_for_a_team_with_access() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let bearer = format!("Bearer {key}");
    let url = site.url(0, "/v1/models");
    let listed = env::call("GET", &url, &[("Authorization", &bearer)], "").expect("models");
    assert_eq!(listed.json()["data"][0]["id"], "drafter-7b");
    let refused = env::call("GET", &url, &[], "").expect("refusal");
    assert_eq!(refused.status, 401);
}

/// Listing the models once read the configuration twice under one lock, and a change between the
/// two reads stopped the host for good.
#[test]
fn models_are_listed_while_the_configuration_changes() {
    const CLIENTS: usize = 12;
    const LISTINGS: usize = 60;
    const CHANGES: usize = 40;
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let bearer = format!("Bearer {key}");
    let url = site.url(0, "/v1/models");
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| {
                for _ in 0..LISTINGS {
                    let headers = [("Authorization", bearer.as_str())];
                    let listed = env::call("GET", &url, &headers, "").expect("models");
                    assert_eq!(listed.json()["data"][0]["id"], "drafter-7b", "{listed:?}");
                }
            });
        }
        for _ in 0..CHANGES {
            site.issue_key("crews");
        }
    });
}

/// Every start-up error once advised to free an address, whatever its cause.
#[test]
fn a_taken_address_is_reported_with_its_setting() {
    let site = env::Site::new(&["lalitpur"], 0);
    let taken = std::net::TcpListener::bind(site.host_configs[0].listen).expect("bind");
    let file = site.write_settings(0);
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_jacinthslip"));
    let out = std::process::Command::new(program)
        .args(["serve", "--settings"])
        .arg(file)
        .output()
        .expect("host");
    drop(taken);
    let error = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(1), "{error}");
    let address = site.host_configs[0].listen.to_string();
    assert!(
        error.contains(&address) && error.contains("'listen'"),
        "{error}"
    );
}

#[test]
fn public_service_needs_no_key_and_other_services_do() {
    let (site, _key) = env::Site::ready(&["lalitpur"], 1);
    let open = env::call("GET", &site.url(0, "/s/hours/today"), &[], "").expect("response");
    assert_eq!(open.status, 200);
    let refused = env::call("GET", &site.url(0, "/s/ledger/list"), &[], "").expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (401, "bad_key")
    );
    let crews_key = site.issue_key("crews");
    let bearer = format!("Bearer {crews_key}");
    env::wait_until("the new key to be accepted", || {
        let url = site.url(0, "/s/ledger/list");
        let refused = env::call("GET", &url, &[("Authorization", &bearer)], "").expect("refusal");
        refused.status == 403
    });
}

#[test]
fn quickstart_serves_the_request_that_it_prints() {
    use std::io::Read as _;

    let listen = address::free_address().to_string();
    let host_binary = std::path::Path::new(env!("CARGO_BIN_EXE_jacinthslip"));
    let example = host_binary
        .parent()
        .expect("folder")
        .join("examples/quickstart");
    let mut child = std::process::Command::new(example)
        .arg(&listen)
        .stdin(std::process::Stdio::piped())
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("quickstart");
    let ready_url = format!("http://{listen}/readyz");
    env::wait_until("the quickstart to become ready", || {
        env::call("GET", &ready_url, &[], "").is_ok_and(|r| r.status == 200)
    });
    let url = format!("http://{listen}/v1/chat/completions");
    let response = env::chat(&url, "jk-quickstart", "Draft a quote.", 3).expect("response");
    assert!(response.is_complete(), "{response:?}");
    // Standard input is closed, as under a process supervisor: the example must serve until it gets
    // a signal to stop.
    drop(child.stdin.take().expect("stdin"));
    for _ in 0..5 {
        std::thread::sleep(std::time::Duration::from_millis(100));
        let response = env::call("GET", &ready_url, &[], "").expect("response");
        assert_eq!(response.status, 200);
    }
    let kill_status = std::process::Command::new("kill")
        .arg(child.id().to_string())
        .status();
    assert!(kill_status.expect("kill").success());
    let mut output = String::new();
    child
        .stdout
        .take()
        .expect("stdout")
        .read_to_string(&mut output)
        .expect("output");
    assert!(output.contains(&format!("curl -N {url}")), "{output}");
    assert!(child.wait().expect("exit").success());
}
