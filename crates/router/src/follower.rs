//! Following another host, which relays the configuration and the list of upstreams from the store.

use std::collections;
use std::net;
use std::rc;

use base::clock;
use rand::seq::IndexedRandom as _;
use tokio::time;

use crate::{host, link, relay, store_watch};

/// Delay before another host is tried after the connection to one was lost.
const RETRY_DELAY: clock::Millis = clock::Millis(200);
/// Longest delay while no other host has newer information than this one.
const MAX_RETRY_DELAY: clock::Millis = clock::Millis(1_600);

/// Follows another host while the store does not answer this one, or while other hosts watch the
/// store on its behalf.
pub async fn follow_peers(host: rc::Rc<host::Host>) {
    let mut delay = RETRY_DELAY;
    loop {
        if !needs_peer(&host) {
            host.store_health.wait_for_change().await;
            delay = RETRY_DELAY;
            continue;
        }
        // If no watching host has newer information, any host may be tried: the store may answer
        // it.
        if let Some(address) = choose_peer(&host, delay > RETRY_DELAY) {
            // A lost connection is logged by `follow_peer`; the loop tries the next host.
            let _ = follow_peer(&host, address).await;
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

/// Picks a random other host to follow: one that watches the store, any registered host if `any` is
/// set, or a seed from the settings.
fn choose_peer(host: &host::Host, any: bool) -> Option<net::SocketAddr> {
    let own_address = host.settings.peer_address;
    let membership = host.membership.borrow();
    let mut addresses = if any {
        membership.peer_addresses()
    } else {
        membership.watcher_addresses()
    };
    drop(membership);
    addresses.extend(host.settings.seeds.iter().copied());
    addresses.retain(|a| *a != own_address);
    addresses.choose(&mut rand::rng()).copied()
}

async fn follow_peer(
    host: &rc::Rc<host::Host>,
    address: net::SocketAddr,
) -> Result<(), link::Closed> {
    let mut link = link::open(address).await?;
    link.sender.send(&relay::Handshake::Follow).await?;
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
            relay::Update::Config(bytes) => store_watch::apply_config(host, &bytes, "peer"),
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
                return Ok(());
            }
            relay::Update::Heartbeat(true) => {
                if host.upstreams_listed.get() && !host.store_health.set_following(true) {
                    tracing::info!(event = "peer_followed", peer = %address);
                }
            }
        }
    }
    Ok(())
}
