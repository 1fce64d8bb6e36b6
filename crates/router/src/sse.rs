//! Incremental parser that splits the bytes of a stream into complete server-sent events.

use bytes::{Buf as _, Bytes, BytesMut};

/// Size above which an incomplete event is rejected, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
const EVENT_END: &[u8] = b"\n\n";

/// A server-sent event in its original encoding, with its parsed id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Bytes of the event as received, including the terminating empty line.
    pub bytes: Bytes,
    /// Value of the `id` field; `None` if the event has no such field.
    pub id: Option<u64>,
}

impl Event {
    /// Whether the event may follow the one with the id `last`, the latest with an id that the client
    /// has. Other bytes than events of the stream have no id; a comment needs none.
    pub fn may_follow(&self, last: Option<u64>) -> bool {
        last.is_none() || self.id.is_some() || self.bytes.starts_with(b":")
    }
}

/// Why the rest of a stream can't be parsed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InvalidEvent {
    /// An event is too long.
    TooLong,
    /// The id of an event is not a number.
    BadId,
}

/// Buffers received bytes until they form a complete event.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// Length of the prefix of `buffer` in which no event ends.
    scanned: usize,
}

impl Parser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidEvent`] if the event is too long or its id is not a number.
    pub fn next_event(&mut self) -> Result<Option<Event>, InvalidEvent> {
        let from = self.scanned.saturating_sub(EVENT_END.len() - 1);
        let end = self.buffer[from..]
            .windows(EVENT_END.len())
            .position(|w| w == EVENT_END);
        let Some(offset) = end else {
            self.scanned = self.buffer.len();
            if self.scanned > MAX_EVENT_BYTES {
                return Err(InvalidEvent::TooLong);
            }
            return Ok(None);
        };
        let bytes = self
            .buffer
            .split_to(from + offset + EVENT_END.len())
            .freeze();
        self.scanned = 0;
        let id = parse_id(&bytes)?;
        Ok(Some(Event { bytes, id }))
    }

    /// Number of bytes in the buffer.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer holds the beginning of an incomplete event.
    pub fn is_partial(&self) -> bool {
        self.buffer.has_remaining()
    }
}

fn parse_id(event: &[u8]) -> Result<Option<u64>, InvalidEvent> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).map_err(|_| InvalidEvent::BadId)?;
        return text
            .trim()
            .parse()
            .map(Some)
            .map_err(|_| InvalidEvent::BadId);
    }
    Ok(None)
}
