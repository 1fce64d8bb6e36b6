//! What a host's tasks share: settings, ports, and what is known and counted.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use tokio::sync::watch;

use crate::{
    budget, fleet, http_client, membership, metrics, model, ports, relay, store_watch, windows,
};

/// Settings of a host, checked.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub host: name::Host,
    /// Where it stands.
    pub place: fleet::Place,
    /// Where callers connect.
    pub client_address: net::SocketAddr,
    /// Where the balancer asks whether it takes callers.
    pub readiness_address: net::SocketAddr,
    /// Where other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Where some other hosts may be, for before the store has said.
    pub seeds: Vec<net::SocketAddr>,
    /// Where metrics are served.
    pub metrics_address: net::SocketAddr,
    /// The bound on repeats.
    pub budget: budget::Bound,
    /// Times.
    pub timing: Timing,
}

/// Times of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// From the stop signal until the process is killed.
    pub shutdown_grace: clock::Millis,
    /// Within which a change of the configuration or of an upstream is in force.
    pub change_deadline: clock::Millis,
    /// How long another holder of the duties may have been and gone unseen.
    pub platform_lease: clock::Millis,
    /// Length of a usage window.
    pub usage_window: clock::Millis,
    /// How long after its end the usage of a window may be reported.
    pub report_deadline: clock::Millis,
}

/// How far a stop has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// Not stopping.
    Serving,
    /// Not ready any more; answers tell callers to close.
    Unready,
    /// Idle connections are closed.
    Closing,
    /// New requests are refused: one that began now might be cut at the end.
    Refusing,
}

/// What a host is given of its surroundings.
pub struct Dependencies {
    /// How heads and entries are read.
    pub dialect: Box<dyn ports::Dialect>,
    /// The store.
    pub store: Box<dyn ports::Store>,
    /// Orders and reports.
    pub orders: Box<dyn ports::Orders>,
    /// Time.
    pub clock: clock::Clock,
}

/// One host.
pub struct Host {
    /// Its settings.
    pub settings: Settings,
    /// How heads and entries are read.
    pub dialect: Box<dyn ports::Dialect>,
    /// The store.
    pub store: Box<dyn ports::Store>,
    /// Orders and reports.
    pub orders: Box<dyn ports::Orders>,
    /// Time.
    pub clock: clock::Clock,
    /// A number drawn at this start.
    pub boot_id: u64,
    /// The configuration in force.
    pub config: cell::RefCell<Option<rc::Rc<model::Config>>>,
    /// Upstreams.
    pub fleet: cell::RefCell<fleet::Fleet>,
    /// Whether the list of upstreams was read.
    pub upstreams_listed: cell::Cell<bool>,
    /// Connections to upstreams.
    pub pool: http_client::Pool,
    /// Repeats.
    pub budgets: cell::RefCell<collections::HashMap<name::Service, budget::Budget>>,
    /// Requests that began, by window.
    pub usage_counter: cell::RefCell<windows::UsageCounter>,
    /// What callers ask for.
    pub demand: cell::RefCell<collections::HashMap<name::Service, membership::Demand>>,
    /// The other hosts.
    pub membership: cell::RefCell<membership::Membership>,
    /// What the store's entries say, as read.
    pub store_cache: relay::StoreCache,
    /// Whether the store answers.
    pub store_health: store_watch::StoreHealth,
    /// Where the holder of the duties is, as far as known.
    pub leader: cell::Cell<Option<net::SocketAddr>>,
    /// Whether this host holds the duties.
    pub is_leader: cell::Cell<bool>,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// How far a stop has come.
    pub phase: watch::Sender<Phase>,
    /// Requests in hand.
    pub open_connections: cell::Cell<u32>,
}

impl Host {
    /// A host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// The exporter of the metrics can't be built.
    pub fn new(settings: Settings, dependencies: Dependencies) -> eyre::Result<Self> {
        let place = settings.place.clone();
        Ok(Self {
            settings,
            dialect: dependencies.dialect,
            store: dependencies.store,
            orders: dependencies.orders,
            clock: dependencies.clock,
            boot_id: rand::random(),
            config: cell::RefCell::default(),
            fleet: cell::RefCell::new(fleet::Fleet::new(place)),
            upstreams_listed: cell::Cell::new(false),
            pool: http_client::Pool::default(),
            budgets: cell::RefCell::default(),
            usage_counter: cell::RefCell::default(),
            demand: cell::RefCell::default(),
            membership: cell::RefCell::default(),
            store_cache: relay::StoreCache::default(),
            store_health: store_watch::StoreHealth::default(),
            leader: cell::Cell::new(None),
            is_leader: cell::Cell::new(false),
            metrics: metrics::Metrics::new()?,
            phase: watch::Sender::new(Phase::Serving),
            open_connections: cell::Cell::new(0),
        })
    }

    /// Now.
    pub fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// The wall time, whatever the time of day jumps to.
    pub fn wall_time(&self) -> clock::Millis {
        let mut windows = self.usage_counter.borrow_mut();
        windows.wall_time(self.clock.now(), self.clock.unix())
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.borrow().is_some() && self.upstreams_listed.get()
    }

    /// The configuration in force.
    pub fn current_config(&self) -> Option<rc::Rc<model::Config>> {
        self.config.borrow().clone()
    }

    /// Whether the service's budget holds a repeat.
    pub fn can_retry(&self, service: &name::Service) -> bool {
        let hosts = self.membership.borrow().host_count();
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.holds(now, &self.settings.budget, hosts)
    }

    /// Whether this host watches the store itself.
    pub fn is_watcher(&self) -> bool {
        let membership = self.membership.borrow();
        membership.is_watcher(&self.settings.host, &self.settings.place.dc)
    }

    /// Whether this host leaves the store to others and hears from one of them.
    pub fn relies_on_peer(&self) -> bool {
        !self.is_watcher() && self.store_health.is_following()
    }

    /// Takes one repeat from the service's budget.
    pub fn spend_retry(&self, service: &name::Service) -> bool {
        let hosts = self.membership.borrow().host_count();
        let now = self.now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.spend(now, &self.settings.budget, hosts)
    }
}
