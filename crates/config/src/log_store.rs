//! Reads the configuration change log from the store and appends to it.

use std::error;
use std::fmt;

use ports::store;

use crate::{item, log};

/// Error of reading the change log or appending to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// A call to the store failed, and nothing was written.
    Store(store::Error),
    /// Another writer created this revision first, and nothing was written.
    Conflict(u64),
    /// The store did not respond, so the change may or may not have been written.
    Unknown,
    /// The value of this store key is missing or can't be decoded.
    Unreadable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(e) => write!(f, "{e}; nothing was changed"),
            Self::Conflict(revision) => {
                write!(
                    f,
                    "another operator created revision {revision} first; nothing was changed"
                )
            }
            Self::Unknown => {
                f.write_str("the store did not respond; the change may have been written")
            }
            Self::Unreadable(key) => {
                write!(f, "the store value {key} is missing or can't be decoded")
            }
        }
    }
}

impl error::Error for Error {}

impl From<store::Error> for Error {
    fn from(e: store::Error) -> Self {
        Self::Store(e)
    }
}

/// Number of log entries kept before the previous snapshot.
const KEPT_ENTRIES: u64 = 2 * log::ENTRIES_PER_SNAPSHOT;

/// Reads one log entry; `None` if the revision does not exist or its entry was deleted.
///
/// # Errors
///
/// Returns an error if the store can't be read or the entry can't be decoded.
pub fn read_entry(
    store: &dyn store::Store,
    env: &str,
    revision: u64,
) -> Result<Option<log::Entry>, Error> {
    let key = log::entry_key(env, revision);
    let Some(found) = store.get(&key)? else {
        return Ok(None);
    };
    match serde_json::from_slice(found.bytes()) {
        Ok(entry) => Ok(Some(entry)),
        Err(_) => Err(Error::Unreadable(key)),
    }
}

/// Reads the revision of the newest snapshot; 0 if there is none.
///
/// # Errors
///
/// Returns an error if the store can't be read.
pub fn snapshot_revision(store: &dyn store::Store, env: &str) -> Result<u64, Error> {
    Ok(read_pointer(store, env)?.map_or(0, |(pointer, _)| pointer.revision))
}

/// Reads the snapshot pointer and the store revision of its key.
fn read_pointer(
    store: &dyn store::Store,
    env: &str,
) -> Result<Option<(log::SnapshotPointer, u64)>, Error> {
    let key = log::snapshot_key(env);
    let Some(found) = store.get(&key)? else {
        return Ok(None);
    };
    match serde_json::from_slice(found.bytes()) {
        Ok(pointer) => Ok(Some((pointer, found.revision))),
        Err(_) => Err(Error::Unreadable(key)),
    }
}

/// Reads the newest snapshot; `None` if there is none.
///
/// # Errors
///
/// Returns an error if the store can't be read, or a segment is missing or can't be decoded.
pub fn read_snapshot(store: &dyn store::Store, env: &str) -> Result<Option<log::State>, Error> {
    let Some((pointer, _)) = read_pointer(store, env)? else {
        return Ok(None);
    };
    let mut items = item::Items::new();
    for n in 0..pointer.segments {
        let key = log::segment_key(env, pointer.revision, n);
        let Some(segment) = store.get(&key)? else {
            return Err(Error::Unreadable(key));
        };
        log::read_segment(segment.bytes(), &mut items).map_err(|_| Error::Unreadable(key))?;
    }
    Ok(Some(log::State {
        revision: pointer.revision,
        items,
    }))
}

/// Reads the current configuration: the newest snapshot and the log entries after it.
///
/// # Errors
///
/// Returns an error if the store can't be read or one of its values can't be decoded.
pub fn load(store: &dyn store::Store, env: &str) -> Result<log::State, Error> {
    let mut state = read_snapshot(store, env)?.unwrap_or_default();
    while let Some(entry) = read_entry(store, env, state.revision + 1)? {
        state.advance(&entry);
    }
    Ok(state)
}

/// Writer and time of an append.
#[derive(Clone, Copy, Debug)]
pub struct Stamp {
    /// Random number that identifies this append.
    pub writer: u64,
    /// Unix time of the append, in milliseconds.
    pub written_ms: u64,
}

/// Appends `changes` as the revision after `state`, and applies them to `state`.
///
/// # Errors
///
/// See [`Error`]. Of two writers that append to the same revision, one gets [`Error::Conflict`].
pub fn append(
    store: &dyn store::Store,
    env: &str,
    state: &mut log::State,
    changes: Vec<item::Change>,
    stamp: Stamp,
) -> Result<(), Error> {
    let mut next = state.clone();
    for change in &changes {
        item::apply(&mut next.items, change);
    }
    let entry = log::Entry {
        revision: state.revision + 1,
        writer: stamp.writer,
        digest: item::digest(&next.items),
        written_ms: stamp.written_ms,
        changes,
    };
    let key = log::entry_key(env, entry.revision);
    let bytes = serde_json::to_vec(&entry).map_err(|_| Error::Unreadable(key.clone()))?;
    match store::create(store, &key, &bytes) {
        Ok(store::CreateOutcome::Own(_)) => {}
        Ok(store::CreateOutcome::Other(found)) => {
            let other = serde_json::from_slice::<log::Entry>(found.bytes());
            return Err(other.map_or(Error::Unreadable(key), |e| Error::Conflict(e.revision)));
        }
        Err(store::Error::Unknown) => return Err(Error::Unknown),
        Err(e) => return Err(Error::Store(e)),
    }
    state.advance(&entry);
    // The change is written at this point. If the snapshot fails, a later append writes it.
    let _ = write_snapshot_if_due(store, env, state);
    Ok(())
}

/// Writes a snapshot of `state` if the newest snapshot is old enough, and prunes old data.
fn write_snapshot_if_due(
    store: &dyn store::Store,
    env: &str,
    state: &log::State,
) -> Result<(), Error> {
    let old = read_pointer(store, env)?;
    let (last, expect) = match &old {
        Some((pointer, at)) => (pointer.revision, store::Expect::Revision(*at)),
        None => (0, store::Expect::Absent),
    };
    if state.revision < last + log::ENTRIES_PER_SNAPSHOT {
        return Ok(());
    }
    let segments = log::segments(state.items.values().cloned());
    for (n, bytes) in segments.iter().enumerate() {
        let key = log::segment_key(env, state.revision, n as u32);
        store.put(&key, bytes, store::Expect::Any)?;
    }
    let pointer = log::SnapshotPointer {
        revision: state.revision,
        segments: segments.len() as u32,
    };
    let bytes = serde_json::to_vec(&pointer).unwrap_or_default();
    store.put(&log::snapshot_key(env), &bytes, expect)?;
    if let Some((old, _)) = old {
        prune(store, env, &old)?;
    }
    Ok(())
}

/// Deletes the segments of the replaced snapshot `old`, and the log entries more than
/// [`KEPT_ENTRIES`] before it.
fn prune(store: &dyn store::Store, env: &str, old: &log::SnapshotPointer) -> Result<(), Error> {
    for n in 0..old.segments {
        let key = log::segment_key(env, old.revision, n);
        store.delete(&key, store::Expect::Any)?;
    }
    let end = old.revision.saturating_sub(KEPT_ENTRIES);
    for revision in end.saturating_sub(log::ENTRIES_PER_SNAPSHOT * 2)..end {
        let key = log::entry_key(env, revision);
        if store.get(&key)?.is_some() {
            store.delete(&key, store::Expect::Any)?;
        }
    }
    Ok(())
}
