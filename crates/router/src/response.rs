//! Responses to clients: buffered bodies, streams and refusals.

use std::pin;
use std::task;

use base::{clock, refusal};
use bytes::Bytes;
use http_body::Frame;
use hyper::body;
use tokio::sync::mpsc;

/// The response body ended early: the client's connection is closed without the end of the body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response aborted before the end of its body")
    }
}

impl std::error::Error for BodyAborted {}

/// Piece of a body that is sent as it is received from the upstream.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body of a response to a client.
#[derive(Debug)]
pub enum Body {
    /// Body that is complete in memory; `None` for an empty body.
    Buffered(Option<Bytes>),
    /// Body whose parts are sent as they are received from the upstream. Only [`Piece::End`] completes
    /// it: if the sender is dropped without it, by a timeout, a panic or a cancelled task, the body is
    /// aborted.
    Stream(mpsc::Receiver<Piece>),
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match &mut *self {
            Self::Buffered(bytes) => task::Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx.poll_recv(cx).map(|piece| match piece {
                Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(BodyAborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Buffered(Some(bytes)) => body::SizeHint::with_exact(bytes.len() as u64),
            Self::Buffered(None) => body::SizeHint::with_exact(0),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// HTTP response to a client.
pub type Response = http::Response<Body>;

/// Builds a response whose body is complete.
pub fn buffered(parts: http::response::Parts, bytes: Bytes) -> Response {
    let bytes = (!bytes.is_empty()).then_some(bytes);
    http::Response::from_parts(parts, Body::Buffered(bytes))
}

/// Builds the JSON error response for a refusal.
pub fn from_refusal(refusal: &refusal::Refusal) -> Response {
    let mut error = serde_json::json!({
        "reason": refusal.reason.as_str(),
        "run": refusal.execution.as_str(),
    });
    if let Some(delay) = refusal.retry_after {
        error["retry_after_ms"] = delay.0.into();
    }
    let text = serde_json::json!({ "error": error }).to_string();
    let mut response = http::Response::new(Body::Buffered(Some(text.into())));
    *response.status_mut() = http::StatusCode::from_u16(refusal.status())
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let json = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    if let Some(delay) = refusal.retry_after {
        response
            .headers_mut()
            .insert(http::header::RETRY_AFTER, retry_after_value(delay));
    }
    response
}

/// Formats a duration as decimal seconds for the `Retry-After` header.
fn retry_after_value(delay: clock::Millis) -> http::HeaderValue {
    let text = format!("{}.{:03}", delay.0 / 1000, delay.0 % 1000);
    http::HeaderValue::try_from(text).unwrap_or(http::HeaderValue::from_static("1"))
}
