//! Contents of a validated configuration document of an environment.

use std::net;

use base::{clock, name};
use serde::{Deserialize, Serialize};

/// Protocol of the upstreams of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A language-model engine: chat completions, streamed as server-sent events.
    Engine,
    /// Plain HTTP requests and responses, without models or tokens.
    Plain,
}

/// A request class, which sets the priority and the latency targets of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Name of the class, unique in the document.
    pub name: name::Class,
    /// Priority tier, from 0 (highest) to 7 (lowest).
    pub tier: u8,
    /// Target time to the first token, or to the complete response of a plain service (setting
    /// `first_ms`).
    #[serde(rename = "first")]
    pub ttft_target: clock::Millis,
    /// Target time between two tokens of a response; 0 means no target (setting `gap_ms`).
    #[serde(rename = "gap")]
    pub gap_target: clock::Millis,
    /// Time without a granted request after which the class may claim its minimum share (setting
    /// `bound_ms`).
    #[serde(rename = "bound")]
    pub max_wait: clock::Millis,
    /// Guaranteed share of a service's slots, in thousandths (setting `floor`).
    #[serde(rename = "floor")]
    pub min_share: u16,
    /// Whether requests of the class may run on preemptible upstreams.
    pub evictable: bool,
}

/// A team: a customer with API keys.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team, unique in the document.
    pub name: name::Team,
    /// Scheduling weight relative to other teams, at least 1.
    pub weight: u32,
    /// Request classes that the team may use; the first is its default.
    pub classes: Vec<name::Class>,
}

/// An upstream: one back end of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream, unique in the document.
    pub name: name::Upstream,
    /// Data centre in which the upstream runs.
    pub dc: name::Dc,
    /// Address on which the upstream accepts requests.
    pub address: net::SocketAddr,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Cost of the running upstream, in thousandths of a currency unit per hour.
    pub price: u32,
    /// Whether the platform may reclaim the upstream at a few seconds' notice (setting `cheap`).
    #[serde(rename = "cheap")]
    pub preemptible: bool,
    /// Whether the upstream is started and stopped by orders to the platform; if not, it always
    /// runs (setting `ordered`).
    #[serde(rename = "ordered")]
    pub managed: bool,
}

/// A service with its upstreams and the teams that may use it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, unique in the document.
    pub name: name::Service,
    /// Protocol of the service's upstreams.
    pub kind: ServiceKind,
    /// Names of the models that the service offers; empty for a plain service.
    pub models: Vec<String>,
    /// Whether the service accepts requests without an API key.
    pub open: bool,
    /// Teams that may use the service; if empty, all teams may.
    pub teams: Vec<name::Team>,
    /// Whether the router may retry requests to the service.
    pub idempotent: bool,
    /// Upstreams of the service in all data centres.
    pub upstreams: Vec<Upstream>,
}

/// A validated configuration document. API keys are not part of it; see [`crate::item::Key`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Request classes of the environment.
    pub classes: Vec<Class>,
    /// Teams of the environment.
    pub teams: Vec<Team>,
    /// Services of the environment.
    pub services: Vec<Service>,
}
