//! Flag that asks threads to stop, with a timed wait.

use std::sync;
use std::time;

/// Flag that is set once to stop threads. Clones share the same flag.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(sync::Arc<(sync::Mutex<bool>, sync::Condvar)>);

impl StopFlag {
    fn lock(&self) -> sync::MutexGuard<'_, bool> {
        self.0
            .0
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the flag and wakes all waiting threads.
    pub fn set(&self) {
        *self.lock() = true;
        self.0.1.notify_all();
    }

    /// Whether the threads have been asked to stop.
    pub fn is_set(&self) -> bool {
        *self.lock()
    }

    /// Waits until the flag is set, at most for `limit`; returns whether the flag is set.
    pub fn wait(&self, limit: time::Duration) -> bool {
        let deadline = time::Instant::now() + limit;
        let mut flag = self.lock();
        while !*flag {
            let remaining = deadline.saturating_duration_since(time::Instant::now());
            if remaining.is_zero() {
                return false;
            }
            let waited = self.0.1.wait_timeout(flag, remaining);
            flag = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        true
    }
}
