//! State that the tasks of a host share: settings, interfaces to the platform, and what is known
//! and counted.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use tokio::sync::{Notify, watch};

use crate::{
    budget, connections, crash_log, digest, digest_leader, fleet, freshness, http_client,
    load_meter, location, membership, memory, metrics, model, offloading, ports, quarantine,
    quarantine_leader, shutdown, store_cache, store_watch, usage, warm_up, windows,
};

/// Checked settings of a host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Data centre of this host, and the regions of all data centres.
    pub location: location::Location,
    /// Address at which clients connect.
    pub client_address: net::SocketAddr,
    /// Address of the load balancer's readiness probe.
    pub readiness_address: net::SocketAddr,
    /// Address at which other hosts connect.
    pub peer_address: net::SocketAddr,
    /// Addresses of some other hosts, used until the registered hosts have been read from the
    /// store.
    pub seeds: Vec<net::SocketAddr>,
    /// Address at which metrics are served.
    pub metrics_address: net::SocketAddr,
    /// Limit of the bytes held for all requests and responses together.
    pub held_bytes: usize,
    /// Limit of the open connections of clients.
    pub max_connections: usize,
    /// Limit on the retries of each service.
    pub retry_limit: budget::RetryLimit,
    /// Deadlines and periods given by the platform.
    pub timing: Timing,
    /// What a cold upstream bears beyond its limit; `None` if the limit is not in force.
    pub cold_tolerance: Option<ColdTolerance>,
    /// Time within which a data centre that is drained gets no further requests; `None` if data
    /// centres are not drained in this deployment.
    pub dc_drain_deadline: Option<clock::Millis>,
    /// Price and links of what leaves for other data centres.
    pub offload: offloading::Settings,
}

/// Requests that a cold upstream may get in one second, relative to its limit per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the limit.
    pub factor: f64,
    /// Requests in addition.
    pub extra: f64,
}

/// Time after the start within which a host learns of the others and whether to follow one of them.
pub const DISCOVERY_PERIOD: clock::Millis = clock::Millis(1_000);

/// Deadlines and periods of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Time from the stop signal until the process is killed.
    pub shutdown_grace: clock::Millis,
    /// Time within which a change of the configuration or of an upstream must take effect.
    pub change_deadline: clock::Millis,
    /// Longest time for which another leader may have acted without this host noticing.
    pub platform_lease: clock::Millis,
    /// Length of a usage window.
    pub usage_window: clock::Millis,
    /// Time after the end of a usage window until which its usage may be reported.
    pub report_deadline: clock::Millis,
}

/// Phase of the shutdown of a host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    /// The host accepts clients; no shutdown has begun.
    Serving,
    /// The readiness probe fails, and responses ask clients to close their connections.
    Unready,
    /// Idle client connections are closed, and new connections serve a single request.
    Closing,
    /// New requests are refused: a request that began now might be cut off when the process ends.
    Refusing,
    /// Requests still in progress are given up and get their final response.
    Ending,
}

/// Dependencies of a host on its environment.
pub struct Dependencies {
    /// Format of message heads and of entries in the store.
    pub protocol: Box<dyn ports::Protocol>,
    /// Key-value store shared by all hosts.
    pub store: Box<dyn ports::Store>,
    /// Interface for orders of upstreams and usage reports.
    pub orders: Box<dyn ports::Orders>,
    /// Clock; tests use a manual one.
    pub clock: clock::Clock,
}

/// State of one host, shared by its tasks.
pub struct Host {
    /// Settings of this host, fixed for the life of the process.
    pub settings: Settings,
    /// Format of message heads and of entries in the store.
    pub protocol: Box<dyn ports::Protocol>,
    /// Key-value store shared by all hosts.
    pub store: Box<dyn ports::Store>,
    /// Interface for orders of upstreams and usage reports.
    pub orders: Box<dyn ports::Orders>,
    /// Clock for all timeouts and timestamps of this host.
    pub clock: clock::Clock,
    /// Random number that identifies this run of the process.
    pub boot_id: u64,
    /// When this run of the process began.
    pub started_at: clock::Millis,
    /// Current configuration; `None` until one has been read.
    pub config: cell::RefCell<Option<rc::Rc<model::Config>>>,
    /// Known upstreams and their load.
    pub fleet: cell::RefCell<fleet::Fleet>,
    /// Whether the list of upstreams has been read.
    pub upstreams_listed: cell::Cell<bool>,
    /// Idle connections to upstreams.
    pub pool: http_client::Pool,
    /// Memory for requests and responses.
    pub memory: memory::Budget,
    /// Retry budgets by service.
    pub retry_budgets: cell::RefCell<collections::HashMap<name::Service, budget::RetryBudget>>,
    /// Counts of requests that began, by usage window.
    pub usage_counter: cell::RefCell<windows::UsageCounter>,
    /// Demand of the clients of this host, by service.
    pub demand: cell::RefCell<collections::HashMap<name::Service, membership::Demand>>,
    /// Load of this host's requests by class.
    pub load_meter: cell::RefCell<load_meter::LoadMeter>,
    /// Load that hosts reported to this one, for the decisions of the leader.
    pub reported_loads: cell::RefCell<digest_leader::ReportedLoads>,
    /// Latest digest of the leader.
    pub digest: digest::CurrentDigest,
    /// Attempts of this host after which an upstream may have crashed.
    pub crash_log: cell::RefCell<crash_log::CrashLog>,
    /// Wakes the task that reports to the leader, for a report before the next regular one.
    pub report_wanted: Notify,
    /// Number of answers of the leader to reports so far.
    pub rulings: watch::Sender<u64>,
    /// Prompt parts that are withheld from upstreams.
    pub quarantine: cell::RefCell<quarantine::Quarantine>,
    /// Decisions on withheld parts for the hosts that report to this one.
    pub quarantine_leader: cell::RefCell<quarantine_leader::QuarantineLeader>,
    /// Windows that this host knows to be sealed, as leader or since it was leader.
    pub sealed_windows: cell::RefCell<usage::SealedWindows>,
    /// Registered hosts and their reports.
    pub membership: cell::RefCell<membership::Membership>,
    /// Entries of the store as last read or relayed by another host.
    pub store_cache: store_cache::StoreCache,
    /// Times up to which the store's contents are known.
    pub freshness: freshness::Freshness,
    /// Availability of the store to this host.
    pub store_health: store_watch::StoreHealth,
    /// Peer address of the leader, if known.
    pub leader: cell::Cell<Option<net::SocketAddr>>,
    /// Whether this host is leader and its lease has not expired.
    pub is_leader: cell::Cell<bool>,
    /// Metric instruments of this host.
    pub metrics: metrics::Metrics,
    /// Phase of the shutdown; tasks subscribe to its changes.
    pub phase: watch::Sender<Phase>,
    /// Schedule of the shutdown; `None` until the stop signal.
    pub shutdown: cell::Cell<Option<shutdown::Schedule>>,
    /// Open client connections.
    pub connections: connections::Connections,
}

impl Host {
    /// Creates a host without configuration and upstreams.
    ///
    /// # Errors
    ///
    /// The exporter of the metrics cannot be built.
    pub fn new(settings: Settings, dependencies: Dependencies) -> eyre::Result<Self> {
        let location = settings.location.clone();
        let change_deadline = settings.timing.change_deadline;
        // What other hosts relay must be recent enough for drains, too.
        let change_limit =
            change_deadline.min(settings.dc_drain_deadline.unwrap_or(change_deadline));
        let memory = memory::Budget::new(settings.held_bytes);
        let mut fleet = fleet::Fleet::new(location, change_deadline);
        fleet.warm_up = warm_up::WarmUp::new(settings.host.clone(), settings.cold_tolerance);
        fleet.offloading.configure(settings.offload);
        let connections = connections::Connections::new(settings.max_connections);
        Ok(Self {
            settings,
            protocol: dependencies.protocol,
            store: dependencies.store,
            orders: dependencies.orders,
            started_at: dependencies.clock.now(),
            clock: dependencies.clock,
            boot_id: rand::random(),
            config: cell::RefCell::default(),
            fleet: cell::RefCell::new(fleet),
            upstreams_listed: cell::Cell::new(false),
            pool: http_client::Pool::default(),
            metrics: metrics::Metrics::new(&memory)?,
            memory,
            retry_budgets: cell::RefCell::default(),
            usage_counter: cell::RefCell::default(),
            demand: cell::RefCell::default(),
            load_meter: cell::RefCell::default(),
            reported_loads: cell::RefCell::default(),
            digest: digest::CurrentDigest::default(),
            crash_log: cell::RefCell::default(),
            report_wanted: Notify::new(),
            rulings: watch::Sender::new(0),
            quarantine: cell::RefCell::default(),
            quarantine_leader: cell::RefCell::default(),
            sealed_windows: cell::RefCell::default(),
            membership: cell::RefCell::default(),
            store_cache: store_cache::StoreCache::default(),
            freshness: freshness::Freshness::new(change_limit),
            store_health: store_watch::StoreHealth::default(),
            leader: cell::Cell::new(None),
            is_leader: cell::Cell::new(false),
            phase: watch::Sender::new(Phase::Serving),
            shutdown: cell::Cell::new(None),
            connections,
        })
    }

    /// Closes the connection of a client that holds most memory for the longest time without
    /// progress. Returns whether memory was freed.
    pub async fn free_memory(&self) -> bool {
        self.connections
            .free_memory(self.now(), &self.metrics)
            .await
    }

    /// Monotonic time from the host's clock.
    pub fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Wall time, unaffected by short jumps of the system's wall clock.
    pub fn wall_time(&self) -> clock::Millis {
        let mut windows = self.usage_counter.borrow_mut();
        windows.wall_time(self.clock.now(), self.clock.unix_time())
    }

    /// Whether the shutdown has begun.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Whether new requests are passed on. Decided by the clock, since the task that changes the
    /// phase may run late.
    pub fn accepts_requests(&self) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_none_or(|s| s.phase(self.now()) < Phase::Refusing)
    }

    /// Waits until the shutdown has reached `phase`.
    pub async fn wait_for_phase(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        if phases.wait_for(|p| *p >= phase).await.is_err() {
            // The sender is a field of the host, so it outlives this wait.
            std::future::pending().await
        }
    }

    /// Whether this host is ready for clients: it has a configuration and upstreams and is not
    /// shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config.borrow().is_some() && self.upstreams_listed.get()
    }

    /// Current configuration, or `None` if none has been read.
    pub fn current_config(&self) -> Option<rc::Rc<model::Config>> {
        self.config.borrow().clone()
    }

    /// Whether the service's budget allows a retry.
    pub fn can_retry(&self, service: &name::Service) -> bool {
        let hosts = self.membership.borrow().host_count();
        let now = self.now();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.has_capacity(now, &self.settings.retry_limit, hosts)
    }

    /// Whether this host watches the store itself.
    pub fn is_watcher(&self) -> bool {
        let membership = self.membership.borrow();
        membership.is_watcher(&self.settings.host)
    }

    /// Whether this run began so recently that the host may not know the other hosts yet: all hosts
    /// of a system may start at the same time.
    pub fn is_new(&self) -> bool {
        self.now().since(self.started_at) < DISCOVERY_PERIOD
    }

    /// Whether this host leaves watching the store to others, and follows one of them that knows
    /// the store's contents up to a recent time.
    pub fn relies_on_peer(&self) -> bool {
        !self.is_watcher()
            && self.store_health.is_following()
            && self.freshness.has_recent_relayed(self.now())
    }

    /// Whether changes in the store reach this host, from the store or from a host that it follows.
    pub fn learns_changes(&self) -> bool {
        !self.store_health.is_lost()
            || self.store_health.is_following() && self.freshness.has_recent_relayed(self.now())
    }

    /// Takes one retry from the service's budget; returns whether there was one.
    pub fn spend_retry(&self, service: &name::Service) -> bool {
        let hosts = self.membership.borrow().host_count();
        let now = self.now();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        budget.try_spend(now, &self.settings.retry_limit, hosts)
    }
}
