//! Compares the cost of scaling strategies with the minimum cost that serves the demand, in virtual
//! time. The load is four hours with bursts; upstreams take time to start, and preemptible ones are
//! reclaimed or unavailable at times.
//!
//! `cargo bench -p jacinth-policy --bench scaling [-- SEEDS]`

use base::clock;
use policy::scale;
use rand::{Rng, SeedableRng, rngs::StdRng};

const DURATION_SECS: u64 = 4 * 3600;
const START_SECS: u64 = 8;
const SLOTS_PER_UPSTREAM: u32 = 8;
const ON_DEMAND_PRICE: u32 = 100;
const PREEMPTIBLE_PRICE: u32 = 35;
const RECLAIM_NOTICE_SECS: u64 = 5;

/// An upstream of the simulated platform, and the second at which it is ready after a start.
#[derive(Clone)]
struct SimulatedUpstream {
    state: scale::UpstreamState,
    ready_at: Option<u64>,
}

fn simulated_upstreams() -> Vec<SimulatedUpstream> {
    let new_upstream = |n: u32, preemptible: bool| SimulatedUpstream {
        state: scale::UpstreamState {
            name: format!(
                "{}{n}",
                if preemptible {
                    "preemptible"
                } else {
                    "on-demand"
                }
            )
            .as_str()
            .into(),
            slots: SLOTS_PER_UPSTREAM,
            price: if preemptible {
                PREEMPTIBLE_PRICE
            } else {
                ON_DEMAND_PRICE
            },
            preemptible,
            managed: true,
            running: false,
        },
        ready_at: None,
    };
    let on_demand = (0..10).map(|n| new_upstream(n, false));
    on_demand
        .chain((0..6).map(|n| new_upstream(n, true)))
        .collect()
}

/// Demand of each second: a slow wave, bursts of non-evictable demand, and noise.
fn demand(seed: u64) -> Vec<scale::Demand> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out = Vec::new();
    for t in 0..DURATION_SECS {
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

/// Whether preemptible upstreams are available at second `t`, and whether they are reclaimed then.
fn preemptible_supply(t: u64) -> (bool, bool) {
    let available = t % 5_400 < 4_500;
    (available, t % 5_400 == 4_500)
}

#[derive(Default)]
struct Score {
    cost: f64,
    /// Slot-seconds of demand without a slot.
    unmet: f64,
    /// Slot-seconds of demand.
    wanted: f64,
    orders: u64,
}

trait Strategy {
    fn orders(
        &mut self,
        upstreams: &[scale::UpstreamState],
        demand: scale::Demand,
        t: u64,
    ) -> Vec<scale::Order>;
}

/// Creates a strategy for one run.
type NewStrategy = fn() -> Box<dyn Strategy>;

struct PolicyScaler(scale::Scaler);

impl Strategy for PolicyScaler {
    fn orders(
        &mut self,
        upstreams: &[scale::UpstreamState],
        demand: scale::Demand,
        t: u64,
    ) -> Vec<scale::Order> {
        self.0.sample(demand);
        self.0.orders(upstreams, clock::Millis::secs(t))
    }
}

/// Strategy that runs all upstreams all the time.
struct AlwaysOn;

impl Strategy for AlwaysOn {
    fn orders(
        &mut self,
        upstreams: &[scale::UpstreamState],
        _: scale::Demand,
        _: u64,
    ) -> Vec<scale::Order> {
        let stopped = upstreams.iter().filter(|u| !u.running);
        stopped
            .map(|u| scale::Order::Start(u.name.clone()))
            .collect()
    }
}

/// Strategy that runs as many upstreams as the demand of the last second needs, preemptible ones
/// for evictable demand.
struct LastSecond;

impl Strategy for LastSecond {
    fn orders(
        &mut self,
        upstreams: &[scale::UpstreamState],
        demand: scale::Demand,
        _: u64,
    ) -> Vec<scale::Order> {
        let on_demand = (demand.non_evictable / f64::from(SLOTS_PER_UPSTREAM)).ceil() as usize;
        let evictable = (demand.evictable / f64::from(SLOTS_PER_UPSTREAM)).ceil() as usize;
        let mut out = Vec::new();
        let mut remaining = [on_demand, evictable];
        for u in upstreams {
            let is_wanted = remaining[usize::from(u.preemptible)] > 0;
            remaining[usize::from(u.preemptible)] =
                remaining[usize::from(u.preemptible)].saturating_sub(1);
            match (is_wanted, u.running) {
                (true, false) => out.push(scale::Order::Start(u.name.clone())),
                (false, true) => out.push(scale::Order::Stop(u.name.clone())),
                _ => {}
            }
        }
        out
    }
}

/// Minimum cost of serving the demand of one second if upstreams started without delay.
fn min_cost(demand: scale::Demand, preemptible: bool) -> f64 {
    let on_demand = (demand.non_evictable / f64::from(SLOTS_PER_UPSTREAM)).ceil();
    let spare = on_demand * f64::from(SLOTS_PER_UPSTREAM) - demand.non_evictable;
    let evictable = ((demand.evictable - spare).max(0.0) / f64::from(SLOTS_PER_UPSTREAM)).ceil();
    let price = if preemptible {
        PREEMPTIBLE_PRICE
    } else {
        ON_DEMAND_PRICE
    };
    on_demand * f64::from(ON_DEMAND_PRICE) + evictable * f64::from(price)
}

fn simulate(strategy: &mut dyn Strategy, seed: u64) -> Score {
    let mut all = simulated_upstreams();
    let mut out = Score::default();
    for (t, demand) in demand(seed).into_iter().enumerate() {
        let t = t as u64;
        let (available, reclaim) = preemptible_supply(t);
        for u in &mut all {
            if u.ready_at.is_some_and(|at| at <= t) {
                u.state.running = true;
            }
            if u.state.preemptible
                && (reclaim || (!available && t % 5_400 > 4_500 + RECLAIM_NOTICE_SECS))
            {
                u.state.running = false;
                u.ready_at = None;
            }
        }
        let upstreams: Vec<_> = all.iter().map(|u| u.state.clone()).collect();
        let slots = |preemptible: bool| -> f64 {
            let running = upstreams
                .iter()
                .filter(|u| u.running && u.preemptible == preemptible);
            running.map(|u| f64::from(u.slots)).sum()
        };
        let on_demand = demand.non_evictable.min(slots(false));
        let evictable = demand.evictable.min(slots(true) + slots(false) - on_demand);
        out.wanted += demand.non_evictable + demand.evictable;
        out.unmet += demand.non_evictable + demand.evictable - on_demand - evictable;
        let paid = all.iter().filter(|u| u.ready_at.is_some());
        out.cost += paid.map(|u| f64::from(u.state.price)).sum::<f64>();
        for order in strategy.orders(&upstreams, demand, t) {
            out.orders += 1;
            let (name, start) = match &order {
                scale::Order::Start(name) => (name, true),
                scale::Order::Stop(name) => (name, false),
            };
            let Some(u) = all.iter_mut().find(|u| &u.state.name == name) else {
                continue;
            };
            if start && u.ready_at.is_none() && (available || !u.state.preemptible) {
                u.ready_at = Some(t + START_SECS);
            } else if !start {
                u.ready_at = None;
                u.state.running = false;
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
    let mut total_min_cost = 0.0;
    for seed in 1..=seeds {
        for (t, d) in demand(seed).into_iter().enumerate() {
            total_min_cost += min_cost(d, preemptible_supply(t as u64).0);
        }
    }
    println!(
        "{:<18}{:>16}{:>12}{:>12}",
        "strategy", "cost of minimum", "unmet", "orders/h"
    );
    let strategies: [(&str, NewStrategy); 3] = [
        ("scaler", || {
            Box::new(PolicyScaler(scale::Scaler::default()))
        }),
        ("always on", || Box::new(AlwaysOn)),
        ("last second", || Box::new(LastSecond)),
    ];
    for (name, new_strategy) in strategies {
        let mut sum = Score::default();
        for seed in 1..=seeds {
            let s = simulate(&mut *new_strategy(), seed);
            sum.cost += s.cost;
            sum.unmet += s.unmet;
            sum.wanted += s.wanted;
            sum.orders += s.orders;
        }
        println!(
            "{name:<18}{:>15.0}%{:>11.2}%{:>12.0}",
            100.0 * sum.cost / total_min_cost,
            100.0 * sum.unmet / sum.wanted,
            sum.orders as f64 / seeds as f64 / (DURATION_SECS as f64 / 3600.0)
        );
    }
}
