//! Interface for sending usage reports to the platform.

use std::net;

use crate::orders;

/// Identifies a usage report: one part of one usage window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportId {
    /// Number of the usage window, starting at 1.
    pub window: u64,
    /// Index of the part within the window, starting at 0.
    pub part: u32,
    /// Number of parts of the window.
    pub parts: u32,
}

/// Sends usage reports to the platform.
pub trait ReportSender: Send + Sync {
    /// Sends one part of a usage window. `sealed` is its final content, and nothing is sent after
    /// the end of `term`.
    ///
    /// # Errors
    ///
    /// See [`orders::Error`]; after `Unknown` the same bytes may be sent again.
    fn send(&self, id: ReportId, sealed: &[u8], term: orders::Term) -> Result<(), orders::Error>;
}

/// HTTP client that sends reports with `POST /usage/WINDOW?part=&parts=&fence=`.
#[derive(Debug)]
pub struct Http(orders::GuardedClient);

impl Http {
    /// Creates a client for the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self(orders::GuardedClient::new(address))
    }
}

impl ReportSender for Http {
    fn send(&self, id: ReportId, sealed: &[u8], term: orders::Term) -> Result<(), orders::Error> {
        let ReportId {
            window,
            part,
            parts,
        } = id;
        let fence = term.epoch;
        let path = format!("/usage/{window}?part={part}&parts={parts}&fence={fence}");
        let (status, _) = self.0.post(&path, sealed, term)?;
        match status {
            200 => Ok(()),
            412 => Err(orders::Error::Fenced),
            _ => Err(orders::Error::NotTaken),
        }
    }
}
