//! Format of the configuration change log, which [`crate::log_store`] reads and writes.
//!
//! The log has one entry per revision. An entry is created only if its key is absent, so that of
//! two concurrent writers exactly one gets the revision. Snapshots, stored in segments next to the
//! log, allow a starting host to read only the newest snapshot and the entries after it.

use serde::{Deserialize, Serialize};

use crate::item;

/// Maximum size of a snapshot segment, in bytes. The store limits values to 1 MiB.
pub const MAX_SEGMENT_BYTES: usize = 512 * 1024;

/// Number of log entries after which a new snapshot is written.
pub const ENTRIES_PER_SNAPSHOT: u64 = 256;

/// An entry of the change log, which creates one revision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision created by this entry; the first revision is 1.
    pub revision: u64,
    /// Random number by which the writer recognizes its own entry after a lost response.
    pub writer: u64,
    /// Digest of the document after this entry, as computed by [`item::digest`].
    pub digest: String,
    /// Unix time at which the entry was written, in milliseconds.
    #[serde(rename = "written")]
    pub written_ms: u64,
    /// Changes that the entry makes to configuration items.
    pub changes: Vec<item::Change>,
}

/// Store value that identifies the newest snapshot.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Configuration revision that the snapshot contains.
    pub revision: u64,
    /// Number of segments of the snapshot.
    pub segments: u32,
}

/// Returns the store key of a log entry.
pub fn entry_key(env: &str, revision: u64) -> String {
    format!("config/{env}/log/{revision:012}")
}

/// Returns the prefix of the store keys of all log entries.
pub fn log_prefix(env: &str) -> String {
    format!("config/{env}/log/")
}

/// Returns the store key of the [`SnapshotPointer`].
pub fn snapshot_key(env: &str) -> String {
    format!("config/{env}/snapshot")
}

/// Returns the store key of segment `n` of the snapshot of `revision`.
pub fn segment_key(env: &str, revision: u64, n: u32) -> String {
    format!("config/{env}/segment/{revision:012}/{n:04}")
}

/// Encodes items as JSON lines, split into segments of at most [`MAX_SEGMENT_BYTES`] bytes; a
/// larger item gets a segment of its own.
pub fn segments(items: impl Iterator<Item = item::Item>) -> Vec<Vec<u8>> {
    let mut out = Vec::new();
    let mut segment = Vec::new();
    for item in items {
        let line = serde_json::to_vec(&item).unwrap_or_default();
        if segment.len() + line.len() + 1 > MAX_SEGMENT_BYTES && !segment.is_empty() {
            out.push(std::mem::take(&mut segment));
        }
        segment.extend_from_slice(&line);
        segment.push(b'\n');
    }
    out.push(segment);
    out
}

/// Decodes a segment and adds its items to `items`.
///
/// # Errors
///
/// Returns an error if a line is not a valid item.
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

/// Configuration of an environment at one revision, which never decreases.
#[derive(Clone, Debug, Default)]
pub struct State {
    /// Revision of the last applied entry; 0 if there is none.
    pub revision: u64,
    /// Configuration items as of that revision.
    pub items: item::Items,
}

impl State {
    /// Applies `entry` if it has the next revision; returns whether it was applied.
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
