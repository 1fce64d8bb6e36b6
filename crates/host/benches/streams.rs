//! Time that a host adds to the first token and between tokens, against the same client straight
//! to the stand-in engine in the same run; memory and threads of the host.
//!
//! `cargo build --release --workspace --examples --bins && cargo bench -p jacinthslip --bench streams`

#[path = "../tests/env/mod.rs"]
mod env;

use std::fs;
use std::io::BufRead as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::thread;
use std::time;

const TOKENS: u64 = 100;
const FIRST_MS: &str = "50";
const GAP_MS: &str = "20";
const SLOTS: &str = "1000";
const ROUNDS: usize = 3;

type Histogram = hdrhistogram::Histogram<u64>;

fn histogram() -> Histogram {
    Histogram::new(3).expect("histogram")
}

struct Times {
    first: Histogram,
    gap: Histogram,
}

/// One stream over a socket of its own; times in microseconds.
fn stream(address: net::SocketAddr, key: &str) -> (u64, Vec<u64>) {
    let body = env::chat_body("a benchmark", TOKENS, true);
    let mut socket = net::TcpStream::connect(address).expect("connect");
    socket.set_nodelay(true).expect("nodelay");
    let start = time::Instant::now();
    write!(
        socket,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {key}\r\n\
         X-Request-Id: bench\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .expect("send");
    let mut reader = std::io::BufReader::new(socket);
    let mut line = String::new();
    let mut first = None;
    let mut last = start;
    let mut gaps = Vec::new();
    loop {
        line.clear();
        assert!(
            reader.read_line(&mut line).expect("read") > 0,
            "the stream broke off"
        );
        if line.starts_with("data: [DONE]") {
            break;
        }
        if !line.starts_with("data: ") || !line.contains("\"content\"") {
            continue;
        }
        let now = time::Instant::now();
        match first {
            None => first = Some((now - start).as_micros() as u64),
            Some(_) => gaps.push((now - last).as_micros() as u64),
        }
        last = now;
    }
    (first.expect("a token"), gaps)
}

fn run(address: net::SocketAddr, key: &str, count: usize, mut during: impl FnMut()) -> Times {
    let mut out = Times {
        first: histogram(),
        gap: histogram(),
    };
    for _ in 0..ROUNDS {
        let ready = sync::Barrier::new(count + 1);
        thread::scope(|scope| {
            let mut streams = Vec::new();
            for n in 0..count {
                let ready = &ready;
                streams.push(scope.spawn(move || {
                    ready.wait();
                    // Spread over a gap, as callers are.
                    thread::sleep(time::Duration::from_micros(
                        n as u64 * 20_000 / count as u64,
                    ));
                    stream(address, key)
                }));
            }
            ready.wait();
            thread::sleep(time::Duration::from_millis(1_000));
            during();
            for s in streams {
                let (first, gaps) = s.join().expect("stream");
                out.first.record(first).expect("record");
                for gap in gaps {
                    out.gap.record(gap).expect("record");
                }
            }
        });
    }
    out
}

/// A number of the host's process, in kB or as it stands.
fn of_process(pid: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("status");
    let line = status.lines().find(|l| l.starts_with(name)).expect("line");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("number")
}

fn main() {
    let mut site = env::Site::new(&["lalitpur"], 0);
    site.engines.push(env::spawn_standin_with(
        "engine",
        &[SLOTS, FIRST_MS, GAP_MS],
    ));
    site.apply(&site.document().replace("slots: 8}", "slots: 1000}"));
    let key = site.issue_key("quotes");
    site.start_all();
    let engine = site.engines[0].address;
    let host = site.host(0).address;
    let pid = site.host(0).child.id();
    let idle = (of_process(pid, "VmRSS"), of_process(pid, "Threads"));
    println!("idle: {} kB, {} threads", idle.0, idle.1);
    println!(
        "{:>8} {:>26} {:>26} {:>9} {:>9} {:>9} {:>8}",
        "streams", "first p50/p99 ms: engine", "host", "added p99", "gap p99 +", "kB", "threads"
    );
    for count in [1, 50, 400] {
        let plain = run(engine, &key, count, || {});
        let mut seen = (0, 0);
        let routed = run(host, &key, count, || {
            seen = (of_process(pid, "VmRSS"), of_process(pid, "Threads"));
        });
        let ms = |h: &Histogram, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "{count:>8} {:>17.2} /{:>7.2} {:>17.2} /{:>7.2} {:>9.2} {:>9.2} {:>9} {:>8}",
            ms(&plain.first, 0.5),
            ms(&plain.first, 0.99),
            ms(&routed.first, 0.5),
            ms(&routed.first, 0.99),
            ms(&routed.first, 0.99) - ms(&plain.first, 0.99),
            ms(&routed.gap, 0.99) - ms(&plain.gap, 0.99),
            seen.0,
            seen.1
        );
    }
}
