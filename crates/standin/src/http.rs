//! A small HTTP server: one thread a request, stopped when dropped.

use std::io;

use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;

use ports::accept;

/// Answers one request.
pub type Handler = dyn Fn(tiny_http::Request) + Send + Sync;

/// A running server.
pub struct Server {
    address: net::SocketAddr,
    server: sync::Arc<tiny_http::Server>,
    stopping: sync::Arc<atomic::AtomicBool>,
}

impl Server {
    /// Serves on `address`; port 0 takes a free one.
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
        let nudging = stopping.clone();
        thread::spawn(move || {
            while !nudging.load(atomic::Ordering::SeqCst) {
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

    /// Where it listens.
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

/// The whole body of a request.
pub fn read_body(request: &mut tiny_http::Request) -> Vec<u8> {
    let mut out = Vec::new();
    let _ = request.as_reader().read_to_end(&mut out);
    out
}

/// The value of a header.
pub fn header_value<'a>(request: &'a tiny_http::Request, name: &str) -> Option<&'a str> {
    let found = request
        .headers()
        .iter()
        .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|h| h.value.as_str())
}

/// The value of a query parameter.
pub fn query_value<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    for pair in query.split('&') {
        if let Some((key, value)) = pair.split_once('=')
            && key == name
        {
            return Some(value);
        }
    }
    None
}

/// The path without the query.
pub fn path(url: &str) -> &str {
    url.split_once('?').map_or(url, |(path, _)| path)
}

/// Answers with `value` as JSON.
pub fn respond_json<T: serde::Serialize>(request: tiny_http::Request, status: u16, value: &T) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let _ = request.respond(tiny_http::Response::from_data(body).with_status_code(status));
}

/// Answers with an empty body.
pub fn respond_empty(request: tiny_http::Request, status: u16) {
    let _ = request.respond(tiny_http::Response::empty(status));
}

/// Cuts the connection from `peer` at once. The HTTP library gives no handle to it, so the
/// socket is looked up by its peer among this process's own.
pub fn shutdown_connection(peer: Option<net::SocketAddr>) {
    let Some(peer) = peer else { return };
    let Ok(fds) = std::fs::read_dir("/proc/self/fd") else {
        return;
    };
    for entry in fds.flatten() {
        let Some(fd) = entry
            .file_name()
            .to_str()
            .and_then(|n| n.parse::<i32>().ok())
        else {
            continue;
        };
        // SAFETY: the descriptor is only asked for its peer and shut down; one that is closed or
        // is no socket gives an error.
        let fd = unsafe { std::os::fd::BorrowedFd::borrow_raw(fd) };
        let socket = socket2::SockRef::from(&fd);
        if socket.peer_addr().ok().and_then(|a| a.as_socket()) == Some(peer) {
            let _ = socket.shutdown(net::Shutdown::Both);
        }
    }
}

/// Writes the head of a chunked answer.
///
/// # Errors
///
/// The caller is gone.
pub fn start_chunked(out: &mut dyn io::Write, kind: &str) -> io::Result<()> {
    write!(
        out,
        "HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )?;
    out.flush()
}

/// Writes one chunk and flushes it; an empty one ends the answer.
///
/// # Errors
///
/// The caller is gone.
pub fn write_chunk(out: &mut dyn io::Write, data: &[u8]) -> io::Result<()> {
    let mut frame = format!("{:x}\r\n", data.len()).into_bytes();
    frame.extend_from_slice(data);
    frame.extend_from_slice(b"\r\n");
    out.write_all(&frame)?;
    out.flush()
}
