//! Tests of measured speeds, named after the load that they address.

use base::clock;
use policy::engine_speeds;
use rand::{Rng as _, SeedableRng as _, rngs};

const ENGINES: u32 = 90;

/// Plays `seconds` of gaps of 8 a second and engine: `speed` by engine, `load` by class. Machines are
/// 2.5 times slower for 15% of the time, prompts make a third of the gaps longer, and some events
/// arrive together. Returns the told speeds and how often they changed in the second half.
fn play(
    speeds: &mut engine_speeds::Speeds,
    seconds: u64,
    speed: impl Fn(u32) -> f64,
    class: impl Fn(u32, u64) -> usize,
) -> (Vec<(u32, u8)>, usize) {
    let mut rng = rngs::StdRng::seed_from_u64(1);
    let (mut told, mut changes, mut all_changes) = (Vec::new(), 0, 0);
    for second in 0..seconds {
        let now = clock::Millis::secs(1_000 + second);
        let classes: Vec<_> = (0..ENGINES).map(|e| (e, class(e, second))).collect();
        let before = std::mem::replace(&mut told, speeds.update(&classes, now));
        all_changes += usize::from(before != told);
        changes += usize::from(second > seconds / 2 && before != told);
        for (engine, class) in classes {
            let load = [1.0, 2.2, 1.4][class];
            for _ in 0..8 {
                let machine = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
                let prompt = if rng.random_bool(0.33) { 1.8 } else { 1.0 };
                let noise = rng.random_range(0.95..1.1);
                let gap = 90.0 / speed(engine) * load * machine * prompt * noise;
                let gap = if rng.random_bool(0.05) { 0 } else { gap as u16 };
                speeds.record_gap(engine, gap, now);
            }
        }
    }
    assert!(
        all_changes <= seconds as usize / 10,
        "{all_changes} changes"
    );
    (told, changes)
}

/// Load of a deployment where one engine in four has a speed of 0.55 and the others 1.2. The classes
/// then follow the speeds, which must not be forgotten for it.
#[test]
fn one_engine_in_four_is_slow() {
    let speed = |engine| if engine % 4 == 0 { 0.55 } else { 1.2 };
    let mut speeds = engine_speeds::Speeds::default();
    let class = |engine, second| match second {
        0..60 => engine as usize % 9 / 3,
        _ if engine % 4 == 0 => 2,
        _ => engine as usize % 3,
    };
    let (told, changes) = play(&mut speeds, 180, speed, class);
    for (engine, percent) in &told {
        let expected = if engine % 4 == 0 { 53 } else { 115 };
        assert!(percent.abs_diff(expected) <= 10, "{engine}: {percent}");
    }
    let slow = told.iter().filter(|(e, _)| e % 4 == 0).count();
    assert_eq!(slow, ENGINES.div_ceil(4) as usize);
    assert!(changes <= 5, "{changes} changes");
}

/// Guards against engines that seem slow because their class has more load: they would change places
/// with the others, and seem fast there.
#[test]
fn equal_engines_under_unequal_load() {
    let mut speeds = engine_speeds::Speeds::default();
    let class = |engine: u32, _| engine as usize % 3;
    let (told, _) = play(&mut speeds, 120, |_| 1.0, class);
    assert_eq!(told, []);
}

/// Guards against speeds that are lost with the leader, and against engines that left.
#[test]
fn next_leader_keeps_the_speeds() {
    let mut speeds = engine_speeds::Speeds::with_known(&[(1, 53), (2, 115), (3, 60)]);
    let told = speeds.update(&[(1, 0), (2, 0), (4, 0), (5, 0)], clock::Millis(1));
    let told: Vec<u32> = told.into_iter().map(|(engine, _)| engine).collect();
    assert_eq!(told, [1, 2]);
}
