//! Hosts with the product's own interface whose store holds entries of other writers: odd names, values and
//! fields, at the start, after a restart and later.

mod env;

use base::query;
use config::log;

/// Names after a prefix, with a meaning in a query or a path or changed by decoding.
const ODD_NAMES: [&str; 11] = [
    "&x",
    "&after=z",
    "+x",
    "#x",
    "?x",
    "%41",
    "%zz",
    " x",
    "\n",
    "é",
    "a&b+c#d%e f",
];
/// Entries as the store sends them; `KEY` stands for the key.
const ODD_ENTRIES: [&str; 7] = [
    "7",
    "{}",
    r#"{"key":7,"value":"e30=","revision":1}"#,
    r#"{"key":"KEY","value":7,"revision":1}"#,
    r#"{"key":"KEY","value":"***","revision":1}"#,
    r#"{"key":"KEY","value":"e30="}"#,
    r#"{"key":"KEY","value":"e30=","revision":"1"}"#,
];
/// Environment of a host whose settings name none.
const ENVIRONMENT: &str = "production";
/// Time in which calls to the store are counted, and the most of them by one host.
const QUIET_PERIOD: std::time::Duration = std::time::Duration::from_millis(2_000);
const MAX_QUIET_CALLS: u64 = 400;

fn put(site: &env::Site, path: &str, key: &str, body: &str) {
    let url = site.store.url(&format!("/{path}/{}", query::encode(key)));
    let response = env::call("PUT", &url, &[], body).expect("a response");
    assert_eq!(response.status, 200, "{key:?}");
}

fn put_odd(site: &env::Site, prefix: &str) {
    for name in ODD_NAMES {
        put(site, "kv", &format!("{prefix}{name}"), "not json");
        put(site, "kv", &format!("{prefix}{name}~"), "{}");
    }
    for (n, text) in ODD_ENTRIES.iter().enumerate() {
        // In the middle of the hosts' own keys, and each after one that can be read.
        let key = format!("{prefix}00{n}-odd");
        put(site, "odd", &key, &text.replace("KEY", &key));
        put(site, "kv", &format!("{key}~"), "null");
    }
}

/// Requests in the usage reports so far.
fn reported(site: &env::Site) -> u64 {
    let stats = site.platform.stats();
    let reports = stats["reports"].as_array().expect("reports");
    let mut parts = std::collections::BTreeMap::new();
    for report in reports {
        let part = (report["window"].as_u64(), report["part"].as_u64());
        let body = report["body"].as_str().expect("a body").to_owned();
        if let Some(first) = parts.insert(part, body.clone()) {
            assert_eq!(first, body, "{part:?}");
        }
    }
    let mut requests = 0;
    for body in parts.values() {
        let window: serde_json::Value = serde_json::from_str(body).expect("a window");
        let lines = window["lines"].as_array().expect("lines");
        let amounts = lines
            .iter()
            .filter_map(|l| l["amount"]["requests"].as_u64());
        requests += amounts.sum::<u64>();
    }
    requests
}

/// Checks that requests are served, and waits until exactly these are reported.
fn check_usage(site: &env::Site, key: &str, context: &str) {
    const COUNT: u64 = 3;
    let before = reported(site);
    let bearer = format!("Bearer {key}");
    for _ in 0..COUNT {
        let url = site.url(0, "/s/ledger/deposits");
        let headers = [("Authorization", bearer.as_str())];
        let response = env::call("POST", &url, &headers, "deposit").expect("a response");
        assert_eq!(response.status, 200, "{context}: {response:?}");
    }
    env::wait_until(&format!("{context}: usage reports"), || {
        reported(site) >= before + COUNT
    });
    assert_eq!(reported(site), before + COUNT, "{context}");
}

fn site() -> (env::Site, String) {
    let mut site = env::Site::new(&["lalitpur"], 0);
    site.times_yaml =
        "linger_ms: 50\n  flush_ms: 300\n  lease_ms: 900\n  window_ms: 1000".to_owned();
    site.apply(&site.document());
    let key = site.issue_key("quotes");
    (site, key)
}

/// Calls that the store has got so far.
fn call_count(site: &env::Site) -> u64 {
    let count = env::get_json(&site.store.url("/count"));
    let counts = count.as_object().expect("counts");
    counts.values().filter_map(serde_json::Value::as_u64).sum()
}

/// Guards against a name that has a meaning in a query, and against a value or a field that can't be read:
/// the list began again before it or failed, so no usage was reported, or lists followed each other without a
/// pause.
#[test]
fn odd_entries_among_those_of_usage_cost_themselves_alone() {
    for prefix in ["usage/journal/", "usage/window/", "once/"] {
        let (mut site, key) = site();
        put_odd(&site, prefix);
        site.start_all();
        check_usage(&site, &key, &format!("{prefix} at the start"));
        put_odd(&site, prefix);
        check_usage(&site, &key, &format!("{prefix} later"));
        site.host_mut(0).kill();
        site.start(0);
        check_usage(&site, &key, &format!("{prefix} after a restart"));
        let before = call_count(&site);
        std::thread::sleep(QUIET_PERIOD);
        let calls = call_count(&site) - before;
        assert!(calls <= MAX_QUIET_CALLS, "{prefix}: {calls} calls");
        let log = site.log(0);
        for event in [
            "journal_unreadable",
            "window_unreadable",
            "store_entry_unreadable",
        ] {
            let lines = log.lines().filter(|l| l.contains(event));
            let keys: std::collections::BTreeSet<_> = lines
                .clone()
                .filter_map(|l| l.split(" key=").nth(1))
                .collect();
            assert_eq!(
                lines.count(),
                keys.len(),
                "{prefix}: {event} names a key twice"
            );
        }
    }
}

/// Guards against an entry of another program in the configuration's log: hosts that started did not become
/// ready while it stood.
#[test]
fn odd_entry_in_the_log_of_the_configuration_does_not_stop_a_host() {
    let (mut site, key) = site();
    site.start_all();
    check_usage(&site, &key, "before");
    let exists = |revision| {
        let key = log::entry_key(ENVIRONMENT, revision);
        let found = env::client()
            .get(site.store.url(&format!("/kv/{key}")))
            .call();
        found.expect("a response").status().as_u16() == 200
    };
    let next = (1..100)
        .find(|revision| !exists(*revision))
        .expect("an end");
    assert!(next > 1, "the configuration has no entry");
    put(&site, "kv", &log::entry_key(ENVIRONMENT, next), "not json");
    for name in ODD_NAMES {
        let key = format!("{}{name}", log::log_prefix(ENVIRONMENT));
        put(&site, "kv", &key, "{}");
    }
    check_usage(&site, &key, "later");
    site.host_mut(0).kill();
    site.start(0);
    check_usage(&site, &key, "after a restart");
    let log = site.log(0);
    let lines = log.lines().filter(|l| l.contains("config_unreadable"));
    assert_eq!(lines.count(), 1, "{log}");
}

/// Guards against a lease that another program has overwritten: no host took it again, so nothing was
/// reported.
#[test]
fn lease_of_another_program_is_taken_over() {
    for value in ["not json", "{}", "{\"epoch\":\"x\"}"] {
        let (mut site, key) = site();
        put(&site, "kv", "lease/report", value);
        site.start_all();
        check_usage(&site, &key, "at the start");
        put(&site, "kv", "lease/report", value);
        check_usage(&site, &key, "later");
        put(&site, "kv", "lease/report", value);
        site.host_mut(0).kill();
        site.start(0);
        check_usage(&site, &key, "after a restart");
    }
}

/// Guards against one entry of the platform's list that can't be read: hosts and upstreams beside it were not
/// known, or stayed after they had left.
#[test]
fn odd_entry_in_the_platforms_list_costs_itself_alone() {
    let (mut site, key) = site();
    site.start_all();
    let odd = r#"{"hosts":[7,{"name":"h9"},{"name":"h8","dc":"x","address":"nowhere","state":"live"}],
        "upstreams":[null,{"name":7,"state":"live"},{"name":"p-lalitpur","state":"leaving"},
            {"name":"x","state":"asleep"}]}"#;
    let response = env::call("PUT", &site.platform.url("/odd-list"), &[], odd).expect("a response");
    assert_eq!(response.status, 200);
    let bearer = format!("Bearer {key}");
    env::wait_until("the leaving upstream is known to leave", || {
        let url = site.url(0, "/s/ledger/deposits");
        let headers = [("Authorization", bearer.as_str())];
        let response = env::call("POST", &url, &headers, "deposit").expect("a response");
        response.status != 200
    });
}

/// Overwrites all entries that hosts have written under this prefix.
fn overwrite(site: &env::Site, prefix: &str) {
    let list = format!("/list?prefix={prefix}&after=&limit=50");
    let list = env::get_json(&site.store.url(&list));
    let entries = list.as_array().expect("entries");
    assert!(!entries.is_empty(), "{prefix}");
    for entry in entries {
        put(
            site,
            "kv",
            entry["key"].as_str().expect("a key"),
            "not json",
        );
    }
}

/// Checks that usage is reported exactly after the entries under the prefix were overwritten, and after a
/// restart.
fn check_overwritten(prefix: &str) {
    let (mut site, key) = site();
    site.start_all();
    check_usage(&site, &key, "before");
    overwrite(&site, prefix);
    check_usage(&site, &key, "later");
    overwrite(&site, prefix);
    site.host_mut(0).kill();
    site.start(0);
    check_usage(&site, &key, "after a restart");
}

/// Guards against a host's journal that another program has overwritten: its host could not write it again.
#[test]
fn overwritten_journal_is_written_again() {
    check_overwritten("usage/journal/");
}

/// Guards against the header of the last reported window that another program has overwritten: without its
/// counters no window is sealed after it.
#[test]
fn overwritten_header_of_the_last_window_is_replaced() {
    check_overwritten("usage/window/");
}
