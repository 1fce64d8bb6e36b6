//! What operators configure and which upstreams there are, in the router's terms.

use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use smallvec::SmallVec;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events; repeated only where it may be resumed.
    Streaming,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficShare {
    /// Where it goes.
    pub service: name::Service,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host header that it takes.
    pub host: String,
    /// The beginning of the paths that it takes; ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Whether a stream may go on at another upstream.
    pub resumable: bool,
    /// Time to the answer or the first event.
    pub latency_target: clock::Millis,
    /// The longest pause between events that is on time.
    pub gap_target: Option<clock::Millis>,
    /// The longest time that a request may be kept.
    pub timeout: clock::Millis,
    /// Its tier: 0 is the most urgent.
    pub tier: u8,
    /// Upstreams that one request may run on.
    pub max_attempts: u32,
    /// Whether it is open to callers without a key.
    pub public: bool,
    /// Where its requests go; not empty.
    pub shares: SmallVec<[TrafficShare; 2]>,
}

impl Route {
    /// Whether a request of it may run again after it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request: `draw` chooses among the shares by weight.
    pub fn pick_service(&self, draw: u32) -> &name::Service {
        let total: u32 = self.shares.iter().map(|s| s.weight).sum();
        let mut at = if total == 0 { 0 } else { draw % total };
        for share in &self.shares {
            if at < share.weight {
                return &share.service;
            }
            at -= share.weight;
        }
        &self.shares[0].service
    }
}

/// The model engine behind a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
}

/// How upstreams of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scaling {
    /// The fewest in a data centre.
    pub min: u32,
    /// The most in a data centre.
    pub max: u32,
    /// From the order until they serve.
    pub startup_time: clock::Millis,
    /// Price of an upstream that may be reclaimed, as a share of a firm one's; `None` if there
    /// are none of that kind.
    pub preemptible_price: Option<f64>,
    /// Price of a firm upstream for each data centre.
    pub on_demand_prices: collections::BTreeMap<name::Dc, f64>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// Its engine, if it serves a model.
    pub engine: Option<Engine>,
    /// How it may be scaled, if it may.
    pub scaling: Option<Scaling>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a request's head.
    pub head_timeout: clock::Millis,
    /// How long a connection may stay open between requests.
    pub idle_timeout: clock::Millis,
}

/// A team as its keys name it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: name::Team,
    /// Its tier, which orders its requests before the route's tier does; without one it counts as
    /// the most urgent.
    pub tier: Option<u8>,
}

/// Tiers that upstreams tell apart.
pub const TIER_COUNT: usize = 10;

/// A whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Grows with each change.
    pub version: u64,
    /// Services by name.
    pub services: collections::HashMap<name::Service, rc::Rc<Service>>,
    /// Bounds.
    pub limits: Limits,
    /// Whether callers need keys.
    pub keys_required: bool,
    /// The tiers that teams have, the most urgent first.
    team_tiers: Vec<u8>,
    /// The tiers that routes have, the most urgent first.
    route_tiers: Vec<u8>,
    routes_by_host: collections::HashMap<String, Vec<rc::Rc<Route>>>,
    teams_by_key: collections::HashMap<String, rc::Rc<Team>>,
}

impl Config {
    /// A configuration with these parts.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
        keys: Option<collections::HashMap<String, rc::Rc<Team>>>,
    ) -> Self {
        let keyed = keys.is_some();
        let keys = keys.unwrap_or_default();
        let team_tiers = ranks(keys.values().map(|t| t.tier.unwrap_or(0)));
        let route_tiers = ranks(routes.iter().map(|r| r.tier));
        let mut by_host: collections::HashMap<String, Vec<rc::Rc<Route>>> =
            collections::HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(rc::Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|s| (s.name.clone(), rc::Rc::new(s)));
        Self {
            version,
            services: services.collect(),
            limits,
            keys_required: keyed,
            team_tiers,
            route_tiers,
            routes_by_host: by_host,
            teams_by_key: keys,
        }
    }

    /// The route with the longest prefix that begins `path`.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&rc::Rc<Route>> {
        let routes = match self.routes_by_host.get(host) {
            Some(routes) => routes,
            None => self.routes_by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// The team that holds `key`.
    pub fn team_by_key(&self, key: &str) -> Option<&rc::Rc<Team>> {
        self.teams_by_key.get(key)
    }

    /// How urgent a request of `team` on `route` is, below [`TIER_COUNT`]: by the team's tier, and by
    /// the route's among requests of one team tier. If there are more combinations than tiers,
    /// neighbours share one.
    pub fn tier(&self, team: Option<&Team>, route: &Route) -> u8 {
        let team = team.and_then(|t| t.tier).unwrap_or(0);
        let rank = |tiers: &[u8], tier: u8| tiers.partition_point(|&t| t < tier);
        let routes = self.route_tiers.len().max(1);
        let rank = rank(&self.team_tiers, team) * routes + rank(&self.route_tiers, route.tier);
        let ranks = self.team_tiers.len().max(1) * routes;
        let tier = if ranks > TIER_COUNT {
            rank * TIER_COUNT / ranks
        } else {
            rank
        };
        u8::try_from(tier.min(TIER_COUNT - 1)).unwrap_or(u8::MAX)
    }
}

fn ranks(tiers: impl Iterator<Item = u8>) -> Vec<u8> {
    let tiers: collections::BTreeSet<u8> = tiers.collect();
    tiers.into_iter().collect()
}

/// What an upstream says of its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// Takes work.
    Ready,
    /// Takes no new work.
    Leaving,
}

/// One upstream as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: name::Upstream,
    /// What it serves.
    pub service: name::Service,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its data centre.
    pub dc: name::Dc,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Whether it may be reclaimed.
    pub preemptible: bool,
    /// When it started, in Unix milliseconds: another number is another process.
    pub started_at: u64,
}
