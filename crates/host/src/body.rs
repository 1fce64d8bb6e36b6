//! Reading a request's body within bounds of size and time.

use std::io;

use base::{clock, refusal};

/// Time for a whole body to arrive.
const WHOLE: clock::Millis = clock::Millis(20_000);
const STEP_BYTES: usize = 16 * 1024;

/// Reads the body of `request`, up to `limit` bytes.
///
/// # Errors
///
/// `TooLarge`, `SlowCaller`, or `BadRequest` if the caller stopped halfway.
pub fn read(
    request: &mut tiny_http::Request,
    limit: usize,
    clock: &clock::Clock,
) -> Result<Vec<u8>, refusal::Refusal> {
    let refuse = |reason| Err(refusal::Refusal::not_run(reason));
    let length = request.body_length();
    if length.is_some_and(|n| n > limit) {
        return refuse(refusal::Reason::TooLarge);
    }
    let end = clock.now() + WHOLE;
    let mut out = Vec::with_capacity(length.unwrap_or_default().min(limit));
    let mut step = vec![0; STEP_BYTES];
    let reader = request.as_reader();
    loop {
        let n = match reader.read(&mut step) {
            Ok(0) => break,
            Ok(n) => n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) if is_timeout(&e) => return refuse(refusal::Reason::SlowCaller),
            Err(_) => return refuse(refusal::Reason::BadRequest),
        };
        out.extend_from_slice(&step[..n]);
        if out.len() > limit {
            return refuse(refusal::Reason::TooLarge);
        }
        if clock.now() > end {
            return refuse(refusal::Reason::SlowCaller);
        }
    }
    if length.is_some_and(|n| n != out.len()) {
        return refuse(refusal::Reason::BadRequest);
    }
    Ok(out)
}

fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
