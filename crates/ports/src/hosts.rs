//! The platform's list of live and leaving hosts and upstreams. It lags.

use std::net;

use base::{clock, name};
use serde::{Deserialize, Serialize};

use crate::http;

/// What the platform says of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Running.
    Live,
    /// Going away: no new work.
    Leaving,
}

/// A host of this system.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// Where it listens to other hosts.
    pub address: net::SocketAddr,
    /// Live or leaving.
    pub state: State,
}

/// An upstream that the platform knows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name, as in the document.
    pub name: name::Upstream,
    /// Live or leaving.
    pub state: State,
}

/// One reading of the list.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct List {
    /// Hosts of this system.
    pub hosts: Vec<Host>,
    /// Upstreams that run; one that is absent is stopped if it starts on order.
    pub upstreams: Vec<Upstream>,
}

/// The list could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unreadable;

/// The platform's list.
pub trait Hosts: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// No readable answer came.
    fn read(&self) -> Result<List, Unreadable>;
}

/// Time for one reading.
const CALL: clock::Millis = clock::Millis(2_000);

/// The list over HTTP: `GET /hosts`.
#[derive(Debug)]
pub struct Http {
    url: String,
    agent: ureq::Agent,
}

impl Http {
    /// A client of the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            url: format!("http://{address}/hosts"),
            agent: http::agent(CALL),
        }
    }
}

impl Hosts for Http {
    fn read(&self) -> Result<List, Unreadable> {
        let mut answer = self.agent.get(&self.url).call().map_err(|_| Unreadable)?;
        if answer.status().as_u16() != 200 {
            return Err(Unreadable);
        }
        let bytes = answer.body_mut().read_to_vec().map_err(|_| Unreadable)?;
        serde_json::from_slice(&bytes).map_err(|_| Unreadable)
    }
}
