//! Test double of a plain HTTP service whose requests have side effects. It counts how often each
//! request ran, so that tests can detect requests that ran twice.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use ports::accept;
use serde::{Deserialize, Serialize};

use crate::http;

/// Kind of fault of the service. Sent as JSON to `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// No fault.
    #[default]
    None,
    /// Responds with 503 without running the request.
    Refuse,
    /// Runs the request and responds with 503.
    RunAndRefuse,
    /// Runs the request and responds with 500.
    Fail,
    /// Runs the request and closes the connection without a response.
    LoseAnswer,
    /// Closes the connection without running the request.
    CutBefore,
}

/// Fault that the next `count` requests run into, and a delay for all requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Fault {
    /// Kind of the fault.
    pub mode: Mode,
    /// Number of requests that the fault still applies to; 0 for none.
    pub count: u32,
    /// Time that each request takes to run, in milliseconds.
    pub run_ms: u64,
}

/// Runs and received data of the service, sent as JSON by `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Number of runs for each request body, by its text.
    pub runs: collections::BTreeMap<String, u32>,
    /// Names of all headers received, in lower case.
    pub headers: collections::BTreeSet<String>,
    /// All header values received, so that tests can search them for secrets.
    pub seen: Vec<String>,
}

#[derive(Default)]
struct State {
    stats: Stats,
    fault: Fault,
}

/// A running plain service; it stops when dropped.
pub struct PlainService {
    server: http::Server,
    state: sync::Arc<sync::Mutex<State>>,
}

impl PlainService {
    /// Starts the service on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let state = sync::Arc::new(sync::Mutex::new(State::default()));
        let handler_state = state.clone();
        let handler = sync::Arc::new(move |r| handle(&handler_state, r));
        let server = http::Server::start(address, handler)?;
        Ok(Self { server, state })
    }

    /// Address of the HTTP server.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Copy of the current runs and received data.
    pub fn stats(&self) -> Stats {
        lock(&self.state).stats.clone()
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn handle(state: &sync::Mutex<State>, mut request: tiny_http::Request) {
    let body = String::from_utf8_lossy(&http::read_body(&mut request)).into_owned();
    match http::path(request.url()) {
        "/fault" => {
            lock(state).fault = serde_json::from_str(&body).unwrap_or_default();
            return http::respond_empty(request, 200);
        }
        "/stats" => {
            let stats = lock(state).stats.clone();
            return http::respond_json(request, 200, &stats);
        }
        _ => {}
    }
    let (mode, run_ms) = take_fault(state);
    match mode {
        Mode::Refuse => return http::respond_empty(request, 503),
        Mode::CutBefore => return accept::shutdown_connection(request.remote_addr().copied()),
        Mode::None | Mode::RunAndRefuse | Mode::Fail | Mode::LoseAnswer => {}
    }
    thread::sleep(time::Duration::from_millis(run_ms));
    let count = record_run(state, &request, &body);
    match mode {
        Mode::RunAndRefuse => return http::respond_empty(request, 503),
        Mode::Fail => return http::respond_empty(request, 500),
        Mode::LoseAnswer => return accept::shutdown_connection(request.remote_addr().copied()),
        Mode::None | Mode::Refuse | Mode::CutBefore => {}
    }
    let response = serde_json::json!({"path": request.url(), "run": count, "body": body});
    http::respond_json(request, 200, &response);
}

fn take_fault(state: &sync::Mutex<State>) -> (Mode, u64) {
    let mut state = lock(state);
    let run_ms = state.fault.run_ms;
    if state.fault.count == 0 {
        return (Mode::None, run_ms);
    }
    state.fault.count -= 1;
    (state.fault.mode, run_ms)
}

fn record_run(state: &sync::Mutex<State>, request: &tiny_http::Request, body: &str) -> u32 {
    let mut state = lock(state);
    for h in request.headers() {
        state
            .stats
            .headers
            .insert(h.field.as_str().as_str().to_ascii_lowercase());
        state.stats.seen.push(h.value.as_str().to_owned());
    }
    let runs = state.stats.runs.entry(body.to_owned()).or_default();
    *runs += 1;
    *runs
}
