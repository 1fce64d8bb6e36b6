//! Reading of whole bodies, of requests and responses, into the memory for them.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body;

use crate::memory;

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

/// Reads a body of at most `max_bytes`. The memory is held until the returned bytes are dropped.
///
/// # Errors
///
/// See [`Error`]; the memory is free again.
pub async fn read(
    mut body: body::Incoming,
    max_bytes: usize,
    memory: &memory::Budget,
) -> Result<Bytes, Error> {
    let mut hold = memory.open();
    let mut frames = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Error::Broken)?.into_data() else {
            continue;
        };
        length += data.len();
        if length > max_bytes {
            return Err(Error::TooLarge);
        }
        hold.resize(length).map_err(|_| Error::Exhausted)?;
        frames.push(data);
    }
    if length == 0 {
        return Ok(Bytes::new());
    }
    let mut bytes = BytesMut::with_capacity(length);
    for frame in frames {
        bytes.extend_from_slice(&frame);
    }
    Ok(hold.attach(bytes.freeze()))
}
