//! A store, a platform and a dialect in memory, and hosts on them, in time that tests move.

#![allow(dead_code, unreachable_pub)]

pub mod store;

use std::cell;
use std::collections;
use std::rc;

use base::{clock, finding, name};
use router::{budget, fleet, host, leader, model, ports};
use smallvec::smallvec;
use tokio::{task, time};

pub use store::{Mood, Store};

/// The store of all hosts of a test.
#[derive(Default)]
pub struct World {
    items: cell::RefCell<collections::BTreeMap<String, (ports::Item, u64)>>,
    events: cell::RefCell<Vec<(u64, ports::Event)>>,
    revision: cell::Cell<u64>,
    oldest: cell::Cell<u64>,
    leases: cell::RefCell<collections::HashMap<u64, (clock::Millis, clock::Millis)>>,
    held: cell::Cell<bool>,
    pub clock: clock::Clock,
    /// Whether each second call to the platform takes a while to arrive.
    pub flight: cell::Cell<clock::Millis>,
    sent: cell::Cell<u64>,
    /// Calls to the platform: when they arrived, by whom, with which token.
    pub calls: cell::RefCell<Vec<(clock::Millis, String, u64)>>,
}

impl World {
    pub fn new() -> rc::Rc<Self> {
        let world = rc::Rc::new(Self {
            clock: clock::Clock::manual(),
            ..Self::default()
        });
        let ticking = world.clone();
        task::spawn_local(async move {
            loop {
                time::sleep(time::Duration::from_millis(5)).await;
                ticking.clock.advance(clock::Millis(5));
                ticking.expire();
            }
        });
        world
    }

    fn next(&self) -> u64 {
        self.revision.set(self.revision.get() + 1);
        self.revision.get()
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, value.as_bytes(), 0, self.next());
    }

    fn write(&self, key: &str, value: &[u8], lease: u64, revision: u64) {
        let mut items = self.items.borrow_mut();
        let created = items.get(key).map_or(revision, |(i, _)| i.created);
        let item = ports::Item {
            key: key.to_owned(),
            value: value.to_vec(),
            revision,
            created,
        };
        items.insert(key.to_owned(), (item.clone(), lease));
        let event = ports::Event::Put(item);
        self.events.borrow_mut().push((revision, event));
    }

    pub fn remove(&self, key: &str) {
        if self.items.borrow_mut().remove(key).is_some() {
            let event = ports::Event::Removed(key.to_owned());
            let revision = self.next();
            self.events.borrow_mut().push((revision, event));
        }
    }

    /// Forgets the history, as after a compaction.
    pub fn compact(&self) {
        self.oldest.set(self.revision.get() + 1);
        self.events.borrow_mut().clear();
    }

    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.items.borrow().get(key).map(|(i, _)| i.value.clone())
    }

    fn since(&self, prefix: &str, after: u64) -> Vec<ports::Event> {
        let key = |e: &ports::Event| match e {
            ports::Event::Put(i) => i.key.clone(),
            ports::Event::Removed(k) => k.clone(),
        };
        let events = self.events.borrow();
        let events = events
            .iter()
            .filter(|(r, e)| *r > after && key(e).starts_with(prefix));
        events.map(|(_, e)| e.clone()).collect()
    }

    /// Whether leases stand still, as some stores' do in an outage.
    pub fn hold_leases(&self, held: bool) {
        self.held.set(held);
    }

    fn expire(&self) {
        if self.held.get() {
            return;
        }
        let now = self.clock.now();
        let over: Vec<u64> = self
            .leases
            .borrow()
            .iter()
            .filter(|(_, (end, _))| now >= *end)
            .map(|(l, _)| *l)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) {
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

/// The platform as one host sees it: notes who calls.
pub struct Orders {
    world: rc::Rc<World>,
    host: String,
    clock: clock::Clock,
}

impl Orders {
    fn note(&self, term: ports::Term) -> Result<(), ports::OrderError> {
        if self.clock.now() >= term.deadline {
            return Err(ports::OrderError::TermOver);
        }
        let world = self.world.clone();
        let host = self.host.clone();
        world.sent.set(world.sent.get() + 1);
        let flight = world.flight.get().0 * (world.sent.get() % 2);
        task::spawn_local(async move {
            pass(flight).await;
            let call = (world.clock.now(), host, term.token);
            world.calls.borrow_mut().push(call);
        });
        Ok(())
    }
}

impl ports::Orders for Orders {
    fn scale<'a>(
        &'a self,
        term: ports::Term,
        _: &'a ports::Order,
    ) -> ports::Local<'a, Result<(), ports::OrderError>> {
        Box::pin(async move { self.note(term) })
    }

    fn report<'a>(
        &'a self,
        term: ports::Term,
        window: u64,
        counts: &'a ports::Counts,
    ) -> ports::Local<'a, Result<(), ports::OrderError>> {
        Box::pin(async move {
            let key = format!("reported/{window}");
            let text = format!("{counts:?}");
            let old = self
                .world
                .value(&key)
                .unwrap_or_else(|| text.clone().into_bytes());
            assert_eq!(
                String::from_utf8(old).unwrap(),
                text,
                "window {window} differs"
            );
            self.world.put(&key, &text);
            self.note(term)
        })
    }
}

/// Entries as text: a configuration is its version, an upstream `STATE PORT BORN`.
pub struct Dialect;

impl ports::Dialect for Dialect {
    fn ask(&self, _: &http::HeaderMap) -> Result<ports::Ask, &'static str> {
        Ok(ports::Ask::default())
    }

    fn send(&self, _: &mut http::HeaderMap, _: ports::Send<'_>) {}

    fn reply(&self, _: &http::HeaderMap) -> ports::Reply {
        ports::Reply::default()
    }

    fn config_key(&self) -> &str {
        "config"
    }

    fn upstream_prefix(&self) -> &str {
        "up/"
    }

    fn config(&self, bytes: &[u8]) -> Result<model::Config, finding::Findings> {
        let Ok(version) = String::from_utf8_lossy(bytes).parse() else {
            let mut findings = finding::Findings::default();
            findings.add(finding::Place::default(), "not a number", "write a number");
            return Err(findings);
        };
        let limits = model::Limits {
            head: 16_384,
            body: 65_536,
            receive: clock::Millis(3_000),
            idle: clock::Millis(15_000),
        };
        Ok(model::Config::new(
            version,
            Vec::new(),
            Vec::new(),
            limits,
            None,
        ))
    }

    fn upstream(&self, key: &str, bytes: &[u8]) -> Result<model::Upstream, String> {
        let text = String::from_utf8_lossy(bytes);
        let words: Vec<&str> = text.split(' ').collect();
        let [state, port, born] = words[..] else {
            return Err("not three words".to_owned());
        };
        Ok(model::Upstream {
            name: key["up/".len()..].into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], port.parse().map_err(|_| "no port")?).into(),
            dc: "a".into(),
            state: match state {
                "ready" => model::State::Ready,
                "leaving" => model::State::Leaving,
                _ => return Err("no such state".to_owned()),
            },
            cheap: false,
            born: born.parse().map_err(|_| "no start")?,
        })
    }
}

/// A host and how the store answers it.
pub struct Node {
    pub host: rc::Rc<host::Host>,
    pub mood: rc::Rc<cell::Cell<Mood>>,
    pub refused: rc::Rc<cell::Cell<u32>>,
}

impl Node {
    /// Names of the upstreams that take work.
    pub fn ready(&self) -> Vec<String> {
        let fleet = self.host.fleet.borrow();
        let service = name::Service::from("s");
        let ready = fleet.of(&service);
        let ready = ready.filter(|m| m.upstream.state == model::State::Ready);
        let mut names: Vec<String> = ready.map(|m| m.upstream.name.to_string()).collect();
        names.sort();
        names
    }

    pub fn version(&self) -> Option<u64> {
        self.host.current_config().map(|c| c.version)
    }
}

pub fn node(world: &rc::Rc<World>, name: &str, peer: u16) -> Node {
    node_with(world, name, peer, clock::Millis(5_000))
}

/// A host whose usage windows have this length.
pub fn node_with(world: &rc::Rc<World>, name: &str, peer: u16, window: clock::Millis) -> Node {
    let mood = rc::Rc::new(cell::Cell::new(Mood::Well));
    let refused = rc::Rc::new(cell::Cell::new(0));
    let place = fleet::Place {
        dc: "a".into(),
        regions: [("a".into(), "r".into())].into(),
    };
    let any = ([127, 0, 0, 1], 0).into();
    let settings = host::Settings {
        host: name.into(),
        place,
        client_address: any,
        readiness_address: any,
        peer_address: ([127, 0, 0, 1], peer).into(),
        seeds: Vec::new(),
        metrics_address: any,
        budget: budget::Bound {
            ratio: 0.2,
            extra: 50.0,
            window: clock::Millis(10_000),
        },
        timing: host::Timing {
            change_deadline: clock::Millis(2_500),
            shutdown_grace: clock::Millis(8_000),
            platform_lease: clock::Millis(3_000),
            usage_window: window,
            report_deadline: clock::Millis(2 * window.0),
        },
    };
    let around = host::Dependencies {
        dialect: Box::new(Dialect),
        store: Box::new(Store {
            world: world.clone(),
            mood: mood.clone(),
            refused: refused.clone(),
        }),
        orders: Box::new(Orders {
            world: world.clone(),
            host: name.to_owned(),
            clock: world.clock.clone(),
        }),
        clock: world.clock.clone(),
    };
    let host = host::Host::new(settings, around).unwrap();
    Node {
        host: rc::Rc::new(host),
        mood,
        refused,
    }
}

/// Runs a test on one thread in time that passes as fast as nothing is left to do.
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
pub fn run_real<Fut: Future<Output = ()>>(test: impl FnOnce() -> Fut) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let local = task::LocalSet::new();
    local.block_on(&runtime, async { test().await });
}

pub async fn pass(ms: u64) {
    time::sleep(time::Duration::from_millis(ms)).await;
}

/// Tokens never fall, two holders never share one, and nobody acts again within a lease after
/// another one has.
pub fn check(world: &World, lease_ms: u64) {
    let calls = world.calls.borrow();
    let mut holders: collections::HashMap<u64, &str> = collections::HashMap::new();
    let mut last = 0;
    for (i, (at, who, token)) in calls.iter().enumerate() {
        assert!(*token >= last, "token {token} after {last}");
        last = *token;
        let holder = holders.entry(*token).or_insert(who);
        assert_eq!(*holder, who, "token {token} of two holders");
        let since = calls[..i]
            .iter()
            .rev()
            .take_while(|c| at.since(c.0).0 < lease_ms);
        let others: Vec<&str> = since.map(|c| c.1.as_str()).collect();
        let other = others.iter().position(|o| o != who);
        if let Some(other) = other {
            assert!(
                !others[other..].contains(&who.as_str()),
                "{who} acts around another"
            );
        }
    }
}

/// Lets a host take the duties.
pub fn hold(node: &Node) -> task::JoinHandle<()> {
    node.host
        .usage_counter
        .borrow_mut()
        .wall_time(node.host.now(), node.host.clock.unix());
    task::spawn_local(leader::run(node.host.clone(), true))
}

/// A route of streams to the service `s` that may run at two upstreams.
pub fn route() -> model::Route {
    model::Route {
        name: "r".to_owned(),
        host: "h.example".to_owned(),
        prefix: "/".to_owned(),
        kind: model::Kind::Stream,
        resumable: true,
        target: clock::Millis(500),
        gap: None,
        timeout: clock::Millis(8_000),
        tier: 0,
        attempts: 2,
        public: false,
        shares: smallvec![model::Share {
            service: name::Service::from("s"),
            weight: 1,
        }],
    }
}
