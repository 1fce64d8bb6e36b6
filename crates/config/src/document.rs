//! The checked content of an environment's document.

use std::net;

use base::{clock, name};
use serde::{Deserialize, Serialize};

/// What a service's upstreams speak.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine: chat completions with server-sent events.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name.
    pub name: name::Class,
    /// 0 is the highest tier.
    pub tier: u8,
    /// Target for the first token or the whole plain answer.
    pub first: clock::Millis,
    /// Target between two tokens.
    pub gap: clock::Millis,
    /// The longest wait before the class may use its floor.
    pub bound: clock::Millis,
    /// Guaranteed share of a service, in thousandths.
    pub floor: u16,
    /// Whether its work may run where an eviction can come.
    pub evictable: bool,
}

/// A team.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: name::Team,
    /// Its share relative to other teams.
    pub weight: u32,
    /// Classes it may use; the first is its default.
    pub classes: Vec<name::Class>,
}

/// One upstream of a service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name, unique in the document.
    pub name: name::Upstream,
    /// Its data centre.
    pub dc: name::Dc,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Requests it runs at once.
    pub slots: u32,
    /// Its cost while running, in thousandths of a currency unit an hour.
    pub price: u32,
    /// Whether the platform may reclaim it at a few seconds' notice.
    pub cheap: bool,
    /// Whether it starts and stops on order; one that does not always runs.
    pub ordered: bool,
}

/// A service and who may reach it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// What its upstreams speak.
    pub kind: Kind,
    /// Models it serves; empty for a plain service.
    pub models: Vec<String>,
    /// Whether callers need no key.
    pub open: bool,
    /// Teams that may use it; empty for all teams.
    pub teams: Vec<name::Team>,
    /// Whether calls may be repeated by the router.
    pub idempotent: bool,
    /// Its upstreams in every data centre.
    pub upstreams: Vec<Upstream>,
}

/// A whole checked document. Keys are kept apart: see [`crate::key`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Services.
    pub services: Vec<Service>,
}
