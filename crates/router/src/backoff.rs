//! Delays between calls to a store that does not answer.

use base::clock;
use rand::Rng as _;
use tokio::time;

use crate::host;

/// Delay after the first failure.
const MIN_DELAY: clock::Millis = clock::Millis(250);
/// Longest delay of the task that finds out for the other tasks of its host that the store answers
/// again.
const MAX_PROBE_DELAY: clock::Millis = clock::Millis(1_000);
/// Longest delay of the other tasks of a host that watches the store on behalf of other hosts. They
/// are woken as soon as the store answers any task.
const MAX_WATCHER_DELAY: clock::Millis = clock::Millis(2_000);
/// Longest delay of a host that does not watch the store: it receives updates from a watching host
/// as soon as one can reach the store again.
const MAX_DELAY: clock::Millis = clock::Millis(4_000);

/// Delays between attempts of a call that is repeated until it succeeds. Each failure doubles the
/// delay, because a refused call costs as much as a successful one and every host retries.
#[derive(Debug, Default)]
pub struct Backoff {
    /// Delay after the latest failure; `None` after a success.
    last_delay: Option<clock::Millis>,
    is_probe: bool,
}

impl Backoff {
    /// Delays of the task whose calls show the other tasks of the host that the store answers again.
    pub fn probe() -> Self {
        Self {
            is_probe: true,
            ..Self::default()
        }
    }

    /// Resets the delay after a successful call.
    pub fn reset(&mut self) {
        self.last_delay = None;
    }

    /// Waits after a failed call, with random jitter, or until the store answers another task.
    pub async fn wait(&mut self, host: &host::Host) {
        let max_delay = match (host.is_watcher(), self.is_probe) {
            (true, true) => MAX_PROBE_DELAY,
            (true, false) => MAX_WATCHER_DELAY,
            (false, _) => MAX_DELAY,
        };
        let delay = self.last_delay.map_or(MIN_DELAY, |p| p + p).min(max_delay);
        self.last_delay = Some(delay);
        // Hosts that lost the store at the same time must not retry at the same time.
        let jitter = rand::rng().random_range(0..=delay.0 / 4);
        let delay = clock::Millis(delay.0 - jitter);
        // Either end of the wait leads to the next call.
        let _ = time::timeout(delay.duration(), host.store_health.regained()).await;
    }
}
