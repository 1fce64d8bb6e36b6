//! Sealing and reporting of usage windows, without a network.

use std::collections;
use std::sync;

use base::clock;
use jacinthslip::{ledger, report};
use policy::usage;
use ports::store::{Expect, Store as _};
use ports::{memory, orders, store};

const WINDOW: clock::Millis = clock::Millis(1_000);

/// A store that runs a closure before the first listing of the usage journals.
struct PausingStore<'a> {
    store: &'a memory::MemoryStore,
    pause: sync::Mutex<Option<Box<dyn FnOnce() + Send + 'a>>>,
}

impl store::Store for PausingStore<'_> {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        self.store.get(key)
    }

    fn put(&self, key: &str, value: &[u8], expect: Expect) -> Result<u64, store::Error> {
        self.store.put(key, value, expect)
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<(), store::Error> {
        self.store.delete(key, expect)
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<store::Entry>, store::Error> {
        if prefix == ledger::JOURNAL_PREFIX
            && let Some(pause) = self.pause.lock().expect("pause").take()
        {
            pause();
        }
        self.store.list(prefix, after, limit)
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: clock::Millis,
    ) -> Result<store::Changes, store::Error> {
        self.store.watch(prefix, after, wait)
    }
}

/// Adds an entry with one request to the journal of a host.
fn add_request(store: &memory::MemoryStore, host: &usage::Incarnation) {
    let key = ledger::journal_key(host);
    let found = store.get(&key).expect("get");
    let (mut journal, expect) = found.map_or_else(
        || (usage::Journal::new(host.clone()), Expect::Absent),
        |e| {
            let journal = serde_json::from_slice(e.bytes()).expect("journal");
            (journal, Expect::Revision(e.revision))
        },
    );
    let mut totals = usage::Totals::default();
    let account = usage::Account {
        team: None,
        class: "chat".into(),
        service: "ledger".into(),
    };
    let amount = usage::Amount {
        requests: 1,
        ..usage::Amount::default()
    };
    totals.add(&account, &amount);
    journal.last_entry += 1;
    journal.records.insert(journal.last_entry);
    journal.entries.push(usage::JournalEntry {
        number: journal.last_entry,
        lines: totals.lines(),
    });
    let bytes = serde_json::to_vec(&journal).expect("bytes");
    store.put(&key, &bytes, expect).expect("put");
}

/// Returns the number of requests in all reports; panics if a window was reported with two
/// different contents.
fn reported_requests(platform: &memory::Platform) -> u64 {
    let mut windows = collections::BTreeMap::new();
    for report in platform.received().reports {
        let key = (report.window, report.part);
        if let Some(first) = windows.insert(key, report.body.clone()) {
            assert_eq!(first, report.body, "window {} differs", report.window);
        }
    }
    let mut requests = 0;
    for body in windows.values() {
        let window: serde_json::Value = serde_json::from_str(body).expect("window");
        for line in window["lines"].as_array().expect("lines") {
            requests += line["amount"]["requests"].as_u64().expect("requests");
        }
    }
    requests
}

fn term(epoch: u64) -> orders::Term {
    orders::Term {
        epoch,
        deadline: clock::Clock::System.now() + clock::Millis::secs(60),
    }
}

/// Guards against usage that is never billed: a reporting host is suspended between its reads of
/// the store, other hosts report windows and remove old ones, and the host then seals a window of
/// a number that was reported long ago and trims the journals by it.
#[test]
fn reporter_suspended_for_several_windows_loses_no_usage() {
    for windows_meanwhile in 0..8 {
        let store = memory::MemoryStore::default();
        let platform = memory::Platform::new(false);
        let host = usage::Incarnation("h1-1".to_owned());
        let mut now = clock::Millis(100_000);
        let mut written = 0;
        for _ in 0..3 {
            add_request(&store, &host);
            written += 1;
            report::seal_and_report(&store, WINDOW, now, &platform, term(1)).expect("report");
            now = now + WINDOW;
        }
        add_request(&store, &host);
        written += 1;
        let resumed_at = now + clock::Millis(windows_meanwhile * WINDOW.0);
        let pause = || {
            for n in 0..windows_meanwhile {
                let at = now + clock::Millis(n * WINDOW.0);
                report::seal_and_report(&store, WINDOW, at, &platform, term(2)).expect("report");
                add_request(&store, &host);
            }
        };
        let pausing = PausingStore {
            store: &store,
            pause: sync::Mutex::new(Some(Box::new(pause))),
        };
        // The deadline of its term has passed by then, so nothing is sent.
        let ended = orders::Term {
            epoch: 1,
            deadline: clock::Millis::ZERO,
        };
        let _ = report::seal_and_report(&pausing, WINDOW, now, &platform, ended);
        written += windows_meanwhile;
        for n in 0..3 {
            let at = resumed_at + clock::Millis(n * WINDOW.0);
            report::seal_and_report(&store, WINDOW, at, &platform, term(2)).expect("report");
        }
        assert_eq!(
            reported_requests(&platform),
            written,
            "{windows_meanwhile} windows meanwhile"
        );
        let kept = store.list("usage/window/", "", 99).expect("list").len();
        assert!(kept <= 3, "{kept} windows are kept");
    }
}
