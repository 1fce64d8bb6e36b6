//! Entries of the store that can't be used: each is named in the log once.

use std::cell;
use std::collections;

/// Number of keys that are remembered as logged. Further faulty entries are not logged.
const MAX_KEYS: usize = 256;
/// Length up to which a log line quotes a key or describes a fault, in bytes.
const MAX_TEXT_BYTES: usize = 200;

/// Keys of the faulty entries that were logged.
#[derive(Debug, Default)]
pub struct FaultyKeys {
    logged: cell::RefCell<collections::HashSet<String>>,
}

impl FaultyKeys {
    /// Logs `event` for the entry of `key`, unless that key was logged before.
    pub fn log(&self, event: &'static str, key: &str, revision: u64, fault: &str) {
        let mut logged = self.logged.borrow_mut();
        if logged.len() >= MAX_KEYS || !logged.insert(key.to_owned()) {
            return;
        }
        // Another program wrote the key, and the parser quotes what it wrote.
        let (key, fault) = (quote(key), quote(fault));
        tracing::warn!(event, key, revision, fault);
    }
}

fn quote(text: &str) -> String {
    let end = text.floor_char_boundary(MAX_TEXT_BYTES);
    text[..end].escape_debug().to_string()
}
