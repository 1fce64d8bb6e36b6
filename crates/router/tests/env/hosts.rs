//! Hosts of a test that accept connections from each other on loopback.

use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use router::{follower, location, membership, model, ports, relay, revision, store_watch};
use tokio::{net as tokio_net, task, time};

use super::{Cluster, Node};

/// Starts hosts of one data centre that know and accept connections from each other.
pub fn start_hosts<const N: usize>(cluster: &rc::Rc<Cluster>, names: [&str; N]) -> [Node; N] {
    let places = names.map(|name| (name, "a"));
    let nodes = start_hosts_at(cluster, &places);
    nodes
        .try_into()
        .unwrap_or_else(|_| unreachable!("as many hosts as names"))
}

/// Starts hosts, given by name and data centre, that know and accept connections from each other.
/// The region of a data centre has the first letter of its name.
pub fn start_hosts_at(cluster: &rc::Rc<Cluster>, places: &[(&str, &str)]) -> Vec<Node> {
    let regions = places.iter().map(|(_, dc)| ((*dc).into(), dc[..1].into()));
    let regions: collections::HashMap<_, _> = regions.collect();
    let mut nodes = Vec::new();
    // A port that is given back and bound again may have gone to another test.
    let mut listeners = Vec::new();
    for (name, dc) in places {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
        let port = listener.local_addr().expect("local address").port();
        let location = location::Location {
            dc: (*dc).into(),
            regions: regions.clone(),
        };
        let window = clock::Millis(5_000);
        nodes.push(super::node_at(cluster, name, port, window, location));
        listener.set_nonblocking(true).expect("non-blocking mode");
        listeners.push(tokio_net::TcpListener::from_std(listener).expect("a listener of tokio"));
    }
    for (node, listener) in nodes.iter().zip(listeners) {
        task::spawn_local(relay::serve_peers(node.host.clone(), rc::Rc::new(listener)));
    }
    let items: Vec<ports::Item> = nodes.iter().map(registration).collect();
    for node in &nodes {
        let now = node.host.now();
        node.host.membership.borrow_mut().update_hosts(&items, now);
    }
    nodes
}

/// Entry in the store of the registered host of `node`.
pub fn registration(node: &Node) -> ports::Item {
    let settings = &node.host.settings;
    let (host, dc) = (settings.host.as_str(), settings.location.dc.as_str());
    registration_of(host, dc, settings.peer_address)
}

/// Entry in the store of a registered host, given by its name, data centre and address.
pub fn registration_of(host: &str, dc: &str, peer_address: net::SocketAddr) -> ports::Item {
    let registration = membership::Registration {
        host: host.into(),
        dc: dc.into(),
        peer_address,
    };
    ports::Item {
        key: format!("hosts/{host}"),
        value: serde_json::to_vec(&registration).expect("serialize"),
        revision: revision::Revision::without_era(1),
        created: revision::Revision::without_era(1),
        lease: Some(0),
        fault: None,
    }
}

/// Service `s`, which runs a language model.
pub fn service() -> model::Service {
    model::Service {
        name: name::Service::from("s"),
        engine: Some(model::Engine {
            tokens_per_event: 5,
            slots: 16,
            memory_tokens: 0,
        }),
        scaling: None,
        cold_limit: None,
    }
}

/// Starts the tasks by which a host learns of changes in the store.
pub fn start_tasks(node: &Node) {
    let host = node.host.clone();
    task::spawn_local(async {
        store_watch::wait_for_first_source(&host).await;
        store_watch::watch_config(host).await;
    });
    let host = node.host.clone();
    task::spawn_local(async {
        store_watch::wait_for_first_source(&host).await;
        store_watch::watch_upstreams(host).await;
    });
    task::spawn_local(follower::follow_peers(node.host.clone()));
}

/// Waits until `condition` holds; panics after 15 seconds.
pub async fn wait_for(event: &str, condition: impl Fn() -> bool) {
    for _ in 0..1_500 {
        if condition() {
            return;
        }
        time::sleep(time::Duration::from_millis(10)).await;
    }
    panic!("timed out waiting for: {event}");
}
