//! Streams between hosts, and the relayed contents of the store: the configuration and the list of
//! upstreams for hosts that do not read them themselves.

use std::collections;
use std::net;
use std::rc;

use base::{clock, hash, name};
use serde::{Deserialize, Serialize};
use tokio::{net as tokio_net, task, time};

use crate::{dc_drain, delta, digest, host, link, reports, revision};

/// Time between heartbeats to a follower.
const HEARTBEAT_INTERVAL: clock::Millis = clock::Millis(500);
/// Time without a message after which another host is followed.
pub const HEARTBEAT_TIMEOUT: clock::Millis = clock::Millis(1_500);
/// Age of the knowledge of a host that has not read the store's contents since its start.
pub const UNKNOWN_AGE: clock::Millis = clock::Millis(u64::MAX);
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
    /// Like `Report`; the sender also reports crashes of upstreams, see [`reports::Report`].
    ReportFindings,
    /// Like `ReportFindings`; the sender also reports its load, see [`reports::LoadReport`].
    ReportLoad,
    /// Like `FollowFrom`, or `Follow` without a hash; the sender also takes digests.
    FollowWith {
        /// Hash of the configuration that the sender has.
        config_hash: Option<u64>,
    },
    /// Like `FollowWith`; revisions are sent with their era. Without it they are numbers alone.
    FollowEras {
        /// Hash of the configuration that the sender has.
        config_hash: Option<u64>,
    },
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
    Removed(String, revision::Revision),
    /// All entries up to this store revision have been sent.
    #[serde(rename = "Listed")]
    Complete(revision::Revision),
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
    /// Data centres that are being drained. Sent only where the settings allow drains: a host of an
    /// earlier version can't decode it.
    DrainedDcs(dc_drain::DrainedDcs),
    /// Latest digest of the leader; sent only after the handshake `FollowWith`.
    Digest(rc::Rc<digest::Digest>),
}

/// Entry of an upstream in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreEntry {
    /// Key of the entry.
    pub key: String,
    /// Store revision of the last write.
    pub revision: revision::Revision,
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
            let sent = FollowerState::with_config(&host, Some(config_hash));
            send_updates(&host, &mut link, peer, sent).await
        }
        Ok(Handshake::FollowWith { config_hash }) => {
            let sent = FollowerState {
                digest: Some(digest::Version::default()),
                ..FollowerState::with_config(&host, config_hash)
            };
            send_updates(&host, &mut link, peer, sent).await
        }
        Ok(Handshake::FollowEras { config_hash }) => {
            let sent = FollowerState {
                digest: Some(digest::Version::default()),
                has_eras: true,
                ..FollowerState::with_config(&host, config_hash)
            };
            send_updates(&host, &mut link, peer, sent).await
        }
        Ok(Handshake::Report) => reports::receive_counts(&host, &mut link).await,
        Ok(Handshake::ReportFindings) => reports::receive(&host, &mut link).await,
        Ok(Handshake::ReportLoad) => reports::receive_load(&host, &mut link).await,
        Err(link::Closed) => Err(link::Closed),
    };
}

/// Part of this host's state that has already been sent to a follower.
#[derive(Default)]
struct FollowerState {
    config: Option<rc::Rc<[u8]>>,
    upstreams: collections::BTreeMap<String, revision::Revision>,
    revision: Option<revision::Revision>,
    leader: Option<net::SocketAddr>,
    drained_dcs: Option<collections::BTreeSet<name::Dc>>,
    /// Version of the digest; `None` if the follower takes no digests.
    digest: Option<digest::Version>,
    /// Whether revisions are sent with their era.
    has_eras: bool,
}

impl FollowerState {
    /// The revision as the follower reads it.
    fn sent_revision(&self, revision: revision::Revision) -> revision::Revision {
        if self.has_eras {
            revision
        } else {
            revision::Revision::without_era(revision.number())
        }
    }

    /// State of a follower that has the configuration with this hash.
    fn with_config(host: &host::Host, config_hash: Option<u64>) -> Self {
        let config = host.store_cache.config();
        Self {
            config: config.filter(|bytes| Some(hash::stable_hash(bytes)) == config_hash),
            ..Self::default()
        }
    }
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
    // A host without a configuration serves nothing, so a new one knows the drains before it serves.
    if let Some(drained) = cache.drained_dcs()
        && sent.drained_dcs.as_ref() != Some(&drained.dcs)
    {
        sent.drained_dcs = Some(drained.dcs.clone());
        let revision = sent.sent_revision(drained.revision);
        updates.push(Update::DrainedDcs(dc_drain::DrainedDcs {
            revision,
            ..drained
        }));
    }
    if let Some(config) = cache.config() {
        updates.extend(config_update(&config, sent.config.as_ref()));
        sent.config = Some(config);
    }
    if sent.leader != host.leader.get() {
        sent.leader = host.leader.get();
        updates.push(Update::Leader(sent.leader));
    }
    if let (Some(sent), Some(digest)) = (&mut sent.digest, host.digest.get())
        && *sent < digest.version
    {
        *sent = digest.version;
        updates.push(Update::Digest(digest));
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
            revision: sent.sent_revision(*revision),
            value: value.to_vec(),
        }));
        sent.upstreams.insert(key.clone(), *revision);
    }
    let at = sent.sent_revision(cache.revision());
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
