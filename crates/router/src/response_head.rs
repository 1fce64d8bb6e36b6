//! Check of the heads of responses beyond those of the HTTP libraries, which accept a transfer coding beside
//! a length, codings that they don't decode, and status codes above 599.

use std::io;
use std::pin;
use std::rc;
use std::task;

use hyper::rt;
use smallvec::SmallVec;

/// Largest number of bytes read at a time while a head is awaited.
const MAX_READ_BYTES: usize = 8 << 10;
/// Largest number of headers that the HTTP library accepts in a head.
const MAX_HEADERS: usize = 100;
/// Codes from here on are invalid, by section 15 of RFC 9110.
const FIRST_INVALID_STATUS: u16 = 600;

/// Socket of a connection to a server. Reading fails when the head of a response is faulty.
#[derive(Debug)]
pub struct CheckedSocket<S> {
    io: S,
    head: rc::Rc<AwaitedHead>,
}

/// Head of the next response on a connection.
#[derive(Debug, Default)]
pub struct AwaitedHead {
    /// Bytes of the head so far; `None` while no head is awaited.
    bytes: std::cell::RefCell<Option<Vec<u8>>>,
}

impl AwaitedHead {
    /// Begins to check the bytes that are read, as a request is about to be sent.
    pub fn await_next(&self) {
        *self.bytes.borrow_mut() = Some(Vec::new());
    }

    fn is_awaited(&self) -> bool {
        self.bytes.borrow().is_some()
    }

    /// Checks the next bytes. What the library rejects by itself is left to it.
    fn push(&self, received: &[u8]) -> Result<(), &'static str> {
        let mut bytes = self.bytes.borrow_mut();
        let Some(head) = bytes.as_mut() else {
            return Ok(());
        };
        head.extend_from_slice(received);
        while let Some(head_end) = check_bytes(head)? {
            match head_end {
                HeadEnd::Missing => return Ok(()),
                HeadEnd::Interim(length) => drop(head.drain(..length)),
            }
        }
        *bytes = None;
        Ok(())
    }
}

/// Where an awaited head stands.
enum HeadEnd {
    /// Its end has not been read.
    Missing,
    /// An interim response of this length comes before it.
    Interim(usize),
}

/// Checks the bytes of a head; `None` if it is valid and final, or left to the library.
fn check_bytes(head: &[u8]) -> Result<Option<HeadEnd>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(head) {
        Ok(httparse::Status::Partial) => return Ok(Some(HeadEnd::Missing)),
        Ok(httparse::Status::Complete(length)) => length,
        Err(_) => return Ok(None),
    };
    let status = response.code.unwrap_or_default();
    let fields = response.headers.iter().map(|h| (h.name, h.value));
    check(status, &fields.collect::<SmallVec<[_; 16]>>())?;
    let is_interim = matches!(status, 100 | 102..=199);
    Ok(is_interim.then_some(HeadEnd::Interim(length)))
}

/// Checks the status code and the headers of a head that could be parsed.
///
/// # Errors
///
/// Why the response is not valid.
pub fn check(status: u16, headers: &[(&str, &[u8])]) -> Result<(), &'static str> {
    if status >= FIRST_INVALID_STATUS {
        return Err("status code above 599");
    }
    let values = |name: &'static str| {
        let named = headers.iter();
        let named = named.filter(move |(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.trim_ascii())
    };
    let mut lengths = values("content-length");
    let is_length = |v: &[u8]| !v.is_empty() && v.iter().all(u8::is_ascii_digit);
    let length = lengths.next();
    if length.is_some_and(|length| !is_length(length) || lengths.any(|other| other != length)) {
        return Err("content length that is no number, or several");
    }
    let mut codings = values("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    // By section 6.3 of RFC 9112, this may be an attempt to split the response.
    if length.is_some() {
        return Err("content length beside a transfer coding");
    }
    // The body would keep any other coding, which the client is not told.
    if !coding.eq_ignore_ascii_case(b"chunked") || codings.next().is_some() {
        return Err("transfer coding other than chunked");
    }
    Ok(())
}

impl<S> CheckedSocket<S> {
    /// Wraps a socket. Heads are checked that `head` awaits.
    pub fn new(io: S, head: rc::Rc<AwaitedHead>) -> Self {
        Self { io, head }
    }
}

impl<S: rt::Read + Unpin> rt::Read for CheckedSocket<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        mut buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        if !self.head.is_awaited() {
            return pin::Pin::new(&mut self.io).poll_read(cx, buf);
        }
        let mut bytes = [0; MAX_READ_BYTES];
        let capacity = buf.remaining().min(MAX_READ_BYTES);
        let mut received = rt::ReadBuf::new(&mut bytes[..capacity]);
        task::ready!(pin::Pin::new(&mut self.io).poll_read(cx, received.unfilled()))?;
        if let Err(fault) = self.head.push(received.filled()) {
            tracing::info!(event = "response_invalid", fault);
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
        }
        buf.put_slice(received.filled());
        task::Poll::Ready(Ok(()))
    }
}

impl<S: rt::Write + Unpin> rt::Write for CheckedSocket<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
