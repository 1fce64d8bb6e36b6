//! The other hosts: who is there, what each counted, what its callers ask for.
//!
//! A host keeps a key under a lease that says where it is. What it counted goes to the holder of
//! the duties, or into the store under a key of this start alone if the holder can't be told.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::{clock, name};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{host, ports, retry, windows};

/// The beginning of the keys that say where hosts are.
const PRESENT: &str = "jacinthslip/hosts/";
/// The beginning of the keys of what hosts counted.
pub const COUNTS_PREFIX: &str = "jacinthslip/counts/";
/// Length of the lease of a host's key.
const TTL: clock::Millis = clock::Millis(6_000);
/// How often the lease is renewed.
const RENEW_EVERY: clock::Millis = clock::Millis(2_000);
/// How often the keys of hosts are read, and how much longer for each host that is there.
const READ_EVERY: clock::Millis = clock::Millis(4_000);
const READ_EVERY_HOST: clock::Millis = clock::Millis(100);
/// How long a number of hosts counts: as long as repeats do in the budget, and once more.
const COUNT_LIFE: clock::Millis = clock::Millis(20_000);
/// How long a told demand counts.
const DEMAND_LIFE: clock::Millis = clock::Millis(3_500);
/// Hosts of a data centre that watch the store; the others follow them.
const WATCHERS: usize = 2;
/// Weight of the newest second in the moving means of the demand, as one part in this many.
const SMOOTHING: f64 = 3.0;

/// What a host's callers ask of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests a second.
    pub requests: f64,
    /// Tokens of prompts to be read a second.
    #[serde(rename = "read")]
    pub prompt_tokens: f64,
    /// Requests at upstreams.
    #[serde(rename = "busy")]
    pub in_flight: f64,
    /// Requests refused a second for lack of room.
    pub refused: f64,
    #[serde(skip)]
    now: Tally,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Tally {
    requests: u32,
    prompt_tokens: u64,
    refused: u32,
}

impl Demand {
    /// Notes a request with `read` tokens to be read.
    pub fn record_request(&mut self, read: u64) {
        self.now.requests += 1;
        self.now.prompt_tokens += read;
    }

    /// Notes a refusal for lack of room.
    pub fn record_refusal(&mut self) {
        self.now.refused += 1;
    }

    /// Closes an interval of `ms` with `busy` requests at upstreams.
    pub fn end_interval(&mut self, ms: clock::Millis, busy: u32) {
        let per_s = 1_000.0 / (ms.0.max(1) as f64);
        let tally = std::mem::take(&mut self.now);
        let mix = |mean: &mut f64, new: f64| *mean += (new - *mean) / SMOOTHING;
        mix(&mut self.requests, f64::from(tally.requests) * per_s);
        mix(&mut self.prompt_tokens, tally.prompt_tokens as f64 * per_s);
        mix(&mut self.refused, f64::from(tally.refused) * per_s);
        mix(&mut self.in_flight, f64::from(busy));
    }

    /// Adds another host's demand.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.in_flight += other.in_flight;
        self.refused += other.refused;
    }
}

/// Where a host is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Its name.
    pub host: name::Host,
    /// Its data centre.
    pub dc: name::Dc,
    /// Where other hosts reach it.
    pub peer: net::SocketAddr,
}

/// What a start of a host counted and is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Its name.
    pub host: name::Host,
    /// The number drawn at its start.
    #[serde(rename = "boot")]
    pub boot_id: u64,
    /// Up to when this was counted, in Unix milliseconds.
    pub at: u64,
    /// Requests that began.
    pub windows: windows::WindowCounts,
    /// What its callers ask for.
    pub demand: collections::BTreeMap<name::Service, Demand>,
}

/// The hosts as last read, and what they told.
#[derive(Debug, Default)]
pub struct Membership {
    present: Vec<Registration>,
    counts: collections::VecDeque<(clock::Millis, u32)>,
    told: collections::HashMap<(name::Host, u64), (HostReport, clock::Millis)>,
}

impl Membership {
    /// Takes a reading of the hosts' keys.
    pub fn update_hosts(&mut self, items: &[ports::Item], now: clock::Millis) {
        self.present.clear();
        for item in items {
            match serde_json::from_slice(&item.value) {
                Ok(present) => self.present.push(present),
                Err(e) => {
                    tracing::warn!(event = "host_unreadable", key = item.key, error = %e)
                }
            }
        }
        self.present.sort_by(|a, b| a.host.cmp(&b.host));
        self.counts.push_back((now, self.present.len() as u32));
        while self
            .counts
            .front()
            .is_some_and(|(at, _)| now.since(*at) > COUNT_LIFE)
        {
            self.counts.pop_front();
        }
    }

    /// Hosts that may spend from the budget: the most that were there lately, at least one.
    pub fn host_count(&self) -> u32 {
        self.counts
            .iter()
            .map(|(_, n)| *n)
            .max()
            .unwrap_or(1)
            .max(1)
    }

    /// Whether a host watches the store itself: some in each data centre do.
    pub fn is_watcher(&self, host: &name::Host, dc: &name::Dc) -> bool {
        let there = self.present.iter().filter(|p| p.dc == *dc);
        !there.skip(WATCHERS).any(|p| p.host == *host)
    }

    /// Where all hosts are.
    pub fn peer_addresses(&self) -> Vec<net::SocketAddr> {
        self.present.iter().map(|p| p.peer).collect()
    }

    /// Where the hosts that watch the store are.
    pub fn watcher_addresses(&self) -> Vec<net::SocketAddr> {
        let watches = |p: &&Registration| self.is_watcher(&p.host, &p.dc);
        self.present
            .iter()
            .filter(watches)
            .map(|p| p.peer)
            .collect()
    }

    /// Takes what a host told.
    pub fn record_report(&mut self, entry: HostReport, now: clock::Millis) {
        let start = (entry.host.clone(), entry.boot_id);
        if self.told.get(&start).is_none_or(|(e, _)| e.at <= entry.at) {
            self.told.insert(start, (entry, now));
        }
    }

    /// Takes what hosts wrote into the store.
    pub fn record_stored(&mut self, items: &[ports::Item]) {
        for item in items {
            match serde_json::from_slice::<HostReport>(&item.value) {
                // It is no sign of life: it may be old.
                Ok(entry) => self.record_report(entry, clock::Millis::ZERO),
                Err(e) => {
                    tracing::warn!(event = "counts_unreadable", key = item.key, error = %e)
                }
            }
        }
    }

    /// What all starts of hosts counted in a window.
    pub fn window_counts(&self, window: u64) -> ports::Counts {
        let mut sum = ports::Counts::new();
        for (entry, _) in self.told.values() {
            entry.windows.add_to(window, &mut sum);
        }
        sum
    }

    /// What was told.
    pub fn reports(&self) -> Vec<HostReport> {
        self.told.values().map(|(e, _)| e.clone()).collect()
    }

    /// Whether every host that was heard of since `since` has told what it counted up to `at`; of
    /// a host that started again the last start counts.
    pub fn is_reported_up_to(&self, since: u64, at: u64) -> bool {
        let mut last: collections::HashMap<&name::Host, u64> = collections::HashMap::new();
        for (entry, _) in self.told.values() {
            let told = last.entry(&entry.host).or_default();
            *told = entry.at.max(*told);
        }
        last.values().all(|told| *told >= at || *told < since)
    }

    /// Forgets starts that counted nothing since this window.
    pub fn forget_before(&mut self, window: u64) {
        self.told.retain(|_, (e, _)| {
            let last = e.windows.0.last_key_value();
            last.is_none_or(|(w, _)| *w >= window)
        });
    }

    /// What the callers of all hosts ask of a service.
    pub fn demand(&self, service: &name::Service, now: clock::Millis) -> Demand {
        let mut sum = Demand::default();
        for (entry, at) in self.told.values() {
            if now.since(*at) < DEMAND_LIFE
                && let Some(demand) = entry.demand.get(service)
            {
                sum.add(demand);
            }
        }
        sum
    }
}

/// Tells what this start counted.
pub struct ReportWriter {
    key: String,
    revision: cell::Cell<Option<u64>>,
    last: cell::Cell<clock::Millis>,
}

impl ReportWriter {
    /// A writer for this start.
    pub fn new(host: &host::Host) -> Self {
        Self {
            key: format!(
                "{COUNTS_PREFIX}{}/{:016x}",
                host.settings.host, host.boot_id
            ),
            revision: cell::Cell::new(Some(0)),
            last: cell::Cell::new(host.now()),
        }
    }

    /// Writes an entry into the store; returns whether it stands there.
    pub async fn write(&self, host: &host::Host, entry: &HostReport) -> bool {
        let value = match serde_json::to_vec(entry) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "counts_unwritable", error = %e);
                return false;
            }
        };
        let Some(revision) = self.known(host).await else {
            return false;
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
            Ok(revision) => {
                self.revision.set(Some(revision));
                true
            }
            Err(ports::StoreError::Refused) => false,
            Err(_) => {
                self.revision.set(None);
                false
            }
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

    /// What this start counted up to now.
    pub fn report(&self, host: &host::Host) -> HostReport {
        let now = host.now();
        let passed = now.since(self.last.replace(now));
        let mut demand = host.demand.borrow_mut();
        let fleet = host.fleet.borrow();
        for (service, d) in demand.iter_mut() {
            let busy = fleet.of(service).map(|m| m.busy).sum();
            d.end_interval(passed, busy);
        }
        HostReport {
            host: host.settings.host.clone(),
            boot_id: host.boot_id,
            at: host.wall_time().0,
            windows: host.usage_counter.borrow().counts.clone(),
            demand: demand.iter().map(|(s, d)| (s.clone(), *d)).collect(),
        }
    }
}

/// Keeps this host's key in the store until it stops.
pub async fn keep_registered(host: rc::Rc<host::Host>) {
    let present = Registration {
        host: host.settings.host.clone(),
        dc: host.settings.place.dc.clone(),
        peer: host.settings.peer_address,
    };
    let value = match serde_json::to_vec(&present) {
        Ok(value) => value,
        Err(e) => {
            tracing::error!(event = "host_unwritable", error = %e);
            return;
        }
    };
    let mut retry = retry::Retry::default();
    loop {
        let Some(lease) = appear_once(&host, &value).await else {
            retry.pause(&host).await;
            continue;
        };
        retry.reset();
        loop {
            time::sleep(RENEW_EVERY.duration()).await;
            if host.store.keep(lease).await == Err(ports::StoreError::NoLease) {
                break;
            }
        }
    }
}

async fn appear_once(host: &host::Host, value: &[u8]) -> Option<u64> {
    let lease = host.store.grant(TTL).await.ok()?;
    let t = ports::Transaction {
        writes: vec![ports::Write {
            key: format!("{PRESENT}{}", host.settings.host),
            value: value.to_vec(),
            lease,
        }],
        ..ports::Transaction::default()
    };
    host.store.commit(&t).await.ok()?;
    Some(lease)
}

/// Reads the keys of all hosts, for the budget and for whom to follow.
pub async fn refresh(host: rc::Rc<host::Host>) {
    loop {
        if let Ok((items, _)) = host.store.list(PRESENT, true).await {
            let now = host.now();
            host.membership.borrow_mut().update_hosts(&items, now);
            host.store_health.notify_change();
        }
        let hosts = u64::from(host.membership.borrow().host_count());
        let pause = READ_EVERY + clock::Millis(READ_EVERY_HOST.0 * hosts);
        time::sleep(pause.duration()).await;
    }
}
