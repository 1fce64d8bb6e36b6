//! What attempts show about their prompts: whether an upstream answered one, or crashed at it.

use base::{clock, hash, name};

use crate::{attempt, crash_log, host};

/// Records a failed attempt at `upstream` if it may have crashed it. `begun_at` is when the first event
/// of the attempt arrived.
pub fn record_failure(
    host: &host::Host,
    call: &attempt::Call,
    upstream: &name::Upstream,
    failure: attempt::Failure,
    begun_at: Option<clock::Millis>,
) {
    let now = host.now();
    let progress = match (failure, begun_at) {
        (attempt::Failure::Truncated, None) => crash_log::Progress::HeadOnly,
        (attempt::Failure::Truncated, Some(at)) if now.since(at) < crash_log::SURVIVAL_TIME => {
            crash_log::Progress::Early
        }
        (attempt::Failure::ConnectionLost, _) => crash_log::Progress::Early,
        _ => return,
    };
    let parts = call.shared_parts();
    if parts.is_empty() {
        return;
    }
    let process = host.fleet.borrow().get(upstream).map(|t| t.process().id);
    let crash = crash_log::Crash {
        number: 0,
        age: clock::Millis::ZERO,
        parts,
        request: hash::stable_hash(call.meta.id.as_bytes()),
        team: call.team_hash(),
        upstream: process.unwrap_or(0),
        progress,
    };
    host.crash_log.borrow_mut().record_crash(crash, now);
    host.report_wanted.notify_one();
}

/// Records that an upstream answered the prompt for long enough, or to the end.
pub fn record_answer(host: &host::Host, call: &attempt::Call) {
    let parts = call.shared_parts();
    host.crash_log
        .borrow_mut()
        .record_answer(parts.into_iter(), host.now());
}
