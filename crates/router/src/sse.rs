//! Server-sent events cut from a stream's bytes, whole ones only.

use bytes::{Buf as _, Bytes, BytesMut};

/// The longest event accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
const END: &[u8] = b"\n\n";

/// An event as it came, with its id.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its bytes, the empty line included.
    pub bytes: Bytes,
    /// Its id, if it has one.
    pub id: Option<u64>,
}

/// The stream can't be read on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct InvalidEvent;

/// Bytes that came and are not yet a whole event.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    scanned: usize,
}

impl Parser {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event.
    ///
    /// # Errors
    ///
    /// The event is too long or its id is not a number.
    pub fn next_event(&mut self) -> Result<Option<Event>, InvalidEvent> {
        let from = self.scanned.saturating_sub(END.len() - 1);
        let found = self.buffer[from..]
            .windows(END.len())
            .position(|w| w == END);
        let Some(at) = found else {
            self.scanned = self.buffer.len();
            if self.scanned > MAX_EVENT_BYTES {
                return Err(InvalidEvent);
            }
            return Ok(None);
        };
        let bytes = self.buffer.split_to(from + at + END.len()).freeze();
        self.scanned = 0;
        let id = id_of(&bytes)?;
        Ok(Some(Event { bytes, id }))
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        self.buffer.has_remaining()
    }
}

fn id_of(event: &[u8]) -> Result<Option<u64>, InvalidEvent> {
    for line in event.split(|b| *b == b'\n') {
        let Some(value) = line.strip_prefix(b"id:") else {
            continue;
        };
        let text = std::str::from_utf8(value).map_err(|_| InvalidEvent)?;
        return text.trim().parse().map(Some).map_err(|_| InvalidEvent);
    }
    Ok(None)
}
