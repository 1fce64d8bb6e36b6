//! Heads that state both a length and a transfer coding.
//!
//! The HTTP library takes the coding and drops the length, so the request looks sound to its
//! handler; what stood before this host may have taken the length. Such a request is refused.

const LENGTH: &[u8] = b"content-length";
const CODING: &[u8] = b"transfer-encoding";
/// Bytes of a header's name that are kept: as many as the longest looked for, and one.
const KEPT: usize = CODING.len() + 1;

/// Looks at the bytes of one head as they come.
#[derive(Debug, Default)]
pub struct HeadScanner {
    name: Vec<u8>,
    in_value: bool,
    line: usize,
    length: bool,
    coding: bool,
    over: bool,
}

impl HeadScanner {
    /// Looks at bytes as they come; those after the end of the head are ignored.
    pub fn push(&mut self, bytes: &[u8]) {
        for b in bytes {
            if self.over {
                return;
            }
            self.step(*b);
        }
    }

    fn step(&mut self, b: u8) {
        match b {
            b'\r' => {}
            b'\n' => {
                self.over = self.line == 0;
                self.line = 0;
                self.in_value = false;
                self.name.clear();
            }
            _ => {
                self.line += 1;
                self.take(b);
            }
        }
    }

    fn take(&mut self, b: u8) {
        if self.in_value {
            return;
        }
        if b == b':' {
            self.in_value = true;
            self.length |= self.name.eq_ignore_ascii_case(LENGTH);
            self.coding |= self.name.eq_ignore_ascii_case(CODING);
        } else if self.name.len() < KEPT {
            self.name.push(b);
        }
    }

    /// Whether the head states both.
    pub fn is_ambiguous(&self) -> bool {
        self.length && self.coding
    }
}
