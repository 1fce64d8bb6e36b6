//! Listeners for clients, for the load balancer's readiness probe and for metrics.

use std::io;
use std::net;
use std::pin;
use std::rc;
use std::task;

use base::clock;
use hyper::body;
use hyper::rt;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt as util;
use tokio::{net as tokio_net, task as tokio_task, time};

use crate::{connections, host, response, serve};

/// Delay after a connection could not be accepted, as when the process has no free file
/// descriptors.
const ACCEPT_RETRY_DELAY: clock::Millis = clock::Millis(50);
/// Length of the queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Largest number of bytes read from a client at a time.
const MAX_READ_BYTES: usize = 8 << 10;
/// Limit of a request head in bytes while no configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Smallest limit of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Time for a request head to arrive while no configuration is known.
const DEFAULT_HEAD_TIMEOUT: clock::Millis = clock::Millis(3_000);
/// Least time between two checks of a connection's timeouts.
const MIN_CHECK_INTERVAL: clock::Millis = clock::Millis(50);
/// Time between two requests on a connection while no configuration is known.
const DEFAULT_IDLE_TIMEOUT: clock::Millis = clock::Millis(15_000);

/// Opens a TCP listener on an IPv4 address.
///
/// # Errors
///
/// The address cannot be bound.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Socket of a client that records when bytes of a request head arrive.
struct MonitoredSocket {
    io: util::TokioIo<tokio_net::TcpStream>,
    activity: rc::Rc<connections::Activity>,
}

impl rt::Read for MonitoredSocket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        mut buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let mut bytes = [0; MAX_READ_BYTES];
        let capacity = buf.remaining().min(MAX_READ_BYTES);
        let mut received = rt::ReadBuf::new(&mut bytes[..capacity]);
        task::ready!(pin::Pin::new(&mut self.io).poll_read(cx, received.unfilled()))?;
        self.activity.record_read(received.filled())?;
        buf.put_slice(received.filled());
        task::Poll::Ready(Ok(()))
    }
}

impl rt::Write for MonitoredSocket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.io).poll_write(cx, buf);
        self.activity.record_write(written.is_pending());
        written
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.activity.record_write(written.is_pending());
        written
    }
}

/// Accepts and serves connections of clients until the process ends.
pub async fn serve_clients(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
                continue;
            }
        };
        if host.connections.make_place(host.now(), &host.metrics).await {
            let open = OpenConnection::new(&host);
            tokio_task::spawn_local(serve_connection(open, stream));
        }
    }
}

/// Connection in the list of open ones until it is dropped.
struct OpenConnection {
    host: rc::Rc<host::Host>,
    activity: rc::Rc<connections::Activity>,
    id: u64,
}

impl OpenConnection {
    fn new(host: &rc::Rc<host::Host>) -> Self {
        let activity = connections::Activity::new(host.clock.clone(), &host.memory);
        let activity = rc::Rc::new(activity);
        Self {
            host: host.clone(),
            id: host.connections.add(activity.clone()),
            activity,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.host.connections.remove(self.id);
    }
}

async fn serve_connection(open: OpenConnection, stream: tokio_net::TcpStream) {
    let (host, activity) = (&open.host, &open.activity);
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "socket_option", error = %e);
    }
    let limits = host.current_config().map(|c| c.limits);
    let max_head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.head_bytes);
    let io = MonitoredSocket {
        io: util::TokioIo::new(stream),
        activity: activity.clone(),
    };
    let served = (host.clone(), activity.clone());
    let service = service::service_fn(move |request| respond(served.clone(), request));
    let mut connection = pin::pin!(
        http1::Builder::new()
            .max_buf_size(max_head_bytes.max(MIN_HEAD_BYTES))
            .serve_connection(io, service)
    );
    let mut phase = host.phase.subscribe();
    // A connection accepted while the host closes idle connections serves a single request.
    let mut closing = *phase.borrow() >= host::Phase::Closing;
    loop {
        let head_timeout = limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout);
        let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout);
        tokio::select! {
            // Connection errors are caused by the client and not logged; each request has a log
            // line of its own.
            _ = connection.as_mut() => return,
            () = activity.wait_for_close() => return,
            _ = phase.wait_for(|p| *p >= host::Phase::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(head_timeout.max(MIN_CHECK_INTERVAL).duration()) => {
                if activity.is_timed_out(head_timeout, idle_timeout) {
                    connection.as_mut().graceful_shutdown();
                    if activity.is_receiving_head() {
                        return;
                    }
                }
            }
        }
    }
}

/// Guard that counts a request as in progress until its response is written.
struct RequestGuard(rc::Rc<connections::Activity>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

async fn respond(
    (host, activity): (rc::Rc<host::Host>, rc::Rc<connections::Activity>),
    request: http::Request<body::Incoming>,
) -> Result<http::Response<GuardedBody>, std::convert::Infallible> {
    let ambiguous = activity.begin_request();
    let guard = RequestGuard(activity.clone());
    let mut response = if ambiguous {
        serve::refuse_ambiguous_length(&host)
    } else {
        serve::serve(host.clone(), request).await
    };
    if ambiguous || host.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    let length = body::Body::size_hint(response.body()).exact();
    activity.begin_response(length.unwrap_or_default() as usize);
    Ok(response.map(|body| GuardedBody {
        body,
        _guard: guard,
    }))
}

/// Response body that counts its request as in progress until it is written.
struct GuardedBody {
    body: response::Body,
    _guard: RequestGuard,
}

impl body::Body for GuardedBody {
    type Data = bytes::Bytes;
    type Error = response::BodyAborted;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<bytes::Bytes>, response::BodyAborted>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

/// Serves the load balancer's readiness probe: 200 if this host accepts clients, 503 otherwise.
pub async fn serve_readiness(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    serve_all(listener, move || {
        let ready = host.is_ready();
        let mut response = http::Response::new(response::Body::Buffered(None));
        if !ready {
            *response.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    })
    .await;
}

/// Serves the metrics as text on every path.
pub async fn serve_metrics(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    serve_all(listener, move || {
        let text = host.metrics.render();
        http::Response::new(response::Body::Buffered(Some(text.into())))
    })
    .await;
}

/// Serves every request on `listener` with the response made by `respond`.
async fn serve_all(
    listener: rc::Rc<tokio_net::TcpListener>,
    respond: impl Fn() -> response::Response + 'static,
) {
    let respond = rc::Rc::new(respond);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
                continue;
            }
        };
        let respond = respond.clone();
        tokio_task::spawn_local(async move {
            let service = service::service_fn(move |_: http::Request<body::Incoming>| {
                let response = respond();
                async move { Ok::<_, std::convert::Infallible>(response) }
            });
            let served = http1::Builder::new()
                .serve_connection(util::TokioIo::new(stream), service)
                .await;
            if let Err(e) = served {
                tracing::debug!(event = "connection_ended", error = %e);
            }
        });
    }
}
