//! Bound on the bytes that a host holds for all requests and responses together.
//!
//! A holder may grow while it holds no more than what is left free. So whoever holds most is stopped
//! first, with `n` growing holders at an `n + 1`th of the limit, and there is always room for small
//! ones.

use std::sync;
use std::sync::atomic;

use bytes::Bytes;

/// The limit is reached for this holder: it holds at least as much as is free.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Exhausted;

impl std::fmt::Display for Exhausted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the memory for requests and responses is used up")
    }
}

impl std::error::Error for Exhausted {}

#[derive(Debug)]
struct State {
    /// Limit of the sum of all holds, in bytes.
    limit: usize,
    /// Sum of all holds, in bytes.
    held: atomic::AtomicUsize,
}

/// Memory for requests and responses, of which parts are held.
#[derive(Clone, Debug)]
pub struct Budget(sync::Arc<State>);

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self(sync::Arc::new(State {
            limit,
            held: atomic::AtomicUsize::new(0),
        }))
    }

    /// Bytes held at present.
    pub fn held(&self) -> usize {
        self.0.held.load(atomic::Ordering::Relaxed)
    }

    /// Creates a hold of no bytes.
    pub fn open(&self) -> Hold {
        Hold {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

/// Part of a [`Budget`]. Dropping it returns its bytes.
#[derive(Debug)]
pub struct Hold {
    budget: Budget,
    bytes: usize,
}

impl Hold {
    /// Changes the hold to `bytes`. It may always shrink.
    ///
    /// # Errors
    ///
    /// Returns [`Exhausted`] if the hold would be larger than what would be left free; it stays as it
    /// was.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let state = &self.budget.0;
        let held_by_others = self.budget.held() - self.bytes;
        let free = state.limit.saturating_sub(held_by_others + bytes);
        if bytes > self.bytes && bytes > free {
            return Err(Exhausted);
        }
        if bytes > self.bytes {
            let added = bytes - self.bytes;
            state.held.fetch_add(added, atomic::Ordering::Relaxed);
        } else {
            let returned = self.bytes - bytes;
            state.held.fetch_sub(returned, atomic::Ordering::Relaxed);
        }
        self.bytes = bytes;
        Ok(())
    }

    /// Adds `bytes` to the hold.
    ///
    /// # Errors
    ///
    /// See [`Hold::resize`].
    pub fn grow(&mut self, bytes: usize) -> Result<(), Exhausted> {
        self.resize(self.bytes + bytes)
    }

    /// Returns the same bytes, with the hold kept until they are dropped.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _hold: self })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let state = &self.budget.0;
        state.held.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}

struct HeldBytes {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
