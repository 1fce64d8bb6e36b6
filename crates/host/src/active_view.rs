//! Active configuration of a host, shared between threads.
//!
//! Readers get a snapshot and never a lock guard, so a thread that reads the configuration twice
//! can't wait for a writer that waits for the same thread.

use std::sync;

use config::view;

/// Active configuration. It is updated in place while no snapshot of it is held, and copied
/// otherwise.
#[derive(Debug, Default)]
pub struct ActiveView(sync::RwLock<sync::Arc<view::View>>);

impl ActiveView {
    /// Returns the configuration as of now. Later changes do not affect the returned snapshot.
    pub fn snapshot(&self) -> sync::Arc<view::View> {
        self.0
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }

    /// Applies `change` to the configuration and returns its result. `change` must not block:
    /// all readers wait for it.
    pub fn update<T>(&self, change: impl FnOnce(&mut view::View) -> T) -> T {
        let mut view = self.0.write().unwrap_or_else(sync::PoisonError::into_inner);
        change(sync::Arc::make_mut(&mut view))
    }
}
