//! Crowds of misbehaving clients, and the checks that every host has to pass under them.

#![allow(unreachable_pub)]

use std::any;
use std::fs;
use std::io::{Read as _, Write as _};
use std::net;
use std::sync;
use std::thread;
use std::time;

use standin::process;

use crate::env::raw::{RawRequest, Reply};

/// Memory of the machine in MB, that of the smallest machines.
pub const MEMORY_MB: u64 = 88;
/// File descriptors of the machine, lowered so that a small crowd reaches them.
pub const MAX_FDS: usize = 256;
/// Clients that send bodies or heads.
const SENDERS: usize = 60;
/// Clients that only hold connections; more than the machine has descriptors.
const HOLDERS: usize = 300;
/// Length of the body of an ordinary request.
const ORDINARY_BYTES: usize = 100_000;
/// Length of a body that is sent in one-byte chunks.
const TINY_CHUNKED_BYTES: usize = 100_000;
/// Length of a chunk of the large kind.
const CHUNK_BYTES: usize = 64 << 10;
/// Bytes sent of a body far over the limit.
const EXCESSIVE_BYTES: usize = 12 << 20;
/// Bytes sent of a head without end.
const HEAD_BYTES: usize = 4 << 20;
/// Length of a response that is not read.
const RESPONSE_BYTES: usize = 1 << 20;
/// Number and length of the small pieces with which a body in pieces begins.
const PIECES: usize = 400;
const PIECE_BYTES: usize = 250;
/// Pause after a small piece, so that the host reads it by itself.
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(5);
/// Time after which a client gives up writing to a host that takes nothing more.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Time after which a client gives up waiting for a response.
const READ_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Time after which a host that answers no ordinary request counts as hanging. Longer than all timeouts
/// of the host for a connection.
const HANG_TIMEOUT: time::Duration = time::Duration::from_secs(30);
/// Pause between two ordinary requests, and between two looks at what a host does.
const POLL_PAUSE: time::Duration = time::Duration::from_millis(200);

static SERIAL: sync::Mutex<()> = sync::Mutex::new(());

/// Waits until no other test of this kind runs. A failed test doesn't prevent the others.
pub fn serial() -> sync::MutexGuard<'static, ()> {
    SERIAL.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// A running host with all that it needs around it.
pub struct Host {
    pub front: net::SocketAddr,
    pub process: u32,
    /// Request line and headers of a request that is served, without its length and its end.
    pub head: String,
    /// Limit of a request body in bytes.
    pub max_body_bytes: usize,
    /// Keeps the servers around the host, and the host itself, running.
    pub _site: Box<dyn any::Any>,
}

/// Answer of the upstream: large if the request asks for it.
pub fn reply(request: &RawRequest<'_>) -> Reply {
    let id = request.header("request-id");
    let body = match request.header("accept") {
        "large" => "x".repeat(RESPONSE_BYTES),
        _ => "ok".to_owned(),
    };
    let length = body.len();
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: s\r\nContent-Length: {length}\r\n\r\n"
    );
    Reply::Keep((head + &body).into_bytes())
}

/// What a client does after it has sent its bytes.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Then {
    /// Reads the response.
    Read,
    /// Stays open and reads nothing.
    Stay,
    /// Closes its sending side, stays open and reads nothing.
    HalfClose,
}

/// Bytes of a client.
#[derive(Clone)]
struct Script {
    bytes: sync::Arc<Vec<u8>>,
    /// Whether the bytes begin with small pieces.
    in_pieces: bool,
    then: Then,
}

impl Script {
    fn new(bytes: Vec<u8>, then: Then) -> Self {
        Self {
            bytes: sync::Arc::new(bytes),
            in_pieces: false,
            then,
        }
    }

    /// The same without the last `count` bytes, staying open.
    fn stopping_short(&self, count: usize) -> Self {
        let end = self.bytes.len() - count;
        Self {
            bytes: sync::Arc::new(self.bytes[..end].to_vec()),
            then: Then::Stay,
            ..*self
        }
    }

    fn in_pieces(self) -> Self {
        Self {
            in_pieces: true,
            ..self
        }
    }

    /// Sends the bytes until the end or until the host accepts no more. Returns the connection.
    fn play(&self, front: net::SocketAddr) -> std::io::Result<net::TcpStream> {
        let mut stream = net::TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let small = if self.in_pieces {
            PIECES * PIECE_BYTES
        } else {
            0
        };
        let (first, rest) = self.bytes.split_at(small.min(self.bytes.len()));
        for piece in first.chunks(PIECE_BYTES) {
            if stream.write_all(piece).is_err() {
                return Ok(stream);
            }
            thread::sleep(PIECE_PAUSE);
        }
        // The host may refuse or close the connection before all is written.
        let sent = stream.write_all(rest);
        match self.then {
            Then::Read if sent.is_ok() => {
                let _ = stream.read(&mut [0; 4_096]);
            }
            Then::HalfClose => stream.shutdown(net::Shutdown::Write)?,
            Then::Read | Then::Stay => {}
        }
        Ok(stream)
    }
}

/// Request with a body of the largest legal size.
fn whole(host: &Host) -> Script {
    let length = host.max_body_bytes;
    let head = format!("{}Content-Length: {length}\r\n\r\n", host.head);
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + length, b'x');
    Script::new(bytes, Then::Read)
}

/// Request with a body of `length` bytes in chunks of `chunk` bytes, with its end.
fn chunked(host: &Host, length: usize, chunk: usize) -> Script {
    let mut bytes = format!("{}Transfer-Encoding: chunked\r\n\r\n", host.head).into_bytes();
    let mut left = length;
    while left > 0 {
        let n = left.min(chunk);
        bytes.extend_from_slice(format!("{n:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + n, b'x');
        bytes.extend_from_slice(b"\r\n");
        left -= n;
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    Script::new(bytes, Then::Read)
}

/// Head of a request with these headers and nothing after it.
fn bare_head(host: &Host, headers: &str, then: Then) -> Script {
    Script::new(format!("{}{headers}\r\n", host.head).into_bytes(), then)
}

/// Sends one ordinary request and returns whether it was answered with status 200.
fn is_answered(host: &Host) -> bool {
    let head = format!(
        "{}Connection: close\r\nContent-Length: {ORDINARY_BYTES}\r\n\r\n",
        host.head
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + ORDINARY_BYTES, b'x');
    let Ok(mut stream) = net::TcpStream::connect(host.front) else {
        return false;
    };
    let mut text = Vec::new();
    let answered = stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .and_then(|()| stream.write_all(&bytes))
        .and_then(|()| stream.read_to_end(&mut text));
    answered.is_ok() && text.starts_with(b"HTTP/1.1 200")
}

/// Sends ordinary requests one after another until one is answered.
fn poll_answered(host: &Host) -> bool {
    let begin = time::Instant::now();
    while !is_answered(host) {
        if begin.elapsed() > HANG_TIMEOUT {
            return false;
        }
        thread::sleep(POLL_PAUSE);
    }
    true
}

/// Waits until the host has processed what it got: it used no processor time since the last look.
fn settle(host: &Host) {
    let used = || {
        let stat = fs::read_to_string(format!("/proc/{}/stat", host.process)).unwrap_or_default();
        let fields: Vec<_> = stat.split_whitespace().skip(13).take(2).collect();
        fields.join(" ")
    };
    let begin = time::Instant::now();
    let mut last = used();
    while begin.elapsed() < HANG_TIMEOUT {
        thread::sleep(POLL_PAUSE);
        let now = used();
        if now == last {
            return;
        }
        last = now;
    }
}

/// Waits until the host serves, before a crowd comes.
pub fn wait_until_answered(host: &Host) {
    assert!(poll_answered(host), "the host doesn't serve");
}

/// Checks that the host lives within its machine.
fn check_bounds(host: &Host) {
    let process = host.process;
    let peak_mb = process::peak_memory_mb(process).expect("the host lives");
    let fds = fs::read_dir(format!("/proc/{process}/fd")).expect("the host lives");
    let fds = fds.count();
    println!("{peak_mb} MB, {fds} descriptors");
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB, {fds} descriptors");
    assert!(fds <= MAX_FDS, "{fds} descriptors, {peak_mb} MB");
}

/// Plays `count` scripts at the same time, and checks the host with all of them still connected.
fn check(host: &Host, count: usize, script: impl Fn(usize) -> Script) {
    let front = host.front;
    let streams: Vec<_> = thread::scope(|scope| {
        let clients: Vec<_> = (0..count)
            .map(|n| {
                let script = script(n);
                scope.spawn(move || script.play(front))
            })
            .collect();
        let streams = clients.into_iter().map(|c| c.join().expect("a client"));
        streams.collect()
    });
    settle(host);
    check_bounds(host);
    let answered = poll_answered(host);
    check_bounds(host);
    assert!(answered, "an ordinary request is not answered");
    drop(streams);
}

/// Plays the script, of which nine in ten stop `short` bytes before its end.
fn check_stopping_short(host: &Host, full: &Script, short: usize) {
    let stopping = full.stopping_short(short);
    check(host, SENDERS, |n| {
        let script = if n % 10 == 0 { full } else { &stopping };
        script.clone()
    });
}

/// A single request of the largest legal size is served.
pub fn single_largest(host: &Host) {
    let mut text = [0; 16];
    let script = whole(host);
    let mut stream = net::TcpStream::connect(host.front).expect("a connection");
    stream.write_all(&script.bytes).expect("accepted");
    let n = stream.read(&mut text).expect("a response");
    assert!(text[..n].starts_with(b"HTTP/1.1 200"), "{text:?}");
}

pub fn whole_bodies(host: &Host) {
    let script = whole(host);
    check(host, SENDERS, |_| script.clone());
}

pub fn bodies_in_pieces(host: &Host) {
    let script = whole(host).in_pieces();
    check(host, SENDERS, |_| script.clone());
}

pub fn bodies_stopping_short(host: &Host) {
    check_stopping_short(host, &whole(host), 1);
}

pub fn pieces_stopping_short(host: &Host) {
    check_stopping_short(host, &whole(host).in_pieces(), 1);
}

pub fn large_chunks(host: &Host) {
    let script = chunked(host, host.max_body_bytes, CHUNK_BYTES);
    check(host, SENDERS, |_| script.clone());
}

pub fn tiny_chunks(host: &Host) {
    let script = chunked(host, TINY_CHUNKED_BYTES, 1);
    check(host, SENDERS, |_| script.clone());
}

pub fn large_chunks_stopping_short(host: &Host) {
    let script = chunked(host, host.max_body_bytes, CHUNK_BYTES);
    check_stopping_short(host, &script, "0\r\n\r\n".len());
}

pub fn tiny_chunks_stopping_short(host: &Host) {
    let script = chunked(host, TINY_CHUNKED_BYTES, 1);
    check_stopping_short(host, &script, "0\r\n\r\n".len());
}

pub fn announced_over_limit(host: &Host) {
    let mut script = bare_head(host, "Content-Length: 999999999999999\r\n", Then::Stay);
    sync::Arc::make_mut(&mut script.bytes).resize(EXCESSIVE_BYTES, b'x');
    check(host, SENDERS, |_| script.clone());
}

pub fn announced_and_not_sent(host: &Host) {
    let length = host.max_body_bytes;
    let script = bare_head(host, &format!("Content-Length: {length}\r\n"), Then::Stay);
    check(host, SENDERS, |_| script.clone());
}

pub fn sent_over_limit(host: &Host) {
    let script = chunked(host, EXCESSIVE_BYTES, CHUNK_BYTES);
    let script = script.stopping_short("0\r\n\r\n".len());
    check(host, SENDERS, |_| script.clone());
}

pub fn endless_heads(host: &Host) {
    let mut bytes = format!("{}X: ", host.head).into_bytes();
    bytes.resize(HEAD_BYTES, b'x');
    let script = Script::new(bytes, Then::Stay);
    check(host, SENDERS, |_| script.clone());
}

pub fn silent_connections(host: &Host) {
    let script = Script::new(Vec::new(), Then::Stay);
    check(host, HOLDERS, |_| script.clone());
}

pub fn unread_responses(host: &Host) {
    let headers = "Accept: large\r\nContent-Length: 0\r\n";
    let script = bare_head(host, headers, Then::Stay);
    check(host, HOLDERS, |_| script.clone());
}

pub fn half_closed(host: &Host) {
    let script = bare_head(host, "Content-Length: 1000\r\n", Then::HalfClose);
    check(host, HOLDERS, |_| script.clone());
}

pub fn continue_without_body(host: &Host) {
    let headers = "Expect: 100-continue\r\nContent-Length: 1000\r\n";
    let script = bare_head(host, headers, Then::Stay);
    check(host, HOLDERS, |_| script.clone());
}
