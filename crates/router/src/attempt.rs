//! A single attempt to run a request at one upstream, up to the head of the response.

use std::rc;

use base::{clock, hash, name};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use tokio::time;

use crate::{
    bodies, crash_log, headers, host, http_client, in_flight, model, offloading, ports, response,
    selection, stream_class, verdict,
};

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(300);
/// Longest idle time of a pooled connection that may carry a request that must not run twice. The
/// longer a connection was idle, the likelier the upstream closes it while the request is sent,
/// which leaves the outcome of the request unknown.
const MAX_REUSE_IDLE_AGE: clock::Millis = clock::Millis(1_000);
/// Time limit for reading the body of a response by which an upstream refuses a request.
const REFUSAL_BODY_TIMEOUT: clock::Millis = clock::Millis(20);
/// Maximum size of a response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Maximum size of the body of a server error that is kept for the client, in bytes.
const MAX_ERROR_BYTES: usize = 64 << 10;
/// Time limit for reading the body of a server error if another attempt may be made.
const ERROR_BODY_TIMEOUT: clock::Millis = clock::Millis(20);

/// A client's request after routing and authentication, ready to be sent to an upstream.
#[derive(Debug)]
pub struct Call {
    /// Information from the request's headers.
    pub meta: ports::RequestMeta,
    /// Method of the request.
    pub method: http::Method,
    /// Path and query of the request.
    pub uri: http::Uri,
    /// Headers of the request without those that concern one connection.
    pub headers: http::HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
    /// Route that matches the request.
    pub route: rc::Rc<model::Route>,
    /// Service selected among the route's shares.
    pub service: name::Service,
    /// Team that owns the request's API key; `None` on a public route without a valid key.
    pub team: Option<rc::Rc<model::Team>>,
    /// Priority tier of the request; 0 is the most urgent.
    pub tier: u8,
    /// Class of the request, which decides on the engines that it prefers.
    pub stream_class: stream_class::StreamClass,
    /// Version of the configuration by which the request was routed.
    pub config_version: u64,
    /// When the host began to process the request.
    pub received_at: clock::Millis,
    /// When the client stops waiting.
    pub client_deadline: clock::Millis,
    /// When the host must have ended the response: the earlier of the route's timeout and a margin
    /// before `client_deadline`.
    pub finish_by: clock::Millis,
}

impl Call {
    /// Identifiers of the prompt's shared parts, all but the last.
    pub fn shared_parts(&self) -> crash_log::SharedParts {
        let shared = self.meta.prompt_parts.split_last().map(|(_, s)| s);
        shared.unwrap_or_default().iter().map(|p| p.id).collect()
    }

    /// Hash of the team's name; 0 without a team.
    pub fn team_hash(&self) -> u64 {
        let team = self.team.as_ref();
        team.map_or(0, |t| hash::stable_hash(t.name.as_str().as_bytes()))
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened.
    Connect,
    /// The upstream stated that it did not run the request.
    Refused,
    /// The address now belongs to another upstream, which refused the request.
    Misdirected,
    /// The connection ended before the head of the response.
    ConnectionLost,
    /// The response carries the id of another request.
    WrongRequestId,
    /// A successful response lacks the upstream's signature.
    Unsigned,
    /// The status says that the request did not run, and the upstream does not.
    Unconfirmed,
    /// A response that is no refusal states that the request did not run.
    Contradictory,
    /// The response is an interim one, after which no final one can follow.
    NotFinal,
    /// The response did not arrive within the time limit.
    Timeout,
    /// The upstream sent no data for any of this host's requests for too long.
    Stalled,
    /// The response ended before it was complete, or could not be parsed.
    Truncated,
    /// The response is larger than the host can hold.
    TooLarge,
    /// A part of the prompt was found to crash upstreams while the attempt waited for its answer.
    Withheld,
    /// A stream contains bytes that are none of its events.
    NotAnEvent,
    /// The upstream returned a server error.
    ServerError,
}

impl Failure {
    /// Stable text of the failure in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::ConnectionLost => "lost",
            Self::WrongRequestId => "foreign",
            Self::Unsigned => "unsigned",
            Self::Unconfirmed => "unconfirmed",
            Self::Contradictory => "contradictory",
            Self::NotFinal => "not_final",
            Self::Timeout => "slow",
            Self::Stalled => "silent",
            Self::Truncated => "broken",
            Self::TooLarge => "too_large",
            Self::Withheld => "withheld",
            Self::NotAnEvent => "not_an_event",
            Self::ServerError => "failed",
        }
    }
}

/// Result of sending a request, up to the head of the response.
pub enum Outcome {
    /// The upstream sent the head of a response.
    Response(Box<ResponseHead>),
    /// The attempt failed, and the request certainly did not run.
    NotRun(Failure),
    /// The attempt failed, and the request may have run.
    MayHaveRun(Failure),
}

/// Head of an upstream's response, with the connection that carries its body.
pub struct ResponseHead {
    /// Status and headers as received.
    pub parts: http::response::Parts,
    /// Body of the response, not yet read.
    pub body: body::Incoming,
    /// Information from the response's headers.
    pub meta: ports::ResponseMeta,
    /// Accounting entry of the request, removed when dropped.
    pub in_flight: in_flight::InFlight,
    conn: http_client::Connection,
}

impl ResponseHead {
    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// The body ended early, is too large, or is incomplete after `timeout`.
    pub async fn read_body(
        self,
        timeout: clock::Millis,
    ) -> Result<(http::response::Parts, Bytes, in_flight::InFlight), Failure> {
        self.read_limited(timeout, MAX_RESPONSE_BYTES).await
    }

    /// Reads the body of a server error and builds the response that the client gets if no attempt
    /// succeeds. With `may_retry`, the body is given up soon, so that it does not delay the next
    /// attempt.
    ///
    /// # Errors
    ///
    /// The body ended early, is too large, or did not arrive in time.
    pub async fn read_error_body(
        self,
        timeout: clock::Millis,
        may_retry: bool,
    ) -> Result<response::Response, Failure> {
        let timeout = if may_retry {
            timeout.min(ERROR_BODY_TIMEOUT)
        } else {
            timeout
        };
        let (parts, bytes, _) = self.read_limited(timeout, MAX_ERROR_BYTES).await?;
        Ok(response::buffered(headers::response_parts(parts), bytes))
    }

    async fn read_limited(
        self,
        timeout: clock::Millis,
        max_bytes: usize,
    ) -> Result<(http::response::Parts, Bytes, in_flight::InFlight), Failure> {
        let host = &self.in_flight.host;
        let free_memory = async || host.free_memory().await;
        let mut body = self.body;
        let reading = bodies::read(&mut body, max_bytes, &host.memory, free_memory);
        let bytes = match time::timeout(timeout.duration(), reading).await {
            Err(_) => return Err(Failure::Timeout),
            Ok(Err(bodies::Error::Broken)) => return Err(Failure::Truncated),
            Ok(Err(bodies::Error::TooLarge | bodies::Error::Exhausted)) => {
                return Err(Failure::TooLarge);
            }
            Ok(Ok(bytes)) => bytes,
        };
        self.in_flight.record_bytes(bytes.len());
        self.in_flight.keep_connection(self.conn, &self.meta);
        Ok((self.parts, bytes, self.in_flight))
    }

    /// Separates the status and headers from the stream, which is read later.
    pub fn into_stream(self) -> (http::response::Parts, RunningStream) {
        let running = RunningStream {
            body: self.body,
            meta: self.meta,
            in_flight: self.in_flight,
            conn: self.conn,
        };
        (self.parts, running)
    }
}

/// A streaming response. Dropping it before its end cancels the request at the upstream.
pub struct RunningStream {
    /// Remaining body of the response.
    pub body: body::Incoming,
    /// Information from the response's headers.
    meta: ports::ResponseMeta,
    /// Accounting entry of the request, removed when dropped.
    pub in_flight: in_flight::InFlight,
    conn: http_client::Connection,
}

impl RunningStream {
    /// Returns the connection to the pool. Must be called only at the end of the stream.
    pub fn keep_connection(self) {
        self.in_flight.keep_connection(self.conn, &self.meta);
    }
}

/// Sends `call` to the selected upstream and waits for the head of the response. The attempt fails
/// after `timeout`, or when no data arrives from the upstream for `stall_timeout`.
pub async fn send(
    host: &rc::Rc<host::Host>,
    call: &Call,
    selection: selection::Selection,
    last_event_id: Option<u64>,
    timeout: clock::Millis,
    stall_timeout: clock::Millis,
) -> Outcome {
    let in_flight = in_flight::InFlight::new(host, call, selection);
    let Some(request) = build_request(host, call, &in_flight.selection, last_event_id) else {
        return Outcome::NotRun(Failure::Connect);
    };
    let result = tokio::select! {
        result = exchange(host, call, &in_flight, request) => result,
        () = time::sleep(timeout.duration()) => Err(Outcome::MayHaveRun(Failure::Timeout)),
        () = in_flight.wait_for_stall(stall_timeout) => Err(Outcome::MayHaveRun(Failure::Stalled)),
    };
    let (response, conn) = match result {
        Err(outcome) => return outcome,
        Ok(response) => response,
    };
    in_flight.record_data();
    classify_response(host, call, in_flight, response, conn).await
}

/// Sends the request on a pooled connection. If that connection accepted no byte of the request, or
/// there is none, sends it on a new connection.
async fn exchange(
    host: &host::Host,
    call: &Call,
    in_flight: &in_flight::InFlight,
    mut request: http::Request<Full<Bytes>>,
) -> Result<(http::Response<body::Incoming>, http_client::Connection), Outcome> {
    let address = in_flight.selection.address;
    let max_idle = (!call.route.is_retryable()).then_some(MAX_REUSE_IDLE_AGE);
    let pooled = host.pool.take(address, host.now(), max_idle);
    if let Some(conn) = pooled {
        match conn.send(request).await {
            http_client::SendOutcome::Response(response, conn) => return Ok((response, conn)),
            http_client::SendOutcome::Lost => {
                return Err(Outcome::MayHaveRun(Failure::ConnectionLost));
            }
            http_client::SendOutcome::Unsent(unsent) => {
                let upstream = &in_flight.selection.name;
                tracing::info!(event = "connection_unusable", id = call.meta.id, %upstream);
                request = unsent;
            }
        }
    }
    let opening_at = host.now();
    let opened = http_client::Connection::open(address, CONNECT_TIMEOUT).await;
    let result = opened.as_ref().map(|_| ()).map_err(|e| *e);
    offloading::record_connection(host, &in_flight.selection, opening_at, result);
    let Ok(conn) = opened else {
        return Err(Outcome::NotRun(Failure::Connect));
    };
    match conn.send(request).await {
        http_client::SendOutcome::Response(response, conn) => Ok((response, conn)),
        http_client::SendOutcome::Lost => Err(Outcome::MayHaveRun(Failure::ConnectionLost)),
        http_client::SendOutcome::Unsent(_) => Err(Outcome::NotRun(Failure::Connect)),
    }
}

/// Builds the request to the upstream, or returns `None` if the client's deadline has passed.
fn build_request(
    host: &host::Host,
    call: &Call,
    selection: &selection::Selection,
    last_event_id: Option<u64>,
) -> Option<http::Request<Full<Bytes>>> {
    let now = host.now();
    let remaining = call.client_deadline.since(now);
    if remaining == clock::Millis::ZERO {
        return None;
    }
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let upstream_meta = ports::UpstreamMeta {
        upstream: &selection.name,
        remaining,
        team: call.team.as_ref().map(|t| &t.name),
        tier: call.tier,
        last_event_id,
    };
    host.protocol
        .write_request(request.headers_mut(), upstream_meta);
    Some(request)
}

/// Records what the upstream says of itself in a response to this host. It holds for the process that
/// the request was sent to, also if that is no longer listed: its entry may come back.
fn record_announcements(
    host: &host::Host,
    selection: &selection::Selection,
    parts: &http::response::Parts,
    meta: &ports::ResponseMeta,
) {
    let now = host.now();
    let upstream = &selection.name;
    let process = selection.process;
    let mut fleet = host.fleet.borrow_mut();
    let announcements = &mut fleet.announcements;
    if meta.leaving && announcements.record_leaving(process, now) {
        host.pool.close_idle(selection.address);
        host.metrics.record_announcement("leaving");
        tracing::info!(event = "upstream_says_leaving", %upstream);
    }
    let is_unavailable = parts.status == http::StatusCode::SERVICE_UNAVAILABLE;
    if let Some(pause) = meta.retry_after.filter(|_| is_unavailable) {
        let until = announcements.record_pause(process, pause, rand::random(), now);
        host.metrics.record_announcement("pause");
        let granted_ms = until.since(now).0;
        tracing::info!(event = "upstream_asks_pause", %upstream, pause_ms = pause.0, granted_ms);
    }
}

/// Records how long the upstream says that it stays cold. A request that another process has answered
/// with 421 does not count as sent.
fn record_warm_up(
    host: &host::Host,
    in_flight: &in_flight::InFlight,
    meta: &ports::ResponseMeta,
    verdict: verdict::Verdict,
) {
    let (process, sent_at) = (in_flight.selection.process, in_flight.sent_at);
    let mut fleet = host.fleet.borrow_mut();
    match verdict {
        verdict::Verdict::NotRun(Failure::Misdirected) => {
            fleet.warm_up.take_back(process, sent_at);
        }
        verdict::Verdict::MayHaveRun(Failure::WrongRequestId) => {}
        _ => {
            if let Some(left) = meta.cold_left {
                let now = host.now();
                fleet.warm_up.record_response(process, left, sent_at, now);
            }
        }
    }
}

/// Checks that the response belongs to this request, and determines the outcome of the attempt.
async fn classify_response(
    host: &rc::Rc<host::Host>,
    call: &Call,
    in_flight: in_flight::InFlight,
    response: http::Response<body::Incoming>,
    conn: http_client::Connection,
) -> Outcome {
    let reused = conn.reused;
    let (parts, body) = response.into_parts();
    let meta = host.protocol.read_response(&parts.headers);
    if let Some(load) = meta.load {
        let now = host.now();
        host.fleet
            .borrow_mut()
            .record_load(&in_flight.selection.name, load, now);
    }
    let verdict = verdict::of(parts.status, &meta, &call.meta.id, reused);
    if meta.refused || !parts.status.is_success() {
        tracing::info!(
            event = "upstream_status",
            id = call.meta.id,
            upstream = %in_flight.selection.name,
            status = parts.status.as_u16(),
            says_not_run = meta.refused,
            signed = meta.signed,
            named = meta.request_id.is_some(),
            reused,
        );
    }
    let speaks_for_process = !matches!(
        verdict,
        verdict::Verdict::MayHaveRun(Failure::WrongRequestId)
            | verdict::Verdict::NotRun(Failure::Misdirected)
    );
    if speaks_for_process {
        record_announcements(host, &in_flight.selection, &parts, &meta);
    }
    record_warm_up(host, &in_flight, &meta, verdict);
    let head = ResponseHead {
        parts,
        body,
        meta,
        in_flight,
        conn,
    };
    match verdict {
        verdict::Verdict::PassOn => Outcome::Response(Box::new(head)),
        verdict::Verdict::NotRun(failure) => {
            // Without its complete body the connection is closed instead of returned to the pool.
            let _ = head.read_body(REFUSAL_BODY_TIMEOUT).await;
            Outcome::NotRun(failure)
        }
        verdict::Verdict::MayHaveRun(Failure::Unconfirmed) => {
            let _ = head.read_body(REFUSAL_BODY_TIMEOUT).await;
            Outcome::MayHaveRun(Failure::Unconfirmed)
        }
        verdict::Verdict::MayHaveRun(failure) => Outcome::MayHaveRun(failure),
    }
}
