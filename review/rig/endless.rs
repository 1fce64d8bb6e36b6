//! Case: workers in trouble answer with a failure whose body does not end.
//!
//! The stand-in of the platform kills the host when its memory exceeds that of its machine. What
//! counts is what becomes of the requests that sound workers are running at that moment.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{Host, MEMORY_MB};
use crate::http::{self, Connection};
use crate::record::Record;
use crate::{Outcome, Rig, site};

/// Clients, each with a connection of its own that it keeps.
const CLIENTS: u64 = 75;
/// Time between two requests of one client: 15 requests a second in all.
const PAUSE: Duration = Duration::from_millis(5_000);
/// Length of the run.
const LENGTH: Duration = Duration::from_millis(12_000);
/// Bytes of an endless body that are sent in each interval: 1 MB a second.
const CHUNK: usize = 50_000;
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);
/// Workers that are sound, and workers that are in trouble.
const SOUND: usize = 2;
const TROUBLED: usize = 2;
/// Time that a sound worker reads a prompt, then sends events.
const PROMPT_TIME: Duration = Duration::from_millis(1_000);
const EVENTS: u32 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// Requests from kept connections that may be closed without an answer, by the rule.
const ALLOWED: usize = 3;

type Ids = Arc<Mutex<HashSet<String>>>;

fn send_stream(conn: &mut Connection, id: &str) -> std::io::Result<()> {
    thread::sleep(PROMPT_TIME);
    let head = site::signed(id);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    conn.send(head.as_bytes())?;
    for n in 1..=EVENTS {
        let event = format!("id: {n}\ndata: {n} of {EVENTS}\n\n");
        conn.send(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
    }
    conn.send(b"0\r\n\r\n")
}

fn send_endless(conn: &mut Connection, id: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 500 Internal Server Error\r\nRequest-Id: {id}\r\n\r\n");
    conn.send(head.as_bytes())?;
    let bytes = vec![b'x'; CHUNK];
    loop {
        conn.send(&bytes)?;
        thread::sleep(CHUNK_INTERVAL);
    }
}

/// Starts a worker and returns its address. While it runs a request, the id is in `running`.
fn start_worker(name: String, is_sound: bool, record: Arc<Record>, running: &Ids) -> SocketAddr {
    let ids = running.clone();
    http::serve(move |mut conn| {
        while let Some(request) = conn.read() {
            let id = request.header("request-id").to_owned();
            record.line(&format!("{name}  runs id {id}"));
            ids.lock().expect("ids").insert(id.clone());
            let sent = if is_sound {
                send_stream(&mut conn, &id)
            } else {
                send_endless(&mut conn, &id)
            };
            if sent.is_err() {
                return;
            }
            ids.lock().expect("ids").remove(&id);
        }
    })
}

/// Sends requests on one kept connection until the end of the run. Adds to `lost` the id of a
/// request whose connection ends without an answer.
fn run_client(front: SocketAddr, n: u64, record: &Record, end: &AtomicBool, lost: &Ids) {
    thread::sleep(PAUSE / CLIENTS as u32 * n as u32);
    let mut kept: Option<Connection> = None;
    for turn in 0.. {
        if end.load(Ordering::SeqCst) {
            return;
        }
        let begin = Instant::now();
        let id = format!("q-{n}-{turn}");
        let is_kept = kept.is_some();
        let timeout = Duration::from_secs(10);
        let Some(mut conn) = kept
            .take()
            .or_else(|| Connection::open(front, timeout).ok())
        else {
            return;
        };
        let part =
            format!("Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: a{n:x}:800,b{n:x}:660\r\n");
        let text = site::request("POST", "/stream/quote", &id, &part, "the prompt");
        let answer = match conn.send(text.as_bytes()) {
            Ok(()) => conn.read_head().ok().flatten(),
            Err(_) => None,
        };
        match answer {
            None => {
                record.line(&format!(
                    "client  {id} no answer, connection was kept: {is_kept}"
                ));
                if is_kept {
                    lost.lock().expect("ids").insert(id);
                }
            }
            Some(mut answer) => {
                conn.read_body(&mut answer);
                let (start, whole) = (&answer.start, answer.is_whole);
                record.line(&format!("client  {id} gets {start}, whole: {whole}"));
                if whole && answer.header("connection") != "close" {
                    kept = Some(conn);
                }
            }
        }
        thread::sleep(PAUSE.saturating_sub(begin.elapsed()));
    }
}

pub fn run(rig: &Rig) -> Result<Outcome, String> {
    // Requests that sound workers run, and those of workers in trouble.
    let (running, others) = (Ids::default(), Ids::default());
    for n in 0..SOUND {
        let address = start_worker(format!("sound-{n}"), true, rig.record.clone(), &running);
        rig.store.put(
            &format!("servers/i-{n}"),
            &site::entry(site::ENGINES, address, 128, 1),
        );
    }
    let mut host = Host::start(&rig.site(), "edge-amman-a-1")?;
    let (end, lost) = (AtomicBool::new(false), Ids::default());
    let mut interrupted = HashSet::new();
    thread::scope(|scope| {
        for n in 0..CLIENTS {
            let (front, record, end, lost) = (host.front, &rig.record, &end, &lost);
            scope.spawn(move || run_client(front, n, record, end, lost));
        }
        // Each client has a kept connection when the other workers are listed.
        thread::sleep(PAUSE + PAUSE / 2);
        for n in 0..TROUBLED {
            let name = format!("other-{n}");
            let address = start_worker(name.clone(), !rig.trouble, rig.record.clone(), &others);
            rig.store.put(
                &format!("servers/{name}"),
                &site::entry(site::ENGINES, address, 128, 1),
            );
        }
        let begin = Instant::now();
        let mut most = 0.0_f64;
        while begin.elapsed() < LENGTH && !host.has_ended() {
            let memory = host.memory_mb();
            most = most.max(memory);
            if memory > MEMORY_MB as f64 {
                rig.record.line(&format!(
                    "platform kills the host: {memory:.0} MB of {MEMORY_MB}"
                ));
                interrupted = running.lock().expect("ids").clone();
                host.signal("KILL");
            }
            thread::sleep(Duration::from_millis(20));
        }
        rig.record
            .line(&format!("platform saw at most {most:.0} MB"));
        end.store(true, Ordering::SeqCst);
    });
    let lost = lost.lock().expect("ids");
    let count = interrupted.intersection(&lost).count();
    rig.record.line(&format!(
        "result  {count} requests of kept connections, run by a sound worker, got no answer"
    ));
    Ok(Outcome::broken_if(count > ALLOWED))
}
