//! Streaming responses: forwards server-sent events, and resumes a broken stream at another
//! upstream.

use std::rc;

use base::{clock, refusal};
use bytes::Bytes;
use http_body_util::BodyExt as _;
use tokio::sync::mpsc;
use tokio::{task, time};

use crate::{
    attempt, crash_log, headers, host, in_flight, memory, prompt_evidence, reports, response,
    retry, serve, sse,
};

/// Number of events buffered for a client that reads too slowly.
const EVENT_QUEUE_CAPACITY: usize = 16;
/// Time between two attempts to get memory for an event.
const HOLD_RETRY_DELAY: clock::Millis = clock::Millis(20);
/// Minimum time without data from an upstream after which a stream is resumed elsewhere.
const MIN_STALL_TIMEOUT: clock::Millis = clock::Millis(500);
/// Delay before a broken stream is resumed, so that other upstreams that fail at the same moment
/// are known by then.
const RESUME_DELAY: clock::Millis = clock::Millis(20);
/// An upstream counts as stalled if it sends no data for this share of the route's latency target
/// and this multiple of its likely latency while a stream waits for its first event. A dead upstream
/// is found earlier, by the kernel.
const FIRST_EVENT_STALL_SHARE: f64 = 1.5;
const FIRST_EVENT_STALL_FACTOR: u64 = 8;

/// A stream from an upstream, parsed into events.
struct EventSource {
    stream: attempt::RunningStream,
    parser: sse::Parser,
    /// Memory of the bytes in the parser.
    hold: memory::Hold,
}

/// Result of waiting for the next event.
enum NextEvent {
    Event(sse::Event),
    End,
    Failed(attempt::Failure),
}

impl EventSource {
    /// Waits for the next event. Fails after `timeout`, or when the upstream sends no data for
    /// `stall_timeout`.
    async fn next_event(
        &mut self,
        timeout: clock::Millis,
        stall_timeout: clock::Millis,
    ) -> NextEvent {
        let Self {
            stream,
            parser,
            hold,
        } = self;
        let in_flight = &stream.in_flight;
        tokio::select! {
            next = read_event(&mut stream.body, parser, hold, in_flight) => next,
            () = time::sleep(timeout.duration()) => NextEvent::Failed(attempt::Failure::Timeout),
            () = in_flight.wait_for_stall(stall_timeout) => {
                NextEvent::Failed(attempt::Failure::Stalled)
            }
        }
    }
}

/// Reads from the body until there is a complete event, the stream ends or it fails.
async fn read_event(
    body: &mut hyper::body::Incoming,
    parser: &mut sse::Parser,
    hold: &mut memory::Hold,
    in_flight: &in_flight::InFlight,
) -> NextEvent {
    loop {
        match parser.next_event() {
            Ok(Some(event)) => {
                return NextEvent::Event(event);
            }
            Ok(None) => {}
            Err(sse::InvalidEvent::TooLong) => {
                return NextEvent::Failed(attempt::Failure::TooLarge);
            }
            Err(sse::InvalidEvent::BadId) => {
                return NextEvent::Failed(attempt::Failure::Truncated);
            }
        }
        match body.frame().await {
            Some(Ok(frame)) => {
                in_flight.record_data();
                if let Some(data) = frame.data_ref() {
                    in_flight.record_bytes(data.len());
                    parser.push(data);
                }
                if hold.resize(parser.buffered_bytes()).is_err() {
                    return NextEvent::Failed(attempt::Failure::TooLarge);
                }
            }
            Some(Err(_)) => return NextEvent::Failed(attempt::Failure::Truncated),
            None if parser.is_partial() => {
                return NextEvent::Failed(attempt::Failure::Truncated);
            }
            None => return NextEvent::End,
        }
    }
}

/// Forwards a stream to its client, resuming it at other upstreams where necessary.
struct Forwarder {
    host: rc::Rc<host::Host>,
    call: rc::Rc<attempt::Call>,
    history: retry::AttemptHistory,
    source: Option<EventSource>,
    /// Id of the last event forwarded to the client.
    last_event_id: Option<u64>,
    /// Time from receiving the request to its first event.
    first_latency: clock::Millis,
    /// Whether the prompt counts as answered.
    is_answered: bool,
    /// When the latest event was forwarded.
    last_forwarded: clock::Millis,
    client: mpsc::Sender<response::Piece>,
}

/// Serves a request whose response is a stream.
pub async fn serve(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    history: &mut retry::AttemptHistory,
) -> response::Response {
    let mut error_response = None;
    let reason = loop {
        let started = match start_stream(host, call, history, call.meta.last_event_id).await {
            Err(reason) => break reason,
            Ok(started) => started,
        };
        match started {
            StartOutcome::Stream(started) => {
                let (parts, source, event) = *started;
                let history = std::mem::take(history);
                return spawn_forwarder(host, call, history, parts, source, event);
            }
            StartOutcome::Other(response) if response.status().is_server_error() => {
                error_response = Some(response)
            }
            StartOutcome::Other(response) => {
                let status = response.status().as_u16();
                retry::log_request(host, call, history, "whole", status, None);
                return response;
            }
            StartOutcome::Failed => {}
        }
        if history.executions.may_have_run() > 0 && !call.route.is_retryable()
            || host.now() >= call.finish_by
        {
            break refusal::Reason::UpstreamFailed;
        }
    };
    if let Some(response) = error_response {
        let status = response.status().as_u16();
        retry::log_request(host, call, history, "failed", status, None);
        return response;
    }
    retry::refuse_after_attempts(host, call, history, reason)
}

/// Result of an attempt to start a stream.
enum StartOutcome {
    /// Head of the response, its source of further events, and its first event.
    Stream(Box<(http::response::Parts, EventSource, sse::Event)>),
    /// A response without events, such as an error response.
    Other(response::Response),
    /// The attempt failed; the failure is already recorded.
    Failed,
}

/// Makes one attempt, up to the first event after `last_event_id`. It is given up when a part of the
/// prompt is found to crash upstreams: the one that it waits at would end as well.
async fn start_stream(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    history: &mut retry::AttemptHistory,
    last_event_id: Option<u64>,
) -> Result<StartOutcome, refusal::Reason> {
    tokio::select! {
        started = make_attempt(host, call, history, last_event_id) => started,
        () = reports::wait_for_rule(host, call) => {
            retry::record_failure(host, call, history, attempt::Failure::Withheld, true);
            Ok(StartOutcome::Failed)
        }
    }
}

async fn make_attempt(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    history: &mut retry::AttemptHistory,
    last_event_id: Option<u64>,
) -> Result<StartOutcome, refusal::Reason> {
    let selection = retry::select_upstream(host, call, history)?;
    let base_latency = selection.base_latency;
    let sent_at = host.now();
    let timeout = retry::attempt_timeout(host, call, history);
    // Under general load, a host among many receives data from few of the engines, so a wait that
    // is as long as the likely latency does not indicate a stall.
    let slow_start = clock::Millis(selection.likely_latency.0 * FIRST_EVENT_STALL_FACTOR);
    let stall_timeout =
        retry::stall_timeout(host, call, history, FIRST_EVENT_STALL_SHARE).max(slow_start);
    let head =
        match attempt::send(host, call, selection, last_event_id, timeout, stall_timeout).await {
            attempt::Outcome::Response(head) => head,
            attempt::Outcome::NotRun(failure) => {
                retry::record_failure(host, call, history, failure, false);
                return Ok(StartOutcome::Failed);
            }
            attempt::Outcome::MayHaveRun(failure) => {
                retry::record_failure(host, call, history, failure, true);
                return Ok(StartOutcome::Failed);
            }
        };
    let remaining = || clock::Millis(timeout.since(host.now().since(sent_at)).0);
    if head.parts.status.is_server_error() {
        let may_retry = retry::may_retry(host, call, history);
        retry::record_failure(host, call, history, attempt::Failure::ServerError, true);
        let read = head.read_error_body(remaining(), may_retry).await;
        return Ok(read.map_or(StartOutcome::Failed, StartOutcome::Other));
    }
    if !head.parts.status.is_success() {
        return Ok(match head.read_body(remaining()).await {
            Ok((parts, bytes, _)) => {
                let parts = headers::response_parts(parts);
                StartOutcome::Other(response::buffered(parts, bytes))
            }
            Err(failure) => {
                retry::record_failure(host, call, history, failure, true);
                StartOutcome::Failed
            }
        });
    }
    let (parts, stream) = head.into_stream();
    let mut source = EventSource {
        stream,
        parser: sse::Parser::default(),
        hold: host.memory.open(),
    };
    loop {
        match source.next_event(remaining(), stall_timeout).await {
            NextEvent::Event(event) if already_sent(&event, last_event_id) => {}
            NextEvent::Event(event) if !event.may_follow(last_event_id) => {
                drop(source);
                retry::record_failure(host, call, history, attempt::Failure::NotAnEvent, true);
                return Ok(StartOutcome::Failed);
            }
            NextEvent::Event(event) => {
                let now = host.now();
                history.begun_at = Some(now);
                source.stream.in_flight.record_prompt_read();
                serve::count_started(host, call, now);
                let latency = now.since(sent_at);
                let ratio = latency.0 as f64 / base_latency.0 as f64;
                let name = &source.stream.in_flight.selection.name;
                host.fleet.borrow_mut().record_success(name, ratio, now);
                return Ok(StartOutcome::Stream(Box::new((parts, source, event))));
            }
            // An upstream that crashes after the head of a response without a length ends it like
            // this, so no stream without events is taken for whole.
            NextEvent::End => {
                drop(source);
                retry::record_failure(host, call, history, attempt::Failure::Truncated, true);
                return Ok(StartOutcome::Failed);
            }
            NextEvent::Failed(failure) => {
                drop(source);
                retry::record_failure(host, call, history, failure, true);
                return Ok(StartOutcome::Failed);
            }
        }
    }
}

/// Whether the event precedes or equals the last one that was forwarded.
fn already_sent(event: &sse::Event, last: Option<u64>) -> bool {
    matches!((event.id, last), (Some(id), Some(last)) if id <= last)
}

/// Starts a task that forwards the stream, and returns the head of the response.
fn spawn_forwarder(
    host: &rc::Rc<host::Host>,
    call: &rc::Rc<attempt::Call>,
    history: retry::AttemptHistory,
    parts: http::response::Parts,
    source: EventSource,
    event: sse::Event,
) -> response::Response {
    let (client, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let forwarder = Forwarder {
        host: host.clone(),
        call: call.clone(),
        history,
        source: Some(source),
        last_event_id: call.meta.last_event_id,
        first_latency: host.now().since(call.received_at),
        is_answered: false,
        last_forwarded: host.now(),
        client,
    };
    task::spawn_local(forwarder.run(event));
    http::Response::from_parts(
        headers::response_parts(parts),
        response::Body::Stream(events),
    )
}

impl Forwarder {
    async fn run(mut self, first: sse::Event) {
        let mut end = self.forward_events(first).await;
        // Without `End` the client sees that the response is incomplete.
        if end == "whole" {
            if let Some(source) = self.source.take() {
                source.stream.keep_connection();
            }
            if !self.send(response::Piece::End).await {
                end = self.unsent_end();
            }
        }
        let status = http::StatusCode::OK.as_u16();
        let first_latency = Some(self.first_latency);
        retry::log_request(
            &self.host,
            &self.call,
            &self.history,
            end,
            status,
            first_latency,
        );
    }

    /// Forwards events until the stream ends. Returns the text that the request's log line gives as
    /// its end.
    async fn forward_events(&mut self, first: sse::Event) -> &'static str {
        let mut event = first;
        loop {
            if !self.forward(event).await {
                return self.unsent_end();
            }
            event = match self.next_event().await {
                Ok(event) => event,
                Err(end) => return end,
            };
        }
    }

    /// Sends one event to the client. Returns whether the client accepted it in time.
    async fn forward(&mut self, event: sse::Event) -> bool {
        self.last_event_id = event.id.or(self.last_event_id);
        let now = self.host.now();
        self.history.max_gap = self.history.max_gap.max(now.since(self.last_forwarded));
        let begun_at = self.history.begun_at;
        if begun_at.is_some_and(|at| now.since(at) >= crash_log::SURVIVAL_TIME) {
            self.record_answer();
        }
        self.last_forwarded = now;
        match self.hold(event.bytes).await {
            Some(bytes) => self.send(response::Piece::Data(bytes)).await,
            None => false,
        }
    }

    /// Waits until there is memory for bytes that the client has yet to read. Returns `None` if there
    /// is none in time.
    async fn hold(&self, bytes: Bytes) -> Option<Bytes> {
        let mut hold = self.host.memory.open();
        while hold.grow(bytes.len()).is_err() {
            if self.client.is_closed() || self.host.now() >= self.call.finish_by {
                return None;
            }
            time::sleep(HOLD_RETRY_DELAY.duration()).await;
        }
        Some(hold.attach(bytes))
    }

    /// Why a piece of the body could not be sent, as the text that the log line gives.
    fn unsent_end(&self) -> &'static str {
        if self.client.is_closed() {
            "caller_gone"
        } else {
            "caller_slow"
        }
    }

    /// Sends a piece of the body to the client. Returns whether the client accepted it in time.
    async fn send(&self, piece: response::Piece) -> bool {
        let remaining = self.call.finish_by.since(self.host.now());
        let sending = time::timeout(remaining.duration(), self.client.send(piece));
        matches!(sending.await, Ok(Ok(())))
    }

    /// Records once that the upstream of the current attempt has answered the prompt.
    fn record_answer(&mut self) {
        if !std::mem::replace(&mut self.is_answered, true) {
            prompt_evidence::record_answer(&self.host, &self.call);
        }
    }

    /// Waits for the next event that was not forwarded yet. Returns the reason if there is none.
    async fn next_event(&mut self) -> Result<sse::Event, &'static str> {
        loop {
            let remaining = self.call.finish_by.since(self.host.now());
            if remaining == clock::Millis::ZERO {
                return Err("timeout");
            }
            let stall_timeout = self.stall_timeout();
            let Some(source) = &mut self.source else {
                return Err("broken");
            };
            let client = self.client.clone();
            let next = tokio::select! {
                next = source.next_event(remaining, stall_timeout) => next,
                () = client.closed() => return Err("caller_gone"),
                () = self.host.wait_for_phase(host::Phase::Ending) => return Err("interrupted"),
            };
            let failure = match next {
                NextEvent::Event(event) if already_sent(&event, self.last_event_id) => continue,
                NextEvent::Event(event) if event.may_follow(self.last_event_id) => {
                    return Ok(event);
                }
                NextEvent::Event(_) => attempt::Failure::NotAnEvent,
                NextEvent::End => {
                    self.record_answer();
                    return Err("whole");
                }
                NextEvent::Failed(failure) => failure,
            };
            // Dropping the source cancels the old run before another one starts.
            self.source = None;
            retry::record_failure(&self.host, &self.call, &mut self.history, failure, true);
            if failure == attempt::Failure::Truncated {
                time::sleep(RESUME_DELAY.duration()).await;
            }
            return self.resume().await;
        }
    }

    /// Time without data from the upstream after which the stream is resumed elsewhere, or the
    /// route's timeout if it can't be.
    fn stall_timeout(&self) -> clock::Millis {
        if !retry::may_retry(&self.host, &self.call, &self.history) {
            return self.call.route.timeout;
        }
        self.call
            .route
            .gap_target
            .map_or(MIN_STALL_TIMEOUT, |g| g.max(MIN_STALL_TIMEOUT))
    }

    /// Resumes the stream at another upstream, after the last event forwarded.
    async fn resume(&mut self) -> Result<sse::Event, &'static str> {
        if !self.call.route.is_retryable() || self.last_event_id.is_none() {
            return Err("broken");
        }
        while self.host.now() < self.call.finish_by {
            let client = self.client.clone();
            let started = tokio::select! {
                started = start_stream(
                    &self.host,
                    &self.call,
                    &mut self.history,
                    self.last_event_id,
                ) => started,
                () = client.closed() => return Err("caller_gone"),
                () = self.host.wait_for_phase(host::Phase::Ending) => return Err("interrupted"),
            };
            match started {
                Ok(StartOutcome::Stream(started)) => {
                    let (_, source, event) = *started;
                    self.source = Some(source);
                    return Ok(event);
                }
                Ok(StartOutcome::Failed) => {}
                Ok(StartOutcome::Other(_)) | Err(_) => return Err("broken"),
            }
        }
        Err("timeout")
    }
}
