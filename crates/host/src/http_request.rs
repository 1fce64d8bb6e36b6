//! Request of a client with its body, and the way back for the response.

use base::refusal;
use bytes::Bytes;
use router::response as router_response;
use tokio::sync::oneshot;

/// Response as it is handed to the HTTP library.
pub type Response = http::Response<router_response::Body>;

/// A request whose body was read, or refused.
#[derive(Debug)]
pub struct Request {
    head: http::request::Parts,
    body: Result<Bytes, refusal::Refusal>,
    reply: oneshot::Sender<Response>,
}

impl Request {
    /// Creates a request. The connection is closed if `reply` is dropped.
    pub fn new(
        head: http::request::Parts,
        body: Result<Bytes, refusal::Refusal>,
        reply: oneshot::Sender<Response>,
    ) -> Self {
        Self { head, body, reply }
    }

    /// HTTP method.
    pub fn method(&self) -> &http::Method {
        &self.head.method
    }

    /// Path and query.
    pub fn url(&self) -> &str {
        self.head.uri.path_and_query().map_or("/", |p| p.as_str())
    }

    /// Headers, with names in lower case.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.head.headers
    }

    /// Takes the body out of the request.
    ///
    /// # Errors
    ///
    /// `TooLarge` if the body is longer than `max_bytes`, or the refusal with which reading it ended.
    pub fn take_body(&mut self, max_bytes: usize) -> Result<Bytes, refusal::Refusal> {
        let body = std::mem::replace(&mut self.body, Ok(Bytes::new()))?;
        if body.len() > max_bytes {
            return Err(refusal::Refusal::not_run(refusal::Reason::TooLarge));
        }
        Ok(body)
    }

    /// Gives up the request for its way back.
    pub fn into_reply(self) -> oneshot::Sender<Response> {
        self.reply
    }
}
