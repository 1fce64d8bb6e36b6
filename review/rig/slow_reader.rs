//! Case: a client that does not read for some seconds, while its stream is sent.

use std::thread;
use std::time::{Duration, Instant};

use crate::host::Host;
use crate::http::{self, Connection};
use crate::{Outcome, Rig, site, socket};

/// Time in which the worker reads the prompt, within twice the route's goal of 2 s.
const PROMPT_TIME: Duration = Duration::from_millis(3_200);
/// Events of each stream, their size, and the time between two of them. The stream ends 4.8 s after
/// its request, within the route's timeout of 5 s. An event of five tokens with their log
/// probabilities has this size.
const EVENTS: u32 = 320;
const EVENT_BYTES: usize = 4_000;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the client does not read after it has the head of its answer: less than the two
/// seconds after which clients give a stream up. It ends after the route's timeout and before the
/// client's time limit of 8 s.
const PAUSE: Duration = Duration::from_millis(1_900);
/// Clients, one after the other.
const ROUNDS: u32 = 3;

pub fn run(rig: &Rig) -> Result<Outcome, String> {
    let record = rig.record.clone();
    let worker = http::serve(move |mut conn| {
        while let Some(request) = conn.read() {
            let id = request.header("request-id").to_owned();
            record.line(&format!("worker  runs id {id}"));
            let head = format!(
                "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n",
                site::signed(&id)
            );
            thread::sleep(PROMPT_TIME);
            let begin = Instant::now();
            let mut is_sent = conn.send(head.as_bytes()).is_ok();
            for n in 1..=EVENTS {
                let due = EVENT_INTERVAL * n;
                thread::sleep(due.saturating_sub(begin.elapsed()));
                let event = format!("id: {n}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                is_sent = is_sent && conn.send(chunk.as_bytes()).is_ok();
            }
            is_sent = is_sent && conn.send(b"0\r\n\r\n").is_ok();
            record.line(&format!("worker  {id}: whole stream sent: {is_sent}"));
            if !is_sent {
                return;
            }
        }
    });
    rig.store
        .put("servers/i-1", &site::entry(site::ENGINES, worker, 128, 1));
    let host = Host::start(&rig.site(), "edge-amman-a-1")?;
    let mut false_ends = 0;
    for n in 0..ROUNDS {
        let id = format!("q-{n}");
        let stream = socket::open(host.front).map_err(|e| format!("front: {e}"))?;
        stream
            .set_read_timeout(Some(Duration::from_secs(9)))
            .map_err(|e| format!("front: {e}"))?;
        let mut conn = Connection::new(stream);
        let more =
            format!("Model: m\r\nToken-Usage: 1460,500\r\nPrefix-Hash: a:800,b{n:x}:660\r\n");
        let text = site::request("POST", "/sheet/quote", &id, &more, "the prompt");
        conn.send(text.as_bytes())
            .map_err(|e| format!("front: {e}"))?;
        let answer = conn.read_head().map_err(|e| format!("front: {e}"))?;
        let mut answer = answer.ok_or("no answer")?;
        rig.record
            .line(&format!("client  {id} gets {}", answer.start));
        if rig.trouble {
            thread::sleep(PAUSE);
            rig.record.line(&format!("client  {id} reads on"));
        }
        conn.read_body(&mut answer);
        let body = String::from_utf8_lossy(&answer.body);
        let events = body.matches("\n\n").count();
        let last = body
            .rsplit("id: ")
            .next()
            .and_then(|e| e.lines().next())
            .unwrap_or("");
        rig.record.line(&format!(
            "client  {id}: {events} of {EVENTS} events, the last with id {last}; end of the \
             chunked body received: {}",
            answer.is_whole
        ));
        if answer.status() == 200 && answer.is_whole && events < EVENTS as usize {
            false_ends += 1;
        }
    }
    rig.record.line(&format!(
        "result  {false_ends} of {ROUNDS} streams ended early and looked complete"
    ));
    Ok(Outcome::broken_if(false_ends > 0))
}
