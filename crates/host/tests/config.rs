//! Tests of configuration changes: concurrent operators, lost responses of the store, restarts, and
//! hosts without a connection to the store. A change must become active on every host and never be
//! reverted.

mod env;

use std::fs;
use std::thread;

use standin::address;

fn apply(site: &env::Site, name: &str, document: &str) -> (i32, String, String) {
    let file = site.dir.join(format!("{name}.yaml"));
    fs::write(&file, document).expect("document");
    let store = site.store.address.to_string();
    env::ctl(&["apply", "--store", &store, &file.display().to_string()])
}

fn promote(site: &env::Site, digest: &str) -> (i32, String, String) {
    env::ctl(&[
        "promote",
        "--store",
        &site.store.address.to_string(),
        "--digest",
        digest,
    ])
}

fn status(site: &env::Site) -> String {
    env::ctl(&["status", "--store", &site.store.address.to_string()]).1
}

/// Whether host `n` has the class in its active configuration, by the reason of its refusals of
/// requests to an open route.
fn has_class(site: &env::Site, n: usize, class: &str) -> bool {
    let headers = [("X-Request-Class", class)];
    let response = env::call("GET", &site.url(n, "/s/hours/x"), &headers, "");
    response.is_ok_and(|a| a.reason() != "unknown_class" && a.reason() != "not_ready")
}

fn with_class(site: &env::Site, class: &str) -> String {
    let line = format!("classes:\n  - {{name: {class}, tier: 3, first_ms: 1000}}");
    site.document().replacen("classes:", &line, 1)
}

#[test]
fn concurrent_applies_get_one_success_and_one_conflict() {
    let site = env::Site::new(&["lalitpur"], 1);
    site.apply(&site.document());
    // The store is slow enough that both operators read the same revision before either writes.
    site.store.set_fault(r#"{"slow_ms":120}"#);
    let results = thread::scope(|scope| {
        let apply_class = |class: &'static str| {
            let site = &site;
            scope.spawn(move || apply(site, class, &with_class(site, class)))
        };
        let (a, b) = (apply_class("left"), apply_class("right"));
        [a.join().expect("left"), b.join().expect("right")]
    });
    let mut codes: Vec<i32> = results.iter().map(|r| r.0).collect();
    codes.sort_unstable();
    assert_eq!(codes, [0, 3], "{results:?}");
    let rejected = results.iter().find(|r| r.0 == 3).expect("rejected apply");
    assert!(
        rejected.2.contains("another operator") && rejected.2.contains("diff"),
        "{}",
        rejected.2
    );
}

#[test]
fn only_the_digest_that_was_tried_is_promoted() {
    let site = env::Site::new(&["lalitpur"], 1);
    let (_, out, _) = apply(&site, "one", &site.document());
    let old_digest = env::word_after(&out, "digest");
    let (_, out, _) = apply(&site, "two", &with_class(&site, "extra"));
    let new_digest = env::word_after(&out, "digest");
    let (code, _, err) = promote(&site, &old_digest);
    assert_eq!(code, 3);
    assert!(err.contains(&new_digest), "{err}");
    assert_eq!(promote(&site, &new_digest).0, 0);
    let after = status(&site);
    assert_eq!(after.matches(&new_digest).count(), 2, "{after}");
}

#[test]
fn lost_response_to_a_write_is_reported_correctly() {
    let site = env::Site::new(&["lalitpur"], 1);
    site.store.set_fault(r#"{"lose":1,"lose_key":"log/"}"#);
    let (code, out, err) = apply(&site, "one", &site.document());
    assert_eq!(code, 0, "{err}");
    assert!(status(&site).contains(&env::word_after(&out, "digest")));
    site.store.set_fault(r#"{"down":true}"#);
    let (code, _, err) = apply(&site, "two", &with_class(&site, "extra"));
    assert_eq!(code, 1);
    assert!(err.contains("nothing was changed"), "{err}");
}

#[test]
fn invalid_document_changes_nothing() {
    let site = env::Site::new(&["lalitpur"], 1);
    site.apply(&site.document());
    let before = status(&site);
    let invalid = site
        .document()
        .replace("tier: 0", "tier: 99")
        .replace("weight: 2", "weight: 0");
    let (code, _, err) = apply(&site, "faulty", &invalid);
    assert_eq!(code, 2);
    assert_eq!(err.lines().count(), 2, "{err}");
    assert_eq!(status(&site), before);
}

#[test]
fn change_is_active_on_every_host_and_survives_restarts() {
    let (mut site, _) = env::Site::ready(&["lalitpur", "lalitpur", "lekhnath", "lekhnath"], 1);
    site.apply(&with_class(&site, "extra"));
    for n in 0..4 {
        env::wait_until("the class in force", || has_class(&site, n, "extra"));
    }
    for n in 0..4 {
        site.host_mut(n).kill();
    }
    for n in 0..4 {
        site.start(n);
        assert!(
            has_class(&site, n, "extra"),
            "host {n} lost the class after its restart"
        );
    }
}

#[test]
fn host_started_while_the_store_is_down_gets_its_configuration_from_peers() {
    let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur"], 1);
    site.apply(&with_class(&site, "extra"));
    env::wait_until("the class in force", || has_class(&site, 0, "extra"));
    site.store.set_fault(r#"{"down":true}"#);
    site.host_mut(1).kill();
    site.start(1);
    assert!(has_class(&site, 1, "extra"));
    let url = site.url(1, "/v1/chat/completions");
    assert!(
        env::chat(&url, &key, "still served", 5)
            .expect("response")
            .is_complete()
    );
}

#[test]
fn hosts_disconnected_from_the_store_get_changes_from_peers() {
    let mut site = env::Site::new(&["lalitpur", "lekhnath"], 1);
    site.apply(&site.document());
    // Nothing listens on the store address of the second host, so it never reaches the store.
    site.start(0);
    let unused_address = address::free_address().to_string();
    let file = site.write_settings(1);
    let text = fs::read_to_string(&file).expect("settings");
    let edited = text.replace(&site.store.address.to_string(), &unused_address);
    assert_ne!(text, edited);
    fs::write(&file, edited).expect("settings");
    site.spawn_with_existing_settings(1);
    site.wait_ready(1);
    site.apply(&with_class(&site, "extra"));
    env::wait_until("the class in force", || has_class(&site, 1, "extra"));
}

#[test]
fn withdrawn_key_is_refused_on_every_host_and_stays_refused() {
    let (site, key) = env::Site::ready(&["lalitpur", "lekhnath"], 2);
    let chat =
        |n: usize| env::chat(&site.url(n, "/v1/chat/completions"), &key, "x", 2).expect("response");
    assert_eq!((chat(0).status, chat(1).status), (200, 200));
    let store = site.store.address.to_string();
    let (code, _, err) = env::ctl(&["withdraw", "--store", &store, "--key", &key]);
    assert_eq!(code, 0, "{err}");
    for n in 0..2 {
        env::wait_until("the key withdrawn", || chat(n).status == 401);
    }
    site.apply(&with_class(&site, "extra"));
    for n in 0..2 {
        env::wait_until("the class in force", || has_class(&site, n, "extra"));
        assert_eq!(chat(n).status, 401);
    }
}

#[test]
fn withdrawn_key_ends_its_running_streams() {
    let (site, key) = env::Site::ready(&["lalitpur"], 1);
    let url = site.url(0, "/v1/chat/completions");
    thread::scope(|scope| {
        let (url, key) = (&url, &key);
        let running =
            scope.spawn(move || env::chat(url, key, "a long one", 10_000).expect("response"));
        env::wait_until("a running request", || {
            site.engines[0].stats()["running"] == 1
        });
        let store = site.store.address.to_string();
        assert_eq!(
            env::ctl(&["withdraw", "--store", &store, "--key", key]).0,
            0
        );
        let response = running.join().expect("client");
        assert!(!response.is_complete());
        assert!(response.body.contains("bad_key"));
    });
    env::wait_until("a cancelled request", || {
        site.engines[0].stats()["running"] == 0
    });
}

#[test]
fn key_blocked_while_the_store_is_down_is_refused_on_every_host_and_withdrawn_later() {
    let (mut site, key) = env::Site::ready(&["lalitpur", "lalitpur", "lekhnath"], 3);
    let chat = |site: &env::Site, n: usize| {
        env::chat(&site.url(n, "/v1/chat/completions"), &key, "x", 2)
            .expect("response")
            .status
    };
    env::wait_until("all peers", || {
        (0..3).all(|n| site.log(n).matches("event=peer_opened").count() >= 2)
    });
    site.store.set_fault(r#"{"down":true}"#);
    let secret = site.dir.join("secret");
    let block = |site: &env::Site| {
        let host = site.host_configs[1].listen.to_string();
        env::ctl(&[
            "block",
            "--host",
            &host,
            "--secret-file",
            &secret.display().to_string(),
            "--key",
            &key,
        ])
    };
    fs::write(&secret, "not the hosts' secret").expect("secret");
    assert_eq!(block(&site).0, 1);
    assert_eq!(chat(&site, 1), 200);
    fs::write(&secret, env::SECRET).expect("secret");
    let (code, _, err) = block(&site);
    assert_eq!(code, 0, "{err}");
    for n in 0..3 {
        env::wait_until("the key blocked", || chat(&site, n) == 401);
    }
    // A host that starts meanwhile gets the blocked key from its peers.
    site.host_mut(0).kill();
    site.start(0);
    env::wait_until("the key blocked at the new host", || chat(&site, 0) == 401);
    site.store.set_fault("{}");
    let store = site.store.address.to_string();
    env::wait_until("the key withdrawn", || {
        env::ctl(&["history", "--store", &store])
            .1
            .matches("key ")
            .count()
            >= 2
    });
    assert_eq!(chat(&site, 2), 401);
}

/// A host without contact to the store or a peer accepts the keys that it knows for a limited time,
/// then refuses them. Open routes must be served all the time.
#[test]
fn isolated_host_trusts_keys_for_a_limited_time_and_keeps_serving_open_routes() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    site.times_yaml.push_str("\n  trust_ms: 3000");
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.start_all();
    let chat = || env::chat(&site.url(0, "/v1/chat/completions"), &key, "x", 2).expect("response");
    let open = || {
        env::call("GET", &site.url(0, "/s/hours/x"), &[], "")
            .expect("response")
            .status
    };
    // While the store responds, the keys are trusted for longer than `trust_ms`.
    for _ in 0..8 {
        assert_eq!((chat().status, open()), (200, 200));
        thread::sleep(std::time::Duration::from_millis(500));
    }
    site.store.set_fault(r#"{"down":true}"#);
    assert_eq!(chat().status, 200);
    env::wait_until("the keys refused", || chat().reason() == "stale_keys");
    assert_eq!(
        (chat().status, chat().execution().as_str(), open()),
        (503, "not_run", 200)
    );
    site.store.set_fault("{}");
    env::wait_until("the keys trusted again", || chat().status == 200);
}

/// A host must not be ready before it has all configuration changes that were accepted before it
/// started. The store is slow, so a host that became ready early would have only a part of them.
#[test]
fn ready_host_has_all_changes_accepted_before_its_start() {
    let mut site = env::Site::new(&["lalitpur"], 1);
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    site.store.set_fault(r#"{"slow_ms":150}"#);
    site.start(0);
    let response = env::chat(&site.url(0, "/v1/chat/completions"), &key, "x", 2).expect("response");
    assert_eq!(response.status, 200, "{response:?}");
}

/// Both hosts that watch the store for their data centre are disconnected from it. The third host
/// must still find changes and send them to the others.
#[test]
fn changes_arrive_although_both_watching_hosts_are_disconnected_from_the_store() {
    let mut site = env::Site::new(&["lalitpur", "lalitpur", "lalitpur"], 1);
    site.apply(&site.document());
    let unused_address = address::free_address().to_string();
    for n in 0..2 {
        let file = site.write_settings(n);
        let text = fs::read_to_string(&file).expect("settings");
        fs::write(
            &file,
            text.replace(&site.store.address.to_string(), &unused_address),
        )
        .expect("settings");
        site.spawn_with_existing_settings(n);
    }
    site.start(2);
    site.wait_ready(0);
    site.wait_ready(1);
    // Until the third host has the heartbeats of the others and leaves the watch to them.
    thread::sleep(std::time::Duration::from_secs(2));
    site.apply(&with_class(&site, "extra"));
    for n in 0..3 {
        env::wait_until("the class in force", || has_class(&site, n, "extra"));
    }
}
