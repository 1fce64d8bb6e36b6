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

/// Guards against streams that can't be resumed crowding on a fifth of the engines while most of the
/// others are idle.
#[test]
fn most_tokens_in_streams_that_cannot_be_resumed() {
    let mut run = Run::default();
    let need = [9.0, 30.0, 13.0];
    assert_eq!(
        run.play(3, |_| need),
        engine_classes::DEFAULT_SHARES,
        "after three seconds"
    );
    assert_eq!(run.play(7, |_| need), [200, 400, 400]);
    // A burst of another class moves nothing.
    assert_eq!(run.play(9, |_| [9.0, 30.0, 40.0]), [200, 400, 400]);
    assert_eq!(run.play(9, |_| [60.0, 30.0, 13.0]), [200, 400, 400]);
    assert_eq!(run.changes(), 1);
    // When the mix has been the usual one for a while, the defaults return.
    let shares = run.play(25, |_| [20.0, 20.0, 60.0]);
    assert_eq!((shares, run.changes()), (engine_classes::DEFAULT_SHARES, 2));
}

/// Guards against losing caches for bursts of one class, short or long, on a mix that fits the defaults.
#[test]
fn bursts_of_one_class() {
    for (class, seconds) in [(0, 2), (1, 2), (2, 2), (0, 9), (1, 9), (2, 9)] {
        let mut run = Run::default();
        let shares = run.play(120, |s| {
            let mut need = [20.0, 24.0, 65.0];
            need[class] *= if s % 20 < seconds { 2.5 } else { 1.0 };
            need
        });
        let result = (shares, run.changes());
        assert_eq!(result, (engine_classes::DEFAULT_SHARES, 0), "{class}");
    }
}

/// Guards against shares that follow a slow change with every second, or never.
#[test]
fn wave_of_a_day() {
    const DAY: u64 = 3_600;
    let mut run = Run::default();
    run.play(2 * DAY, |s| {
        let phase = (s as f64 / DAY as f64 * std::f64::consts::TAU).sin();
        [15.0, 40.0 + 35.0 * phase, 40.0 - 35.0 * phase]
    });
    assert_eq!(run.changes(), 8, "to either side and back, once a day");
}

/// Guards against a class without requests that loses its engines, and so waits when it comes back.
#[test]
fn class_that_vanishes_and_returns() {
    let mut run = Run::default();
    for need in [0.0, 20.0, 0.0, 20.0] {
        run.play(60, |_| [20.0, need, 60.0]);
    }
    assert_eq!(run.changes(), 0);
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
        assert!(run.changes() <= 1, "seed {seed}: {}", run.changes());
    }
}

/// Guards against a change of classes where no request waits.
#[test]
fn low_demand_of_one_class() {
    let mut run = Run::default();
    let shares = run.play(60, |_| [0.0, 2.0, 1.0]);
    assert_eq!(shares, engine_classes::DEFAULT_SHARES);
}
