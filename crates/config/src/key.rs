//! Keys of teams: only their hashes are kept.

use std::fmt::Write as _;

use hmac::Mac as _;
use sha2::Digest as _;

/// The SHA-256 of a caller's key in hexadecimal, as the configuration keeps it.
pub fn digest(key: &str) -> String {
    hex(&sha2::Sha256::digest(key.as_bytes()))
}

/// Proves to a host that an operator, who holds the hosts' secret, blocked the key with this digest.
pub fn block_proof(secret: &str, digest: &str) -> String {
    hex(&block_mac(secret, digest).finalize().into_bytes())
}

/// Whether `proof` is that of an operator.
pub fn is_block_proof(secret: &str, digest: &str, proof: &str) -> bool {
    bytes(proof).is_some_and(|p| block_mac(secret, digest).verify_slice(&p).is_ok())
}

fn block_mac(secret: &str, digest: &str) -> hmac::Hmac<sha2::Sha256> {
    let mut mac = match hmac::Hmac::<sha2::Sha256>::new_from_slice(secret.as_bytes()) {
        Ok(mac) => mac,
        Err(_) => unreachable!("HMAC takes keys of any length"),
    };
    mac.update(b"block ");
    mac.update(digest.as_bytes());
    mac
}

/// A digest as bytes, a quarter of the memory of its text; `None` if `text` is not a digest.
pub fn bytes(text: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (n, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(out)
}

/// `bytes` in lower-case hexadecimal.
pub fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 2);
    for b in bytes {
        let _ = write!(out, "{b:02x}");
    }
    out
}
