//! Lifecycle of a host: starting, serving, draining. Each state is a type, so that only valid
//! transitions compile.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use base::clock;
use eyre::WrapErr as _;
use policy::usage;
use ports::{hosts, orders, reports, store_http};
use router::memory;

use crate::{
    active_view, admission, autoscaler, blocked_keys, cluster, config_sync, context, directory,
    exit_codes, ledger, metrics, report, server, settings, stop, supervisor, upstream,
};

/// Interval at which a draining host checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Maximum number of attempts to write the remaining usage before the host stops.
const MAX_FINAL_FLUSHES: u32 = 20;

/// A host that has not bound its addresses yet.
pub struct Starting {
    settings: settings::Settings,
}

/// A running host that serves clients.
pub struct Serving {
    context: sync::Arc<context::Context>,
    root: supervisor::Supervisor,
    server_threads: supervisor::Supervisor,
    cluster: sync::Arc<cluster::Cluster>,
    address: std::net::SocketAddr,
}

/// A host that finishes its running requests before it stops.
pub struct Draining {
    context: sync::Arc<context::Context>,
    root: supervisor::Supervisor,
    server_threads: supervisor::Supervisor,
    cluster: sync::Arc<cluster::Cluster>,
}

impl Starting {
    /// Creates a host from validated settings, without binding any address.
    pub fn new(settings: settings::Settings) -> Self {
        Self { settings }
    }

    /// Binds the addresses of the settings and starts all threads.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the metrics can't be registered.
    pub fn start(self) -> eyre::Result<Serving> {
        let settings = self.settings;
        let listener = server::Listener::bind(settings.listen)
            .wrap_err_with(|| bind_failure("clients", settings.listen, "listen"))?;
        let address = listener.address()?;
        let peer = settings.peer_listen;
        let platform = hosts::Http::new(settings.platform_address);
        let context = sync::Arc::new(new_context(settings)?);
        let config_sync = sync::Arc::new(config_sync::ConfigSync::default());
        let cluster =
            cluster::Cluster::new(context.clone(), config_sync.clone(), Box::new(platform));
        let cluster = sync::Arc::new(cluster);
        cluster
            .connect()
            .wrap_err_with(|| bind_failure("other hosts", peer, "peer"))?;
        let root = start_background(&context, &config_sync, &cluster);
        let mut server_threads = supervisor::Supervisor::new("callers");
        let serving = context.clone();
        server_threads.spawn_child("accept", move |stop| listener.serve(&serving, stop));
        tracing::info!(event = "serving", host = %context.settings.host, listen = %address);
        Ok(Serving {
            context,
            root,
            server_threads,
            cluster,
            address,
        })
    }
}

/// Describes an address that can't be bound; `setting` is the name of its setting.
fn bind_failure(peers: &str, address: std::net::SocketAddr, setting: &str) -> String {
    format!(
        "can't listen for {peers} on {address}; free the address or change '{setting}' in the settings"
    )
}

/// Builds the state that all threads of a host share.
fn new_context(settings: settings::Settings) -> eyre::Result<context::Context> {
    let clock = clock::Clock::System;
    let incarnation: u64 = rand::random();
    let process_run = usage::Incarnation::new(&settings.host, incarnation);
    let directory = directory::Directory::new(settings.host.clone(), settings.dc.clone());
    let directory = sync::Arc::new(directory);
    let durations = settings.durations;
    let memory = memory::Budget::new(settings.limits.held_bytes);
    Ok(context::Context {
        blocked_keys: blocked_keys::BlockedKeys::default(),
        store: sync::Arc::new(store_http::Http::new(settings.store_address)),
        admission: sync::Arc::new(admission::Admission::new(
            clock.clone(),
            directory.clone(),
            incarnation as u32,
        )),
        ledger: ledger::UsageLedger::new(process_run),
        metrics: metrics::Metrics::new()?,
        upstreams: upstream::HttpClient::new(
            durations.stall_timeout,
            durations.response_timeout,
            memory.clone(),
        ),
        memory,
        directory,
        view: active_view::ActiveView::default(),
        phase: context::Phase::default(),
        ready: atomic::AtomicBool::new(false),
        last_contact: atomic::AtomicU64::new(clock.now().0),
        active: atomic::AtomicUsize::new(0),
        requests: atomic::AtomicU64::new(1),
        incarnation,
        clock,
        settings,
    })
}

/// Starts the background threads: all except those that serve clients.
fn start_background(
    context: &sync::Arc<context::Context>,
    config_sync: &sync::Arc<config_sync::ConfigSync>,
    cluster: &sync::Arc<cluster::Cluster>,
) -> supervisor::Supervisor {
    let mut shared = supervisor::Supervisor::new("shared");
    let (c, f, n) = (context.clone(), config_sync.clone(), cluster.clone());
    shared.spawn_child("config", move |stop| f.run(&c, stop, || n.is_relay()));
    let n = cluster.clone();
    shared.spawn_child("node", move |stop| n.run(stop));
    let (c, n) = (context.clone(), cluster.clone());
    shared.spawn_child("blocked", move |stop| {
        blocked_keys::run(&c, stop, || n.is_relay())
    });
    let n = cluster.clone();
    shared.spawn_child("tick", move |stop| n.run_dispatch_timer(stop));
    let mut root = supervisor::Supervisor::new("root");
    let (c, n) = (context.clone(), cluster.clone());
    root.spawn_child("usage", move |stop| write_usage(&c, &n, stop));
    let (c, n) = (context.clone(), cluster.clone());
    let orders = orders::Http(orders::GuardedClient::new(
        context.settings.platform_address,
    ));
    shared.spawn_child("orders", move |stop| autoscaler::run(&c, &n, &orders, stop));
    let c = context.clone();
    let reports = reports::Http::new(context.settings.platform_address);
    shared.spawn_child("reports", move |stop| report::run(&c, &reports, stop));
    root.add_subtree(shared);
    root
}

/// Writes usage to the store until stopped: the usage of this host at each flush interval or on
/// request, and the copies held for hosts that have failed.
fn write_usage(context: &context::Context, cluster: &cluster::Cluster, stop: &stop::StopFlag) {
    const TAKEOVER_INTERVAL: clock::Millis = clock::Millis(500);
    const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
    let flush = context.settings.durations.flush_interval;
    let mut last_flush = context.clock.now();
    while !stop.is_set() {
        let requested = context
            .ledger
            .wait_flush_request(flush.min(TAKEOVER_INTERVAL));
        let now = context.clock.now();
        context.ledger.take_over(&*context.store, now);
        if !requested && now.since(last_flush) < flush {
            continue;
        }
        last_flush = now;
        let all_written = context.ledger.flush(&*context.store);
        cluster.broadcast_written();
        if !all_written {
            stop.wait(RETRY_DELAY);
        }
    }
}

impl Serving {
    /// Returns the address on which the host serves clients.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Begins a graceful shutdown: readiness checks fail, so that the load balancer stops sending
    /// requests, while requests that still arrive are served.
    pub fn drain(self) -> Draining {
        tracing::info!(event = "draining");
        self.context.phase.start_draining();
        self.cluster.send_heartbeat();
        let Self {
            context,
            root,
            server_threads,
            cluster,
            ..
        } = self;
        Draining {
            context,
            root,
            server_threads,
            cluster,
        }
    }
}

impl Draining {
    /// Waits for running requests, writes the remaining usage and stops. Setting `force_stop` ends
    /// the wait early.
    pub fn finish(self, force_stop: &stop::StopFlag) -> exit_codes::ExitCode {
        let durations = self.context.settings.durations;
        force_stop.wait(durations.linger_period.duration());
        self.context.phase.close();
        let deadline = self.context.clock.now() + durations.drain_timeout;
        while self.context.active.load(atomic::Ordering::SeqCst) > 0 {
            if force_stop.is_set() || self.context.clock.now() >= deadline {
                break;
            }
            thread::sleep(DRAIN_CHECK_INTERVAL);
        }
        let unfinished = self.context.active.load(atomic::Ordering::SeqCst);
        let Self {
            context,
            root,
            server_threads,
            cluster,
        } = self;
        server_threads.stop();
        hand_over_usage(&context, &cluster, force_stop);
        let pending_records = context.ledger.pending();
        root.stop();
        tracing::info!(
            event = "stopped",
            cut = unfinished,
            usage_open = pending_records
        );
        if force_stop.is_set() {
            exit_codes::ExitCode::Interrupted
        } else {
            exit_codes::ExitCode::Success
        }
    }
}

/// Writes the remaining usage to the store. Records that can't be written stay with the peers that
/// hold copies of them.
fn hand_over_usage(
    context: &context::Context,
    cluster: &cluster::Cluster,
    force_stop: &stop::StopFlag,
) {
    const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
    for _ in 0..MAX_FINAL_FLUSHES {
        let all_written = context.ledger.flush(&*context.store);
        cluster.broadcast_written();
        if all_written || force_stop.wait(RETRY_DELAY) {
            return;
        }
    }
}
