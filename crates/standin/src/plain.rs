//! A plain HTTP service whose calls may have effects that must not be repeated.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use serde::{Deserialize, Serialize};

use crate::http;

/// How the service misbehaves. Sent as JSON to `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It behaves.
    #[default]
    None,
    /// It answers 503 without running.
    Refuse,
    /// It runs and closes the connection without an answer.
    LoseAnswer,
    /// It closes the connection without running.
    CutBefore,
}

/// A fault for the next `count` requests, and a delay for all.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Fault {
    /// What goes wrong.
    pub mode: Mode,
    /// For how many requests.
    pub count: u32,
    /// Time that each run takes, in milliseconds.
    pub run_ms: u64,
}

/// What the service has seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// How often each body was run, by its text.
    pub runs: collections::BTreeMap<String, u32>,
    /// Header names seen, in lower case.
    pub headers: collections::BTreeSet<String>,
    /// All header values seen, for searching.
    pub seen: Vec<String>,
}

#[derive(Default)]
struct State {
    stats: Stats,
    fault: Fault,
}

/// A running plain service.
pub struct PlainService {
    server: http::Server,
    state: sync::Arc<sync::Mutex<State>>,
}

impl PlainService {
    /// Starts the service on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr) -> io::Result<Self> {
        let state = sync::Arc::new(sync::Mutex::new(State::default()));
        let serving = state.clone();
        let handler = sync::Arc::new(move |r| answer(&serving, r));
        let server = http::Server::start(address, handler)?;
        Ok(Self { server, state })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// What it has seen.
    pub fn stats(&self) -> Stats {
        lock(&self.state).stats.clone()
    }

    /// Puts a fault in force.
    pub fn set_fault(&self, fault: Fault) {
        lock(&self.state).fault = fault;
    }
}

fn lock(state: &sync::Mutex<State>) -> sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn answer(state: &sync::Mutex<State>, mut request: tiny_http::Request) {
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
        Mode::CutBefore => return http::shutdown_connection(request.remote_addr().copied()),
        Mode::None | Mode::LoseAnswer => {}
    }
    thread::sleep(time::Duration::from_millis(run_ms));
    let count = run(state, &request, &body);
    if mode == Mode::LoseAnswer {
        return http::shutdown_connection(request.remote_addr().copied());
    }
    let answer = serde_json::json!({"path": request.url(), "run": count, "body": body});
    http::respond_json(request, 200, &answer);
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

fn run(state: &sync::Mutex<State>, request: &tiny_http::Request, body: &str) -> u32 {
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
