//! Pauses between calls to a store that does not answer.

use base::clock;
use rand::Rng as _;
use tokio::time;

use crate::host;

/// The first pause.
const FIRST: clock::Millis = clock::Millis(250);
/// The longest pause of a host that watches the store for others.
const MAX_WATCHING: clock::Millis = clock::Millis(1_000);
/// The longest pause of other hosts: they are fed as soon as one that watches is back.
const MAX: clock::Millis = clock::Millis(4_000);

/// A call that is made until it is answered. Each failure doubles the pause before the next one:
/// refused calls cost as much as others, and all hosts make them.
#[derive(Debug, Default)]
pub struct Backoff {
    last_delay: Option<clock::Millis>,
}

impl Backoff {
    /// Notes an answer.
    pub fn reset(&mut self) {
        self.last_delay = None;
    }

    /// Waits after a failure.
    pub async fn wait(&mut self, host: &host::Host) {
        let most = if host.is_watcher() { MAX_WATCHING } else { MAX };
        let next = self.last_delay.map_or(FIRST, |p| p + p).min(most);
        self.last_delay = Some(next);
        // Hosts that lost the store at once don't ask at once.
        let jitter = rand::rng().random_range(0..next.0 / 2);
        time::sleep(clock::Millis(next.0 * 3 / 4 + jitter).duration()).await;
    }
}
