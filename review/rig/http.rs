//! HTTP/1.1 over blocking sockets: messages as they are on the wire.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Message with its start line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_whole: bool,
}

impl Message {
    /// Value of the first header `name`, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Status of a response; 0 for anything else.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

/// Connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Connects, and fails reads after `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let n = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(n)
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            while self.buffer.starts_with(b"\r\n") {
                self.buffer.drain(..2);
            }
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
        Ok(Some(Message {
            start,
            headers: headers.collect(),
            ..Message::default()
        }))
    }

    fn take(&mut self, wanted: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < wanted {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..wanted).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
        Ok(String::from_utf8_lossy(&line[..end]).into_owned())
    }

    /// Reads the body that follows the head of `message`. A body that ends early leaves
    /// `is_whole` unset and keeps the bytes that arrived.
    pub fn read_body(&mut self, message: &mut Message) {
        let is_chunked = message.header("transfer-encoding").contains("chunked");
        let length: usize = message.header("content-length").parse().unwrap_or(0);
        if !is_chunked {
            if let Ok(body) = self.take(length) {
                message.body = body;
                message.is_whole = true;
            }
            return;
        }
        loop {
            let Ok(line) = self.take_line() else { return };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
                return;
            };
            let Ok(chunk) = self.take(size + 2) else {
                return;
            };
            if size == 0 {
                message.is_whole = true;
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }

    /// Reads a message with its body; `None` at the end of the connection or after an error.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head().ok()??;
        self.read_body(&mut message);
        Some(message)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|w| w == wanted)
}

/// Formats a response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let reason = if status < 300 { "OK" } else { "Error" };
    let length = body.len();
    let head = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{headers}\r\n");
    [head.as_bytes(), body].concat()
}

/// Sends one request on a connection of its own and reads the response.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut conn = Connection::open(address, timeout).ok()?;
    conn.send(request).ok()?;
    conn.read()
}

/// Serves each connection to a free port of 127.0.0.1 in a thread of its own. Returns the address.
pub fn serve(handle: impl Fn(Connection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    address
}

/// Address of 127.0.0.1 with a port that is free now, for a process that binds it later.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("bound")
}
