//! Tests that one host at a time starts and stops upstreams by demand, without breaking responses.

mod env;

use std::sync::atomic;
use std::thread;
use std::time;

use standin::engine;

/// Starts a site whose second engine is managed: it is started and stopped by orders.
fn site_with_managed_engine(dcs: &[&str]) -> (env::Site, String) {
    let mut site = env::Site::new(dcs, 2);
    let document = site.document();
    let line = document
        .lines()
        .find(|l| l.contains("name: e1"))
        .expect("engine")
        .to_owned();
    let managed = line.replace("slots: 8", "slots: 8, price: 100, ordered: true");
    let managed = managed.replace(&site.host_configs[1 % dcs.len()].dc, dcs[0]);
    site.apply(&document.replace(&line, &managed));
    let key = site.issue_key("quotes");
    site.start_all();
    (site, key)
}

fn orders(site: &env::Site) -> Vec<(String, u64, bool)> {
    let stats = site.platform.stats();
    let list = stats["orders"].as_array().expect("orders");
    let parse_order = |o: &serde_json::Value| {
        let action = o["order"]["action"].as_str().expect("action").to_owned();
        (
            action,
            o["order"]["fence"].as_u64().expect("fence"),
            o["stale"] == true,
        )
    };
    list.iter().map(parse_order).collect()
}

/// Runs `count` concurrent clients until `stop` is set. Each response must be complete and correct.
fn run_clients(
    site: &env::Site,
    key: &str,
    hosts: &[usize],
    count: usize,
    stop: &atomic::AtomicBool,
) {
    thread::scope(|scope| {
        for n in 0..count {
            let url = site.url(hosts[n % hosts.len()], "/v1/chat/completions");
            scope.spawn(move || {
                while !stop.load(atomic::Ordering::SeqCst) {
                    let prompt = format!("p{n}");
                    let response = env::chat(&url, key, &prompt, 100).expect("response");
                    assert!(response.is_complete(), "{response:?}");
                    assert_eq!(response.text(), engine::response_text(&prompt, 100));
                }
            });
        }
    });
}

#[test]
fn upstream_starts_under_load_and_stops_when_idle() {
    let (site, key) = site_with_managed_engine(&["lalitpur"]);
    let stop = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| run_clients(&site, &key, &[0], 12, &stop));
        env::wait_until("a start order", || {
            orders(&site).iter().any(|o| o.0 == "start")
        });
        env::wait_until("work on the started engine", || {
            site.engines[1].stats()["started"].as_u64().expect("count") > 0
        });
        stop.store(true, atomic::Ordering::SeqCst);
    });
    let end = time::Instant::now() + time::Duration::from_secs(90);
    while !orders(&site).iter().any(|o| o.0 == "stop") {
        assert!(
            time::Instant::now() < end,
            "never stopped: {:?}",
            orders(&site)
        );
        thread::sleep(time::Duration::from_millis(500));
    }
    // Exactly one start and one stop: the scaling must not oscillate.
    assert_eq!(orders(&site).len(), 2, "{:?}", orders(&site));
    assert_eq!(site.engines[1].stats()["cancelled"], 0);
}

/// The lease holder is suspended until another host holds the lease, and then resumed. It must not
/// send an order after one of its successor.
#[test]
fn frozen_lease_holder_sends_no_order_after_its_successor() {
    let (site, key) = site_with_managed_engine(&["lalitpur", "lalitpur", "lalitpur"]);
    let claim_event = "event=lease_claimed key=lease/orders/lalitpur";
    let claimants = |site: &env::Site| -> Vec<usize> {
        (0..3)
            .filter(|n| site.log(*n).contains(claim_event))
            .collect()
    };
    env::wait_until("a holder", || !claimants(&site).is_empty());
    let holder = claimants(&site)[0];
    let others: Vec<usize> = (0..3).filter(|n| *n != holder).collect();
    let stop = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| run_clients(&site, &key, &others, 12, &stop));
        thread::sleep(time::Duration::from_millis(700));
        site.host(holder).signal(libc::SIGSTOP);
        env::wait_until("a successor", || {
            claimants(&site).iter().any(|n| *n != holder)
        });
        env::wait_until("an order of the successor", || {
            orders(&site).iter().any(|o| o.1 > 1)
        });
        site.host(holder).signal(libc::SIGCONT);
        thread::sleep(time::Duration::from_secs(3));
        stop.store(true, atomic::Ordering::SeqCst);
    });
    let all = orders(&site);
    assert!(all.iter().all(|o| !o.2), "{all:?}");
    assert!(
        site.log(holder).contains("event=lease_l"),
        "{}",
        site.log(holder)
    );
}

/// A request for a service whose upstreams are all stopped is refused, and must start an upstream.
#[test]
fn request_refused_without_upstream_starts_one() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    let document = site.document();
    site.apply(&document.replace("slots: 8}", "slots: 8, price: 100, ordered: true}"));
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    let refusal = env::chat(&url, &key, "anybody there", 3).expect("refusal");
    assert_eq!(
        (refusal.status, refusal.reason().as_str()),
        (503, "no_upstream")
    );
    assert_eq!(refusal.execution(), "not_run");
    assert!(refusal.retry_after.is_some());
    env::wait_until("a response", || {
        thread::sleep(time::Duration::from_millis(300));
        env::chat(&url, &key, "anybody there", 3).is_ok_and(|a| a.is_complete())
    });
}
