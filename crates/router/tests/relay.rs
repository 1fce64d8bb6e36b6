//! What hosts hear from each other, over real links.

mod env;

use std::net;
use std::rc;

use base::{clock, name};
use router::{listeners, membership, ports, relay, store_watch};
use tokio::{task, time};

/// Hosts that serve each other, on loopback.
fn hosts<const N: usize>(world: &rc::Rc<env::World>, names: [&str; N]) -> [env::Node; N] {
    let nodes = names.map(|n| {
        let free = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        env::node(world, n, free.local_addr().expect("bound").port())
    });
    for node in &nodes {
        let listener = listeners::listen(node.host.settings.peer_address).expect("the port");
        task::spawn_local(relay::serve_peers(node.host.clone(), rc::Rc::new(listener)));
    }
    let items: Vec<ports::Item> = nodes.iter().map(present).collect();
    for node in &nodes {
        let now = node.host.now();
        node.host.membership.borrow_mut().update_hosts(&items, now);
    }
    nodes
}

fn present(node: &env::Node) -> ports::Item {
    let settings = &node.host.settings;
    let present = membership::Registration {
        host: settings.host.clone(),
        dc: settings.place.dc.clone(),
        peer: settings.peer_address,
    };
    ports::Item {
        key: format!("hosts/{}", settings.host),
        value: serde_json::to_vec(&present).expect("written"),
        revision: 1,
        created: 1,
    }
}

fn start(node: &env::Node) {
    task::spawn_local(store_watch::watch_config(node.host.clone()));
    task::spawn_local(store_watch::watch_upstreams(node.host.clone()));
    task::spawn_local(relay::follow_peers(node.host.clone()));
}

/// Waits for something that must come; a test that hangs here has failed.
async fn wait(what: &str, there: impl Fn() -> bool) {
    for _ in 0..1_500 {
        if there() {
            return;
        }
        time::sleep(time::Duration::from_millis(10)).await;
    }
    panic!("never: {what}");
}

#[test]
fn a_host_that_the_store_turns_away_follows_another() {
    env::run_real(|| async {
        let world = env::World::new();
        world.put("config", "3");
        world.put("up/a", "ready 1 1");
        let [cut, well] = hosts(&world, ["cut", "well"]);
        cut.mood.set(env::Mood::Down);
        start(&cut);
        start(&well);
        wait("what the other knows", || {
            cut.version() == Some(3) && cut.ready() == ["a"]
        })
        .await;
        assert!(cut.host.is_ready());
        world.put("config", "4");
        world.put("up/b", "ready 2 1");
        world.remove("up/a");
        wait("changes", || {
            cut.version() == Some(4) && cut.ready() == ["b"]
        })
        .await;
        // What the store says later goes on from there.
        cut.mood.set(env::Mood::Well);
        world.put("config", "5");
        wait("the store again", || cut.version() == Some(5)).await;
        assert_eq!(cut.ready(), ["b"]);
    });
}

#[test]
fn two_of_a_data_centre_watch_and_the_others_follow_them() {
    env::run_real(|| async {
        let world = env::World::new();
        world.put("config", "3");
        world.put("up/a", "ready 1 1");
        let nodes = hosts(&world, ["h1", "h2", "h3", "h4"]);
        let watching = nodes.iter().filter(|n| n.host.is_watcher()).count();
        assert_eq!(watching, 2);
        for node in &nodes {
            start(node);
        }
        wait("all are fed", || {
            nodes[2..].iter().all(|n| n.host.relies_on_peer())
        })
        .await;
        world.put("config", "4");
        wait("all have it", || {
            nodes.iter().all(|n| n.version() == Some(4))
        })
        .await;
        // Followers go to the store themselves when those that they follow know nothing new.
        for node in &nodes[..2] {
            node.mood.set(env::Mood::Down);
        }
        world.put("config", "5");
        wait("all have it all the same", || {
            nodes.iter().all(|n| n.version() == Some(5))
        })
        .await;
    });
}

#[test]
fn a_stopping_host_hands_over_what_it_counted_and_was_told() {
    env::run_real(|| async {
        let world = env::World::new();
        let [stopping, next] = hosts(&world, ["stopping", "next"]);
        let team = name::Team::from("t");
        stopping
            .host
            .usage_counter
            .borrow_mut()
            .counts
            .record_request(7, &team);
        let told = membership::HostReport {
            host: "dead".into(),
            boot_id: 9,
            at: 1,
            windows: stopping.host.usage_counter.borrow().counts.clone(),
            demand: Default::default(),
        };
        stopping
            .host
            .membership
            .borrow_mut()
            .record_report(told, clock::Millis(1));
        let writer = membership::ReportWriter::new(&stopping.host);
        relay::hand_over(&stopping.host, &writer).await;
        relay::hand_over(&stopping.host, &writer).await;
        let counted = next.host.membership.borrow().window_counts(7);
        assert_eq!(counted.get(&team), Some(&2), "each start once");
    });
}
