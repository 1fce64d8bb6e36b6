//! Case: a request that is hidden inside the body of another one.
//!
//! The outer request has both a `Content-Length`, which covers the hidden one, and a
//! `Transfer-Encoding`, by which its body is empty.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::host::Host;
use crate::http::{self, Connection};
use crate::{Outcome, Rig, site};

/// What precedes the outer request on its connection.
struct Carrier {
    name: &'static str,
    before: String,
}

fn carriers() -> [Carrier; 3] {
    let first = site::request("POST", "/write/first", "first-1", "", "x");
    [
        Carrier {
            name: "alone",
            before: String::new(),
        },
        Carrier {
            name: "after an empty line",
            before: "\r\n".to_owned(),
        },
        Carrier {
            name: "behind a request that is not answered yet",
            before: first,
        },
    ]
}

/// Outer request with a hidden one in its body. Without `trouble` it has a length alone.
fn outer(n: usize, trouble: bool) -> String {
    let hidden = site::request("POST", "/write/hidden", &format!("hidden-{n}"), "", "y");
    let body = format!("0\r\n\r\n{hidden}");
    let coding = "Transfer-Encoding: chunked\r\n";
    let more = if trouble { coding } else { "" };
    site::request("POST", "/write/outer", &format!("outer-{n}"), more, &body)
}

pub fn run(rig: &Rig) -> Result<Outcome, String> {
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (record, seen) = (rig.record.clone(), runs.clone());
    let worker = http::serve(move |mut conn| {
        while let Some(request) = conn.read() {
            let id = request.header("request-id").to_owned();
            record.line(&format!(
                "worker  runs {} id {id} ({} bytes of body)",
                request.start,
                request.body.len()
            ));
            seen.lock().expect("runs").push(id.clone());
            std::thread::sleep(Duration::from_millis(30));
            if conn.send(&http::response(200, &site::signed(&id), b"done")).is_err() {
                return;
            }
        }
    });
    rig.store.put("servers/i-1", &site::entry(site::DESK, worker, 6, 1));
    let host = Host::start(&rig.site(), "edge-amman-a-1")?;
    for (n, carrier) in carriers().iter().enumerate() {
        let bytes = format!("{}{}", carrier.before, outer(n, rig.trouble));
        let conn = Connection::open(host.front, Duration::from_secs(2));
        let mut conn = conn.map_err(|e| format!("front: {e}"))?;
        rig.record.line(&format!("client  sends outer-{n} {}", carrier.name));
        conn.send(bytes.as_bytes()).map_err(|e| format!("front: {e}"))?;
        while let Some(answer) = conn.read() {
            let id = answer.header("request-id");
            rig.record.line(&format!("client  gets {} id '{id}'", answer.start));
        }
        rig.record.line("client  sees the end of the connection or no more answers");
    }
    let runs = runs.lock().expect("runs");
    let hidden: Vec<&String> = runs.iter().filter(|id| id.starts_with("hidden")).collect();
    rig.record.line(&format!("result  hidden requests that ran: {hidden:?}"));
    Ok(Outcome::broken_if(!hidden.is_empty()))
}
