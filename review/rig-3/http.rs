//! HTTP/1.1 over blocking sockets: requests, responses, a server and a client.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request or a response: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, whatever the case of its name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    /// Body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reader of the messages on one connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        let n = self.stream.read(&mut bytes)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..n]);
        Ok(())
    }

    fn take(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the first line and the headers.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            line: self.take_line()?,
            ..Message::default()
        };
        loop {
            let line = self.take_line()?;
            if line.is_empty() {
                return Ok(message);
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    /// Reads a body by its length or in chunks.
    pub fn body(&mut self, head: &Message) -> io::Result<Vec<u8>> {
        if head.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            while let Some(chunk) = self.chunk()? {
                body.extend(chunk);
            }
            return Ok(body);
        }
        let length = head.header("content-length").and_then(|l| l.parse().ok());
        self.take(length.unwrap_or(0))
    }

    /// Reads the next chunk of a body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.take_line()?;
        let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
        let chunk = self.take(size)?;
        self.take(2)?;
        Ok((size > 0).then_some(chunk))
    }

    /// Reads to the end of the connection.
    pub fn to_end(&mut self) -> io::Result<Vec<u8>> {
        loop {
            match self.fill() {
                Ok(()) => {}
                Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Ok(self.buffer.split_off(0)),
                Err(e) => return Err(e),
            }
        }
    }

    /// Reads a message with its whole body.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        message.body = self.body(&message)?;
        Ok(message)
    }
}

/// Text of a response with a length.
pub fn response(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// A server on a loopback port, with one thread a connection. `stop` closes its port and its connections.
pub struct Server {
    pub address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves connections with `serve` on `port`.
    pub fn start<F>(port: u16, serve: F) -> io::Result<Self>
    where
        F: Fn(TcpStream) + Clone + Send + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", port))?;
        listener.set_nonblocking(true)?;
        let server = Self {
            address: listener.local_addr()?,
            is_stopped: Arc::default(),
            open: Arc::default(),
        };
        let (is_stopped, open) = (server.is_stopped.clone(), server.open.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let serve = serve.clone();
                thread::spawn(move || serve(stream));
            }
        });
        Ok(server)
    }

    /// Closes the port and all connections.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(20));
        self.reset();
    }

    /// Closes all connections; new ones are served.
    pub fn reset(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Result of a client's request.
pub type Answer = io::Result<Message>;

/// Sends a request on a new connection and reads its answer.
pub fn send(address: SocketAddr, head: &str, body: &str, timeout: Duration) -> Answer {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len()).as_bytes())?;
    Reader::new(stream).message()
}

/// Ports below those that systems give to outgoing connections.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Returns a port that is free at the moment, another one each time.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let offset = std::process::id().wrapping_mul(131);
    loop {
        let n = NEXT.fetch_add(1, Ordering::SeqCst).wrapping_add(offset);
        let port = (PORTS.start + n % (PORTS.end - PORTS.start)) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}
