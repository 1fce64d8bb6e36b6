//! One try of a request at one upstream, up to the head of its answer.

use std::cell;
use std::rc;

use base::{clock, name};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body;
use tokio::time;

use crate::{fleet, host, http_client, model, ports, stream_class};

/// Time to open a connection to an upstream.
const CONNECT: clock::Millis = clock::Millis(300);
/// How long a kept connection may have been idle for a request that runs once: the longer it was
/// idle, the likelier the upstream closes it just now.
const FRESH: clock::Millis = clock::Millis(1_000);
/// Time to read the rest of an upstream's refusal.
const REST: clock::Millis = clock::Millis(20);
/// The largest whole answer kept, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A caller's request, routed and authenticated, ready to be sent.
#[derive(Debug)]
pub struct Call {
    /// What its head said.
    pub meta: ports::RequestMeta,
    /// Its method.
    pub method: http::Method,
    /// Its path and query.
    pub uri: http::Uri,
    /// Its headers, less those of its connection.
    pub headers: http::HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its route.
    pub route: rc::Rc<model::Route>,
    /// The service chosen among the route's shares.
    pub service: name::Service,
    /// Whose key came with it.
    pub team: Option<rc::Rc<model::Team>>,
    /// Its tier.
    pub tier: u8,
    /// Which engines it has first claim on.
    pub stream_class: stream_class::StreamClass,
    /// The configuration that it was routed by.
    pub config_version: u64,
    /// When its head was read.
    pub received_at: clock::Millis,
    /// When its caller stops waiting.
    pub caller_deadline: clock::Millis,
    /// When it must have its end.
    pub finish_by: clock::Millis,
}

/// Why a try failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection.
    Connect,
    /// The upstream says that it did not run it.
    Refused,
    /// Another upstream has the address.
    Misdirected,
    /// The connection ended without an answer.
    ConnectionLost,
    /// The answer is another request's.
    WrongRequestId,
    /// A success without the upstream's signature.
    Unsigned,
    /// No answer in time.
    Timeout,
    /// Nothing at all came from the upstream.
    Stalled,
    /// The answer broke off.
    Truncated,
    /// The upstream answered with a failure of its own.
    ServerError,
}

impl Failure {
    /// The stable text for logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::ConnectionLost => "lost",
            Self::WrongRequestId => "foreign",
            Self::Unsigned => "unsigned",
            Self::Timeout => "slow",
            Self::Stalled => "silent",
            Self::Truncated => "broken",
            Self::ServerError => "failed",
        }
    }
}

/// What came of a try.
pub enum Outcome {
    /// The head of the upstream's answer.
    Response(Box<ResponseHead>),
    /// It certainly did not run.
    NotRun(Failure),
    /// It may have run.
    MayHaveRun(Failure),
}

/// The head of an upstream's answer, and what it runs on.
pub struct ResponseHead {
    /// Status and headers as they came.
    pub parts: http::response::Parts,
    /// The rest.
    pub body: body::Incoming,
    /// What the head says.
    pub meta: ports::ResponseMeta,
    /// Where it runs.
    pub in_flight: InFlight,
    conn: http_client::Connection,
}

impl ResponseHead {
    /// Reads the whole body and keeps the connection.
    ///
    /// # Errors
    ///
    /// The body broke off, is too large, or is not whole by `limit`.
    pub async fn read_body(
        self,
        limit: clock::Millis,
    ) -> Result<(http::response::Parts, Bytes, InFlight), Failure> {
        let limited = http_body_util::Limited::new(self.body, MAX_ANSWER_BYTES);
        let bytes = match time::timeout(limit.duration(), limited.collect()).await {
            Err(_) => return Err(Failure::Timeout),
            Ok(Err(_)) => return Err(Failure::Truncated),
            Ok(Ok(collected)) => collected.to_bytes(),
        };
        self.in_flight.keep_connection(self.conn, &self.meta);
        Ok((self.parts, bytes, self.in_flight))
    }

    /// Splits off what a stream needs while it runs.
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

/// A stream that runs at an upstream. Dropping it cancels it there.
pub struct RunningStream {
    /// Its bytes.
    pub body: body::Incoming,
    /// What its head said.
    meta: ports::ResponseMeta,
    /// Where it runs.
    pub in_flight: InFlight,
    conn: http_client::Connection,
}

impl RunningStream {
    /// Keeps the connection after the stream's end.
    pub fn keep_connection(self) {
        self.in_flight.keep_connection(self.conn, &self.meta);
    }
}

/// A request at an upstream, counted there until it is dropped.
pub struct InFlight {
    host: rc::Rc<host::Host>,
    /// Where it is.
    pub selection: fleet::Selection,
    /// When it was sent.
    pub sent_at: clock::Millis,
    prompt_pending: cell::Cell<bool>,
}

impl InFlight {
    fn new(host: &rc::Rc<host::Host>, call: &Call, pick: fleet::Selection) -> Self {
        let now = host.now();
        host.fleet
            .borrow_mut()
            .record_sent(&pick, &call.meta.prompt_parts, now);
        Self {
            host: host.clone(),
            selection: pick,
            sent_at: now,
            prompt_pending: cell::Cell::new(true),
        }
    }

    /// Its prompt was read.
    pub fn record_prompt_read(&self) {
        if self.prompt_pending.replace(false) {
            let mut fleet = self.host.fleet.borrow_mut();
            fleet.record_prompt_read(&self.selection.name, self.selection.unread_tokens);
        }
    }

    /// Bytes of its answer came.
    pub fn record_data(&self) {
        let now = self.host.now();
        self.host
            .fleet
            .borrow_mut()
            .record_data(&self.selection.name, now);
    }

    /// Waits until the upstream has given no byte of any answer for `limit`.
    pub async fn wait_for_stall(&self, limit: clock::Millis) {
        loop {
            let since = self.host.now();
            time::sleep(limit.duration()).await;
            let fleet = self.host.fleet.borrow();
            if !fleet.has_data_since(&self.selection.name, since) {
                return;
            }
        }
    }

    fn keep_connection(&self, conn: http_client::Connection, reply: &ports::ResponseMeta) {
        let now = self.host.now();
        let pool = &self.host.pool;
        pool.put(self.selection.address, conn, now, reply.idle_timeout);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_prompt_read();
        self.host
            .fleet
            .borrow_mut()
            .record_end(&self.selection.name);
    }
}

/// Sends `call` to `pick` and waits `limit` for the head of the answer, or `silence` if the
/// upstream gives no byte of any answer meanwhile.
pub async fn send(
    host: &rc::Rc<host::Host>,
    call: &Call,
    pick: fleet::Selection,
    resume: Option<u64>,
    limit: clock::Millis,
    silence: clock::Millis,
) -> Outcome {
    let flight = InFlight::new(host, call, pick);
    let Some(request) = request(host, call, &flight.selection, resume) else {
        return Outcome::NotRun(Failure::Connect);
    };
    let exchanged = tokio::select! {
        exchanged = exchange(host, call, &flight, request) => exchanged,
        () = time::sleep(limit.duration()) => Err(Outcome::MayHaveRun(Failure::Timeout)),
        () = flight.wait_for_stall(silence) => Err(Outcome::MayHaveRun(Failure::Stalled)),
    };
    let (answer, conn) = match exchanged {
        Err(outcome) => return outcome,
        Ok(answer) => answer,
    };
    flight.record_data();
    judge(host, call, flight, answer, conn).await
}

/// Sends on a kept connection, or on a new one if the kept one took no byte.
async fn exchange(
    host: &host::Host,
    call: &Call,
    flight: &InFlight,
    mut request: http::Request<Full<Bytes>>,
) -> Result<(http::Response<body::Incoming>, http_client::Connection), Outcome> {
    let address = flight.selection.address;
    let freshest = (!call.route.is_retryable()).then_some(FRESH);
    let kept = host.pool.take(address, host.now(), freshest);
    if let Some(conn) = kept {
        match conn.send(request).await {
            http_client::SendOutcome::Response(answer, conn) => return Ok((answer, conn)),
            http_client::SendOutcome::Lost => {
                return Err(Outcome::MayHaveRun(Failure::ConnectionLost));
            }
            http_client::SendOutcome::Unsent(back) => request = back,
        }
    }
    let Ok(conn) = http_client::Connection::open(address, CONNECT).await else {
        return Err(Outcome::NotRun(Failure::Connect));
    };
    match conn.send(request).await {
        http_client::SendOutcome::Response(answer, conn) => Ok((answer, conn)),
        http_client::SendOutcome::Lost => Err(Outcome::MayHaveRun(Failure::ConnectionLost)),
        http_client::SendOutcome::Unsent(_) => Err(Outcome::NotRun(Failure::Connect)),
    }
}

fn request(
    host: &host::Host,
    call: &Call,
    pick: &fleet::Selection,
    resume: Option<u64>,
) -> Option<http::Request<Full<Bytes>>> {
    let now = host.now();
    let left = call.caller_deadline.since(now);
    if left == clock::Millis::ZERO {
        return None;
    }
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let send = ports::UpstreamMeta {
        upstream: &pick.name,
        remaining: left,
        team: call.team.as_ref().map(|t| &t.name),
        tier: call.tier,
        last_event_id: resume,
    };
    host.dialect.write_request(request.headers_mut(), send);
    Some(request)
}

/// Whether the answer is this request's and what it says.
async fn judge(
    host: &rc::Rc<host::Host>,
    call: &Call,
    flight: InFlight,
    answer: http::Response<body::Incoming>,
    conn: http_client::Connection,
) -> Outcome {
    let kept = conn.reused;
    let (parts, body) = answer.into_parts();
    let reply = host.dialect.read_response(&parts.headers);
    if let Some(load) = reply.load {
        let now = host.now();
        host.fleet
            .borrow_mut()
            .record_load(&flight.selection.name, load, now);
    }
    let misdirected = parts.status == http::StatusCode::MISDIRECTED_REQUEST;
    let own = match &reply.request_id {
        Some(id) => *id == call.meta.id,
        // Refusals may come without an id; a stray answer of an earlier request has one.
        None => (reply.refused || misdirected) || !kept && !parts.status.is_success(),
    };
    if !own {
        return Outcome::MayHaveRun(Failure::WrongRequestId);
    }
    if reply.refused || misdirected {
        let head = ResponseHead {
            parts,
            body,
            meta: reply,
            in_flight: flight,
            conn,
        };
        // The connection is closed if the rest does not come.
        let _ = head.read_body(REST).await;
        let failure = if misdirected {
            Failure::Misdirected
        } else {
            Failure::Refused
        };
        return Outcome::NotRun(failure);
    }
    if parts.status.is_success() && !reply.signed {
        return Outcome::MayHaveRun(Failure::Unsigned);
    }
    Outcome::Response(Box::new(ResponseHead {
        parts,
        body,
        meta: reply,
        in_flight: flight,
        conn,
    }))
}
