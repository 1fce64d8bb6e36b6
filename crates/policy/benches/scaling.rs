//! Cost of ordered upstreams against the least that serves, in virtual time: four hours of load
//! with bursts, a start that takes time, cheap upstreams that are reclaimed or not to be had.
//!
//! `cargo bench -p jacinth-policy --bench scaling [-- SEEDS]`

use base::clock;
use policy::scale;
use rand::{Rng, SeedableRng, rngs::StdRng};

const END: u64 = 4 * 3600;
const START_SECS: u64 = 8;
const SLOTS: u32 = 8;
const FIRM_PRICE: u32 = 100;
const CHEAP_PRICE: u32 = 35;
const NOTICE_SECS: u64 = 5;

/// One upstream of the fake platform.
#[derive(Clone)]
struct Machine {
    site: scale::UpstreamState,
    ready_at: Option<u64>,
}

fn machines() -> Vec<Machine> {
    let machine = |n: u32, cheap: bool| Machine {
        site: scale::UpstreamState {
            name: format!("{}{n}", if cheap { "cheap" } else { "firm" })
                .as_str()
                .into(),
            slots: SLOTS,
            price: if cheap { CHEAP_PRICE } else { FIRM_PRICE },
            preemptible: cheap,
            managed: true,
            running: false,
        },
        ready_at: None,
    };
    let firm = (0..10).map(|n| machine(n, false));
    firm.chain((0..6).map(|n| machine(n, true))).collect()
}

/// Slots wanted each second: a slow wave, bursts of the class that must not be evicted, noise.
fn demand(seed: u64) -> Vec<scale::Demand> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out = Vec::new();
    for t in 0..END {
        let wave = 0.5 - 0.5 * (t as f64 / 3600.0 * std::f64::consts::TAU / 4.0).cos();
        let burst = if t % 900 > 600 && t % 900 < 660 {
            18.0
        } else {
            0.0
        };
        let noise = || 0.85 + 0.3 * rng.random::<f64>();
        let [a, b]: [f64; 2] = std::array::from_fn({
            let mut noise = noise;
            move |_| noise()
        });
        out.push(scale::Demand {
            non_evictable: (2.0 + 14.0 * wave + burst) * a,
            evictable: 24.0 * wave * b,
        });
    }
    out
}

/// Whether cheap upstreams can be had, and whether they are reclaimed now.
fn cheap_market(t: u64) -> (bool, bool) {
    let have = t % 5_400 < 4_500;
    (have, t % 5_400 == 4_500)
}

#[derive(Default)]
struct Score {
    cost: f64,
    unmet: f64,
    wanted: f64,
    orders: u64,
}

trait Way {
    fn orders(
        &mut self,
        sites: &[scale::UpstreamState],
        demand: scale::Demand,
        t: u64,
    ) -> Vec<scale::Order>;
}

/// Makes a way.
type Make = fn() -> Box<dyn Way>;

struct Ours(scale::Scaler);

impl Way for Ours {
    fn orders(
        &mut self,
        sites: &[scale::UpstreamState],
        demand: scale::Demand,
        t: u64,
    ) -> Vec<scale::Order> {
        self.0.sample(demand);
        self.0.orders(sites, clock::Millis::secs(t))
    }
}

/// Everything runs all the time.
struct Always;

impl Way for Always {
    fn orders(
        &mut self,
        sites: &[scale::UpstreamState],
        _: scale::Demand,
        _: u64,
    ) -> Vec<scale::Order> {
        let stopped = sites.iter().filter(|s| !s.running);
        stopped
            .map(|s| scale::Order::Start(s.name.clone()))
            .collect()
    }
}

/// Exactly what the last second wanted, cheap ones first for what may be evicted.
struct Follow;

impl Way for Follow {
    fn orders(
        &mut self,
        sites: &[scale::UpstreamState],
        demand: scale::Demand,
        _: u64,
    ) -> Vec<scale::Order> {
        let firm = (demand.non_evictable / f64::from(SLOTS)).ceil() as usize;
        let loose = (demand.evictable / f64::from(SLOTS)).ceil() as usize;
        let mut out = Vec::new();
        let mut left = [firm, loose];
        for s in sites {
            let wanted = left[usize::from(s.preemptible)] > 0;
            left[usize::from(s.preemptible)] = left[usize::from(s.preemptible)].saturating_sub(1);
            match (wanted, s.running) {
                (true, false) => out.push(scale::Order::Start(s.name.clone())),
                (false, true) => out.push(scale::Order::Stop(s.name.clone())),
                _ => {}
            }
        }
        out
    }
}

/// The least that serves the demand of one second, with no time to start.
fn least(demand: scale::Demand, cheap: bool) -> f64 {
    let firm = (demand.non_evictable / f64::from(SLOTS)).ceil();
    let spare = firm * f64::from(SLOTS) - demand.non_evictable;
    let loose = ((demand.evictable - spare).max(0.0) / f64::from(SLOTS)).ceil();
    let price = if cheap { CHEAP_PRICE } else { FIRM_PRICE };
    firm * f64::from(FIRM_PRICE) + loose * f64::from(price)
}

fn play(way: &mut dyn Way, seed: u64) -> Score {
    let mut machines = machines();
    let mut out = Score::default();
    for (t, demand) in demand(seed).into_iter().enumerate() {
        let t = t as u64;
        let (have, reclaim) = cheap_market(t);
        for m in &mut machines {
            if m.ready_at.is_some_and(|at| at <= t) {
                m.site.running = true;
            }
            if m.site.preemptible && (reclaim || (!have && t % 5_400 > 4_500 + NOTICE_SECS)) {
                m.site.running = false;
                m.ready_at = None;
            }
        }
        let sites: Vec<_> = machines.iter().map(|m| m.site.clone()).collect();
        let slots = |cheap: bool| -> f64 {
            let up = sites.iter().filter(|s| s.running && s.preemptible == cheap);
            up.map(|s| f64::from(s.slots)).sum()
        };
        let firm = demand.non_evictable.min(slots(false));
        let loose = demand.evictable.min(slots(true) + slots(false) - firm);
        out.wanted += demand.non_evictable + demand.evictable;
        out.unmet += demand.non_evictable + demand.evictable - firm - loose;
        let paid = machines.iter().filter(|m| m.ready_at.is_some());
        out.cost += paid.map(|m| f64::from(m.site.price)).sum::<f64>();
        for order in way.orders(&sites, demand, t) {
            out.orders += 1;
            let (name, start) = match &order {
                scale::Order::Start(name) => (name, true),
                scale::Order::Stop(name) => (name, false),
            };
            let Some(m) = machines.iter_mut().find(|m| &m.site.name == name) else {
                continue;
            };
            if start && m.ready_at.is_none() && (have || !m.site.preemptible) {
                m.ready_at = Some(t + START_SECS);
            } else if !start {
                m.ready_at = None;
                m.site.running = false;
            }
        }
    }
    out
}

fn main() {
    let seeds = std::env::args()
        .filter_map(|a| a.parse().ok())
        .next()
        .unwrap_or(5u64);
    let mut base = 0.0;
    for seed in 1..=seeds {
        for (t, d) in demand(seed).into_iter().enumerate() {
            base += least(d, cheap_market(t as u64).0);
        }
    }
    println!(
        "{:<18}{:>16}{:>12}{:>12}",
        "way", "cost of least", "unmet", "orders/h"
    );
    let ways: [(&str, Make); 3] = [
        ("ours", || Box::new(Ours(scale::Scaler::default()))),
        ("always on", || Box::new(Always)),
        ("last second", || Box::new(Follow)),
    ];
    for (name, make) in ways {
        let mut sum = Score::default();
        for seed in 1..=seeds {
            let s = play(&mut *make(), seed);
            sum.cost += s.cost;
            sum.unmet += s.unmet;
            sum.wanted += s.wanted;
            sum.orders += s.orders;
        }
        println!(
            "{name:<18}{:>15.0}%{:>11.2}%{:>12.0}",
            100.0 * sum.cost / base,
            100.0 * sum.unmet / sum.wanted,
            sum.orders as f64 / seeds as f64 / (END as f64 / 3600.0)
        );
    }
}
