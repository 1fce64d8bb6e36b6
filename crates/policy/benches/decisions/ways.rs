//! Ways of deciding: ours, simpler ones, and an oracle.

use std::collections::{BTreeMap, HashMap};

use base::{clock::Millis, name};
use policy::{dispatch, pool, request, share};

use crate::engine::{Act, Slot, World};
use crate::load::{Load, Request};

pub(crate) const HOSTS: usize = 8;
/// The dispatcher is lost for this long at these times, in the middle of bursts.
pub(crate) const LOST: [u64; 3] = [28_000, 68_000, 108_000];
pub(crate) const LOST_FOR: u64 = 1_500;

/// A way of deciding.
pub(crate) trait Way {
    fn arrive(&mut self, r: &Request, w: &World, out: &mut Vec<Act>);
    fn ended(&mut self, _: &Request, _: request::Outcome, _: &World, _: &mut Vec<Act>) {}
    fn tick(&mut self, w: &World, out: &mut Vec<Act>);
}

fn upstream(n: usize) -> name::Upstream {
    format!("e{n}").as_str().into()
}

fn engine_of(u: &name::Upstream) -> usize {
    u.as_str()[1..].parse().unwrap_or_default()
}

fn make_ask(r: &Request, w: &World) -> request::SlotRequest {
    let (class, tier, first, mean, _) = w.load.1[r.class];
    let waited = if r.held > 0 { 0 } else { w.now - r.arrived };
    let first = Millis(first);
    let bound = Millis(8_000);
    let class = class.into();
    let terms = request::ClassSettings {
        name: class,
        tier,
        ttft_target: first,
        max_wait: bound,
        min_share: 20,
        evictable: tier > 0,
    };
    request::SlotRequest {
        ticket: request::Ticket(r.id << 8 | r.sent),
        team: format!("t{}", r.team).as_str().into(),
        weight: 1,
        class: terms,
        waited: Millis(waited),
        prompt_tokens: 50,
        max_tokens: (mean * 20.0) as u32,
        prefix_hash: 0,
        resumable: w.load.6,
        received_tokens: r.held,
        excluded: r.avoid.iter().map(|e| upstream(*e)).collect(),
    }
}

/// Our dispatchers: dispatcher 0 sees all slots; dispatchers 1 to `HOSTS` have a host's share each.
pub(crate) struct Ours {
    dispatchers: Vec<dispatch::Dispatcher>,
    sites: Vec<Vec<pool::UpstreamConfig>>,
    /// Local and time of the grant, by request.
    grants: HashMap<u64, (usize, u64)>,
    waiting: BTreeMap<u64, usize>,
    alone: bool,
    loses: bool,
}

impl Ours {
    pub(crate) fn new(load: &Load, alone: bool, loses: bool) -> Self {
        let mut sites = vec![Vec::new(); HOSTS + 1];
        for (dispatcher, list) in sites.iter_mut().enumerate() {
            for n in 0..load.2 {
                let part =
                    share::host_slots(load.3, HOSTS as u32, ((dispatcher + n) % HOSTS) as u32);
                let slots = if dispatcher == 0 { load.3 } else { part };
                let cheap = n == 2 && load.6;
                list.push(pool::UpstreamConfig {
                    name: upstream(n),
                    slots,
                    price: 1,
                    preemptible: cheap,
                });
            }
            list.retain(|s| s.slots > 0);
        }
        let dispatchers = sites
            .iter()
            .map(|_| dispatch::Dispatcher::default())
            .collect();
        let grants = HashMap::new();
        Self {
            dispatchers,
            sites,
            grants,
            waiting: BTreeMap::new(),
            alone,
            loses,
        }
    }

    fn is_lost(&self, now: u64) -> bool {
        self.loses && LOST.iter().any(|t| (*t..t + LOST_FOR).contains(&now))
    }

    fn dispatcher(&self, id: u64, now: u64) -> usize {
        if self.alone || self.is_lost(now) {
            id as usize % HOSTS + 1
        } else {
            0
        }
    }

    fn put(&mut self, id: u64, ask: request::SlotRequest, w: &World, out: &mut Vec<Act>) {
        let dispatcher = self.dispatcher(id, w.now);
        self.waiting.insert(id, dispatcher);
        let mut decisions = Vec::new();
        self.dispatchers[dispatcher].submit(ask, Millis(w.now), &mut decisions);
        self.carry(dispatcher, decisions, w, out);
    }

    fn carry(
        &mut self,
        dispatcher: usize,
        list: Vec<request::Decision>,
        w: &World,
        out: &mut Vec<Act>,
    ) {
        for d in list {
            let id = d.ticket().0 >> 8;
            if !matches!(d, request::Decision::Preempt(_)) {
                self.waiting.remove(&id);
            }
            out.push(match d {
                request::Decision::Grant(_, u) => {
                    self.grants.insert(id, (dispatcher, w.now));
                    Act::Send(id, engine_of(&u))
                }
                request::Decision::Refuse(..) => Act::Refuse(id),
                request::Decision::Preempt(_) => Act::Stop(id),
            });
        }
    }

    /// The dispatcher is lost, or another takes its place: waiting requests ask again, and the
    /// new one is told what runs.
    fn change_over(&mut self, w: &World, out: &mut Vec<Act>) {
        let now = Millis(w.now);
        let lost = self.is_lost(w.now);
        let waiting = std::mem::take(&mut self.waiting);
        for (id, dispatcher) in &waiting {
            self.dispatchers[*dispatcher].cancel(make_ask(&w.requests[id], w).ticket);
        }
        if !lost {
            // The next dispatcher is a host whose dispatcher has learnt from others' grants.
            self.dispatchers.swap(0, 1);
            self.dispatchers[1] = dispatch::Dispatcher::default();
            self.dispatchers[0].configure(&self.sites[0], now, &mut Vec::new());
        }
        for (n, e) in w.engines.iter().enumerate() {
            for s in e.running.iter().chain(e.inside.values()) {
                let mut r = w.requests[&s.id].clone();
                r.sent -= 1;
                // Each host counts what it runs against its own share.
                let dispatcher = if lost { s.id as usize % HOSTS + 1 } else { 0 };
                self.dispatchers[dispatcher].adopt(make_ask(&r, w), &upstream(n), now);
                self.grants.entry(s.id).and_modify(|g| g.0 = dispatcher);
            }
        }
        for id in waiting.into_keys() {
            self.put(id, make_ask(&w.requests[&id], w), w, out);
        }
    }
}

impl Way for Ours {
    fn arrive(&mut self, r: &Request, w: &World, out: &mut Vec<Act>) {
        self.put(r.id, make_ask(r, w), w, out);
    }

    fn ended(&mut self, r: &Request, outcome: request::Outcome, w: &World, out: &mut Vec<Act>) {
        let Some((dispatcher, started)) = self.grants.remove(&r.id) else {
            return;
        };
        let first = Millis(r.first.map_or(0, |f| f.saturating_sub(started)));
        let total = Millis(w.now - started);
        let spent = request::RunStats {
            outcome,
            tokens: r.made,
            ttft: first,
            total,
        };
        let ticket = request::Ticket(r.id << 8 | (r.sent - 1));
        let mut decisions = Vec::new();
        self.dispatchers[dispatcher].finish(ticket, &spent, Millis(w.now), &mut decisions);
        self.carry(dispatcher, decisions, w, out);
        // The hosts' own dispatchers learn from what the dispatcher granted.
        if dispatcher == 0 && outcome == request::Outcome::Completed {
            self.dispatchers[1 + r.id as usize % HOSTS].observe(&make_ask(r, w), &spent);
        }
    }

    fn tick(&mut self, w: &World, out: &mut Vec<Act>) {
        if self.loses && LOST.iter().any(|t| *t == w.now || t + LOST_FOR == w.now) {
            self.change_over(w, out);
        }
        for n in 0..self.dispatchers.len() {
            let mut decisions = Vec::new();
            if w.now.is_multiple_of(500) {
                let mut sites = self.sites[n].clone();
                sites.retain(|s| !w.engines[engine_of(&s.name)].leaving);
                self.dispatchers[n].configure(&sites, Millis(w.now), &mut decisions);
            }
            self.dispatchers[n].tick(Millis(w.now), &mut decisions);
            self.carry(n, decisions, w, out);
        }
    }
}

/// Sends at arrival: in turn, or to the least reported load; nothing is refused.
pub(crate) struct AtOnce {
    pub(crate) turn: usize,
    pub(crate) least: bool,
}

impl Way for AtOnce {
    fn arrive(&mut self, r: &Request, w: &World, out: &mut Vec<Act>) {
        let mut usable: Vec<usize> = (0..w.engines.len()).collect();
        usable.retain(|e| !w.engines[*e].leaving && r.avoid != Some(*e));
        self.turn += 1;
        let turn = self.turn % usable.len();
        usable.rotate_left(turn);
        let reported = |e: &&usize| w.engines[**e].reports.front().map_or(0, |x| x.1);
        let least = usable.iter().min_by_key(reported);
        let chosen = if self.least { least } else { usable.first() };
        out.extend(chosen.map(|e| Act::Send(r.id, *e)));
    }

    fn tick(&mut self, _: &World, _: &mut Vec<Act>) {}
}

/// One queue: first come first served, or the oracle's order with full knowledge.
pub(crate) struct OneQueue {
    pub(crate) waiting: Vec<u64>,
    pub(crate) oracle: bool,
    pub(crate) served: HashMap<(u8, usize), f64>,
}

impl OneQueue {
    fn pull(&mut self, w: &World, out: &mut Vec<Act>) {
        let mut free: Vec<(usize, usize)> = Vec::new();
        for (n, e) in w.engines.iter().enumerate() {
            let bad = e.leaving || self.oracle && (e.down || e.factor > 1.5);
            let room = (w.load.3 as usize).saturating_sub(e.load());
            if !bad && room > 0 {
                free.push((n, room));
            }
        }
        while !self.waiting.is_empty() && !free.is_empty() {
            let best = if self.oracle { self.best(w) } else { 0 };
            let r = &w.requests[&self.waiting.remove(best)];
            let rank = |f: &usize| (r.avoid != Some(free[*f].0), free[*f].1);
            let Some(at) = (0..free.len()).max_by_key(rank) else {
                return;
            };
            let tier = w.load.1[r.class].1;
            *self.served.entry((tier, r.team)).or_default() += f64::from(r.length - r.held);
            out.push(Act::Send(r.id, free[at].0));
            free[at].1 -= 1;
            free.retain(|f| f.1 > 0);
        }
    }

    /// The highest tier, then a continued answer, then the team with the least service.
    fn best(&self, w: &World) -> usize {
        let rank = |at: &usize| {
            let r = &w.requests[&self.waiting[*at]];
            let tier = w.load.1[r.class].1;
            let served = self
                .served
                .get(&(tier, r.team))
                .copied()
                .unwrap_or_default();
            (tier, r.held == 0, served as u64, r.arrived)
        };
        (0..self.waiting.len()).min_by_key(rank).unwrap_or_default()
    }

    /// Refuses what can't start in time and stops lower tiers for what otherwise could not.
    fn foresee(&mut self, w: &World, out: &mut Vec<Act>) {
        let running: Vec<&Slot> = w.engines.iter().flat_map(|e| &e.running).collect();
        let mut stopping = running.iter().filter(|s| s.stop_at.is_some()).count();
        self.waiting
            .sort_by_key(|id| w.load.1[w.requests[id].class].1);
        self.waiting.retain(|id| {
            let r = &w.requests[id];
            let (_, tier, first, ..) = w.load.1[r.class];
            let left = (r.arrived + first).saturating_sub(w.now + 80);
            if r.held > 0 || left >= 100 {
                return true;
            }
            if left == 0 {
                out.push(Act::Refuse(*id));
            } else if stopping > 0 {
                stopping -= 1;
            } else if w.load.6 {
                let lower = running
                    .iter()
                    .filter(|s| s.tier > tier && s.stop_at.is_none());
                out.extend(lower.max_by_key(|s| s.tier).map(|v| Act::Stop(v.id)));
            }
            left > 0
        });
    }
}

impl Way for OneQueue {
    fn arrive(&mut self, r: &Request, w: &World, out: &mut Vec<Act>) {
        self.waiting.push(r.id);
        self.pull(w, out);
    }

    fn tick(&mut self, w: &World, out: &mut Vec<Act>) {
        if self.oracle {
            self.foresee(w, out);
        }
        self.pull(w, out);
    }
}
