//! DRAIN: a worker that leaves gets requests, because its entry has a lower revision than one that a restored
//! store has lost.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{self, Folder, Host, HostPlan, Manner, Run, Worker};
use crate::store::Store;
use crate::Verdict;

/// Pause between two bookings at a host, more than the drain deadline.
const BOOKING_PAUSE: f64 = 3.0;
/// Changes of the manifest in quick succession, and the pause between two of them.
const MANIFESTS: u64 = 28;
const MANIFEST_PAUSE: Duration = Duration::from_millis(225);

fn sleep_until(start: Instant, seconds: f64) {
    let at = start + Duration::from_secs_f64(seconds);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let folder = Folder::create();
    let (store, platform) = Store::start(record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let manner = Manner::plain(60);
    let worker = |id, zone| Worker::new(id, "ledger", zone, &store, record, &runs, manner);
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
    let start = Instant::now();
    let book_all = |number: u32| {
        let sent = Instant::now();
        let answers: Vec<bool> = thread::scope(|scope| {
            let hosts = hosts.iter().enumerate();
            let sent = hosts.map(|(n, host)| {
                scope.spawn(move || site::book(record, host, &format!("b{number}-{n}")).is_ok())
            });
            let sent: Vec<_> = sent.collect();
            sent.into_iter().map(|s| s.join().unwrap_or(false)).collect()
        });
        (sent, answers)
    };
    // A booking at each host every three seconds, in the background of all that follows.
    let mut number = 0;
    let mut next_booking = 1.0;
    let mut book_until = |until: f64| {
        while next_booking < until {
            sleep_until(start, next_booking);
            number += 1;
            book_all(number);
            next_booking += BOOKING_PAUSE;
        }
        sleep_until(start, until);
    };

    book_until(3.6);
    let copy = store.copy();
    record.line(&format!("the copy is made at revision {}", store.position().0));
    let storm = {
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            for version in 2..2 + MANIFESTS {
                let rev = store.write("op/config", &site::manifest(version, 2 + version % 3));
                record.line(&format!("manifest {version} written, revision {rev:?}"));
                thread::sleep(MANIFEST_PAUSE);
            }
        })
    };
    // A restart in place: the worker says that it leaves, serves on for the drain deadline and a little longer,
    // ends, and starts again under its id.
    book_until(7.2);
    if near.drain().is_none() {
        return Verdict::NotRun("the store did not accept that the worker leaves".to_owned());
    }
    book_until(10.2);
    near.end();
    store.remove("servers/i-near");
    record.line(&format!("entry of i-near removed, revision {}", store.position().0));
    book_until(10.4);
    let _ = storm.join();
    near.start();
    book_until(10.9);
    if trouble {
        record.line("the store is away");
        store.leave();
        book_until(11.7);
        store.restore(copy);
        let (rev, era) = store.position();
        record.line(&format!("the store is back from the copy: revision {rev}, era {era}"));
        // The operator writes the newest manifest again; the workers write their entries with their next
        // heartbeat.
        let version = 1 + MANIFESTS;
        let rev = store.write("op/config", &site::manifest(version, 2 + version % 3));
        record.line(&format!("manifest {version} written again, revision {rev:?}"));
    } else {
        book_until(11.7);
    }
    // Bookings at 13 s and 16 s; the worker leaves just after the second, 4.6 s after the end of the disturbance.
    book_until(16.3);
    let Some(left_at) = near.drain() else {
        return Verdict::NotRun("the store did not accept that the worker leaves".to_owned());
    };
    record.line("i-near has said in the store that it leaves");
    // A booking at 19 s.
    book_until(20.0);
    let is_late = |run: &&Run| run.worker == "i-near" && run.at > left_at + site::DRAIN;
    let runs = runs.lock().unwrap();
    let late: Vec<&Run> = runs.iter().filter(is_late).collect();
    let before = runs.iter().filter(|r| r.worker == "i-near" && r.at < left_at).count();
    for run in &late {
        let after = run.at - left_at;
        record.line(&format!("{} reached i-near {} ms after it had left", run.id, after.as_millis()));
    }
    if hosts.iter_mut().any(Host::has_ended) {
        return Verdict::NotRun("a host has ended".to_owned());
    }
    if before == 0 {
        return Verdict::NotRun("no booking reached i-near".to_owned());
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
