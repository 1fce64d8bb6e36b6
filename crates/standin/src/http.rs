//! Small HTTP server with one thread per request, and helpers to read requests and write responses.

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use ports::accept;

/// Function that responds to one request.
pub type Handler = dyn Fn(tiny_http::Request) + Send + Sync;

/// A running HTTP server; it stops accepting requests when dropped.
pub struct Server {
    address: net::SocketAddr,
    server: sync::Arc<tiny_http::Server>,
    stopping: sync::Arc<atomic::AtomicBool>,
}

impl Server {
    /// Starts serving requests on `address`; port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub fn start(address: net::SocketAddr, handler: sync::Arc<Handler>) -> io::Result<Self> {
        let listener = accept::listen(address)?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = sync::Arc::new(server);
        let stopping = sync::Arc::new(atomic::AtomicBool::new(false));
        let accepting = (server.clone(), stopping.clone());
        thread::spawn(move || accept_all(&accepting.0, &accepting.1, &handler));
        let waking = stopping.clone();
        thread::spawn(move || {
            while !waking.load(atomic::Ordering::SeqCst) {
                thread::sleep(accept::WAKE_INTERVAL.duration());
                accept::wake_worker(address);
            }
        });
        Ok(Self {
            address,
            server,
            stopping,
        })
    }

    /// Address on which the server accepts connections, with the actual port.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopping.store(true, atomic::Ordering::SeqCst);
        self.server.unblock();
    }
}

fn accept_all(
    server: &tiny_http::Server,
    stopping: &atomic::AtomicBool,
    handler: &sync::Arc<Handler>,
) {
    while !stopping.load(atomic::Ordering::SeqCst) {
        let Ok(request) = server.recv() else { continue };
        let handler = handler.clone();
        thread::spawn(move || handler(request));
    }
}

/// Reads the complete body of a request; a read error truncates it.
pub fn read_body(request: &mut tiny_http::Request) -> Vec<u8> {
    let mut out = Vec::new();
    let _ = request.as_reader().read_to_end(&mut out);
    out
}

/// Value of the first header with this name, regardless of case.
pub fn header_value<'a>(request: &'a tiny_http::Request, name: &str) -> Option<&'a str> {
    let header = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    header.map(|h| h.value.as_str())
}

/// Value of the first query parameter with this name. The query is decoded as
/// `application/x-www-form-urlencoded`.
pub fn query_value(url: &str, name: &str) -> Option<String> {
    let (_, query) = url.split_once('?')?;
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let (_, value) = pairs.find(|(n, _)| n == name)?;
    Some(value.into_owned())
}

/// Decodes a path, or a part of one.
pub fn decode_path(path: &str) -> String {
    let decoded = percent_encoding::percent_decode_str(path);
    decoded.decode_utf8_lossy().into_owned()
}

/// Path of a URL, without its query.
pub fn path(url: &str) -> &str {
    url.split_once('?').map_or(url, |(path, _)| path)
}

/// Responds with `value` as JSON body.
pub fn respond_json<T: serde::Serialize>(request: tiny_http::Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let _ = request.respond(tiny_http::Response::from_data(body).with_status_code(status));
}

/// Responds with the given status and an empty body.
pub fn respond_empty(request: tiny_http::Request, status: u16) {
    let _ = request.respond(tiny_http::Response::empty(status));
}

/// Writes the head of a response with chunked body and status 200.
///
/// # Errors
///
/// The client closed the connection.
pub fn start_chunked(out: &mut dyn io::Write, content_type: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    out.flush()
}

/// Writes and flushes one chunk; an empty chunk ends the body.
///
/// # Errors
///
/// The client closed the connection.
pub fn write_chunk(out: &mut dyn io::Write, data: &[u8]) -> io::Result<()> {
    let mut frame = format!("{:x}\r\n", data.len()).into_bytes();
    frame.extend_from_slice(data);
    frame.extend_from_slice(b"\r\n");
    out.write_all(&frame)?;
    out.flush()
}
