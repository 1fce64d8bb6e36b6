//! One try of a request at one upstream, up to the head of its answer.

use std::cell;
use std::rc;

use base::{clock, name};
use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::body;
use tokio::time;

use crate::{band, fleet, host, http_client, model, ports};

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
    pub ask: ports::Ask,
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
    pub band: band::Band,
    /// The configuration that it was routed by.
    pub version: u64,
    /// When its head was read.
    pub arrived: clock::Millis,
    /// When its caller stops waiting.
    pub deadline: clock::Millis,
    /// When it must have its end.
    pub until: clock::Millis,
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
    Lost,
    /// The answer is another request's.
    Foreign,
    /// A success without the upstream's signature.
    Unsigned,
    /// No answer in time.
    Slow,
    /// Nothing at all came from the upstream.
    Silent,
    /// The answer broke off.
    Broken,
    /// The upstream answered with a failure of its own.
    Failed,
}

impl Failure {
    /// The stable text for logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Refused => "refused",
            Self::Misdirected => "misdirected",
            Self::Lost => "lost",
            Self::Foreign => "foreign",
            Self::Unsigned => "unsigned",
            Self::Slow => "slow",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Failed => "failed",
        }
    }
}

/// What came of a try.
pub enum Outcome {
    /// The head of the upstream's answer.
    Head(Box<Head>),
    /// It certainly did not run.
    NotRun(Failure),
    /// It may have run.
    MayHaveRun(Failure),
}

/// The head of an upstream's answer, and what it runs on.
pub struct Head {
    /// Status and headers as they came.
    pub parts: http::response::Parts,
    /// The rest.
    pub body: body::Incoming,
    /// What the head says.
    pub reply: ports::Reply,
    /// Where it runs.
    pub flight: Flight,
    conn: http_client::Connection,
}

impl Head {
    /// Reads the whole body and keeps the connection.
    ///
    /// # Errors
    ///
    /// The body broke off, is too large, or is not whole by `limit`.
    pub async fn whole(
        self,
        limit: clock::Millis,
    ) -> Result<(http::response::Parts, Bytes, Flight), Failure> {
        let limited = http_body_util::Limited::new(self.body, MAX_ANSWER_BYTES);
        let bytes = match time::timeout(limit.duration(), limited.collect()).await {
            Err(_) => return Err(Failure::Slow),
            Ok(Err(_)) => return Err(Failure::Broken),
            Ok(Ok(collected)) => collected.to_bytes(),
        };
        self.flight.keep(self.conn, &self.reply);
        Ok((self.parts, bytes, self.flight))
    }

    /// Splits off what a stream needs while it runs.
    pub fn stream(self) -> (http::response::Parts, Running) {
        let running = Running {
            body: self.body,
            reply: self.reply,
            flight: self.flight,
            conn: self.conn,
        };
        (self.parts, running)
    }
}

/// A stream that runs at an upstream. Dropping it cancels it there.
pub struct Running {
    /// Its bytes.
    pub body: body::Incoming,
    /// What its head said.
    reply: ports::Reply,
    /// Where it runs.
    pub flight: Flight,
    conn: http_client::Connection,
}

impl Running {
    /// Keeps the connection after the stream's end.
    pub fn finish(self) {
        self.flight.keep(self.conn, &self.reply);
    }
}

/// A request at an upstream, counted there until it is dropped.
pub struct Flight {
    host: rc::Rc<host::Host>,
    /// Where it is.
    pub pick: fleet::Pick,
    /// When it was sent.
    pub sent: clock::Millis,
    unread: cell::Cell<bool>,
}

impl Flight {
    fn new(host: &rc::Rc<host::Host>, call: &Call, pick: fleet::Pick) -> Self {
        let now = host.now();
        host.fleet.borrow_mut().begin(&pick, &call.ask.parts, now);
        Self {
            host: host.clone(),
            pick,
            sent: now,
            unread: cell::Cell::new(true),
        }
    }

    /// Its prompt was read.
    pub fn read(&self) {
        if self.unread.replace(false) {
            let mut fleet = self.host.fleet.borrow_mut();
            fleet.read(&self.pick.name, self.pick.unread);
        }
    }

    /// Bytes of its answer came.
    pub fn heard(&self) {
        let now = self.host.now();
        self.host.fleet.borrow_mut().hear(&self.pick.name, now);
    }

    /// Waits until the upstream has given no byte of any answer for `limit`.
    pub async fn silent(&self, limit: clock::Millis) {
        loop {
            let since = self.host.now();
            time::sleep(limit.duration()).await;
            let fleet = self.host.fleet.borrow();
            if !fleet.is_heard_since(&self.pick.name, since) {
                return;
            }
        }
    }

    fn keep(&self, conn: http_client::Connection, reply: &ports::Reply) {
        let now = self.host.now();
        let pool = &self.host.pool;
        pool.put(self.pick.address, conn, now, reply.idle);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.read();
        self.host.fleet.borrow_mut().end(&self.pick.name);
    }
}

/// Sends `call` to `pick` and waits `limit` for the head of the answer, or `silence` if the
/// upstream gives no byte of any answer meanwhile.
pub async fn send(
    host: &rc::Rc<host::Host>,
    call: &Call,
    pick: fleet::Pick,
    resume: Option<u64>,
    limit: clock::Millis,
    silence: clock::Millis,
) -> Outcome {
    let flight = Flight::new(host, call, pick);
    let Some(request) = request(host, call, &flight.pick, resume) else {
        return Outcome::NotRun(Failure::Connect);
    };
    let exchanged = tokio::select! {
        exchanged = exchange(host, call, &flight, request) => exchanged,
        () = time::sleep(limit.duration()) => Err(Outcome::MayHaveRun(Failure::Slow)),
        () = flight.silent(silence) => Err(Outcome::MayHaveRun(Failure::Silent)),
    };
    let (answer, conn) = match exchanged {
        Err(outcome) => return outcome,
        Ok(answer) => answer,
    };
    flight.heard();
    judge(host, call, flight, answer, conn).await
}

/// Sends on a kept connection, or on a new one if the kept one took no byte.
async fn exchange(
    host: &host::Host,
    call: &Call,
    flight: &Flight,
    mut request: http::Request<Full<Bytes>>,
) -> Result<(http::Response<body::Incoming>, http_client::Connection), Outcome> {
    let address = flight.pick.address;
    let freshest = (!call.route.repeats()).then_some(FRESH);
    let kept = host.pool.take(address, host.now(), freshest);
    if let Some(conn) = kept {
        match conn.send(request).await {
            http_client::SendOutcome::Response(answer, conn) => return Ok((answer, conn)),
            http_client::SendOutcome::Lost => return Err(Outcome::MayHaveRun(Failure::Lost)),
            http_client::SendOutcome::Unsent(back) => request = back,
        }
    }
    let Ok(conn) = http_client::Connection::open(address, CONNECT).await else {
        return Err(Outcome::NotRun(Failure::Connect));
    };
    match conn.send(request).await {
        http_client::SendOutcome::Response(answer, conn) => Ok((answer, conn)),
        http_client::SendOutcome::Lost => Err(Outcome::MayHaveRun(Failure::Lost)),
        http_client::SendOutcome::Unsent(_) => Err(Outcome::NotRun(Failure::Connect)),
    }
}

fn request(
    host: &host::Host,
    call: &Call,
    pick: &fleet::Pick,
    resume: Option<u64>,
) -> Option<http::Request<Full<Bytes>>> {
    let now = host.now();
    let left = call.deadline.since(now);
    if left == clock::Millis::ZERO {
        return None;
    }
    let mut request = http::Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let send = ports::Send {
        upstream: &pick.name,
        left,
        team: call.team.as_ref().map(|t| &t.name),
        tier: call.tier,
        resume,
    };
    host.dialect.send(request.headers_mut(), send);
    Some(request)
}

/// Whether the answer is this request's and what it says.
async fn judge(
    host: &rc::Rc<host::Host>,
    call: &Call,
    flight: Flight,
    answer: http::Response<body::Incoming>,
    conn: http_client::Connection,
) -> Outcome {
    let kept = conn.reused;
    let (parts, body) = answer.into_parts();
    let reply = host.dialect.reply(&parts.headers);
    if let Some(load) = reply.load {
        let now = host.now();
        host.fleet.borrow_mut().report(&flight.pick.name, load, now);
    }
    let misdirected = parts.status == http::StatusCode::MISDIRECTED_REQUEST;
    let own = match &reply.id {
        Some(id) => *id == call.ask.id,
        // Refusals may come without an id; a stray answer of an earlier request has one.
        None => (reply.refused || misdirected) || !kept && !parts.status.is_success(),
    };
    if !own {
        return Outcome::MayHaveRun(Failure::Foreign);
    }
    if reply.refused || misdirected {
        let head = Head {
            parts,
            body,
            reply,
            flight,
            conn,
        };
        // The connection is closed if the rest does not come.
        let _ = head.whole(REST).await;
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
    Outcome::Head(Box::new(Head {
        parts,
        body,
        reply,
        flight,
        conn,
    }))
}
