//! Detection of request heads with both `Content-Length` and `Transfer-Encoding`.
//!
//! The HTTP library uses the transfer coding and drops the length, so the request looks valid to
//! its handler, while a proxy in front of this host may have used the length (request smuggling).
//! Such a request is refused.

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
/// Bytes kept of a header name: one more than the longest name searched for, so that longer names
/// do not match.
const MAX_NAME_BYTES: usize = TRANSFER_ENCODING.len() + 1;

/// Incremental scanner of the bytes of one request head.
#[derive(Debug, Default)]
pub struct HeadScanner {
    header_name: Vec<u8>,
    in_value: bool,
    line_bytes: usize,
    has_length: bool,
    has_coding: bool,
    is_complete: bool,
}

impl HeadScanner {
    /// Scans the next bytes; bytes after the end of the head are ignored.
    pub fn push(&mut self, bytes: &[u8]) {
        for b in bytes {
            if self.is_complete {
                return;
            }
            self.push_byte(*b);
        }
    }

    fn push_byte(&mut self, b: u8) {
        match b {
            b'\r' => {}
            b'\n' => {
                self.is_complete = self.line_bytes == 0;
                self.line_bytes = 0;
                self.in_value = false;
                self.header_name.clear();
            }
            _ => {
                self.line_bytes += 1;
                self.push_line_byte(b);
            }
        }
    }

    fn push_line_byte(&mut self, b: u8) {
        if self.in_value {
            return;
        }
        if b == b':' {
            self.in_value = true;
            self.has_length |= self.header_name.eq_ignore_ascii_case(CONTENT_LENGTH);
            self.has_coding |= self.header_name.eq_ignore_ascii_case(TRANSFER_ENCODING);
        } else if self.header_name.len() < MAX_NAME_BYTES {
            self.header_name.push(b);
        }
    }

    /// Whether the head contains both a length and a transfer coding.
    pub fn is_ambiguous(&self) -> bool {
        self.has_length && self.has_coding
    }
}
