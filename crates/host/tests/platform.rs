//! The program on the platform's stand-ins: one host, two workers, real processes and sockets.

#[path = "../../../platform/tests/env/mod.rs"]
mod env;

use std::fs;
use std::io::{Read as _, Write as _};
use std::net;
use std::path;
use std::process;
use std::sync;
use std::thread;
use std::time;

use env::store::{Fault, Store};
use env::worker::{Mode, Worker};
use serde_json::json;

const SERVICES: [&str; 2] = ["engines", "desk"];

struct Site {
    store: sync::Arc<Store>,
    workers: Vec<sync::Arc<Worker>>,
    front: net::SocketAddr,
    ready: net::SocketAddr,
    settings: path::PathBuf,
    host: process::Child,
}

impl Drop for Site {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.host.kill();
        let _ = self.host.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn free() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}

fn manifest(version: u64, keys: &[&str]) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"),
            "route_kind": kind, "timeout_ms": 3000, "goal_ms": 600, "priority": 1,
            "service": service, "attempts": attempts, "public": name == "open",
            "resumable": resumable, "gap_target_ms": 400})
    };
    json!({"version": version,
        "routes": [
            route("stream", "streaming", "engines", 2, true),
            route("stream-once", "streaming", "engines", 1, false),
            route("read", "idempotent", "desk", 2, false),
            route("write", "nonidempotent", "desk", 1, false),
            route("open", "idempotent", "desk", 2, false)],
        "services": [{"name": "engines", "health_path": "/healthz", "max_conns": 100,
            "engine": {"slots": 8, "kv_capacity": 10000, "stride": 5},
            "scaling": {"min": 1, "max": 4, "boot_s": 1.0, "spot_price": 0.2,
                        "zone_prices": {"z": 1.0}}},
            {"name": "desk", "health_path": "/healthz", "max_conns": 100}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 1000, "idle_timeout_ms": 2000},
        "tenants": [{"name": "team-1", "api_keys": keys}]})
}

fn entry(service: &str, address: net::SocketAddr, state: &str) -> serde_json::Value {
    json!({"service": service, "addr": address.to_string(), "zone": "z", "version": "v1",
        "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1, "born": 1})
}

impl Site {
    /// A site with two workers of each service, in these modes.
    fn start(name: &str, modes: [Mode; 2]) -> Self {
        let (store, address) = Store::start();
        store.put("op/config", &manifest(3, &["k1"]));
        let mut workers = Vec::new();
        for (i, service) in SERVICES.iter().enumerate() {
            for (n, mode) in modes.iter().enumerate() {
                let (worker, address) = Worker::start(*mode);
                store.put(
                    &format!("servers/i-{i}{n}"),
                    &entry(service, address, "ready"),
                );
                workers.push(worker);
            }
        }
        let (settings, front, ready, host) = start_host(name, address);
        let site = Self {
            store,
            workers,
            front,
            ready,
            settings,
            host,
        };
        site.wait("the host is ready", || site.is_ready());
        site
    }

    fn is_ready(&self) -> bool {
        get(
            self.ready,
            "GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
        )
        .is_some_and(|a| a.starts_with("HTTP/1.1 200"))
    }

    /// Waits for something that must come; a test that hangs here has failed.
    fn wait(&self, what: &str, there: impl Fn() -> bool) {
        for _ in 0..1_500 {
            if there() {
                return;
            }
            thread::sleep(time::Duration::from_millis(20));
        }
        panic!("never: {what}");
    }

    fn ask(&self, method: &str, path: &str, more: &str) -> Answer {
        self.ask_with(method, path, &format!("Authorization: Bearer k1\r\n{more}"))
    }

    fn ask_with(&self, method: &str, path: &str, head: &str) -> Answer {
        let body = if method == "POST" { "the body" } else { "" };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-1\r\n\
             Connection: close\r\nContent-Length: {}\r\n{head}\r\n{body}",
            body.len()
        );
        Answer(get(self.front, &text).expect("an answer"))
    }

    fn engines(&self) -> &[sync::Arc<Worker>] {
        &self.workers[..2]
    }

    fn desk(&self) -> &[sync::Arc<Worker>] {
        &self.workers[2..]
    }

    fn runs(&self, workers: &[sync::Arc<Worker>]) -> usize {
        workers.iter().map(|w| w.seen().len()).sum()
    }
}

/// Starts the program on free ports; again if another test took one of them meanwhile.
fn start_host(
    name: &str,
    platform: net::SocketAddr,
) -> (
    path::PathBuf,
    net::SocketAddr,
    net::SocketAddr,
    process::Child,
) {
    let settings = std::env::temp_dir().join(format!("jacinthslip-{name}-{}.yaml", process::id()));
    loop {
        let (front, ready, control, other) = (free(), free(), free(), free());
        let text = format!(
            "node: \"h-1\"\nzone: \"z\"\nzones: {{z: \"r\"}}\nip: \"127.0.0.1\"\n\
             listen: {{front: \"{front}\", ready: \"{ready}\", control: \"{control}\"}}\n\
             port_range: [1, {}]\nbootstrap: true\n\
             bounds: {{drain_ms: 1000, config_ms: 1000, grace_s: 6, budget_ratio: 0.2, \
             budget_window_s: 10, budget_extra: 500, lease_ms: 3000, window_s: 1, \
             usage_late_s: 2}}\n\
             platform: {{addr: \"{platform}\"}}\ncloud: {{addr: \"{platform}\"}}\n",
            other.port(),
        );
        fs::write(&settings, text).expect("settings");
        let mut host = process::Command::new(env!("CARGO_BIN_EXE_jacinthslip"))
            .arg("platform")
            .env("JACINTHSLIP_CONFIG", &settings)
            .stdout(process::Stdio::null())
            .spawn()
            .expect("the program");
        for _ in 0..1_500 {
            if host.try_wait().expect("a child").is_some() {
                break;
            }
            if net::TcpStream::connect(ready).is_ok() {
                return (settings, front, ready, host);
            }
            thread::sleep(time::Duration::from_millis(20));
        }
        host.kill().expect("killed");
        host.wait().expect("waited");
    }
}

/// Sends bytes and reads until the other side closes.
fn get(address: net::SocketAddr, text: &str) -> Option<String> {
    let mut stream = net::TcpStream::connect(address).ok()?;
    stream
        .set_read_timeout(Some(time::Duration::from_secs(20)))
        .ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    let mut out = Vec::new();
    // A reset after the answer leaves what was read.
    let _ = stream.read_to_end(&mut out);
    Some(String::from_utf8_lossy(&out).into_owned())
}

#[derive(Debug)]
struct Answer(String);

impl Answer {
    fn status(&self) -> &str {
        self.0.get(9..12).unwrap_or("")
    }

    fn has(&self, text: &str) -> bool {
        self.0
            .to_ascii_lowercase()
            .contains(&text.to_ascii_lowercase())
    }

    fn ids(&self) -> Vec<u64> {
        let ids = self.0.lines().filter_map(|l| l.strip_prefix("id: "));
        ids.filter_map(|i| i.trim().parse().ok()).collect()
    }

    /// Whether the stream ended with the end of its body.
    fn is_whole(&self) -> bool {
        self.0.ends_with("0\r\n\r\n")
    }
}

#[test]
fn requests_of_each_kind_are_served() {
    let site = Site::start("kinds", [Mode::Well, Mode::Well]);
    for (method, path) in [("GET", "/read/x?y=1"), ("POST", "/write/x")] {
        let answer = site.ask(method, path, "Deadline-Ms: 2000\r\n");
        assert_eq!(answer.status(), "200", "{answer:?}");
        assert!(
            answer.has("server-signature: sig") && answer.has("the answer"),
            "{answer:?}"
        );
    }
    let answer = site.ask("POST", "/stream/x", "Deadline-Ms: 2000\r\n");
    assert_eq!(
        (answer.ids(), answer.is_whole()),
        ((1..=6).collect(), true),
        "{answer:?}"
    );
    let seen: Vec<_> = site.workers.iter().flat_map(|w| w.seen()).collect();
    assert_eq!(seen.len(), 3);
    for request in &seen {
        let head = &request.head;
        assert!(!head.contains_key("authorization"), "no worker sees a key");
        assert_eq!(head["tenant"], "team-1");
        assert_eq!(head["request-id"], "q-1");
        assert!(head.contains_key("expect-instance"));
        let left: u64 = head["deadline-ms"]
            .to_str()
            .ok()
            .and_then(|d| d.parse().ok())
            .expect("left");
        assert!(left <= 2_000);
    }
    assert!(
        seen.iter()
            .any(|r| r.path == "/read/x?y=1" && r.body.is_empty())
    );
    assert!(
        seen.iter()
            .any(|r| r.path == "/write/x" && r.body == "the body")
    );
}

#[test]
fn keys_and_routes_are_checked() {
    let site = Site::start("keys", [Mode::Well, Mode::Well]);
    let cases = [
        ("/read/x", "Authorization: Bearer k2\r\n", "401"),
        ("/read/x", "", "401"),
        ("/open/x", "", "200"),
        (
            "/open/x",
            "Authorization: Bearer k1\r\nTenant: other\r\n",
            "200",
        ),
        ("/nowhere/x", "Authorization: Bearer k1\r\n", "404"),
        (
            "/read/x",
            "Authorization: Bearer k1\r\nTransfer-Encoding: chunked\r\n",
            "400",
        ),
    ];
    for (path, head, status) in cases {
        let answer = site.ask_with("GET", path, head);
        assert_eq!(answer.status(), status, "{path} {head:?}: {answer:?}");
    }
    let seen: Vec<_> = site.desk().iter().flat_map(|w| w.seen()).collect();
    assert_eq!(seen.len(), 2);
    assert!(seen.iter().all(|r| !r.head.contains_key("authorization")));
    assert!(
        seen.iter()
            .all(|r| r.head.get("tenant").is_none_or(|t| t != "other"))
    );
    site.store.put("op/config", &manifest(4, &["k3"]));
    site.wait("the key is withdrawn", || {
        site.ask("GET", "/read/x", "").status() == "401"
    });
    let answer = site.ask_with("GET", "/read/x", "Authorization: Bearer k3\r\n");
    assert_eq!(answer.status(), "200");
}

#[test]
fn what_goes_wrong_at_a_worker_is_mended_where_it_may_be() {
    struct Case {
        first: Mode,
        path: &'static str,
        status: &'static str,
        runs: usize,
    }
    let case = |first, path, status, runs| Case {
        first,
        path,
        status,
        runs,
    };
    let cases = [
        case(Mode::Full, "/read/x", "503", 0),
        case(Mode::Full, "/write/x", "503", 0),
        case(Mode::Moved, "/write/x", "503", 0),
        case(Mode::Fails, "/read/x", "500", 2),
        case(Mode::Fails, "/write/x", "500", 1),
        case(Mode::Foreign, "/write/x", "502", 1),
        case(Mode::Unsigned, "/write/x", "502", 1),
        case(Mode::Unsigned, "/read/x", "502", 2),
        case(Mode::Fails, "/stream-once/x", "500", 1),
    ];
    let site = Site::start("faults", [Mode::Well, Mode::Well]);
    for case in cases {
        for worker in &site.workers {
            worker.set(case.first);
        }
        let before = site.runs(&site.workers);
        let method = if case.path.starts_with("/read") {
            "GET"
        } else {
            "POST"
        };
        let answer = site.ask(method, case.path, "Deadline-Ms: 2000\r\n");
        assert_eq!(
            answer.status(),
            case.status,
            "{:?} {}: {answer:?}",
            case.first,
            case.path
        );
        if case.runs > 0 {
            let runs = site.runs(&site.workers) - before;
            assert_eq!(runs, case.runs, "{:?} {}", case.first, case.path);
        }
        if case.status == "503" {
            assert!(
                answer.has("retry-after") && answer.has("\"not_run\""),
                "{answer:?}"
            );
        }
    }
}

#[test]
fn a_read_is_repeated_and_a_write_is_not() {
    let site = Site::start("repeat", [Mode::Fails, Mode::Well]);
    let mut reads = 0;
    for _ in 0..8 {
        reads += usize::from(site.ask("GET", "/read/x", "").status() == "200");
    }
    assert_eq!(reads, 8);
    let before = site.runs(site.desk());
    for _ in 0..6 {
        site.ask("POST", "/write/x", "");
    }
    assert_eq!(site.runs(site.desk()) - before, 6);
}

#[test]
fn a_stream_that_breaks_off_goes_on_elsewhere_with_no_event_lost_or_doubled() {
    let site = Site::start("resume", [Mode::Breaks(2), Mode::Breaks(3)]);
    let answer = site.ask("POST", "/stream/x", "Deadline-Ms: 2500\r\n");
    let ids = answer.ids();
    assert_eq!(
        ids,
        (1..=ids.len() as u64).collect::<Vec<_>>(),
        "{answer:?}"
    );
    assert!(ids.len() >= 4, "both workers gave events: {ids:?}");
    let seen: Vec<_> = site.engines().iter().flat_map(|w| w.seen()).collect();
    assert_eq!(seen.len(), 2);
    assert!(seen.iter().any(|r| r.head.contains_key("last-event-id")));
    // One that may not be resumed ends without the end of its body.
    let answer = site.ask("POST", "/stream-once/x", "Deadline-Ms: 2500\r\n");
    assert!(!answer.is_whole(), "{answer:?}");
    assert!(answer.ids().len() < 6);
}

#[test]
fn a_mute_worker_is_given_up_at_the_routes_timeout() {
    let site = Site::start("mute", [Mode::Mute, Mode::Mute]);
    let answer = site.ask("POST", "/write/x", "Deadline-Ms: 9000\r\n");
    assert_eq!(answer.status(), "504", "{answer:?}");
    assert!(answer.has("\"unknown\""));
    let answer = site.ask("GET", "/read/x", "Deadline-Ms: 9000\r\n");
    assert!(["502", "504"].contains(&answer.status()), "{answer:?}");
    assert_eq!(site.runs(site.desk()), 3, "a read is tried at both");
}

#[test]
fn a_caller_that_leaves_ends_its_stream_at_the_worker() {
    let site = Site::start("gone", [Mode::Well, Mode::Well]);
    let mut stream = net::TcpStream::connect(site.front).expect("connected");
    let text = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-1\r\n\
                Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n";
    stream.write_all(text.as_bytes()).expect("sent");
    let mut some = [0; 64];
    let read = stream.read(&mut some).expect("the head");
    assert!(read > 0);
    drop(stream);
    site.wait("the worker is told", || {
        site.engines().iter().map(|w| w.cancelled()).sum::<u64>() == 1
    });
}

#[test]
fn leaving_workers_get_no_more_work() {
    let site = Site::start("drain", [Mode::Well, Mode::Well]);
    let address = free();
    site.store
        .put("servers/i-10", &entry("desk", address, "draining"));
    site.wait("the list is read", || {
        let before = site.desk()[0].seen().len();
        for _ in 0..6 {
            site.ask("GET", "/read/x", "");
        }
        site.desk()[0].seen().len() == before
    });
    site.store.compact();
    site.store.remove("servers/i-11");
    site.wait("the removal is read", || {
        site.ask("GET", "/read/x", "").status() == "503"
    });
}

#[test]
fn usage_is_reported_and_upstreams_are_ordered() {
    let site = Site::start("duties", [Mode::Well, Mode::Well]);
    site.store.fail(&[Fault::Busy, Fault::Limited, Fault::Lost]);
    for _ in 0..5 {
        assert_eq!(site.ask("GET", "/read/x", "").status(), "200");
    }
    let counted = || -> u64 {
        let counts = site.store.usage();
        counts
            .iter()
            .filter_map(|r| r["counts"]["team-1"].as_u64())
            .sum()
    };
    site.wait("all five are reported", || counted() >= 5);
    assert_eq!(counted(), 5, "{:?}", site.store.usage());
    site.wait("upstreams are ordered", || {
        !site.store.capacity().is_empty()
    });
    let mut windows: Vec<u64> = site
        .store
        .usage()
        .iter()
        .filter_map(|r| r["window"].as_u64())
        .collect();
    windows.sort_unstable();
    windows.dedup();
    assert_eq!(
        windows.len(),
        site.store.usage().len(),
        "a window is reported once"
    );
}

#[test]
fn a_stop_cuts_nothing() {
    let mut site = Site::start("stop", [Mode::Well, Mode::Well]);
    let front = site.front;
    let streaming = thread::spawn(move || {
        let text = "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q-1\r\n\
                    Authorization: Bearer k1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        Answer(get(front, text).expect("an answer"))
    });
    thread::sleep(time::Duration::from_millis(30));
    let term = process::Command::new("kill")
        .arg(site.host.id().to_string())
        .status();
    assert!(term.expect("kill").success());
    assert!(streaming.join().expect("joined").is_whole());
    site.wait("it is not ready", || !site.is_ready());
    let answer = site.ask("GET", "/read/x", "");
    assert_eq!(
        answer.status(),
        "200",
        "callers still come until the balancer knows"
    );
    assert!(answer.has("connection: close"));
    assert!(site.host.wait().expect("waited").success());
    assert!(
        site.store.keys("jacinthslip/duty").is_empty(),
        "the duties are given back"
    );
}

#[test]
fn a_store_that_is_away_leaves_what_is_known() {
    let site = Site::start("away", [Mode::Well, Mode::Well]);
    site.store.set_silent(true);
    for _ in 0..10 {
        assert_eq!(site.ask("GET", "/read/x", "").status(), "200");
        thread::sleep(time::Duration::from_millis(150));
    }
    site.store.set_silent(false);
    site.store.put("op/config", &manifest(9, &["k9"]));
    site.wait("the store is heard again", || {
        site.ask("GET", "/read/x", "").status() == "401"
    });
}

#[test]
fn slow_and_large_heads_are_refused() {
    let site = Site::start("heads", [Mode::Well, Mode::Well]);
    let large = format!("X: {}\r\n", "a".repeat(20_000));
    assert_eq!(site.ask("GET", "/read/x", &large).status(), "431");
    let body = format!("Content-Length: {}\r\n", 100_000);
    let text = format!(
        "POST /write/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q\r\n\
         Authorization: Bearer k1\r\nConnection: close\r\n{body}\r\n{}",
        "a".repeat(100_000)
    );
    let answer = Answer(get(site.front, &text).expect("an answer"));
    assert_eq!(answer.status(), "413", "{answer:?}");
    let slow = get(site.front, "GET /read/x HTTP/1.1\r\nHost: h.ex").expect("closed");
    assert!(!slow.contains("200"), "{slow}");
    assert_eq!(site.runs(&site.workers), 0);
}

#[test]
fn settings_are_checked_with_all_faults() {
    let missing = process::Command::new(env!("CARGO_BIN_EXE_jacinthslip"))
        .args(["platform", "--settings", "/nonexistent/x.yaml"])
        .output()
        .expect("the program");
    assert_eq!(missing.status.code(), Some(2), "{missing:?}");
    assert!(String::from_utf8_lossy(&missing.stderr).contains("JACINTHSLIP_CONFIG"));
}
