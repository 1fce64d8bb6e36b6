//! Upstreams are ordered by demand, by one host at a time, and stopped without harm.

mod env;

use std::sync::atomic;
use std::thread;
use std::time;

use standin::engine;

/// A site whose second engine starts and stops on order.
fn site(dcs: &[&str]) -> (env::Site, String) {
    let mut site = env::Site::new(dcs, 2);
    let document = site.document();
    let line = document
        .lines()
        .find(|l| l.contains("name: e1"))
        .expect("engine")
        .to_owned();
    let ordered = line.replace("slots: 8", "slots: 8, price: 100, ordered: true");
    let ordered = ordered.replace(&site.host_configs[1 % dcs.len()].dc, dcs[0]);
    site.apply(&document.replace(&line, &ordered));
    let key = site.issue_key("quotes");
    site.start_all();
    (site, key)
}

fn orders(site: &env::Site) -> Vec<(String, u64, bool)> {
    let stats = site.platform.stats();
    let list = stats["orders"].as_array().expect("orders");
    let one = |o: &serde_json::Value| {
        let action = o["order"]["action"].as_str().expect("action").to_owned();
        (
            action,
            o["order"]["fence"].as_u64().expect("fence"),
            o["stale"] == true,
        )
    };
    list.iter().map(one).collect()
}

/// Callers that keep `count` answers running until told to stop; each answer must come whole.
fn load(site: &env::Site, key: &str, hosts: &[usize], count: usize, stop: &atomic::AtomicBool) {
    thread::scope(|scope| {
        for n in 0..count {
            let url = site.url(hosts[n % hosts.len()], "/v1/chat/completions");
            scope.spawn(move || {
                while !stop.load(atomic::Ordering::SeqCst) {
                    let prompt = format!("p{n}");
                    let answer = env::chat(&url, key, &prompt, 100).expect("answer");
                    assert!(answer.is_complete(), "{answer:?}");
                    assert_eq!(answer.text(), engine::response_text(&prompt, 100));
                }
            });
        }
    });
}

#[test]
fn an_upstream_starts_under_load_and_stops_when_idle_without_harm() {
    let (site, key) = site(&["lalitpur"]);
    let stop = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| load(&site, &key, &[0], 12, &stop));
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
    // One start and one stop: nothing swings.
    assert_eq!(orders(&site).len(), 2, "{:?}", orders(&site));
    assert_eq!(site.engines[1].stats()["cancelled"], 0);
}

/// The holder of the lease is frozen until another has taken it, and wakes: no order of it comes
/// after one of its successor.
#[test]
fn a_frozen_holder_never_orders_after_its_successor() {
    let (site, key) = site(&["lalitpur", "lalitpur", "lalitpur"]);
    let mark = "event=lease_claimed key=lease/orders/lalitpur";
    let claims = |site: &env::Site| -> Vec<usize> {
        (0..3).filter(|n| site.log(*n).contains(mark)).collect()
    };
    env::wait_until("a holder", || !claims(&site).is_empty());
    let holder = claims(&site)[0];
    let others: Vec<usize> = (0..3).filter(|n| *n != holder).collect();
    let stop = atomic::AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| load(&site, &key, &others, 12, &stop));
        thread::sleep(time::Duration::from_millis(700));
        site.host(holder).signal(libc::SIGSTOP);
        env::wait_until("a successor", || claims(&site).iter().any(|n| *n != holder));
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

/// A service whose upstreams are all stopped starts one when somebody asks for it.
#[test]
fn what_is_refused_for_want_of_an_upstream_starts_one() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    let document = site.document();
    site.apply(&document.replace("slots: 8}", "slots: 8, price: 100, ordered: true}"));
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    let first = env::chat(&url, &key, "anybody there", 3).expect("refusal");
    assert_eq!(
        (first.status, first.reason().as_str()),
        (503, "no_upstream")
    );
    assert_eq!(first.execution(), "not_run");
    assert!(first.retry_after.is_some());
    env::wait_until("an answer", || {
        thread::sleep(time::Duration::from_millis(300));
        env::chat(&url, &key, "anybody there", 3).is_ok_and(|a| a.is_complete())
    });
}
