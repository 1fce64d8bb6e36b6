//! The platform's list of live and leaving hosts and upstreams. The list may be out of date.

use std::net;

use base::{clock, faulty_keys, name};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::http;

/// State of a machine according to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The machine is running and accepts work.
    Live,
    /// The machine is about to stop and must not get new work.
    Leaving,
}

/// A host in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name under which the platform lists the host.
    pub name: name::Host,
    /// Data centre of the host.
    pub dc: name::Dc,
    /// Address on which the host accepts connections from other hosts.
    pub address: net::SocketAddr,
    /// Whether the host is live or leaving.
    pub state: State,
}

/// An upstream in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream, as in the configuration document.
    pub name: name::Upstream,
    /// Whether the upstream is live or leaving.
    pub state: State,
}

/// Contents of the platform's list at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts of the router, live or leaving.
    pub hosts: Vec<Host>,
    /// Running upstreams. A managed upstream that is absent is stopped; others always run.
    pub upstreams: Vec<Upstream>,
}

/// Error of [`HostSource::read`]: the list could not be fetched or decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unreadable;

/// A source of the platform's host list.
pub trait HostSource: Send + Sync {
    /// Fetches the platform's current host list.
    ///
    /// # Errors
    ///
    /// Returns [`Unreadable`] if no valid response arrives.
    fn read(&self) -> Result<HostList, Unreadable>;
}

/// Timeout of one request for the host list.
const CALL_TIMEOUT: clock::Millis = clock::Millis(2_000);

/// List whose entries are parsed one by one, so that an unreadable one does not hide the others.
#[derive(Deserialize)]
struct RawList<'a> {
    #[serde(borrow)]
    hosts: Vec<&'a RawValue>,
    #[serde(borrow)]
    upstreams: Vec<&'a RawValue>,
}

/// HTTP client that fetches the host list with `GET /hosts`.
#[derive(Debug)]
pub struct Http {
    url: String,
    agent: ureq::Agent,
    /// Entries that were logged as unreadable, by their text.
    faulty_entries: faulty_keys::FaultyKeys,
}

impl Http {
    /// Creates a client for the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            url: format!("http://{address}/hosts"),
            agent: http::agent(CALL_TIMEOUT),
            faulty_entries: faulty_keys::FaultyKeys::new(),
        }
    }

    fn parse_each<'a, T: Deserialize<'a>>(&self, entries: &[&'a RawValue]) -> Vec<T> {
        let mut out = Vec::with_capacity(entries.len());
        for text in entries {
            match serde_json::from_str(text.get()) {
                Ok(entry) => out.push(entry),
                Err(e) => {
                    let fault = e.to_string();
                    self.faulty_entries
                        .log("listed_host_unreadable", text.get(), 0, &fault);
                }
            }
        }
        out
    }
}

impl HostSource for Http {
    fn read(&self) -> Result<HostList, Unreadable> {
        let mut response = self.agent.get(&self.url).call().map_err(|_| Unreadable)?;
        if response.status().as_u16() != 200 {
            return Err(Unreadable);
        }
        let bytes = response.body_mut().read_to_vec().map_err(|_| Unreadable)?;
        let raw: RawList<'_> = serde_json::from_slice(&bytes).map_err(|_| Unreadable)?;
        Ok(HostList {
            hosts: self.parse_each(&raw.hosts),
            upstreams: self.parse_each(&raw.upstreams),
        })
    }
}
