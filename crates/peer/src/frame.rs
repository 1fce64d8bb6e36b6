//! Frame format of a stream: the length in three little-endian bytes, then the message in
//! `bincode`.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest encoded message, in bytes without the frame header.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

const HEADER_BYTES: usize = 3;

/// A message is too large, or received bytes are not a valid frame. After a read error the
/// position of the next frame is unknown, so the connection must be closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidFrame;

/// Appends `message` to `out` as a frame.
///
/// # Errors
///
/// The encoded message is larger than [`MAX_MESSAGE_BYTES`]; `out` is unchanged.
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

/// Decoder that splits the received bytes of a stream into messages.
#[derive(Debug, Default)]
pub struct Reader {
    bytes: Vec<u8>,
    /// Offset of the first byte that has not been decoded.
    offset: usize,
}

impl Reader {
    /// Appends received bytes, which may end anywhere in a frame.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.offset > 0 {
            self.bytes.drain(..self.offset);
            self.offset = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Decodes the next message; `None` if its frame is not complete yet.
    ///
    /// # Errors
    ///
    /// The frame is larger than [`MAX_MESSAGE_BYTES`] or does not hold exactly one message.
    pub fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, InvalidFrame> {
        let pending = &self.bytes[self.offset..];
        let Some((header, payload)) = pending.split_first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let [a, b, c] = *header;
        let len = u32::from_le_bytes([a, b, c, 0]) as usize;
        if len > MAX_MESSAGE_BYTES {
            return Err(InvalidFrame);
        }
        if payload.len() < len {
            return Ok(None);
        }
        let config = bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();
        let decoded = bincode::serde::decode_from_slice(&payload[..len], config);
        let (message, consumed) = decoded.map_err(|_| InvalidFrame)?;
        if consumed != len {
            return Err(InvalidFrame);
        }
        self.offset += HEADER_BYTES + len;
        Ok(Some(message))
    }
}
