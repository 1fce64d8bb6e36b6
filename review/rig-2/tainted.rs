//! A site on which one part of a prompt crashes each worker that begins to write an answer on it, and the
//! rules BUDGET and LOST for such requests.
#![allow(dead_code)]

use std::collections::HashSet;
use std::io::{BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::rig;

const HOSTS: usize = 6;
const WORKERS: usize = 12;
/// Part that crashes workers.
const TAINTED_PART: &str = "bad0";
/// Time from a request's arrival at a worker until it begins to write its answer.
const PREFILL: Duration = Duration::from_millis(80);
const EVENTS: u32 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(60);
const DEADLINE_MS: u64 = 8_000;
/// Bounds of the rules.
const CONTACT_S: f64 = 4.0;
/// Time added to a bound for the send of a request to a worker.
const SEND_S: f64 = 0.1;
const CRASHES: usize = 5;
const MAX_LATE_REQUESTS: usize = 3;
const MIN_REQUESTS: usize = 20;

/// Where the part stands in its prompts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Place {
    /// Behind a first part and a subject that sound prompts have too.
    Third,
    /// First, with one of three parts behind it that no other prompt has.
    First,
}

/// What is played. Times are in seconds since the begin of the traffic.
pub struct Plan {
    /// Requests a second at all hosts together, sound ones and those with the part.
    pub sound_per_s: f64,
    pub tainted_per_s: f64,
    pub place: Place,
    /// When requests with the part begin to come.
    pub tainted_from: f64,
    /// When the processes of all hosts are killed, if they are; they are started again after this time.
    pub killed_at: Option<(f64, Duration)>,
    pub length: f64,
    /// Time for which a worker that crashed is away.
    pub away: Duration,
}

/// What was seen.
pub struct Outcome {
    pub crashes: usize,
    /// Requests with the part that machines in touch sent to workers later than the bound. A request and its
    /// repeat count once.
    pub late_requests: usize,
    /// Sound requests with the same key and first part that began and were sent: before any of these
    /// requests came, and from twice the contact time after the fifth crash.
    pub before: (usize, usize),
    pub after: (usize, usize),
}

impl Outcome {
    pub fn breaks_budget(&self) -> bool {
        self.late_requests > MAX_LATE_REQUESTS
    }

    pub fn breaks_lost(&self) -> bool {
        let is_enough = self.before.1 >= MIN_REQUESTS && self.after.1 >= MIN_REQUESTS;
        is_enough && 2 * self.after.0 * self.before.1 < self.before.0 * self.after.1
    }
}

struct Worker {
    number: usize,
    address: SocketAddr,
    /// Number of the worker's process; a crash begins the next one.
    process: AtomicU64,
    is_away: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

struct Site {
    began: Instant,
    crashes_workers: bool,
    away: Duration,
    store: rig::Store,
    record: rig::Record,
    /// Times of crashes, and of arrivals of requests with the part, in seconds.
    crashes: Mutex<Vec<f64>>,
    arrivals: Mutex<Vec<(f64, String)>>,
    /// Sound requests that began to run: a worker has written their first event.
    begun: Mutex<HashSet<String>>,
}

impl Site {
    fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

fn manifest() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"seed\",\"host\":\"h.example\",\"path_prefix\":\"/seed/\",\
     \"route_kind\":\"streaming\",\"timeout_ms\":8000,\"goal_ms\":2000,\"priority\":2,\
     \"service\":\"draw-model\",\"attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\
     \"gap_target_ms\":1000}],\"services\":[{\"name\":\"draw-model\",\"health_path\":\"/healthz\",\
     \"max_conns\":610,\"protocol\":\"h1\",\"tls\":false,\
     \"engine\":{\"slots\":128,\"kv_capacity\":563606,\"stride\":5}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"key-1\"],\"priority\":1},\
     {\"name\":\"two\",\"api_keys\":[\"key-2\"],\"priority\":1}]}"
        .to_owned()
}

/// Ends the worker's process: all its connections close, and new ones are refused for a while. Then it is
/// back under its name with another start time.
fn crash(site: &Arc<Site>, worker: &Arc<Worker>, process: u64) {
    let next = process + 1;
    let ends =
        worker
            .process
            .compare_exchange(process, next, Ordering::SeqCst, Ordering::SeqCst);
    if ends.is_err() {
        return;
    }
    site.record.add(format!("worker {} crashes", worker.number));
    site.crashes.lock().expect("crashes").push(site.now());
    worker.is_away.store(true, Ordering::SeqCst);
    for connection in worker.connections.lock().expect("connections").drain(..) {
        let _ = connection.shutdown(Shutdown::Both);
    }
    let (site, worker) = (site.clone(), worker.clone());
    thread::spawn(move || {
        thread::sleep(site.away);
        worker.is_away.store(false, Ordering::SeqCst);
        let entry = rig::worker_entry("draw-model", worker.address);
        let key = format!("servers/i-{}", worker.number);
        site.store.put(&key, &entry);
    });
}

fn serve_connection(
    site: &Arc<Site>,
    worker: &Arc<Worker>,
    mut stream: &TcpStream,
    process: u64,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let copy = stream.try_clone()?;
    worker.connections.lock().expect("connections").push(copy);
    let mut reader = BufReader::new(stream);
    while let Some(request) = rig::read_request(&mut reader) {
        let runs = || worker.process.load(Ordering::SeqCst) == process;
        if !runs() {
            return Ok(());
        }
        let id = request.header("request-id");
        let parts = request.header("prefix-hash");
        let is_tainted = parts.contains(&format!("{TAINTED_PART}:"));
        if is_tainted {
            site.record
                .add(format!("{id} reaches worker {}", worker.number));
            let mut arrivals = site.arrivals.lock().expect("arrivals");
            arrivals.push((site.now(), id.to_owned()));
        }
        thread::sleep(PREFILL);
        if !runs() {
            return Ok(());
        }
        if is_tainted && site.crashes_workers {
            // The answer has begun, and its head is not complete.
            stream.write_all(b"HTTP/1.1 200 OK\r\nRequest-Id: ")?;
            thread::sleep(Duration::from_millis(2));
            crash(site, worker, process);
            return Ok(());
        }
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\n");
        write!(stream, "{head}Transfer-Encoding: chunked\r\n\r\n")?;
        for event in 1..=EVENTS {
            let event = format!("id: {event}\ndata: x\n\n");
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            site.begun.lock().expect("begun").insert(id.to_owned());
            thread::sleep(EVENT_PAUSE);
        }
        write!(stream, "0\r\n\r\n")?;
    }
    Ok(())
}

fn start_worker(site: &Arc<Site>, number: usize) {
    let address = rig::free_address();
    let worker = Arc::new(Worker {
        number,
        address,
        process: AtomicU64::new(0),
        is_away: AtomicBool::new(false),
        connections: Mutex::default(),
    });
    let entry = rig::worker_entry("draw-model", address);
    let mut listener = TcpListener::bind(address).ok();
    site.store.put(&format!("servers/i-{number}"), &entry);
    let site = site.clone();
    thread::spawn(move || {
        loop {
            if worker.is_away.load(Ordering::SeqCst) {
                listener = None;
                thread::sleep(Duration::from_millis(5));
                continue;
            }
            if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            let Some(listener) = &listener else {
                thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = listener.set_nonblocking(true);
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let (site, worker) = (site.clone(), worker.clone());
            let process = worker.process.load(Ordering::SeqCst);
            thread::spawn(move || {
                // The host closes connections that it needs no longer.
                let _ = serve_connection(&site, &worker, &stream, process);
            });
        }
    });
}

/// A sound request that was sent.
struct Sound {
    at: f64,
    id: String,
    shares_with_tainted: bool,
}

fn request(id: &str, key: &str, parts: &str) -> String {
    format!(
        "POST /seed/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 13200,120\r\nPrefix-Hash: {parts}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Authorization: Bearer {key}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Plays the plan. `crashes_workers` is whether the part does what it does.
pub fn play(case: &rig::Case, plan: &Plan, crashes_workers: bool) -> Outcome {
    let (store, store_address) = rig::Store::start();
    store.put("op/config", &manifest());
    let site = Arc::new(Site {
        began: Instant::now(),
        crashes_workers,
        away: plan.away,
        store,
        record: case.record.clone(),
        crashes: Mutex::default(),
        arrivals: Mutex::default(),
        begun: Mutex::default(),
    });
    for number in 0..WORKERS {
        start_worker(&site, number);
    }
    let hosts = (1..=HOSTS).map(|n| case.host(&format!("edge-amman-a-{n}"), store_address, true));
    let mut hosts: Vec<rig::Host> = hosts.collect();
    for host in &mut hosts {
        host.start();
    }
    if !hosts.iter().all(rig::Host::wait_ready) {
        drop(hosts);
        case.end(rig::NOT_RUN, "a host did not become ready");
    }
    thread::sleep(Duration::from_secs(2));
    let begin = site.now();
    let (mut next_sound, mut next_tainted) = (0.0, plan.tainted_from);
    let (mut clients, mut sound, mut number) = (Vec::new(), Vec::new(), 0u64);
    let mut restarted_at: Option<f64> = None;
    loop {
        let mut at = site.now() - begin;
        if at >= plan.length {
            break;
        }
        if let Some((killed_at, pause)) = plan.killed_at
            && at >= killed_at
            && restarted_at.is_none()
        {
            site.record.add("all hosts are killed");
            for host in &mut hosts {
                host.kill();
            }
            thread::sleep(pause);
            for host in &mut hosts {
                host.write_settings(false);
                host.start();
            }
            site.record.add("all hosts are started again");
            at = site.now() - begin;
            restarted_at = Some(site.now());
            next_sound = at;
            next_tainted = at.max(next_tainted);
        }
        for is_tainted in [false, true] {
            let (next, rate) = if is_tainted {
                (&mut next_tainted, plan.tainted_per_s)
            } else {
                (&mut next_sound, plan.sound_per_s)
            };
            if at < *next {
                continue;
            }
            *next += 1.0 / rate;
            number += 1;
            let draw = number.wrapping_mul(2_654_435_761) >> 7;
            // The tainted part comes from one tenant with one first part; others have two more.
            let first = if is_tainted { 0 } else { draw % 3 };
            let key = if first == 0 { "key-1" } else { "key-2" };
            let subject = 0x100 + (draw >> 5) % 24;
            let (id, parts) = if is_tainted {
                let parts = match plan.place {
                    Place::Third => format!("f{first}:9000,{subject:x}:500,{TAINTED_PART}:3000"),
                    Place::First => format!("{TAINTED_PART}:9000,{:x}:3500", 0xe0 + draw % 3),
                };
                let parts = format!("{parts},{number:x}aa:700");
                (format!("tainted-{number}"), parts)
            } else {
                let parts = format!("f{first}:9000,{subject:x}:500,{number:x}bb:3700");
                (format!("sound-{number}"), parts)
            };
            if !is_tainted {
                sound.push(Sound {
                    at,
                    id: id.clone(),
                    shares_with_tainted: first == 0,
                });
            }
            let front = hosts[(draw >> 11) as usize % HOSTS].front;
            let (text, record) = (request(&id, key, &parts), site.record.clone());
            clients.push(thread::spawn(move || {
                let wait = Duration::from_millis(DEADLINE_MS);
                let answer = rig::exchange(front, text.as_bytes(), wait);
                let answer = String::from_utf8_lossy(&answer);
                let is_whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
                if !is_whole || is_tainted {
                    let status = answer.lines().next().unwrap_or("none");
                    record.add(format!("{id}: {status}, whole: {is_whole}"));
                }
            }));
        }
        thread::sleep(Duration::from_millis(2));
    }
    for client in clients {
        let _ = client.join();
    }
    drop(hosts);
    let crashes = site.crashes.lock().expect("crashes").clone();
    let arrivals = site.arrivals.lock().expect("arrivals").clone();
    let fifth = crashes.get(CRASHES - 1).or(crashes.last()).copied();
    let fifth = fifth.unwrap_or(f64::INFINITY);
    // A machine is in touch again when its process has run for the contact time.
    let is_in_touch = |at: f64| {
        restarted_at.is_none_or(|restarted| at < restarted || at > restarted + CONTACT_S + SEND_S)
    };
    let late = arrivals
        .iter()
        .filter(|(at, _)| *at > fifth + CONTACT_S + SEND_S && is_in_touch(*at));
    let late: Vec<&str> = late.map(|(_, id)| id.as_str()).collect();
    let late_arrivals = late.len();
    let late_requests = late.into_iter().collect::<HashSet<_>>().len();
    let begun = site.begun.lock().expect("begun");
    let share = |from: f64, until: f64| {
        let sent = sound.iter().filter(|s| s.shares_with_tainted);
        let sent: Vec<&Sound> = sent
            .filter(|s| (from..until).contains(&s.at) && is_in_touch(begin + s.at))
            .collect();
        let began = sent.iter().filter(|s| begun.contains(&s.id)).count();
        (began, sent.len())
    };
    let outcome = Outcome {
        crashes: crashes.len(),
        late_requests,
        before: share(0.0, plan.tainted_from - 1.0),
        after: share(fifth - begin + 2.0 * CONTACT_S, plan.length),
    };
    let line = format!(
        "{} crashes, the fifth {:.1} s after the first such request; {} arrivals of such requests, \
         {late_arrivals} ({late_requests} different requests) from machines in touch later than \
         {CONTACT_S} s after the fifth crash; sound \
         requests with their key and first part that began: {} of {} before, {} of {} from {} s after \
         the fifth crash",
        outcome.crashes,
        fifth - begin - plan.tainted_from,
        arrivals.len(),
        outcome.before.0,
        outcome.before.1,
        outcome.after.0,
        outcome.after.1,
        2.0 * CONTACT_S,
    );
    site.record.add(&line);
    println!("{line}");
    outcome
}

/// Ends the case by the rules.
pub fn judge(case: &rig::Case, outcome: &Outcome) -> ! {
    match (outcome.breaks_budget(), outcome.breaks_lost()) {
        (true, true) => case.end(rig::BROKEN, "broken: BUDGET and LOST"),
        (true, false) => case.end(rig::BROKEN, "broken: BUDGET"),
        (false, true) => case.end(rig::BROKEN, "broken: LOST"),
        (false, false) => case.end(rig::HELD, "held"),
    }
}
