//! API keys of teams, of which only the SHA-256 digests are stored.

use std::fmt::Write as _;

use hmac::Mac as _;
use sha2::Digest as _;

/// Computes the SHA-256 digest of an API key in hexadecimal, as stored in the configuration.
pub fn digest(key: &str) -> String {
    hex(&sha2::Sha256::digest(key.as_bytes()))
}

/// Computes the HMAC, keyed with the hosts' shared secret, that authenticates an operator's request
/// to block the API key with `digest`.
pub fn block_proof(secret: &str, digest: &str) -> String {
    hex(&block_mac(secret, digest).finalize().into_bytes())
}

/// Verifies a proof computed by [`block_proof`].
pub fn is_block_proof(secret: &str, digest: &str, proof: &str) -> bool {
    parse_digest(proof).is_some_and(|p| block_mac(secret, digest).verify_slice(&p).is_ok())
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

/// Decodes a hexadecimal digest to bytes, which take less memory than the text. Returns `None` if
/// `text` is not 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let mut out = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (n, byte) in out.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(out)
}

/// Encodes `bytes` as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    let mut out = String::with_capacity(bytes.len() * 2);
    for b in bytes {
        let _ = write!(out, "{b:02x}");
    }
    out
}
