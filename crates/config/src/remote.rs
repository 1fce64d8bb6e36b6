//! The change log in the store: reading it, and appending to it.

use std::error;
use std::fmt;

use ports::store;

use crate::{item, log};

/// Why nothing was appended, or why that isn't known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The store failed; nothing was written.
    Store(store::Error),
    /// Another writer made this revision first.
    Conflict(u64),
    /// No answer came; the change may stand.
    Unknown,
    /// A value in the store can't be read.
    Unreadable(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(e) => write!(f, "{e}; nothing was changed"),
            Self::Conflict(revision) => {
                write!(
                    f,
                    "another operator made revision {revision} first; nothing was changed"
                )
            }
            Self::Unknown => f.write_str("the store gave no answer; the change may stand"),
            Self::Unreadable(key) => write!(f, "{key} can't be read"),
        }
    }
}

impl error::Error for Error {}

impl From<store::Error> for Error {
    fn from(e: store::Error) -> Self {
        Self::Store(e)
    }
}

/// Log entries kept behind the newest snapshot.
const KEPT_ENTRIES: u64 = 2 * log::SNAPSHOT_EVERY;

/// Reads one log entry.
///
/// # Errors
///
/// The store can't be read, or the entry is not one.
pub fn entry(
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

/// The newest snapshot's revision; 0 if there is none.
///
/// # Errors
///
/// The store can't be read.
pub fn snapshot_revision(store: &dyn store::Store, env: &str) -> Result<u64, Error> {
    Ok(head(store, env)?.map_or(0, |(head, _)| head.revision))
}

fn head(store: &dyn store::Store, env: &str) -> Result<Option<(log::Snapshot, u64)>, Error> {
    let key = log::snapshot_key(env);
    let Some(found) = store.get(&key)? else {
        return Ok(None);
    };
    match serde_json::from_slice(found.bytes()) {
        Ok(head) => Ok(Some((head, found.revision))),
        Err(_) => Err(Error::Unreadable(key)),
    }
}

/// Reads the newest snapshot.
///
/// # Errors
///
/// The store can't be read, or the snapshot is not whole.
pub fn snapshot(store: &dyn store::Store, env: &str) -> Result<Option<log::State>, Error> {
    let Some((head, _)) = head(store, env)? else {
        return Ok(None);
    };
    let mut items = item::Items::new();
    for n in 0..head.segments {
        let key = log::segment_key(env, head.revision, n);
        let Some(segment) = store.get(&key)? else {
            return Err(Error::Unreadable(key));
        };
        log::read_segment(segment.bytes(), &mut items).map_err(|_| Error::Unreadable(key))?;
    }
    Ok(Some(log::State {
        revision: head.revision,
        items,
    }))
}

/// Reads the configuration as it stands.
///
/// # Errors
///
/// The store can't be read, or a value in it is not what it should be.
pub fn load(store: &dyn store::Store, env: &str) -> Result<log::State, Error> {
    let mut state = snapshot(store, env)?.unwrap_or_default();
    while let Some(entry) = entry(store, env, state.revision + 1)? {
        state.advance(&entry);
    }
    Ok(state)
}

/// Who appends, and when.
#[derive(Clone, Copy, Debug)]
pub struct Stamp {
    /// A number drawn for this append.
    pub writer: u64,
    /// Milliseconds of the Unix epoch.
    pub written: u64,
}

/// Appends `changes` after `state` and advances it. Of two writers at the same revision one gets
/// [`Error::Conflict`].
///
/// # Errors
///
/// See [`Error`].
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
        written: stamp.written,
        changes,
    };
    let key = log::entry_key(env, entry.revision);
    let bytes = serde_json::to_vec(&entry).map_err(|_| Error::Unreadable(key.clone()))?;
    match store::create(store, &key, &bytes) {
        Ok(store::CreateOutcome::Own(_)) => {}
        Ok(store::CreateOutcome::Other(_)) => return Err(Error::Conflict(entry.revision)),
        Err(store::Error::Unknown) => return Err(Error::Unknown),
        Err(e) => return Err(Error::Store(e)),
    }
    state.advance(&entry);
    // The change stands; a snapshot that fails now is written by a later append.
    let _ = snapshot_if_due(store, env, state);
    Ok(())
}

fn snapshot_if_due(store: &dyn store::Store, env: &str, state: &log::State) -> Result<(), Error> {
    let old = head(store, env)?;
    let (last, at) = match &old {
        Some((head, at)) => (head.revision, store::Expect::Revision(*at)),
        None => (0, store::Expect::Absent),
    };
    if state.revision < last + log::SNAPSHOT_EVERY {
        return Ok(());
    }
    let segments = log::segments(state.items.values().cloned());
    for (n, bytes) in segments.iter().enumerate() {
        let key = log::segment_key(env, state.revision, n as u32);
        store.put(&key, bytes, store::Expect::Any)?;
    }
    let head = log::Snapshot {
        revision: state.revision,
        segments: segments.len() as u32,
    };
    let bytes = serde_json::to_vec(&head).unwrap_or_default();
    store.put(&log::snapshot_key(env), &bytes, at)?;
    if let Some((old, _)) = old {
        prune(store, env, &old)?;
    }
    Ok(())
}

/// Removes the segments of a replaced snapshot, and entries long before it.
fn prune(store: &dyn store::Store, env: &str, old: &log::Snapshot) -> Result<(), Error> {
    for n in 0..old.segments {
        let key = log::segment_key(env, old.revision, n);
        store.delete(&key, store::Expect::Any)?;
    }
    let end = old.revision.saturating_sub(KEPT_ENTRIES);
    for revision in end.saturating_sub(log::SNAPSHOT_EVERY * 2)..end {
        let key = log::entry_key(env, revision);
        if store.get(&key)?.is_some() {
            store.delete(&key, store::Expect::Any)?;
        }
    }
    Ok(())
}
