//! Tests of the shares of engines, named after the load that they address.

use base::clock;
use policy::engine_classes;
use rand::{Rng as _, SeedableRng as _, rngs};

const ENGINES: u32 = 140;

/// engine_classes::Demand that needs this number of engines, half of it for prompts.
fn demand(need: f64) -> engine_classes::Demand {
    let model = engine_classes::EngineModel::default();
    engine_classes::Demand {
        prompt_tokens: need / 2.0 * model.tokens_per_s,
        running: need / 2.0 * model.requests,
        requests: need,
    }
}

#[derive(Default)]
struct Run {
    planner: engine_classes::Planner,
    seconds: u64,
    decisions: Vec<engine_classes::Decision>,
}

impl Run {
    /// Decides once a second for `seconds`, with the need of each class at each of them.
    fn play(
        &mut self,
        seconds: u64,
        mut need: impl FnMut(u64) -> [f64; engine_classes::CLASS_COUNT],
    ) -> engine_classes::Shares {
        for _ in 0..seconds {
            self.seconds += 1;
            let now = clock::Millis::secs(self.seconds);
            let demand = need(self.seconds).map(demand);
            let decision = self.planner.decide(
                &demand,
                ENGINES,
                &engine_classes::EngineModel::default(),
                now,
            );
            assert!(engine_classes::is_valid(&decision.shares), "{decision:?}");
            self.decisions.push(decision);
        }
        self.decisions.last().expect("a decision").shares
    }

    fn changes(&self) -> usize {
        self.decisions.iter().filter(|d| d.changed).count()
    }
}

/// Guards against streams that can't be resumed crowding on a fifth of the engines.
#[test]
fn most_tokens_in_streams_that_cannot_be_resumed() {
    let mut run = Run::default();
    let need = [6.0, 70.0, 20.0];
    assert_eq!(
        run.play(3, |_| need),
        engine_classes::DEFAULT_SHARES,
        "after three seconds"
    );
    let shares = run.play(7, |_| need);
    assert!(shares[1] >= 600, "{shares:?} after ten seconds");
    let steps = run.decisions.windows(2);
    let moved = steps.map(|d| d[1].shares[1].abs_diff(d[0].shares[1]));
    assert!(moved.max() <= Some(100), "engines change in small steps");
    // And back, when the mix is the usual one again.
    let shares = run.play(15, |_| [20.0, 20.0, 60.0]);
    assert!((150..=300).contains(&shares[1]), "{shares:?}");
}

/// Guards against losing caches for a burst that ends before engines have changed.
#[test]
fn burst_of_one_class_of_two_seconds() {
    let mut run = Run::default();
    let shares = run.play(60, |s| {
        let burst = if s % 20 < 2 { 200.0 } else { 20.0 };
        [20.0, burst, 60.0]
    });
    assert_eq!((shares, run.changes()), (engine_classes::DEFAULT_SHARES, 0));
}

/// Guards against shares that lag behind a slow change, or follow it with every second.
#[test]
fn wave_of_a_day() {
    const DAY: u64 = 3_600;
    let mut run = Run::default();
    run.play(2 * DAY, |s| {
        let phase = (s as f64 / DAY as f64 * std::f64::consts::TAU).sin();
        [15.0, 40.0 + 35.0 * phase, 40.0 - 35.0 * phase]
    });
    let late = run.decisions.iter().skip(30).filter(|d| {
        let highest = d.pressure.into_iter().fold(0.0, f64::max);
        highest > 2.0 * d.need.iter().sum::<f64>() / f64::from(ENGINES)
    });
    assert_eq!(late.count(), 0, "a class has half of the engines it needs");
    assert!((4..=60).contains(&run.changes()), "{}", run.changes());
}

/// Guards against engines that stay idle for a class without requests, and against a class that
/// waits for engines when it comes back.
#[test]
fn class_that_vanishes_and_returns() {
    let mut run = Run::default();
    let shares = run.play(25, |_| [20.0, 0.0, 60.0]);
    assert!((1..=70).contains(&shares[1]), "{shares:?} at a new leader");
    let shares = run.play(10, |_| [20.0, 20.0, 60.0]);
    assert!(shares[1] >= 120, "{shares:?} with demand");
    let shares = run.play(15, |_| [20.0, 0.0, 60.0]);
    assert!(
        (1..=70).contains(&shares[1]),
        "{shares:?} for late requests"
    );
    let shares = run.play(40, |_| [20.0, 0.0, 60.0]);
    assert!(shares[1] <= 20, "{shares:?} after a minute");
    let shares = run.play(1, |_| [20.0, 40.0, 60.0]);
    assert!(shares[1] >= 20, "{shares:?} at once");
    let shares = run.play(10, |_| [20.0, 40.0, 60.0]);
    assert!(shares[1] >= 250, "{shares:?} after some seconds");
}

/// Guards against figures of a faulty host that take engines from the others or end the process.
#[test]
fn absurd_figures() {
    let figures = [
        f64::NAN,
        f64::INFINITY,
        -1e300,
        1e300,
        f64::MIN_POSITIVE,
        0.0,
    ];
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let mut planner = engine_classes::Planner::new([9, 9, 9]);
    for second in 0..2_000 {
        let mut figure = || figures[rng.random_range(0..figures.len())];
        let demand = [(); engine_classes::CLASS_COUNT].map(|()| engine_classes::Demand {
            prompt_tokens: figure(),
            running: figure(),
            requests: figure(),
        });
        let model = engine_classes::EngineModel {
            tokens_per_s: figure(),
            requests: figure(),
        };
        let engines = [0, 1, 3, 140, u32::MAX][second % 5];
        let now = clock::Millis::secs(second as u64);
        let decision = planner.decide(&demand, engines, &model, now);
        assert!(engine_classes::is_valid(&decision.shares), "{decision:?}");
    }
    let (clamped, was_plausible) = engine_classes::Demand {
        running: f64::NAN,
        ..demand(1.0)
    }
    .clamped();
    assert_eq!((clamped.running, was_plausible), (0.0, false));
}

/// Guards against engines that change their class to and fro under a demand that is only noisy.
#[test]
fn noisy_demand_of_a_constant_mean() {
    for (seed, mean) in [
        (1, [20.0, 20.0, 60.0]),
        (2, [4.0, 70.0, 20.0]),
        (3, [9.0, 9.0, 9.0]),
    ] {
        let mut rng = rngs::StdRng::seed_from_u64(seed);
        let mut run = Run::default();
        run.play(600, |_| mean.map(|m| m * rng.random_range(0.6..1.4)));
        assert!(run.changes() <= 12, "seed {seed}: {}", run.changes());
    }
}

/// Guards against a change of classes where no request waits.
#[test]
fn low_demand_of_one_class() {
    let mut run = Run::default();
    let shares = run.play(60, |_| [0.0, 2.0, 1.0]);
    assert_eq!(shares, engine_classes::DEFAULT_SHARES);
}
