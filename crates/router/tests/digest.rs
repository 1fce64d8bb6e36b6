//! Tests of the leader's digest: how it reaches all hosts, and what they do with odd ones.

mod env;

use std::cell;
use std::rc;

use base::{clock, name};
use env::hosts::{start_hosts, start_tasks, wait_for};
use policy::engine_classes;
use router::{digest, digest_leader, link, membership, quarantine, relay, reports, stream_class};
use serde::{Deserialize, Serialize};
use tokio::{net as tokio_net, task};

const ENGINES: u16 = 40;
const SHARES: engine_classes::Shares = [100, 700, 200];

fn put_engines(cluster: &env::Cluster) {
    cluster.put("config", "1");
    for n in 1..=ENGINES {
        cluster.put(&format!("up/u{n}"), &format!("ready {n} 1"));
    }
}

fn digest(token: u64, sequence: u64, shares: engine_classes::Shares) -> rc::Rc<digest::Digest> {
    rc::Rc::new(digest::Digest {
        version: digest::Version { token, sequence },
        services: vec![digest::ServiceDigest {
            service: "s".into(),
            shares,
            dcs: Vec::new(),
        }],
    })
}

/// Names of the engines of each class at a host, in the order of the classes.
fn classes(node: &env::Node) -> [Vec<String>; engine_classes::CLASS_COUNT] {
    let fleet = node.host.fleet.borrow();
    let service = name::Service::from("s");
    stream_class::StreamClass::ALL.map(|class| {
        let engines = fleet.of_service(&service);
        let engines = engines.filter(|t| t.stream_class == class);
        let mut names: Vec<_> = engines.map(|t| t.upstream.name.to_string()).collect();
        names.sort();
        names
    })
}

fn sizes(node: &env::Node) -> [usize; engine_classes::CLASS_COUNT] {
    classes(node).map(|names| names.len())
}

fn start_reports(node: &env::Node) {
    let writer = rc::Rc::new(membership::ReportWriter::new(&node.host));
    task::spawn_local(reports::run(node.host.clone(), writer));
}

/// Guards against hosts that go by different shares: prefixes would be read at several engines. A new
/// host gets the digest from the leader or from the host that it follows.
#[test]
fn hosts_agree_after_a_digest() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        put_engines(&cluster);
        let nodes = start_hosts(&cluster, ["h1", "h2", "h3", "h4"]);
        let leader = &nodes[0].host;
        leader.is_leader.set(true);
        for node in &nodes {
            start_tasks(node);
            node.host.leader.set(Some(leader.settings.peer_address));
            start_reports(node);
        }
        wait_for("the engines at all hosts", || {
            nodes.iter().all(|n| sizes(n) == [8, 8, 24])
        })
        .await;
        assert!(digest::apply(leader, &digest(7, 1, SHARES)));
        wait_for("the shares at all hosts", || {
            nodes.iter().all(|n| sizes(n) == [4, 28, 8])
        })
        .await;
        assert!(nodes.iter().all(|n| classes(n) == classes(&nodes[0])));
        // Without a leader the last digest stays.
        leader.is_leader.set(false);
        env::sleep_ms(1_500).await;
        assert!(nodes.iter().all(|n| sizes(n) == [4, 28, 8]));
    });
}

/// Guards against a leader that doesn't see the crowded class, and against a new leader that puts all
/// engines back to the defaults.
#[test]
fn leader_lost_in_the_middle_of_a_change() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        put_engines(&cluster);
        let [first, second] = ["h1", "h2"].map(|n| env::node(&cluster, n, 1));
        for node in [&first, &second] {
            start_tasks(node);
        }
        let election = env::run_leader_election(&first);
        start_reports(&first);
        {
            let mut meter = first.host.load_meter.borrow_mut();
            for _ in 0..150 {
                let class = stream_class::StreamClass::NotResumable;
                meter.record_sent(&"s".into(), class, 0);
            }
            for _ in 0..20 {
                meter.record_sent(&"s".into(), stream_class::StreamClass::Other, 0);
            }
        }
        env::sleep_ms(9_000).await;
        let [_, not_resumable, _] = sizes(&first);
        assert!((9..=30).contains(&not_resumable), "{not_resumable} engines");
        let last = first.host.digest.get().expect("a digest");
        assert!(digest::apply(&second.host, &last));
        election.abort();
        first.store_mode.set(env::StoreMode::Unavailable);
        first.host.is_leader.set(false);
        env::run_leader_election(&second);
        // It has had no request itself, and no other host reports to it yet.
        start_reports(&second);
        env::sleep_ms(8_000).await;
        let next = second.host.digest.get().expect("a digest");
        assert!(next.version > last.version);
        assert_eq!(next.services[0].shares, last.services[0].shares);
        // The first host hears of it, and a late digest of its own has no effect.
        assert!(digest::apply(&first.host, &next));
        assert!(!digest::apply(&first.host, &last));
    });
}

/// Guards against a leader that was suspended and still distributes its digest.
#[test]
fn digest_from_an_old_leader() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        put_engines(&cluster);
        let node = env::node(&cluster, "h1", 1);
        start_tasks(&node);
        env::sleep_ms(1_000).await;
        assert!(digest::apply(&node.host, &digest(7, 5, SHARES)));
        for (token, sequence) in [(6, 900), (7, 5), (7, 4), (0, 0)] {
            let old = digest(token, sequence, engine_classes::DEFAULT_SHARES);
            assert!(!digest::apply(&node.host, &old), "{token} {sequence}");
        }
        assert_eq!(sizes(&node), [4, 28, 8]);
        let next = digest(8, 1, engine_classes::DEFAULT_SHARES);
        assert!(digest::apply(&node.host, &next));
        assert_eq!(sizes(&node), [8, 8, 24]);
    });
}

/// Guards against figures that no host can mean: they must neither end a process nor move engines.
#[test]
fn bad_figures_in_reports_and_digests() {
    env::run(|| async {
        let cluster = env::Cluster::new();
        put_engines(&cluster);
        let node = env::node(&cluster, "h1", 1);
        start_tasks(&node);
        env::sleep_ms(1_000).await;
        for (sequence, shares) in [[0; 3], [65_535; 3], [1_000, 1, 0]].into_iter().enumerate() {
            digest::apply(&node.host, &digest(1, sequence as u64 + 1, shares));
        }
        assert_eq!(sizes(&node), [8, 8, 24]);
        digest::apply(&node.host, &digest(1, 9, [0, 0, 1_000]));
        assert_eq!(sizes(&node), [0, 0, usize::from(ENGINES)]);
        let class = digest::ClassLoad {
            requests: u32::MAX,
            prompt_tokens: u64::MAX,
            running: u32::MAX,
        };
        let service = digest::ServiceLoad {
            service: "s".into(),
            classes: [class; engine_classes::CLASS_COUNT],
            dcs: vec![(
                "a".into(),
                digest::DcLoad {
                    running: u32::MAX,
                    unread_tokens: u64::MAX,
                },
            )],
        };
        env::run_leader_election(&node);
        start_reports(&node);
        for process in 0..6_000 {
            let load = digest::HostLoad {
                services: vec![service.clone(); 3],
                ..digest::HostLoad::default()
            };
            let mut loads = node.host.reported_loads.borrow_mut();
            loads.record(process, load, node.host.now());
        }
        env::sleep_ms(3_000).await;
        let digest = node.host.digest.get().expect("a digest");
        assert!(digest.version.token > 1 && engine_classes::is_valid(&digest.services[0].shares));
    });
}

/// First message of a stream in releases without digests.
#[derive(Debug, Serialize, Deserialize)]
enum OldHandshake {
    Follow,
    Tell,
    FollowFrom(u64),
    ReportFindings,
}

/// Guards against a host that reports nothing, or follows nobody, beside a leader and a source of an
/// earlier release, and against one that sends digests to such a follower.
#[test]
fn mixed_old_and_new_hosts() {
    env::run_real_time(|| async {
        let cluster = env::Cluster::new();
        cluster.put("config", "1");
        let [node] = start_hosts(&cluster, ["new"]);
        let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let old = listener.local_addr().unwrap();
        let reported = rc::Rc::new(cell::Cell::new(0));
        let followed = rc::Rc::new(cell::Cell::new(0));
        let counters = (reported.clone(), followed.clone());
        task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counters = counters.clone();
                task::spawn_local(link::accept(stream, |link| serve_as_old(link, counters)));
            }
        });
        let items = [
            env::hosts::registration_of("a1", "a", old),
            env::hosts::registration_of("a2", "a", old),
            env::hosts::registration(&node),
        ];
        let now = node.host.now();
        node.host.membership.borrow_mut().update_hosts(&items, now);
        node.host.leader.set(Some(old));
        start_tasks(&node);
        start_reports(&node);
        wait_for("reports without load", || reported.get() > 1).await;
        wait_for("the old source is followed", || followed.get() > 0).await;
        wait_for("its configuration", || node.config_version() == Some(2)).await;

        let mut link = link::open(node.host.settings.peer_address).await.unwrap();
        link.sender.send(&OldHandshake::Follow).await.unwrap();
        digest::apply(&node.host, &digest(3, 1, SHARES));
        let begin = clock::Clock::System.now();
        while clock::Clock::System.now().since(begin).0 < 1_200 {
            let update = link.receiver.receive(clock::Millis(1_000)).await.unwrap();
            assert!(!matches!(update, relay::Update::Digest(_)), "{update:?}");
        }
    });
}

type Counters = (rc::Rc<cell::Cell<u32>>, rc::Rc<cell::Cell<u32>>);

async fn serve_as_old(mut link: link::Link, (reported, followed): Counters) {
    let limit = clock::Millis(5_000);
    match link.receiver.receive::<OldHandshake>(limit).await {
        Ok(OldHandshake::ReportFindings) => {
            while link
                .receiver
                .receive::<reports::Report>(limit)
                .await
                .is_ok()
            {
                reported.set(reported.get() + 1);
                let ruling = quarantine::Ruling {
                    is_leader: true,
                    ..quarantine::Ruling::default()
                };
                if link.sender.send(&ruling).await.is_err() {
                    return;
                }
            }
        }
        Ok(OldHandshake::Follow | OldHandshake::FollowFrom(_)) => {
            followed.set(followed.get() + 1);
            let config = relay::Update::Config(b"2".to_vec());
            if link.sender.send(&config).await.is_ok() {
                env::sleep_ms(20_000).await;
            }
        }
        _ => {}
    }
}

/// Guards against a digest that costs more than its bound: it goes to every host each second.
#[test]
fn digest_of_22_data_centres_is_small() {
    let mut digest = digest::Digest::clone(&digest(u64::MAX, u64::from(u32::MAX), SHARES));
    let service = &mut digest.services[0];
    let load = digest::DcLoad {
        running: 100_000,
        unread_tokens: 100_000_000,
    };
    service.dcs = (0..22)
        .map(|n| (format!("data-centre-{n}").as_str().into(), load))
        .collect();
    let mut bytes = Vec::new();
    peer::frame::write(&relay::Update::Digest(rc::Rc::new(digest)), &mut bytes).unwrap();
    assert!(bytes.len() < 3_000, "{} bytes", bytes.len());
}

/// Guards against memory that grows with every process that reports.
#[test]
fn reported_loads_are_bounded() {
    let mut loads = digest_leader::ReportedLoads::default();
    for process in 0..10_000 {
        loads.record(process, digest::HostLoad::default(), clock::Millis(1));
    }
    assert_eq!(loads.process_count(), 4_096);
}
