//! What each host tells the others through the store: where it is, what it counted, what its
//! callers ask for. One entry a start, written by that start alone.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{host, ports, windows};

/// The beginning of the keys of hosts' entries.
pub const PREFIX: &str = "jacinthslip/hosts/";
/// How often a host writes its entry.
const WRITE_EVERY: clock::Millis = clock::Millis(1_000);
/// How often a host reads the entries of the others.
const READ_EVERY: clock::Millis = clock::Millis(4_000);
/// How long after its last write a host counts as live.
const LIFE: clock::Millis = clock::Millis(6_000);
/// Weight of the newest second in the moving means of the demand, as one part in this many.
const SMOOTHING: f64 = 3.0;

/// What a host's callers ask of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second.
    pub requests: f64,
    /// Tokens of prompts to be read a second.
    pub read: f64,
    /// Requests at upstreams.
    pub busy: f64,
    /// Requests refused a second for lack of room.
    pub refused: f64,
    #[serde(skip)]
    now: Tally,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    requests: u32,
    read: u64,
    refused: u32,
}

impl Demand {
    /// Notes a request with `read` tokens to be read.
    pub fn request(&mut self, read: u64) {
        self.now.requests += 1;
        self.now.read += read;
    }

    /// Notes a refusal for lack of room.
    pub fn refuse(&mut self) {
        self.now.refused += 1;
    }

    /// Closes an interval of `ms` with `busy` requests at upstreams.
    pub fn tick(&mut self, ms: clock::Millis, busy: u32) {
        let per_s = 1_000.0 / (ms.0.max(1) as f64);
        let tally = std::mem::take(&mut self.now);
        let mix = |mean: &mut f64, new: f64| *mean += (new - *mean) / SMOOTHING;
        mix(&mut self.requests, f64::from(tally.requests) * per_s);
        mix(&mut self.read, tally.read as f64 * per_s);
        mix(&mut self.refused, f64::from(tally.refused) * per_s);
        mix(&mut self.busy, f64::from(busy));
    }

    /// Adds another host's demand.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.read += other.read;
        self.busy += other.busy;
        self.refused += other.refused;
    }
}

/// A host's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its name.
    pub host: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// Where other hosts reach it.
    pub peer: net::SocketAddr,
    /// The number drawn at its start.
    pub boot: u64,
    /// When it was written, in Unix milliseconds.
    pub at: u64,
    /// Requests that began.
    pub windows: windows::Windows,
    /// What its callers ask for.
    pub demand: collections::BTreeMap<name::Service, Demand>,
}

#[derive(Debug)]
struct Seen {
    entry: Entry,
    revision: u64,
    since: clock::Millis,
}

/// The hosts' entries as last read.
#[derive(Debug, Default)]
pub struct Roster {
    seen: collections::HashMap<String, Seen>,
    most: u32,
}

impl Roster {
    /// Takes one reading.
    pub fn read(&mut self, items: Vec<ports::Item>, now: clock::Millis) {
        let keys: collections::HashSet<String> = items.iter().map(|i| i.key.clone()).collect();
        self.seen.retain(|k, _| keys.contains(k));
        for item in items {
            if self
                .seen
                .get(&item.key)
                .is_some_and(|s| s.revision == item.revision)
            {
                continue;
            }
            match serde_json::from_slice(&item.value) {
                Ok(entry) => {
                    let seen = Seen {
                        entry,
                        revision: item.revision,
                        since: now,
                    };
                    self.seen.insert(item.key, seen);
                }
                Err(e) => {
                    tracing::warn!(event = "host_entry_unreadable", key = item.key, error = %e)
                }
            }
        }
        self.most = self.count(now);
    }

    fn count(&self, now: clock::Millis) -> u32 {
        let live = self.seen.values().filter(|s| now.since(s.since) < LIFE);
        let hosts: collections::HashSet<&name::Host> = live.map(|s| &s.entry.host).collect();
        hosts.len() as u32
    }

    /// Live hosts as last counted, this one included; at least one.
    pub fn live(&self) -> u32 {
        self.most.max(1)
    }

    /// The entries of hosts that live.
    pub fn entries(&self, now: clock::Millis) -> impl Iterator<Item = &Entry> {
        let live = self
            .seen
            .values()
            .filter(move |s| now.since(s.since) < LIFE);
        live.map(|s| &s.entry)
    }

    /// All entries, of hosts that are gone too.
    pub fn all(&self) -> impl Iterator<Item = &Entry> {
        self.seen.values().map(|s| &s.entry)
    }

    /// Keys not written for `age`.
    pub fn stale(&self, now: clock::Millis, age: clock::Millis) -> Vec<String> {
        let old = self.seen.iter().filter(|(_, s)| now.since(s.since) > age);
        old.map(|(k, _)| k.clone()).collect()
    }
}

/// Writes this host's entry each second, and once more when told to.
pub struct Writer {
    key: String,
    revision: cell::Cell<Option<u64>>,
    last: cell::Cell<clock::Millis>,
}

impl Writer {
    /// A writer for this start.
    pub fn new(host: &host::Host) -> Self {
        Self {
            key: format!("{PREFIX}{}/{:016x}", host.settings.host, host.boot),
            revision: cell::Cell::new(Some(0)),
            last: cell::Cell::new(host.now()),
        }
    }

    /// Writes the entry.
    pub async fn write(&self, host: &host::Host) {
        let entry = self.entry(host);
        let value = match serde_json::to_vec(&entry) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "host_entry_unwritable", error = %e);
                return;
            }
        };
        let Some(revision) = self.known(host).await else {
            return;
        };
        let write = ports::Write {
            key: self.key.clone(),
            value,
            lease: 0,
        };
        let t = ports::Transaction {
            expected: vec![(self.key.clone(), revision)],
            writes: vec![write],
            removes: Vec::new(),
        };
        match host.store.commit(&t).await {
            Ok(revision) => self.revision.set(Some(revision)),
            Err(ports::StoreError::Refused) => {}
            Err(_) => self.revision.set(None),
        }
    }

    /// The revision that the entry stands at, read back after a lost answer.
    async fn known(&self, host: &host::Host) -> Option<u64> {
        if let Some(revision) = self.revision.get() {
            return Some(revision);
        }
        let (item, _) = host.store.get(&self.key).await.ok()?;
        let revision = item.map_or(0, |i| i.revision);
        self.revision.set(Some(revision));
        Some(revision)
    }

    fn entry(&self, host: &host::Host) -> Entry {
        let now = host.now();
        let passed = now.since(self.last.replace(now));
        let mut demand = host.demand.borrow_mut();
        let fleet = host.fleet.borrow();
        for (service, d) in demand.iter_mut() {
            let busy = fleet.of(service).map(|m| m.busy).sum();
            d.tick(passed, busy);
        }
        Entry {
            host: host.settings.host.clone(),
            dc: host.settings.place.dc.clone(),
            peer: host.settings.peer,
            boot: host.boot,
            at: host.clock.unix().0,
            windows: host.windows.borrow().counts.clone(),
            demand: demand.iter().map(|(s, d)| (s.clone(), *d)).collect(),
        }
    }
}

/// Writes the entry each second.
pub async fn write(host: rc::Rc<host::Host>, writer: rc::Rc<Writer>) {
    loop {
        writer.write(&host).await;
        time::sleep(WRITE_EVERY.duration()).await;
    }
}

/// Reads the entries of all hosts, for the budget and for peers.
pub async fn read(host: rc::Rc<host::Host>) {
    loop {
        if let Ok((items, _)) = host.store.list(PREFIX, true).await {
            let now = host.now();
            host.roster.borrow_mut().read(items, now);
        }
        time::sleep(READ_EVERY.duration()).await;
    }
}
