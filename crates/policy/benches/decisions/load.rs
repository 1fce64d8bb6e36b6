//! Workloads, their arrivals, and the scores of a simulated run.

use std::collections::HashMap;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// Time step of the simulation.
pub(crate) const TICK_MS: u64 = 5;
/// Virtual time at which arrivals end.
pub(crate) const END_MS: u64 = 120_000;
/// Number of teams that submit requests.
pub(crate) const TEAM_COUNT: usize = 10;
/// Load outside bursts, as a share of the capacity.
pub(crate) const BASE_UTILIZATION: f64 = 0.75;
/// Factor by which the arrival rate of a class rises during its burst.
pub(crate) const BURST_FACTOR: f64 = 4.0;

/// A class: name, tier, target time to the first token in milliseconds, mean response length in
/// tokens, share of the load.
pub(crate) type Class = (&'static str, u8, u64, f64, f64);

/// A workload: name, classes, number of engines, slots per engine, milliseconds per token, index
/// of the class that bursts, whether its responses can be resumed on another engine.
pub(crate) struct Workload(
    pub(crate) &'static str,
    pub(crate) [Class; 3],
    pub(crate) usize,
    pub(crate) u32,
    pub(crate) f64,
    pub(crate) usize,
    pub(crate) bool,
);

pub(crate) const DRAFTER_CLASSES: [Class; 3] = [
    ("quote", 0, 800, 200.0, 0.35),
    ("answer", 1, 2_000, 120.0, 0.25),
    ("sheet", 2, 30_000, 500.0, 0.4),
];
pub(crate) const DRAW_MODEL_CLASSES: [Class; 3] = [
    ("seeding", 0, 700, 150.0, 0.3),
    ("draw", 1, 1_500, 200.0, 0.3),
    ("club", 2, 20_000, 300.0, 0.4),
];
pub(crate) const LEDGER_CLASSES: [Class; 3] = [
    ("deposit", 0, 1_000, 10.0, 0.4),
    ("list", 1, 2_000, 10.0, 0.4),
    ("export", 2, 20_000, 60.0, 0.2),
];
pub(crate) static WORKLOADS: [Workload; 3] = [
    Workload("himal drafter", DRAFTER_CLASSES, 10, 8, 20.0, 1, true),
    Workload(
        "haddad draw-model",
        DRAW_MODEL_CLASSES,
        10,
        8,
        20.0,
        0,
        true,
    ),
    Workload("ledger", LEDGER_CLASSES, 3, 4, 10.0, 2, false),
];

/// A simulated request. Times are in milliseconds of virtual time.
#[derive(Clone, Default)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) class: usize,
    pub(crate) team: usize,
    pub(crate) arrived_at: u64,
    pub(crate) length_tokens: u32,
    /// Tokens received before the request was last sent to an engine.
    pub(crate) received_tokens: u32,
    /// Tokens generated since the request was last sent to an engine.
    pub(crate) generated_tokens: u32,
    /// Number of times that the request was sent to an engine.
    pub(crate) sends: u64,
    pub(crate) first_token_at: Option<u64>,
    pub(crate) refused_at: Option<u64>,
    pub(crate) completed: bool,
    /// Engine that failed the request last.
    pub(crate) excluded: Option<usize>,
}

pub(crate) fn arrivals(workload: &'static Workload, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out = Vec::new();
    let tokens_per_ms = workload.2 as f64 * f64::from(workload.3) / workload.4;
    for arrived_at in (0..END_MS).step_by(TICK_MS as usize) {
        for (class, (_, _, _, mean_tokens, share)) in workload.1.iter().enumerate() {
            let is_burst = (25_001..35_000).contains(&(arrived_at % 40_000)) && class == workload.5;
            let rate_per_ms = tokens_per_ms * BASE_UTILIZATION * share / mean_tokens
                * if is_burst { BURST_FACTOR } else { 1.0 };
            if rng.random::<f64>() >= rate_per_ms * TICK_MS as f64 {
                continue;
            }
            // Team 0 sends 60 % of a burst, besides its share of the rest.
            let is_team_0 = is_burst && rng.random::<f64>() < 0.6;
            let team = if is_team_0 {
                0
            } else {
                rng.random_range(0..TEAM_COUNT)
            };
            let spread: f64 = -rng.random::<f64>().max(1e-9).ln();
            let length_tokens = (mean_tokens * spread).clamp(2.0, mean_tokens * 8.0) as u32;
            let id = out.len() as u64 + 1;
            out.push(Request {
                id,
                class,
                team,
                arrived_at,
                length_tokens,
                ..Request::default()
            });
        }
    }
    out
}

/// Scores of a run: percentage of requests that met their target for each of three classes, tokens
/// per second of these requests, percentage of wasted tokens, lowest ratio of service to fair
/// share of any team, and median time to a refusal in milliseconds.
pub(crate) fn score(
    workload: &Workload,
    requests: &HashMap<u64, Request>,
    wasted_tokens: u64,
    generated_tokens: u64,
) -> [f64; 7] {
    let mut out = [0.0, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0];
    let mut lost_tokens = wasted_tokens;
    let mut refusal_ms: Vec<u64> = Vec::new();
    for (class, (_, _, target_ms, ..)) in workload.1.iter().enumerate() {
        let (mut total, mut met) = (0.0, 0.0);
        let mut teams = [(0.0, 0.0); TEAM_COUNT];
        for r in requests.values().filter(|r| r.class == class) {
            total += 1.0;
            refusal_ms.extend(r.refused_at.map(|t| t - r.arrived_at));
            teams[r.team].0 += f64::from(r.length_tokens);
            if r.completed
                && r.first_token_at
                    .is_some_and(|f| f - r.arrived_at <= *target_ms)
            {
                met += 1.0;
                out[3] += f64::from(r.length_tokens) / (END_MS as f64 / 1_000.0);
                teams[r.team].1 += f64::from(r.length_tokens);
            } else {
                lost_tokens += u64::from(r.received_tokens + r.generated_tokens);
            }
        }
        out[class] = 100.0 * met / total;
        out[5] = worst_share(teams).min(out[5]);
    }
    out[4] = 100.0 * lost_tokens as f64 / generated_tokens.max(1) as f64;
    refusal_ms.sort_unstable();
    out[6] = refusal_ms
        .get(refusal_ms.len() / 2)
        .copied()
        .unwrap_or_default() as f64;
    out
}

/// Lowest ratio, over all teams, of the service received to the max-min fair share of the service
/// that the class received. `teams` is a list of demand and received service.
fn worst_share(mut teams: [(f64, f64); TEAM_COUNT]) -> f64 {
    let mut remaining: f64 = teams.iter().map(|t| t.1).sum();
    teams.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut worst: f64 = 1.0;
    for (n, (demand, served)) in teams.into_iter().enumerate() {
        let fair_share = demand.min(remaining / (TEAM_COUNT - n) as f64);
        remaining -= fair_share;
        if fair_share > 0.0 {
            worst = worst.min(served / fair_share);
        }
    }
    worst
}
