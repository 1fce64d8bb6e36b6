//! Compares the dispatcher of this crate with simpler strategies and with an oracle that knows
//! response lengths, speeds and loads. One service in one data centre is simulated in virtual
//! time.
//!
//! `cargo bench -p jacinth-policy --bench decisions [-- SEEDS]`

mod engine;
mod load;
mod ways;

use std::collections::HashMap;

use engine::Simulation;
use load::{END_MS, TICK_MS, WORKLOADS, Workload};
use ways::{CentralQueue, Immediate, PolicyDispatcher, Strategy};

fn simulate(workload: &'static Workload, strategy: &mut dyn Strategy, seed: u64) -> [f64; 7] {
    let mut sim = Simulation::new(workload);
    let mut arrivals = load::arrivals(workload, seed).into_iter().peekable();
    while sim.now < END_MS + 30_000 {
        sim.inject_faults();
        let mut actions = Vec::new();
        while let Some(r) = arrivals.next_if(|r| r.arrived_at <= sim.now) {
            sim.requests.insert(r.id, r.clone());
            strategy.submit(&r, &sim, &mut actions);
            sim.apply(std::mem::take(&mut actions));
        }
        for (id, engine, outcome) in sim.run() {
            sim.handle_end(strategy, id, engine, outcome);
        }
        strategy.tick(&sim, &mut actions);
        sim.apply(actions);
        sim.now += TICK_MS;
    }
    load::score(
        workload,
        &sim.requests,
        sim.wasted_tokens,
        sim.generated_tokens,
    )
}

/// Creates a strategy for one run of a workload.
type NewStrategy = fn(&Workload) -> Box<dyn Strategy>;

fn central_queue(oracle: bool) -> Box<dyn Strategy> {
    Box::new(CentralQueue {
        waiting: Vec::new(),
        oracle,
        served_tokens: HashMap::new(),
    })
}

fn main() {
    let seeds = std::env::args()
        .filter_map(|a| a.parse().ok())
        .next()
        .unwrap_or(5u64);
    let strategies: [(&str, NewStrategy); 7] = [
        ("oracle", |_| central_queue(true)),
        ("one dispatcher", |l| {
            Box::new(PolicyDispatcher::new(l, false, false))
        }),
        ("dispatcher outages", |l| {
            Box::new(PolicyDispatcher::new(l, false, true))
        }),
        ("hosts only", |l| {
            Box::new(PolicyDispatcher::new(l, true, false))
        }),
        ("first come", |_| central_queue(false)),
        ("round robin", |_| {
            Box::new(Immediate {
                next_engine: 0,
                least_loaded: false,
            })
        }),
        ("least reported load", |_| {
            Box::new(Immediate {
                next_engine: 0,
                least_loaded: true,
            })
        }),
    ];
    for workload in &WORKLOADS {
        let [a, b, c] = workload.1.map(|c| c.0);
        println!(
            "\n{}: {} engines of {} slots, {seeds} seeds",
            workload.0, workload.2, workload.3
        );
        print!("{:<22}{a:>9}{b:>9}{c:>9}", "strategy");
        println!(
            "{:>12}{:>8}{:>8}{:>12}",
            "good tok/s", "wasted", "worst", "refusal ms"
        );
        for (name, new_strategy) in strategies {
            let mut mean = [0.0; 7];
            for seed in 1..=seeds {
                let scores = simulate(workload, &mut *new_strategy(workload), seed);
                mean.iter_mut()
                    .zip(scores)
                    .for_each(|(m, s)| *m += s / seeds as f64);
            }
            let [a, b, c, goodput, wasted, worst, refusal_ms] = mean;
            print!("{name:<22}{a:>8.1}%{b:>8.1}%{c:>8.1}%");
            println!("{goodput:>12.0}{wasted:>7.1}%{worst:>8.2}{refusal_ms:>12.0}");
        }
    }
}
