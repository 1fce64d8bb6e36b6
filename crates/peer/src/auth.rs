//! Hosts prove to each other that they hold the same secret.
//!
//! Each side sends a number drawn for the connection, then the HMAC of the other's number with
//! both names. The messages after that are not signed: see `docs/DESIGN.md`.

use base::name;
use hmac::Mac as _;
use serde::{Deserialize, Serialize};

/// Bytes of the drawn number.
pub const NONCE_BYTES: usize = 16;

/// The first message of each side.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Version of the messages.
    pub version: u16,
    /// Who speaks.
    pub host: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// A number drawn for this connection.
    pub nonce: [u8; NONCE_BYTES],
}

/// The second message of each side.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Proof {
    /// HMAC-SHA-256 of the other's number and both names.
    pub mac: [u8; 32],
}

fn mac(secret: &str, prover: &name::Host, checker: &Hello) -> hmac::Hmac<sha2::Sha256> {
    let key = secret.as_bytes();
    let mut mac = match hmac::Hmac::<sha2::Sha256>::new_from_slice(key) {
        Ok(mac) => mac,
        Err(_) => unreachable!("HMAC takes keys of any length"),
    };
    mac.update(&checker.nonce);
    for name in [prover, &checker.host] {
        mac.update(&(name.as_str().len() as u64).to_le_bytes());
        mac.update(name.as_str().as_bytes());
    }
    mac
}

/// The proof that `prover` gives to the side that said `checker`.
pub fn prove(secret: &str, prover: &name::Host, checker: &Hello) -> Proof {
    Proof {
        mac: mac(secret, prover, checker).finalize().into_bytes().into(),
    }
}

/// Whether `proof` shows that the host that said `theirs` holds the secret. `ours` is what this
/// side said. A host that claims this side's name is refused: its proof could be an echo.
pub fn verify(secret: &str, theirs: &Hello, ours: &Hello, proof: &Proof) -> bool {
    if theirs.host == ours.host {
        return false;
    }
    mac(secret, &theirs.host, ours)
        .verify_slice(&proof.mac)
        .is_ok()
}
