//! HTTP/1.1 connections to upstreams and to the platform: opened, kept and cancelled.

use std::cell;
use std::collections;
use std::net;

use base::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::{net as tokio_net, task, time};

/// How long a connection may hold unacknowledged bytes before the kernel resets it.
const SILENCE: clock::Millis = clock::Millis(3_000);
/// How long before its announced end an idle connection is no longer used.
const IDLE_MARGIN: clock::Millis = clock::Millis(500);
/// How long an idle connection is kept if its peer announces nothing.
const IDLE_DEFAULT: clock::Millis = clock::Millis(4_000);
/// How long a kept connection may take to become ready again.
const READY: clock::Millis = clock::Millis(20);

/// An open connection. Dropping it closes it, and with it whatever runs on it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::AbortHandle,
    used: clock::Millis,
    until: clock::Millis,
    /// Whether it has served a request before.
    pub reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// What came of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// The head of an answer, on its connection.
    Response(http::Response<body::Incoming>, Connection),
    /// No byte was written: the request is given back.
    Unsent(http::Request<Full<Bytes>>),
    /// It was written, and no readable head came.
    Lost,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// No connection within `limit`.
    pub async fn open(address: net::SocketAddr, limit: clock::Millis) -> Result<Self, OpenError> {
        let connect = time::timeout(limit.duration(), tokio_net::TcpStream::connect(address));
        let stream = match connect.await {
            Err(_) => return Err(OpenError::TimedOut),
            Ok(Err(_)) => return Err(OpenError::Refused),
            Ok(Ok(stream)) => stream,
        };
        if let Err(e) = prepare(&stream) {
            tracing::warn!(event = "socket_option", %address, error = %e);
        }
        let io = rt::TokioIo::new(stream);
        let shake = http1::Builder::new().handshake(io).await;
        let Ok((sender, connection)) = shake else {
            return Err(OpenError::Refused);
        };
        let task = task::spawn_local(async move {
            // The error is told to the request that waits on the connection.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            used: clock::Millis::ZERO,
            until: clock::Millis::ZERO,
            reused: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn send(mut self, request: http::Request<Full<Bytes>>) -> SendOutcome {
        if self.reused {
            let ready = time::timeout(READY.duration(), self.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return SendOutcome::Unsent(request);
            }
        }
        match self.sender.try_send_request(request).await {
            Ok(answer) => SendOutcome::Response(answer, self),
            Err(mut e) => match e.take_message() {
                Some(request) => SendOutcome::Unsent(request),
                None => SendOutcome::Lost,
            },
        }
    }
}

/// Why no connection was opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenError {
    /// The other side refused.
    Refused,
    /// Nothing came in time.
    TimedOut,
}

fn prepare(stream: &tokio_net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // Bytes that are still unsent when the connection is dropped must not arrive later.
    socket.set_linger(Some(std::time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(SILENCE.duration()))
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: cell::RefCell<collections::HashMap<net::SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// The connection used last that is still usable and was idle for `freshest` at most.
    pub fn take(
        &self,
        address: net::SocketAddr,
        now: clock::Millis,
        freshest: Option<clock::Millis>,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        list.retain(|c| !c.sender.is_closed() && now < c.until);
        if freshest.is_some_and(|f| list.last().is_some_and(|c| now.since(c.used) > f)) {
            return None;
        }
        list.pop()
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(
        &self,
        address: net::SocketAddr,
        mut conn: Connection,
        now: clock::Millis,
        idle: Option<clock::Millis>,
    ) {
        if conn.sender.is_closed() {
            return;
        }
        let idle = idle.map_or(IDLE_DEFAULT, |i| clock::Millis(i.since(IDLE_MARGIN).0));
        if idle == clock::Millis::ZERO {
            return;
        }
        conn.reused = true;
        conn.used = now;
        conn.until = now + idle;
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(conn);
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: net::SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections whose time is over.
    pub fn remove_expired(&self, now: clock::Millis) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|c| !c.sender.is_closed() && now < c.until);
            !list.is_empty()
        });
    }
}
