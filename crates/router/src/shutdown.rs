//! Schedule of a graceful shutdown, counted from the stop signal.
//!
//! Each phase begins at a fixed time after the signal, whatever the store and other hosts do. New
//! requests are judged by the clock: a task that changes the phase may itself run late.

use base::clock;

use crate::host;

/// Time after the signal for which client connections stay open: the load balancer probes readiness
/// twice in it.
const UNREADY_PERIOD: clock::Millis = clock::Millis(2_600);
/// Time after the signal from which new requests are refused. A request that was sent later than
/// 3 s after the signal must not be cut off; the difference covers a signal that arrives late.
const ACCEPT_PERIOD: clock::Millis = clock::Millis(2_950);
/// Time before the process is killed at which requests in progress are given up, so that their
/// clients get a response and other hosts get the counts of this one.
const KILL_MARGIN: clock::Millis = clock::Millis(500);
/// Time before the process is killed at which it ends by itself, whether or not the store and other
/// hosts have answered.
const EXIT_MARGIN: clock::Millis = clock::Millis(100);

/// Times at which the phases of a shutdown begin.
#[derive(Clone, Copy, Debug)]
pub struct Schedule {
    signalled_at: clock::Millis,
    /// Time from the signal until the process is killed.
    grace: clock::Millis,
}

impl Schedule {
    /// Schedule of a shutdown whose signal was received at `signalled_at`. The process is killed
    /// `grace` later.
    pub const fn new(signalled_at: clock::Millis, grace: clock::Millis) -> Self {
        Self {
            signalled_at,
            grace,
        }
    }

    /// When `phase` begins. With a short grace period the early phases end when requests must be
    /// given up.
    pub fn begin(&self, phase: host::Phase) -> clock::Millis {
        let end_period = clock::Millis(self.grace.since(KILL_MARGIN).0);
        let period = match phase {
            host::Phase::Serving | host::Phase::Unready => clock::Millis::ZERO,
            host::Phase::Closing => UNREADY_PERIOD,
            host::Phase::Refusing => ACCEPT_PERIOD,
            host::Phase::Ending => end_period,
        };
        self.signalled_at + period.min(end_period)
    }

    /// Phase at the time `now`.
    pub fn phase(&self, now: clock::Millis) -> host::Phase {
        let later = [
            host::Phase::Ending,
            host::Phase::Refusing,
            host::Phase::Closing,
        ];
        let begun = later.into_iter().find(|p| now >= self.begin(*p));
        begun.unwrap_or(host::Phase::Unready)
    }

    /// When the process must end by itself.
    pub fn exit_at(&self) -> clock::Millis {
        self.signalled_at + clock::Millis(self.grace.since(EXIT_MARGIN).0)
    }
}
