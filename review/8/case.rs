//! A part that crashes workers is forgotten when the processes of all hosts are killed at once. The part comes
//! rarely, so that it takes long to be found again.

#[path = "../rig-2/rig.rs"]
mod rig;
#[path = "../rig-2/tainted.rs"]
mod tainted;

use std::time::Duration;

const PLAN: tainted::Plan = tainted::Plan {
    sound_per_s: 60.0,
    tainted_per_s: 0.5,
    place: tainted::Place::Third,
    tainted_from: 8.0,
    killed_at: Some((32.0, Duration::from_secs(1))),
    length: 60.0,
    away: Duration::from_secs(3),
};

fn main() {
    let case = rig::Case::from_env();
    let calm = tainted::Plan {
        killed_at: None,
        ..PLAN
    };
    let plan = if case.has_trouble { &PLAN } else { &calm };
    let outcome = tainted::play(&case, plan, true);
    tainted::judge(&case, &outcome)
}
