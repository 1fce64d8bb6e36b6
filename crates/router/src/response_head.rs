//! Check of the heads of responses beyond those of the HTTP library, which accepts a transfer coding beside
//! a length, codings that it doesn't decode, and status codes above 599.

use std::io;
use std::pin;
use std::rc;
use std::task;

use hyper::rt;

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
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            let length = match response.parse(head) {
                Ok(httparse::Status::Partial) => return Ok(()),
                Ok(httparse::Status::Complete(length)) => length,
                Err(_) => break,
            };
            if let Some(fault) = fault(&response) {
                return Err(fault);
            }
            let is_interim = matches!(response.code, Some(100 | 102..=199));
            if !is_interim {
                break;
            }
            head.drain(..length);
        }
        *bytes = None;
        Ok(())
    }
}

/// Why a head that could be parsed is not valid; `None` if it is.
fn fault(response: &httparse::Response<'_, '_>) -> Option<&'static str> {
    if response
        .code
        .is_some_and(|code| code >= FIRST_INVALID_STATUS)
    {
        return Some("status code above 599");
    }
    let values = |name: &'static str| {
        let headers = response.headers.iter();
        let named = headers.filter(move |h| h.name.eq_ignore_ascii_case(name));
        named.map(|h| h.value.trim_ascii())
    };
    let mut codings = values("transfer-encoding");
    let coding = codings.next()?;
    // By section 6.3 of RFC 9112, this may be an attempt to split the response.
    if values("content-length").next().is_some() {
        return Some("content length beside a transfer coding");
    }
    // The body would keep any other coding, which the client is not told.
    if !coding.eq_ignore_ascii_case(b"chunked") || codings.next().is_some() {
        return Some("transfer coding other than chunked");
    }
    None
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
