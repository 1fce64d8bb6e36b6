//! Entries of the store that can't be used: each is named in the log once.

use std::collections;
use std::sync;

/// Number of keys that are remembered as logged. Further faulty entries are not logged.
const MAX_KEYS: usize = 256;
/// Length up to which a log line quotes a key or describes a fault, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Quoted keys of the faulty entries that were logged.
#[derive(Debug, Default)]
pub struct FaultyKeys {
    logged: sync::Mutex<collections::BTreeSet<String>>,
}

impl FaultyKeys {
    /// Creates an empty set.
    pub const fn new() -> Self {
        Self {
            logged: sync::Mutex::new(collections::BTreeSet::new()),
        }
    }

    /// Logs `event` for the entry of `key` at a revision of the store, unless that key was logged before. The
    /// revision is 0 if it is not known.
    pub fn log(&self, event: &'static str, key: &str, revision: u64, fault: &str) {
        // Another program wrote the key, and the fault may quote what it wrote.
        let (key, fault) = (quote(key), quote(fault));
        let mut logged = self
            .logged
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if logged.len() >= MAX_KEYS || !logged.insert(key.clone()) {
            return;
        }
        drop(logged);
        tracing::warn!(event, key, revision, fault);
    }
}

fn quote(text: &str) -> String {
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text[..end].escape_debug().to_string()
}
