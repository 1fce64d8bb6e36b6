//! DRAIN: an entry of another writer, which lacks a field, brings a worker back that has said that it leaves.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{self, Folder, Host, HostPlan, Manner, Run, Worker};
use crate::store::Store;
use crate::Verdict;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let folder = Folder::create();
    let (store, platform) = Store::start(record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let worker = |id, zone| Worker::new(id, "ledger", zone, &store, record, &runs, Manner::plain(400));
    let (near, far) = (worker("i-near", "za"), worker("i-far", "zb"));
    store.write("op/config", &site::manifest(1, 2));
    near.start();
    far.start();
    let names = ["edge-za-1", "edge-za-2"];
    let plan = |name| HostPlan {
        name,
        zone: "za",
        platform,
        seeds: Vec::new(),
        is_first_start: true,
    };
    let mut hosts: Vec<Host> = names.iter().map(|n| Host::new(&folder.0, &plan(n))).collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("the hosts are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    // Bookings during which the nearer worker begins to leave. Its answers say so.
    let leaving_answers: Vec<Option<Instant>> = thread::scope(|scope| {
        let sent = hosts.iter().enumerate().map(|(n, host)| {
            scope.spawn(move || {
                let answer = site::book(record, host, &format!("first-{n}")).ok()?;
                answer.header("server-leaving").map(|_| Instant::now())
            })
        });
        let sent: Vec<_> = sent.collect();
        thread::sleep(Duration::from_millis(200));
        near.drain();
        sent.into_iter().map(|s| s.join().unwrap_or(None)).collect()
    });
    record.line("i-near has said in the store that it leaves, and in its answers");
    if leaving_answers.iter().any(Option::is_none) {
        return Verdict::NotRun("a host has passed on no answer that says that the worker leaves".to_owned());
    }
    thread::sleep(site::DRAIN + Duration::from_millis(300));
    near.wait_for_beat();
    if trouble {
        let text = format!(
            "{{\"service\":\"ledger\",\"addr\":\"127.0.0.1:{}\",\"zone\":\"za\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            near.port()
        );
        let rev = store.write("servers/i-near", &text);
        record.line(&format!("another writer writes servers/i-near, revision {rev:?}: {text}"));
    }
    thread::sleep(Duration::from_millis(400));
    let sent_at = Instant::now();
    thread::scope(|scope| {
        for (n, host) in hosts.iter().enumerate() {
            scope.spawn(move || site::book(record, host, &format!("second-{n}")));
        }
        // The worker exits, a second and more after the drain deadline.
        thread::sleep(Duration::from_millis(200));
        near.end();
    });
    let runs = runs.lock().unwrap();
    let late: Vec<&Run> = runs.iter().filter(|r| r.worker == "i-near" && r.at > sent_at).collect();
    let passed_on = leaving_answers.iter().flatten().max();
    if passed_on.is_none_or(|at| sent_at < *at + site::DRAIN) {
        return Verdict::NotRun("the second bookings were sent too early".to_owned());
    }
    for run in &late {
        record.line(&format!("{} reached i-near", run.id));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
