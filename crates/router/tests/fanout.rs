//! Tests of what hosts send to their followers when the configuration is large or the store is away.

mod env;

use env::hosts::{registration, start_hosts, start_hosts_at, start_tasks, wait_for};

/// Time within which a change must take effect: the deadline in the settings of the test hosts.
const CHANGE_DEADLINE_MS: u64 = 2_500;
/// Bytes that a version of the configuration may cost for each follower: 15 followers get three
/// versions a second over a link of 10 Mbit/s.
const MAX_VERSION_BYTES: u64 = 27_000;

/// Configuration of 1,400 routes, one of which differs by version.
fn large_config(version: u64) -> String {
    let mut text = format!("{version}\n");
    for route in 0..1_400 {
        let timeout = if route == 700 { version } else { 4_000 };
        text.push_str(&format!(
            "{{\"name\":\"r-{route}\",\"host\":\"h.example\",\"prefix\":\"/p{route}/\",\"kind\":\"idempotent\",\
             \"timeout\":{timeout},\"target\":400,\"tier\":2,\"service\":\"s{}\",\"max_attempts\":2}},",
            route % 7
        ));
    }
    text
}

/// Each version was sent whole to each follower. Versions in quick succession filled the links of
/// the region, and hosts applied them and the changes of upstreams after the deadline.
#[test]
fn change_of_a_large_configuration_costs_followers_few_bytes() {
    const VERSIONS: u64 = 5;
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", &large_config(1));
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3", "h4"]);
        for node in &nodes {
            start_tasks(node);
        }
        wait_for("two hosts follow others", || {
            nodes[2..].iter().all(|n| n.host.relies_on_peer())
        })
        .await;
        let relayed = || nodes.iter().map(env::Node::relayed_bytes).sum::<u64>();
        let before = relayed();
        for version in 2..2 + VERSIONS {
            cluster.put("config", &large_config(version));
            wait_for("the next version at all hosts", || {
                nodes.iter().all(|n| n.config_version() == Some(version))
            })
            .await;
        }
        // The bytes of a version are counted after the last of them has been sent.
        wait_for("the bytes", || relayed() > before).await;
        let bytes = relayed() - before;
        let limit = VERSIONS * 2 * MAX_VERSION_BYTES;
        assert!(bytes <= limit, "{bytes} bytes for two followers");
    });
}

/// A follower that lost its source on a full link got the whole configuration again from the next
/// one, which kept the link full.
#[test]
fn follower_that_connects_again_does_not_get_a_known_configuration() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", &large_config(1));
        let [isolated, source] = start_hosts(&cluster, ["isolated", "source"]);
        start_tasks(&source);
        isolated.store_mode.set(env::StoreMode::Unavailable);
        start_tasks(&isolated);
        wait_for("the configuration", || isolated.config_version() == Some(1)).await;
        let before = source.relayed_bytes();
        for upstream in ["up/a", "up/b"] {
            // With the store the host leaves the other one, and without it connects again.
            isolated.store_mode.set(env::StoreMode::Available);
            wait_for("the end of the connection", || {
                !isolated.host.store_health.is_following()
            })
            .await;
            isolated.store_mode.set(env::StoreMode::Unavailable);
            cluster.put(upstream, "ready 1 1");
            wait_for("an upstream from the other host", || {
                isolated
                    .ready_upstreams()
                    .contains(&upstream[3..].to_owned())
            })
            .await;
        }
        let bytes = source.relayed_bytes() - before;
        assert!(bytes <= 2 * MAX_VERSION_BYTES, "{bytes} bytes");
    });
}

/// Each host that started read the whole configuration from the store, also where another host of
/// its data centre relays it. Hosts that started together filled the link between the regions.
#[test]
fn restarted_hosts_read_nothing_from_the_store_while_another_host_relays() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", &large_config(1));
        cluster.put("up/a", "ready 1 1");
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3", "h4", "h5", "h6"]);
        for node in &nodes {
            start_tasks(node);
        }
        env::sleep_ms(CHANGE_DEADLINE_MS).await;
        for node in &nodes[2..] {
            assert_eq!(node.config_version(), Some(1));
            assert_eq!(node.ready_upstreams(), ["a"]);
            assert_eq!(node.read_calls.get(), 0, "{}", node.host.settings.host);
        }
    });
}

/// Followers drew a watching host of any region, so most of them took each version over the link
/// between the regions, which all hosts share.
#[test]
fn followers_take_changes_from_their_own_data_centre() {
    /// Followers of the other data centre: with fewer, all of them may draw the near hosts.
    const SOUTH: [&str; 10] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9"];
    let north = ["n0", "n1", "n2", "n3", "n4"].map(|name| (name, "na"));
    let places = [&north[..], &SOUTH.map(|name| (name, "sa"))].concat();
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "1");
        let nodes = start_hosts_at(&cluster, &places);
        let (north, south) = nodes.split_at(5);
        for node in north {
            start_tasks(node);
        }
        // The watching hosts of the north work before the first follower starts.
        wait_for("the north", || {
            north[2..].iter().all(|n| n.host.relies_on_peer())
        })
        .await;
        for node in &south[..2] {
            start_tasks(node);
        }
        wait_for("the watching hosts of the south", || {
            south[..2].iter().all(|n| n.host.is_ready())
        })
        .await;
        let relayed = |nodes: &[env::Node]| nodes.iter().map(env::Node::relayed_bytes).sum::<u64>();
        let (before, all_before) = (relayed(north), relayed(&nodes));
        for node in &south[2..] {
            node.store_mode.set(env::StoreMode::Unavailable);
            start_tasks(node);
        }
        wait_for("the south follows", || {
            south[2..].iter().all(|n| n.host.relies_on_peer())
        })
        .await;
        cluster.put("config", &large_config(2));
        wait_for("version 2 at all hosts", || {
            nodes.iter().all(|n| n.config_version() == Some(2))
        })
        .await;
        let size = large_config(2).len() as u64;
        let followers = 3 + (SOUTH.len() as u64 - 2);
        wait_for("the bytes of version 2", || {
            relayed(&nodes) >= all_before + followers * size
        })
        .await;
        let bytes = relayed(north) - before;
        assert_eq!(
            bytes / size,
            3,
            "versions sent by the north to its followers"
        );
    });
}

/// A host that had just lost its source told others that it knows the store's contents, before it
/// had asked the store itself. Hosts cut off together kept each other from noticing.
#[test]
fn no_host_relies_on_contents_older_than_the_deadline_for_changes() {
    const OUTAGE_MS: u64 = 8_000;
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "1");
        let names = ["h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"];
        let nodes = start_hosts(&cluster, names);
        for node in &nodes {
            start_tasks(node);
        }
        env::sleep_ms(3_000).await;
        assert!(nodes[2..].iter().all(|n| n.host.relies_on_peer()));
        for node in &nodes {
            node.store_mode.set(env::StoreMode::Silent);
        }
        let begin = cluster.clock.now();
        while cluster.clock.now().since(begin).0 < OUTAGE_MS {
            env::sleep_ms(20).await;
            let age = cluster.clock.now().since(begin).0;
            let relying = nodes.iter().filter(|n| n.host.relies_on_peer()).count();
            assert!(
                age < CHANGE_DEADLINE_MS || relying == 0,
                "{relying} hosts rely on others {age} ms after the store was last read"
            );
        }
    });
}

/// A host that the store turns away still knows recent contents for a time, and its followers waited
/// for that time to pass although other hosts knew the changes.
#[test]
fn follower_leaves_a_source_that_has_lost_the_store() {
    /// Time within which a change arrives: half of what the source's recent knowledge would allow.
    const MAX_LAG_MS: u64 = CHANGE_DEADLINE_MS * 3 / 8;
    env::run(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "1");
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3"]);
        for node in &nodes {
            start_tasks(node);
        }
        env::sleep_ms(2_000).await;
        let before = nodes[0].relayed_bytes();
        cluster.put("config", "2");
        env::sleep_ms(1_000).await;
        let is_first = nodes[0].relayed_bytes() > before;
        let source = &nodes[usize::from(!is_first)];
        // The source knows no other host that it could follow itself.
        let now = source.host.now();
        let own = [registration(source)];
        source.host.membership.borrow_mut().update_hosts(&own, now);
        source.store_mode.set(env::StoreMode::Unavailable);
        env::sleep_ms(50).await;
        cluster.put("config", "3");
        env::sleep_ms(MAX_LAG_MS).await;
        assert_eq!(nodes[2].config_version(), Some(3));
        assert_eq!(nodes[2].read_calls.get(), 0, "from another host");
    });
}
