//! Writes HTTP responses to clients: buffered responses, refusals and event streams.

use std::io;

use base::refusal;
use bytes::Bytes;
use router::response as router_response;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::{context, http_request, metrics};

/// Way back of one response to a client's connection. If it is dropped before a response has begun,
/// the connection is closed.
pub struct Responder {
    reply: oneshot::Sender<http_request::Response>,
    /// Request id, sent to the client in `X-Request-Id`.
    pub id: String,
    closing: bool,
}

/// Name and value of a response header.
pub type Header<'a> = (&'a str, &'a str);

impl Responder {
    /// Takes over the way back of `request`.
    pub fn new(request: http_request::Request, id: String) -> Self {
        Self::from_reply(request.into_reply(), id)
    }

    /// Creates a responder for a request that was not read.
    pub fn from_reply(reply: oneshot::Sender<http_request::Response>, id: String) -> Self {
        Self {
            reply,
            id,
            closing: false,
        }
    }

    /// Announces in the response that the connection will be closed, and closes it.
    pub fn closing(self) -> Self {
        Self {
            closing: true,
            ..self
        }
    }

    /// Sends a buffered response; the body is omitted for a `HEAD` request.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn send(self, status: u16, headers: &[Header<'_>], body: &[u8]) -> io::Result<()> {
        self.send_bytes(status, headers, Bytes::copy_from_slice(body))
    }

    /// Sends a buffered response without copying its body. Headers that HTTP doesn't allow are left
    /// out.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn send_bytes(self, status: u16, headers: &[Header<'_>], body: Bytes) -> io::Result<()> {
        let length = body.len();
        let body = router_response::Body::Buffered((length > 0).then_some(body));
        let mut response = self.start(status, body);
        for (name, value) in headers {
            let name = http::HeaderName::try_from(*name);
            let value = http::HeaderValue::try_from(*value);
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().append(name, value);
            }
        }
        let length = http::HeaderValue::from(length);
        response
            .headers_mut()
            .insert(http::header::CONTENT_LENGTH, length);
        self.reply.send(response).map_err(|_| caller_gone())
    }

    fn start(&self, status: u16, body: router_response::Body) -> http_request::Response {
        let mut response = http::Response::new(body);
        *response.status_mut() =
            http::StatusCode::from_u16(status).unwrap_or(http::StatusCode::BAD_GATEWAY);
        let headers = response.headers_mut();
        if let Ok(id) = http::HeaderValue::try_from(&self.id) {
            headers.insert("x-request-id", id);
        }
        if self.closing {
            let close = http::HeaderValue::from_static("close");
            headers.insert(http::header::CONNECTION, close);
        }
        response
    }

    /// Sends a buffered response with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn send_json(self, status: u16, value: &serde_json::Value) -> io::Result<()> {
        self.send(
            status,
            &[("Content-Type", "application/json")],
            value.to_string().as_bytes(),
        )
    }

    /// Sends a refusal as a JSON error, logs it and counts it in the metrics.
    pub fn refuse(self, refusal: &refusal::Refusal, metrics: &metrics::Metrics) {
        metrics.count_refusal(refusal.reason);
        let reason = refusal.reason.as_str();
        let run = refusal.execution.as_str();
        tracing::info!(event = "refused", request = %self.id, reason, run);
        let body = refusal_json(refusal).to_string();
        let retry_after_s = refusal
            .retry_after
            .map(|ms| ms.0.div_ceil(1000).max(1).to_string());
        let mut headers = vec![("Content-Type", "application/json")];
        if let Some(retry_after_s) = &retry_after_s {
            headers.push(("Retry-After", retry_after_s));
        }
        let _ = self.send(refusal.status(), &headers, body.as_bytes());
    }

    /// Sends the response headers of a stream of server-sent events.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn start_stream(self) -> io::Result<EventStream> {
        let (pieces, body) = mpsc::channel(QUEUED_EVENTS);
        let mut response = self.start(200, router_response::Body::Stream(body));
        let headers = response.headers_mut();
        let event_stream = http::HeaderValue::from_static("text/event-stream");
        headers.insert(http::header::CONTENT_TYPE, event_stream);
        let no_cache = http::HeaderValue::from_static("no-cache");
        headers.insert(http::header::CACHE_CONTROL, no_cache);
        self.reply.send(response).map_err(|_| caller_gone())?;
        Ok(EventStream { pieces })
    }
}

/// Events that wait for the connection. A client that reads too slowly holds up its stream.
const QUEUED_EVENTS: usize = 4;

fn caller_gone() -> io::Error {
    io::Error::from(io::ErrorKind::BrokenPipe)
}

/// Writer of server-sent events to a client, as a response with chunked transfer encoding. If it is
/// dropped before its end, the connection is closed.
pub struct EventStream {
    pieces: mpsc::Sender<router_response::Piece>,
}

impl EventStream {
    /// Sends one event with `data`.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn send_event(&mut self, data: &[u8]) -> io::Result<()> {
        let bytes = [b"data: ", data, b"\n\n"].concat();
        self.send(router_response::Piece::Data(bytes.into()))
    }

    /// Ends the response with the last chunk, so that the connection can serve another request.
    ///
    /// # Errors
    ///
    /// Returns an error if the client closed the connection.
    pub fn end(self) -> io::Result<()> {
        self.send(router_response::Piece::End)
    }

    fn send(&self, piece: router_response::Piece) -> io::Result<()> {
        self.pieces.blocking_send(piece).map_err(|_| caller_gone())
    }
}

/// Returns the JSON error object of a refusal.
pub fn refusal_json(refusal: &refusal::Refusal) -> serde_json::Value {
    let mut error = json!({
        "type": "refused",
        "reason": refusal.reason.as_str(),
        "run": refusal.execution.as_str(),
        "message": refusal_message(refusal.reason),
    });
    if let Some(ms) = refusal.retry_after {
        error["retry_after_ms"] = json!(ms.0);
    }
    json!({ "error": error })
}

/// Serves the operator endpoints `/healthz`, `/readyz` and `/metrics`.
pub fn serve_operator(request: http_request::Request, context: &context::Context, path: &str) {
    let id = context.request_id();
    let responder = Responder::new(request, id);
    let _ = match path {
        "/healthz" => responder.send(200, &[], b"ok\n"),
        "/readyz" => {
            let ready = context.phase.is_serving() && context.is_ready();
            let (status, text) = if ready {
                (200, "ready\n")
            } else {
                (503, "not ready\n")
            };
            responder.send(status, &[], text.as_bytes())
        }
        _ => {
            let text = context.metrics.encode();
            responder.send(
                200,
                &[("Content-Type", "text/plain; version=0.0.4")],
                text.as_bytes(),
            )
        }
    };
}

fn refusal_message(reason: refusal::Reason) -> &'static str {
    use refusal::Reason;
    match reason {
        Reason::BadKey => "send a working key as 'Authorization: Bearer KEY'",
        Reason::Forbidden => "the team may not use this class or service",
        Reason::NotFound => "no such path or service",
        Reason::UnknownModel => "no such model; GET /v1/models lists them",
        Reason::UnknownClass => "no such request class; see X-Request-Class",
        Reason::BadRequest => "the request can't be read as what this path takes",
        Reason::TooLarge => "the body passes the limit",
        Reason::SlowCaller => "the body did not arrive in time",
        Reason::HostFull => "this host serves as many requests as it may",
        Reason::TargetMissed => "the class's target can't be met now",
        Reason::Shed => "work of a higher tier needs the room",
        Reason::NoUpstream => "no upstream of the service is usable",
        Reason::HomeUnavailable => "no upstream in the regions that may serve this request",
        Reason::StoreDown => "calls that may not be repeated can't be recorded now",
        Reason::NotReady => "the configuration has not arrived at this host yet",
        Reason::Stopping => "this host is stopping",
        Reason::StaleKeys => "this host can't check keys any more",
        Reason::UpstreamFailed => "the upstream failed and the call can't be repeated",
        Reason::UpstreamTimeout => "the upstream gave no answer in time",
        Reason::OutcomeUnknown => "an earlier call with this idempotency key has no known outcome",
        Reason::KeyReused => "this idempotency key was used with another request",
        Reason::Withheld => "a part of the prompt crashes upstreams",
        Reason::Interrupted => "this host ended before the upstream had responded",
    }
}
