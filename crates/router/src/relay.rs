//! Messages between hosts: the configuration and the list of upstreams for hosts that the store
//! does not answer, counts and demand for the leader.

use std::collections;
use std::net;
use std::rc;

use base::{clock, hash};
use serde::{Deserialize, Serialize};
use tokio::{net as tokio_net, task, time};

use crate::{delta, host, link, membership};

/// Time between heartbeats to a follower.
const HEARTBEAT_INTERVAL: clock::Millis = clock::Millis(500);
/// Time without a message after which another host is followed.
pub const HEARTBEAT_TIMEOUT: clock::Millis = clock::Millis(1_500);
/// Age of the knowledge of a host that has not read the store's contents since its start.
pub const UNKNOWN_AGE: clock::Millis = clock::Millis(u64::MAX);
/// Longest time between two reports of counts and demand.
const REPORT_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Counts and demand are reported at least this many times per report deadline.
const REPORTS_PER_DEADLINE: u64 = 10;
/// Largest number of consecutive reports that are not written into the store while it does not
/// answer.
const MAX_SKIPPED_WRITES: u32 = 3;
/// Time within which a report must be acknowledged.
const ACK_TIMEOUT: clock::Millis = clock::Millis(800);
/// Delay after a connection from another host could not be accepted.
const ACCEPT_RETRY_DELAY: clock::Millis = clock::Millis(50);

/// First message of a stream: the purpose of the stream.
#[derive(Debug, Serialize, Deserialize)]
pub enum Handshake {
    /// The sender wants to receive the store's contents and their updates.
    Follow,
    /// The sender will send reports of counts and demand.
    #[serde(rename = "Tell")]
    Report,
    /// Like `Follow`; the sender has the configuration with this hash, by [`hash::stable_hash`].
    FollowFrom(u64),
}

/// Update from a host to its followers.
#[derive(Debug, Serialize, Deserialize)]
pub enum Update {
    /// Configuration in the format of the store.
    Config(Vec<u8>),
    /// Entry of an upstream that was added or changed.
    Put(StoreEntry),
    /// Key of an upstream's entry that was removed, and the store revision by which it is missing.
    #[serde(rename = "Gone")]
    Removed(String, u64),
    /// All entries up to this store revision have been sent.
    #[serde(rename = "Listed")]
    Complete(u64),
    /// Peer address of the leader, if there is one.
    #[serde(rename = "Holder")]
    Leader(Option<net::SocketAddr>),
    /// Heartbeat; true if the sender knows the store's contents up to a recent time and learns of
    /// changes.
    #[serde(rename = "Pulse")]
    Heartbeat(bool),
    /// Difference from the configuration that the follower had at the handshake or was sent last.
    ConfigDelta(delta::Delta),
    /// Answer to the question that a follower sends now and then: the updates before contain all
    /// that was in the store until `age` before the question arrived.
    Known {
        /// The question, which is the time on the follower's clock at which it was asked.
        asked_at: clock::Millis,
        /// Age of the sender's knowledge; `UNKNOWN_AGE` if it doesn't know all of the contents.
        age: clock::Millis,
    },
}

/// Entry of an upstream in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Key of the entry.
    pub key: String,
    /// Store revision of the last write.
    pub revision: u64,
    /// Bytes written.
    pub value: Vec<u8>,
}

/// Accepts connections from other hosts and serves their streams.
pub async fn serve_peers(host: rc::Rc<host::Host>, listener: rc::Rc<tokio_net::TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let host = host.clone();
                task::spawn_local(link::accept(stream, move |link| {
                    handle_stream(host, link, peer)
                }));
            }
            Err(e) => {
                tracing::warn!(event = "accept_failed", error = %e);
                time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            }
        }
    }
}

async fn handle_stream(host: rc::Rc<host::Host>, mut link: link::Link, peer: net::SocketAddr) {
    let handshake = link.receiver.receive(HEARTBEAT_TIMEOUT).await;
    // On an error the other host sees the end of the stream and connects again.
    let _ = match handshake {
        Ok(Handshake::Follow) => {
            send_updates(&host, &mut link, peer, FollowerState::default()).await
        }
        Ok(Handshake::FollowFrom(config_hash)) => {
            let config = host.store_cache.config();
            let sent = FollowerState {
                config: config.filter(|bytes| hash::stable_hash(bytes) == config_hash),
                ..FollowerState::default()
            };
            send_updates(&host, &mut link, peer, sent).await
        }
        Ok(Handshake::Report) => receive_reports(&host, &mut link).await,
        Err(link::Closed) => Err(link::Closed),
    };
}

/// Part of this host's state that has already been sent to a follower.
#[derive(Default)]
struct FollowerState {
    config: Option<rc::Rc<[u8]>>,
    upstreams: collections::BTreeMap<String, u64>,
    revision: Option<u64>,
    leader: Option<net::SocketAddr>,
}

async fn send_updates(
    host: &host::Host,
    link: &mut link::Link,
    follower: net::SocketAddr,
    mut sent: FollowerState,
) -> Result<(), link::Closed> {
    let mut changes = host.store_cache.subscribe();
    let mut question = None;
    loop {
        changes.mark_unchanged();
        let (begin, sent_before) = (host.now(), link.sender.sent_bytes);
        // What is learned while the updates are sent is not part of them.
        let known_until = host.freshness.known_until();
        for update in pending_updates(host, &mut sent) {
            link.sender.send(&update).await?;
        }
        let (took, bytes) = (
            host.now().since(begin),
            link.sender.sent_bytes - sent_before,
        );
        host.metrics.record_relayed(bytes);
        if took >= HEARTBEAT_INTERVAL {
            tracing::warn!(event = "follower_slow", %follower, bytes, took_ms = took.0);
        }
        let is_recent = known_until.is_some_and(|until| host.freshness.is_recent(until, begin));
        let heartbeat = Update::Heartbeat(is_recent && host.learns_changes());
        link.sender.send(&heartbeat).await?;
        if let Some(asked_at) = question.take() {
            let age = known_until.map_or(UNKNOWN_AGE, |until| begin.since(until));
            link.sender.send(&Update::Known { asked_at, age }).await?;
        }
        tokio::select! {
            asked_at = link.receiver.next() => question = Some(asked_at?),
            // A heartbeat is due after a timeout, an update after a change.
            _ = time::timeout(HEARTBEAT_INTERVAL.duration(), changes.changed()) => {}
        }
    }
}

/// Returns the update that brings a follower with the configuration `sent` to `config`, if it needs
/// one.
fn config_update(config: &rc::Rc<[u8]>, sent: Option<&rc::Rc<[u8]>>) -> Option<Update> {
    let Some(sent) = sent else {
        return Some(Update::Config(config.to_vec()));
    };
    if rc::Rc::ptr_eq(config, sent) {
        return None;
    }
    let delta = delta::Delta::between(sent, config);
    Some(if delta.inserted_bytes() < config.len() / 2 {
        Update::ConfigDelta(delta)
    } else {
        Update::Config(config.to_vec())
    })
}

/// Returns the updates that have not been sent to the follower yet, and marks them as sent.
fn pending_updates(host: &host::Host, sent: &mut FollowerState) -> Vec<Update> {
    let cache = &host.store_cache;
    let mut updates = Vec::new();
    if let Some(config) = cache.config() {
        updates.extend(config_update(&config, sent.config.as_ref()));
        sent.config = Some(config);
    }
    if sent.leader != host.leader.get() {
        sent.leader = host.leader.get();
        updates.push(Update::Leader(sent.leader));
    }
    if !host.upstreams_listed.get() {
        return updates;
    }
    let upstreams = cache.upstreams();
    for (key, (revision, value)) in upstreams.iter() {
        if sent.upstreams.get(key) == Some(revision) {
            continue;
        }
        updates.push(Update::Put(StoreEntry {
            key: key.clone(),
            revision: *revision,
            value: value.to_vec(),
        }));
        sent.upstreams.insert(key.clone(), *revision);
    }
    let at = cache.revision();
    sent.upstreams.retain(|key, _| {
        let exists = upstreams.contains_key(key);
        if !exists {
            updates.push(Update::Removed(key.clone(), at));
        }
        exists
    });
    if sent.revision != Some(at) {
        sent.revision = Some(at);
        updates.push(Update::Complete(at));
    }
    updates
}

/// Receives the reports of another host.
async fn receive_reports(host: &host::Host, link: &mut link::Link) -> Result<(), link::Closed> {
    loop {
        let limit = REPORT_INTERVAL + HEARTBEAT_TIMEOUT;
        let report: membership::HostReport = link.receiver.receive(limit).await?;
        // A host that is not the leader may become it, so it records reports too.
        host.membership
            .borrow_mut()
            .record_report(report, host.now());
        link.sender.send(&host.is_leader.get()).await?;
    }
}

/// Reports this host's counts to the leader every second. If that fails, the counts are written
/// into the store, less often while the store does not answer either. Each report contains all
/// counts, so a skipped one loses nothing.
pub async fn report_counts(host: rc::Rc<host::Host>, writer: rc::Rc<membership::ReportWriter>) {
    let mut link = None;
    let mut remaining_skips = 0;
    let mut skip_count = 0;
    loop {
        let report = writer.report(&host);
        if send_report(&host, &mut link, &report).await.is_ok() {
            skip_count = 0;
        } else {
            link = None;
            if remaining_skips > 0 {
                remaining_skips -= 1;
            } else if report.windows.0.is_empty() {
                // A process without counts loses nothing, and at the start of a system no host
                // knows the leader.
            } else if writer.write(&host, &report).await {
                skip_count = 0;
            } else {
                skip_count = (2 * skip_count + 1).min(MAX_SKIPPED_WRITES);
                remaining_skips = skip_count;
            }
        }
        let interval = clock::Millis(host.settings.timing.report_deadline.0 / REPORTS_PER_DEADLINE);
        time::sleep(REPORT_INTERVAL.min(interval).duration()).await;
    }
}

/// Sends this host's counts, and all reports that it received, to the hosts that may become leader
/// next, to all of them at once: a stopping host has no time to wait for each that does not answer.
pub async fn hand_over(host: &host::Host, writer: &membership::ReportWriter) {
    host.membership
        .borrow_mut()
        .record_report(writer.report(host), host.now());
    let reports = rc::Rc::new(host.membership.borrow().reports());
    let watchers = host.membership.borrow().watcher_addresses();
    let mut sending = task::JoinSet::new();
    for address in watchers {
        if address == host.settings.peer_address {
            continue;
        }
        let reports = reports.clone();
        sending.spawn_local(async move { send_reports_to(address, &reports).await });
    }
    let results = sending.join_all().await;
    tracing::info!(
        event = "counts_handed_over",
        entries = reports.len(),
        hosts = results.iter().filter(|r| r.is_ok()).count()
    );
}

async fn send_reports_to(
    address: net::SocketAddr,
    reports: &[membership::HostReport],
) -> Result<(), link::Closed> {
    let mut link = link::open(address).await?;
    link.sender.send(&Handshake::Report).await?;
    for report in reports {
        link.sender.send(report).await?;
        let _is_leader: bool = link.receiver.receive(ACK_TIMEOUT).await?;
    }
    Ok(())
}

async fn send_report(
    host: &host::Host,
    link: &mut Option<(net::SocketAddr, link::Link)>,
    report: &membership::HostReport,
) -> Result<(), link::Closed> {
    let Some(leader) = host.leader.get() else {
        return Err(link::Closed);
    };
    if leader == host.settings.peer_address {
        host.membership
            .borrow_mut()
            .record_report(report.clone(), host.now());
        return Ok(());
    }
    if link.as_ref().is_none_or(|(to, _)| *to != leader) {
        let mut opened = link::open(leader).await?;
        opened.sender.send(&Handshake::Report).await?;
        *link = Some((leader, opened));
    }
    let Some((_, link)) = link else {
        return Err(link::Closed);
    };
    link.sender.send(report).await?;
    let is_leader: bool = link.receiver.receive(ACK_TIMEOUT).await?;
    if is_leader { Ok(()) } else { Err(link::Closed) }
}
