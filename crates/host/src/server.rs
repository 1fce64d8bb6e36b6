//! The callers' side: accepts connections and gives each request a thread.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use base::{clock, refusal};
use ports::accept;

use crate::{blocked, chat, client, context, plain, response, stop};

/// Stack of a request's thread.
const STACK_BYTES: usize = 256 * 1024;
/// Requests over the limit that are refused at once, each on a thread.
const MAX_REFUSING: usize = 128;
/// Silence of a caller that ends its connection.
const CALLER_SILENCE: clock::Millis = clock::Millis(15_000);
/// How often the accepting thread looks whether it should stop.
const LOOK: clock::Millis = clock::Millis(100);

/// The socket that callers connect to.
pub struct Listener {
    socket: net::TcpListener,
}

impl Listener {
    /// Binds `address`. Accepted connections inherit its timeouts.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn bind(address: net::SocketAddr) -> io::Result<Self> {
        let socket = accept::listen(address)?;
        let options = socket2::SockRef::from(&socket);
        options.set_read_timeout(Some(CALLER_SILENCE.duration()))?;
        options.set_write_timeout(Some(CALLER_SILENCE.duration()))?;
        Ok(Self { socket })
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// The socket has no address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.socket.local_addr()
    }

    /// Serves until stopped.
    pub fn serve(&self, context: &sync::Arc<context::Context>, stop: &stop::Stop) {
        let server = self.socket.try_clone().map_err(Into::into);
        let server = server.and_then(|s| tiny_http::Server::from_listener(s, None));
        let server = match server {
            Ok(server) => server,
            Err(e) => return tracing::error!(event = "callers_not_served", error = %e),
        };
        while !stop.is_set() {
            match server.recv_timeout(LOOK.duration()) {
                Ok(Some(request)) => dispatch(context, request),
                Ok(None) => {}
                // The library's accepting thread has ended: the supervisor starts another.
                Err(e) => return tracing::error!(event = "accept_failed", error = %e),
            }
        }
    }
}

/// Counts a request as active while it lives.
struct Active {
    context: sync::Arc<context::Context>,
    /// Whether it is over the host's limit, only to be refused.
    over: bool,
}

impl Active {
    /// `None` if even those that are refused are too many.
    fn enter(context: &sync::Arc<context::Context>) -> Option<Self> {
        let before = context.active.fetch_add(1, atomic::Ordering::SeqCst);
        let limit = context.settings.limits.requests;
        let active = Self {
            context: context.clone(),
            over: before >= limit,
        };
        (before < limit + MAX_REFUSING).then_some(active)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.context.active.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Gives a request a thread, also to be refused: ending a request reads the rest of its body, which
/// a slow caller can draw out.
fn dispatch(context: &sync::Arc<context::Context>, request: tiny_http::Request) {
    let Some(active) = Active::enter(context) else {
        return refuse(context, request, refusal::Reason::HostFull);
    };
    let thread = thread::Builder::new()
        .name("request".into())
        .stack_size(STACK_BYTES);
    let run = move || {
        if active.over {
            refuse(&active.context, request, refusal::Reason::HostFull);
        } else {
            answer(&active.context, request);
        }
    };
    if let Err(e) = thread.spawn(run) {
        tracing::error!(event = "thread_not_started", error = %e);
    }
}

fn refuse(context: &context::Context, request: tiny_http::Request, reason: refusal::Reason) {
    let refusal = refusal::Refusal::not_run(reason).with_retry_after(clock::Millis::secs(1));
    let id = context.request_id();
    response::Responder::new(request, id).refuse(&refusal, &context.metrics);
}

fn answer(context: &context::Context, request: tiny_http::Request) {
    let url = request.url().to_owned();
    let target = client::target(&url);
    if target == client::Target::Operator(blocked::PATH) {
        return blocked::serve(context, request);
    }
    if let client::Target::Operator(path) = target {
        return response::operator(request, context, path);
    }
    if context.phase.is_closed() {
        return refuse(context, request, refusal::Reason::Stopping);
    }
    let method = request.method().clone();
    match target {
        client::Target::Chat if method == tiny_http::Method::Post => chat::serve(context, request),
        client::Target::Models if method == tiny_http::Method::Get => models(context, request),
        client::Target::Plain(service, path) => plain::serve(context, request, service, path),
        _ => {
            let refusal = refusal::Refusal::not_run(refusal::Reason::NotFound);
            let id = context.request_id();
            response::Responder::new(request, id).refuse(&refusal, &context.metrics);
        }
    }
}

fn models(context: &context::Context, request: tiny_http::Request) {
    let credentials = client::Credentials::read(&request);
    let reply = response::Responder::new(request, context.request_id());
    let view = context.view();
    let mut names: Vec<&str> = Vec::new();
    for model in view.models() {
        let Some(service) = view.service_by_model(model) else {
            continue;
        };
        if client::admit(context, &credentials, &service).is_ok() {
            names.push(model);
        }
    }
    if names.is_empty() {
        drop(view);
        let refusal = refusal::Refusal::not_run(refusal::Reason::BadKey);
        return reply.refuse(&refusal, &context.metrics);
    }
    names.sort_unstable();
    let entry = |id: &&str| serde_json::json!({"id": id, "object": "model"});
    let data: Vec<_> = names.iter().map(entry).collect();
    let _ = reply.json(200, &serde_json::json!({"object": "list", "data": data}));
}
