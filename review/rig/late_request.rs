//! Case: requests that arrive a little later than 3 s after the stop signal.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::host::{GRACE_S, Host};
use crate::http::{self, Connection};
use crate::{Outcome, Rig, site};

/// Times at which the requests are sent, counted from the stop signal, in milliseconds.
const SENT_MS: [u64; 8] = [3_010, 3_020, 3_030, 3_040, 3_050, 3_060, 3_070, 3_080];
/// Work of each request: events and the time between two of them.
const EVENTS: u32 = 50;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(rig: &Rig) -> Result<Outcome, String> {
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (record, seen) = (rig.record.clone(), runs.clone());
    let worker = http::serve(move |mut conn| {
        while let Some(request) = conn.read() {
            let id = request.header("request-id").to_owned();
            record.line(&format!("worker  runs id {id}"));
            seen.lock().expect("runs").push(id.clone());
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                site::signed(&id)
            );
            let mut is_sent = conn.send(head.as_bytes()).is_ok();
            for n in 1..=EVENTS {
                thread::sleep(EVENT_INTERVAL);
                let event = format!("id: {n}\ndata: {n} of {EVENTS}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                is_sent = is_sent && conn.send(chunk.as_bytes()).is_ok();
                if !is_sent {
                    record.line(&format!("worker  {id}: connection closed at event {n}"));
                    return;
                }
            }
            if conn.send(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    });
    rig.store
        .put("servers/i-1", &site::entry(site::ENGINES, worker, 128, 1));
    let mut host = Host::start(&rig.site(), "edge-amman-b-1")?;
    // The start of the host is longer ago than `contact_ms` when the requests come.
    thread::sleep(Duration::from_secs(5));
    if rig.trouble {
        rig.record.line("platform sends SIGTERM");
        host.signal("TERM");
    }
    let begin = Instant::now();
    let cut: Mutex<Vec<String>> = Mutex::default();
    thread::scope(|scope| {
        for (n, at) in SENT_MS.iter().enumerate() {
            let (front, record, cut, runs) = (host.front, &rig.record, &cut, &runs);
            scope.spawn(move || {
                let id = format!("q-{n}");
                thread::sleep(Duration::from_millis(*at).saturating_sub(begin.elapsed()));
                let Ok(mut conn) = Connection::open(front, Duration::from_secs(9)) else {
                    record.line(&format!("client  {id} can't connect"));
                    return;
                };
                let more = format!(
                    "Model: m\r\nToken-Usage: 1460,80\r\nPrefix-Hash: a:800,b{n:x}:660\r\n"
                );
                let text = site::request("POST", "/stream-once/quote", &id, &more, "the prompt");
                let after = begin.elapsed().as_millis();
                record.line(&format!(
                    "client  {id} sends its request, {after} ms after the signal"
                ));
                if conn.send(text.as_bytes()).is_err() {
                    return;
                }
                let answer = conn.read();
                let status = answer.as_ref().map_or(0, http::Message::status);
                let whole = answer.is_some_and(|a| a.is_whole);
                let after = begin.elapsed().as_millis();
                record.line(&format!(
                    "client  {id} status {status}, whole: {whole}, {after} ms after the signal"
                ));
                if !whole && after > 3_000 && runs.lock().expect("runs").contains(&id) {
                    cut.lock().expect("cut").push(id);
                }
            });
        }
        if rig.trouble {
            let grace = Duration::from_secs(GRACE_S);
            while begin.elapsed() < grace && !host.has_ended() {
                thread::sleep(Duration::from_millis(10));
            }
            let after = begin.elapsed().as_millis();
            let ended = host.has_ended();
            rig.record.line(&format!(
                "platform host has ended by itself: {ended}, {after} ms after the signal"
            ));
            host.signal("KILL");
        }
    });
    let cut = cut.lock().expect("cut");
    rig.record
        .line(&format!("result  passed on and cut off: {cut:?}"));
    Ok(Outcome::broken_if(!cut.is_empty()))
}
