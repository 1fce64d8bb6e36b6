//! Detection of request heads that the HTTP library changes without a word.
//!
//! With both `Content-Length` and `Transfer-Encoding`, it uses the transfer coding and drops the length,
//! while a proxy in front of this host may have used the length (request smuggling). Of a target with a
//! `#`, which no target may hold, it drops the rest. Such a request is refused, wherever on a connection it
//! comes.

use std::collections;

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
/// Bytes kept of a header name: one more than the longest name searched for, so that longer names
/// do not match.
const MAX_NAME_BYTES: usize = TRANSFER_ENCODING.len() + 1;

/// Part of a request that the next byte belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Part {
    /// Name of a header, or the request line up to its first colon.
    Name,
    /// Value of the content length.
    Length,
    /// Rest of a line of the head.
    RestOfLine,
    /// Body with this many bytes left.
    Body(u64),
    /// Digits of the size of a chunk.
    ChunkSize(u64),
    /// Extension of a chunk whose data has this many bytes.
    ChunkExtension(u64),
    /// Data of a chunk with this many bytes left, and the end of its line.
    ChunkData(u64),
    /// Lines behind the last chunk.
    Trailer,
    /// The end of the request is not known, so the HTTP library closes the connection after it.
    Unknown,
}

/// Incremental scanner of the bytes of one connection, from its first request on.
#[derive(Debug)]
pub struct RequestScanner {
    part: Part,
    name: Vec<u8>,
    /// Bytes of the current line without its end.
    line_bytes: usize,
    /// Whether the current head has a line.
    has_line: bool,
    length: Option<u64>,
    has_coding: bool,
    /// Whether the current request line has a `#`.
    has_fragment: bool,
    /// Whether each complete head that was not taken yet is to be refused.
    heads: collections::VecDeque<bool>,
}

impl Default for RequestScanner {
    fn default() -> Self {
        Self {
            part: Part::Name,
            name: Vec::new(),
            line_bytes: 0,
            has_line: false,
            length: None,
            has_coding: false,
            has_fragment: false,
            heads: collections::VecDeque::new(),
        }
    }
}

impl RequestScanner {
    /// Scans the next bytes of the connection.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while let Some((b, rest)) = bytes.split_first() {
            bytes = match &mut self.part {
                Part::Unknown => return,
                Part::Body(left) | Part::ChunkData(left) if *left > 1 => {
                    let skipped = bytes
                        .len()
                        .min(usize::try_from(*left - 1).unwrap_or(usize::MAX));
                    *left -= skipped as u64;
                    &bytes[skipped..]
                }
                _ => {
                    self.push_byte(*b);
                    rest
                }
            };
        }
    }

    /// Takes the next complete head; returns whether it contains both a length and a transfer coding, or a
    /// `#` in its request line.
    pub fn take_head(&mut self) -> bool {
        self.heads.pop_front().unwrap_or(false)
    }

    /// Whether the body of the last complete head has not arrived to its end.
    pub fn is_in_body(&self) -> bool {
        !matches!(self.part, Part::Name | Part::Length | Part::RestOfLine)
    }

    fn push_byte(&mut self, b: u8) {
        match self.part {
            Part::Name | Part::Length | Part::RestOfLine => self.push_head_byte(b),
            // The last byte.
            Part::Body(_) => self.part = Part::Name,
            Part::ChunkData(_) => self.part = Part::ChunkSize(0),
            Part::ChunkSize(size) => {
                self.part = match (b as char).to_digit(16) {
                    Some(digit) => match size.checked_mul(16) {
                        Some(size) => Part::ChunkSize(size + u64::from(digit)),
                        None => Part::Unknown,
                    },
                    None if b == b'\n' => after_chunk_size(size),
                    None => Part::ChunkExtension(size),
                }
            }
            Part::ChunkExtension(size) if b == b'\n' => self.part = after_chunk_size(size),
            Part::Trailer if b == b'\n' => {
                if self.line_bytes == 0 {
                    self.part = Part::Name;
                }
                self.line_bytes = 0;
            }
            Part::Trailer if b != b'\r' => self.line_bytes += 1,
            Part::ChunkExtension(_) | Part::Trailer | Part::Unknown => {}
        }
    }

    fn push_head_byte(&mut self, b: u8) {
        self.has_fragment |= b == b'#' && !self.has_line;
        match (b, self.part) {
            (b'\n', _) => self.end_line(),
            (b'\r', _) => {}
            (b':', Part::Name) => {
                self.line_bytes += 1;
                self.part = Part::RestOfLine;
                if self.name.eq_ignore_ascii_case(CONTENT_LENGTH) {
                    self.length = Some(0);
                    self.part = Part::Length;
                }
                self.has_coding |= self.name.eq_ignore_ascii_case(TRANSFER_ENCODING);
            }
            (_, Part::Name) => {
                self.line_bytes += 1;
                if self.name.len() < MAX_NAME_BYTES {
                    self.name.push(b);
                }
            }
            (b'0'..=b'9', Part::Length) => {
                let digit = u64::from(b - b'0');
                let length = self.length.unwrap_or_default();
                // Too large a number is refused by the HTTP library.
                self.length = Some(length.saturating_mul(10).saturating_add(digit));
            }
            _ => {}
        }
    }

    fn end_line(&mut self) {
        self.part = Part::Name;
        self.name.clear();
        if self.line_bytes > 0 {
            self.line_bytes = 0;
            self.has_line = true;
            return;
        }
        // Empty lines before a request are skipped.
        if !std::mem::take(&mut self.has_line) {
            return;
        }
        let length = self.length.take();
        let has_coding = std::mem::take(&mut self.has_coding);
        let has_fragment = std::mem::take(&mut self.has_fragment);
        self.heads
            .push_back(has_fragment || has_coding && length.is_some());
        self.part = match length {
            Some(_) if has_coding => Part::Unknown,
            None if has_coding => Part::ChunkSize(0),
            None | Some(0) => Part::Name,
            Some(length) => Part::Body(length),
        };
    }
}

/// Part behind the line with the size of a chunk. The data ends with a line end, of which the last byte
/// counts.
fn after_chunk_size(size: u64) -> Part {
    match size {
        0 => Part::Trailer,
        _ => size.checked_add(2).map_or(Part::Unknown, Part::ChunkData),
    }
}
