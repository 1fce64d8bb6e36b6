//! Workloads, their arrivals, and the scores of a run.

use std::collections::HashMap;

use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) const TICK: u64 = 5;
pub(crate) const END: u64 = 120_000;
pub(crate) const TEAMS: usize = 10;
pub(crate) const BASE_LOAD: f64 = 0.75;
pub(crate) const BURST: f64 = 4.0;

/// A class: name, tier, target to the first token, mean tokens, share of the load.
pub(crate) type Class = (&'static str, u8, u64, f64, f64);

/// A workload: name, classes, engines, slots, time between tokens, class that bursts, whether its
/// answers can be continued elsewhere.
pub(crate) struct Load(
    pub(crate) &'static str,
    pub(crate) [Class; 3],
    pub(crate) usize,
    pub(crate) u32,
    pub(crate) f64,
    pub(crate) usize,
    pub(crate) bool,
);

pub(crate) const HIMAL: [Class; 3] = [
    ("quote", 0, 800, 200.0, 0.35),
    ("answer", 1, 2_000, 120.0, 0.25),
    ("sheet", 2, 30_000, 500.0, 0.4),
];
pub(crate) const HADDAD: [Class; 3] = [
    ("seeding", 0, 700, 150.0, 0.3),
    ("draw", 1, 1_500, 200.0, 0.3),
    ("club", 2, 20_000, 300.0, 0.4),
];
pub(crate) const LEDGER: [Class; 3] = [
    ("deposit", 0, 1_000, 10.0, 0.4),
    ("list", 1, 2_000, 10.0, 0.4),
    ("export", 2, 20_000, 60.0, 0.2),
];
pub(crate) static LOADS: [Load; 3] = [
    Load("himal drafter", HIMAL, 10, 8, 20.0, 1, true),
    Load("haddad draw-model", HADDAD, 10, 8, 20.0, 0, true),
    Load("ledger", LEDGER, 3, 4, 10.0, 2, false),
];

#[derive(Clone, Default)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) class: usize,
    pub(crate) team: usize,
    pub(crate) arrived: u64,
    pub(crate) length: u32,
    pub(crate) held: u32,
    pub(crate) made: u32,
    pub(crate) sent: u64,
    pub(crate) first: Option<u64>,
    pub(crate) refused: Option<u64>,
    pub(crate) whole: bool,
    pub(crate) avoid: Option<usize>,
}

pub(crate) fn arrivals(load: &'static Load, seed: u64) -> Vec<Request> {
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
pub(crate) fn score(
    load: &Load,
    requests: &HashMap<u64, Request>,
    wasted: u64,
    made: u64,
) -> [f64; 7] {
    let mut out = [0.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0];
    let mut lost = wasted;
    let mut told: Vec<u64> = Vec::new();
    for (class, (_, _, target, ..)) in load.1.iter().enumerate() {
        let (mut all, mut met) = (0.0, 0.0);
        let mut teams = [(0.0, 0.0); TEAMS];
        for r in requests.values().filter(|r| r.class == class) {
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
    out[4] = 100.0 * lost as f64 / made.max(1) as f64;
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
