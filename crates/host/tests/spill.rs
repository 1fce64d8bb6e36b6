//! Requests that a data centre refuses go to another that can meet the target.

mod env;

use std::thread;
use std::time;

use standin::engine;

fn started(site: &env::Site, n: usize) -> u64 {
    site.engines[n].stats()["started"].as_u64().expect("count")
}

/// The engine of the first data centre is taken away; its callers are served by the second.
#[test]
fn a_data_centre_without_an_upstream_is_served_by_another() {
    let (site, key) = env::Site::ready(&["lalitpur", "bhaktapur"], 2);
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "at home", 5)
            .expect("answer")
            .is_complete()
    );
    assert_eq!((started(&site, 0), started(&site, 1)), (1, 0));
    let list = r#"{"hosts":[],"upstreams":[{"name":"e0","state":"leaving"}]}"#;
    env::client()
        .post(site.platform.url("/list"))
        .send(list)
        .expect("list");
    thread::sleep(time::Duration::from_secs(4));
    for n in 0..20 {
        let prompt = format!("away {n}");
        let answer = env::chat(&url, &key, &prompt, 5).expect("answer");
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), engine::response_text(&prompt, 5));
    }
    assert_eq!((started(&site, 0), started(&site, 1)), (1, 20));
}

/// A burst over the slots of one data centre spills; no engine runs more than its slots.
#[test]
fn a_burst_spills_and_oversubscribes_nobody() {
    let mut site = env::Site::new(&["lalitpur", "bhaktapur"], 2);
    site.apply(&site.document().replace("first_ms: 10000", "first_ms: 400"));
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    // The dispatchers learn how long an answer takes, and the summaries come.
    for n in 0..4 {
        assert!(
            env::chat(&url, &key, &format!("first {n}"), 300)
                .expect("answer")
                .is_complete()
        );
    }
    thread::sleep(time::Duration::from_secs(2));
    thread::scope(|scope| {
        for n in 0..16 {
            let (url, key) = (&url, &key);
            scope.spawn(move || {
                thread::sleep(time::Duration::from_millis(n * 5));
                let answer = env::chat(url, key, &format!("burst {n}"), 300).expect("answer");
                assert!(answer.is_complete(), "{answer:?}");
            });
        }
        for _ in 0..30 {
            for e in &site.engines {
                let stats = e.stats();
                assert!(
                    stats["running"].as_u64() <= Some(8) && stats["waiting"] == 0,
                    "{stats}"
                );
            }
            thread::sleep(time::Duration::from_millis(20));
        }
    });
    assert_eq!(started(&site, 0) + started(&site, 1), 20);
    assert!(started(&site, 1) >= 4, "{} spilled", started(&site, 1));
}
