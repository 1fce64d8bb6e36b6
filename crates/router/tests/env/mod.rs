//! Test environment: an in-memory store, platform and protocol, and hosts that use them, in
//! simulated time.

#![allow(dead_code, unreachable_pub)]

pub mod hosts;
pub mod orders;
pub mod restore;
pub mod store;

use std::cell;
use std::collections;
use std::rc;

use base::{clock, diagnostic, name};
use router::{
    attempt, budget, host, leader, location, model, offloading, ports, revision, stream_class,
};
use smallvec::smallvec;
use tokio::sync::watch;
use tokio::{task, time};

pub use orders::Orders;
pub use store::{Store, StoreMode};

/// Store and platform shared by all hosts of a test.
#[derive(Default)]
pub struct Cluster {
    items: cell::RefCell<collections::BTreeMap<String, (ports::Item, u64)>>,
    events: cell::RefCell<Vec<(u64, ports::WatchEvent)>>,
    revision: cell::Cell<u64>,
    /// Number of restores so far.
    era: cell::Cell<u64>,
    oldest_revision: cell::Cell<u64>,
    leases: cell::RefCell<collections::HashMap<u64, (clock::Millis, clock::Millis)>>,
    leases_frozen: cell::Cell<bool>,
    pub clock: clock::Clock,
    /// Time that every second call to the platform takes to arrive; 0 for none.
    pub call_delay: cell::Cell<clock::Millis>,
    calls_sent: cell::Cell<u64>,
    /// Time within which the hosts created from now on leave a drained data centre; `None` if they have no
    /// drains.
    pub dc_drain_deadline: cell::Cell<Option<clock::Millis>>,
    /// Counts reported for each window, as text.
    reports: cell::RefCell<collections::BTreeMap<u64, String>>,
    /// Calls received by the platform: time of arrival, name of the calling host, fencing token.
    pub calls: cell::RefCell<Vec<(clock::Millis, String, u64)>>,
}

impl Cluster {
    pub fn new() -> rc::Rc<Self> {
        let cluster = rc::Rc::new(Self {
            clock: clock::Clock::manual(),
            ..Self::default()
        });
        let ticking = cluster.clone();
        task::spawn_local(async move {
            loop {
                time::sleep(time::Duration::from_millis(5)).await;
                ticking.clock.advance(clock::Millis(5));
                ticking.expire_leases();
            }
        });
        cluster
    }

    /// Revision with this number in the current era.
    pub fn revision_at(&self, number: u64) -> revision::Revision {
        revision::Revision::new(self.era.get(), number).expect("a revision")
    }

    /// Windows that were reported.
    pub fn reported_windows(&self) -> Vec<u64> {
        self.reports.borrow().keys().copied().collect()
    }

    /// Counts reported for a window, as text.
    pub fn report_of(&self, window: u64) -> Option<String> {
        self.reports.borrow().get(&window).cloned()
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Whether there is a key with this prefix.
    pub fn has_prefix(&self, prefix: &str) -> bool {
        self.items.borrow().keys().any(|k| k.starts_with(prefix))
    }

    fn next_revision(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, value.as_bytes(), 0, self.next_revision());
    }

    fn write(&self, key: &str, value: &[u8], lease: u64, revision: u64) {
        let mut items = self.items.borrow_mut();
        let created = items.get(key).map_or(revision, |(i, _)| i.created.number());
        let item = ports::Item {
            key: key.to_owned(),
            value: value.to_vec(),
            revision: revision::Revision::without_era(revision),
            created: revision::Revision::without_era(created),
            lease: Some(lease),
            fault: None,
        };
        items.insert(key.to_owned(), (item.clone(), lease));
        let event = ports::WatchEvent::Put(item);
        self.events.borrow_mut().push((revision, event));
    }

    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let revision = self.next_revision();
            let at = revision::Revision::without_era(revision);
            let event = ports::WatchEvent::Removed(key.to_owned(), at);
            self.events.borrow_mut().push((revision, event));
        }
    }

    /// Discards the history of changes, as after a compaction.
    pub fn compact(&self) {
        self.oldest_revision.set(self.revision.get() + 1);
        self.events.borrow_mut().clear();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.borrow().get(key).map(|(i, _)| i.value.clone())
    }

    /// The item as a response of the current era has it.
    fn labelled(&self, item: &ports::Item) -> ports::Item {
        ports::Item {
            revision: self.revision_at(item.revision.number()),
            created: self.revision_at(item.created.number()),
            ..item.clone()
        }
    }

    fn events_since(&self, prefix: &str, after: u64) -> Vec<ports::WatchEvent> {
        let key = |e: &ports::WatchEvent| match e {
            ports::WatchEvent::Put(i) => i.key.clone(),
            ports::WatchEvent::Removed(k, _) => k.clone(),
        };
        let events = self.events.borrow();
        let events = events
            .iter()
            .filter(|(r, e)| *r > after && key(e).starts_with(prefix));
        let events = events.map(|(_, e)| match e {
            ports::WatchEvent::Put(item) => ports::WatchEvent::Put(self.labelled(item)),
            ports::WatchEvent::Removed(key, at) => {
                ports::WatchEvent::Removed(key.clone(), self.revision_at(at.number()))
            }
        });
        events.collect()
    }

    /// Stops or resumes the expiry of leases; some stores stop it during an outage.
    pub fn freeze_leases(&self, frozen: bool) {
        self.leases_frozen.set(frozen);
    }

    fn expire_leases(&self) {
        if self.leases_frozen.get() {
            return;
        }
        let now = self.clock.now();
        let expired: Vec<u64> = self
            .leases
            .borrow()
            .iter()
            .filter(|(_, (end, _))| now >= *end)
            .map(|(l, _)| *l)
            .collect();
        for lease in expired {
            self.revoke_lease(lease);
        }
    }

    fn revoke_lease(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
        let keys: Vec<String> = self
            .items
            .borrow()
            .iter()
            .filter(|(_, (_, l))| *l == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// Protocol with entries as text: a configuration starts with a line that is its version number, an
/// upstream is `STATE PORT BORN`, or `STATE PORT BORN DC` outside the data centre `a`.
pub struct TestProtocol;

impl ports::Protocol for TestProtocol {
    fn read_request(&self, _: &http::HeaderMap) -> Result<ports::RequestMeta, &'static str> {
        Ok(ports::RequestMeta::default())
    }

    fn write_request(&self, _: &mut http::HeaderMap, _: ports::UpstreamMeta<'_>) {}

    fn read_response(&self, _: &http::HeaderMap) -> ports::ResponseMeta {
        ports::ResponseMeta::default()
    }

    fn config_key(&self) -> &str {
        "config"
    }

    fn upstream_prefix(&self) -> &str {
        "up/"
    }

    fn drain_prefix(&self) -> &str {
        "config/drain/"
    }

    fn operator_prefix(&self) -> &str {
        "config"
    }

    fn parse_config(&self, bytes: &[u8]) -> Result<model::Config, diagnostic::Diagnostics> {
        let text = String::from_utf8_lossy(bytes);
        let Ok(version) = text.lines().next().unwrap_or_default().parse() else {
            let mut diagnostics = diagnostic::Diagnostics::default();
            diagnostics.add(
                diagnostic::Location::default(),
                "configuration is not a number",
                "write a number",
            );
            return Err(diagnostics);
        };
        let limits = model::Limits {
            head_bytes: 16_384,
            body_bytes: 65_536,
            head_timeout: clock::Millis(3_000),
            idle_timeout: clock::Millis(15_000),
        };
        Ok(model::Config::new(
            version,
            Vec::new(),
            vec![hosts::service()],
            limits,
            None,
        ))
    }

    fn parse_upstream(&self, key: &str, bytes: &[u8]) -> Result<model::Upstream, String> {
        let text = String::from_utf8_lossy(bytes);
        let words: Vec<&str> = text.split(' ').collect();
        let (state, port, born, dc) = match words[..] {
            [state, port, born] => (state, port, born, "a"),
            [state, port, born, dc] => (state, port, born, dc),
            _ => return Err("upstream is not STATE PORT BORN DC".to_owned()),
        };
        Ok(model::Upstream {
            name: key["up/".len()..].into(),
            service: "s".into(),
            address: (
                [127, 0, 0, 1],
                port.parse().map_err(|_| "port is not a number")?,
            )
                .into(),
            dc: dc.into(),
            state: match state {
                "ready" => model::UpstreamState::Ready,
                "leaving" => model::UpstreamState::Leaving,
                _ => return Err("unknown state".to_owned()),
            },
            preemptible: false,
            started_at: born.parse().map_err(|_| "start time is not a number")?,
            cold_left: clock::Millis::ZERO,
            slots: 8,
        })
    }
}

/// Host under test, and how the store answers it.
pub struct Node {
    pub host: rc::Rc<host::Host>,
    pub store_mode: rc::Rc<cell::Cell<StoreMode>>,
    pub refused_calls: rc::Rc<cell::Cell<u32>>,
    pub read_calls: rc::Rc<cell::Cell<u32>>,
    pub watch_calls: rc::Rc<cell::Cell<u32>>,
}

impl Node {
    /// Sorted names of the upstreams in the state `ready`.
    pub fn ready_upstreams(&self) -> Vec<String> {
        let fleet = self.host.fleet.borrow();
        let service = name::Service::from("s");
        let ready = fleet.of_service(&service);
        let ready = ready.filter(|m| m.upstream.state == model::UpstreamState::Ready);
        let mut names: Vec<String> = ready.map(|m| m.upstream.name.to_string()).collect();
        names.sort();
        names
    }

    pub fn config_version(&self) -> Option<u64> {
        self.host.current_config().map(|c| c.version)
    }

    /// Bytes of the store's contents that this host has sent to its followers.
    pub fn relayed_bytes(&self) -> u64 {
        let metrics = self.host.metrics.render();
        let value = metrics
            .lines()
            .find_map(|l| l.strip_prefix("relayed_bytes_total"));
        value
            .and_then(|v| v.rsplit(' ').next()?.parse().ok())
            .unwrap_or(0)
    }
}

pub fn node(cluster: &rc::Rc<Cluster>, name: &str, peer: u16) -> Node {
    node_with_window(cluster, name, peer, clock::Millis(5_000))
}

/// Creates a host with usage windows of length `window`.
pub fn node_with_window(
    cluster: &rc::Rc<Cluster>,
    name: &str,
    peer: u16,
    window: clock::Millis,
) -> Node {
    let location = location::Location {
        dc: "a".into(),
        regions: [("a".into(), "r".into())].into(),
    };
    node_at(cluster, name, peer, window, location)
}

/// Creates a host at `location` with usage windows of length `window`.
pub fn node_at(
    cluster: &rc::Rc<Cluster>,
    name: &str,
    peer: u16,
    window: clock::Millis,
    location: location::Location,
) -> Node {
    let store_mode = rc::Rc::new(cell::Cell::new(StoreMode::Available));
    let refused_calls = rc::Rc::new(cell::Cell::new(0));
    let read_calls = rc::Rc::new(cell::Cell::new(0));
    let watch_calls = rc::Rc::new(cell::Cell::new(0));
    let any_address = ([127, 0, 0, 1], 0).into();
    let settings = host::Settings {
        host: name.into(),
        location,
        client_address: any_address,
        readiness_address: any_address,
        peer_address: ([127, 0, 0, 1], peer).into(),
        seeds: Vec::new(),
        metrics_address: any_address,
        held_bytes: 64 << 20,
        max_connections: 1_024,
        retry_limit: budget::RetryLimit {
            ratio: 0.2,
            base_retries: 50.0,
            window: clock::Millis(10_000),
        },
        timing: host::Timing {
            change_deadline: clock::Millis(2_500),
            shutdown_grace: clock::Millis(8_000),
            platform_lease: clock::Millis(3_000),
            usage_window: window,
            report_deadline: clock::Millis(2 * window.0),
        },
        cold_tolerance: None,
        dc_drain_deadline: cluster.dc_drain_deadline.get(),
        offload: offloading::Settings::default(),
    };
    let dependencies = host::Dependencies {
        protocol: Box::new(TestProtocol),
        store: Box::new(Store {
            cluster: cluster.clone(),
            mode: store_mode.clone(),
            era: watch::Sender::new(cluster.era.get()),
            refused_calls: refused_calls.clone(),
            read_calls: read_calls.clone(),
            watch_calls: watch_calls.clone(),
        }),
        orders: Box::new(Orders {
            cluster: cluster.clone(),
            host: name.to_owned(),
            clock: cluster.clock.clone(),
        }),
        clock: cluster.clock.clone(),
    };
    let host = host::Host::new(settings, dependencies).unwrap();
    Node {
        host: rc::Rc::new(host),
        store_mode,
        refused_calls,
        read_calls,
        watch_calls,
    }
}

/// Runs a test on one thread in simulated time, which advances whenever all tasks are idle.
pub fn run<Fut: Future<Output = ()>>(test: impl FnOnce() -> Fut) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    let local = task::LocalSet::new();
    local.block_on(&runtime, async { test().await });
}

/// Runs a test on one thread in real time, for tests with sockets.
pub fn run_real_time<Fut: Future<Output = ()>>(test: impl FnOnce() -> Fut) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = task::LocalSet::new();
    local.block_on(&runtime, async { test().await });
}

pub async fn sleep_ms(ms: u64) {
    time::sleep(time::Duration::from_millis(ms)).await;
}

/// Checks the calls to the platform: fencing tokens never decrease, no two hosts use the same
/// token, and no host calls again within a lease after another host has called.
pub fn check_calls(cluster: &Cluster, lease_ms: u64) {
    let calls = cluster.calls.borrow();
    let mut host_by_token: collections::HashMap<u64, &str> = collections::HashMap::new();
    let mut last = 0;
    for (i, (at, host, token)) in calls.iter().enumerate() {
        assert!(*token >= last, "token {token} after {last}");
        last = *token;
        let expected = host_by_token.entry(*token).or_insert(host);
        assert_eq!(*expected, host, "token {token} used by two hosts");
        let recent = calls[..i]
            .iter()
            .rev()
            .take_while(|c| at.since(c.0).0 < lease_ms);
        let others: Vec<&str> = recent.map(|c| c.1.as_str()).collect();
        let other = others.iter().position(|o| o != host);
        if let Some(other) = other {
            assert!(
                !others[other..].contains(&host.as_str()),
                "{host} called before and after another host within a lease"
            );
        }
    }
}

/// Starts the task by which a host takes part in the leader election.
pub fn run_leader_election(node: &Node) -> task::JoinHandle<()> {
    node.host
        .usage_counter
        .borrow_mut()
        .wall_time(node.host.now(), node.host.clock.unix_time());
    task::spawn_local(leader::run(node.host.clone(), true))
}

/// Like `run_leader_election`, for a host that starts after the system has.
pub fn run_later_election(node: &Node) -> task::JoinHandle<()> {
    node.host
        .usage_counter
        .borrow_mut()
        .wall_time(node.host.now(), node.host.clock.unix_time());
    task::spawn_local(leader::run(node.host.clone(), false))
}

/// Route of streams to the service `s` with at most two attempts.
pub fn route() -> model::Route {
    model::Route {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        path_prefix: "/".to_owned(),
        kind: model::RouteKind::Streaming,
        resumable: true,
        latency_target: clock::Millis(500),
        gap_target: None,
        timeout: clock::Millis(8_000),
        tier: 0,
        max_attempts: 2,
        public: false,
        shares: smallvec![model::TrafficShare {
            service: name::Service::from("s"),
            weight: 1,
        }],
        homes: model::Homes::new(),
    }
}

/// Request of `route` without a prompt, for at most 10 seconds.
pub fn call(route: model::Route) -> attempt::Call {
    attempt::Call {
        meta: ports::RequestMeta {
            id: "q".to_owned(),
            timeout: None,
            api_key: None,
            prompt_parts: smallvec![],
            prompt_tokens: 0,
            last_event_id: None,
        },
        method: http::Method::POST,
        uri: http::Uri::from_static("/"),
        headers: http::HeaderMap::new(),
        body: bytes::Bytes::new(),
        route: rc::Rc::new(route),
        service: "s".into(),
        team: None,
        tier: 0,
        stream_class: stream_class::StreamClass::Other,
        config_version: 1,
        received_at: clock::Millis::ZERO,
        client_deadline: clock::Millis(10_000),
        finish_by: clock::Millis(10_000),
    }
}

/// Ready upstream of the service `s`.
pub fn upstream(name: &str, dc: &str) -> model::Upstream {
    model::Upstream {
        name: name.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        dc: dc.into(),
        state: model::UpstreamState::Ready,
        preemptible: false,
        started_at: 1,
        cold_left: clock::Millis::ZERO,
        slots: 8,
    }
}
