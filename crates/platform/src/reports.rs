//! The platform's interface for usage reports.

use std::net;

use crate::orders;

/// Takes the figures of a usage window.
pub trait Reports: Send + Sync {
    /// Sends the sealed bytes of window `number` within `term`.
    ///
    /// # Errors
    ///
    /// See [`orders::Error`]; after `Unknown` the same bytes may be sent again.
    fn send(&self, number: u64, sealed: &[u8], term: orders::Term) -> Result<(), orders::Error>;
}

/// Reports over HTTP: `POST /usage/NUMBER`.
#[derive(Debug)]
pub struct Http(orders::Guarded);

impl Http {
    /// A client of the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self(orders::Guarded::new(address))
    }
}

impl Reports for Http {
    fn send(&self, number: u64, sealed: &[u8], term: orders::Term) -> Result<(), orders::Error> {
        let (status, _) = self.0.post(
            &format!("/usage/{number}?fence={}", term.epoch),
            sealed,
            term,
        )?;
        match status {
            200 => Ok(()),
            412 => Err(orders::Error::Fenced),
            _ => Err(orders::Error::NotTaken),
        }
    }
}
