//! Schedule of a shutdown, without a network.

use base::clock;
use router::{host, shutdown};

const SIGNAL: clock::Millis = clock::Millis(50_000);
/// Time from the signal after which a request that is accepted must not be cut off, and the latest
/// time at which a request of four seconds must still be accepted.
const PROMISE_MS: u64 = 3_000;
const LAST_LONG_REQUEST_MS: u64 = 2_900;

fn phase(grace_ms: u64, after_ms: u64) -> host::Phase {
    let schedule = shutdown::Schedule::new(SIGNAL, clock::Millis(grace_ms));
    schedule.phase(SIGNAL + clock::Millis(after_ms))
}

/// Guards against requests that are accepted later than 3 s after the stop signal and cut off when
/// the process ends.
#[test]
fn requests_are_accepted_for_less_than_three_seconds_of_a_planned_stop() {
    for grace_ms in [6_000, 8_000, 30_000] {
        assert!(phase(grace_ms, LAST_LONG_REQUEST_MS) < host::Phase::Refusing);
        for after_ms in PROMISE_MS..grace_ms + 1_000 {
            assert!(phase(grace_ms, after_ms) >= host::Phase::Refusing);
        }
    }
    // Four seconds of work fit between the last request and the end with the usual grace period.
    let work_end_ms = LAST_LONG_REQUEST_MS + 4_000;
    assert!(phase(8_000, work_end_ms) < host::Phase::Ending);
}

/// Guards against a process that is killed before its clients got the last responses, when the time
/// between the signal and the kill is short.
#[test]
fn phases_follow_each_other_before_the_kill_for_any_grace_period() {
    for grace_ms in 0..12_000 {
        let schedule = shutdown::Schedule::new(SIGNAL, clock::Millis(grace_ms));
        let begins = [
            host::Phase::Unready,
            host::Phase::Closing,
            host::Phase::Refusing,
            host::Phase::Ending,
        ];
        let begins = begins.map(|p| schedule.begin(p));
        assert!(begins.is_sorted(), "grace {grace_ms} ms: {begins:?}");
        assert!(begins[3] <= schedule.exit_at());
        assert!(schedule.exit_at() <= SIGNAL + clock::Millis(grace_ms));
    }
}
