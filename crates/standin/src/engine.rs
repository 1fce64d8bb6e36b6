//! Test double of a model engine: chat completions with server-sent events, a limited number of
//! slots, and priorities.
//!
//! Token `i` of a response depends only on the prompt and `i`, so a test can compute the expected
//! response. If `continue_final_message` is set and the last message is from the assistant, the
//! response continues that message.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::thread;
use std::time;

use base::hash;
use ports::accept;
use serde::{Deserialize, Serialize};

use crate::http;

/// Kind of fault of an engine. Sent as JSON to `POST /fault`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// No fault.
    #[default]
    None,
    /// Responds with 503 without running the request.
    Refuse,
    /// Closes the connection after `after_tokens` tokens.
    Cut,
    /// Ends the response body after `after_tokens` tokens, without the `[DONE]` event.
    NoEnd,
    /// Closes the connection after all tokens, before the `[DONE]` event.
    CutEnd,
    /// Stops sending after `after_tokens` tokens and keeps the connection open for 30 s.
    Stall,
    /// Sends bytes that are no valid event after `after_tokens` tokens, then closes the connection.
    Garbage,
    /// Sends events with the ID of another request after `after_tokens` tokens.
    #[serde(rename = "crossed")]
    WrongId,
    /// Takes ten times as long for each token.
    Slow,
}

/// Fault that the next `count` requests run into.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Fault {
    /// Kind of the fault.
    pub mode: Mode,
    /// Number of tokens sent before the fault.
    #[serde(rename = "after")]
    pub after_tokens: u32,
    /// Number of requests that the fault still applies to; 0 for none.
    pub count: u32,
}

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Largest number of concurrent requests; further requests wait in order of priority.
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

/// Counters and received data of an engine, sent as JSON by `GET /stats`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Stats {
    /// Number of requests that got a slot.
    pub started: u64,
    /// Number of requests with a complete response.
    pub finished: u64,
    /// Number of requests whose client disconnected.
    pub cancelled: u64,
    /// Number of tokens sent.
    pub tokens: u64,
    /// Number of requests that have a slot now.
    pub running: u32,
    /// Number of requests that wait for a slot now.
    pub waiting: u32,
    /// Names of all headers received, in lower case.
    pub headers: collections::BTreeSet<String>,
    /// Header values and bodies received, so that tests can search them for secrets. Only the
    /// latest few thousand are kept.
    pub seen: Vec<String>,
}

/// A running engine; it stops when dropped.
pub struct Engine {
    server: http::Server,
    inner: sync::Arc<Inner>,
}

impl Engine {
    /// Starts an engine on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr, settings: Settings) -> io::Result<Self> {
        let inner = sync::Arc::new(Inner {
            settings,
            state: sync::Mutex::default(),
            slot_freed: sync::Condvar::new(),
        });
        let handler_inner = inner.clone();
        let server =
            http::Server::start(address, sync::Arc::new(move |r| handler_inner.handle(r)))?;
        Ok(Self { server, inner })
    }

    /// Address of the HTTP server.
    pub fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Copy of the current counters and received data.
    pub fn stats(&self) -> Stats {
        self.inner.lock().stats.clone()
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: Fault) {
        self.inner.lock().fault = fault;
    }
}

/// Token `i` of the response to `prompt`.
pub fn response_token(prompt: &str, i: u64) -> String {
    let h = hash::stable_hash(format!("{prompt}/{i}").as_bytes());
    format!("t{i}x{:03x} ", h & 0xfff)
}

/// First `n` tokens of the response to `prompt`, as one text.
pub fn response_text(prompt: &str, n: u64) -> String {
    (0..n).map(|i| response_token(prompt, i)).collect()
}

#[derive(Default)]
struct State {
    stats: Stats,
    fault: Fault,
    /// Waiting requests as pairs of priority and order of arrival.
    queue: collections::BTreeMap<(i64, u64), ()>,
    arrivals: u64,
}

struct Inner {
    settings: Settings,
    state: sync::Mutex<State>,
    slot_freed: sync::Condvar,
}

#[derive(Deserialize)]
struct ChatRequest {
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

/// Length of a response if the request does not set `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Progress of one response.
struct Generation {
    id: String,
    prompt: String,
    model: String,
    /// Index of the first token to send; not 0 if the response continues an earlier one.
    first: u64,
    /// Index of the next token to send.
    next: u64,
    /// Index after the last token.
    end: u64,
    fault: Fault,
}

/// Slot of a running request, free again when dropped. It is dropped before the end of the response
/// is sent: a client that has the end may send the next request at once.
struct Slot<'a>(&'a Inner);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.running -= 1;
        self.0.slot_freed.notify_all();
    }
}

impl Inner {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn handle(&self, mut request: tiny_http::Request) {
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
        let Ok(chat) = serde_json::from_slice::<ChatRequest>(body) else {
            return http::respond_empty(request, 400);
        };
        self.record(&request, body);
        let fault = self.take_fault();
        if fault.mode == Mode::Refuse {
            return http::respond_empty(request, 503);
        }
        let id = http::header_value(&request, "x-request-id")
            .unwrap_or("none")
            .to_owned();
        let generation = start_generation(&chat, id, fault);
        let slot = self.acquire_slot(chat.priority);
        let completed = if chat.stream {
            self.respond_stream(request, generation, slot)
        } else {
            self.respond_complete(request, generation, slot)
        };
        let mut state = self.lock();
        match completed {
            Ok(true) => state.stats.finished += 1,
            Ok(false) => {}
            Err(_) => state.stats.cancelled += 1,
        }
    }

    fn record(&self, request: &tiny_http::Request, body: &[u8]) {
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

    fn acquire_slot(&self, priority: i64) -> Slot<'_> {
        let mut state = self.lock();
        state.arrivals += 1;
        let position = (priority, state.arrivals);
        state.queue.insert(position, ());
        state.stats.waiting += 1;
        loop {
            let is_first = state.queue.keys().next() == Some(&position);
            if is_first && state.stats.running < self.settings.slots {
                break;
            }
            state = self
                .slot_freed
                .wait(state)
                .unwrap_or_else(sync::PoisonError::into_inner);
        }
        state.queue.remove(&position);
        state.stats.waiting -= 1;
        state.stats.running += 1;
        state.stats.started += 1;
        drop(state);
        self.slot_freed.notify_all();
        Slot(self)
    }

    fn pause(&self, generation: &Generation, ms: u64) {
        let factor = if generation.fault.mode == Mode::Slow {
            10
        } else {
            1
        };
        thread::sleep(time::Duration::from_millis(ms * factor));
    }

    fn respond_complete(
        &self,
        request: tiny_http::Request,
        generation: Generation,
        slot: Slot<'_>,
    ) -> io::Result<bool> {
        self.pause(
            &generation,
            self.settings.first_token_ms
                + self.settings.token_gap_ms * (generation.end - generation.next),
        );
        let text: String = (generation.next..generation.end)
            .map(|i| response_token(&generation.prompt, i))
            .collect();
        self.lock().stats.tokens += generation.end - generation.next;
        let response = serde_json::json!({
            "id": generation.id, "object": "chat.completion", "model": generation.model,
            "choices": [{"index": 0, "finish_reason": "stop",
                "message": {"role": "assistant", "content": text}}],
            "usage": usage_json(&generation),
        });
        drop(slot);
        http::respond_json(request, 200, &response);
        Ok(true)
    }

    fn respond_stream(
        &self,
        request: tiny_http::Request,
        mut generation: Generation,
        slot: Slot<'_>,
    ) -> io::Result<bool> {
        let peer = request.remote_addr().copied();
        let mut out = request.into_writer();
        self.pause(&generation, self.settings.first_token_ms);
        http::start_chunked(&mut out, "text/event-stream")?;
        while generation.next < generation.end {
            if generation.next - generation.first == u64::from(generation.fault.after_tokens)
                && !self.inject_fault(&mut out, &mut generation)?
            {
                accept::shutdown_connection(peer);
                return Ok(false);
            }
            let event = token_event(
                &generation,
                &response_token(&generation.prompt, generation.next),
            );
            http::write_chunk(&mut out, event.as_bytes())?;
            generation.next += 1;
            self.lock().stats.tokens += 1;
            self.pause(&generation, self.settings.token_gap_ms);
        }
        drop(slot);
        http::write_chunk(&mut out, final_event(&generation).as_bytes())?;
        if generation.fault.mode == Mode::CutEnd {
            accept::shutdown_connection(peer);
            return Ok(false);
        }
        http::write_chunk(&mut out, b"data: [DONE]\n\n")?;
        http::write_chunk(&mut out, b"")?;
        Ok(true)
    }

    /// Carries out the fault. Returns whether the response continues.
    fn inject_fault(
        &self,
        out: &mut dyn io::Write,
        generation: &mut Generation,
    ) -> io::Result<bool> {
        match generation.fault.mode {
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
                generation.id = "somebody-else".to_owned();
                Ok(true)
            }
            Mode::None | Mode::Refuse | Mode::Slow | Mode::CutEnd => Ok(true),
        }
    }
}

fn start_generation(chat: &ChatRequest, id: String, fault: Fault) -> Generation {
    let continued = match chat.messages.last() {
        Some(m) if chat.continue_final_message && m.role == "assistant" => m.content.as_str(),
        _ => "",
    };
    let next = continued.split_whitespace().count() as u64;
    let mut prompt = String::new();
    for m in &chat.messages {
        if m.role != "assistant" {
            prompt.push_str(&m.content);
        }
    }
    let end = next + chat.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    Generation {
        id,
        prompt,
        model: chat.model.clone(),
        first: next,
        next,
        end,
        fault,
    }
}

fn usage_json(generation: &Generation) -> serde_json::Value {
    let prompt = generation.prompt.split_whitespace().count() as u64 + generation.first;
    let completion = generation.end - generation.first;
    serde_json::json!({
        "prompt_tokens": prompt, "completion_tokens": completion,
        "total_tokens": prompt + completion,
    })
}

fn token_event(generation: &Generation, text: &str) -> String {
    let event = serde_json::json!({
        "id": generation.id, "object": "chat.completion.chunk", "model": generation.model,
        "choices": [{"index": 0, "delta": {"content": text}, "finish_reason": null}],
    });
    format!("data: {event}\n\n")
}

fn final_event(generation: &Generation) -> String {
    let event = serde_json::json!({
        "id": generation.id, "object": "chat.completion.chunk", "model": generation.model,
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage_json(generation),
    });
    format!("data: {event}\n\n")
}
