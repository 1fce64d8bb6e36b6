//! Reads request bodies within limits of size and time.

use std::io;

use base::{clock, refusal};
use bytes::Bytes;

use crate::context;

/// Time within which a request body must arrive completely.
const BODY_TIMEOUT: clock::Millis = clock::Millis(20_000);
/// Suggested delay before a client retries while there is no memory for its request.
const FULL_RETRY_DELAY: clock::Millis = clock::Millis(1_000);
/// Size of the buffer for one read from the connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Reads the body of `request`, at most `max_bytes` long.
///
/// # Errors
///
/// `TooLarge` if the body is longer than `max_bytes`, `SlowCaller` if it does not arrive in time,
/// `BadRequest` if the client closed the connection before the end of the body, `HostFull` if there is no
/// memory for it, which is held until the returned bytes are dropped.
pub fn read(
    context: &context::Context,
    request: &mut tiny_http::Request,
    max_bytes: usize,
) -> Result<Bytes, refusal::Refusal> {
    let clock = &context.clock;
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    let content_length = request.body_length();
    if content_length.is_some_and(|n| n > max_bytes) {
        return refuse(refusal::Reason::TooLarge);
    }
    let deadline = clock.now() + BODY_TIMEOUT;
    let mut hold = context.memory.open();
    let mut body = Vec::with_capacity(content_length.unwrap_or_default().min(max_bytes));
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let reader = request.as_reader();
    loop {
        let n = match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) if is_timeout(&e) => return refuse(refusal::Reason::SlowCaller),
            Err(_) => return refuse(refusal::Reason::BadRequest),
        };
        if hold.grow(n).is_err() {
            let full = refusal::Refusal::not_run(refusal::Reason::HostFull);
            return Err(full.with_retry_after(FULL_RETRY_DELAY));
        }
        body.extend_from_slice(&buffer[..n]);
        if body.len() > max_bytes {
            return refuse(refusal::Reason::TooLarge);
        }
        if clock.now() > deadline {
            return refuse(refusal::Reason::SlowCaller);
        }
    }
    if content_length.is_some_and(|n| n != body.len()) {
        return refuse(refusal::Reason::BadRequest);
    }
    Ok(hold.attach(body.into()))
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
