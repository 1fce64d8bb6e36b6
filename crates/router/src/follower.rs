//! Following another host, which relays the configuration and the list of upstreams from the store.

use std::collections;
use std::rc;

use base::{clock, hash};
use tokio::time;

use crate::{host, link, relay, sources, store_watch};

/// Delay before another host is tried after the connection to one was lost.
const RETRY_DELAY: clock::Millis = clock::Millis(200);
/// Longest delay while no other host has newer information than this one.
const MAX_RETRY_DELAY: clock::Millis = clock::Millis(1_600);

/// Follows another host while the store does not answer this one, or while other hosts watch the
/// store on its behalf.
pub async fn follow_peers(host: rc::Rc<host::Host>) {
    let mut delay = RETRY_DELAY;
    let mut sources = sources::Sources::default();
    loop {
        if !needs_peer(&host) {
            host.store_health.wait_for_change().await;
            delay = RETRY_DELAY;
            continue;
        }
        let source = sources.choose(
            &host.settings,
            &host.membership.borrow(),
            host.now(),
            rand::random,
        );
        if let Some(source) = source
            && follow_peer(&host, &source, &sources).await == Err(link::Closed)
        {
            // The loop tries the next host.
            sources.record_failure(source.address, host.now());
        }
        let was_following = host.store_health.set_following(false);
        delay = if was_following {
            RETRY_DELAY
        } else {
            MAX_RETRY_DELAY.min(delay + delay)
        };
        time::sleep(delay.duration()).await;
    }
}

fn needs_peer(host: &host::Host) -> bool {
    host.store_health.is_lost() || !host.is_watcher()
}

/// Follows `source` until this host needs no other one or a better suited one is there.
///
/// # Errors
///
/// The connection failed or ended, or the store does not answer `source` either.
async fn follow_peer(
    host: &rc::Rc<host::Host>,
    source: &sources::Source,
    sources: &sources::Sources,
) -> Result<(), link::Closed> {
    let address = source.address;
    let mut link = link::open(address).await?;
    // Configuration that later differences on this connection refer to.
    let mut config = host.store_cache.config();
    let handshake = match &config {
        Some(bytes) => relay::Handshake::FollowFrom(hash::stable_hash(bytes)),
        None => relay::Handshake::Follow,
    };
    link.sender.send(&handshake).await?;
    let mut listed = collections::HashSet::new();
    let mut is_first_list = true;
    while needs_peer(host) {
        let update = link.receiver.receive(relay::HEARTBEAT_TIMEOUT).await;
        let Ok(update) = update else {
            let bytes = link.receiver.received_bytes;
            tracing::info!(event = "peer_lost", peer = %address, bytes);
            return Err(link::Closed);
        };
        match update {
            relay::Update::Config(bytes) => {
                store_watch::apply_config(host, &bytes, "peer");
                config = Some(bytes.into());
            }
            relay::Update::ConfigDelta(delta) => {
                let bytes = config.as_deref().and_then(|old| delta.apply(old));
                let Some(bytes) = bytes else {
                    tracing::warn!(event = "delta_unusable", peer = %address);
                    return Err(link::Closed);
                };
                store_watch::apply_config(host, &bytes, "peer");
                config = Some(bytes.into());
            }
            relay::Update::Put(entry) => {
                listed.insert(entry.key.clone());
                store_watch::apply_entry(host, &entry.key, entry.revision, &entry.value);
            }
            relay::Update::Removed(key, at) => store_watch::apply_removal(host, &key, at),
            relay::Update::Complete(at) => {
                if std::mem::take(&mut is_first_list) {
                    for key in host.store_cache.keys() {
                        if !listed.contains(&key) {
                            store_watch::apply_removal(host, &key, at);
                        }
                    }
                }
                host.store_cache.advance_to(at);
                host.upstreams_listed.set(true);
            }
            relay::Update::Leader(leader) => host.leader.set(leader),
            // A host that the store does not answer either has no newer information.
            relay::Update::Heartbeat(false) => {
                let bytes = link.receiver.received_bytes;
                tracing::info!(event = "peer_left", peer = %address, bytes);
                return Err(link::Closed);
            }
            relay::Update::Heartbeat(true) => {
                if host.upstreams_listed.get() && !host.store_health.set_following(true) {
                    tracing::info!(event = "peer_followed", peer = %address);
                }
                let membership = host.membership.borrow();
                if sources.has_better(&host.settings, &membership, source, host.now()) {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}
