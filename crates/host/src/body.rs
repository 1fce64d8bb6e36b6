//! Reads request bodies within limits of size and time.

use std::io;

use base::{clock, refusal};

/// Time within which a request body must arrive completely.
const BODY_TIMEOUT: clock::Millis = clock::Millis(20_000);
/// Size of the buffer for one read from the connection.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Reads the body of `request`, at most `max_bytes` long.
///
/// # Errors
///
/// `TooLarge` if the body is longer than `max_bytes`, `SlowCaller` if it does not arrive in time,
/// `BadRequest` if the client closed the connection before the end of the body.
pub fn read(
    request: &mut tiny_http::Request,
    max_bytes: usize,
    clock: &clock::Clock,
) -> Result<Vec<u8>, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    let content_length = request.body_length();
    if content_length.is_some_and(|n| n > max_bytes) {
        return refuse(refusal::Reason::TooLarge);
    }
    let deadline = clock.now() + BODY_TIMEOUT;
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
    Ok(body)
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
