//! HTTP client for upstreams. API keys of clients are never forwarded, and each attempt has its own
//! request id.

use std::io;
use std::io::{BufRead as _, Read as _};
use std::time;

use base::{clock, refusal};
use bytes::Bytes;
use config::document;
use router::{memory, response_head};
use smallvec::SmallVec;
use ureq::unversioned::resolver;
use ureq::unversioned::transport;
use ureq::unversioned::transport::Connector as _;

use crate::{chunk, read_timeout, retry};

/// Time limit for opening a connection to an upstream.
const CONNECT_TIMEOUT: clock::Millis = clock::Millis(1_000);
/// Size of the input buffer and of the output buffer of a connection; also the maximum size of the
/// response headers.
const BUFFER_BYTES: usize = 16 * 1024;
/// Maximum length of a line in an event stream.
const MAX_LINE_BYTES: usize = 1 << 20;
/// Multiple of the time-to-first-token target after which an attempt times out.
const TTFT_TIMEOUT_FACTOR: u64 = 4;
/// Maximum number of idle connections kept for each upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Reason why an attempt to run a request on an upstream failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No byte of the request reached the upstream.
    NotSent,
    /// The upstream refused the request before running it (status 429 or 503).
    Refused,
    /// The upstream rejected the request as invalid with this status (400, 404, 413 or 422): an
    /// error of the client.
    Rejected(u16),
    /// The response was aborted, malformed, had an error status or belonged to another request.
    BadResponse,
    /// The response did not begin or continue in time.
    Timeout,
}

/// HTTP client for all upstreams, with the retry budget of the host.
pub struct HttpClient {
    stream_agent: ureq::Agent,
    single_use_agent: ureq::Agent,
    retry_budget: retry::SharedRetryBudget,
    stall_timeout: clock::Millis,
    response_timeout: clock::Millis,
    memory: memory::Budget,
}

impl HttpClient {
    /// Creates a client. `stall_timeout` limits the gap between two reads of a stream, and
    /// `response_timeout` the wait for the start of any response. What is received is held in `memory`.
    pub fn new(
        stall_timeout: clock::Millis,
        response_timeout: clock::Millis,
        memory: memory::Budget,
    ) -> Self {
        let build_agent = |idle: usize| {
            let config = ureq::Agent::config_builder()
                .http_status_as_error(false)
                .timeout_connect(Some(CONNECT_TIMEOUT.duration()))
                .timeout_recv_response(Some(response_timeout.duration()))
                .max_idle_connections(idle * 8)
                .max_idle_connections_per_host(idle)
                .max_redirects(0)
                .max_redirects_will_error(false)
                .input_buffer_size(BUFFER_BYTES)
                .output_buffer_size(BUFFER_BYTES)
                .max_response_header_size(BUFFER_BYTES)
                .user_agent("jacinthslip")
                .proxy(None)
                .build();
            let connector = transport::TcpConnector::default().chain(read_timeout::Connector);
            ureq::Agent::with_parts(config, connector, resolver::DefaultResolver::default())
        };
        Self {
            stream_agent: build_agent(MAX_IDLE_CONNECTIONS),
            single_use_agent: build_agent(0),
            retry_budget: retry::SharedRetryBudget::default(),
            stall_timeout,
            response_timeout,
            memory,
        }
    }

    /// Returns the retry budget that all requests of this host share.
    pub fn retry_budget(&self) -> &retry::SharedRetryBudget {
        &self.retry_budget
    }

    /// Sends a chat completion request and opens its event stream. `ttft_target` is the time to
    /// first token of the request class; the attempt times out after a multiple of it.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn open_stream(
        &self,
        upstream: &document::Upstream,
        id: &str,
        body: &[u8],
        ttft_target: clock::Millis,
    ) -> Result<ChatStream, Error> {
        let ttft_timeout = clock::Millis(ttft_target.0 * TTFT_TIMEOUT_FACTOR);
        let first_chunk_timeout = ttft_timeout
            .max(self.stall_timeout)
            .min(self.response_timeout);
        read_timeout::set(first_chunk_timeout);
        let url = format!("http://{}/v1/chat/completions", upstream.address);
        let request = self
            .stream_agent
            .post(url)
            .header("Content-Type", "application/json");
        let response = request
            .header("X-Request-Id", id)
            .send(body)
            .map_err(|e| transport_error(&e))?;
        check_head(&response)?;
        match response.status().as_u16() {
            200 => {}
            429 | 503 => return Err(Error::Refused),
            status @ (400 | 404 | 413 | 422) => return Err(Error::Rejected(status)),
            _ => return Err(Error::BadResponse),
        }
        let reader = io::BufReader::new(response.into_body().into_reader());
        let stall_timeout = self.stall_timeout;
        Ok(ChatStream {
            reader,
            line: Vec::new(),
            line_hold: self.memory.open(),
            last_chunk: time::Instant::now(),
            silence_limit: first_chunk_timeout,
            id: id.to_owned(),
            stall_timeout,
        })
    }

    /// Sends a request to a plain service once, on a new connection, and reads the whole response,
    /// at most `max_bytes` long. A status that tells clients that the request did not run counts as a bad
    /// response: plain services have no way to say so, and the host must not say it for them.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn send_plain(
        &self,
        upstream: &document::Upstream,
        plain: &PlainRequest<'_>,
        max_bytes: usize,
    ) -> Result<Response, Error> {
        read_timeout::set(self.response_timeout);
        let url = format!("http://{}{}", upstream.address, plain.path);
        let mut request = ureq::http::Request::builder().method(plain.method).uri(url);
        for (name, value) in plain.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        request = request.header("X-Request-Id", plain.id);
        let result = if plain.body.is_empty() {
            request.body(()).map(|r| self.single_use_agent.run(r))
        } else {
            request
                .body(plain.body)
                .map(|r| self.single_use_agent.run(r))
        };
        let response = result
            .map_err(|_| Error::NotSent)?
            .map_err(|e| transport_error(&e))?;
        check_head(&response)?;
        let response = read_response(response, max_bytes, &self.memory)?;
        if refusal::promises_not_run(response.status) {
            return Err(Error::BadResponse);
        }
        Ok(response)
    }
}

/// Checks what the HTTP client accepts of a response's head.
fn check_head(response: &ureq::http::Response<ureq::Body>) -> Result<(), Error> {
    let headers = response.headers().iter();
    let headers: SmallVec<[_; 16]> = headers
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    // A transfer coding in HTTP/1.0 is none.
    let is_old = response.version() < ureq::http::Version::HTTP_11;
    let is_coded = response.headers().contains_key("transfer-encoding");
    let checked = match is_old && is_coded {
        true => Err("transfer coding in HTTP/1.0"),
        false => response_head::check(response.status().as_u16(), &headers),
    };
    checked.map_err(|fault| {
        tracing::info!(event = "response_invalid", fault);
        Error::BadResponse
    })
}

fn transport_error(e: &ureq::Error) -> Error {
    if ports::http::never_sent(e) {
        return Error::NotSent;
    }
    match e {
        ureq::Error::Timeout(_) => Error::Timeout,
        _ => Error::BadResponse,
    }
}

fn read_response(
    response: ureq::http::Response<ureq::Body>,
    max_bytes: usize,
    memory: &memory::Budget,
) -> Result<Response, Error> {
    let status = response.status().as_u16();
    let mut headers = Vec::new();
    for (name, value) in response.headers() {
        if let Ok(value) = value.to_str() {
            headers.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    let mut body = response.into_body();
    let mut reader = body.with_config().limit(max_bytes as u64).reader();
    let mut hold = memory.open();
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; BUFFER_BYTES]);
    loop {
        let n = reader.read(&mut buffer).map_err(|_| Error::BadResponse)?;
        if n == 0 {
            break;
        }
        hold.grow(n).map_err(|_| Error::BadResponse)?;
        bytes.extend_from_slice(&buffer[..n]);
    }
    Ok(Response {
        status,
        headers,
        body: hold.attach(bytes.into()),
    })
}

/// Request to a plain service in the form that is sent to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct PlainRequest<'a> {
    /// HTTP method, such as `GET`.
    pub method: &'a str,
    /// Path at the upstream, with the query.
    pub path: &'a str,
    /// Request headers that are forwarded from the client.
    pub headers: &'a [(String, String)],
    /// Id of this attempt, sent in `X-Request-Id`.
    pub id: &'a str,
    /// Request body; may be empty.
    pub body: &'a [u8],
}

/// Complete response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response headers, with names in lower case; values that are not text are left out.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Bytes,
}

/// One event of a streamed chat completion.
#[derive(Debug)]
pub enum Event {
    /// A chunk of the completion.
    Chunk(chunk::Chunk),
    /// End of the stream, `[DONE]`.
    Done,
}

/// Event stream of a chat completion. If it is dropped before its end, the connection is closed and
/// the upstream cancels the completion.
pub struct ChatStream {
    reader: io::BufReader<ureq::BodyReader<'static>>,
    line: Vec<u8>,
    /// Memory of the line.
    line_hold: memory::Hold,
    /// When the last chunk arrived, or the response began.
    last_chunk: time::Instant,
    /// Time without a chunk after which the stream has failed, whatever else arrives.
    silence_limit: clock::Millis,
    id: String,
    stall_timeout: clock::Millis,
}

impl ChatStream {
    /// Reads the next event. A chunk with an id other than that of the request belongs to another
    /// response and is an error.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] if no data arrives within the read timeout, [`Error::BadResponse`] for a
    /// malformed event, a foreign id or an end of the stream without `[DONE]`.
    pub fn next_event(&mut self) -> Result<Event, Error> {
        loop {
            self.read_line()?;
            let Some(data) = self.line.strip_prefix(b"data:") else {
                if self.last_chunk.elapsed() >= self.silence_limit.duration() {
                    return Err(Error::Timeout);
                }
                continue;
            };
            let data = data.trim_ascii();
            if data == b"[DONE]" {
                return Ok(Event::Done);
            }
            let chunk: chunk::Chunk =
                serde_json::from_slice(data).map_err(|_| Error::BadResponse)?;
            if chunk.id != self.id {
                return Err(Error::BadResponse);
            }
            read_timeout::set(self.stall_timeout);
            self.last_chunk = time::Instant::now();
            self.silence_limit = self.stall_timeout;
            return Ok(Event::Chunk(chunk));
        }
    }

    /// Reads to the end of the response body, so that the connection can be reused.
    pub fn drain(mut self) {
        let _ = self.read_line();
        let _ = self.read_line();
    }

    fn read_line(&mut self) -> Result<(), Error> {
        self.line.clear();
        while !self.line.ends_with(b"\n") {
            let received = match self.reader.fill_buf() {
                Ok([]) => return Err(Error::BadResponse),
                Ok(received) => received,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::TimedOut => return Err(Error::Timeout),
                Err(_) => return Err(Error::BadResponse),
            };
            let end = received.iter().position(|b| *b == b'\n');
            let n = end.map_or(received.len(), |end| end + 1);
            let length = self.line.len() + n;
            if length > MAX_LINE_BYTES || self.line_hold.resize(length).is_err() {
                return Err(Error::BadResponse);
            }
            self.line.extend_from_slice(&received[..n]);
            self.reader.consume(n);
        }
        Ok(())
    }
}
