//! Answers to callers: whole ones, streams, refusals.

use std::pin;
use std::task;

use base::{clock, refusal};
use bytes::Bytes;
use http_body::Frame;
use hyper::body;
use tokio::sync::mpsc;

/// The stream broke off: the caller's connection is closed without its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BodyAborted {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Whole.
    Buffered(Option<Bytes>),
    /// As it comes.
    Stream(mpsc::Receiver<Result<Bytes, BodyAborted>>),
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
            Self::Stream(rx) => rx.poll_recv(cx).map(|m| m.map(|r| r.map(Frame::data))),
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

/// An answer to a caller.
pub type Response = http::Response<Body>;

/// A whole answer.
pub fn buffered(parts: http::response::Parts, bytes: Bytes) -> Response {
    let bytes = (!bytes.is_empty()).then_some(bytes);
    http::Response::from_parts(parts, Body::Buffered(bytes))
}

/// A refusal as a caller sees it.
pub fn from_refusal(refusal: &refusal::Refusal) -> Response {
    let mut error = serde_json::json!({
        "reason": refusal.reason.as_str(),
        "run": refusal.run.as_str(),
    });
    if let Some(after) = refusal.retry {
        error["retry_after_ms"] = after.0.into();
    }
    let text = serde_json::json!({ "error": error }).to_string();
    let mut answer = http::Response::new(Body::Buffered(Some(text.into())));
    *answer.status_mut() = http::StatusCode::from_u16(refusal.reason.status())
        .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
    let json = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, json);
    if let Some(after) = refusal.retry {
        answer
            .headers_mut()
            .insert(http::header::RETRY_AFTER, seconds(after));
    }
    answer
}

/// Seconds with a fraction.
fn seconds(after: clock::Millis) -> http::HeaderValue {
    let text = format!("{}.{:03}", after.0 / 1000, after.0 % 1000);
    http::HeaderValue::try_from(text).unwrap_or(http::HeaderValue::from_static("1"))
}
