//! Mutual authentication of two hosts by a shared secret.
//!
//! Each side sends a random nonce for the connection, then an HMAC over the nonce of the other side
//! and the names of both hosts. Later messages on the connection are not signed: see
//! `docs/DESIGN.md`.

use base::name;
use hmac::Mac as _;
use serde::{Deserialize, Serialize};

/// Length of a nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// First message that each side sends on a connection.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    /// Protocol version of the sender, see [`crate::message::VERSION`].
    pub version: u16,
    /// Name that the sender claims; verified by its [`Proof`].
    pub host: name::Host,
    /// Data centre of the sender.
    pub dc: name::Dc,
    /// Random bytes generated for this connection.
    pub nonce: [u8; NONCE_BYTES],
}

/// Second message that each side sends: proof that it knows the shared secret.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Proof {
    /// HMAC-SHA-256 over the nonce of the receiver and the names of both hosts.
    pub mac: [u8; 32],
}

fn compute_mac(secret: &str, prover: &name::Host, verifier: &Hello) -> hmac::Hmac<sha2::Sha256> {
    let key = secret.as_bytes();
    let mut mac = match hmac::Hmac::<sha2::Sha256>::new_from_slice(key) {
        Ok(mac) => mac,
        Err(_) => unreachable!("HMAC accepts keys of any length"),
    };
    mac.update(&verifier.nonce);
    for name in [prover, &verifier.host] {
        mac.update(&(name.as_str().len() as u64).to_le_bytes());
        mac.update(name.as_str().as_bytes());
    }
    mac
}

/// Proof that the host `prover` knows the secret, for the host that sent `verifier`.
pub fn prove(secret: &str, prover: &name::Host, verifier: &Hello) -> Proof {
    Proof {
        mac: compute_mac(secret, prover, verifier)
            .finalize()
            .into_bytes()
            .into(),
    }
}

/// Whether `proof` shows that the host that sent `theirs` knows the secret. `ours` is the message
/// that this host sent. A peer that claims the name of this host is rejected, because it could
/// reflect the proof of this host.
pub fn verify(secret: &str, theirs: &Hello, ours: &Hello, proof: &Proof) -> bool {
    if theirs.host == ours.host {
        return false;
    }
    compute_mac(secret, &theirs.host, ours)
        .verify_slice(&proof.mac)
        .is_ok()
}
