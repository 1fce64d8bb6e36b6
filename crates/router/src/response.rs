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
pub struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for Broken {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// Whole.
    Whole(Option<Bytes>),
    /// As it comes.
    Stream(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Whole(bytes) => task::Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(rx) => rx.poll_recv(cx).map(|m| m.map(|r| r.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> body::SizeHint {
        match self {
            Self::Whole(Some(bytes)) => body::SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => body::SizeHint::with_exact(0),
            Self::Stream(_) => body::SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub type Answer = http::Response<Body>;

/// A whole answer.
pub fn whole(parts: http::response::Parts, bytes: Bytes) -> Answer {
    let bytes = (!bytes.is_empty()).then_some(bytes);
    http::Response::from_parts(parts, Body::Whole(bytes))
}

/// A refusal as a caller sees it.
pub fn refuse(refusal: &refusal::Refusal) -> Answer {
    let mut error = serde_json::json!({
        "reason": refusal.reason.as_str(),
        "run": refusal.run.as_str(),
    });
    if let Some(after) = refusal.retry {
        error["retry_after_ms"] = after.0.into();
    }
    let text = serde_json::json!({ "error": error }).to_string();
    let mut answer = http::Response::new(Body::Whole(Some(text.into())));
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
