//! Case: a worker leaves without reporting it, says so in its answers, and its entry comes back by a
//! write that is executed late.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http;
use crate::{Outcome, Rig, site};

/// Times since the start of the traffic: the worker's last status report is sent, the worker begins to
/// leave and its entry is removed, the status report is executed, the traffic ends.
const REPORT_AT: Duration = Duration::from_millis(1_000);
const LEAVE_AT: Duration = Duration::from_millis(1_900);
const LATE_AT: Duration = Duration::from_millis(6_000);
const END_AT: Duration = Duration::from_millis(9_000);
/// Work of each request, and time between two requests.
const WORK: Duration = Duration::from_millis(300);
const INTERVAL: Duration = Duration::from_millis(150);
const DRAIN_MS: u64 = 2_500;

#[derive(Default)]
struct Log {
    /// Whether the worker that leaves has begun to do so.
    is_leaving: bool,
    /// Time at which a client first got an answer by which the worker leaves, in milliseconds.
    told_at: Option<u64>,
    /// Requests that reached the worker: id, and whether the client sent it too late for it.
    late: Vec<String>,
}

pub fn run(rig: &Rig) -> Result<Outcome, String> {
    let log: Arc<Mutex<Log>> = Arc::default();
    let start = |name: &'static str| {
        let (record, log) = (rig.record.clone(), log.clone());
        http::serve(move |mut conn| {
            while let Some(request) = conn.read() {
                let id = request.header("request-id").to_owned();
                // The client puts the time at which it sends the request into the path.
                let (_, target) = request.request();
                let sent_at: u64 = target
                    .rsplit('/')
                    .next()
                    .and_then(|t| t.parse().ok())
                    .unwrap_or(0);
                record.line(&format!("worker  {name} runs id {id}"));
                if name == "i-1" {
                    let mut log = log.lock().expect("log");
                    if log.told_at.is_some_and(|told| sent_at > told + DRAIN_MS) {
                        log.late.push(id.clone());
                    }
                }
                thread::sleep(WORK);
                let is_leaving = name == "i-1" && log.lock().expect("log").is_leaving;
                let more = if is_leaving {
                    "Server-Leaving: 1\r\n"
                } else {
                    ""
                };
                let head = format!("{}{more}", site::signed(&id));
                if conn.send(&http::response(200, &head, b"done")).is_err() {
                    return;
                }
            }
        })
    };
    let (first, second) = (start("i-1"), start("i-2"));
    let entry = site::entry(site::DESK, first, 6, 4);
    rig.store.put("servers/i-1", &entry);
    rig.store
        .put("servers/i-2", &site::entry(site::DESK, second, 6, 4));
    let host = Host::start(&rig.site(), "edge-amman-a-1")?;
    let begin = Instant::now();
    thread::scope(|scope| {
        let (front, record, log) = (host.front, &rig.record, &log);
        scope.spawn(move || {
            let wait_until = |at: Duration| thread::sleep(at.saturating_sub(begin.elapsed()));
            wait_until(REPORT_AT);
            record.line("worker  i-1 sends a status report (ready), which gets no answer");
            wait_until(LEAVE_AT);
            log.lock().expect("log").is_leaving = true;
            rig.store.remove("servers/i-1");
            record.line("worker  i-1 begins to leave; its entry is removed");
            wait_until(LATE_AT);
            if rig.trouble {
                rig.store.put("servers/i-1", &entry);
                record.line("store   executes the status report of i-1");
            }
        });
        let mut n = 0;
        while begin.elapsed() < END_AT {
            thread::sleep((INTERVAL * n).saturating_sub(begin.elapsed()));
            n += 1;
            scope.spawn(move || {
                let id = format!("q-{n}");
                let path = format!("/write/{}", record.now_ms());
                let text = site::request("POST", &path, &id, "", "lane 4");
                let answer = http::exchange(front, text.as_bytes(), Duration::from_secs(5));
                let status = answer.as_ref().map_or(0, http::Message::status);
                let leaving = answer.is_some_and(|a| a.header("server-leaving") == "1");
                record.line(&format!(
                    "client  {id} gets {status}, server leaving: {leaving}"
                ));
                if leaving {
                    let now = record.now_ms();
                    log.lock().expect("log").told_at.get_or_insert(now);
                }
            });
        }
    });
    let log = log.lock().expect("log");
    rig.record.line(&format!(
        "result  first answer with Server-Leaving passed on at {:?} ms; sent later than {DRAIN_MS} ms \
         after it and run by that worker: {:?}",
        log.told_at, log.late
    ));
    Ok(Outcome::broken_if(!log.late.is_empty()))
}
