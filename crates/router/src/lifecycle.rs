//! Start, stop and what runs between.

use std::io;
use std::rc;

use base::clock;
use tokio::signal::unix;
use tokio::{task, time};

use crate::{duty, follow, front, host, relay, roster};

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
    let front = front::listen(host.settings.front)?;
    let ready = front::listen(host.settings.ready)?;
    let metrics = front::listen(host.settings.metrics)?;
    let peers = front::listen(host.settings.peer)?;
    let mut term = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    tracing::info!(
        event = "start",
        host = %host.settings.host,
        dc = %host.settings.place.dc,
        version = env!("CARGO_PKG_VERSION"),
        front = %host.settings.front,
        fresh,
    );
    let writer = rc::Rc::new(roster::Writer::new(&host));
    task::spawn_local(follow::config(host.clone()));
    task::spawn_local(follow::upstreams(host.clone()));
    task::spawn_local(front::readiness(host.clone(), ready));
    task::spawn_local(front::metrics(host.clone(), metrics));
    task::spawn_local(front::callers(host.clone(), front));
    task::spawn_local(relay::serve(host.clone(), peers));
    task::spawn_local(relay::follow(host.clone()));
    task::spawn_local(relay::tell(host.clone(), writer.clone()));
    task::spawn_local(roster::appear(host.clone()));
    task::spawn_local(roster::read(host.clone()));
    task::spawn_local(sweep(host.clone()));
    let duties = task::spawn_local(duty::run(host.clone(), fresh));
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(),
        }
    }
    stop(&host, &writer).await;
    duties.abort();
    Ok(())
}

/// Leaves without cutting a request: first unready, then no kept connections, then no new
/// requests, then the end.
async fn stop(host: &host::Host, writer: &roster::Writer) {
    let begun = host.now();
    let open = host.serving.get();
    tracing::info!(event = "stop", connections = open);
    host.phase.send_replace(host::Phase::Leaving);
    time::sleep(LINGER.duration()).await;
    host.phase.send_replace(host::Phase::Closing);
    let last = begun + clock::Millis(host.settings.times.grace.since(MARGIN).0);
    let written = host.now();
    writer.write(host, &writer.entry(host)).await;
    time::sleep(TAKING.duration()).await;
    host.phase.send_replace(host::Phase::Refusing);
    while host.serving.get() > 0 && host.now() < last {
        time::sleep(LOOK_EVERY.duration()).await;
    }
    if host.now() > written {
        writer.write(host, &writer.entry(host)).await;
    }
    let cut = host.serving.get();
    tracing::info!(event = "stopped", connections = cut);
}

async fn sweep(host: rc::Rc<host::Host>) {
    loop {
        time::sleep(SWEEP_EVERY.duration()).await;
        host.pool.sweep(host.now());
    }
}
