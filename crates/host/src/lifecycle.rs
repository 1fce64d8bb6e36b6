//! The life of a host: starting, serving, draining. Each state is a type, and only the moves
//! between them that make sense exist.

use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

use base::clock;
use eyre::WrapErr as _;
use policy::usage;
use ports::{accept, hosts, orders, reports, store_http};

use crate::{
    admission, agent, blocked, context, directory, exit_codes, follow, ledger, metrics, node,
    report, server, settings, stop, supervisor, upstream,
};

/// How often a draining host looks whether its last request has ended.
const DRAIN_LOOK: time::Duration = time::Duration::from_millis(20);
/// Tries to write the last usage before the host stops.
const LAST_FLUSHES: u32 = 20;

/// A host that has bound nothing yet.
pub struct Starting {
    settings: settings::Settings,
}

/// A host that serves callers.
pub struct Serving {
    context: sync::Arc<context::Context>,
    root: supervisor::Supervisor,
    callers: supervisor::Supervisor,
    node: sync::Arc<node::Node>,
    address: std::net::SocketAddr,
}

/// A host that finishes what it has begun.
pub struct Draining {
    context: sync::Arc<context::Context>,
    root: supervisor::Supervisor,
    callers: supervisor::Supervisor,
    node: sync::Arc<node::Node>,
}

impl Starting {
    /// A host with checked settings.
    pub fn new(settings: settings::Settings) -> Self {
        Self { settings }
    }

    /// Binds the addresses and starts all threads.
    ///
    /// # Errors
    ///
    /// An address can't be bound.
    pub fn start(self) -> eyre::Result<Serving> {
        let settings = self.settings;
        let listener = server::Listener::bind(settings.listen)
            .wrap_err_with(|| format!("can't listen for callers on {}", settings.listen))?;
        let address = listener.address()?;
        let peer = settings.peer_listen;
        let platform = hosts::Http::new(settings.platform_address);
        let context = sync::Arc::new(context(settings)?);
        let follower = sync::Arc::new(follow::Follower::default());
        let node = node::Node::new(context.clone(), follower.clone(), Box::new(platform));
        let node = sync::Arc::new(node);
        node.connect()
            .wrap_err_with(|| format!("can't listen for other hosts on {peer}"))?;
        let root = inner(&context, &follower, &node);
        let mut callers = supervisor::Supervisor::new("callers");
        let serving = context.clone();
        callers.child("accept", move |stop| listener.serve(&serving, stop));
        callers.child("nudge", move |stop| {
            while !stop.wait(accept::WAKE_INTERVAL.duration()) {
                accept::wake_worker(address);
            }
        });
        tracing::info!(event = "serving", host = %context.settings.host, listen = %address);
        Ok(Serving {
            context,
            root,
            callers,
            node,
            address,
        })
    }
}

fn context(settings: settings::Settings) -> eyre::Result<context::Context> {
    let clock = clock::Clock::System;
    let incarnation: u64 = rand::random();
    let start = usage::Incarnation::new(&settings.host, incarnation);
    let directory = directory::Directory::new(settings.host.clone(), settings.dc.clone());
    let directory = sync::Arc::new(directory);
    let durations = settings.durations;
    Ok(context::Context {
        blocked: blocked::Blocked::default(),
        store: sync::Arc::new(store_http::Http::new(settings.store_address)),
        admission: sync::Arc::new(admission::Admission::new(
            clock.clone(),
            directory.clone(),
            incarnation as u32,
        )),
        ledger: ledger::Shared::new(start),
        metrics: metrics::Metrics::new()?,
        upstreams: upstream::HttpClient::new(durations.stall_timeout, durations.response_timeout),
        directory,
        view: sync::RwLock::default(),
        phase: context::Phase::default(),
        ready: atomic::AtomicBool::new(false),
        heard: atomic::AtomicU64::new(clock.now().0),
        active: atomic::AtomicUsize::new(0),
        requests: atomic::AtomicU64::new(1),
        incarnation,
        clock,
        settings,
    })
}

/// The threads besides those that serve callers.
fn inner(
    context: &sync::Arc<context::Context>,
    follower: &sync::Arc<follow::Follower>,
    node: &sync::Arc<node::Node>,
) -> supervisor::Supervisor {
    let mut shared = supervisor::Supervisor::new("shared");
    let (c, f, n) = (context.clone(), follower.clone(), node.clone());
    shared.child("config", move |stop| f.run(&c, stop, || n.is_relay()));
    let n = node.clone();
    shared.child("node", move |stop| n.run(stop));
    let (c, n) = (context.clone(), node.clone());
    shared.child("blocked", move |stop| {
        blocked::run(&c, stop, || n.is_relay())
    });
    let n = node.clone();
    shared.child("tick", move |stop| n.tick(stop));
    let mut root = supervisor::Supervisor::new("root");
    let (c, n) = (context.clone(), node.clone());
    root.child("usage", move |stop| write_usage(&c, &n, stop));
    let (c, n) = (context.clone(), node.clone());
    let orders = orders::Http(orders::GuardedClient::new(
        context.settings.platform_address,
    ));
    shared.child("orders", move |stop| agent::run(&c, &n, &orders, stop));
    let c = context.clone();
    let reports = reports::Http::new(context.settings.platform_address);
    shared.child("reports", move |stop| report::run(&c, &reports, stop));
    root.node(shared);
    root
}

/// Writes usage to the store until stopped: this host's in its time or when it is wanted, and the
/// copies of hosts that are gone.
fn write_usage(context: &context::Context, node: &node::Node, stop: &stop::Stop) {
    const LOOK: clock::Millis = clock::Millis(500);
    const RETRY: time::Duration = time::Duration::from_millis(200);
    let flush = context.settings.durations.flush_interval;
    let mut flushed = context.clock.now();
    while !stop.is_set() {
        let wanted = context.ledger.wait_wanted(flush.min(LOOK));
        let now = context.clock.now();
        context.ledger.take_over(&*context.store, now);
        if !wanted && now.since(flushed) < flush {
            continue;
        }
        flushed = now;
        let whole = context.ledger.flush(&*context.store);
        node.tell_written();
        if !whole {
            stop.wait(RETRY);
        }
    }
}

impl Serving {
    /// Where callers connect.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Begins the graceful stop: the balancer is told, callers that still come are served.
    pub fn drain(self) -> Draining {
        tracing::info!(event = "draining");
        self.context.phase.leave();
        self.node.beat();
        let Self {
            context,
            root,
            callers,
            node,
            ..
        } = self;
        Draining {
            context,
            root,
            callers,
            node,
        }
    }
}

impl Draining {
    /// Finishes what runs, hands over usage and stops. `hurry` ends the wait early.
    pub fn finish(self, hurry: &stop::Stop) -> exit_codes::ExitCode {
        let durations = self.context.settings.durations;
        hurry.wait(durations.linger_period.duration());
        self.context.phase.close();
        let end = self.context.clock.now() + durations.drain_timeout;
        while self.context.active.load(atomic::Ordering::SeqCst) > 0 {
            if hurry.is_set() || self.context.clock.now() >= end {
                break;
            }
            thread::sleep(DRAIN_LOOK);
        }
        let cut = self.context.active.load(atomic::Ordering::SeqCst);
        let Self {
            context,
            root,
            callers,
            node,
        } = self;
        callers.stop();
        hand_over_usage(&context, &node, hurry);
        let open = context.ledger.open();
        root.stop();
        tracing::info!(event = "stopped", cut, usage_open = open);
        if hurry.is_set() {
            exit_codes::ExitCode::Interrupted
        } else {
            exit_codes::ExitCode::Success
        }
    }
}

/// Writes the last usage; what can't be written stays with the peers that hold copies.
fn hand_over_usage(context: &context::Context, node: &node::Node, hurry: &stop::Stop) {
    const PAUSE: time::Duration = time::Duration::from_millis(200);
    for _ in 0..LAST_FLUSHES {
        let whole = context.ledger.flush(&*context.store);
        node.tell_written();
        if whole || hurry.wait(PAUSE) {
            return;
        }
    }
}
