//! Listeners for clients, for the load balancer's readiness probe and for metrics.

use std::io;
use std::net;
use std::rc;

use base::clock;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt as util;
use tokio::{net as tokio_net, task as tokio_task, time};

use crate::{client_connection, connections, host, response, serve};

/// Delay after a connection could not be accepted, as when the process has no free file
/// descriptors.
const ACCEPT_RETRY_DELAY: clock::Millis = clock::Millis(50);
/// Length of the queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Limit of a request head in bytes while no configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;
/// Time for a request head to arrive while no configuration is known.
const DEFAULT_HEAD_TIMEOUT: clock::Millis = clock::Millis(3_000);
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
    let options = client_connection::Options {
        head_bytes: max_head_bytes,
        head_timeout: limits.map_or(DEFAULT_HEAD_TIMEOUT, |l| l.head_timeout),
        idle_timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT, |l| l.idle_timeout),
        write_timeout: None,
        half_close: false,
        title_case: false,
    };
    let served = (host.clone(), activity.clone());
    let service = service::service_fn(move |request| respond(served.clone(), request));
    let mut phase = host.phase.subscribe();
    let closing = async move {
        // Fails only if the host was dropped.
        let _ = phase.wait_for(|p| *p >= host::Phase::Closing).await;
    };
    client_connection::serve(stream, activity, &options, closing, service).await;
}

/// Response body of a client's request.
type ClientBody = client_connection::GuardedBody<client_connection::RequestGuard>;

async fn respond(
    (host, activity): (rc::Rc<host::Host>, rc::Rc<connections::Activity>),
    request: http::Request<body::Incoming>,
) -> Result<http::Response<ClientBody>, std::convert::Infallible> {
    let ambiguous = activity.begin_request();
    let guard = client_connection::RequestGuard::new(activity.clone());
    let mut response = if ambiguous {
        serve::refuse_ambiguous_head(&host)
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
    Ok(response.map(|body| client_connection::GuardedBody::new(body, guard)))
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
        if let Some(age) = host.digest.age(host.now()) {
            host.metrics.record_digest_age(age);
        }
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
