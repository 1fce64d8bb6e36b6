//! In-memory adapters of all interfaces, used in tests and by the stand-in servers.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use serde::{Deserialize, Serialize};

use crate::{hosts, orders, reports, store};

/// An in-memory key-value store. A watch returns only the last write of each key.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    entries: collections::BTreeMap<String, store::Entry>,
    by_revision: collections::BTreeMap<u64, String>,
}

impl State {
    /// Writes a value, or deletes the key if `value` is `None`, and returns the new revision.
    fn write(&mut self, key: &str, value: Option<&[u8]>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        if let Some(old) = self.entries.get(key) {
            self.by_revision.remove(&old.revision);
        }
        let entry = store::Entry {
            key: key.to_owned(),
            value: value.map(<[u8]>::to_vec),
            revision,
        };
        self.entries.insert(key.to_owned(), entry);
        self.by_revision.insert(revision, key.to_owned());
        revision
    }

    /// Returns the entry of `key` unless the key is absent or deleted.
    fn existing(&self, key: &str) -> Option<&store::Entry> {
        self.entries.get(key).filter(|e| e.value.is_some())
    }

    /// Checks the precondition of a write.
    fn check_expectation(&self, key: &str, expect: store::Expect) -> Result<(), store::Error> {
        let found = self.existing(key);
        let satisfied = match expect {
            store::Expect::Any => true,
            store::Expect::Absent => found.is_none(),
            store::Expect::Revision(r) => found.is_some_and(|e| e.revision == r),
        };
        if satisfied {
            Ok(())
        } else {
            Err(store::Error::Conflict(found.cloned()))
        }
    }

    /// Returns the entries with `prefix` whose last write is later than revision `after`.
    fn changes(&self, prefix: &str, after: u64) -> Vec<store::Entry> {
        let mut out = Vec::new();
        for key in self.by_revision.range(after + 1..).map(|(_, k)| k) {
            if !key.starts_with(prefix) {
                continue;
            }
            out.extend(self.entries.get(key).cloned());
        }
        out
    }
}

impl MemoryStore {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the number of keys that have a value.
    pub fn len(&self) -> usize {
        self.lock()
            .entries
            .values()
            .filter(|e| e.value.is_some())
            .count()
    }

    /// Returns whether no key has a value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl store::Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        Ok(self.lock().existing(key).cloned())
    }

    fn put(&self, key: &str, value: &[u8], expect: store::Expect) -> Result<u64, store::Error> {
        if value.len() > store::MAX_VALUE_BYTES {
            return Err(store::Error::TooLarge);
        }
        let mut state = self.lock();
        state.check_expectation(key, expect)?;
        let revision = state.write(key, Some(value));
        self.changed.notify_all();
        Ok(revision)
    }

    fn delete(&self, key: &str, expect: store::Expect) -> Result<(), store::Error> {
        let mut state = self.lock();
        state.check_expectation(key, expect)?;
        if state.existing(key).is_some() {
            state.write(key, None);
            self.changed.notify_all();
        }
        Ok(())
    }

    fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<store::Entry>, store::Error> {
        let state = self.lock();
        let start = if after > prefix { after } else { prefix };
        let mut out = Vec::new();
        for (key, entry) in state.entries.range(start.to_owned()..) {
            if !key.starts_with(prefix) || out.len() == limit {
                break;
            }
            if key.as_str() <= after || entry.value.is_none() {
                continue;
            }
            out.push(entry.clone());
        }
        Ok(out)
    }

    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: clock::Millis,
    ) -> Result<store::Changes, store::Error> {
        let deadline = time::Instant::now() + wait.duration();
        let mut state = self.lock();
        loop {
            let entries = state.changes(prefix, after);
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if !entries.is_empty() || remaining.is_zero() {
                let revision = state.revision.max(after);
                return Ok(store::Changes { revision, entries });
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }
}

/// An order received by the platform.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReceivedOrder {
    /// The order as sent.
    pub order: orders::Order,
    /// Whether an order with a higher fencing token arrived earlier.
    pub stale: bool,
    /// Whether the platform rejected the order because it was stale.
    pub refused: bool,
}

/// A usage report received by the platform: one part of a usage window.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ReceivedReport {
    /// Number of the usage window.
    pub window: u64,
    /// Index of the part within the window, starting at 0.
    pub part: u32,
    /// Fencing token of the sender.
    pub fence: u64,
    /// Content of the report; bytes that are not UTF-8 are replaced.
    pub body: String,
}

/// Everything that a platform has received.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Received {
    /// Orders in the sequence of their arrival.
    pub orders: Vec<ReceivedOrder>,
    /// Usage reports in the sequence of their arrival.
    pub reports: Vec<ReceivedReport>,
}

/// Mutable state of a [`Platform`].
#[derive(Debug, Default)]
struct PlatformState {
    list: hosts::HostList,
    received: Received,
    newest_fences: collections::HashMap<name::Dc, u64>,
}

/// An in-memory platform with host list, orders and usage reports.
#[derive(Debug, Default)]
pub struct Platform {
    state: sync::Mutex<PlatformState>,
    checks_fences: bool,
}

impl Platform {
    /// Creates a platform, which rejects orders with an outdated fencing token if `checks_fences`
    /// is set.
    pub fn new(checks_fences: bool) -> Self {
        Self {
            state: sync::Mutex::default(),
            checks_fences,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns all orders and reports received so far.
    pub fn received(&self) -> Received {
        self.lock().received.clone()
    }

    /// Replaces the host list.
    pub fn set_host_list(&self, list: hosts::HostList) {
        self.lock().list = list;
    }

    /// Returns the host list.
    pub fn host_list(&self) -> hosts::HostList {
        self.lock().list.clone()
    }

    /// Records a received order and applies it; returns whether it was accepted.
    pub fn handle_order(&self, order: orders::Order) -> bool {
        let mut state = self.lock();
        let newest = state.newest_fences.entry(order.dc.clone()).or_default();
        let stale = order.fence < *newest;
        *newest = order.fence.max(*newest);
        let refused = stale && self.checks_fences;
        if !refused {
            apply_order(&mut state.list, &order);
        }
        state.received.orders.push(ReceivedOrder {
            order,
            stale,
            refused,
        });
        !refused
    }

    /// Records a received usage report.
    pub fn record_report(&self, report: ReceivedReport) {
        self.lock().received.reports.push(report);
    }
}

/// Adds a started upstream to `list` or removes a stopped one.
fn apply_order(list: &mut hosts::HostList, order: &orders::Order) {
    list.upstreams.retain(|u| u.name != order.upstream);
    if order.action == orders::Action::Start {
        let state = hosts::State::Live;
        list.upstreams.push(hosts::Upstream {
            name: order.upstream.clone(),
            state,
        });
    }
}

fn has_ended(term: orders::Term) -> bool {
    clock::Clock::System.now() >= term.deadline
}

impl hosts::HostSource for Platform {
    fn read(&self) -> Result<hosts::HostList, hosts::Unreadable> {
        Ok(self.host_list())
    }
}

impl orders::OrderSender for Platform {
    fn send(&self, order: &orders::Order, term: orders::Term) -> Result<(), orders::Error> {
        if has_ended(term) {
            return Err(orders::Error::TermOver);
        }
        let accepted = self.handle_order(order.clone());
        if accepted {
            Ok(())
        } else {
            Err(orders::Error::Fenced)
        }
    }
}

impl reports::ReportSender for Platform {
    fn send(
        &self,
        id: reports::ReportId,
        sealed: &[u8],
        term: orders::Term,
    ) -> Result<(), orders::Error> {
        if has_ended(term) {
            return Err(orders::Error::TermOver);
        }
        let body = String::from_utf8_lossy(sealed).into_owned();
        let reports::ReportId { window, part, .. } = id;
        self.record_report(ReceivedReport {
            window,
            part,
            fence: term.epoch,
            body,
        });
        Ok(())
    }
}
