//! Domain model of the router: the configuration set by operators, and the known upstreams.

use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use smallvec::SmallVec;

/// Kind of a route, which decides whether its requests may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// Requests may run any number of times.
    Idempotent,
    /// Requests run at most once.
    NonIdempotent,
    /// Responses are event streams; a request is retried only if its route is resumable.
    Streaming,
}

/// Share of a route's traffic that goes to one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Service that receives this share.
    pub service: name::Service,
    /// Weight relative to the sum of the weights of the route's shares.
    pub weight: u32,
}

/// Regions to which the requests of a route or a team are limited; empty without a limit.
pub type Homes = SmallVec<[name::Region; 2]>;

/// A route: which requests it matches, which services they go to, and their latency targets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name of the route in log lines and metrics.
    pub name: String,
    /// Value of the `Host` header that the route matches, case-insensitive.
    pub host: String,
    /// Prefix of the paths that the route matches; ends with a slash.
    pub path_prefix: String,
    /// Decides, with `resumable`, whether requests may be retried.
    pub kind: RouteKind,
    /// Whether a stream that broke off may be resumed at another upstream.
    pub resumable: bool,
    /// Target for the time to the response, or to the first event of a stream.
    pub latency_target: clock::Millis,
    /// Target for the longest gap between two events of a stream; `None` if there is no target.
    pub gap_target: Option<clock::Millis>,
    /// Time from receiving a request after which it is ended.
    pub timeout: clock::Millis,
    /// Priority tier of the route; 0 is the most urgent.
    pub tier: u8,
    /// Number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests without an API key are accepted.
    pub public: bool,
    /// Services that receive the route's requests; never empty.
    pub shares: SmallVec<[TrafficShare; 2]>,
    /// Regions in which requests may be served; empty if any region may serve them.
    pub homes: Homes,
}

impl Route {
    /// Whether a request may be sent again after an attempt that may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Returns the service for a request. `draw` is a random number that selects a share by weight.
    pub fn pick_service(&self, draw: u32) -> &name::Service {
        let total: u64 = self.shares.iter().map(|s| u64::from(s.weight)).sum();
        let mut offset = u64::from(draw).checked_rem(total).unwrap_or(0);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if offset < weight {
                return &share.service;
            }
            offset -= weight;
        }
        &self.shares[0].service
    }
}

/// Properties of a language model engine that runs the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Requests that run at the same time; 0 if the configuration does not say.
    pub slots: u32,
    /// Tokens that fit into the engine's memory; 0 if the configuration does not say.
    pub memory_tokens: u64,
}

/// How many requests an upstream bears while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// How long an upstream is cold after its start.
    pub period: clock::Millis,
    /// Requests per second that a cold upstream bears; greater than 0.
    pub requests_per_s: f64,
}

/// Limits and prices for ordering upstreams of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// Minimum number of upstreams in each data centre.
    pub min: u32,
    /// Maximum number of upstreams in each data centre.
    pub max: u32,
    /// Time from an order until the ordered upstreams are ready.
    pub startup_time: clock::Millis,
    /// Price of a preemptible upstream relative to an on-demand one; `None` if the service has no
    /// preemptible upstreams.
    pub preemptible_price: Option<f64>,
    /// Price of an on-demand upstream in each data centre where the service may run.
    pub on_demand_prices: collections::BTreeMap<name::Dc, f64>,
}

/// A service, whose upstreams are interchangeable.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes and upstreams refer to the service.
    pub name: name::Service,
    /// Engine of the service; `None` if it does not serve a language model.
    pub engine: Option<Engine>,
    /// How upstreams of the service are ordered; `None` if it is not scaled.
    pub scaling: Option<Scaling>,
    /// Limit while an upstream is cold; `None` if there is none.
    pub cold_limit: Option<ColdLimit>,
}

/// Limits on requests and connections of clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: clock::Millis,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: clock::Millis,
}

/// A team, which clients belong to by their API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Name of the team in usage reports and log lines.
    pub name: name::Team,
    /// Priority tier of the team, which takes precedence over the route's tier; `None` counts as
    /// the most urgent.
    pub tier: Option<u8>,
    /// Regions in which the team's requests may be served; empty if any region may serve them.
    pub homes: Homes,
}

/// Number of priority tiers that upstreams distinguish.
pub const TIER_COUNT: usize = 10;

/// A complete configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Version number, which increases with each change.
    pub version: u64,
    /// All services by name.
    pub services: collections::HashMap<name::Service, rc::Rc<Service>>,
    /// Limits on requests and connections of clients.
    pub limits: Limits,
    /// Whether requests to routes that are not public need an API key.
    pub keys_required: bool,
    /// Distinct tiers of all teams, most urgent first.
    team_tiers: Vec<u8>,
    /// Distinct tiers of all routes, most urgent first.
    route_tiers: Vec<u8>,
    /// Routes by lower-case host name, longest path prefix first.
    routes_by_host: collections::HashMap<String, Vec<rc::Rc<Route>>>,
    teams_by_key: collections::HashMap<String, rc::Rc<Team>>,
}

impl Config {
    /// Creates a configuration. Without `teams_by_key`, no API keys are required.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        teams_by_key: Option<collections::HashMap<String, rc::Rc<Team>>>,
    ) -> Self {
        let keys_required = teams_by_key.is_some();
        let teams_by_key = teams_by_key.unwrap_or_default();
        let team_tiers = distinct_tiers(teams_by_key.values().map(|t| t.tier.unwrap_or(0)));
        let route_tiers = distinct_tiers(routes.iter().map(|r| r.tier));
        let mut routes_by_host: collections::HashMap<String, Vec<rc::Rc<Route>>> =
            collections::HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            routes_by_host
                .entry(host)
                .or_default()
                .push(rc::Rc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|s| (s.name.clone(), rc::Rc::new(s)));
        Self {
            version,
            services: services.collect(),
            limits,
            keys_required,
            team_tiers,
            route_tiers,
            routes_by_host,
            teams_by_key,
        }
    }

    /// Returns the route of `host` with the longest path prefix that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&rc::Rc<Route>> {
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &rc::Rc<Route>> {
        self.routes_by_host.values().flatten()
    }

    /// All teams that have an API key, each once, by name.
    pub fn teams(&self) -> Vec<&rc::Rc<Team>> {
        let teams = self.teams_by_key.values().map(|team| (&team.name, team));
        let teams: collections::BTreeMap<_, _> = teams.collect();
        teams.into_values().collect()
    }

    /// Returns the team that owns the API key `key`.
    pub fn team_by_key(&self, key: &str) -> Option<&rc::Rc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Returns the priority tier of a request, below [`TIER_COUNT`]. Requests are ordered by the
    /// team's tier, then by the route's. If there are more combinations than tiers, adjacent
    /// combinations share a tier.
    pub fn tier(&self, team: Option<&Team>, route: &Route) -> u8 {
        let team = team.and_then(|t| t.tier).unwrap_or(0);
        let rank = |tiers: &[u8], tier: u8| tiers.partition_point(|&t| t < tier);
        let routes = self.route_tiers.len().max(1);
        let rank = rank(&self.team_tiers, team) * routes + rank(&self.route_tiers, route.tier);
        let rank_count = self.team_tiers.len().max(1) * routes;
        let tier = if rank_count > TIER_COUNT {
            rank * TIER_COUNT / rank_count
        } else {
            rank
        };
        u8::try_from(tier.min(TIER_COUNT - 1)).unwrap_or(u8::MAX)
    }
}

fn distinct_tiers(tiers: impl Iterator<Item = u8>) -> Vec<u8> {
    let tiers: collections::BTreeSet<u8> = tiers.collect();
    tiers.into_iter().collect()
}

/// Availability of an upstream, as published by the upstream itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// Accepts new requests.
    Ready,
    /// Accepts no new requests, because it is about to stop.
    Leaving,
}

/// Entry of an upstream, as the platform publishes it in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Unique name of the upstream.
    pub name: name::Upstream,
    /// Service that the upstream belongs to.
    pub service: name::Service,
    /// Address on which the upstream accepts connections.
    pub address: net::SocketAddr,
    /// Data centre in which the upstream runs.
    pub dc: name::Dc,
    /// Whether the upstream accepts new requests.
    pub state: UpstreamState,
    /// Whether the platform may reclaim the upstream at short notice.
    pub preemptible: bool,
    /// Start time of the upstream's process, in Unix milliseconds; a restart changes it.
    pub started_at: u64,
    /// How long the upstream stays cold, counted from when the entry was written.
    pub cold_left: clock::Millis,
    /// Requests that the upstream runs at the same time.
    pub slots: u32,
}
