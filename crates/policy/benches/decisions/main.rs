//! One service in one data centre in virtual time: our decisions against simpler ways and against
//! an oracle that knows lengths, speeds and loads.
//!
//! `cargo bench -p jacinth-policy --bench decisions [-- SEEDS]`

mod engine;
mod load;
mod ways;

use std::collections::HashMap;

use engine::World;
use load::{END, LOADS, Load, TICK};
use ways::{AtOnce, OneQueue, Ours, Way};

fn play(load: &'static Load, way: &mut dyn Way, seed: u64) -> [f64; 7] {
    let mut w = World::new(load);
    let mut arriving = load::arrivals(load, seed).into_iter().peekable();
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
    load::score(load, &w.requests, w.wasted, w.made)
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
