//! Orders to the platform, which start and stop the upstreams of a data centre.
//!
//! An order is sent under a lease term, on a separate connection that is shut down when the term
//! ends; see [`crate::guard`].

use std::fmt;
use std::io::Read as _;
use std::io::Write as _;
use std::net;
use std::sync;
use std::time;

use base::{clock, name};
use serde::{Deserialize, Serialize};
use ureq::unversioned::resolver;
use ureq::unversioned::transport;

use crate::{guard, http};

/// Action that an order requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Starts the upstream.
    Start,
    /// Stops the upstream.
    Stop,
}

/// An order to start or stop an upstream. Orders are idempotent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Data centre of the upstream, whose lease the sender must hold.
    pub dc: name::Dc,
    /// Upstream to start or stop.
    pub upstream: name::Upstream,
    /// Whether to start or stop the upstream.
    pub action: Action,
    /// Fencing token: the epoch of the lease.
    pub fence: u64,
    /// Name of the lease holder that sends the order.
    pub holder: String,
}

/// A lease term, within which its holder may send orders and usage reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Epoch of the lease, used as the fencing token.
    pub epoch: u64,
    /// End of the term on the system clock; nothing is sent after it.
    pub deadline: clock::Millis,
}

/// Error of sending an order or a usage report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The platform rejected the request because it has seen a newer fencing token.
    Fenced,
    /// The lease term ended before or while the request was sent.
    TermOver,
    /// The request was not sent, or the platform rejected it.
    NotTaken,
    /// No valid response arrived, so the request may have taken effect.
    Unknown,
}

/// Points in sending an order at which a test may suspend the sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The end of the lease term was checked; no connection is open yet.
    Checked,
    /// The connection is open, and nothing was written yet.
    Connected,
    /// The request was written, and its response not read yet.
    Written,
}

/// Function called at each [`Step`]; does nothing outside tests.
pub type StepHook = fn(Step);

/// Sends orders to the platform.
pub trait OrderSender: Send + Sync {
    /// Sends one order before the end of `term`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; after `Unknown` the same order may be sent again.
    fn send(&self, order: &Order, term: Term) -> Result<(), Error>;
}

/// Longest time from sending the first byte of an order to its last effect. The next lease holder
/// waits it out before it sends orders.
pub const ORDER_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// HTTP client that posts JSON on connections that a [`guard::DeadlineGuard`] shuts down at the end
/// of the lease term.
#[derive(Debug)]
pub struct GuardedClient {
    address: net::SocketAddr,
    clock: clock::Clock,
    step_hook: StepHook,
}

/// Status code and body of an HTTP response.
pub type Response = (u16, Vec<u8>);

impl GuardedClient {
    /// Creates a client for the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            clock: clock::Clock::System,
            step_hook: |_| (),
        }
    }

    /// Sets a function that is called at each step, for tests.
    pub fn with_step_hook(mut self, hook: StepHook) -> Self {
        self.step_hook = hook;
        self
    }

    /// Posts `body` to `path` and returns the response. Nothing is sent after the deadline of
    /// `term`.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn post(&self, path: &str, body: &[u8], term: Term) -> Result<Response, Error> {
        if self.clock.now() >= term.deadline {
            return Err(Error::TermOver);
        }
        (self.step_hook)(Step::Checked);
        let guard = guard::DeadlineGuard::arm(term.deadline).map_err(|_| Error::NotTaken)?;
        let guard = sync::Arc::new(sync::Mutex::new(GuardCell(guard)));
        let connector = Connector {
            guard: guard.clone(),
            step_hook: self.step_hook,
        };
        let agent = agent(connector);
        let sent = agent
            .post(format!("http://{}{path}", self.address))
            .send(body);
        let mut response = sent.map_err(|e| self.classify_error(&e, &guard))?;
        let status = response.status().as_u16();
        let bytes = response
            .body_mut()
            .read_to_vec()
            .map_err(|_| Error::Unknown)?;
        Ok((status, bytes))
    }

    /// Maps a client error to the outcome of the request.
    fn classify_error(&self, e: &ureq::Error, guard: &sync::Mutex<GuardCell>) -> Error {
        if http::never_sent(e) {
            return Error::NotTaken;
        }
        let cell = guard.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if cell.0.is_expired() {
            Error::TermOver
        } else {
            Error::Unknown
        }
    }
}

/// HTTP client that sends orders with `POST /orders`.
#[derive(Debug)]
pub struct Http(pub GuardedClient);

impl OrderSender for Http {
    fn send(&self, order: &Order, term: Term) -> Result<(), Error> {
        let body = serde_json::to_vec(order).map_err(|_| Error::NotTaken)?;
        let (status, _) = self.0.post("/orders", &body, term)?;
        match status {
            200 => Ok(()),
            412 => Err(Error::Fenced),
            _ => Err(Error::NotTaken),
        }
    }
}

/// Wraps a guard so that the connector, which must be `Send`, can hold it. The guard must stay on
/// the thread that armed it, and the client calls the connector on that thread.
#[derive(Debug)]
struct GuardCell(guard::DeadlineGuard);

// SAFETY: the cell never leaves the thread that created it: `GuardedClient::post` drops the client,
// and with it the connector, before it returns, and the client starts no thread.
unsafe impl Send for GuardCell {}

/// Opens the connection of an order and puts it under the guard.
#[derive(Debug)]
struct Connector {
    guard: sync::Arc<sync::Mutex<GuardCell>>,
    step_hook: StepHook,
}

impl<In: transport::Transport> transport::Connector<In> for Connector {
    type Out = GuardedTransport;

    fn connect(
        &self,
        details: &transport::ConnectionDetails<'_>,
        _: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let Some(address) = details.addrs.first() else {
            return Err(ureq::Error::HostNotFound);
        };
        let timeout = ORDER_TIMEOUT.duration();
        let stream = net::TcpStream::connect_timeout(address, timeout)
            .map_err(|_| ureq::Error::ConnectionFailed)?;
        set_socket_limits(&stream, timeout)?;
        let mut cell = self
            .guard
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        cell.0.set_socket(&stream)?;
        (self.step_hook)(Step::Connected);
        let config = details.config;
        let buffers =
            transport::LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(GuardedTransport {
            stream,
            buffers,
            step_hook: self.step_hook,
        }))
    }
}

/// Limits how long the kernel retransmits written bytes, and makes it discard them when the socket
/// closes, so that an order can't arrive after `timeout`.
fn set_socket_limits(stream: &net::TcpStream, timeout: time::Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(timeout))
}

/// Connection of one order. Its timeouts are set once, by [`set_socket_limits`].
struct GuardedTransport {
    stream: net::TcpStream,
    buffers: transport::LazyBuffers,
    step_hook: StepHook,
}

impl fmt::Debug for GuardedTransport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.stream.fmt(f)
    }
}

impl transport::Transport for GuardedTransport {
    fn buffers(&mut self) -> &mut dyn transport::Buffers {
        &mut self.buffers
    }

    fn transmit_output(
        &mut self,
        amount: usize,
        _: transport::NextTimeout,
    ) -> Result<(), ureq::Error> {
        use transport::Buffers as _;
        self.stream.write_all(&self.buffers.output()[..amount])?;
        Ok(())
    }

    fn await_input(&mut self, _: transport::NextTimeout) -> Result<bool, ureq::Error> {
        use transport::Buffers as _;
        (self.step_hook)(Step::Written);
        let amount = self.stream.read(self.buffers.input_append_buf())?;
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

/// Creates an HTTP client that uses `connector` and keeps no idle connections.
fn agent(connector: Connector) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .proxy(None)
        .max_redirects(0)
        .build();
    ureq::Agent::with_parts(config, connector, resolver::DefaultResolver::default())
}
