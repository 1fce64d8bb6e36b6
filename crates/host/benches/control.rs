//! Network traffic and CPU time of a host by the number of hosts, idle and under load. Every host
//! is a separate process; the traffic counted is that between hosts.
//!
//! `cargo build --release --workspace --examples --bins && cargo bench -p jacinthslip --bench control`

#[path = "../tests/env/mod.rs"]
mod env;

use std::fs;
use std::sync::atomic;
use std::thread;
use std::time;

/// Time over which traffic and CPU time are averaged.
const SAMPLE_PERIOD: time::Duration = time::Duration::from_secs(10);

/// CPU time of a process, in clock ticks of 10 ms.
fn cpu_ticks(pid: u32) -> u64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("stat");
    let after_name = stat.rsplit(") ").next().expect("fields");
    let fields: Vec<u64> = after_name
        .split_whitespace()
        .map(|f| f.parse().unwrap_or_default())
        .collect();
    fields[11] + fields[12]
}

/// Resident memory of a process, in kB.
fn resident_kb(pid: u32) -> u64 {
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

/// Bytes that a host has sent to and received from other hosts since its start.
fn peer_bytes(site: &env::Site, n: usize) -> (f64, f64) {
    let metrics = env::call("GET", &site.url(n, "/metrics"), &[], "")
        .expect("metrics")
        .body;
    let value = |direction: &str| {
        let label = format!("way=\"{direction}\"");
        let line = metrics
            .lines()
            .find(|l| l.starts_with("control_bytes") && l.contains(&label));
        line.and_then(|l| l.rsplit(' ').next())
            .and_then(|v| v.parse().ok())
            .unwrap_or_default()
    };
    (value("sent"), value("received"))
}

/// Counters of one host since its start.
struct HostSample {
    sent_bytes: f64,
    received_bytes: f64,
    cpu_ticks: u64,
}

/// Reads the counters of all hosts.
fn sample_hosts(site: &env::Site) -> Vec<HostSample> {
    let sample_host = |n: usize| {
        let (sent_bytes, received_bytes) = peer_bytes(site, n);
        HostSample {
            sent_bytes,
            received_bytes,
            cpu_ticks: cpu_ticks(site.host(n).child.id()),
        }
    };
    (0..site.host_configs.len()).map(sample_host).collect()
}

/// Prints the mean and the maximum over all hosts, measured for [`SAMPLE_PERIOD`].
fn measure(site: &env::Site, load: &str, request_rate: f64) {
    let before = sample_hosts(site);
    let calls_before: serde_json::Value = env::get_json(&site.store.url("/count"));
    thread::sleep(SAMPLE_PERIOD);
    let after = sample_hosts(site);
    let calls_after: serde_json::Value = env::get_json(&site.store.url("/count"));
    let period_s = SAMPLE_PERIOD.as_secs_f64();
    let count = site.host_configs.len();
    let mean_and_max = |f: &dyn Fn(&HostSample, &HostSample) -> f64| -> (f64, f64) {
        let rates: Vec<f64> = before
            .iter()
            .zip(&after)
            .map(|(b, a)| f(b, a) / period_s)
            .collect();
        (
            rates.iter().sum::<f64>() / count as f64,
            rates.iter().copied().fold(0.0, f64::max),
        )
    };
    let sent = mean_and_max(&|b, a| a.sent_bytes - b.sent_bytes);
    let received = mean_and_max(&|b, a| a.received_bytes - b.received_bytes);
    // One tick per second is 1 % of a processor.
    let cpu_percent = mean_and_max(&|b, a| (a.cpu_ticks - b.cpu_ticks) as f64);
    let max_memory_kb = (0..count)
        .map(|n| resident_kb(site.host(n).child.id()))
        .max()
        .unwrap_or_default();
    let calls_per_s = |kind: &str| {
        (calls_after[kind].as_u64().unwrap_or_default()
            - calls_before[kind].as_u64().unwrap_or_default()) as f64
            / period_s
    };
    println!(
        "{count:>6} {load:>6} {request_rate:>8.1} {:>9.0}/{:>6.0} {:>9.0}/{:>6.0} {:>7.2}/{:>5.2} {max_memory_kb:>8} {:>7.1} {:>7.1}",
        sent.0,
        sent.1,
        received.0,
        received.1,
        cpu_percent.0,
        cpu_percent.1,
        calls_per_s("reads"),
        calls_per_s("writes")
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
        let served_count = atomic::AtomicU64::new(0);
        thread::scope(|scope| {
            // About 13 requests per second for each host, the rate that the requirements name.
            for n in 0..count {
                let (site, key, stop, served_count) = (&site, &key, &stop, &served_count);
                scope.spawn(move || {
                    let url = site.url(n, "/v1/chat/completions");
                    while !stop.load(atomic::Ordering::SeqCst) {
                        let response = env::chat(&url, key, "a quote", 10).expect("response");
                        assert!(response.is_complete(), "{response:?}");
                        served_count.fetch_add(1, atomic::Ordering::SeqCst);
                        thread::sleep(time::Duration::from_millis(45));
                    }
                });
            }
            thread::sleep(time::Duration::from_secs(2));
            // Time and number of served requests at the start of the rate measurement.
            let start = (
                time::Instant::now(),
                served_count.load(atomic::Ordering::SeqCst),
            );
            thread::sleep(time::Duration::from_secs(1));
            let completed = served_count.load(atomic::Ordering::SeqCst) - start.1;
            let request_rate = completed as f64 / start.0.elapsed().as_secs_f64() / count as f64;
            measure(&site, "load", request_rate);
            stop.store(true, atomic::Ordering::SeqCst);
        });
    }
}
