//! The leader's part of the digest: gathers the load that hosts report, decides on the shares of
//! engines and builds the digest, every second.

use std::collections;
use std::rc;

use base::{clock, name};
use policy::engine_classes;
use tokio::time;

use crate::{digest, host, leader, model};

/// Time between two decisions.
const DECISION_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Time for which the load that a host reported counts.
const LOAD_TTL: clock::Millis = clock::Millis(3_500);
/// Shortest period that is believed: a shorter one would turn few requests into a high rate.
const MIN_PERIOD: clock::Millis = clock::Millis(100);
/// Bounds on what one host reports and on the number of reporting processes. More is left out.
const MAX_SERVICES: usize = 64;
const MAX_DCS: usize = 64;
const MAX_PROCESSES: usize = 4_096;
/// Largest plausible figures of one class at one host: requests, and prompt tokens per second.
const MAX_REQUESTS: u32 = 100_000;
const MAX_TOKENS: u64 = 100_000_000;
/// Share of an engine's slots that can be in use without delaying the tokens of its requests: 10 of
/// 16.
const USABLE_SLOTS_SHARE: f64 = 0.625;

/// Load that hosts reported, by process.
#[derive(Debug, Default)]
pub struct ReportedLoads {
    hosts: collections::HashMap<u64, (digest::HostLoad, clock::Millis)>,
    has_warned: bool,
}

/// Load of one service over all hosts.
#[derive(Debug, Default)]
struct TotalLoad {
    classes: [engine_classes::Demand; engine_classes::CLASS_COUNT],
    dcs: collections::BTreeMap<name::Dc, digest::DcLoad>,
}

impl ReportedLoads {
    /// Records the load that a process reports. Implausible figures are reduced, and logged once.
    pub fn record(&mut self, process: u64, mut load: digest::HostLoad, now: clock::Millis) {
        if clamp(&mut load) && !std::mem::replace(&mut self.has_warned, true) {
            tracing::warn!(event = "load_implausible", process);
        }
        if self.hosts.len() >= MAX_PROCESSES && !self.hosts.contains_key(&process) {
            return;
        }
        self.hosts.insert(process, (load, now));
    }

    /// Number of processes whose load is known.
    pub fn process_count(&self) -> usize {
        self.hosts.len()
    }

    /// Forgets reports that are too old, and returns the age of the oldest one that counts.
    fn expire(&mut self, now: clock::Millis) -> clock::Millis {
        self.hosts.retain(|_, (_, at)| now.since(*at) < LOAD_TTL);
        let ages = self.hosts.values().map(|(_, at)| now.since(*at));
        ages.max().unwrap_or(clock::Millis::ZERO)
    }

    fn totals(&self) -> collections::BTreeMap<name::Service, TotalLoad> {
        let mut totals: collections::BTreeMap<name::Service, TotalLoad> =
            collections::BTreeMap::new();
        for (host, _) in self.hosts.values() {
            let per_s = 1_000.0 / host.period.max(MIN_PERIOD).0 as f64;
            for load in &host.services {
                let total = totals.entry(load.service.clone()).or_default();
                for (total, class) in total.classes.iter_mut().zip(&load.classes) {
                    total.requests += f64::from(class.requests) * per_s;
                    total.prompt_tokens += class.prompt_tokens as f64 * per_s;
                    total.running += f64::from(class.running);
                }
                for (dc, load) in &load.dcs {
                    let dc = total.dcs.entry(dc.clone()).or_default();
                    dc.running = dc.running.saturating_add(load.running);
                    dc.unread_tokens = dc.unread_tokens.saturating_add(load.unread_tokens);
                }
            }
        }
        totals
    }
}

/// Reduces the figures to plausible ones; returns whether this changed any.
fn clamp(load: &mut digest::HostLoad) -> bool {
    let mut changed = load.services.len() > MAX_SERVICES;
    load.services.truncate(MAX_SERVICES);
    for service in &mut load.services {
        changed |= service.dcs.len() > MAX_DCS;
        service.dcs.truncate(MAX_DCS);
        for class in &mut service.classes {
            let before = *class;
            class.requests = class.requests.min(MAX_REQUESTS);
            class.running = class.running.min(MAX_REQUESTS);
            class.prompt_tokens = class.prompt_tokens.min(MAX_TOKENS);
            changed |= *class != before;
        }
        for (_, dc) in &mut service.dcs {
            let before = *dc;
            dc.running = dc.running.min(MAX_REQUESTS);
            dc.unread_tokens = dc.unread_tokens.min(MAX_TOKENS);
            changed |= *dc != before;
        }
    }
    changed
}

/// Returns what one engine of the model can do.
fn engine_model(engine: &model::Engine) -> engine_classes::EngineModel {
    let mut result = engine_classes::EngineModel::default();
    if engine.slots > 0 {
        result.requests = f64::from(engine.slots) * USABLE_SLOTS_SHARE;
    }
    result
}

/// Decides while this host is the leader, and distributes the results. The first shares are those of
/// the latest digest that this host knows.
pub async fn run(host: &host::Host, tenure: &leader::Leadership) {
    let mut planners = collections::HashMap::new();
    let mut version = digest::Version {
        token: tenure.token,
        sequence: 0,
    };
    loop {
        time::sleep(DECISION_INTERVAL.duration()).await;
        if !host.is_leader.get() {
            continue;
        }
        version.sequence += 1;
        let digest = decide(host, &mut planners, version);
        digest::apply(host, &rc::Rc::new(digest));
    }
}

fn decide(
    host: &host::Host,
    planners: &mut collections::HashMap<name::Service, engine_classes::Planner>,
    version: digest::Version,
) -> digest::Digest {
    let now = host.now();
    let mut loads = host.reported_loads.borrow_mut();
    let age = loads.expire(now);
    let hosts = loads.process_count();
    let config = host.current_config();
    let last = host.digest.get();
    let mut services = Vec::new();
    let mut totals = loads.totals();
    // A new leader has few reports at first, and must not forget what the last digest says.
    for known in last.iter().flat_map(|d| &d.services) {
        let is_configured = |c: &rc::Rc<model::Config>| c.services.contains_key(&known.service);
        if config.as_ref().is_none_or(is_configured) {
            totals.entry(known.service.clone()).or_default();
        }
    }
    for (service, total) in totals {
        let known = last.as_ref().and_then(|d| {
            let mut services = d.services.iter();
            services.find(|s| s.service == service)
        });
        let mut entry = digest::ServiceDigest {
            service,
            shares: known.map_or(engine_classes::DEFAULT_SHARES, |d| d.shares),
            dcs: total.dcs.into_iter().collect(),
        };
        let service = &entry.service;
        let config = config.as_ref().and_then(|c| c.services.get(service));
        if let Some(engine) = config.and_then(|s| s.engine.as_ref()) {
            let planner = planners
                .entry(service.clone())
                .or_insert_with(|| engine_classes::Planner::new(entry.shares));
            let model = engine_model(engine);
            let ready = ready_engines(host, service);
            let decision = planner.decide(&total.classes, ready, &model, now);
            host.metrics.record_pressure(service, &decision.pressure);
            log_change(service, &decision, version, ready, hosts, age);
            entry.shares = decision.shares;
        }
        services.push(entry);
    }
    digest::Digest { version, services }
}

fn ready_engines(host: &host::Host, service: &name::Service) -> u32 {
    let fleet = host.fleet.borrow();
    let upstreams = fleet.of_service(service);
    let ready = upstreams.filter(|t| t.upstream.state == model::UpstreamState::Ready);
    ready.count() as u32
}

fn log_change(
    service: &name::Service,
    decision: &engine_classes::Decision,
    version: digest::Version,
    engines: u32,
    hosts: usize,
    age: clock::Millis,
) {
    if !decision.changed {
        return;
    }
    tracing::info!(
        event = "engine_classes",
        %service,
        shares = ?decision.shares,
        need = ?decision.need.map(|n| (n * 10.0).round() / 10.0),
        pressure = ?decision.pressure.map(|p| (p * 100.0).round() / 100.0),
        engines,
        hosts,
        oldest_ms = age.0,
        token = version.token,
        sequence = version.sequence,
    );
}
