//! Bytes and processor time that a host spends on the others, by the number of hosts: idle and
//! under load, each host a process.
//!
//! `cargo build --release --workspace --examples --bins && cargo bench -p jacinthslip --bench control`

#[path = "../tests/env/mod.rs"]
mod env;

use std::fs;
use std::sync::atomic;
use std::thread;
use std::time;

const SPAN: time::Duration = time::Duration::from_secs(10);

/// Processor time of a process, in clock ticks of 10 ms.
fn ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("stat");
    let rest = stat.rsplit(") ").next().expect("fields");
    let fields: Vec<u64> = rest
        .split_whitespace()
        .map(|f| f.parse().unwrap_or_default())
        .collect();
    fields[11] + fields[12]
}

fn resident(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("status");
    let line = status
        .lines()
        .find(|l| l.starts_with("VmRSS"))
        .expect("line");
    line.split_whitespace()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("number")
}

/// Bytes sent and received so far by a host.
fn bytes(site: &env::Site, n: usize) -> (f64, f64) {
    let text = env::call("GET", &site.url(n, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    let of = |way: &str| {
        let mark = format!("way=\"{way}\"");
        let line = text
            .lines()
            .find(|l| l.starts_with("control_bytes") && l.contains(&mark));
        line.and_then(|l| l.rsplit(' ').next())
            .and_then(|v| v.parse().ok())
            .unwrap_or_default()
    };
    (of("sent"), of("received"))
}

struct Sample {
    sent: f64,
    received: f64,
    ticks: u64,
}

fn sample(site: &env::Site) -> Vec<Sample> {
    let one = |n: usize| {
        let (sent, received) = bytes(site, n);
        Sample {
            sent,
            received,
            ticks: ticks(site.host(n).child.id()),
        }
    };
    (0..site.host_configs.len()).map(one).collect()
}

/// Prints the mean and the most of all hosts over [`SPAN`].
fn measure(site: &env::Site, what: &str, rate: f64) {
    let before = sample(site);
    let calls: serde_json::Value = env::get_json(&site.store.url("/count"));
    thread::sleep(SPAN);
    let after = sample(site);
    let then: serde_json::Value = env::get_json(&site.store.url("/count"));
    let secs = SPAN.as_secs_f64();
    let count = site.host_configs.len();
    let each = |f: &dyn Fn(&Sample, &Sample) -> f64| -> (f64, f64) {
        let all: Vec<f64> = before
            .iter()
            .zip(&after)
            .map(|(b, a)| f(b, a) / secs)
            .collect();
        (
            all.iter().sum::<f64>() / count as f64,
            all.iter().copied().fold(0.0, f64::max),
        )
    };
    let sent = each(&|b, a| a.sent - b.sent);
    let received = each(&|b, a| a.received - b.received);
    let cpu = each(&|b, a| (a.ticks - b.ticks) as f64);
    let memory = (0..count)
        .map(|n| resident(site.host(n).child.id()))
        .max()
        .unwrap_or_default();
    let calls = |k: &str| {
        (then[k].as_u64().unwrap_or_default() - calls[k].as_u64().unwrap_or_default()) as f64 / secs
    };
    println!(
        "{count:>6} {what:>6} {rate:>8.1} {:>9.0}/{:>6.0} {:>9.0}/{:>6.0} {:>7.2}/{:>5.2} {memory:>8} {:>7.1} {:>7.1}",
        sent.0,
        sent.1,
        received.0,
        received.1,
        cpu.0,
        cpu.1,
        calls("reads"),
        calls("writes")
    );
}

fn main() {
    println!(
        "{:>6} {:>6} {:>8} {:>16} {:>16} {:>13} {:>8} {:>7} {:>7}",
        "hosts", "load", "req/s", "sent B/s", "received B/s", "cpu %", "kB", "reads/s", "writes/s"
    );
    for count in [2usize, 6, 18] {
        let mut site = env::Site::new(&vec!["lalitpur"; count], 0);
        site.engines
            .push(env::spawn_standin_with("engine", &["400", "5", "2"]));
        site.times_yaml = "linger_ms: 50".to_owned();
        site.apply(&site.document().replace("slots: 8}", "slots: 400}"));
        let key = site.issue_key("quotes");
        site.start_all();
        thread::sleep(time::Duration::from_secs(3));
        measure(&site, "idle", 0.0);
        let stop = atomic::AtomicBool::new(false);
        let served = atomic::AtomicU64::new(0);
        thread::scope(|scope| {
            // About 13 requests a second for each host, as in the letter.
            for n in 0..count {
                let (site, key, stop, served) = (&site, &key, &stop, &served);
                scope.spawn(move || {
                    let url = site.url(n, "/v1/chat/completions");
                    while !stop.load(atomic::Ordering::SeqCst) {
                        let answer = env::chat(&url, key, "a quote", 10).expect("answer");
                        assert!(answer.is_complete(), "{answer:?}");
                        served.fetch_add(1, atomic::Ordering::SeqCst);
                        thread::sleep(time::Duration::from_millis(45));
                    }
                });
            }
            thread::sleep(time::Duration::from_secs(2));
            let start = (time::Instant::now(), served.load(atomic::Ordering::SeqCst));
            thread::sleep(time::Duration::from_secs(1));
            let done = served.load(atomic::Ordering::SeqCst) - start.1;
            let rate = done as f64 / start.0.elapsed().as_secs_f64() / count as f64;
            measure(&site, "load", rate);
            stop.store(true, atomic::Ordering::SeqCst);
        });
    }
}
