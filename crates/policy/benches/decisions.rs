//! One service in one data centre in virtual time: our decisions against simpler ways and against
//! an oracle that knows lengths, speeds and loads.
//!
//! `cargo bench -p jacinth-policy --bench decisions [-- SEEDS]`

use std::collections::{BTreeMap, HashMap, VecDeque};

use base::{clock::Millis, name};
use policy::{ask, dispatch, pool, share};
use rand::{Rng, SeedableRng, rngs::StdRng};

const TICK: u64 = 5;
const END: u64 = 120_000;
const HOSTS: usize = 8;
const TEAMS: usize = 10;
const REPORT_LAG: u64 = 500;
const STOP_LAG: u64 = 15;
const BASE_LOAD: f64 = 0.75;
const BURST: f64 = 4.0;
/// The dispatcher is lost for this long at these times, in the middle of bursts.
const LOST: [u64; 3] = [28_000, 68_000, 108_000];
const LOST_FOR: u64 = 1_500;

/// A class: name, tier, target to the first token, mean tokens, share of the load.
type Class = (&'static str, u8, u64, f64, f64);

/// A workload: name, classes, engines, slots, time between tokens, class that bursts, whether its
/// answers can be continued elsewhere.
struct Load(&'static str, [Class; 3], usize, u32, f64, usize, bool);

const HIMAL: [Class; 3] = [
    ("quote", 0, 800, 200.0, 0.35),
    ("answer", 1, 2_000, 120.0, 0.25),
    ("sheet", 2, 30_000, 500.0, 0.4),
];
const HADDAD: [Class; 3] = [
    ("seeding", 0, 700, 150.0, 0.3),
    ("draw", 1, 1_500, 200.0, 0.3),
    ("club", 2, 20_000, 300.0, 0.4),
];
const LEDGER: [Class; 3] = [
    ("deposit", 0, 1_000, 10.0, 0.4),
    ("list", 1, 2_000, 10.0, 0.4),
    ("export", 2, 20_000, 60.0, 0.2),
];
static LOADS: [Load; 3] = [
    Load("himal drafter", HIMAL, 10, 8, 20.0, 1, true),
    Load("haddad draw-model", HADDAD, 10, 8, 20.0, 0, true),
    Load("ledger", LEDGER, 3, 4, 10.0, 2, false),
];

#[derive(Clone, Default)]
struct Request {
    id: u64,
    class: usize,
    team: usize,
    arrived: u64,
    length: u32,
    held: u32,
    made: u32,
    sent: u64,
    first: Option<u64>,
    refused: Option<u64>,
    whole: bool,
    avoid: Option<usize>,
}

struct Slot {
    id: u64,
    tier: u8,
    prefill: f64,
    progress: f64,
    stop_at: Option<u64>,
}

/// A fake engine: runs up to its slots, the rest wait inside by priority; reports lag.
struct Engine {
    running: Vec<Slot>,
    inside: BTreeMap<(u8, u64), Slot>,
    factor: f64,
    down: bool,
    leaving: bool,
    reports: VecDeque<(u64, usize)>,
}

impl Engine {
    fn load(&self) -> usize {
        self.running.len() + self.inside.len()
    }
}

enum Act {
    Send(u64, usize),
    Refuse(u64),
    Stop(u64),
}

/// A way of deciding.
trait Way {
    fn arrive(&mut self, r: &Request, w: &World, out: &mut Vec<Act>);
    fn ended(&mut self, _: &Request, _: ask::Outcome, _: &World, _: &mut Vec<Act>) {}
    fn tick(&mut self, w: &World, out: &mut Vec<Act>);
}

struct World {
    now: u64,
    load: &'static Load,
    engines: Vec<Engine>,
    requests: HashMap<u64, Request>,
    wasted: u64,
    made: u64,
}

fn upstream(n: usize) -> name::Upstream {
    format!("e{n}").as_str().into()
}

fn engine_of(u: &name::Upstream) -> usize {
    u.as_str()[1..].parse().unwrap_or_default()
}

fn make_ask(r: &Request, w: &World) -> ask::Ask {
    let (class, tier, first, mean, _) = w.load.1[r.class];
    let waited = if r.held > 0 { 0 } else { w.now - r.arrived };
    let first = Millis(first);
    let bound = Millis(8_000);
    let class = class.into();
    let terms = ask::Terms {
        class,
        tier,
        first,
        bound,
        floor: 20,
        evictable: tier > 0,
    };
    ask::Ask {
        ticket: ask::Ticket(r.id << 8 | r.sent),
        team: format!("t{}", r.team).as_str().into(),
        weight: 1,
        terms,
        waited: Millis(waited),
        prompt: 50,
        limit: (mean * 20.0) as u32,
        prefix: 0,
        resumable: w.load.6,
        held: r.held,
        avoid: r.avoid.iter().map(|e| upstream(*e)).collect(),
    }
}

/// Our dispatchers: desk 0 sees all slots; desks 1 to `HOSTS` have a host's share each.
struct Ours {
    desks: Vec<dispatch::Dispatcher>,
    sites: Vec<Vec<pool::Site>>,
    /// Desk and time of the grant, by request.
    grants: HashMap<u64, (usize, u64)>,
    waiting: HashMap<u64, usize>,
    alone: bool,
    loses: bool,
}

impl Ours {
    fn new(load: &Load, alone: bool, loses: bool) -> Self {
        let mut sites = vec![Vec::new(); HOSTS + 1];
        for (desk, list) in sites.iter_mut().enumerate() {
            for n in 0..load.2 {
                let part = share::slots(load.3, HOSTS as u32, ((desk + n) % HOSTS) as u32);
                let slots = if desk == 0 { load.3 } else { part };
                let cheap = n == 2 && load.6;
                list.push(pool::Site {
                    name: upstream(n),
                    slots,
                    price: 1,
                    cheap,
                });
            }
            list.retain(|s| s.slots > 0);
        }
        let desks = sites
            .iter()
            .map(|_| dispatch::Dispatcher::default())
            .collect();
        let grants = HashMap::new();
        Self {
            desks,
            sites,
            grants,
            waiting: HashMap::new(),
            alone,
            loses,
        }
    }

    fn is_lost(&self, now: u64) -> bool {
        self.loses && LOST.iter().any(|t| (*t..t + LOST_FOR).contains(&now))
    }

    fn desk(&self, id: u64, now: u64) -> usize {
        if self.alone || self.is_lost(now) {
            id as usize % HOSTS + 1
        } else {
            0
        }
    }

    fn put(&mut self, id: u64, ask: ask::Ask, w: &World, out: &mut Vec<Act>) {
        let desk = self.desk(id, w.now);
        self.waiting.insert(id, desk);
        let mut decisions = Vec::new();
        self.desks[desk].ask(ask, Millis(w.now), &mut decisions);
        self.carry(desk, decisions, w, out);
    }

    fn carry(&mut self, desk: usize, list: Vec<ask::Decision>, w: &World, out: &mut Vec<Act>) {
        for d in list {
            let id = d.ticket().0 >> 8;
            if !matches!(d, ask::Decision::Preempt(_)) {
                self.waiting.remove(&id);
            }
            out.push(match d {
                ask::Decision::Grant(_, u) => {
                    self.grants.insert(id, (desk, w.now));
                    Act::Send(id, engine_of(&u))
                }
                ask::Decision::Refuse(..) => Act::Refuse(id),
                ask::Decision::Preempt(_) => Act::Stop(id),
            });
        }
    }

    /// The dispatcher is lost, or another takes its place: waiting requests ask again, and the
    /// new one is told what runs.
    fn change_over(&mut self, w: &World, out: &mut Vec<Act>) {
        let now = Millis(w.now);
        let lost = self.is_lost(w.now);
        let waiting = std::mem::take(&mut self.waiting);
        for (id, desk) in &waiting {
            self.desks[*desk].withdraw(make_ask(&w.requests[id], w).ticket);
        }
        if !lost {
            // The next dispatcher is a host whose desk has learnt from others' grants.
            self.desks.swap(0, 1);
            self.desks[1] = dispatch::Dispatcher::default();
            self.desks[0].configure(&self.sites[0], now, &mut Vec::new());
        }
        for (n, e) in w.engines.iter().enumerate() {
            for s in e.running.iter().chain(e.inside.values()) {
                let mut r = w.requests[&s.id].clone();
                r.sent -= 1;
                // Each host counts what it runs against its own share.
                let desk = if lost { s.id as usize % HOSTS + 1 } else { 0 };
                self.desks[desk].adopt(make_ask(&r, w), &upstream(n), now);
                self.grants.entry(s.id).and_modify(|g| g.0 = desk);
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

    fn ended(&mut self, r: &Request, outcome: ask::Outcome, w: &World, out: &mut Vec<Act>) {
        let Some((desk, started)) = self.grants.remove(&r.id) else {
            return;
        };
        let first = Millis(r.first.map_or(0, |f| f.saturating_sub(started)));
        let total = Millis(w.now - started);
        let spent = ask::Spent {
            outcome,
            tokens: r.made,
            first,
            total,
        };
        let ticket = ask::Ticket(r.id << 8 | (r.sent - 1));
        let mut decisions = Vec::new();
        self.desks[desk].done(ticket, &spent, Millis(w.now), &mut decisions);
        self.carry(desk, decisions, w, out);
        // The hosts' own desks learn from what the dispatcher granted.
        if desk == 0 && outcome == ask::Outcome::Whole {
            self.desks[1 + r.id as usize % HOSTS].learn(&make_ask(r, w), &spent);
        }
    }

    fn tick(&mut self, w: &World, out: &mut Vec<Act>) {
        if self.loses && LOST.iter().any(|t| *t == w.now || t + LOST_FOR == w.now) {
            self.change_over(w, out);
        }
        for n in 0..self.desks.len() {
            let mut decisions = Vec::new();
            if w.now.is_multiple_of(500) {
                let mut sites = self.sites[n].clone();
                sites.retain(|s| !w.engines[engine_of(&s.name)].leaving);
                self.desks[n].configure(&sites, Millis(w.now), &mut decisions);
            }
            self.desks[n].tick(Millis(w.now), &mut decisions);
            self.carry(n, decisions, w, out);
        }
    }
}

/// Sends at arrival: in turn, or to the least reported load; nothing is refused.
struct AtOnce {
    turn: usize,
    least: bool,
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
struct OneQueue {
    waiting: Vec<u64>,
    oracle: bool,
    served: HashMap<(u8, usize), f64>,
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

impl World {
    fn new(load: &'static Load) -> Self {
        let engine = |_| Engine {
            running: Vec::new(),
            inside: BTreeMap::new(),
            factor: 1.0,
            down: false,
            leaving: false,
            reports: VecDeque::new(),
        };
        let engines = (0..load.2).map(engine).collect();
        Self {
            now: 0,
            load,
            engines,
            requests: HashMap::new(),
            wasted: 0,
            made: 0,
        }
    }

    /// A straggler, a crash, and an eviction with three seconds' notice.
    fn faults(&mut self) {
        let t = self.now;
        self.engines[0].factor = if (30_000..50_000).contains(&t) {
            5.0
        } else {
            1.0
        };
        self.engines[1].down = (60_000..70_000).contains(&t);
        self.engines[2].leaving = (77_000..100_000).contains(&t);
        self.engines[2].down = (80_000..100_000).contains(&t);
    }

    fn apply(&mut self, acts: Vec<Act>) {
        let now = self.now;
        for act in acts {
            match act {
                Act::Send(id, e) => self.send(id, e),
                Act::Refuse(id) => {
                    self.requests
                        .entry(id)
                        .and_modify(|r| r.refused = Some(now));
                }
                Act::Stop(id) => {
                    let all = self.engines.iter_mut().flat_map(|e| &mut e.running);
                    for s in all.filter(|s| s.id == id) {
                        s.stop_at.get_or_insert(now + STOP_LAG);
                    }
                }
            }
        }
    }

    fn send(&mut self, id: u64, e: usize) {
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        r.sent += 1;
        r.made = 0;
        let tier = self.load.1[r.class].1;
        // A continued answer is prefilled again with what is held.
        let prefill = 40.0 + 0.2 * f64::from(50 + r.held);
        let slot = Slot {
            id,
            tier,
            prefill,
            progress: 0.0,
            stop_at: None,
        };
        self.engines[e]
            .inside
            .insert((tier, r.arrived * 1_000 + id % 1_000), slot);
    }

    /// Runs every engine for a tick; what ended, how and where.
    fn run(&mut self) -> Vec<(u64, usize, ask::Outcome)> {
        let mut ended = Vec::new();
        let (now, slots) = (self.now, self.load.3 as usize);
        for (n, e) in self.engines.iter_mut().enumerate() {
            if e.down {
                let inside = std::mem::take(&mut e.inside).into_values();
                let lost = e.running.drain(..).chain(inside);
                ended.extend(lost.map(|s| (s.id, n, ask::Outcome::Failed)));
            }
            while e.running.len() < slots
                && let Some((_, slot)) = e.inside.pop_first()
            {
                e.running.push(slot);
            }
            let crowd = 1.0 + 0.3 * e.running.len() as f64 / slots as f64;
            let speed = TICK as f64 / (e.factor * crowd / 1.15);
            e.running.retain_mut(|s| {
                let Some(r) = self.requests.get_mut(&s.id) else {
                    return false;
                };
                s.progress += speed;
                let due = ((s.progress - s.prefill) / self.load.4).max(0.0) as u32;
                let new = due.min(r.length - r.held).saturating_sub(r.made);
                r.made += new;
                self.made += u64::from(new);
                if r.made > 0 {
                    r.first.get_or_insert(now);
                }
                let outcome = match (r.made + r.held >= r.length, s.stop_at) {
                    (true, _) => ask::Outcome::Whole,
                    (false, Some(at)) if at <= now => ask::Outcome::Stopped,
                    _ => return true,
                };
                ended.push((s.id, n, outcome));
                false
            });
            if now.is_multiple_of(100) {
                e.reports.push_back((now, e.load()));
            }
            while e.reports.len() > 1 && e.reports[1].0 + REPORT_LAG <= now {
                e.reports.pop_front();
            }
        }
        ended
    }

    fn settle(&mut self, way: &mut dyn Way, id: u64, engine: usize, outcome: ask::Outcome) {
        let mut acts = Vec::new();
        way.ended(&self.requests[&id].clone(), outcome, self, &mut acts);
        self.apply(std::mem::take(&mut acts));
        let Some(r) = self.requests.get_mut(&id) else {
            return;
        };
        if outcome == ask::Outcome::Whole {
            r.whole = true;
        } else if self.load.6 {
            r.held += std::mem::take(&mut r.made);
            r.avoid = (outcome == ask::Outcome::Failed).then_some(engine);
            self.wasted += u64::from(r.held) / 20;
            way.arrive(&r.clone(), self, &mut acts);
            self.apply(acts);
        } else {
            self.wasted += u64::from(r.made);
        }
    }
}

fn arrivals(load: &'static Load, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out = Vec::new();
    let capacity = load.2 as f64 * f64::from(load.3) / load.4;
    for arrived in (0..END).step_by(TICK as usize) {
        for (class, (_, _, _, mean, part)) in load.1.iter().enumerate() {
            let burst = (25_001..35_000).contains(&(arrived % 40_000)) && class == load.5;
            let rate = capacity * BASE_LOAD * part / mean * if burst { BURST } else { 1.0 };
            if rng.random::<f64>() >= rate * TICK as f64 {
                continue;
            }
            // Team 0 sends most of a burst.
            let large = burst && rng.random::<f64>() < 0.6;
            let team = if large { 0 } else { rng.random_range(0..TEAMS) };
            let spread: f64 = -rng.random::<f64>().max(1e-9).ln();
            let length = (mean * spread).clamp(2.0, mean * 8.0) as u32;
            let id = out.len() as u64 + 1;
            out.push(Request {
                id,
                class,
                team,
                arrived,
                length,
                ..Request::default()
            });
        }
    }
    out
}

/// Attained by class, good tokens a second, wasted share, worst team, median time to a refusal.
fn score(w: &World) -> [f64; 7] {
    let mut out = [0.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0];
    let mut lost = w.wasted;
    let mut told: Vec<u64> = Vec::new();
    for (class, (_, _, target, ..)) in w.load.1.iter().enumerate() {
        let (mut all, mut met) = (0.0, 0.0);
        let mut teams = [(0.0, 0.0); TEAMS];
        for r in w.requests.values().filter(|r| r.class == class) {
            all += 1.0;
            told.extend(r.refused.map(|t| t - r.arrived));
            teams[r.team].0 += f64::from(r.length);
            if r.whole && r.first.is_some_and(|f| f - r.arrived <= *target) {
                met += 1.0;
                out[3] += f64::from(r.length) / (END as f64 / 1_000.0);
                teams[r.team].1 += f64::from(r.length);
            } else {
                lost += u64::from(r.held + r.made);
            }
        }
        out[class] = 100.0 * met / all;
        out[5] = worst_share(teams).min(out[5]);
    }
    out[4] = 100.0 * lost as f64 / w.made.max(1) as f64;
    told.sort_unstable();
    out[6] = told.get(told.len() / 2).copied().unwrap_or_default() as f64;
    out
}

/// The least that a team got of its max-min fair share of what its class was served.
fn worst_share(mut teams: [(f64, f64); TEAMS]) -> f64 {
    let mut left: f64 = teams.iter().map(|t| t.1).sum();
    teams.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut worst: f64 = 1.0;
    for (n, (demand, served)) in teams.into_iter().enumerate() {
        let due = demand.min(left / (TEAMS - n) as f64);
        left -= due;
        if due > 0.0 {
            worst = worst.min(served / due);
        }
    }
    worst
}

fn play(load: &'static Load, way: &mut dyn Way, seed: u64) -> [f64; 7] {
    let mut w = World::new(load);
    let mut arriving = arrivals(load, seed).into_iter().peekable();
    while w.now < END + 30_000 {
        w.faults();
        let mut acts = Vec::new();
        while let Some(r) = arriving.next_if(|r| r.arrived <= w.now) {
            w.requests.insert(r.id, r.clone());
            way.arrive(&r, &w, &mut acts);
            w.apply(std::mem::take(&mut acts));
        }
        for (id, engine, outcome) in w.run() {
            w.settle(way, id, engine, outcome);
        }
        way.tick(&w, &mut acts);
        w.apply(acts);
        w.now += TICK;
    }
    score(&w)
}

/// Makes a way for a load.
type Make = fn(&Load) -> Box<dyn Way>;

fn queue(oracle: bool) -> Box<dyn Way> {
    Box::new(OneQueue {
        waiting: Vec::new(),
        oracle,
        served: HashMap::new(),
    })
}

fn main() {
    let seeds = std::env::args()
        .filter_map(|a| a.parse().ok())
        .next()
        .unwrap_or(5u64);
    let ways: [(&str, Make); 7] = [
        ("oracle", |_| queue(true)),
        ("ours, one dispatcher", |l| {
            Box::new(Ours::new(l, false, false))
        }),
        ("ours, dispatcher lost", |l| {
            Box::new(Ours::new(l, false, true))
        }),
        ("ours, hosts alone", |l| Box::new(Ours::new(l, true, false))),
        ("first come", |_| queue(false)),
        ("round robin", |_| {
            Box::new(AtOnce {
                turn: 0,
                least: false,
            })
        }),
        ("least reported load", |_| {
            Box::new(AtOnce {
                turn: 0,
                least: true,
            })
        }),
    ];
    for load in &LOADS {
        let [a, b, c] = load.1.map(|c| c.0);
        println!(
            "\n{}: {} workers of {} slots, {seeds} seeds",
            load.0, load.2, load.3
        );
        print!("{:<22}{a:>9}{b:>9}{c:>9}", "way");
        println!(
            "{:>12}{:>8}{:>8}{:>9}",
            "good tok/s", "wasted", "worst", "told ms"
        );
        for (name, make) in ways {
            let mut mean = [0.0; 7];
            for seed in 1..=seeds {
                let scores = play(load, &mut *make(load), seed);
                mean.iter_mut()
                    .zip(scores)
                    .for_each(|(m, s)| *m += s / seeds as f64);
            }
            let [a, b, c, good, wasted, worst, told] = mean;
            print!("{name:<22}{a:>8.1}%{b:>8.1}%{c:>8.1}%");
            println!("{good:>12.0}{wasted:>7.1}%{worst:>8.2}{told:>9.0}");
        }
    }
}
