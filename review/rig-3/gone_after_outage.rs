//! DRAIN: a host that follows others uses a worker that is gone for too long, because its own last call to the
//! store failed in an outage long before.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{self, Folder, Host, HostPlan, Manner, Run, Worker};
use crate::store::Store;
use crate::Verdict;

/// Length of the outage of the store, as in the site's list of troubles (`platform_down`).
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Calm after it, in which the machines are in touch again and stay so.
const CALM: Duration = Duration::from_millis(9_000);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let folder = Folder::create();
    let (store, platform) = Store::start(record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let worker = |id, zone| Worker::new(id, "ledger", zone, &store, record, &runs, Manner::plain(60));
    let (near, far) = (worker("i-near", "za"), worker("i-far", "zb"));
    store.write("op/config", &site::manifest(1, 2));
    near.start();
    far.start();
    let names = ["edge-za-1", "edge-za-2", "edge-za-3"];
    let (door, is_shut) = store.open_door();
    let plan = |name| HostPlan {
        name,
        zone: "za",
        platform: if name == "edge-za-3" { door } else { platform },
        seeds: Vec::new(),
        is_first_start: true,
    };
    let mut hosts: Vec<Host> = names.iter().map(|n| Host::new(&folder.0, &plan(n))).collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("the hosts are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    if trouble {
        record.line("the store is down");
        store.leave();
        thread::sleep(OUTAGE);
        is_shut.store(true, Ordering::SeqCst);
        store.come_back();
        record.line("the store is back, nothing is lost, but it turns edge-za-3 away");
        thread::sleep(Duration::from_secs(5));
        is_shut.store(false, Ordering::SeqCst);
        record.line("the store serves edge-za-3 again");
    }
    thread::sleep(CALM);
    // Two of three hosts follow no other; the third is the one that stays.
    let host = &hosts[2];
    let _ = site::book(record, host, "before");
    near.wait_for_beat();
    thread::sleep(Duration::from_millis(300));
    if trouble {
        record.line("edge-za-1 and edge-za-2 are lost: they don't respond any more");
        hosts[0].signal("-STOP");
        hosts[1].signal("-STOP");
    }
    // Planned: the worker leaves without having reported that it drains. It serves on for a while.
    near.leave();
    store.remove("servers/i-near");
    let gone_at = Instant::now();
    record.line("the entry of i-near is removed");
    thread::sleep(site::DRAIN + Duration::from_millis(60));
    let sent_at = Instant::now();
    let _ = site::book(record, host, "after");
    let runs = runs.lock().unwrap();
    let reached = |id: &str| runs.iter().any(|r| r.id == id && r.worker == "i-near");
    if !reached("before") {
        return Verdict::NotRun("the booking before did not reach i-near".to_owned());
    }
    if reached("after") {
        let late = (sent_at - gone_at).as_millis();
        record.line(&format!("a booking sent {late} ms after the entry was removed reached i-near"));
        return Verdict::Broken;
    }
    Verdict::Held
}
