//! The ports in memory: adapters for tests, and the core of the stand-ins.

use std::collections;
use std::sync;
use std::time;

use base::{clock, name};
use serde::{Deserialize, Serialize};

use crate::{hosts, orders, reports, store};

/// A store in memory. Watches see the last write of each key.
#[derive(Debug, Default)]
pub struct Memory {
    state: sync::Mutex<State>,
    changed: sync::Condvar,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    keys: collections::BTreeMap<String, store::Entry>,
    by_revision: collections::BTreeMap<u64, String>,
}

impl State {
    fn write(&mut self, key: &str, value: Option<&[u8]>) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        if let Some(old) = self.keys.get(key) {
            self.by_revision.remove(&old.revision);
        }
        let entry = store::Entry {
            key: key.to_owned(),
            value: value.map(<[u8]>::to_vec),
            revision,
        };
        self.keys.insert(key.to_owned(), entry);
        self.by_revision.insert(revision, key.to_owned());
        revision
    }

    fn live(&self, key: &str) -> Option<&store::Entry> {
        self.keys.get(key).filter(|e| e.value.is_some())
    }

    fn check(&self, key: &str, expect: store::Expect) -> Result<(), store::Error> {
        let found = self.live(key);
        let ok = match expect {
            store::Expect::Any => true,
            store::Expect::Absent => found.is_none(),
            store::Expect::Revision(r) => found.is_some_and(|e| e.revision == r),
        };
        if ok {
            Ok(())
        } else {
            Err(store::Error::Conflict(found.cloned()))
        }
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<store::Entry> {
        let mut out = Vec::new();
        for key in self.by_revision.range(after + 1..).map(|(_, k)| k) {
            if !key.starts_with(prefix) {
                continue;
            }
            out.extend(self.keys.get(key).cloned());
        }
        out
    }
}

impl Memory {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// How many keys hold a value.
    pub fn len(&self) -> usize {
        self.lock()
            .keys
            .values()
            .filter(|e| e.value.is_some())
            .count()
    }

    /// Whether no key holds a value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl store::Store for Memory {
    fn get(&self, key: &str) -> Result<Option<store::Entry>, store::Error> {
        Ok(self.lock().live(key).cloned())
    }

    fn put(&self, key: &str, value: &[u8], expect: store::Expect) -> Result<u64, store::Error> {
        if value.len() > store::MAX_VALUE_BYTES {
            return Err(store::Error::TooLarge);
        }
        let mut state = self.lock();
        state.check(key, expect)?;
        let revision = state.write(key, Some(value));
        self.changed.notify_all();
        Ok(revision)
    }

    fn delete(&self, key: &str, expect: store::Expect) -> Result<(), store::Error> {
        let mut state = self.lock();
        state.check(key, expect)?;
        if state.live(key).is_some() {
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
        for (key, entry) in state.keys.range(start.to_owned()..) {
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
        let end = time::Instant::now() + wait.duration();
        let mut state = self.lock();
        loop {
            let entries = state.changes(prefix, after);
            let left = end.saturating_duration_since(time::Instant::now());
            if !entries.is_empty() || left.is_zero() {
                let revision = state.revision.max(after);
                return Ok(store::Changes { revision, entries });
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
    }
}

/// An order as it came.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Arrived {
    /// The order.
    pub order: orders::Order,
    /// Whether it came after an order with a higher fencing number.
    pub stale: bool,
    /// Whether it was refused for that.
    pub refused: bool,
}

/// A part of a usage window as it came.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Its window.
    pub window: u64,
    /// Its part.
    pub part: u32,
    /// The sender's fencing number.
    pub fence: u64,
    /// Its bytes.
    pub body: String,
}

/// What a platform has seen.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Seen {
    /// Orders in their sequence.
    pub orders: Vec<Arrived>,
    /// Usage reports in their sequence.
    pub reports: Vec<Report>,
}

#[derive(Debug, Default)]
struct Records {
    list: hosts::List,
    seen: Seen,
    fences: collections::HashMap<name::Dc, u64>,
}

/// A platform in memory: list, orders and reports.
#[derive(Debug, Default)]
pub struct Platform {
    records: sync::Mutex<Records>,
    checks: bool,
}

impl Platform {
    /// A platform that refuses orders with an old fencing number if `checks` is set.
    pub fn new(checks: bool) -> Self {
        Self {
            records: sync::Mutex::default(),
            checks,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Records> {
        self.records
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// What it has seen.
    pub fn seen(&self) -> Seen {
        self.lock().seen.clone()
    }

    /// Sets what the list says.
    pub fn set_list(&self, list: hosts::List) {
        self.lock().list = list;
    }

    /// What the list says.
    pub fn list(&self) -> hosts::List {
        self.lock().list.clone()
    }

    /// Takes an order that came; tells whether it was carried out.
    pub fn take_order(&self, order: orders::Order) -> bool {
        let mut records = self.lock();
        let newest = records.fences.entry(order.dc.clone()).or_default();
        let stale = order.fence < *newest;
        *newest = order.fence.max(*newest);
        let refused = stale && self.checks;
        if !refused {
            carry_out(&mut records.list, &order);
        }
        records.seen.orders.push(Arrived {
            order,
            stale,
            refused,
        });
        !refused
    }

    /// Takes a report that came.
    pub fn take_report(&self, report: Report) {
        self.lock().seen.reports.push(report);
    }
}

fn carry_out(list: &mut hosts::List, order: &orders::Order) {
    list.upstreams.retain(|u| u.name != order.upstream);
    if order.action == orders::Action::Start {
        let state = hosts::State::Live;
        list.upstreams.push(hosts::Upstream {
            name: order.upstream.clone(),
            state,
        });
    }
}

fn is_over(term: orders::Term) -> bool {
    clock::Clock::System.now() >= term.deadline
}

impl hosts::Hosts for Platform {
    fn read(&self) -> Result<hosts::List, hosts::Unreadable> {
        Ok(self.list())
    }
}

impl orders::Orders for Platform {
    fn send(&self, order: &orders::Order, term: orders::Term) -> Result<(), orders::Error> {
        if is_over(term) {
            return Err(orders::Error::TermOver);
        }
        let done = self.take_order(order.clone());
        if done {
            Ok(())
        } else {
            Err(orders::Error::Fenced)
        }
    }
}

impl reports::Reports for Platform {
    fn send(
        &self,
        number: reports::Number,
        sealed: &[u8],
        term: orders::Term,
    ) -> Result<(), orders::Error> {
        if is_over(term) {
            return Err(orders::Error::TermOver);
        }
        let body = String::from_utf8_lossy(sealed).into_owned();
        let reports::Number { window, part, .. } = number;
        self.take_report(Report {
            window,
            part,
            fence: term.epoch,
            body,
        });
        Ok(())
    }
}
