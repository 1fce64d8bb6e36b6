//! Reading of whole bodies, of requests and responses, into the memory for them.

use base::clock;
use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use hyper::body;
use tokio::time;

use crate::memory;

/// Least number of bytes by which the buffer of a body grows, unless the body is shorter.
const MIN_GROWTH_BYTES: usize = 4 << 10;

/// Longest pause of a client that sends a refused body; the refusal is sent then.
const DISCARD_PAUSE: clock::Millis = clock::Millis(500);

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Error {
    /// The body is larger than allowed.
    TooLarge,
    /// The memory for requests and responses is used up.
    Exhausted,
    /// The connection ended before the body did, or the body can't be parsed.
    Broken,
}

/// Reads a body of at most `max_bytes` into one buffer, whose whole size counts as held: a frame may
/// be a single byte and still keep a receive buffer of kilobytes. `free_memory` is called while there
/// is no memory, and returns whether some was freed. The memory is held until the returned bytes are
/// dropped.
///
/// # Errors
///
/// See [`Error`]; the memory is free again. A body whose announced length is too large is not read.
pub async fn read(
    body: &mut body::Incoming,
    max_bytes: usize,
    memory: &memory::Budget,
    mut free_memory: impl AsyncFnMut() -> bool,
) -> Result<Bytes, Error> {
    let announced = body.size_hint().exact();
    if announced.is_some_and(|n| n > max_bytes as u64) {
        return Err(Error::TooLarge);
    }
    let max_capacity = announced.map_or(max_bytes, |n| n as usize);
    let mut hold = memory.open();
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(Error::TooLarge);
        }
        if length > bytes.capacity() {
            let capacity = length + (length / 4).max(MIN_GROWTH_BYTES);
            let capacity = capacity.min(max_capacity).max(length);
            while hold.resize(capacity).is_err() {
                if !free_memory().await {
                    return Err(Error::Exhausted);
                }
            }
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
    }
    if bytes.is_empty() {
        return Ok(Bytes::new());
    }
    bytes.shrink_to_fit();
    // Shrinking never fails.
    let _ = hold.resize(bytes.len());
    Ok(hold.attach(bytes.into()))
}

/// Reads and drops the rest of a refused body, since many clients read no response before they have
/// sent all. Ends with the body, when the client pauses, after twice `max_bytes`, or after `timeout`. A
/// body that is announced larger than that is not read.
pub async fn discard(body: &mut body::Incoming, max_bytes: usize, timeout: clock::Millis) {
    let mut left = 2 * max_bytes;
    if body.size_hint().lower() > left as u64 {
        return;
    }
    let reading = async {
        while let Ok(Some(Ok(frame))) = time::timeout(DISCARD_PAUSE.duration(), body.frame()).await
        {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    };
    // The refusal is sent in either case.
    let _ = time::timeout(timeout.duration(), reading).await;
}
