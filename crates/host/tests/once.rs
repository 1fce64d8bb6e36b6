//! Calls that may not be repeated run at most once.

mod env;

use std::thread;
use std::time;

fn runs(site: &env::Site, body: &str) -> u64 {
    site.plain.stats()["runs"][body]
        .as_u64()
        .unwrap_or_default()
}

fn deposit(
    site: &env::Site,
    host: usize,
    key: &str,
    once: &str,
    body: &str,
) -> Result<env::Response, String> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("Idempotency-Key", once),
    ];
    env::call(
        "POST",
        &site.url(host, "/s/ledger/deposits"),
        &headers,
        body,
    )
}

#[test]
fn a_repeat_at_another_host_gets_the_kept_answer() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 0);
    let first = deposit(&site, 0, &key, "d-1", "100 from A").expect("answer");
    let second = deposit(&site, 1, &key, "d-1", "100 from A").expect("answer");
    assert_eq!((first.status, second.status), (200, 200));
    assert_eq!(first.body, second.body);
    assert_eq!(runs(&site, "100 from A"), 1);
    let reused = deposit(&site, 1, &key, "d-1", "900 from B").expect("refusal");
    assert_eq!(
        (reused.status, reused.reason().as_str()),
        (422, "key_reused")
    );
    assert_eq!(runs(&site, "900 from B"), 0);
}

#[test]
fn many_repeats_at_once_run_once() {
    let (site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 0);
    site.plain.set_fault(r#"{"run_ms":200}"#);
    thread::scope(|scope| {
        for n in 0..8 {
            let (site, key) = (&site, &key);
            scope.spawn(move || {
                let answer = deposit(site, n % 2, key, "d-2", "200 from A").expect("answer");
                let known = answer.status == 200;
                let unknown = (answer.status, answer.reason().as_str()) == (409, "outcome_unknown");
                assert!(known || unknown, "{answer:?}");
            });
        }
    });
    assert_eq!(runs(&site, "200 from A"), 1);
}

#[test]
fn a_lost_answer_is_never_run_again() {
    let (site, key) = env::Site::ready(&["lalitpur", "lekhnath"], 0);
    site.plain.set_fault(r#"{"mode":"lose_answer","count":1}"#);
    let first = deposit(&site, 0, &key, "d-3", "300 from A").expect("answer");
    assert_eq!((first.status, first.execution().as_str()), (502, "unknown"));
    for host in [0, 1] {
        let again = deposit(&site, host, &key, "d-3", "300 from A").expect("answer");
        assert_eq!(
            (again.status, again.reason().as_str()),
            (409, "outcome_unknown")
        );
    }
    assert_eq!(runs(&site, "300 from A"), 1);
}

#[test]
fn without_an_idempotency_key_a_call_is_sent_once() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let url = site.url(0, "/s/ledger/deposits");
    for (mode, body, run) in [("lose_answer", "400", 1), ("cut_before", "500", 0)] {
        site.plain
            .set_fault(&format!(r#"{{"mode":"{mode}","count":1}}"#));
        let answer = env::call("POST", &url, &headers, body).expect("answer");
        assert_eq!(
            (answer.status, answer.execution().as_str()),
            (502, "unknown"),
            "{mode}"
        );
        assert_eq!(runs(&site, body), run, "{mode}");
    }
    // A call that may be repeated is.
    site.plain.set_fault(r#"{"mode":"cut_before","count":1}"#);
    let read = env::call("GET", &url, &headers, "").expect("answer");
    assert_eq!(
        read.status, 502,
        "one upstream, nowhere else to go: {read:?}"
    );
}

#[test]
fn a_store_that_is_down_refuses_and_nothing_runs() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    site.store.set_fault(r#"{"down":true}"#);
    let refused = deposit(&site, 0, &key, "d-4", "600 from A").expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (503, "store_down")
    );
    assert_eq!(refused.execution(), "not_run");
    assert_eq!(runs(&site, "600 from A"), 0);
    site.store.set_fault("{}");
    assert_eq!(
        deposit(&site, 0, &key, "d-4", "600 from A")
            .expect("answer")
            .status,
        200
    );
    assert_eq!(runs(&site, "600 from A"), 1);
}

#[test]
fn a_claim_whose_answer_is_lost_runs_once() {
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    for (n, lose) in [1, 2, 3].into_iter().enumerate() {
        site.store
            .set_fault(&format!(r#"{{"lose":{lose},"lose_key":"once/"}}"#));
        let body = format!("7{n}0 from A");
        let once = format!("d-5-{n}");
        let first = deposit(&site, 0, &key, &once, &body).expect("answer");
        site.store.set_fault("{}");
        let again = deposit(&site, 0, &key, &once, &body).expect("answer");
        assert_eq!(first.status, 200, "{first:?}");
        assert_eq!(again.status, 200, "{again:?}");
        assert_eq!(runs(&site, &body), 1);
    }
}

/// A host is killed at each moment of a call; the balancer's repeat at the other host runs it
/// only if it has not run.
#[test]
fn a_host_killed_at_any_moment_never_leads_to_a_second_run() {
    let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 0);
    site.plain.set_fault(r#"{"run_ms":60}"#);
    site.store.set_fault(r#"{"slow_ms":15}"#);
    for round in 0..12u64 {
        let body = format!("8{round} from A");
        let once = format!("d-6-{round}");
        let killed_after = time::Duration::from_millis(round * 15);
        thread::scope(|scope| {
            let (calling, key, body, once) = (&site, &key, &body, &once);
            let caller = scope.spawn(move || deposit(calling, 0, key, once, body));
            thread::sleep(killed_after);
            site.host(0).signal(libc::SIGKILL);
            let _ = caller.join();
        });
        let again = deposit(&site, 1, &key, &once, &body).expect("answer");
        let count = runs(&site, &body);
        match again.status {
            200 => assert_eq!(count, 1, "round {round}"),
            409 => assert!(count <= 1, "round {round}"),
            status => panic!("round {round}: {status} {again:?}"),
        }
        site.host_mut(0).kill();
        site.start(0);
    }
}
