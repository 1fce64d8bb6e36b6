//! Requests that are not idempotent run at most once. Guards against a second run after retries,
//! lost responses, store failures and killed hosts.

mod env;

use std::thread;
use std::time;

/// How often the plain upstream has run a request with this body.
fn run_count(site: &env::Site, body: &str) -> u64 {
    site.plain.stats()["runs"][body]
        .as_u64()
        .unwrap_or_default()
}

/// Posts `body` to the `ledger` service through a host, with an idempotency key.
fn deposit(
    site: &env::Site,
    host: usize,
    key: &str,
    idempotency_key: &str,
    body: &str,
) -> Result<env::Response, String> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("Idempotency-Key", idempotency_key),
    ];
    env::call(
        "POST",
        &site.url(host, "/s/ledger/deposits"),
        &headers,
        body,
    )
}

#[test]
fn retry_at_another_host_gets_the_stored_response() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 0);
    let first = deposit(&site, 0, &key, "d-1", "100 from A").expect("response");
    let second = deposit(&site, 1, &key, "d-1", "100 from A").expect("response");
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    assert_eq!(run_count(&site, "100 from A"), 1);
    let reused = deposit(&site, 1, &key, "d-1", "900 from B").expect("refusal");
    assert_eq!(
        (reused.status, reused.reason().as_str()),
        (422, "key_reused")
    );
    assert_eq!(run_count(&site, "900 from B"), 0);
}

#[test]
fn concurrent_retries_run_once() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 0);
    site.plain.set_fault(r#"{"run_ms":200}"#);
    thread::scope(|scope| {
        for n in 0..8 {
            let (site, key) = (&site, &key);
            scope.spawn(move || {
                let response = deposit(site, n % 2, key, "d-2", "200 from A").expect("response");
                let is_completed = response.status == 200;
                let is_unknown =
                    (response.status, response.reason().as_str()) == (409, "outcome_unknown");
                assert!(is_completed || is_unknown, "{response:?}");
            });
        }
    });
    assert_eq!(run_count(&site, "200 from A"), 1);
}

#[test]
fn request_whose_response_was_lost_is_not_run_again() {
    let (site, key) = env::Site::ready(&["lalitpur", "lekhnath"], 0);
    site.plain.set_fault(r#"{"mode":"lose_answer","count":1}"#);
    let first = deposit(&site, 0, &key, "d-3", "300 from A").expect("response");
    assert_eq!((first.status, first.execution().as_str()), (502, "unknown"));
    for host in [0, 1] {
        let retry = deposit(&site, host, &key, "d-3", "300 from A").expect("response");
        assert_eq!(
            (retry.status, retry.reason().as_str()),
            (409, "outcome_unknown")
        );
    }
    assert_eq!(run_count(&site, "300 from A"), 1);
}

/// Guards against a promise that rests on nothing: a plain service that had run a request answered 503,
/// which means "not run" to clients, and the host passed it on, or kept it for the idempotency key.
#[test]
fn status_of_a_service_that_ran_the_request_is_not_passed_on_as_a_promise() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let url = site.url(0, "/s/ledger/deposits");
    let fault = |mode: &str| {
        let fault = format!(r#"{{"mode":"{mode}","count":1}}"#);
        site.plain.set_fault(&fault);
    };
    for (method, body) in [("POST", "700"), ("GET", "")] {
        fault("run_and_refuse");
        let response = env::call(method, &url, &headers, body).expect("response");
        let told = (response.status, response.execution());
        assert_eq!(told, (502, "unknown".to_owned()), "{method}: {response:?}");
        assert_eq!(run_count(&site, body), 1, "{method}");
    }
    fault("run_and_refuse");
    let first = deposit(&site, 0, &key, "d-7", "800 from A").expect("response");
    assert_eq!((first.status, first.execution().as_str()), (502, "unknown"));
    let retry = deposit(&site, 0, &key, "d-7", "800 from A").expect("response");
    assert_eq!(retry.reason(), "outcome_unknown", "{retry:?}");
    assert_eq!(run_count(&site, "800 from A"), 1);
    // A failure that promises nothing is the service's own answer.
    fault("fail");
    let response = env::call("POST", &url, &headers, "900").expect("response");
    assert_eq!((response.status, response.body.as_str()), (500, ""));
}

#[test]
fn request_without_idempotency_key_is_sent_once() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let url = site.url(0, "/s/ledger/deposits");
    for (mode, body, expected_runs) in [("lose_answer", "400", 1), ("cut_before", "500", 0)] {
        site.plain
            .set_fault(&format!(r#"{{"mode":"{mode}","count":1}}"#));
        let response = env::call("POST", &url, &headers, body).expect("response");
        assert_eq!(
            (response.status, response.execution().as_str()),
            (502, "unknown"),
            "{mode}"
        );
        assert_eq!(run_count(&site, body), expected_runs, "{mode}");
    }
    // A `GET` is idempotent and may be retried, but there is no second upstream.
    site.plain.set_fault(r#"{"mode":"cut_before","count":1}"#);
    let read = env::call("GET", &url, &headers, "").expect("response");
    assert_eq!(read.status, 502, "no second upstream to retry on: {read:?}");
}

#[test]
fn requests_are_refused_and_not_run_while_the_store_is_down() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    site.store.set_fault(r#"{"down":true}"#);
    let refused = deposit(&site, 0, &key, "d-4", "600 from A").expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (503, "store_down")
    );
    assert_eq!(refused.execution(), "not_run");
    assert_eq!(run_count(&site, "600 from A"), 0);
    site.store.set_fault("{}");
    assert_eq!(
        deposit(&site, 0, &key, "d-4", "600 from A")
            .expect("response")
            .status,
        200
    );
    assert_eq!(run_count(&site, "600 from A"), 1);
}

/// Guards against a second run if the store writes a claim or its response but its confirmation to
/// the host is lost.
#[test]
fn request_runs_once_if_the_store_response_is_lost() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    for (n, lost_responses) in [1, 2, 3].into_iter().enumerate() {
        site.store.set_fault(&format!(
            r#"{{"lose":{lost_responses},"lose_key":"once/"}}"#
        ));
        let body = format!("7{n}0 from A");
        let idempotency_key = format!("d-5-{n}");
        let first = deposit(&site, 0, &key, &idempotency_key, &body).expect("response");
        site.store.set_fault("{}");
        let retry = deposit(&site, 0, &key, &idempotency_key, &body).expect("response");
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(retry.status, 200, "{retry:?}");
        assert_eq!(run_count(&site, &body), 1);
    }
}

/// Guards against a second run of a request whose host is killed while it handles it. The host is
/// killed 15 ms later in each round. The load balancer then retries the request at the other host,
/// which may run it only if it has not run.
#[test]
fn killing_a_host_at_any_moment_never_causes_a_second_run() {
    let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 0);
    site.plain.set_fault(r#"{"run_ms":60}"#);
    site.store.set_fault(r#"{"slow_ms":15}"#);
    for round in 0..12u64 {
        let body = format!("8{round} from A");
        let idempotency_key = format!("d-6-{round}");
        let kill_delay = time::Duration::from_millis(round * 15);
        thread::scope(|scope| {
            let (site_ref, key, body, idempotency_key) = (&site, &key, &body, &idempotency_key);
            let client = scope.spawn(move || deposit(site_ref, 0, key, idempotency_key, body));
            thread::sleep(kill_delay);
            site.host(0).signal(libc::SIGKILL);
            let _ = client.join();
        });
        let retry = deposit(&site, 1, &key, &idempotency_key, &body).expect("response");
        let count = run_count(&site, &body);
        match retry.status {
            200 => assert_eq!(count, 1, "round {round}"),
            409 => assert!(count <= 1, "round {round}"),
            status => panic!("round {round}: {status} {retry:?}"),
        }
        site.host_mut(0).kill();
        site.start(0);
    }
}
