//! A flag that ends threads, which they can wait on.

use std::sync;
use std::time;

/// A flag that is set once. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct StopFlag(sync::Arc<(sync::Mutex<bool>, sync::Condvar)>);

impl StopFlag {
    fn lock(&self) -> sync::MutexGuard<'_, bool> {
        self.0
            .0
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the flag and wakes all that wait.
    pub fn set(&self) {
        *self.lock() = true;
        self.0.1.notify_all();
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        *self.lock()
    }

    /// Waits for the flag up to `limit`; tells whether it is set.
    pub fn wait(&self, limit: time::Duration) -> bool {
        let end = time::Instant::now() + limit;
        let mut set = self.lock();
        while !*set {
            let left = end.saturating_duration_since(time::Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.0.1.wait_timeout(set, left);
            set = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        true
    }
}
