//! The platform's interface for usage reports.

use std::net;

use crate::orders;

/// Which report it is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Number {
    /// The window, from 1.
    pub window: u64,
    /// The part, from 0.
    pub part: u32,
    /// How many parts the window has.
    pub parts: u32,
}

/// Takes the figures of a usage window.
pub trait Reports: Send + Sync {
    /// Sends the sealed bytes of a part of a window within `term`.
    ///
    /// # Errors
    ///
    /// See [`orders::Error`]; after `Unknown` the same bytes may be sent again.
    fn send(&self, number: Number, sealed: &[u8], term: orders::Term) -> Result<(), orders::Error>;
}

/// Reports over HTTP: `POST /usage/WINDOW?part=&parts=&fence=`.
#[derive(Debug)]
pub struct Http(orders::Guarded);

impl Http {
    /// A client of the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self(orders::Guarded::new(address))
    }
}

impl Reports for Http {
    fn send(&self, number: Number, sealed: &[u8], term: orders::Term) -> Result<(), orders::Error> {
        let Number {
            window,
            part,
            parts,
        } = number;
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
