//! Listeners: callers, the balancer's readiness question, metrics.

use std::cell;
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

use crate::{framing, host, response, serve};

/// Pause after a connection could not be taken, as when descriptors run out.
const ACCEPT_PAUSE: clock::Millis = clock::Millis(50);
/// Connections waiting to be taken.
const BACKLOG: u32 = 1_024;
/// Bytes read from a caller at a time.
const READ_BYTES: usize = 8 << 10;
/// Bytes of a head before the configuration has said how many.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// The least that the library takes as a bound on a head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Time for a head before the configuration has said how long.
const DEFAULT_RECEIVE: clock::Millis = clock::Millis(3_000);
/// Time between requests before the configuration has said how long.
const DEFAULT_IDLE: clock::Millis = clock::Millis(15_000);

/// Opens a listener.
///
/// # Errors
///
/// The address can't be had.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio_net::TcpListener> {
    let socket = tokio_net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// What a connection is doing.
#[derive(Debug)]
struct Activity {
    /// Requests in hand.
    busy: cell::Cell<u32>,
    /// Since when there was none.
    idle: cell::Cell<clock::Millis>,
    /// Since when a head is coming in.
    receiving: cell::Cell<Option<clock::Millis>>,
    /// What was seen of that head.
    head: cell::RefCell<framing::HeadScanner>,
    clock: clock::Clock,
}

impl Activity {
    fn new(clock: clock::Clock) -> Self {
        Self {
            busy: cell::Cell::new(0),
            idle: cell::Cell::new(clock.now()),
            receiving: cell::Cell::new(None),
            head: cell::RefCell::default(),
            clock,
        }
    }

    /// Begins a request; returns whether its head states both a length and a coding.
    fn begin(&self) -> bool {
        self.busy.set(self.busy.get() + 1);
        self.receiving.set(None);
        self.head.take().is_ambiguous()
    }

    fn end(&self) {
        self.busy.set(self.busy.get().saturating_sub(1));
        self.idle.set(self.clock.now());
    }

    fn received(&self, bytes: &[u8]) {
        if self.busy.get() > 0 || bytes.is_empty() {
            return;
        }
        self.head.borrow_mut().push(bytes);
        if self.receiving.get().is_none() {
            self.receiving.set(Some(self.clock.now()));
        }
    }

    /// Whether the caller has taken too long.
    fn is_over(&self, receive: clock::Millis, idle: clock::Millis) -> bool {
        if self.busy.get() > 0 {
            return false;
        }
        let now = self.clock.now();
        match self.receiving.get() {
            Some(since) => now.since(since) >= receive,
            None => now.since(self.idle.get()) >= idle,
        }
    }
}

/// A caller's socket that notes when bytes of a head begin to come.
struct Watched {
    io: util::TokioIo<tokio_net::TcpStream>,
    activity: rc::Rc<Activity>,
}

impl rt::Read for Watched {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        mut buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
        let room = buf.remaining().min(READ_BYTES);
        let mut part = rt::ReadBuf::new(&mut bytes[..room]);
        task::ready!(pin::Pin::new(&mut self.io).poll_read(cx, part.unfilled()))?;
        self.activity.received(part.filled());
        buf.put_slice(part.filled());
        task::Poll::Ready(Ok(()))
    }
}

impl rt::Write for Watched {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io).poll_write(cx, buf)
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
        pin::Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}

/// Takes callers until the process ends.
pub async fn serve_clients(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio_task::spawn_local(caller(host.clone(), stream));
            }
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }
}

/// A connection counted until it ends.
struct Open(rc::Rc<host::Host>);

impl Open {
    fn new(host: &rc::Rc<host::Host>) -> Self {
        host.open_connections.set(host.open_connections.get() + 1);
        Self(host.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0
            .open_connections
            .set(self.0.open_connections.get() - 1);
    }
}

async fn caller(host: rc::Rc<host::Host>, stream: tokio_net::TcpStream) {
    let _open = Open::new(&host);
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "socket_option", error = %e);
    }
    let limits = host.current_config().map(|c| c.limits);
    let head = limits.map_or(DEFAULT_HEAD_BYTES, |l| l.head);
    let activity = rc::Rc::new(Activity::new(host.clock.clone()));
    let io = Watched {
        io: util::TokioIo::new(stream),
        activity: activity.clone(),
    };
    let served = (host.clone(), activity.clone());
    let service = service::service_fn(move |request| answer(served.clone(), request));
    let mut connection = pin::pin!(
        http1::Builder::new()
            .max_buf_size(head.max(MIN_HEAD_BYTES))
            .serve_connection(io, service)
    );
    let mut phase = host.phase.subscribe();
    // One that comes while others are closed is served once.
    let mut closing = *phase.borrow() >= host::Phase::Closing;
    loop {
        let receive = limits.map_or(DEFAULT_RECEIVE, |l| l.receive);
        let idle = limits.map_or(DEFAULT_IDLE, |l| l.idle);
        tokio::select! {
            // Errors are the caller's doing; the requests on it have lines of their own.
            _ = connection.as_mut() => return,
            _ = phase.wait_for(|p| *p >= host::Phase::Closing), if !closing => {
                closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(receive.duration()) => {
                if activity.is_over(receive, idle) {
                    connection.as_mut().graceful_shutdown();
                    if activity.receiving.get().is_some() {
                        return;
                    }
                }
            }
        }
    }
}

/// A request in hand on a connection until its answer is written.
struct InHand(rc::Rc<Activity>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.end();
    }
}

async fn answer(
    (host, activity): (rc::Rc<host::Host>, rc::Rc<Activity>),
    request: http::Request<body::Incoming>,
) -> Result<http::Response<Held>, std::convert::Infallible> {
    let double = activity.begin();
    let in_hand = InHand(activity);
    let mut answer = if double {
        serve::refuse_double(&host)
    } else {
        serve::serve(host.clone(), request).await
    };
    if double || host.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(answer.map(|body| Held {
        body,
        _in_hand: in_hand,
    }))
}

/// A body that counts its request as in hand until it is written.
struct Held {
    body: response::Body,
    _in_hand: InHand,
}

impl body::Body for Held {
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

/// Answers the balancer whether this host takes callers.
pub async fn serve_readiness(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    answer_all(listener, move || {
        let ready = host.is_ready();
        let mut answer = http::Response::new(response::Body::Buffered(None));
        if !ready {
            *answer.status_mut() = http::StatusCode::SERVICE_UNAVAILABLE;
        }
        answer
    })
    .await;
}

/// Serves metrics.
pub async fn serve_metrics(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    answer_all(listener, move || {
        let text = host.metrics.render();
        http::Response::new(response::Body::Buffered(Some(text.into())))
    })
    .await;
}

/// Answers each request in the same way.
async fn answer_all(
    listener: rc::Rc<tokio_net::TcpListener>,
    answer: impl Fn() -> response::Response + 'static,
) {
    let answer = rc::Rc::new(answer);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(ACCEPT_PAUSE.duration()).await;
                continue;
            }
        };
        let answer = answer.clone();
        tokio_task::spawn_local(async move {
            let service = service::service_fn(move |_: http::Request<body::Incoming>| {
                let answer = answer();
                async move { Ok::<_, std::convert::Infallible>(answer) }
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
