//! Membership of hosts: which hosts are registered, and the counts and demand that each reports.
//!
//! Each host keeps a key with its addresses in the store under a lease. It sends its counts to the
//! leader, or writes them to the store under a key of this process alone if the leader cannot be
//! reached.

use std::cell;
use std::collections;
use std::net;
use std::rc;

use base::{clock, faulty_keys, name};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{backoff, host, ports, revision, windows};

/// Prefix of the store keys under which hosts register.
const HOSTS_PREFIX: &str = "jacinthslip/hosts/";
/// Prefix of the store keys under which hosts write their counts.
pub const COUNTS_PREFIX: &str = "jacinthslip/counts/";
/// Time to live of the lease of a host's registration.
const LEASE_TTL: clock::Millis = clock::Millis(6_000);
/// Time between renewals of the registration's lease.
const RENEW_INTERVAL: clock::Millis = clock::Millis(2_000);
/// Base time between two reads of the registered hosts.
const READ_INTERVAL: clock::Millis = clock::Millis(4_000);
/// Time between the first two reads after the start. It doubles with each read: hosts that start at
/// the same time must learn of each other soon, and none of them is registered at the first read.
const FIRST_READ_INTERVAL: clock::Millis = clock::Millis(400);
/// Additional time between two reads for each registered host.
const READ_INTERVAL_PER_HOST: clock::Millis = clock::Millis(100);
/// Time for which a list of hosts holds after the next one should have been read, for a slow read.
const READ_MARGIN: clock::Millis = clock::Millis(3_000);
/// Time for which an observed number of hosts counts: the window of the retry budget, and the same
/// again.
const HOST_COUNT_PERIOD: clock::Millis = clock::Millis(20_000);
/// Time for which a reported demand counts.
const DEMAND_TTL: clock::Millis = clock::Millis(3_500);
/// Largest number of hosts of a data centre that watch the store; the other hosts follow a watching
/// host of any data centre.
const MAX_WATCHERS_PER_DC: usize = 2;
/// Number of watching hosts in all data centres above which each data centre has only one. A
/// watching host makes the same calls whatever the number of hosts that follow it.
const ENOUGH_WATCHERS: usize = 6;
/// The newest interval has a weight of one part in this many in the moving averages of the demand.
const SMOOTHING_DIVISOR: f64 = 3.0;

/// Fault of an entry whose key is not the one that the host in its value writes.
const FOREIGN_KEY: &str = "its key is not that of its host";

/// Demand for one service, as smoothed rates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Requests per second.
    pub requests: f64,
    /// Prompt tokens per second that upstreams have to process.
    #[serde(rename = "read")]
    pub prompt_tokens: f64,
    /// Requests that are running at upstreams.
    #[serde(rename = "busy")]
    pub in_flight: f64,
    /// Requests per second that are refused for lack of capacity.
    pub refused: f64,
    #[serde(skip)]
    interval: IntervalTotals,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct IntervalTotals {
    requests: u32,
    prompt_tokens: u64,
    refused: u32,
}

impl Demand {
    /// Records a request with `prompt_tokens` to be processed.
    pub fn record_request(&mut self, prompt_tokens: u64) {
        self.interval.requests += 1;
        self.interval.prompt_tokens += prompt_tokens;
    }

    /// Records a request that is refused for lack of capacity.
    pub fn record_refusal(&mut self) {
        self.interval.refused += 1;
    }

    /// Ends an interval of `elapsed` during which `in_flight` requests were running at upstreams,
    /// and updates the averages.
    pub fn end_interval(&mut self, elapsed: clock::Millis, in_flight: u32) {
        let per_s = 1_000.0 / (elapsed.0.max(1) as f64);
        let totals = std::mem::take(&mut self.interval);
        let smooth = |mean: &mut f64, new: f64| *mean += (new - *mean) / SMOOTHING_DIVISOR;
        smooth(&mut self.requests, f64::from(totals.requests) * per_s);
        smooth(&mut self.prompt_tokens, totals.prompt_tokens as f64 * per_s);
        smooth(&mut self.refused, f64::from(totals.refused) * per_s);
        smooth(&mut self.in_flight, f64::from(in_flight));
    }

    /// Adds the demand of another host.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.in_flight += other.in_flight;
        self.refused += other.refused;
    }
}

/// Registration of a host, as stored under its key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// Name of the registered host.
    pub host: name::Host,
    /// Data centre of the registered host.
    pub dc: name::Dc,
    /// Address at which other hosts connect to the registered host.
    #[serde(rename = "peer")]
    pub peer_address: net::SocketAddr,
}

/// Counts and demand of one process of a host, from its start up to `counted_until`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Name of the reporting host.
    pub host: name::Host,
    /// Random number that identifies the reporting process: it is drawn at each start of the host.
    #[serde(rename = "boot")]
    pub boot_id: u64,
    /// Wall time up to which requests are counted, in Unix milliseconds.
    #[serde(rename = "at")]
    pub counted_until: u64,
    /// Requests that began, by window and team.
    pub windows: windows::WindowCounts,
    /// Demand of the clients of the reporting host, by service.
    pub demand: collections::BTreeMap<name::Service, Demand>,
}

/// Registered hosts as last read from the store, and the latest report of each process.
#[derive(Debug, Default)]
pub struct Membership {
    /// Registered hosts in the order of their names, and whether each watches the store.
    registered: Vec<(Registration, bool)>,
    host_counts: collections::VecDeque<(clock::Millis, u32)>,
    reports: collections::HashMap<(name::Host, u64), (HostReport, clock::Millis)>,
    /// Entries that were logged as unusable.
    faulty_keys: faulty_keys::FaultyKeys,
}

impl Membership {
    /// Replaces the registered hosts by those in `items`.
    pub fn update_hosts(&mut self, items: &[ports::Item], now: clock::Millis) {
        let mut registered: Vec<Registration> = Vec::with_capacity(items.len());
        for item in items {
            let registration = item.parse().and_then(|r: Registration| {
                let is_own = item.is_named(r.host.as_str());
                is_own.then_some(r).ok_or(FOREIGN_KEY.to_owned())
            });
            match registration {
                Ok(registration) => registered.push(registration),
                Err(fault) => self.log_fault("host_unreadable", item, &fault),
            }
        }
        registered.sort_by(|a, b| a.host.cmp(&b.host));
        let mut hosts_by_dc: collections::HashMap<name::Dc, usize> = collections::HashMap::new();
        for registration in &registered {
            *hosts_by_dc.entry(registration.dc.clone()).or_default() += 1;
        }
        let watchers_per_dc = ENOUGH_WATCHERS
            .div_ceil(hosts_by_dc.len().max(1))
            .clamp(1, MAX_WATCHERS_PER_DC);
        hosts_by_dc.clear();
        self.registered.clear();
        for registration in registered {
            let rank = hosts_by_dc.entry(registration.dc.clone()).or_default();
            *rank += 1;
            self.registered
                .push((registration, *rank <= watchers_per_dc));
        }
        self.host_counts
            .push_back((now, self.registered.len() as u32));
        while self
            .host_counts
            .front()
            .is_some_and(|(at, _)| now.since(*at) > HOST_COUNT_PERIOD)
        {
            self.host_counts.pop_front();
        }
    }

    /// Number of hosts that share the retry budget: the highest number seen recently, and at least
    /// 1.
    pub fn host_count(&self) -> u32 {
        self.host_counts
            .iter()
            .map(|(_, n)| *n)
            .max()
            .unwrap_or(1)
            .max(1)
    }

    /// Whether `host` watches the store itself: the first one or two hosts of each data centre in the
    /// order of their names do, and every host that is not registered.
    pub fn is_watcher(&self, host: &name::Host) -> bool {
        let found = self.registered.binary_search_by(|(r, _)| r.host.cmp(host));
        found.is_err() || found.is_ok_and(|i| self.registered[i].1)
    }

    /// Whether the registered hosts have been read.
    pub fn is_read(&self) -> bool {
        !self.host_counts.is_empty()
    }

    /// When the registered hosts were last read; `None` if they have not been.
    pub fn read_at(&self) -> Option<clock::Millis> {
        self.host_counts.back().map(|(at, _)| *at)
    }

    /// Time between two reads of the registered hosts.
    fn read_interval(&self) -> clock::Millis {
        READ_INTERVAL + clock::Millis(READ_INTERVAL_PER_HOST.0 * u64::from(self.host_count()))
    }

    /// When the list of registered hosts is too old to go by, since the reads after it have failed;
    /// `None` if it has not been read.
    pub fn valid_until(&self) -> Option<clock::Millis> {
        let ttl = self.read_interval() + READ_MARGIN;
        self.read_at().map(|at| at + ttl)
    }

    /// Registered hosts in the order of their names, and whether each watches the store.
    pub fn registered(&self) -> &[(Registration, bool)] {
        &self.registered
    }

    /// Peer addresses of the hosts that watch the store.
    pub fn watcher_addresses(&self) -> Vec<net::SocketAddr> {
        let watchers = self.registered.iter().filter(|(_, watches)| *watches);
        watchers.map(|(r, _)| r.peer_address).collect()
    }

    /// Records the report of a host unless a later one of the same process is known.
    pub fn record_report(&mut self, report: HostReport, now: clock::Millis) {
        let process = (report.host.clone(), report.boot_id);
        if self
            .reports
            .get(&process)
            .is_none_or(|(e, _)| e.counted_until <= report.counted_until)
        {
            self.reports.insert(process, (report, now));
        }
    }

    /// Records the reports that hosts wrote into the store.
    pub fn record_stored(&mut self, items: &[ports::Item]) {
        for item in items {
            let report = item.parse().and_then(|r: HostReport| {
                let is_own = item.is_named(&report_name(&r.host, r.boot_id));
                is_own.then_some(r).ok_or(FOREIGN_KEY.to_owned())
            });
            match report {
                // A stored report may be old, so its demand does not count.
                Ok(report) => self.record_report(report, clock::Millis::ZERO),
                Err(fault) => self.log_fault("counts_unreadable", item, &fault),
            }
        }
    }

    fn log_fault(&self, event: &'static str, item: &ports::Item, fault: &str) {
        let revision = item.revision.number();
        self.faulty_keys.log(event, &item.key, revision, fault);
    }

    /// Sum of the counts of all processes in a window, by team.
    pub fn window_counts(&self, window: u64) -> ports::RequestCounts {
        let mut sum = ports::RequestCounts::new();
        for (report, _) in self.reports.values() {
            report.windows.add_to(window, &mut sum);
        }
        sum
    }

    /// Latest report of each process.
    pub fn reports(&self) -> Vec<HostReport> {
        self.reports.values().map(|(e, _)| e.clone()).collect()
    }

    /// Whether every registered host, and every host with a report since `since`, has reported its
    /// counts up to `at`. Of a host that restarted, the latest report of any of its processes
    /// decides. A new leader has the reports of few hosts, so it must not go by them alone.
    pub fn is_reported_up_to(&self, since: u64, at: u64) -> bool {
        let mut latest: collections::HashMap<&name::Host, u64> = collections::HashMap::new();
        for (report, _) in self.reports.values() {
            let reported_up_to = latest.entry(&report.host).or_default();
            *reported_up_to = report.counted_until.max(*reported_up_to);
        }
        let is_reported = |p: &Registration| latest.get(&p.host).is_some_and(|at| *at >= since);
        self.registered.iter().all(|(r, _)| is_reported(r))
            && latest
                .values()
                .all(|reported_up_to| *reported_up_to >= at || *reported_up_to < since)
    }

    /// Forgets processes that counted no request since this window.
    pub fn forget_before(&mut self, window: u64) {
        self.reports.retain(|_, (e, _)| {
            let last = e.windows.0.last_key_value();
            last.is_none_or(|(w, _)| *w >= window)
        });
    }

    /// Demand of the clients of all hosts for a service, from the reports that are recent enough.
    pub fn demand(&self, service: &name::Service, now: clock::Millis) -> Demand {
        let mut sum = Demand::default();
        for (report, at) in self.reports.values() {
            if now.since(*at) < DEMAND_TTL
                && let Some(demand) = report.demand.get(service)
            {
                sum.add(demand);
            }
        }
        sum
    }
}

/// Name of the entry with the report of a process, which follows [`COUNTS_PREFIX`].
fn report_name(host: &name::Host, boot_id: u64) -> String {
    format!("{host}/{boot_id:016x}")
}

/// Builds the reports of this process and writes them into the store.
pub struct ReportWriter {
    key: String,
    revision: cell::Cell<Option<revision::Revision>>,
    last_report: cell::Cell<clock::Millis>,
}

impl ReportWriter {
    /// Creates the writer of this process; its store key is unique to the process.
    pub fn new(host: &host::Host) -> Self {
        Self {
            key: format!(
                "{COUNTS_PREFIX}{}",
                report_name(&host.settings.host, host.boot_id)
            ),
            revision: cell::Cell::new(Some(revision::Revision::NONE)),
            last_report: cell::Cell::new(host.now()),
        }
    }

    /// Writes a report into the store. Returns whether it is certain to be stored.
    pub async fn write(&self, host: &host::Host, report: &HostReport) -> bool {
        let value = match serde_json::to_vec(report) {
            Ok(value) => value,
            Err(e) => {
                tracing::error!(event = "counts_unwritable", error = %e);
                return false;
            }
        };
        let Some(revision) = self.stored_revision(host).await else {
            return false;
        };
        let write = ports::Write {
            key: self.key.clone(),
            value,
            lease: None,
        };
        let transaction = ports::Transaction {
            expected: vec![(self.key.clone(), revision)],
            writes: vec![write],
            removes: Vec::new(),
        };
        match host.store.commit(&transaction).await {
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

    /// Store revision of the last written report, read back if the response to a write was lost.
    async fn stored_revision(&self, host: &host::Host) -> Option<revision::Revision> {
        if let Some(revision) = self.revision.get() {
            return Some(revision);
        }
        let (item, _) = host.store.get(&self.key).await.ok()?;
        let revision = item.map_or(revision::Revision::NONE, |i| i.revision);
        self.revision.set(Some(revision));
        Some(revision)
    }

    /// Builds the report of this process with its counts up to now and its current demand. Each
    /// call ends an interval of the demand's moving averages.
    pub fn report(&self, host: &host::Host) -> HostReport {
        let now = host.now();
        let elapsed = now.since(self.last_report.replace(now));
        let mut demand = host.demand.borrow_mut();
        let fleet = host.fleet.borrow();
        for (service, d) in demand.iter_mut() {
            let in_flight = fleet.of_service(service).map(|m| m.in_flight).sum();
            d.end_interval(elapsed, in_flight);
        }
        HostReport {
            host: host.settings.host.clone(),
            boot_id: host.boot_id,
            counted_until: host.wall_time().0,
            windows: host.usage_counter.borrow().counts.clone(),
            demand: demand.iter().map(|(s, d)| (s.clone(), *d)).collect(),
        }
    }
}

/// Keeps this host registered in the store until the process ends.
pub async fn keep_registered(host: rc::Rc<host::Host>) {
    let registration = Registration {
        host: host.settings.host.clone(),
        dc: host.settings.location.dc.clone(),
        peer_address: host.settings.peer_address,
    };
    let value = match serde_json::to_vec(&registration) {
        Ok(value) => value,
        Err(e) => {
            tracing::error!(event = "host_unwritable", error = %e);
            return;
        }
    };
    let mut backoff = backoff::Backoff::default();
    loop {
        let Some(lease) = register(&host, &value).await else {
            backoff.wait(&host).await;
            continue;
        };
        backoff.reset();
        loop {
            time::sleep(RENEW_INTERVAL.duration()).await;
            if host.store.renew_lease(lease).await == Err(ports::StoreError::NoLease) {
                break;
            }
        }
    }
}

async fn register(host: &host::Host, value: &[u8]) -> Option<ports::Lease> {
    let lease = host.store.grant_lease(LEASE_TTL).await.ok()?;
    let transaction = ports::Transaction {
        writes: vec![ports::Write {
            key: format!("{HOSTS_PREFIX}{}", host.settings.host),
            value: value.to_vec(),
            lease: Some(lease),
        }],
        ..ports::Transaction::default()
    };
    host.store.commit(&transaction).await.ok()?;
    Some(lease)
}

/// Reads the registered hosts repeatedly, for the retry budget and for the choice of the host to
/// follow.
pub async fn refresh(host: rc::Rc<host::Host>) {
    let mut early_pause = FIRST_READ_INTERVAL;
    loop {
        // The answer may be read long after it was given, for instance by a host that was paused.
        let asked_at = host.now();
        if let Ok((items, _)) = host.store.list(HOSTS_PREFIX, true).await {
            let mut membership = host.membership.borrow_mut();
            membership.update_hosts(&items, asked_at);
            let mut fleet = host.fleet.borrow_mut();
            fleet.warm_up.update_hosts(&membership, host.now());
            host.store_health.notify_change();
        }
        let pause = host.membership.borrow().read_interval();
        time::sleep(pause.min(early_pause).duration()).await;
        early_pause = early_pause + early_pause;
    }
}
