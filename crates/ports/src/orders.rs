//! Orders to the platform: start and stop upstreams of a data centre.
//!
//! Every order goes out under a term of a lease, on a connection of its own that is shut when the
//! term ends; see [`crate::guard`].

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

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Start the upstream.
    Start,
    /// Stop the upstream.
    Stop,
}

/// One order. Repeating it changes nothing.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// The data centre whose lease covers it.
    pub dc: name::Dc,
    /// The upstream ordered.
    pub upstream: name::Upstream,
    /// What is asked.
    pub action: Action,
    /// The fencing number: the epoch of the lease.
    pub fence: u64,
    /// Who sends it.
    pub holder: String,
}

/// The time in which orders may go out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// The epoch of the lease.
    pub epoch: u64,
    /// On the system clock: no byte of an order is written after it.
    pub deadline: clock::Millis,
}

/// Why an order was not taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The receiver knows a newer fencing number.
    Fenced,
    /// The term ended before or while it was sent.
    TermOver,
    /// It was not sent, or refused.
    NotTaken,
    /// It may have been taken.
    Unknown,
}

/// Points at which a test may freeze the sender.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The lease was checked.
    Checked,
    /// The connection stands.
    Connected,
    /// The order was written, its answer not read.
    Written,
}

/// Called at each step; does nothing outside tests.
pub type Probe = fn(Step);

/// Takes orders.
pub trait Orders: Send + Sync {
    /// Sends one order within `term`.
    ///
    /// # Errors
    ///
    /// See [`Error`]; after `Unknown` it may be sent again.
    fn send(&self, order: &Order, term: Term) -> Result<(), Error>;
}

/// The longest life of an order in flight, from its first byte to its last effect.
pub const MAX_FLIGHT: clock::Millis = clock::Millis(2_000);

/// Posts JSON on guarded connections.
#[derive(Debug)]
pub struct Guarded {
    address: net::SocketAddr,
    clock: clock::Clock,
    probe: Probe,
}

/// An answer's status and body.
pub type Answer = (u16, Vec<u8>);

impl Guarded {
    /// A sender to `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            clock: clock::Clock::System,
            probe: |_| (),
        }
    }

    /// The same sender with `probe` called at each step.
    pub fn with_probe(mut self, probe: Probe) -> Self {
        self.probe = probe;
        self
    }

    /// Posts `body` to `path`, writing no byte after the term's deadline.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn post(&self, path: &str, body: &[u8], term: Term) -> Result<Answer, Error> {
        if self.clock.now() >= term.deadline {
            return Err(Error::TermOver);
        }
        (self.probe)(Step::Checked);
        let guard = guard::Guard::arm(term.deadline).map_err(|_| Error::NotTaken)?;
        let guard = sync::Arc::new(sync::Mutex::new(Slot(guard)));
        let connector = Connector {
            guard: guard.clone(),
            probe: self.probe,
        };
        let agent = agent(connector);
        let sent = agent
            .post(format!("http://{}{path}", self.address))
            .send(body);
        let mut answer = sent.map_err(|e| self.failed(&e, &guard))?;
        let status = answer.status().as_u16();
        let bytes = answer
            .body_mut()
            .read_to_vec()
            .map_err(|_| Error::Unknown)?;
        Ok((status, bytes))
    }

    fn failed(&self, e: &ureq::Error, guard: &sync::Mutex<Slot>) -> Error {
        if http::never_sent(e) {
            return Error::NotTaken;
        }
        let slot = guard.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if slot.0.expired() {
            Error::TermOver
        } else {
            Error::Unknown
        }
    }
}

/// The platform's ordering interface over HTTP: `POST /orders`.
#[derive(Debug)]
pub struct Http(pub Guarded);

impl Orders for Http {
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

/// Moves a guard into the connector. The guard's timer stays with the thread that armed it, and
/// the client calls the connector on that thread.
#[derive(Debug)]
struct Slot(guard::Guard);

// SAFETY: the slot never leaves the thread that made it: `Guarded::post` drops the client, and
// with it the connector, before it returns, and the client starts no thread.
unsafe impl Send for Slot {}

#[derive(Debug)]
struct Connector {
    guard: sync::Arc<sync::Mutex<Slot>>,
    probe: Probe,
}

impl<In: transport::Transport> transport::Connector<In> for Connector {
    type Out = Socket;

    fn connect(
        &self,
        details: &transport::ConnectionDetails<'_>,
        _: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let Some(address) = details.addrs.first() else {
            return Err(ureq::Error::HostNotFound);
        };
        let limit = MAX_FLIGHT.duration();
        let stream = net::TcpStream::connect_timeout(address, limit)
            .map_err(|_| ureq::Error::ConnectionFailed)?;
        bound_flight(&stream, limit)?;
        let mut slot = self
            .guard
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        slot.0.watch(&stream)?;
        (self.probe)(Step::Connected);
        let config = details.config;
        let buffers =
            transport::LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(Socket {
            stream,
            buffers,
            probe: self.probe,
        }))
    }
}

/// Bounds how long written bytes may be retransmitted, and drops them when the socket closes.
fn bound_flight(stream: &net::TcpStream, limit: time::Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let socket = socket2::SockRef::from(stream);
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(limit))
}

/// The order's connection. Its timeouts are set once, by [`bound_flight`].
struct Socket {
    stream: net::TcpStream,
    buffers: transport::LazyBuffers,
    probe: Probe,
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.stream.fmt(f)
    }
}

impl transport::Transport for Socket {
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
        (self.probe)(Step::Written);
        let amount = self.stream.read(self.buffers.input_append_buf())?;
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        false
    }
}

fn agent(connector: Connector) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .proxy(None)
        .max_redirects(0)
        .build();
    ureq::Agent::with_parts(config, connector, resolver::DefaultResolver::default())
}
