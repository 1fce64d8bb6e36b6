//! Start, stop and what runs between.

use std::io;
use std::rc;

use base::clock;
use tokio::signal::unix;
use tokio::{net, time};

use crate::{host, leader, listeners, membership, ports, relay, store_watch, supervisor};

/// How long after the stop signal callers may still come: until the balancer has asked twice.
const LINGER: clock::Millis = clock::Millis(2_600);
/// How long after that new requests are still taken.
const TAKING: clock::Millis = clock::Millis(500);
/// How long before it is killed the process ends by itself.
const MARGIN: clock::Millis = clock::Millis(500);
/// How often a stopping host looks whether it is done.
const LOOK_EVERY: clock::Millis = clock::Millis(50);
/// How often idle connections are swept.
const SWEEP_EVERY: clock::Millis = clock::Millis(1_000);

/// Runs a host until SIGTERM or SIGINT; `fresh` says that the whole system starts for the first
/// time. `reload` is called on SIGHUP.
///
/// # Errors
///
/// An address can't be had, or signals can't be taken.
pub async fn run(host: rc::Rc<host::Host>, fresh: bool, reload: impl Fn()) -> io::Result<()> {
    let front = listeners::listen(host.settings.client_address)?;
    let ready = listeners::listen(host.settings.readiness_address)?;
    let metrics = listeners::listen(host.settings.metrics_address)?;
    let peers = listeners::listen(host.settings.peer_address)?;
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    tracing::info!(
        event = "start",
        host = %host.settings.host,
        dc = %host.settings.place.dc,
        version = env!("CARGO_PKG_VERSION"),
        front = %host.settings.client_address,
        fresh,
    );
    let writer = rc::Rc::new(membership::ReportWriter::new(&host));
    start(
        &host,
        &writer,
        Listeners {
            front,
            ready,
            metrics,
            peers,
        },
        fresh,
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

/// Where this host listens.
struct Listeners {
    front: net::TcpListener,
    ready: net::TcpListener,
    metrics: net::TcpListener,
    peers: net::TcpListener,
}

/// Starts the tasks that run until the process ends.
fn start(
    host: &rc::Rc<host::Host>,
    writer: &rc::Rc<membership::ReportWriter>,
    at: Listeners,
    fresh: bool,
) {
    let child = |name, run: fn(rc::Rc<host::Host>) -> ports::Local<'static, ()>| {
        let host = host.clone();
        supervisor::spawn(name, move || run(host.clone()));
    };
    child("config", |h| Box::pin(store_watch::watch_config(h)));
    child("upstreams", |h| Box::pin(store_watch::watch_upstreams(h)));
    child("peer_news", |h| Box::pin(relay::follow_peers(h)));
    child("presence", |h| Box::pin(membership::keep_registered(h)));
    child("roster", |h| Box::pin(membership::refresh(h)));
    child("sweep", |h| Box::pin(sweep(h)));
    let (owner, writer) = (host.clone(), writer.clone());
    supervisor::spawn("tell", move || {
        relay::report_counts(owner.clone(), writer.clone())
    });
    let owner = host.clone();
    supervisor::spawn("duties", move || leader::run(owner.clone(), fresh));
    type Serve = fn(rc::Rc<host::Host>, rc::Rc<net::TcpListener>) -> ports::Local<'static, ()>;
    let listen = |name, listener: net::TcpListener, serve: Serve| {
        let (host, listener) = (host.clone(), rc::Rc::new(listener));
        supervisor::spawn(name, move || serve(host.clone(), listener.clone()));
    };
    listen("ready", at.ready, |h, l| {
        Box::pin(listeners::serve_readiness(h, l))
    });
    listen("metrics", at.metrics, |h, l| {
        Box::pin(listeners::serve_metrics(h, l))
    });
    listen("callers", at.front, |h, l| {
        Box::pin(listeners::serve_clients(h, l))
    });
    listen("peers", at.peers, |h, l| Box::pin(relay::serve_peers(h, l)));
}

/// Leaves without cutting a request: first unready, then no kept connections, then no new
/// requests, then the end.
async fn stop(host: &host::Host, writer: &membership::ReportWriter) {
    let begun = host.now();
    let open = host.open_connections.get();
    tracing::info!(event = "stop", connections = open);
    host.phase.send_replace(host::Phase::Unready);
    time::sleep(LINGER.duration()).await;
    host.phase.send_replace(host::Phase::Closing);
    let last = begun + clock::Millis(host.settings.timing.shutdown_grace.since(MARGIN).0);
    let written = host.now();
    writer.write(host, &writer.report(host)).await;
    time::sleep(TAKING.duration()).await;
    host.phase.send_replace(host::Phase::Refusing);
    while host.open_connections.get() > 0 && host.now() < last {
        time::sleep(LOOK_EVERY.duration()).await;
    }
    if host.now() > written {
        writer.write(host, &writer.report(host)).await;
    }
    relay::hand_over(host, writer).await;
    let cut = host.open_connections.get();
    tracing::info!(event = "stopped", connections = cut);
}

async fn sweep(host: rc::Rc<host::Host>) {
    loop {
        time::sleep(SWEEP_EVERY.duration()).await;
        host.pool.remove_expired(host.now());
    }
}
