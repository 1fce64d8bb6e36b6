//! Cases: a prompt part crashes each worker that begins to answer it.
//!
//! In the first case the workers send streams that have neither a length nor chunks. In the second the
//! part is the first one of its prompts, and the workers end before they have written a byte. In a
//! third trial all prompts have many shared parts.
//!
//! Each worker is a process of its own (`rig worker`), so that the kernel ends its connections.

use std::collections::HashSet;
use std::io::BufRead as _;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::{self, Connection};
use crate::record::Record;
use crate::{Outcome, Rig, site};

/// Identifier of the part that crashes workers.
const DEADLY_PART: &str = "dead5";
/// Workers of the service.
const WORKERS: usize = 9;
/// Time until a worker that crashed is back.
const DOWN_TIME: Duration = Duration::from_millis(3_000);
/// Time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(200);
const LENGTH: Duration = Duration::from_secs(45);
/// Bounds of the rule: the crashes after which it holds, `contact_ms`, and the requests allowed.
const CRASHES: usize = 5;
const CONTACT_MS: u64 = 4_000;
const ALLOWED: usize = 3;
/// What the two cases differ in.
#[derive(Clone, Copy)]
struct Variant {
    /// Whether answers are sent in chunks, or end with their connections.
    is_chunked: bool,
    /// Whether a worker ends before it writes the head of its answer, instead of after it.
    is_early: bool,
    /// Whether the part is the first of its prompts, instead of the second.
    is_first: bool,
    /// Shared parts of each prompt besides the first two.
    more_parts: u32,
    /// Time between two requests with the part.
    interval: Duration,
}

impl Variant {
    /// Parts of the `n`-th request with the part. No two requests are alike, and their other parts
    /// are those of sound requests but for the last.
    fn deadly_parts(&self, n: u32, more: &str) -> String {
        if self.is_first {
            format!("{DEADLY_PART}:800,c{:x}:400,{more}f{n:x}:260", n % 20)
        } else {
            format!("a1:800,{DEADLY_PART}:400,{more}f{n:x}:260")
        }
    }

    /// Words by which a worker process is told of the case.
    fn words(&self, is_deadly: bool) -> [&'static str; 2] {
        let kind = match (is_deadly, self.is_early) {
            (false, _) => "sound",
            (true, true) => "early",
            (true, false) => "deadly",
        };
        [kind, if self.is_chunked { "chunked" } else { "none" }]
    }
}

/// Time that a worker reads a prompt, and events of its answer.
const PROMPT_TIME: Duration = Duration::from_millis(100);
const EVENTS: u32 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Runs a worker on `address` until it is killed or gets a request with the part. Prints the id of
/// each request that it begins to answer.
/// `kind` and `framing` are those of [`Variant::words`].
pub fn run_worker(address: &str, kind: &str, framing: &str) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let (is_early, is_deadly) = (kind == "early", kind != "sound");
    let is_chunked = framing == "chunked";
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut conn = Connection::new(stream);
            while let Some(request) = conn.read() {
                let crashes = is_deadly && request.header("prefix-hash").contains(DEADLY_PART);
                let answered = answer(&mut conn, &request, crashes, is_early, is_chunked);
                if answered.is_err() || !is_chunked {
                    return;
                }
            }
        });
    }
    Ok(())
}

fn answer(
    conn: &mut Connection,
    request: &http::Message,
    crashes: bool,
    is_early: bool,
    is_chunked: bool,
) -> std::io::Result<()> {
    let id = request.header("request-id");
    thread::sleep(PROMPT_TIME);
    println!("{id}");
    if crashes && is_early {
        std::process::exit(1);
    }
    let framing = if is_chunked {
        "Transfer-Encoding: chunked\r\n"
    } else {
        "Connection: close\r\n"
    };
    let head = site::signed(id);
    let head = format!("HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n{framing}\r\n");
    conn.send(head.as_bytes())?;
    if crashes {
        std::process::exit(1);
    }
    for n in 1..=EVENTS {
        let event = format!("id: {n}\ndata: {n} of {EVENTS}\n\n");
        let event = match is_chunked {
            true => format!("{:x}\r\n{event}\r\n", event.len()),
            false => event,
        };
        conn.send(event.as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
    }
    if is_chunked {
        conn.send(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// What the workers did, with the times in milliseconds since the start.
#[derive(Default)]
struct Log {
    /// Requests that a worker began to answer.
    begun: Mutex<Vec<(u64, String)>>,
    crashes: Mutex<Vec<u64>>,
}

/// A worker process and its place in the store.
struct Worker<'a> {
    rig: &'a Rig,
    variant: Variant,
    name: String,
    address: SocketAddr,
}

impl Worker<'_> {
    fn start(&self, born: u64, log: &Arc<Log>) -> Result<Child, String> {
        let program = std::env::current_exe().map_err(|e| e.to_string())?;
        let mut child = Command::new(program)
            .args(["worker", &self.address.to_string()])
            .args(self.variant.words(self.rig.trouble))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| e.to_string())?;
        let ids = std::io::BufReader::new(child.stdout.take().ok_or("no output")?);
        let (record, name, log) = (self.rig.record.clone(), self.name.clone(), log.clone());
        thread::spawn(move || {
            for id in ids.lines().map_while(Result::ok) {
                record.line(&format!("worker  {name} begins to answer id {id}"));
                log.begun.lock().expect("log").push((record.now_ms(), id));
            }
        });
        // The worker takes the address before it says that it is ready.
        let end = Instant::now() + Duration::from_secs(2);
        while Connection::open(self.address, Duration::from_secs(1)).is_err() {
            if Instant::now() > end {
                return Err("a worker did not start".to_owned());
            }
            thread::sleep(Duration::from_millis(10));
        }
        let entry = site::entry(site::ENGINES, self.address, 128, 1);
        let entry = entry.replace(site::BORN, &(1_764_900_000_000 + born).to_string());
        self.rig
            .store
            .put(&format!("servers/{}", self.name), &entry);
        Ok(child)
    }

    /// Starts the worker again after each crash, until the end.
    fn keep_running(&self, log: &Arc<Log>, mut child: Child, end: &AtomicBool) {
        while !end.load(Ordering::SeqCst) {
            if matches!(child.try_wait(), Ok(Some(_))) {
                self.rig
                    .record
                    .line(&format!("worker  {} has crashed", self.name));
                let now = self.rig.record.now_ms();
                log.crashes.lock().expect("log").push(now);
                thread::sleep(DOWN_TIME);
                match self.start(now, log) {
                    Ok(started) => child = started,
                    Err(e) => self.rig.record.line(&format!("worker  {}: {e}", self.name)),
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Sends one request and records what the client sees. Returns whether it sees a success that looks
/// complete and holds no event.
fn send(front: SocketAddr, record: &Record, id: &str, parts: &str) -> bool {
    let more = format!("Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: {parts}\r\n");
    let text = site::request("POST", "/stream/quote", id, &more, "the prompt");
    let answer = http::exchange(front, text.as_bytes(), Duration::from_secs(9));
    let Some(answer) = answer else {
        record.line(&format!("client  {id} no answer"));
        return false;
    };
    let events = String::from_utf8_lossy(&answer.body)
        .matches("\n\n")
        .count();
    let (start, whole) = (&answer.start, answer.is_whole);
    record.line(&format!(
        "client  {id} gets {start}, {events} events, whole: {whole}"
    ));
    answer.status() == 200 && whole && events == 0
}

const USUAL: Variant = Variant {
    is_chunked: true,
    is_early: false,
    is_first: false,
    more_parts: 0,
    interval: Duration::from_millis(1_000),
};

/// Runs the case of streams without length or chunks. `FRAMING=chunked` in the environment runs it
/// with chunks, for comparison.
pub fn run(rig: &Rig) -> Result<Outcome, String> {
    let variant = Variant {
        is_chunked: std::env::var("FRAMING").as_deref() == Ok("chunked"),
        ..USUAL
    };
    run_variant(rig, variant)
}

/// Runs the case of a first part and of workers that end before they write a byte. `POSITION=second`
/// in the environment makes it the second part, for comparison.
pub fn run_first_part(rig: &Rig) -> Result<Outcome, String> {
    let variant = Variant {
        is_early: true,
        is_first: std::env::var("POSITION").as_deref() != Ok("second"),
        interval: Duration::from_millis(2_000),
        ..USUAL
    };
    run_variant(rig, variant)
}

/// Runs the trial of prompts with many shared parts. `MORE_PARTS` in the environment sets another
/// number, for comparison.
pub fn run_many_parts(rig: &Rig) -> Result<Outcome, String> {
    let more_parts = std::env::var("MORE_PARTS")
        .ok()
        .and_then(|n| n.parse().ok());
    let variant = Variant {
        more_parts: more_parts.unwrap_or(16),
        ..USUAL
    };
    run_variant(rig, variant)
}

fn run_variant(rig: &Rig, variant: Variant) -> Result<Outcome, String> {
    let more: String = (0..variant.more_parts)
        .map(|i| format!("e{i:x}:20,"))
        .collect();
    let more = &more;
    let log: Arc<Log> = Arc::default();
    let (end, empty) = (AtomicBool::new(false), AtomicU64::new(0));
    rig.record.line(&format!(
        "case    {WORKERS} workers, shared parts: {}",
        2 + variant.more_parts
    ));
    let mut workers = Vec::new();
    for n in 0..WORKERS {
        let worker = Worker {
            rig,
            variant,
            name: format!("i-{n}"),
            address: http::free_address(),
        };
        let child = worker.start(0, &log)?;
        workers.push((worker, child));
    }
    let host = Host::start(&rig.site(), "edge-amman-a-1")?;
    thread::scope(|scope| {
        for (worker, child) in workers {
            let (log, end) = (&log, &end);
            scope.spawn(move || worker.keep_running(log, child, end));
        }
        let begin = Instant::now();
        let (front, record, empty) = (host.front, &rig.record, &empty);
        let (mut sound, mut deadly) = (0, 0);
        while begin.elapsed() < LENGTH {
            if begin.elapsed() >= SOUND_INTERVAL * sound {
                sound += 1;
                let (id, n) = (format!("sound-{sound}"), sound % 20);
                let parts = format!("a1:800,c{n:x}:400,{more}b{sound:x}:260");
                scope.spawn(move || send(front, record, &id, &parts));
            }
            if begin.elapsed() >= variant.interval * deadly {
                deadly += 1;
                let id = format!("deadly-{deadly}");
                let parts = variant.deadly_parts(deadly, more);
                scope.spawn(move || {
                    if send(front, record, &id, &parts) {
                        empty.fetch_add(1, Ordering::SeqCst);
                    }
                });
            }
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_secs(2));
        end.store(true, Ordering::SeqCst);
    });
    let mut crashes = log.crashes.lock().expect("log").clone();
    crashes.sort_unstable();
    let held_from = crashes.get(CRASHES - 1).map(|fifth| fifth + CONTACT_MS);
    let begun = log.begun.lock().expect("log");
    // A worker reports a request when it has read the prompt, so it was sent at least that long before.
    let prompt_ms = PROMPT_TIME.as_millis() as u64;
    let late: Vec<&String> = begun
        .iter()
        .filter(|(at, id)| {
            id.starts_with("deadly") && held_from.is_some_and(|from| *at > from + prompt_ms)
        })
        .map(|(_, id)| id)
        .collect();
    let arrivals = late.len();
    let requests = late.into_iter().collect::<HashSet<_>>().len();
    rig.record.line(&format!(
        "result  {} crashes; sent to workers later than {CONTACT_MS} ms after the fifth: {requests} \
         requests with the part, {arrivals} with their repeats; {} answers to such requests were \
         successes that looked complete without an event",
        crashes.len(),
        empty.load(Ordering::SeqCst)
    ));
    Ok(Outcome::broken_if(requests > ALLOWED))
}
