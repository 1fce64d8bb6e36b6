//! Latency that a host adds to the first token and between tokens, compared with the same client
//! connected directly to the stand-in engine in the same run. Also memory and threads of the host.
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

const TOKENS_PER_STREAM: u64 = 100;
const FIRST_TOKEN_MS: &str = "50";
const TOKEN_GAP_MS: &str = "20";
const ENGINE_SLOTS: &str = "1000";
/// Number of times that each set of concurrent streams runs.
const ROUNDS: usize = 3;

type Histogram = hdrhistogram::Histogram<u64>;

/// Empty histogram with three significant digits.
fn histogram() -> Histogram {
    Histogram::new(3).expect("histogram")
}

/// Latencies in microseconds.
struct Latencies {
    first_token: Histogram,
    token_gap: Histogram,
}

/// Runs one stream on its own connection. Returns the time to the first token and the gaps between
/// tokens, in microseconds.
fn run_stream(address: net::SocketAddr, key: &str) -> (u64, Vec<u64>) {
    let body = env::chat_body("a benchmark", TOKENS_PER_STREAM, true);
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
    let mut first_token = None;
    let mut last_token = start;
    let mut gaps = Vec::new();
    loop {
        line.clear();
        assert!(
            reader.read_line(&mut line).expect("read") > 0,
            "the connection closed before [DONE]"
        );
        if line.starts_with("data: [DONE]") {
            break;
        }
        if !line.starts_with("data: ") || !line.contains("\"content\"") {
            continue;
        }
        let now = time::Instant::now();
        match first_token {
            None => first_token = Some((now - start).as_micros() as u64),
            Some(_) => gaps.push((now - last_token).as_micros() as u64),
        }
        last_token = now;
    }
    (first_token.expect("a token"), gaps)
}

/// Runs `count` streams at once, [`ROUNDS`] times, and calls `while_running` in each round when all
/// of them have started.
fn run_streams(
    address: net::SocketAddr,
    key: &str,
    count: usize,
    mut while_running: impl FnMut(),
) -> Latencies {
    let mut latencies = Latencies {
        first_token: histogram(),
        token_gap: histogram(),
    };
    for _ in 0..ROUNDS {
        let ready = sync::Barrier::new(count + 1);
        thread::scope(|scope| {
            let mut streams = Vec::new();
            for n in 0..count {
                let ready = &ready;
                streams.push(scope.spawn(move || {
                    ready.wait();
                    // Spreads the starts over one token gap, because real clients do not start
                    // at the same moment.
                    thread::sleep(time::Duration::from_micros(
                        n as u64 * 20_000 / count as u64,
                    ));
                    run_stream(address, key)
                }));
            }
            ready.wait();
            thread::sleep(time::Duration::from_millis(1_000));
            while_running();
            for stream in streams {
                let (first_token, gaps) = stream.join().expect("stream");
                latencies.first_token.record(first_token).expect("record");
                for gap in gaps {
                    latencies.token_gap.record(gap).expect("record");
                }
            }
        });
    }
    latencies
}

/// Field `name` of the `/proc` status of a process: kB for `VmRSS`, a count for `Threads`.
fn process_status(pid: u32, name: &str) -> u64 {
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
        &[ENGINE_SLOTS, FIRST_TOKEN_MS, TOKEN_GAP_MS],
    ));
    site.apply(&site.document().replace("slots: 8}", "slots: 1000}"));
    let key = site.issue_key("quotes");
    site.start_all();
    let engine = site.engines[0].address;
    let host = site.host(0).address;
    let pid = site.host(0).child.id();
    let idle = (process_status(pid, "VmRSS"), process_status(pid, "Threads"));
    println!("idle: {} kB, {} threads", idle.0, idle.1);
    println!(
        "{:>8} {:>26} {:>26} {:>9} {:>9} {:>9} {:>8}",
        "streams", "first p50/p99 ms: engine", "host", "added p99", "gap p99 +", "kB", "threads"
    );
    for count in [1, 50, 400] {
        let direct = run_streams(engine, &key, count, || {});
        let mut under_load = (0, 0);
        let routed = run_streams(host, &key, count, || {
            under_load = (process_status(pid, "VmRSS"), process_status(pid, "Threads"));
        });
        let quantile_ms = |h: &Histogram, q: f64| h.value_at_quantile(q) as f64 / 1_000.0;
        println!(
            "{count:>8} {:>17.2} /{:>7.2} {:>17.2} /{:>7.2} {:>9.2} {:>9.2} {:>9} {:>8}",
            quantile_ms(&direct.first_token, 0.5),
            quantile_ms(&direct.first_token, 0.99),
            quantile_ms(&routed.first_token, 0.5),
            quantile_ms(&routed.first_token, 0.99),
            quantile_ms(&routed.first_token, 0.99) - quantile_ms(&direct.first_token, 0.99),
            quantile_ms(&routed.token_gap, 0.99) - quantile_ms(&direct.token_gap, 0.99),
            under_load.0,
            under_load.1
        );
    }
}
