//! Upstreams and clients that send bytes without end, or very many of them at the same time.

mod env;

use std::io::{BufRead as _, BufReader, Read as _, Write as _};
use std::net;
use std::sync::atomic;
use std::thread;
use std::time;

use standin::process;

/// Requests that are in progress at the same time.
const CLIENTS: usize = 40;
/// Memory that a host may use with the default settings: what it may hold, and its programs and buffers.
const MAX_MEMORY_MB: u64 = 128;

/// Starts an upstream that answers each request with `first` and then `more` again and again, until the
/// host closes the connection.
fn start_endless(first: &'static str, more: &'static str) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
                let mut line = String::new();
                while line != "\r\n" {
                    line.clear();
                    if reader.read_line(&mut line).unwrap_or(0) == 0 {
                        return;
                    }
                }
                let bytes = more.repeat((64 << 10) / more.len());
                let mut result = stream.write_all(first.as_bytes());
                // Ends when the host closes the connection.
                while result.is_ok() {
                    result = stream.write_all(bytes.as_bytes());
                }
            });
        }
    });
    address
}

/// Largest memory of the first host so far, in MB.
fn peak_memory_mb(site: &env::Site) -> u64 {
    let host = site.hosts[0].as_ref().expect("a host");
    process::peak_memory_mb(host.child.id()).expect("a running host")
}

/// Guards against responses without end, each within its own limit, that together take a host over the
/// memory of its machine: of a plain service, of an engine in one event, and in events without number.
#[test]
fn many_endless_responses_are_bounded_as_a_sum() {
    const PLAIN: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                          Connection: close\r\n\r\n";
    const LINE: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                        Connection: close\r\n\r\ndata: ";
    let cases = [
        ("plain", PLAIN, "x"),
        ("line", LINE, "x"),
        ("lines", EVENTS, ": x\n"),
    ];
    for (kind, first, more) in cases {
        let mut site = env::Site::new(&["lalitpur"], 1);
        let address = start_endless(first, more).to_string();
        let old = match kind {
            "plain" => site.plain.address,
            _ => site.engines[0].address,
        };
        let document = site.document().replace(&old.to_string(), &address);
        site.apply(&document.replace("slots: 8", "slots: 64"));
        let key = site.issue_key("quotes");
        site.times_yaml.push_str("\n  answer_ms: 4000");
        site.start_all();
        let bearer = format!("Bearer {key}");
        thread::scope(|scope| {
            for n in 0..CLIENTS {
                let (site, key, bearer) = (&site, &key, &bearer);
                scope.spawn(move || {
                    if kind == "plain" {
                        let url = site.url(0, "/s/ledger/x");
                        let headers = [("Authorization", bearer.as_str())];
                        let told = env::call("POST", &url, &headers, "body").expect("a response");
                        assert_eq!(told.status, 502, "{told:?}");
                    } else {
                        let url = site.url(0, "/v1/chat/completions");
                        let told = env::chat(&url, key, &format!("prompt {n}"), 5);
                        assert!(!told.expect("a response").is_complete());
                    }
                });
            }
        });
        let peak_mb = peak_memory_mb(&site);
        assert!(peak_mb <= MAX_MEMORY_MB, "{kind}: {peak_mb} MB");
    }
}

/// Guards against many clients that send large bodies at the same time, each within the limit of a body.
#[test]
fn many_large_request_bodies_are_bounded_as_a_sum() {
    const BODY_BYTES: usize = 2_000_000;
    let (site, key) = env::Site::ready(&["lalitpur"], 0);
    let front = site.host_configs[0].listen;
    site.plain.set_fault(r#"{"run_ms":1000}"#);
    let refused = atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for _ in 0..3 * CLIENTS {
            scope.spawn(|| {
                let mut stream = net::TcpStream::connect(front).expect("connected");
                let timeout = Some(time::Duration::from_secs(20));
                stream.set_read_timeout(timeout).expect("a timeout");
                let head = format!(
                    "POST /s/ledger/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
                     Content-Length: {BODY_BYTES}\r\n\r\n"
                );
                // The host may close the connection before all is written.
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(&vec![b'x'; BODY_BYTES]);
                let mut text = [0; 4_096];
                let n = stream.read(&mut text).unwrap_or(0);
                let text = String::from_utf8_lossy(&text[..n]).into_owned();
                if text.contains("host_full") {
                    assert!(text.contains("not_run"), "{text}");
                    refused.fetch_add(1, atomic::Ordering::SeqCst);
                }
            });
        }
    });
    let peak_mb = peak_memory_mb(&site);
    assert!(peak_mb <= MAX_MEMORY_MB, "{peak_mb} MB");
    assert!(refused.load(atomic::Ordering::SeqCst) > 0);
    let bearer = format!("Bearer {key}");
    let headers = [("Authorization", bearer.as_str())];
    let sound = env::call("POST", &site.url(0, "/s/ledger/x"), &headers, "one").expect("sound");
    assert_eq!(sound.status, 200, "{sound:?}");
}
