//! Keys of teams: only their hashes are kept.

use std::fmt::Write as _;

use sha2::Digest as _;

/// The SHA-256 of a caller's key in hexadecimal, as the configuration keeps it.
pub fn digest(key: &str) -> String {
    hex(&sha2::Sha256::digest(key.as_bytes()))
}

/// `bytes` in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 2);
    for b in bytes {
        let _ = write!(out, "{b:02x}");
    }
    out
}
