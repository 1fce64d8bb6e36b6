//! The upstreams as this host knows them, and the choice among them.
//!
//! Shared parts of prompts go to the upstream that rendezvous hashing names, so that hosts agree
//! without talking; load, slowness and distance move a request away from it.

use std::collections;

use base::{clock, hash, name};
use smallvec::SmallVec;

use crate::{band, delay, model, ports};

/// Tokens of a prompt that an engine reads in a millisecond.
const READ_TOKENS_PER_MS: f64 = 112.0;
/// Time to the first event besides reading, in milliseconds.
const FIRST_MS: f64 = 50.0;
/// Weight of a request's own reading against waiting: it takes the engine's time from others.
const OWN_READING: f64 = 2.0;
/// Time that one running request adds to a request's first token, in milliseconds.
const RUNNING_MS: f64 = 1.0;
/// Time that one request in a plain service's slots adds, in milliseconds.
const PLAIN_MS: f64 = 20.0;
/// Cost of another data centre in the same region, in milliseconds.
const NEAR_MS: f64 = 6.0;
/// Cost of another region, in milliseconds.
const FAR_MS: f64 = 60.0;
/// How long a load report counts.
const LOAD_LIFE: clock::Millis = clock::Millis(1_500);
/// How long a shared part is taken to be kept by the upstream that read it.
const WARM_LIFE: clock::Millis = clock::Millis(20_000);
/// Shared parts remembered.
const MAX_WARM: usize = 4_096;
/// Failures in a row that set an upstream aside.
const TRIP: u32 = 2;
/// First time for which a failing upstream is set aside.
const FIRST_PAUSE: clock::Millis = clock::Millis(400);
/// Longest time for which a failing upstream is set aside.
const MAX_PAUSE: clock::Millis = clock::Millis(3_000);
/// Weight of the newest outcome in the rate of failures, as one part in this many.
const FAILURE_SMOOTHING: f64 = 10.0;
/// Cost of an upstream that fails every request, in milliseconds.
const FAILING_MS: f64 = 2_000.0;

/// One upstream with what was learnt of it.
#[derive(Debug)]
pub struct Member {
    /// As listed.
    pub upstream: model::Upstream,
    /// Requests that this host has there.
    pub busy: u32,
    /// Tokens that this host has sent there and that are not read yet.
    pub unread: u64,
    load: Option<([u32; 3], clock::Millis)>,
    failures: u32,
    failing: f64,
    pause: clock::Millis,
    until: clock::Millis,
    delay: delay::Delay,
    missing: u64,
    band: band::Band,
    heard: clock::Millis,
}

impl Member {
    fn new(upstream: model::Upstream) -> Self {
        Self {
            upstream,
            busy: 0,
            unread: 0,
            load: None,
            failures: 0,
            failing: 0.0,
            pause: clock::Millis::ZERO,
            until: clock::Millis::ZERO,
            delay: delay::Delay::default(),
            missing: 0,
            band: band::Band::Other,
            heard: clock::Millis::ZERO,
        }
    }

    fn running(&self, now: clock::Millis) -> f64 {
        let told = match self.load {
            Some(([running, waiting, _], at)) if now.since(at) < LOAD_LIFE => running + waiting,
            _ => 0,
        };
        f64::from(told.max(self.busy))
    }
}

/// What a request asks of an upstream.
#[derive(Clone, Debug)]
pub struct Wish<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// The parts of its prompt.
    pub parts: &'a [ports::Part],
    /// Tokens of its prompt.
    pub prompt: u32,
    /// Which engines it has first claim on.
    pub band: band::Band,
    /// Upstreams that it has been at.
    pub avoid: &'a [name::Upstream],
}

impl Wish<'_> {
    /// The last part that others share, and the tokens up to its end.
    fn shared(&self) -> Option<(u64, u64)> {
        let (_, shared) = self.parts.split_last()?;
        let last = shared.last()?;
        Some((last.id, shared.iter().map(|p| u64::from(p.tokens)).sum()))
    }
}

/// The choice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The upstream.
    pub name: name::Upstream,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Tokens that it is expected to read.
    pub unread: u64,
    /// Time to the first event at an engine without other work.
    pub expected: clock::Millis,
    /// The same at this one, as slow as it is taken to be now.
    pub likely: clock::Millis,
    /// What decided.
    pub reasons: Reasons,
}

/// What decided a choice, for the logs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Reasons {
    /// Upstreams that could be chosen.
    pub usable: u32,
    /// Whether it keeps the prompt's shared part, as far as known.
    pub kept: bool,
    /// Requests that this host had there.
    pub busy: u32,
    /// Running and waiting requests that it last reported.
    pub told: u32,
    /// How old that report is, in milliseconds.
    pub told_age: u64,
    /// The cost that was least, in milliseconds.
    pub cost: u64,
    /// The streams that have first claim on it.
    pub band: band::Band,
}

/// Where this host stands.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its data centre.
    pub dc: name::Dc,
    /// The region of each data centre.
    pub regions: collections::HashMap<name::Dc, name::Region>,
}

impl Place {
    fn distance(&self, dc: &name::Dc) -> f64 {
        if *dc == self.dc {
            return 0.0;
        }
        if self.regions.get(dc) == self.regions.get(&self.dc) {
            return NEAR_MS;
        }
        FAR_MS
    }
}

/// The upstreams of one service.
#[derive(Debug, Default)]
struct Pool {
    names: Vec<name::Upstream>,
    /// How slow those of each band are on the whole.
    usual: delay::Usual,
}

/// All upstreams.
#[derive(Debug)]
pub struct Fleet {
    place: Place,
    members: collections::HashMap<name::Upstream, Member>,
    services: collections::HashMap<name::Service, Pool>,
    warm: collections::HashMap<u64, SmallVec<[(u64, clock::Millis); 2]>>,
    misses: u64,
}

impl Fleet {
    /// No upstreams yet.
    pub fn new(place: Place) -> Self {
        Self {
            place,
            members: collections::HashMap::new(),
            services: collections::HashMap::new(),
            warm: collections::HashMap::new(),
            misses: 0,
        }
    }

    /// Takes an upstream as listed now; returns whether anything but its load changed.
    pub fn put(&mut self, upstream: model::Upstream) -> bool {
        let name = upstream.name.clone();
        if let Some(m) = self.members.get_mut(&name) {
            let same = m.upstream.born == upstream.born
                && m.upstream.address == upstream.address
                && m.upstream.service == upstream.service;
            if same {
                let changed = m.upstream.state != upstream.state;
                let service = upstream.service.clone();
                m.upstream = upstream;
                m.missing = 0;
                if changed {
                    self.divide(&service);
                }
                return changed;
            }
            self.remove(&name);
        }
        let pool = self.services.entry(upstream.service.clone()).or_default();
        pool.names.push(name.clone());
        let service = upstream.service.clone();
        self.members.insert(name, Member::new(upstream));
        self.divide(&service);
        true
    }

    /// Forgets an upstream that is gone; returns where it listened.
    pub fn remove(&mut self, name: &name::Upstream) -> Option<std::net::SocketAddr> {
        let member = self.members.remove(name)?;
        if let Some(pool) = self.services.get_mut(&member.upstream.service) {
            pool.names.retain(|n| n != name);
        }
        self.divide(&member.upstream.service);
        Some(member.upstream.address)
    }

    /// Divides the engines into bands: the same at every host, and over the data centres.
    fn divide(&mut self, service: &name::Service) {
        let mut ranked: Vec<(u64, name::Dc, name::Upstream)> = self
            .of(service)
            .filter(|m| m.upstream.state == model::State::Ready)
            .map(|m| (name_hash(m), m.upstream.dc.clone(), m.upstream.name.clone()))
            .collect();
        ranked.sort_unstable();
        for (name, band) in band::divide(ranked) {
            if let Some(m) = self.members.get_mut(&name) {
                m.band = band;
            }
        }
    }

    /// Notes that an upstream's entry is gone; returns the number of this miss.
    pub fn miss(&mut self, name: &name::Upstream) -> u64 {
        self.misses += 1;
        if let Some(m) = self.members.get_mut(name) {
            m.missing = self.misses;
        }
        self.misses
    }

    /// Whether an upstream's entry is gone since this miss.
    pub fn is_missing(&self, name: &name::Upstream, miss: u64) -> bool {
        self.members.get(name).is_some_and(|m| m.missing == miss)
    }

    /// The names of all upstreams.
    pub fn names(&self) -> Vec<name::Upstream> {
        self.members.keys().cloned().collect()
    }

    /// The upstreams of a service.
    pub fn of<'a>(&'a self, service: &name::Service) -> impl Iterator<Item = &'a Member> {
        let names = self.services.get(service).map_or(&[][..], |p| &p.names);
        names.iter().filter_map(|n| self.members.get(n))
    }

    /// One upstream.
    pub fn get(&self, name: &name::Upstream) -> Option<&Member> {
        self.members.get(name)
    }

    /// The best upstream for a request.
    pub fn choose(&self, wish: &Wish<'_>, now: clock::Millis) -> Option<Pick> {
        let usable = |m: &&Member| {
            m.upstream.state == model::State::Ready && !wish.avoid.contains(&m.upstream.name)
        };
        let shared = wish.shared();
        let home = shared.and_then(|(id, _)| self.home(wish, id));
        let usual = self
            .services
            .get(wish.service)
            .map_or_else(delay::Usual::default, |p| p.usual);
        let mut best: Option<(f64, &Member, u64)> = None;
        let mut usable_count = 0;
        for m in self.of(wish.service).filter(usable) {
            usable_count += 1;
            let unread = self.unread(wish, m, shared, home, now);
            let mut cost = self.cost(wish, m, &usual, unread, now);
            if now < m.until {
                cost += FAILING_MS;
            }
            if best.is_none_or(|(c, _, _)| cost < c) {
                best = Some((cost, m, unread));
            }
        }
        let (cost, m, unread) = best?;
        let (told, told_age) = match m.load {
            Some(([running, waiting, _], at)) => (running + waiting, now.since(at).0),
            None => (0, 0),
        };
        let reasons = Reasons {
            usable: usable_count,
            kept: unread < u64::from(wish.prompt),
            busy: m.busy,
            told,
            told_age,
            cost: cost as u64,
            band: m.band,
        };
        let expected = FIRST_MS + unread as f64 / READ_TOKENS_PER_MS;
        let likely = expected * m.delay.expect(&usual, m.band, now);
        Some(Pick {
            reasons,
            name: m.upstream.name.clone(),
            address: m.upstream.address,
            unread,
            expected: clock::Millis(expected as u64),
            likely: clock::Millis(likely as u64),
        })
    }

    /// The upstream that keeps a shared part, if all hosts see the same ones.
    fn home(&self, wish: &Wish<'_>, part: u64) -> Option<&name::Upstream> {
        let ready = || {
            self.of(wish.service)
                .filter(|m| m.upstream.state == model::State::Ready)
        };
        let weight = |m: &&Member| hash::stable_hash(&(part ^ name_hash(m)).to_le_bytes());
        let own = ready().filter(|m| m.band == wish.band).max_by_key(weight);
        own.or_else(|| ready().max_by_key(weight))
            .map(|m| &m.upstream.name)
    }

    fn unread(
        &self,
        wish: &Wish<'_>,
        m: &Member,
        shared: Option<(u64, u64)>,
        home: Option<&name::Upstream>,
        now: clock::Millis,
    ) -> u64 {
        let prompt = u64::from(wish.prompt);
        let Some((id, tokens)) = shared else {
            return prompt;
        };
        let mark = mark(&m.upstream);
        let warm = self.warm.get(&id).is_some_and(|list| {
            list.iter()
                .any(|(u, at)| *u == mark && now.since(*at) < WARM_LIFE)
        });
        if warm || home == Some(&m.upstream.name) {
            return prompt.saturating_sub(tokens);
        }
        prompt
    }

    fn cost(
        &self,
        wish: &Wish<'_>,
        m: &Member,
        usual: &delay::Usual,
        unread: u64,
        now: clock::Millis,
    ) -> f64 {
        let queue = if wish.parts.is_empty() {
            m.running(now) * PLAIN_MS
        } else {
            let own = unread as f64 * OWN_READING;
            (own + m.unread as f64) / READ_TOKENS_PER_MS + m.running(now) * RUNNING_MS
        };
        let far = self.place.distance(&m.upstream.dc);
        let unlike = if wish.parts.is_empty() {
            0.0
        } else {
            band::unlike(wish.band, m.band, unread)
        };
        queue * m.delay.expect(usual, m.band, now) + far + unlike + m.failing * FAILING_MS
    }

    /// Notes a request sent.
    pub fn begin(&mut self, pick: &Pick, parts: &[ports::Part], now: clock::Millis) {
        let Some(m) = self.members.get_mut(&pick.name) else {
            return;
        };
        m.busy += 1;
        m.unread += pick.unread;
        let mark = mark(&m.upstream);
        let Some((_, shared)) = parts.split_last() else {
            return;
        };
        if self.warm.len() > MAX_WARM {
            self.warm
                .retain(|_, list| list.iter().any(|(_, at)| now.since(*at) < WARM_LIFE));
        }
        for part in shared {
            let list = self.warm.entry(part.id).or_default();
            list.retain(|(u, at)| *u != mark && now.since(*at) < WARM_LIFE);
            list.push((mark, now));
        }
    }

    /// Notes that the prompt was read, or that it won't be.
    pub fn read(&mut self, name: &name::Upstream, unread: u64) {
        if let Some(m) = self.members.get_mut(name) {
            m.unread = m.unread.saturating_sub(unread);
        }
    }

    /// Notes that bytes of an answer came.
    pub fn hear(&mut self, name: &name::Upstream, now: clock::Millis) {
        if let Some(m) = self.members.get_mut(name) {
            m.heard = now;
        }
    }

    /// Whether bytes of any answer came since.
    pub fn is_heard_since(&self, name: &name::Upstream, since: clock::Millis) -> bool {
        self.members.get(name).is_some_and(|m| m.heard > since)
    }

    /// Notes a request ended.
    pub fn end(&mut self, name: &name::Upstream) {
        if let Some(m) = self.members.get_mut(name) {
            m.busy = m.busy.saturating_sub(1);
        }
    }

    /// Notes a load report.
    pub fn report(&mut self, name: &name::Upstream, load: [u32; 3], now: clock::Millis) {
        if let Some(m) = self.members.get_mut(name) {
            m.load = Some((load, now));
        }
    }

    /// Notes an answer, `ratio` times as late as expected.
    pub fn succeed(&mut self, name: &name::Upstream, ratio: f64, now: clock::Millis) {
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        m.failures = 0;
        m.pause = clock::Millis::ZERO;
        m.until = clock::Millis::ZERO;
        m.failing -= m.failing / FAILURE_SMOOTHING;
        let Some(pool) = self.services.get_mut(&m.upstream.service) else {
            return;
        };
        m.delay.note(&mut pool.usual, m.band, ratio, now);
    }

    /// Notes a failure: it is set aside after some in a row, and used less after each.
    pub fn fail(&mut self, name: &name::Upstream, now: clock::Millis) {
        let Some(m) = self.members.get_mut(name) else {
            return;
        };
        m.failures += 1;
        m.failing += (1.0 - m.failing) / FAILURE_SMOOTHING;
        if m.failures < TRIP {
            return;
        }
        let next = clock::Millis(m.pause.0 * 2).max(FIRST_PAUSE);
        m.pause = next.min(MAX_PAUSE);
        m.until = now + m.pause;
    }
}

fn name_hash(m: &Member) -> u64 {
    hash::stable_hash(m.upstream.name.as_str().as_bytes())
}

/// One start of an upstream: a new start keeps nothing.
fn mark(upstream: &model::Upstream) -> u64 {
    hash::stable_hash(upstream.name.as_str().as_bytes()) ^ upstream.born
}
