//! Sending to upstreams: no key of a caller passes, each send has its own id.

use std::io;
use std::io::BufRead as _;

use base::clock;
use config::document;
use ureq::unversioned::resolver;
use ureq::unversioned::transport;
use ureq::unversioned::transport::Connector as _;

use crate::{chunk, read_timeout, retry};

/// Time to open a connection.
const CONNECT: clock::Millis = clock::Millis(1_000);
/// Buffers of a connection, each; an answer's head must fit.
const BUFFER_BYTES: usize = 16 * 1024;
/// The longest line of an answer's stream, in bytes.
const MAX_LINE: u64 = 1 << 20;
/// A first token is given up after this many times its target.
const LATE: u64 = 4;
/// Idle connections kept for each upstream.
const IDLE: usize = 64;

/// Why a send failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// No byte of it reached the upstream.
    NotSent,
    /// The upstream refused it before running it.
    Refused,
    /// The upstream can't read it: the caller's fault.
    Rejected(u16),
    /// The answer broke off, stalled, was not readable or not ours.
    Broken,
    /// No answer in time.
    Timeout,
}

/// Clients of upstreams.
pub struct HttpClient {
    streams: ureq::Agent,
    single: ureq::Agent,
    budget: retry::Budget,
    stall: clock::Millis,
    answer: clock::Millis,
}

impl HttpClient {
    /// Clients that take `stall` of silence in an answer for failure, and wait for an answer's
    /// beginning up to `answer`.
    pub fn new(stall: clock::Millis, answer: clock::Millis) -> Self {
        let build = |idle: usize| {
            let config = ureq::Agent::config_builder()
                .http_status_as_error(false)
                .timeout_connect(Some(CONNECT.duration()))
                .timeout_recv_response(Some(answer.duration()))
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
            streams: build(IDLE),
            single: build(0),
            budget: retry::Budget::default(),
            stall,
            answer,
        }
    }

    /// The retry budget of this host.
    pub fn budget(&self) -> &retry::Budget {
        &self.budget
    }

    /// Opens the stream of a chat completion whose class wants the first token within `first`.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn stream(
        &self,
        upstream: &document::Upstream,
        id: &str,
        body: &[u8],
        first: clock::Millis,
    ) -> Result<Events, Error> {
        let late = clock::Millis(first.0 * LATE);
        read_timeout::set(late.max(self.stall).min(self.answer));
        let url = format!("http://{}/v1/chat/completions", upstream.address);
        let call = self
            .streams
            .post(url)
            .header("Content-Type", "application/json");
        let answer = call
            .header("X-Request-Id", id)
            .send(body)
            .map_err(|e| failed(&e))?;
        match answer.status().as_u16() {
            200 => {}
            429 | 503 => return Err(Error::Refused),
            status @ (400 | 404 | 413 | 422) => return Err(Error::Rejected(status)),
            _ => return Err(Error::Broken),
        }
        let reader = io::BufReader::new(answer.into_body().into_reader());
        let stall = self.stall;
        Ok(Events {
            reader,
            line: Vec::new(),
            id: id.to_owned(),
            stall,
        })
    }

    /// Sends a plain call once and reads its whole answer, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    pub fn plain(
        &self,
        upstream: &document::Upstream,
        call: &Plain<'_>,
        limit: usize,
    ) -> Result<Answer, Error> {
        read_timeout::set(self.answer);
        let url = format!("http://{}{}", upstream.address, call.path);
        let mut request = ureq::http::Request::builder().method(call.method).uri(url);
        for (name, value) in call.headers {
            request = request.header(name.as_str(), value.as_str());
        }
        request = request.header("X-Request-Id", call.id);
        let sent = if call.body.is_empty() {
            request.body(()).map(|r| self.single.run(r))
        } else {
            request.body(call.body).map(|r| self.single.run(r))
        };
        let answer = sent.map_err(|_| Error::NotSent)?.map_err(|e| failed(&e))?;
        read(answer, limit)
    }
}

fn failed(e: &ureq::Error) -> Error {
    if ports::http::never_sent(e) {
        return Error::NotSent;
    }
    match e {
        ureq::Error::Timeout(_) => Error::Timeout,
        _ => Error::Broken,
    }
}

fn read(answer: ureq::http::Response<ureq::Body>, limit: usize) -> Result<Answer, Error> {
    let status = answer.status().as_u16();
    let mut headers = Vec::new();
    for (name, value) in answer.headers() {
        if let Ok(value) = value.to_str() {
            headers.push((name.as_str().to_owned(), value.to_owned()));
        }
    }
    let mut body = answer.into_body();
    let bytes = body
        .with_config()
        .limit(limit as u64)
        .read_to_vec()
        .map_err(|_| Error::Broken)?;
    Ok(Answer {
        status,
        headers,
        body: bytes,
    })
}

/// A plain call as it goes to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Plain<'a> {
    /// Its method.
    pub method: &'a str,
    /// Its path with the query.
    pub path: &'a str,
    /// Headers to pass on.
    pub headers: &'a [(String, String)],
    /// Its own id.
    pub id: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

/// A whole plain answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

/// An event of an answer's stream.
#[derive(Debug)]
pub enum Event {
    /// A part of the answer.
    Chunk(chunk::Chunk),
    /// The end mark.
    Done,
}

/// The stream of a chat completion. Dropped before its end, it cancels the answer upstream.
pub struct Events {
    reader: io::BufReader<ureq::BodyReader<'static>>,
    line: Vec<u8>,
    id: String,
    stall: clock::Millis,
}

impl Events {
    /// The next event. An answer with another id than the one sent is not ours.
    ///
    /// # Errors
    ///
    /// `Broken` or `Timeout`; an end without its mark is `Broken`.
    pub fn event(&mut self) -> Result<Event, Error> {
        loop {
            self.read_line()?;
            let Some(data) = self.line.strip_prefix(b"data:") else {
                continue;
            };
            let data = data.trim_ascii();
            if data == b"[DONE]" {
                return Ok(Event::Done);
            }
            let chunk: chunk::Chunk = serde_json::from_slice(data).map_err(|_| Error::Broken)?;
            if chunk.id != self.id {
                return Err(Error::Broken);
            }
            read_timeout::set(self.stall);
            return Ok(Event::Chunk(chunk));
        }
    }

    /// Reads to the end of the body, so that the connection can be used again.
    pub fn finish(mut self) {
        let _ = self.read_line();
        let _ = self.read_line();
    }

    fn read_line(&mut self) -> Result<(), Error> {
        use std::io::Read as _;
        self.line.clear();
        let mut limited = (&mut self.reader).take(MAX_LINE);
        match limited.read_until(b'\n', &mut self.line) {
            Ok(0) => Err(Error::Broken),
            Ok(_) if self.line.ends_with(b"\n") => Ok(()),
            Ok(_) => Err(Error::Broken),
            Err(e) if e.kind() == io::ErrorKind::TimedOut => Err(Error::Timeout),
            Err(_) => Err(Error::Broken),
        }
    }
}
