//! Start and graceful shutdown of a host, and the tasks that run in between.

use std::io;
use std::rc;

use base::clock;
use tokio::signal::unix;
use tokio::{net, time};

use crate::{
    follower, host, leader, listeners, membership, ports, relay, reports, store_watch, supervisor,
};

/// Time after the stop signal for which client connections stay open and new ones are accepted as
/// usual: the load balancer probes readiness twice in it.
const UNREADY_PERIOD: clock::Millis = clock::Millis(2_600);
/// Time after `UNREADY_PERIOD` for which new requests are still accepted while idle connections are
/// closed.
const CLOSING_PERIOD: clock::Millis = clock::Millis(500);
/// Safety margin before the process is killed: this long before it, the process stops waiting for
/// requests and passes on what others need of it.
const KILL_MARGIN: clock::Millis = clock::Millis(500);
/// Time before the process is killed at which it ends by itself, whether or not the store and other
/// hosts have answered.
const EXIT_MARGIN: clock::Millis = clock::Millis(100);
/// Time between checks whether all connections have ended during shutdown.
const CHECK_INTERVAL: clock::Millis = clock::Millis(50);
/// Time between two removals of expired idle connections from the pool.
const POOL_CLEANUP_INTERVAL: clock::Millis = clock::Millis(1_000);

/// Runs a host until SIGTERM or SIGINT. `first_start` is true if the whole system starts for the
/// first time. `reload` is called on SIGHUP.
///
/// # Errors
///
/// An address cannot be bound, or a signal handler cannot be installed.
pub async fn run(host: rc::Rc<host::Host>, first_start: bool, reload: impl Fn()) -> io::Result<()> {
    let clients = listeners::listen(host.settings.client_address)?;
    let readiness = listeners::listen(host.settings.readiness_address)?;
    let metrics = listeners::listen(host.settings.metrics_address)?;
    let peers = listeners::listen(host.settings.peer_address)?;
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    tracing::info!(
        event = "start",
        host = %host.settings.host,
        dc = %host.settings.location.dc,
        version = env!("CARGO_PKG_VERSION"),
        front = %host.settings.client_address,
        fresh = first_start,
    );
    let writer = rc::Rc::new(membership::ReportWriter::new(&host));
    start(
        &host,
        &writer,
        Listeners {
            clients,
            readiness,
            metrics,
            peers,
        },
        first_start,
    );
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(),
        }
    }
    stop(&host, &writer).await;
    Ok(())
}

/// Listeners of this host.
struct Listeners {
    clients: net::TcpListener,
    readiness: net::TcpListener,
    metrics: net::TcpListener,
    peers: net::TcpListener,
}

/// Starts the tasks that run until the process ends.
fn start(
    host: &rc::Rc<host::Host>,
    writer: &rc::Rc<membership::ReportWriter>,
    sockets: Listeners,
    first_start: bool,
) {
    let spawn = |name, run: fn(rc::Rc<host::Host>) -> ports::LocalFuture<'static, ()>| {
        let host = host.clone();
        supervisor::spawn(name, move || run(host.clone()));
    };
    spawn("config", |h| {
        Box::pin(async {
            store_watch::wait_for_first_source(&h).await;
            store_watch::watch_config(h).await;
        })
    });
    spawn("upstreams", |h| {
        Box::pin(async {
            store_watch::wait_for_first_source(&h).await;
            store_watch::watch_upstreams(h).await;
        })
    });
    spawn("peer_news", |h| Box::pin(follower::follow_peers(h)));
    spawn("presence", |h| Box::pin(membership::keep_registered(h)));
    spawn("roster", |h| Box::pin(membership::refresh(h)));
    spawn("sweep", |h| Box::pin(clean_pool(h)));
    let (shared_host, writer) = (host.clone(), writer.clone());
    supervisor::spawn("tell", move || {
        reports::run(shared_host.clone(), writer.clone())
    });
    let shared_host = host.clone();
    supervisor::spawn("duties", move || {
        leader::run(shared_host.clone(), first_start)
    });
    type Serve =
        fn(rc::Rc<host::Host>, rc::Rc<net::TcpListener>) -> ports::LocalFuture<'static, ()>;
    let listen = |name, listener: net::TcpListener, serve: Serve| {
        let (host, listener) = (host.clone(), rc::Rc::new(listener));
        supervisor::spawn(name, move || serve(host.clone(), listener.clone()));
    };
    listen("ready", sockets.readiness, |h, l| {
        Box::pin(listeners::serve_readiness(h, l))
    });
    listen("metrics", sockets.metrics, |h, l| {
        Box::pin(listeners::serve_metrics(h, l))
    });
    listen("callers", sockets.clients, |h, l| {
        Box::pin(listeners::serve_clients(h, l))
    });
    listen("peers", sockets.peers, |h, l| {
        Box::pin(relay::serve_peers(h, l))
    });
}

/// Shuts down without cutting off a request: the host first reports that it is not ready, then
/// closes idle connections, then refuses new requests, and ends when the last connection has ended
/// or the time is up.
async fn stop(host: &host::Host, writer: &membership::ReportWriter) {
    let begin = host.now();
    let open_connections = host.open_connections.get();
    tracing::info!(event = "stop", connections = open_connections);
    host.phase.send_replace(host::Phase::Unready);
    time::sleep(UNREADY_PERIOD.duration()).await;
    host.phase.send_replace(host::Phase::Closing);
    let deadline = begin + clock::Millis(host.settings.timing.shutdown_grace.since(KILL_MARGIN).0);
    let written_at = host.now();
    writer.write(host, &writer.report(host)).await;
    time::sleep(CLOSING_PERIOD.duration()).await;
    host.phase.send_replace(host::Phase::Refusing);
    while host.open_connections.get() > 0 && host.now() < deadline {
        time::sleep(CHECK_INTERVAL.duration()).await;
    }
    let exit_at = begin + clock::Millis(host.settings.timing.shutdown_grace.since(EXIT_MARGIN).0);
    let farewell = async {
        let write = async {
            if host.now() > written_at {
                writer.write(host, &writer.report(host)).await;
            }
        };
        tokio::join!(write, reports::hand_over(host, writer));
    };
    let time_left = exit_at.since(host.now());
    if time::timeout(time_left.duration(), farewell).await.is_err() {
        tracing::warn!(event = "farewell_unfinished", time_left_ms = time_left.0);
    }
    let remaining = host.open_connections.get();
    tracing::info!(event = "stopped", connections = remaining);
}

async fn clean_pool(host: rc::Rc<host::Host>) {
    loop {
        time::sleep(POOL_CLEANUP_INTERVAL.duration()).await;
        host.pool.remove_expired(host.now());
    }
}
