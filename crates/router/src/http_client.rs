//! HTTP/1.1 client for upstreams and the platform: connections that can be cancelled, and a pool of
//! idle ones.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::{net as tokio_net, task, time};

use crate::response_head;

/// Time for which sent bytes may stay unacknowledged before the kernel resets the connection.
const TCP_USER_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// Time without bytes after which the kernel probes a connection, and time between two probes.
const KEEPALIVE_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Safety margin before the idle timeout announced by the server: a connection that is this close
/// to it is not used any more.
const IDLE_MARGIN: clock::Millis = clock::Millis(500);
/// Time for which an idle connection is kept if the server announces no idle timeout.
const DEFAULT_IDLE_TIMEOUT: clock::Millis = clock::Millis(4_000);
/// Limit of a response head, and of the body bytes read at a time.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// Time for a pooled connection to become ready for the next request.
const READY_TIMEOUT: clock::Millis = clock::Millis(20);

/// Open connection. Dropping it closes it and so cancels the request that runs on it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: task::AbortHandle,
    head: rc::Rc<response_head::AwaitedHead>,
    last_used: clock::Millis,
    expires_at: clock::Millis,
    /// Whether this connection has served a request before.
    pub reused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Outcome of sending a request.
#[derive(Debug)]
pub enum SendOutcome {
    /// Head of the response, and the connection on which its body follows.
    Response(http::Response<body::Incoming>, Connection),
    /// No byte of the request was written; the request is returned.
    Unsent(http::Request<Full<Bytes>>),
    /// The request was written at least in part, and no valid response head arrived.
    Lost,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// The connection is refused, or not established within `limit`.
    pub async fn open(address: net::SocketAddr, limit: clock::Millis) -> Result<Self, OpenError> {
        let connect = time::timeout(limit.duration(), tokio_net::TcpStream::connect(address));
        let stream = match connect.await {
            Err(_) => return Err(OpenError::TimedOut),
            Ok(Err(_)) => return Err(OpenError::Refused),
            Ok(Ok(stream)) => stream,
        };
        if let Err(e) = set_socket_options(&stream) {
            tracing::warn!(event = "socket_option", %address, error = %e);
        }
        let head = rc::Rc::new(response_head::AwaitedHead::default());
        let io = response_head::CheckedSocket::new(rt::TokioIo::new(stream), head.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(io)
            .await;
        let Ok((sender, connection)) = handshake else {
            return Err(OpenError::Refused);
        };
        let task = task::spawn_local(async move {
            // An error of the connection is returned to the request that waits on it.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
            head,
            last_used: clock::Millis::ZERO,
            expires_at: clock::Millis::ZERO,
            reused: false,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(mut self, request: http::Request<Full<Bytes>>) -> SendOutcome {
        if self.reused {
            let ready = time::timeout(READY_TIMEOUT.duration(), self.sender.ready()).await;
            if !matches!(ready, Ok(Ok(()))) {
                return SendOutcome::Unsent(request);
            }
        }
        self.head.await_next();
        match self.sender.try_send_request(request).await {
            Ok(response) => SendOutcome::Response(response, self),
            Err(mut e) => match e.take_message() {
                Some(request) => SendOutcome::Unsent(request),
                None => {
                    if e.error().is_parse() {
                        tracing::info!(event = "response_invalid", fault = %e.error());
                    }
                    SendOutcome::Lost
                }
            },
        }
    }
}

/// Reason why a connection could not be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenError {
    /// The server refused the connection, or the HTTP handshake failed.
    Refused,
    /// The connection was not established in time.
    TimedOut,
}

fn set_socket_options(stream: &tokio_net::TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    // Discards unsent bytes when the connection is dropped, so that they do not arrive after the
    // request was cancelled.
    socket.set_linger(Some(std::time::Duration::ZERO))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL.duration())
        .with_interval(KEEPALIVE_INTERVAL.duration());
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT.duration()))
}

/// Pool of idle connections by server address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: cell::RefCell<collections::HashMap<net::SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Takes the most recently used connection to `address` that is still usable. With `max_idle`,
    /// returns `None` if that connection was idle for longer.
    pub fn take(
        &self,
        address: net::SocketAddr,
        now: clock::Millis,
        max_idle: Option<clock::Millis>,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&address)?;
        list.retain(|c| !c.sender.is_closed() && now < c.expires_at);
        if max_idle.is_some_and(|max| list.last().is_some_and(|c| now.since(c.last_used) > max)) {
            return None;
        }
        list.pop()
    }

    /// Keeps a connection whose response was read to its end. `idle_timeout` is the timeout
    /// announced by the server.
    pub fn put(
        &self,
        address: net::SocketAddr,
        mut conn: Connection,
        now: clock::Millis,
        idle_timeout: Option<clock::Millis>,
    ) {
        if conn.sender.is_closed() {
            return;
        }
        let keep_time = idle_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |i| {
            clock::Millis(i.since(IDLE_MARGIN).0)
        });
        if keep_time == clock::Millis::ZERO {
            return;
        }
        conn.reused = true;
        conn.last_used = now;
        conn.expires_at = now + keep_time;
        self.idle
            .borrow_mut()
            .entry(address)
            .or_default()
            .push(conn);
    }

    /// Closes the idle connections to `address`, as when an upstream leaves.
    pub fn close_idle(&self, address: net::SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes idle connections that have expired or were closed by the server.
    pub fn remove_expired(&self, now: clock::Millis) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|c| !c.sender.is_closed() && now < c.expires_at);
            !list.is_empty()
        });
    }
}
