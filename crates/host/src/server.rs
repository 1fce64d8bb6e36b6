//! HTTP server for clients: one thread receives requests with their bodies and writes the responses;
//! each request is processed on its own thread.

use std::io;
use std::net;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::thread;

use base::{clock, refusal};
use hyper::{body as hyper_body, service};
use ports::accept;
use router::{client_connection, connections};
use tokio::sync::{oneshot, watch};
use tokio::{net as tokio_net, task, time};

use crate::{blocked_keys, body, chat, client, context, http_request, plain, response, stop};

/// Stack size of the thread that processes one request.
const STACK_BYTES: usize = 256 * 1024;
/// Time after which a client's connection is closed on which no request begins, or no byte of a
/// response is taken.
const CLIENT_TIMEOUT: clock::Millis = clock::Millis(15_000);
/// Time within which a request head must arrive.
const HEAD_TIMEOUT: clock::Millis = clock::Millis(3_000);
/// Limit of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Interval at which the accepting thread checks the stop flag.
const STOP_CHECK_INTERVAL: clock::Millis = clock::Millis(100);
/// Time for responses to be written after the stop.
const STOP_TIMEOUT: clock::Millis = clock::Millis(2_000);
/// Descriptors for the store, other hosts and the log.
const RESERVED_FDS: usize = 64;
/// Descriptors of a client's connection: its own, and that of its request at an upstream.
const FDS_PER_CONNECTION: usize = 2;
/// Default limit of connections where the process has many descriptors.
const MAX_CONNECTIONS: usize = 2_048;
/// Least default limit of connections.
const MIN_CONNECTIONS: usize = 16;

/// Listening socket for clients.
pub struct Listener {
    socket: net::TcpListener,
}

impl Listener {
    /// Binds `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn bind(address: net::SocketAddr) -> io::Result<Self> {
        let socket = accept::listen(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self { socket })
    }

    /// Returns the local address, with the port that the system chose if port 0 was bound.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not report the address of the socket.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves requests until `stop` is set or the socket fails.
    pub fn serve(&self, context: &sync::Arc<context::Context>, stop: &stop::StopFlag) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let result = runtime.and_then(|runtime| {
            let socket = self.socket.try_clone()?;
            task::LocalSet::new().block_on(&runtime, serve_clients(socket, context, stop))
        });
        if let Err(e) = result {
            tracing::error!(event = "callers_not_served", error = %e);
        }
    }
}

/// What the connections of clients share.
struct Shared {
    context: sync::Arc<context::Context>,
    connections: connections::Connections,
    is_stopping: watch::Sender<bool>,
}

async fn serve_clients(
    socket: net::TcpListener,
    context: &sync::Arc<context::Context>,
    stop: &stop::StopFlag,
) -> io::Result<()> {
    let listener = tokio_net::TcpListener::from_std(socket)?;
    let limit = context.settings.limits.connections;
    let shared = rc::Rc::new(Shared {
        context: context.clone(),
        connections: connections::Connections::new(limit.unwrap_or_else(default_connections)),
        is_stopping: watch::Sender::new(false),
    });
    while !stop.is_set() {
        let accepted = time::timeout(STOP_CHECK_INTERVAL.duration(), listener.accept()).await;
        let stream = match accepted {
            Err(_) => continue,
            Ok(Ok((stream, _))) => stream,
            Ok(Err(e)) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(STOP_CHECK_INTERVAL.duration()).await;
                continue;
            }
        };
        let now = context.clock.now();
        if shared.connections.make_place(now, &context.metrics).await {
            task::spawn_local(serve_connection(OpenConnection::new(&shared), stream));
        }
    }
    shared.is_stopping.send_replace(true);
    let deadline = context.clock.now() + STOP_TIMEOUT;
    while shared.connections.count() > 0 && context.clock.now() < deadline {
        time::sleep(STOP_CHECK_INTERVAL.duration()).await;
    }
    Ok(())
}

/// Connections that leave a descriptor for each request at an upstream.
fn default_connections() -> usize {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call writes to a struct of this function.
    if unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &mut limit) } != 0 {
        return MIN_CONNECTIONS;
    }
    let fds = usize::try_from(limit.rlim_cur).unwrap_or(usize::MAX);
    let count = fds.saturating_sub(RESERVED_FDS) / FDS_PER_CONNECTION;
    count.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

/// Connection in the list of open ones until it is dropped.
struct OpenConnection {
    shared: rc::Rc<Shared>,
    activity: rc::Rc<connections::Activity>,
    id: u64,
}

impl OpenConnection {
    fn new(shared: &rc::Rc<Shared>) -> Self {
        let context = &shared.context;
        let activity = connections::Activity::new(context.clock.clone(), &context.memory);
        let activity = rc::Rc::new(activity);
        Self {
            shared: shared.clone(),
            id: shared.connections.add(activity.clone()),
            activity,
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.shared.connections.remove(self.id);
    }
}

async fn serve_connection(open: OpenConnection, stream: tokio_net::TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        tracing::debug!(event = "socket_option", error = %e);
    }
    let options = client_connection::Options {
        head_bytes: MAX_HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        idle_timeout: CLIENT_TIMEOUT,
        write_timeout: Some(CLIENT_TIMEOUT),
        half_close: true,
        title_case: true,
    };
    let mut stopping = open.shared.is_stopping.subscribe();
    let closing = async move {
        // Fails only if the server has ended.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    };
    let served = (open.shared.clone(), open.activity.clone());
    let service = service::service_fn(move |request| respond(served.clone(), request));
    client_connection::serve(stream, &open.activity, &options, closing, service).await;
}

/// Counts a request as active until it is dropped.
struct ActiveRequest {
    context: sync::Arc<context::Context>,
    /// Whether the request exceeds the host's limit and must be refused.
    over_limit: bool,
}

impl ActiveRequest {
    fn register(context: &sync::Arc<context::Context>) -> sync::Arc<Self> {
        let active_before = context.active.fetch_add(1, atomic::Ordering::SeqCst);
        sync::Arc::new(Self {
            context: context.clone(),
            over_limit: active_before >= context.settings.limits.requests,
        })
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.context.active.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Response body that counts its request as active until it is written.
type ClientBody =
    client_connection::GuardedBody<(client_connection::RequestGuard, sync::Arc<ActiveRequest>)>;

/// Receives a request, has it processed on a thread of its own and returns the response. Fails if there
/// is none, which closes the connection.
async fn respond(
    (shared, activity): (rc::Rc<Shared>, rc::Rc<connections::Activity>),
    request: http::Request<hyper_body::Incoming>,
) -> Result<http::Response<ClientBody>, oneshot::error::RecvError> {
    let context = &shared.context;
    let is_ambiguous = activity.begin_request();
    let guard = client_connection::RequestGuard::new(activity.clone());
    let active = ActiveRequest::register(context);
    let (reply, response) = oneshot::channel();
    if is_ambiguous {
        refuse_ambiguous_head(context, reply);
    } else if active.over_limit {
        refuse(context, reply, refusal::Reason::HostFull);
    } else {
        let (head, body) = request.into_parts();
        let body = body::read(context, &shared.connections, body).await;
        let request = http_request::Request::new(head, body, reply);
        spawn_request(active.clone(), request);
    }
    let response = response.await?;
    let length = hyper_body::Body::size_hint(response.body()).exact();
    activity.begin_response(length.unwrap_or_default() as usize);
    Ok(response.map(|body| client_connection::GuardedBody::new(body, (guard, active))))
}

/// Refuses a request whose head states both a length and a transfer coding, or has a `#` in its target, and
/// closes its connection. A proxy in front of this host may take the end of such a request, and so the start
/// of the next one, to be elsewhere, or its target to be another one.
fn refuse_ambiguous_head(
    context: &context::Context,
    reply: oneshot::Sender<http_request::Response>,
) {
    let refusal = refusal::Refusal::not_run(refusal::Reason::BadRequest);
    let responder = response::Responder::from_reply(reply, context.request_id());
    responder.closing().refuse(&refusal, &context.metrics);
}

/// Processes a request on a new thread.
fn spawn_request(active: sync::Arc<ActiveRequest>, request: http_request::Request) {
    let thread = thread::Builder::new()
        .name("request".into())
        .stack_size(STACK_BYTES);
    let serve = move || serve_request(&active.context, request);
    if let Err(e) = thread.spawn(serve) {
        tracing::error!(event = "thread_not_started", error = %e);
    }
}

/// Refuses a request before execution; the client may retry after one second.
fn refuse(
    context: &context::Context,
    reply: oneshot::Sender<http_request::Response>,
    reason: refusal::Reason,
) {
    let refusal = refusal::Refusal::not_run(reason).with_retry_after(clock::Millis::secs(1));
    let id = context.request_id();
    response::Responder::from_reply(reply, id).refuse(&refusal, &context.metrics);
}

fn serve_request(context: &context::Context, request: http_request::Request) {
    let url = request.url().to_owned();
    let target = client::parse_target(&url);
    if target == client::Target::Operator(blocked_keys::PATH) {
        return blocked_keys::serve(context, request);
    }
    if let client::Target::Operator(path) = target {
        return response::serve_operator(request, context, path);
    }
    if context.phase.is_closed() {
        return refuse(context, request.into_reply(), refusal::Reason::Stopping);
    }
    let method = request.method().clone();
    match target {
        client::Target::Chat if method == http::Method::POST => chat::serve(context, request),
        client::Target::Models if method == http::Method::GET => serve_models(context, request),
        client::Target::Plain(service, path) => plain::serve(context, request, service, path),
        _ => {
            let refusal = refusal::Refusal::not_run(refusal::Reason::NotFound);
            let id = context.request_id();
            response::Responder::new(request, id).refuse(&refusal, &context.metrics);
        }
    }
}

/// Lists the models that the client may use; refused with `BadKey` if there are none.
fn serve_models(context: &context::Context, request: http_request::Request) {
    let credentials = client::Credentials::read(&request);
    let responder = response::Responder::new(request, context.request_id());
    let view = context.view();
    let mut model_names: Vec<&str> = Vec::new();
    for model in view.models() {
        let Some(service) = view.service_by_model(model) else {
            continue;
        };
        if client::authorize(context, &credentials, &service).is_ok() {
            model_names.push(model);
        }
    }
    if model_names.is_empty() {
        let refusal = refusal::Refusal::not_run(refusal::Reason::BadKey);
        return responder.refuse(&refusal, &context.metrics);
    }
    model_names.sort_unstable();
    let model_json = |id: &&str| serde_json::json!({"id": id, "object": "model"});
    let data: Vec<_> = model_names.iter().map(model_json).collect();
    let _ = responder.send_json(200, &serde_json::json!({"object": "list", "data": data}));
}
