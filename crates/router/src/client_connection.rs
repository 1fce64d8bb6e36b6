//! Connection of a client: serves its requests within limits of time and size.

use std::io;
use std::pin;
use std::rc;
use std::task;

use base::clock;
use hyper::body;
use hyper::rt;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt as util;
use tokio::{net as tokio_net, time};

use crate::{connections, response};

/// Largest number of bytes read from a client at a time.
const MAX_READ_BYTES: usize = 8 << 10;
/// Smallest limit of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Least time between two checks of a connection's timeouts.
const MIN_CHECK_INTERVAL: clock::Millis = clock::Millis(50);

/// Limits of a connection and how it writes its responses.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Limit of a request head in bytes.
    pub head_bytes: usize,
    /// Time for a request head to arrive.
    pub head_timeout: clock::Millis,
    /// Time between two requests.
    pub idle_timeout: clock::Millis,
    /// Time in which the client takes no byte of a response; `None` for no limit.
    pub write_timeout: Option<clock::Millis>,
    /// Whether a client that has closed its sending side still gets its response.
    pub half_close: bool,
    /// Whether names of response headers are written in title case.
    pub title_case: bool,
}

/// Serves the requests on `stream` until it is closed. No further request is accepted from the time
/// at which `closing` ends. Connection errors are caused by the client and not reported.
pub async fn serve<S, B>(
    stream: tokio_net::TcpStream,
    activity: &rc::Rc<connections::Activity>,
    options: &Options,
    closing: impl Future<Output = ()>,
    service: S,
) where
    S: service::HttpService<body::Incoming, ResBody = B>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let io = MonitoredSocket {
        io: util::TokioIo::new(stream),
        activity: activity.clone(),
    };
    let mut connection = pin::pin!(
        http1::Builder::new()
            .max_buf_size(options.head_bytes.max(MIN_HEAD_BYTES))
            .half_close(options.half_close)
            .title_case_headers(options.title_case)
            .serve_connection(io, service)
    );
    let mut closing = pin::pin!(closing);
    let mut is_closing = false;
    loop {
        tokio::select! {
            _ = connection.as_mut() => return,
            () = activity.wait_for_close() => return,
            () = closing.as_mut(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = time::sleep(options.head_timeout.max(MIN_CHECK_INTERVAL).duration()) => {
                if options.write_timeout.is_some_and(|t| activity.is_write_timed_out(t)) {
                    return;
                }
                if activity.is_timed_out(options.head_timeout, options.idle_timeout) {
                    connection.as_mut().graceful_shutdown();
                    if activity.is_receiving_head() {
                        return;
                    }
                }
            }
        }
    }
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

/// Guard that counts a request as in progress until its response is written.
#[derive(Debug)]
pub struct RequestGuard(rc::Rc<connections::Activity>);

impl RequestGuard {
    /// Creates the guard of a request that [`connections::Activity::begin_request`] has recorded.
    pub fn new(activity: rc::Rc<connections::Activity>) -> Self {
        Self(activity)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

/// Response body with a guard that is dropped when the body is written.
#[derive(Debug)]
pub struct GuardedBody<G> {
    body: response::Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    /// Attaches a guard to a body.
    pub fn new(body: response::Body, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> body::Body for GuardedBody<G> {
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
