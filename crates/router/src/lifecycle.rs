//! Start and graceful shutdown of a host, and the tasks that run in between.

use std::io;
use std::rc;

use base::clock;
use tokio::signal::unix;
use tokio::{net, task, time};

use crate::{
    follower, host, leader, listeners, membership, ports, relay, reports, shutdown, store_watch,
    supervisor, warm_up,
};

/// Longest time that a stopping process waits until clients have been sent the responses to requests
/// that were given up.
const LAST_RESPONSES_TIMEOUT: clock::Millis = clock::Millis(100);
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
    if host.settings.cold_tolerance.is_some() {
        spawn("warm_up", |h| Box::pin(warm_up::watch(h)));
    }
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

/// Shuts down in the phases of [`shutdown::Schedule`], and ends when the last client connection has
/// ended or the time is up. No phase waits for the store or another host.
async fn stop(host: &rc::Rc<host::Host>, writer: &rc::Rc<membership::ReportWriter>) {
    let schedule = shutdown::Schedule::new(host.now(), host.settings.timing.shutdown_grace);
    let open_connections = host.connections.count();
    tracing::info!(event = "stop", connections = open_connections);
    host.shutdown.set(Some(schedule));
    host.phase.send_replace(host::Phase::Unready);
    sleep_until(host, schedule.begin(host::Phase::Closing)).await;
    host.phase.send_replace(host::Phase::Closing);
    let early_write = task::spawn_local({
        let (host, writer) = (host.clone(), writer.clone());
        async move { writer.write(&host, &writer.report(&host)).await }
    });
    sleep_until(host, schedule.begin(host::Phase::Refusing)).await;
    host.phase.send_replace(host::Phase::Refusing);
    tracing::info!(event = "refusing", connections = host.connections.count());
    wait_for_connections(host, schedule.begin(host::Phase::Ending)).await;
    host.phase.send_replace(host::Phase::Ending);
    let responses_end = (host.now() + LAST_RESPONSES_TIMEOUT).min(schedule.exit_at());
    wait_for_connections(host, responses_end).await;
    let farewell = async {
        let write = async {
            // The store refuses a write beside an unfinished one of the same key.
            let _ = early_write.await;
            writer.write(host, &writer.report(host)).await;
        };
        tokio::join!(write, reports::hand_over(host, writer));
    };
    let time_left = schedule.exit_at().since(host.now());
    if time::timeout(time_left.duration(), farewell).await.is_err() {
        tracing::warn!(event = "farewell_unfinished", time_left_ms = time_left.0);
    }
    let remaining = host.connections.count();
    tracing::info!(event = "stopped", connections = remaining);
}

async fn sleep_until(host: &host::Host, end: clock::Millis) {
    time::sleep(end.since(host.now()).duration()).await;
}

/// Waits until no client connection is open, at most until `end`.
async fn wait_for_connections(host: &host::Host, end: clock::Millis) {
    while host.connections.count() > 0 && host.now() < end {
        time::sleep(CHECK_INTERVAL.duration()).await;
    }
}

async fn clean_pool(host: rc::Rc<host::Host>) {
    loop {
        time::sleep(POOL_CLEANUP_INTERVAL.duration()).await;
        host.pool.remove_expired(host.now());
    }
}
