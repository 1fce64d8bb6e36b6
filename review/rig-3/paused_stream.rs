//! LOST: a stream is cut because its worker pauses, although no other worker can go on with it.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::site::{self, Folder, Host, HostPlan, Manner, Run, Worker};
use crate::store::Store;
use crate::Verdict;

/// Pause of the worker, and the longest one that clients of this route wait for: two seconds, four times the
/// objective or eight times the pause of the sheet, whichever is longest.
const PAUSE: Duration = Duration::from_millis(1_400);
const PATIENCE: Duration = Duration::from_millis(8_000);
const EVENTS: u64 = 24;
const STREAMS: usize = 3;

pub fn run(record: &Arc<Record>, trouble: bool) -> Verdict {
    let folder = Folder::create();
    let (store, platform) = Store::start(record);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let manner = Manner {
        work: Duration::from_millis(150),
        events: EVENTS,
        gap: Duration::from_millis(80),
        pause: trouble.then_some((18, PAUSE)),
        spoil: None,
    };
    let worker = |id, zone| Worker::new(id, "drafter", zone, &store, record, &runs, manner);
    let (kept, leaving) = (worker("i-kept", "za"), worker("i-leaving", "zb"));
    store.write("op/config", &site::quote_manifest(1));
    kept.start();
    leaving.start();
    let names = ["edge-za-1", "edge-zb-1"];
    let mut hosts: Vec<Host> = names
        .iter()
        .map(|name| {
            let plan = HostPlan {
                name,
                zone: &name[5..7],
                platform,
                seeds: Vec::new(),
                is_first_start: true,
            };
            Host::new(&folder.0, &plan)
        })
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(|h| h.wait_ready(Duration::from_secs(10))) {
        return Verdict::NotRun("the hosts are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    // Planned: the second worker is taken away, as in a quiet night.
    if leaving.drain().is_none() {
        return Verdict::NotRun("the store did not accept that the worker leaves".to_owned());
    }
    record.line("i-leaving has said in the store that it leaves");
    thread::sleep(site::DRAIN + Duration::from_secs(1));
    store.remove("servers/i-leaving");
    leaving.end();
    thread::sleep(Duration::from_secs(2));
    // Planned: the first host is stopped while it serves streams.
    let host = &hosts[0];
    let mut stopped_at = Instant::now();
    let streams: Vec<site::Stream> = thread::scope(|scope| {
        let streams = (0..STREAMS).map(|n| {
            scope.spawn(move || site::quote(record, host, "quote", &format!("q{n}"), PATIENCE))
        });
        let streams: Vec<_> = streams.collect();
        thread::sleep(Duration::from_millis(1_000));
        record.line(&format!("SIGTERM to {}", host.name));
        host.signal("-TERM");
        stopped_at = Instant::now();
        streams.into_iter().map(|s| s.join().unwrap_or_default()).collect()
    });
    let ended_after = stopped_at.elapsed();
    record.line(&format!("all streams have ended, {} ms after the signal", ended_after.as_millis()));
    let runs = runs.lock().unwrap();
    if runs.len() < STREAMS {
        return Verdict::NotRun("not every stream reached a worker".to_owned());
    }
    // Excused by the rule: the worker at work in the last sixth of the grace period. The time limit and the
    // route's timeout, 10 s, come later.
    if ended_after >= site::GRACE * 5 / 6 {
        return Verdict::NotRun("a stream lasted into the last sixth of the grace period".to_owned());
    }
    // An answer of 200 has come from the worker, which breaks none off.
    let is_cut = |s: &site::Stream| s.status == 200 && !(s.is_complete && s.events == EVENTS);
    if streams.iter().any(is_cut) {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
