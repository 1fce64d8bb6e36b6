//! A model engine: chat completions with server-sent events, a few slots, priorities.
//!
//! Token `i` of an answer depends only on the prompt and `i`, so a test knows the whole answer.
//! A last message of the assistant with `continue_final_message` set continues that answer.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use base::hash;
use serde::{Deserialize, Serialize};

use crate::http;

/// How an engine misbehaves. Sent as JSON to `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// It behaves.
    #[default]
    None,
    /// It refuses before running.
    Refuse,
    /// It closes the connection after some tokens.
    Cut,
    /// It ends the answer after some tokens, without the end mark.
    NoEnd,
    /// It closes the connection after the whole answer, before the end mark.
    CutEnd,
    /// It stops sending after some tokens and keeps the connection.
    Stall,
    /// It sends bytes that are not events after some tokens.
    Garbage,
    /// It sends the id of another request after some tokens.
    #[serde(rename = "crossed")]
    WrongId,
    /// It is slower by a factor of ten.
    Slow,
}

/// A fault for the next `count` requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Fault {
    /// What goes wrong.
    pub mode: Mode,
    /// After how many tokens.
    #[serde(rename = "after")]
    pub after_tokens: u32,
    /// For how many requests.
    pub count: u32,
}

/// An engine's speed and size.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Requests it runs at once; the rest wait by priority.
    pub slots: u32,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub token_gap_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            first_token_ms: 5,
            token_gap_ms: 2,
        }
    }
}

/// What an engine has seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Requests that started.
    pub started: u64,
    /// Requests that ended whole.
    pub finished: u64,
    /// Requests whose caller went away.
    pub cancelled: u64,
    /// Tokens sent.
    pub tokens: u64,
    /// Requests running now.
    pub running: u32,
    /// Requests waiting now.
    pub waiting: u32,
    /// Header names seen, in lower case.
    pub headers: collections::BTreeSet<String>,
    /// All header values and bodies seen, for searching.
    pub seen: Vec<String>,
}

/// A running engine.
pub struct Engine {
    server: http::Server,
    core: sync::Arc<Inner>,
}

impl Engine {
    /// Starts an engine on `address`.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr, settings: Settings) -> io::Result<Self> {
        let core = sync::Arc::new(Inner {
            settings,
            state: sync::Mutex::default(),
            freed: sync::Condvar::new(),
        });
        let serving = core.clone();
        let server = http::Server::start(address, sync::Arc::new(move |r| serving.answer(r)))?;
        Ok(Self { server, core })
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// What it has seen.
    pub fn stats(&self) -> Stats {
        self.core.lock().stats.clone()
    }

    /// Puts a fault in force.
    pub fn set_fault(&self, fault: Fault) {
        self.core.lock().fault = fault;
    }
}

/// Token `i` of the answer to `prompt`.
pub fn response_token(prompt: &str, i: u64) -> String {
    let h = hash::stable_hash(format!("{prompt}/{i}").as_bytes());
    format!("t{i}x{:03x} ", h & 0xfff)
}

/// The first `n` tokens of the answer to `prompt`.
pub fn response_text(prompt: &str, n: u64) -> String {
    (0..n).map(|i| response_token(prompt, i)).collect()
}

#[derive(Default)]
struct State {
    stats: Stats,
    fault: Fault,
    queue: collections::BTreeMap<(i64, u64), ()>,
    arrivals: u64,
}

struct Inner {
    settings: Settings,
    state: sync::Mutex<State>,
    freed: sync::Condvar,
}

#[derive(Deserialize)]
struct Chat {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    continue_final_message: bool,
    #[serde(default)]
    priority: i64,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: String,
}

const DEFAULT_TOKENS: u64 = 16;

/// One answer under way.
struct Run {
    id: String,
    prompt: String,
    model: String,
    first: u64,
    next: u64,
    end: u64,
    fault: Fault,
}

impl Inner {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn answer(&self, mut request: tiny_http::Request) {
        let body = http::read_body(&mut request);
        match http::path(request.url()) {
            "/fault" => {
                self.lock().fault = serde_json::from_slice(&body).unwrap_or_default();
                http::respond_empty(request, 200);
            }
            "/stats" => {
                let stats = self.lock().stats.clone();
                http::respond_json(request, 200, &stats);
            }
            "/load" => {
                let state = self.lock();
                let load = serde_json::json!({
                    "running": state.stats.running, "waiting": state.stats.waiting,
                });
                drop(state);
                http::respond_json(request, 200, &load);
            }
            "/v1/chat/completions" => self.chat(request, &body),
            _ => http::respond_empty(request, 404),
        }
    }

    fn chat(&self, request: tiny_http::Request, body: &[u8]) {
        let Ok(chat) = serde_json::from_slice::<Chat>(body) else {
            return http::respond_empty(request, 400);
        };
        self.remember(&request, body);
        let fault = self.take_fault();
        if fault.mode == Mode::Refuse {
            return http::respond_empty(request, 503);
        }
        let id = http::header_value(&request, "x-request-id")
            .unwrap_or("none")
            .to_owned();
        let run = start(&chat, id, fault);
        self.enter(chat.priority);
        let done = if chat.stream {
            self.stream(request, run)
        } else {
            self.whole(request, run)
        };
        self.leave(done);
    }

    fn remember(&self, request: &tiny_http::Request, body: &[u8]) {
        let mut state = self.lock();
        state.stats.seen.push(format!(
            "{} {}",
            request.url(),
            String::from_utf8_lossy(body)
        ));
        for h in request.headers() {
            state
                .stats
                .headers
                .insert(h.field.as_str().as_str().to_ascii_lowercase());
            state.stats.seen.push(h.value.as_str().to_owned());
        }
        if state.stats.seen.len() > 4096 {
            state.stats.seen.drain(..2048);
        }
    }

    fn take_fault(&self) -> Fault {
        let mut state = self.lock();
        if state.fault.count == 0 {
            return Fault::default();
        }
        state.fault.count -= 1;
        state.fault
    }

    fn enter(&self, priority: i64) {
        let mut state = self.lock();
        state.arrivals += 1;
        let place = (priority, state.arrivals);
        state.queue.insert(place, ());
        state.stats.waiting += 1;
        loop {
            let first = state.queue.keys().next() == Some(&place);
            if first && state.stats.running < self.settings.slots {
                break;
            }
            state = self
                .freed
                .wait(state)
                .unwrap_or_else(sync::PoisonError::into_inner);
        }
        state.queue.remove(&place);
        state.stats.waiting -= 1;
        state.stats.running += 1;
        state.stats.started += 1;
        drop(state);
        self.freed.notify_all();
    }

    fn leave(&self, done: io::Result<bool>) {
        let mut state = self.lock();
        state.stats.running -= 1;
        match done {
            Ok(true) => state.stats.finished += 1,
            Ok(false) => {}
            Err(_) => state.stats.cancelled += 1,
        }
        drop(state);
        self.freed.notify_all();
    }

    fn pause(&self, run: &Run, ms: u64) {
        let factor = if run.fault.mode == Mode::Slow { 10 } else { 1 };
        thread::sleep(time::Duration::from_millis(ms * factor));
    }

    fn whole(&self, request: tiny_http::Request, run: Run) -> io::Result<bool> {
        self.pause(
            &run,
            self.settings.first_token_ms + self.settings.token_gap_ms * (run.end - run.next),
        );
        let text: String = (run.next..run.end)
            .map(|i| response_token(&run.prompt, i))
            .collect();
        self.lock().stats.tokens += run.end - run.next;
        let answer = serde_json::json!({
            "id": run.id, "object": "chat.completion", "model": run.model,
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text}}],
            "usage": usage(&run),
        });
        http::respond_json(request, 200, &answer);
        Ok(true)
    }

    fn stream(&self, request: tiny_http::Request, mut run: Run) -> io::Result<bool> {
        let peer = request.remote_addr().copied();
        let mut out = request.into_writer();
        self.pause(&run, self.settings.first_token_ms);
        http::start_chunked(&mut out, "text/event-stream")?;
        while run.next < run.end {
            if run.next - run.first == u64::from(run.fault.after_tokens)
                && !self.misbehave(&mut out, &mut run)?
            {
                http::shutdown_connection(peer);
                return Ok(false);
            }
            let event = delta(&run, &response_token(&run.prompt, run.next));
            http::write_chunk(&mut out, event.as_bytes())?;
            run.next += 1;
            self.lock().stats.tokens += 1;
            self.pause(&run, self.settings.token_gap_ms);
        }
        http::write_chunk(&mut out, closing(&run).as_bytes())?;
        if run.fault.mode == Mode::CutEnd {
            http::shutdown_connection(peer);
            return Ok(false);
        }
        http::write_chunk(&mut out, b"data: [DONE]\n\n")?;
        http::write_chunk(&mut out, b"")?;
        Ok(true)
    }

    /// Plays the fault; tells whether the answer goes on.
    fn misbehave(&self, out: &mut dyn io::Write, run: &mut Run) -> io::Result<bool> {
        match run.fault.mode {
            Mode::Cut => Ok(false),
            Mode::NoEnd => {
                http::write_chunk(out, b"")?;
                Ok(false)
            }
            Mode::Stall => {
                thread::sleep(time::Duration::from_secs(30));
                Ok(false)
            }
            Mode::Garbage => {
                http::write_chunk(out, b"data: {\"id\": 7, \xff\xfe nonsense\n\n")?;
                Ok(false)
            }
            Mode::WrongId => {
                run.id = "somebody-else".to_owned();
                Ok(true)
            }
            Mode::None | Mode::Refuse | Mode::Slow | Mode::CutEnd => Ok(true),
        }
    }
}

fn start(chat: &Chat, id: String, fault: Fault) -> Run {
    let held = match chat.messages.last() {
        Some(m) if chat.continue_final_message && m.role == "assistant" => m.content.as_str(),
        _ => "",
    };
    let next = held.split_whitespace().count() as u64;
    let mut prompt = String::new();
    for m in &chat.messages {
        if m.role != "assistant" {
            prompt.push_str(&m.content);
        }
    }
    let end = next + chat.max_tokens.unwrap_or(DEFAULT_TOKENS);
    Run {
        id,
        prompt,
        model: chat.model.clone(),
        first: next,
        next,
        end,
        fault,
    }
}

fn usage(run: &Run) -> serde_json::Value {
    let prompt = run.prompt.split_whitespace().count() as u64 + run.first;
    let answer = run.end - run.first;
    serde_json::json!({
        "prompt_tokens": prompt, "completion_tokens": answer, "total_tokens": prompt + answer,
    })
}

fn delta(run: &Run, text: &str) -> String {
    let event = serde_json::json!({
        "id": run.id, "object": "chat.completion.chunk", "model": run.model,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    format!("data: {event}\n\n")
}

fn closing(run: &Run) -> String {
    let event = serde_json::json!({
        "id": run.id, "object": "chat.completion.chunk", "model": run.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}], "usage": usage(run),
    });
    format!("data: {event}\n\n")
}
