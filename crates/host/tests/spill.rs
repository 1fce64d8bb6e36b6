//! Tests that a request which a data centre refuses is sent to another one that can meet the
//! target.

mod env;

use std::thread;
use std::time;

use standin::engine;

fn started_requests(site: &env::Site, n: usize) -> u64 {
    site.engines[n].stats()["started"].as_u64().expect("count")
}

/// The platform lists the only engine of the first data centre as leaving; the requests of its
/// clients must run in the second one.
#[test]
fn data_centre_without_upstreams_is_served_by_another() {
    let (site, key) = env::Site::ready(&["lalitpur", "bhaktapur"], 2);
    let url = site.url(0, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "at home", 5)
            .expect("response")
            .is_complete()
    );
    assert_eq!(
        (started_requests(&site, 0), started_requests(&site, 1)),
        (1, 0)
    );
    let host_list = r#"{"hosts":[],"upstreams":[{"name":"e0","state":"leaving"}]}"#;
    env::client()
        .post(site.platform.url("/list"))
        .send(host_list)
        .expect("list");
    thread::sleep(time::Duration::from_secs(4));
    for n in 0..20 {
        let prompt = format!("away {n}");
        let response = env::chat(&url, &key, &prompt, 5).expect("response");
        assert!(response.is_complete(), "{response:?}");
        assert_eq!(response.text(), engine::response_text(&prompt, 5));
    }
    assert_eq!(
        (started_requests(&site, 0), started_requests(&site, 1)),
        (1, 20)
    );
}

/// A burst that exceeds the slots of one data centre must spill to the other, and no engine may run
/// more requests than it has slots.
#[test]
fn burst_spills_without_oversubscribing_upstreams() {
    let mut site = env::Site::new(&["lalitpur", "bhaktapur"], 2);
    site.apply(&site.document().replace("first_ms: 10000", "first_ms: 400"));
    let key = site.issue_key("quotes");
    site.start_all();
    let url = site.url(0, "/v1/chat/completions");
    // Gives the dispatchers an estimate of the run time, and the hosts time to exchange summaries.
    for n in 0..4 {
        assert!(
            env::chat(&url, &key, &format!("first {n}"), 300)
                .expect("response")
                .is_complete()
        );
    }
    thread::sleep(time::Duration::from_secs(2));
    thread::scope(|scope| {
        for n in 0..16 {
            let (url, key) = (&url, &key);
            scope.spawn(move || {
                thread::sleep(time::Duration::from_millis(n * 5));
                let response = env::chat(url, key, &format!("burst {n}"), 300).expect("response");
                assert!(response.is_complete(), "{response:?}");
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
    assert_eq!(started_requests(&site, 0) + started_requests(&site, 1), 20);
    assert!(
        started_requests(&site, 1) >= 4,
        "{} spilled",
        started_requests(&site, 1)
    );
}
