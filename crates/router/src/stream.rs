//! A stream of events: passed on event by event, and gone on with at another upstream.

use std::rc;

use base::{clock, refusal};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::{attempt, host, response, serve, sse};

/// Events on their way to a caller that does not read.
const QUEUE: usize = 16;
/// The shortest silence of an upstream after which a stream goes on elsewhere.
const MIN_SILENCE: clock::Millis = clock::Millis(500);
/// Pause before a stream that broke goes on elsewhere: upstreams that end at once all show by then.
const SETTLE: clock::Millis = clock::Millis(20);
/// How many times as long as is likely a stream waits for its first event at an upstream that gives
/// no byte of any answer.
const SILENT_TIMES: u64 = 3;

/// A stream at an upstream, cut into events.
struct Source {
    stream: attempt::RunningStream,
    parser: sse::Parser,
}

/// What came next of a stream.
enum Next {
    Event(sse::Event),
    End,
    Broken(attempt::Failure),
}

impl Source {
    /// The next whole event, within `limit`, and as long as the upstream is not silent for `silence`.
    async fn next_event(&mut self, limit: clock::Millis, silence: clock::Millis) -> Next {
        let flight = &self.stream.in_flight;
        tokio::select! {
            next = read(&mut self.stream.body, &mut self.parser, flight) => next,
            () = time::sleep(limit.duration()) => Next::Broken(attempt::Failure::Timeout),
            () = flight.wait_for_stall(silence) => Next::Broken(attempt::Failure::Stalled),
        }
    }
}

async fn read(
    body: &mut hyper::body::Incoming,
    cutter: &mut sse::Parser,
    flight: &attempt::InFlight,
) -> Next {
    loop {
        match cutter.next_event() {
            Ok(Some(event)) => return Next::Event(event),
            Ok(None) => {}
            Err(sse::InvalidEvent) => return Next::Broken(attempt::Failure::Truncated),
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                flight.record_data();
                if let Some(data) = frame.data_ref() {
                    cutter.push(data);
                }
            }
            Some(Err(_)) => return Next::Broken(attempt::Failure::Truncated),
            None if cutter.is_partial() => {
                return Next::Broken(attempt::Failure::Truncated);
            }
            None => return Next::End,
        }
    }
}

/// A stream that has begun: its source, and what its caller has of it.
struct Relay {
    host: rc::Rc<host::Host>,
    call: rc::Rc<attempt::Call>,
    history: serve::History,
    source: Option<Source>,
    last_event_id: Option<u64>,
    first_latency: clock::Millis,
    /// When an event was passed on last.
    last_sent: clock::Millis,
    caller: mpsc::Sender<Result<Bytes, response::BodyAborted>>,
}

/// Serves a request whose answer is a stream.
pub async fn serve(host: &rc::Rc<host::Host>, call: &rc::Rc<attempt::Call>) -> response::Response {
    let mut tries = serve::History::default();
    let mut failed = None;
    let reason = loop {
        let begun = match begin(host, call, &mut tries, call.meta.last_event_id).await {
            Err(reason) => break reason,
            Ok(begun) => begun,
        };
        match begun {
            Begun::Stream(begun) => {
                let (parts, source, event) = *begun;
                return relay(host, call, tries, parts, source, event);
            }
            Begun::Other(answer) if answer.status().is_server_error() => failed = Some(answer),
            Begun::Other(answer) => {
                let status = answer.status().as_u16();
                serve::log_request(host, call, &tries, "whole", status, None);
                return answer;
            }
            Begun::Failed => {}
        }
        if tries.may_have_run > 0 && !call.route.is_retryable() || host.now() >= call.finish_by {
            break refusal::Reason::UpstreamFailed;
        }
    };
    if let Some(answer) = failed {
        let status = answer.status().as_u16();
        serve::log_request(host, call, &tries, "failed", status, None);
        return answer;
    }
    serve::refuse_after_attempts(host, call, &tries, reason)
}

/// What came of a try of a stream.
enum Begun {
    /// Its head and first event.
    Stream(Box<(http::response::Parts, Source, sse::Event)>),
    /// An answer without events.
    Other(response::Response),
    /// Nothing; noted.
    Failed,
}

/// Tries one upstream, up to the first event after `resume`.
async fn begin(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    tries: &mut serve::History,
    resume: Option<u64>,
) -> Result<Begun, refusal::Reason> {
    let pick = serve::select_upstream(host, call, tries)?;
    let expected = pick.base_latency;
    let sent = host.now();
    let limit = serve::attempt_timeout(host, call, tries);
    // While all engines are behind, few of them are heard of by a host of many.
    let slow = clock::Millis(pick.likely_latency.0 * SILENT_TIMES);
    let silence = serve::stall_timeout(host, call, tries).max(slow);
    let head = match attempt::send(host, call, pick, resume, limit, silence).await {
        attempt::Outcome::Response(head) => head,
        attempt::Outcome::NotRun(failure) => {
            serve::record_failure(host, call, tries, failure, false);
            return Ok(Begun::Failed);
        }
        attempt::Outcome::MayHaveRun(failure) => {
            serve::record_failure(host, call, tries, failure, true);
            return Ok(Begun::Failed);
        }
    };
    let left = || clock::Millis(limit.since(host.now().since(sent)).0);
    if !head.parts.status.is_success() {
        let answer = match head.read_body(left()).await {
            Ok((parts, bytes, _)) => response::buffered(serve::end_to_end_parts(parts), bytes),
            Err(failure) => {
                serve::record_failure(host, call, tries, failure, true);
                return Ok(Begun::Failed);
            }
        };
        if answer.status().is_server_error() {
            serve::record_failure(host, call, tries, attempt::Failure::ServerError, true);
        }
        return Ok(Begun::Other(answer));
    }
    let (parts, running) = head.into_stream();
    let mut source = Source {
        stream: running,
        parser: sse::Parser::default(),
    };
    loop {
        match source.next_event(left(), silence).await {
            Next::Event(event) if is_old(&event, resume) => {}
            Next::Event(event) => {
                let now = host.now();
                source.stream.in_flight.record_prompt_read();
                serve::count_started(host, call, now);
                let ratio = now.since(sent).0 as f64 / expected.0 as f64;
                let name = &source.stream.in_flight.selection.name;
                host.fleet.borrow_mut().record_success(name, ratio, now);
                return Ok(Begun::Stream(Box::new((parts, source, event))));
            }
            Next::End => {
                source.stream.keep_connection();
                let answer = response::buffered(serve::end_to_end_parts(parts), Bytes::new());
                return Ok(Begun::Other(answer));
            }
            Next::Broken(failure) => {
                drop(source);
                serve::record_failure(host, call, tries, failure, true);
                return Ok(Begun::Failed);
            }
        }
    }
}

fn is_old(event: &sse::Event, last: Option<u64>) -> bool {
    matches!((event.id, last), (Some(id), Some(last)) if id <= last)
}

/// Hands the stream to a task of its own and answers with its head.
fn relay(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    tries: serve::History,
    parts: http::response::Parts,
    source: Source,
    event: sse::Event,
) -> response::Response {
    let (caller, events) = mpsc::channel(QUEUE);
    let relay = Relay {
        host: host.clone(),
        call: call.clone(),
        history: tries,
        source: Some(source),
        last_event_id: call.meta.last_event_id,
        first_latency: host.now().since(call.received_at),
        last_sent: host.now(),
        caller,
    };
    task::spawn_local(relay.run(event));
    http::Response::from_parts(
        serve::end_to_end_parts(parts),
        response::Body::Stream(events),
    )
}

impl Relay {
    async fn run(mut self, first: sse::Event) {
        let end = self.forward_events(first).await;
        let status = http::StatusCode::OK.as_u16();
        let first = Some(self.first_latency);
        serve::log_request(&self.host, &self.call, &self.history, end, status, first);
        match end {
            "whole" => {
                if let Some(source) = self.source {
                    source.stream.keep_connection();
                }
            }
            "caller_gone" => {}
            // The connection ends without the end of its body.
            _ => {
                let _ = self.caller.send(Err(response::BodyAborted)).await;
            }
        }
    }

    /// Passes events on until the end; returns how it ended.
    async fn forward_events(&mut self, first: sse::Event) -> &'static str {
        let mut event = first;
        loop {
            if !self.forward(event).await {
                return "caller_gone";
            }
            event = match self.next_event().await {
                Ok(event) => event,
                Err(end) => return end,
            };
        }
    }

    async fn forward(&mut self, event: sse::Event) -> bool {
        self.last_event_id = event.id.or(self.last_event_id);
        let now = self.host.now();
        self.history.max_gap = self.history.max_gap.max(now.since(self.last_sent));
        self.last_sent = now;
        let left = self.call.finish_by.since(now);
        let sent = time::timeout(left.duration(), self.caller.send(Ok(event.bytes)));
        matches!(sent.await, Ok(Ok(())))
    }

    async fn next_event(&mut self) -> Result<sse::Event, &'static str> {
        loop {
            let left = self.call.finish_by.since(self.host.now());
            if left == clock::Millis::ZERO {
                return Err("timeout");
            }
            let silence = self.stall_timeout();
            let Some(source) = &mut self.source else {
                return Err("broken");
            };
            let caller = self.caller.clone();
            let next = tokio::select! {
                next = source.next_event(left, silence) => next,
                () = caller.closed() => return Err("caller_gone"),
            };
            match next {
                Next::Event(event) if is_old(&event, self.last_event_id) => {}
                Next::Event(event) => return Ok(event),
                Next::End => return Err("whole"),
                Next::Broken(failure) => {
                    // The old run is cancelled before another one begins.
                    self.source = None;
                    serve::record_failure(&self.host, &self.call, &mut self.history, failure, true);
                    if failure == attempt::Failure::Truncated {
                        time::sleep(SETTLE.duration()).await;
                    }
                    return self.resume().await;
                }
            }
        }
    }

    /// Silence of the upstream after which the stream goes on elsewhere, if it may.
    fn stall_timeout(&self) -> clock::Millis {
        if !serve::may_retry(&self.host, &self.call, &self.history) {
            return self.call.route.timeout;
        }
        self.call
            .route
            .gap_target
            .map_or(MIN_SILENCE, |g| g.max(MIN_SILENCE))
    }

    /// Goes on at another upstream after the last event passed on.
    async fn resume(&mut self) -> Result<sse::Event, &'static str> {
        if !self.call.route.is_retryable() || self.last_event_id.is_none() {
            return Err("broken");
        }
        while self.host.now() < self.call.finish_by {
            let caller = self.caller.clone();
            let begun = tokio::select! {
                begun = begin(&self.host, &self.call, &mut self.history, self.last_event_id) => begun,
                () = caller.closed() => return Err("caller_gone"),
            };
            match begun {
                Ok(Begun::Stream(begun)) => {
                    let (_, source, event) = *begun;
                    self.source = Some(source);
                    return Ok(event);
                }
                Ok(Begun::Failed) => {}
                Ok(Begun::Other(_)) | Err(_) => return Err("broken"),
            }
        }
        Err("timeout")
    }
}
