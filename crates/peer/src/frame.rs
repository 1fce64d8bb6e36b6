//! Frames on a stream: three bytes of length, little-endian, then the message in `bincode`.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

const HEADER_BYTES: usize = 3;

/// A frame that can't be read: the connection is of no more use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidFrame;

/// Appends `message` as a frame.
///
/// # Errors
///
/// The message is too long.
pub fn write<T: Serialize>(message: &T, out: &mut Vec<u8>) -> Result<(), InvalidFrame> {
    let start = out.len();
    out.extend_from_slice(&[0; HEADER_BYTES]);
    let config = bincode::config::standard();
    if bincode::serde::encode_into_std_write(message, out, config).is_err() {
        out.truncate(start);
        return Err(InvalidFrame);
    }
    let len = out.len() - start - HEADER_BYTES;
    if len > MAX_MESSAGE_BYTES {
        out.truncate(start);
        return Err(InvalidFrame);
    }
    out[start..start + HEADER_BYTES].copy_from_slice(&(len as u32).to_le_bytes()[..HEADER_BYTES]);
    Ok(())
}

/// Bytes of a stream, cut into frames.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: Vec<u8>,
    at: usize,
}

impl Reader {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.at > 0 {
            self.bytes.drain(..self.at);
            self.at = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole message, if it is there.
    ///
    /// # Errors
    ///
    /// The frame is too long or not a message.
    pub fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, InvalidFrame> {
        let rest = &self.bytes[self.at..];
        let Some((header, rest)) = rest.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [a, b, c] = *header;
        let len = u32::from_le_bytes([a, b, c, 0]) as usize;
        if len > MAX_MESSAGE_BYTES {
            return Err(InvalidFrame);
        }
        if rest.len() < len {
            return Ok(None);
        }
        let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
        let read = bincode::serde::decode_from_slice(&rest[..len], config);
        let (message, used) = read.map_err(|_| InvalidFrame)?;
        if used != len {
            return Err(InvalidFrame);
        }
        self.at += HEADER_BYTES + len;
        Ok(Some(message))
    }
}
