//! MIXED: a stream that a faulty worker breaks off looks complete to the client.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site::{self, Folder, Host, HostPlan, Manner, Run, Worker};
use crate::store::Store;
use crate::Verdict;

const EVENTS: u64 = 10;
const PATIENCE: Duration = Duration::from_millis(5_000);

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let folder = Folder::create();
    let (store, platform) = Store::start(record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let manner = Manner {
        work: Duration::from_millis(100),
        events: EVENTS,
        gap: Duration::from_millis(60),
        pause: None,
        spoil: trouble.then_some(6),
    };
    let worker = Worker::new("i-1", "drafter", "za", &store, record, &runs, manner);
    store.write("op/config", &site::quote_manifest(1));
    worker.start();
    let plan = HostPlan {
        name: "edge-za-1",
        zone: "za",
        platform,
        seeds: Vec::new(),
        is_first_start: true,
    };
    let mut host = Host::new(&folder.0, &plan);
    host.start();
    if !host.wait_ready(Duration::from_secs(10)) {
        return Verdict::NotRun("the host is not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let streams: Vec<site::Stream> =
        (0..3).map(|n| site::quote(record, &host, "sheet", &format!("s{n}"), PATIENCE)).collect();
    if runs.lock().unwrap().is_empty() {
        return Verdict::NotRun("no stream reached the worker".to_owned());
    }
    let looks_complete = |s: &site::Stream| s.status == 200 && s.is_complete && s.events < EVENTS;
    if streams.iter().any(looks_complete) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
