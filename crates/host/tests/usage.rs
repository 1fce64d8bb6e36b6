//! Usage is billed exactly once under kills, freezes, store outages and lost answers.

mod env;

use std::collections;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

const TOKENS: u64 = 7;
const HOSTS: usize = 3;

/// The sum of all reports: requests and answer tokens of team `quotes`; panics if a window came
/// with two different figures.
fn reported(site: &env::Site) -> (u64, u64) {
    let stats = site.platform.stats();
    let mut windows: collections::BTreeMap<(u64, u64), String> = collections::BTreeMap::new();
    let mut newest = 0;
    for report in stats["reports"].as_array().expect("reports") {
        let body = report["body"].as_str().expect("body").to_owned();
        let window = report["window"].as_u64().expect("window");
        let part = report["part"].as_u64().expect("part");
        let fence = report["fence"].as_u64().expect("fence");
        assert!(
            fence >= newest,
            "a report under fence {fence} after one under {newest}"
        );
        newest = fence;
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
    let mut sum = (0, 0);
    for body in windows.values() {
        let window: serde_json::Value = serde_json::from_str(body).expect("window");
        for line in window["lines"].as_array().expect("lines") {
            sum.0 += line["amount"]["requests"].as_u64().expect("requests");
            sum.1 += line["amount"]["answer"].as_u64().expect("tokens");
        }
    }
    sum
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

/// Callers that go on until told to stop; counts answers that came whole.
struct Callers {
    stop: sync::Arc<atomic::AtomicBool>,
    whole: sync::Arc<atomic::AtomicU64>,
    broken: sync::Arc<atomic::AtomicU64>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn start(site: &env::Site, key: &str) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let whole = sync::Arc::new(atomic::AtomicU64::new(0));
        let broken = sync::Arc::new(atomic::AtomicU64::new(0));
        let mut threads = Vec::new();
        for n in 0..HOSTS * 2 {
            let url = site.url(n % HOSTS, "/v1/chat/completions");
            let key = key.to_owned();
            let (stop, whole, broken) = (stop.clone(), whole.clone(), broken.clone());
            threads.push(thread::spawn(move || {
                while !stop.load(atomic::Ordering::SeqCst) {
                    match env::chat(&url, &key, "a quote", TOKENS) {
                        Ok(a) if a.is_complete() => whole.fetch_add(1, atomic::Ordering::SeqCst),
                        _ => {
                            thread::sleep(time::Duration::from_millis(30));
                            broken.fetch_add(1, atomic::Ordering::SeqCst)
                        }
                    };
                }
            }));
        }
        Self {
            stop,
            whole,
            broken,
            threads,
        }
    }

    fn finish(self) -> (u64, u64) {
        self.stop.store(true, atomic::Ordering::SeqCst);
        for t in self.threads {
            t.join().expect("caller");
        }
        (
            self.whole.load(atomic::Ordering::SeqCst),
            self.broken.load(atomic::Ordering::SeqCst),
        )
    }
}

fn pause(ms: u64) {
    thread::sleep(time::Duration::from_millis(ms));
}

/// Waits until the reports have settled at no less than `least` requests.
fn settled(site: &env::Site, least: u64) -> (u64, u64) {
    let mut last = (0, 0);
    let mut same = 0;
    let end = time::Instant::now() + time::Duration::from_secs(40);
    while time::Instant::now() < end {
        pause(500);
        let now = reported(site);
        same = if now == last { same + 1 } else { 0 };
        last = now;
        if last.0 >= least && same >= 5 {
            break;
        }
    }
    last
}

#[test]
fn what_is_reported_is_what_was_served() {
    let (site, key) = site();
    let callers = Callers::start(&site, &key);
    pause(3_000);
    let (whole, broken) = callers.finish();
    assert_eq!(broken, 0);
    let sum = settled(&site, whole);
    assert_eq!(sum, (whole, whole * TOKENS));
}

/// Store outages and lost answers; no host dies, so nothing may be lost or doubled.
#[test]
fn store_faults_neither_lose_nor_double_usage() {
    let (site, key) = site();
    let callers = Callers::start(&site, &key);
    for round in 0..4 {
        pause(400);
        site.store.set_fault(r#"{"down":true}"#);
        pause(500);
        site.store
            .set_fault(&format!(r#"{{"lose":{},"lose_key":"usage/"}}"#, 3 + round));
        pause(500);
        site.store.set_fault(r#"{"slow_ms":100}"#);
        pause(300);
        site.store.set_fault("{}");
    }
    let (whole, broken) = callers.finish();
    assert_eq!(broken, 0);
    let sum = settled(&site, whole);
    assert_eq!(sum, (whole, whole * TOKENS));
}

/// Hosts are killed, frozen and started again under load. An answer that a caller saw whole is
/// billed; one that broke off may be billed if it had ended on the host. Nothing is billed twice.
#[test]
fn killed_and_frozen_hosts_lose_no_usage_that_a_caller_saw() {
    let (mut site, key) = site();
    let callers = Callers::start(&site, &key);
    for round in 0..3 {
        let n = round % HOSTS;
        pause(700);
        site.host(n).signal(libc::SIGKILL);
        pause(500);
        site.host_mut(n).kill();
        site.start(n);
        let frozen = (n + 1) % HOSTS;
        site.host(frozen).signal(libc::SIGSTOP);
        pause(7_000);
        site.host(frozen).signal(libc::SIGCONT);
    }
    let (whole, broken) = callers.finish();
    let sum = settled(&site, whole);
    assert!(
        sum.0 >= whole,
        "{} answers seen whole, {} billed",
        whole,
        sum.0
    );
    assert!(
        sum.0 <= whole + broken,
        "{} answers, {broken} broken, {} billed",
        whole,
        sum.0
    );
    assert!(sum.1 >= whole * TOKENS);
}

/// Nothing is written by time before the kill, and the host is back at once under its name: what
/// its peer holds of it is billed all the same.
#[test]
fn usage_of_a_host_that_comes_back_at_once_is_billed_by_its_peer() {
    let mut site = env::Site::new(&["lalitpur", "lalitpur"], 1);
    site.times_yaml =
        "linger_ms: 50\n  flush_ms: 600000\n  lease_ms: 900\n  window_ms: 1000".to_owned();
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    env::wait_until("the peers", || site.log(0).contains("event=peer_opened"));
    pause(1_000);
    let url = site.url(0, "/v1/chat/completions");
    for _ in 0..5 {
        assert!(
            env::chat(&url, &key, "a quote", TOKENS)
                .expect("answer")
                .is_complete()
        );
    }
    site.host_mut(0).kill();
    site.start(0);
    let sum = settled(&site, 5);
    assert_eq!(sum, (5, 5 * TOKENS));
}

/// The platform takes no reports for a while: windows are sealed all the same, so that journals stay
/// small, and are reported in their order afterwards.
#[test]
fn windows_are_sealed_while_nobody_takes_reports() {
    let (site, key) = site();
    site.platform.set_fault(r#"{"down":true}"#);
    let callers = Callers::start(&site, &key);
    let sealed = || {
        let list = env::get_json(&site.store.url("/list?prefix=usage/window/&after=&limit=99"));
        list.as_array().map_or(0, Vec::len)
    };
    env::wait_until("sealed windows", || sealed() >= 3);
    let (whole, broken) = callers.finish();
    assert_eq!(broken, 0);
    assert!(
        site.platform.stats()["reports"]
            .as_array()
            .expect("reports")
            .is_empty()
    );
    site.platform.set_fault("{}");
    let sum = settled(&site, whole);
    assert_eq!(sum, (whole, whole * TOKENS));
}

/// Requests run and are billed for the team whose key came with them, whatever else they say.
#[test]
fn usage_is_billed_to_the_team_whose_key_came() {
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
            let body = env::chat_body("whose", TOKENS, true);
            assert!(
                env::call("POST", &url, &headers, &body)
                    .expect("answer")
                    .is_complete()
            );
        }
    }
    // A class of another team is refused.
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
    settled(&site, 8);
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
            ("crews".to_owned(), 4 * TOKENS + 1),
            ("quotes".to_owned(), 3 * TOKENS)
        ]
        .into()
    );
}
