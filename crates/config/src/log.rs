//! The change log: one entry a revision, created only if absent, so that of two racing writers
//! exactly one gets the revision.
//!
//! A snapshot in segments stands beside the log, so that a starting host reads one snapshot and
//! the entries after it.

use serde::{Deserialize, Serialize};

use crate::item;

/// The largest segment of a snapshot, in bytes; a store value holds one megabyte.
pub const SEGMENT_BYTES: usize = 512 * 1024;

/// A snapshot is written when this many entries have come since the last one.
pub const SNAPSHOT_EVERY: u64 = 256;

/// One revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision that this entry makes; the first is 1.
    pub revision: u64,
    /// A random mark of the writer, by which it knows its own entry after a lost answer.
    pub writer: u64,
    /// Digest of the document after this entry.
    pub digest: String,
    /// When it was written, in milliseconds of the Unix epoch.
    pub written: u64,
    /// What it changes.
    pub changes: Vec<item::Change>,
}

/// Points to the newest snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The revision it holds.
    pub revision: u64,
    /// How many segments it has.
    pub segments: u32,
}

/// Key of a log entry.
pub fn entry_key(env: &str, revision: u64) -> String {
    format!("config/{env}/log/{revision:012}")
}

/// Prefix of all log entries.
pub fn log_prefix(env: &str) -> String {
    format!("config/{env}/log/")
}

/// Key of the pointer to the newest snapshot.
pub fn snapshot_key(env: &str) -> String {
    format!("config/{env}/snapshot")
}

/// Key of one segment.
pub fn segment_key(env: &str, revision: u64, n: u32) -> String {
    format!("config/{env}/segment/{revision:012}/{n:04}")
}

/// Splits items into segments of at most [`SEGMENT_BYTES`].
pub fn segments(items: impl Iterator<Item = item::Item>) -> Vec<Vec<u8>> {
    let mut out = Vec::new();
    let mut cur = Vec::new();
    for item in items {
        let line = serde_json::to_vec(&item).unwrap_or_default();
        if cur.len() + line.len() + 1 > SEGMENT_BYTES && !cur.is_empty() {
            out.push(std::mem::take(&mut cur));
        }
        cur.extend_from_slice(&line);
        cur.push(b'\n');
    }
    out.push(cur);
    out
}

/// Adds the items of one segment.
///
/// # Errors
///
/// A line that is not an item.
pub fn read_segment(bytes: &[u8], items: &mut item::Items) -> Result<(), serde_json::Error> {
    for line in bytes.split(|b| *b == b'\n') {
        if line.is_empty() {
            continue;
        }
        let item: item::Item = serde_json::from_slice(line)?;
        items.insert(item.id(), item);
    }
    Ok(())
}

/// A configuration at a revision; it only moves up.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// The newest revision applied.
    pub revision: u64,
    /// The items at that revision.
    pub items: item::Items,
}

impl State {
    /// Applies `entry` if it is the next one; tells whether it was.
    pub fn advance(&mut self, entry: &Entry) -> bool {
        if entry.revision != self.revision + 1 {
            return false;
        }
        for change in &entry.changes {
            item::apply(&mut self.items, change);
        }
        self.revision = entry.revision;
        true
    }
}
