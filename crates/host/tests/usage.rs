//! Tests that usage is reported exactly once although hosts are killed or suspended, the store
//! fails, or responses of the store are lost.

mod env;

use std::collections;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

const TOKENS_PER_RESPONSE: u64 = 7;
const HOST_COUNT: usize = 3;

/// Returns the numbers of requests and completion tokens in all reports. Panics if a part of a
/// window was reported with two different contents, if a window is missing, or if a fencing token
/// decreased.
fn reported_totals(site: &env::Site) -> (u64, u64) {
    let stats = site.platform.stats();
    let mut windows: collections::BTreeMap<(u64, u64), String> = collections::BTreeMap::new();
    let mut newest_fence = 0;
    for report in stats["reports"].as_array().expect("reports") {
        let body = report["body"].as_str().expect("body").to_owned();
        let window = report["window"].as_u64().expect("window");
        let part = report["part"].as_u64().expect("part");
        let fence = report["fence"].as_u64().expect("fence");
        assert!(
            fence >= newest_fence,
            "a report under fence {fence} after one under {newest_fence}"
        );
        newest_fence = fence;
        if let Some(first) = windows.insert((window, part), body.clone()) {
            assert_eq!(first, body, "window {window} differs");
        }
    }
    let mut numbers: Vec<u64> = windows.keys().map(|(window, _)| *window).collect();
    numbers.dedup();
    assert_eq!(
        numbers,
        (1..=numbers.len() as u64).collect::<Vec<_>>(),
        "a window is missing"
    );
    let mut totals = (0, 0);
    for body in windows.values() {
        let window: serde_json::Value = serde_json::from_str(body).expect("window");
        for line in window["lines"].as_array().expect("lines") {
            totals.0 += line["amount"]["requests"].as_u64().expect("requests");
            totals.1 += line["amount"]["answer"].as_u64().expect("tokens");
        }
    }
    totals
}

fn site() -> (env::Site, String) {
    let mut site = env::Site::new(&["lalitpur", "lalitpur", "bhaktapur"], 3);
    site.times_yaml =
        "linger_ms: 50\n  flush_ms: 300\n  lease_ms: 900\n  window_ms: 1000".to_owned();
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    (site, key)
}

/// Client threads that send requests until stopped, and count complete and failed responses.
struct Clients {
    stop: sync::Arc<atomic::AtomicBool>,
    completed: sync::Arc<atomic::AtomicU64>,
    failed: sync::Arc<atomic::AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    fn start(site: &env::Site, key: &str) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let completed = sync::Arc::new(atomic::AtomicU64::new(0));
        let failed = sync::Arc::new(atomic::AtomicU64::new(0));
        let mut threads = Vec::new();
        for n in 0..HOST_COUNT * 2 {
            let url = site.url(n % HOST_COUNT, "/v1/chat/completions");
            let key = key.to_owned();
            let (stop, completed, failed) = (stop.clone(), completed.clone(), failed.clone());
            threads.push(thread::spawn(move || {
                while !stop.load(atomic::Ordering::SeqCst) {
                    match env::chat(&url, &key, "a quote", TOKENS_PER_RESPONSE) {
                        Ok(a) if a.is_complete() => {
                            completed.fetch_add(1, atomic::Ordering::SeqCst)
                        }
                        _ => {
                            thread::sleep(time::Duration::from_millis(30));
                            failed.fetch_add(1, atomic::Ordering::SeqCst)
                        }
                    };
                }
            }));
        }
        Self {
            stop,
            completed,
            failed,
            threads,
        }
    }

    fn finish(self) -> (u64, u64) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        for t in self.threads {
            t.join().expect("client");
        }
        (
            self.completed.load(atomic::Ordering::SeqCst),
            self.failed.load(atomic::Ordering::SeqCst),
        )
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// Waits until the reported totals have reached `min_requests` and no longer change.
fn wait_settled(site: &env::Site, min_requests: u64) -> (u64, u64) {
    let mut last = (0, 0);
    let mut unchanged_polls = 0;
    let end = time::Instant::now() + time::Duration::from_secs(40);
    while time::Instant::now() < end {
        sleep_ms(500);
        let now = reported_totals(site);
        unchanged_polls = if now == last { unchanged_polls + 1 } else { 0 };
        last = now;
        if last.0 >= min_requests && unchanged_polls >= 5 {
            break;
        }
    }
    last
}

#[test]
fn reported_usage_matches_served_requests() {
    let (site, key) = site();
    let clients = Clients::start(&site, &key);
    sleep_ms(3_000);
    let (completed, failed) = clients.finish();
    assert_eq!(failed, 0);
    let totals = wait_settled(&site, completed);
    assert_eq!(totals, (completed, completed * TOKENS_PER_RESPONSE));
}

/// The store fails, loses responses and is slow. No host dies, so no usage may be lost or
/// duplicated.
#[test]
fn store_faults_neither_lose_nor_duplicate_usage() {
    let (site, key) = site();
    let clients = Clients::start(&site, &key);
    for round in 0..4 {
        sleep_ms(400);
        site.store.set_fault(r#"{"down":true}"#);
        sleep_ms(500);
        site.store
            .set_fault(&format!(r#"{{"lose":{},"lose_key":"usage/"}}"#, 3 + round));
        sleep_ms(500);
        site.store.set_fault(r#"{"slow_ms":100}"#);
        sleep_ms(300);
        site.store.set_fault("{}");
    }
    let (completed, failed) = clients.finish();
    assert_eq!(failed, 0);
    let totals = wait_settled(&site, completed);
    assert_eq!(totals, (completed, completed * TOKENS_PER_RESPONSE));
}

/// Hosts are killed, suspended and restarted under load. Every response that a client received
/// completely must be billed. An interrupted one may be billed, if it had ended on the host. None
/// may be billed twice.
#[test]
fn killed_and_suspended_hosts_lose_no_usage_of_complete_responses() {
    let (mut site, key) = site();
    let clients = Clients::start(&site, &key);
    for round in 0..3 {
        let n = round % HOST_COUNT;
        sleep_ms(700);
        site.host(n).signal(libc::SIGKILL);
        sleep_ms(500);
        site.host_mut(n).kill();
        site.start(n);
        let suspended = (n + 1) % HOST_COUNT;
        site.host(suspended).signal(libc::SIGSTOP);
        sleep_ms(7_000);
        site.host(suspended).signal(libc::SIGCONT);
    }
    let (completed, failed) = clients.finish();
    let totals = wait_settled(&site, completed);
    assert!(
        totals.0 >= completed,
        "{} complete responses, {} billed",
        completed,
        totals.0
    );
    assert!(
        totals.0 <= completed + failed,
        "{} complete responses, {failed} failed, {} billed",
        completed,
        totals.0
    );
    assert!(totals.1 >= completed * TOKENS_PER_RESPONSE);
}

/// A host is killed before its first periodic write to the store, and restarts at once under the
/// same name. Its peer must still write the copies that it has of the usage records.
#[test]
fn usage_of_a_host_that_restarts_at_once_is_written_by_its_peer() {
    let mut site = env::Site::new(&["lalitpur", "lalitpur"], 1);
    site.times_yaml =
        "linger_ms: 50\n  flush_ms: 600000\n  lease_ms: 900\n  window_ms: 1000".to_owned();
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    env::wait_until("the peers", || site.log(0).contains("event=peer_opened"));
    sleep_ms(1_000);
    let url = site.url(0, "/v1/chat/completions");
    for _ in 0..5 {
        assert!(
            env::chat(&url, &key, "a quote", TOKENS_PER_RESPONSE)
                .expect("response")
                .is_complete()
        );
    }
    site.host_mut(0).kill();
    site.start(0);
    let totals = wait_settled(&site, 5);
    assert_eq!(totals, (5, 5 * TOKENS_PER_RESPONSE));
}

/// The platform accepts no reports for some time. Windows must still be sealed, so that the
/// journals stay small, and must be reported in their order afterwards.
#[test]
fn windows_are_sealed_while_the_platform_accepts_no_reports() {
    let (site, key) = site();
    site.platform.set_fault(r#"{"down":true}"#);
    let clients = Clients::start(&site, &key);
    let sealed_windows = || {
        let list = env::get_json(&site.store.url("/list?prefix=usage/window/&after=&limit=99"));
        list.as_array().map_or(0, Vec::len)
    };
    env::wait_until("sealed windows", || sealed_windows() >= 3);
    let (completed, failed) = clients.finish();
    assert_eq!(failed, 0);
    assert!(
        site.platform.stats()["reports"]
            .as_array()
            .expect("reports")
            .is_empty()
    );
    site.platform.set_fault("{}");
    let totals = wait_settled(&site, completed);
    assert_eq!(totals, (completed, completed * TOKENS_PER_RESPONSE));
}

/// Requests must be billed to the team of their key, whatever other headers they have.
#[test]
fn usage_is_billed_to_the_team_of_the_key() {
    let (site, quotes) = site();
    let crews = site.issue_key("crews");
    let url = site.url(0, "/v1/chat/completions");
    env::wait_until("the key in force", || {
        env::chat(&url, &crews, "x", 1).is_ok_and(|a| a.is_complete())
    });
    for (key, count) in [(&quotes, 3), (&crews, 4)] {
        for _ in 0..count {
            let bearer = format!("Bearer {key}");
            let headers = [
                ("Authorization", bearer.as_str()),
                ("X-Team", "quotes"),
                ("Team", "quotes"),
            ];
            let body = env::chat_body("whose", TOKENS_PER_RESPONSE, true);
            assert!(
                env::call("POST", &url, &headers, &body)
                    .expect("response")
                    .is_complete()
            );
        }
    }
    // A class that the team may not use is refused.
    let bearer = format!("Bearer {crews}");
    let headers = [
        ("Authorization", bearer.as_str()),
        ("X-Request-Class", "chat"),
    ];
    let refused =
        env::call("POST", &url, &headers, &env::chat_body("x", 1, true)).expect("refusal");
    assert_eq!(
        (refused.status, refused.reason().as_str()),
        (403, "forbidden")
    );
    wait_settled(&site, 8);
    let mut billed: collections::BTreeMap<String, u64> = collections::BTreeMap::new();
    for report in site.platform.stats()["reports"]
        .as_array()
        .expect("reports")
    {
        let body: serde_json::Value =
            serde_json::from_str(report["body"].as_str().expect("body")).expect("window");
        for line in body["lines"].as_array().expect("lines") {
            let team = line["account"]["team"].as_str().expect("team").to_owned();
            *billed.entry(team).or_default() += line["amount"]["answer"].as_u64().expect("tokens");
        }
    }
    assert_eq!(
        billed,
        [
            ("crews".to_owned(), 4 * TOKENS_PER_RESPONSE + 1),
            ("quotes".to_owned(), 3 * TOKENS_PER_RESPONSE)
        ]
        .into()
    );
}
