//! Keeps the configuration of this host up to date from the change log in the store and from peers.
//!
//! The revision never decreases: the configuration advances by one log entry at a time, or is
//! replaced by a complete state of a newer revision.

use std::sync;

use base::{clock, faulty_keys};
use config::{item, log, log_store, view};
use peer::message;

use crate::{context, stop};

/// Longest wait of one watch call to the store.
const WATCH_TIMEOUT: clock::Millis = clock::Millis(20_000);
/// Interval at which a host that does not watch the store reads it.
const POLL_INTERVAL: clock::Millis = clock::Millis(5_000);
/// Delay after a failed call to the store.
const RETRY_DELAY: clock::Millis = clock::Millis(300);
/// Maximum number of log entries in one message to a peer.
const MAX_MESSAGE_ENTRIES: usize = 64;
/// Maximum number of recent log entries that are kept for peers.
const MAX_RECENT_ENTRIES: usize = 1024;

/// Values that were logged as unreadable.
static FAULTY_KEYS: faulty_keys::FaultyKeys = faulty_keys::FaultyKeys::new();

#[derive(Default)]
struct State {
    recent: std::collections::VecDeque<log::Entry>,
    parts: Vec<Option<message::ConfigSegment>>,
}

/// Receives a notification when the active configuration has changed.
pub trait ChangeListener: Send + Sync {
    /// Called after another configuration revision has become active.
    fn config_changed(&self);
}

/// Applies changes of the configuration and serves them to peers.
#[derive(Default)]
pub struct ConfigSync {
    state: sync::Mutex<State>,
    listener: sync::OnceLock<sync::Weak<dyn ChangeListener>>,
}

impl ConfigSync {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the listener for changes. Only the first call has an effect.
    pub fn set_listener(&self, listener: sync::Weak<dyn ChangeListener>) {
        let _ = self.listener.set(listener);
    }

    fn notify_listener(&self) {
        if let Some(listener) = self.listener.get().and_then(sync::Weak::upgrade) {
            listener.config_changed();
        }
    }

    /// Applies a log entry if it is the next one; returns whether it was applied.
    pub fn advance(&self, context: &context::Context, entry: log::Entry) -> bool {
        let mut state = self.lock();
        if !context.view.update(|view| view.advance(&entry)) {
            return false;
        }
        let revision = entry.revision;
        let lag_ms = context.clock.unix_time().0.saturating_sub(entry.written_ms);
        tracing::info!(event = "config_applied", revision, lag_ms);
        state.recent.push_back(entry);
        if state.recent.len() > MAX_RECENT_ENTRIES {
            state.recent.pop_front();
        }
        drop(state);
        self.notify_listener();
        true
    }

    /// Replaces the configuration by a complete state if its revision is newer.
    pub fn replace(&self, context: &context::Context, new_state: &log::State) {
        let new_view = view::View::new(new_state);
        let mut state = self.lock();
        let replaced = context.view.update(|view| {
            let newer = new_view.revision > view.revision;
            if newer {
                *view = new_view;
            }
            newer
        });
        if !replaced {
            return;
        }
        state.recent.clear();
        drop(state);
        tracing::info!(event = "config_replaced", revision = new_state.revision);
        self.notify_listener();
    }

    /// Messages that bring a peer at revision `from - 1` up to date: the log entries from `from`
    /// on, or the complete state in segments if those entries are no longer kept.
    pub fn updates_since(&self, context: &context::Context, from: u64) -> Vec<message::Message> {
        let state = self.lock();
        let view = context.view();
        if view.revision < from {
            return Vec::new();
        }
        let oldest = state.recent.front().map_or(u64::MAX, |e| e.revision);
        if from >= oldest {
            let newer = state.recent.iter().filter(|e| e.revision >= from);
            let entries = newer.take(MAX_MESSAGE_ENTRIES).cloned().collect();
            return vec![message::Message::ConfigEntries(entries)];
        }
        let segments = log::segments(view.items());
        let parts = segments.len() as u32;
        let revision = view.revision;
        let part = |(n, bytes)| {
            let part = n as u32;
            message::Message::ConfigSegment(message::ConfigSegment {
                revision,
                part,
                parts,
                bytes,
            })
        };
        segments.into_iter().enumerate().map(part).collect()
    }

    /// Stores one segment of a complete state from a peer, and applies the state once all segments
    /// have arrived.
    pub fn receive_segment(&self, context: &context::Context, segment: message::ConfigSegment) {
        let mut state = self.lock();
        if segment.revision <= context.view().revision || segment.part >= segment.parts {
            return;
        }
        let is_same_state =
            |s: &message::ConfigSegment| s.revision == segment.revision && s.parts == segment.parts;
        if !state.parts.iter().flatten().all(is_same_state)
            || state.parts.len() != segment.parts as usize
        {
            state.parts = vec![None; segment.parts as usize];
        }
        let index = segment.part as usize;
        let revision = segment.revision;
        state.parts[index] = Some(segment);
        if state.parts.iter().any(Option::is_none) {
            return;
        }
        let parts = std::mem::take(&mut state.parts);
        drop(state);
        let mut items = item::Items::new();
        for part in parts.iter().flatten() {
            if log::read_segment(&part.bytes, &mut items).is_err() {
                tracing::warn!(event = "config_unreadable", revision);
                return;
            }
        }
        self.replace(context, &log::State { revision, items });
    }

    /// Reads configuration changes from the store until stopped. `should_watch` returns whether
    /// this host is one of those that watch the store for their data centre; the others poll it.
    pub fn run(
        &self,
        context: &context::Context,
        stop: &stop::StopFlag,
        should_watch: impl Fn() -> bool,
    ) {
        let mut after = 0;
        while !stop.is_set() {
            match self.read(context, after, should_watch()) {
                Ok(revision) => {
                    context.record_contact();
                    after = revision;
                }
                Err(e) => {
                    tracing::debug!(event = "store_not_read", error = %e);
                    stop.wait(RETRY_DELAY.duration());
                }
            }
            // The hosts that watch the store may have lost their connection to it while this host
            // can still reach it.
            if !should_watch() {
                stop.wait(POLL_INTERVAL.duration());
            }
        }
    }

    /// Reads new log entries, then waits for more if `watch` is set. Returns the revision of the
    /// store after which the next watch starts.
    fn read(
        &self,
        context: &context::Context,
        after: u64,
        watch: bool,
    ) -> Result<u64, log_store::Error> {
        self.catch_up(context)?;
        if context.view().revision > 0 {
            context.set_ready();
        }
        if watch {
            self.watch(context, after)
        } else {
            Ok(after)
        }
    }

    fn watch(&self, context: &context::Context, after: u64) -> Result<u64, log_store::Error> {
        let prefix = log::log_prefix(&context.settings.environment);
        // Only a watch call that returns proves that the store is reachable, so it must return well
        // within the time for which keys are trusted without contact.
        let contact_interval = clock::Millis(context.settings.durations.key_trust.0 / 3);
        let wait = if after == 0 {
            clock::Millis::ZERO
        } else {
            WATCH_TIMEOUT.min(contact_interval)
        };
        let changes = context.store.watch(&prefix, after, wait)?;
        for entry in &changes.entries {
            let Ok(entry) = serde_json::from_slice::<log::Entry>(entry.bytes()) else {
                continue;
            };
            self.advance(context, entry);
        }
        Ok(changes.revision)
    }

    /// Reads the snapshot, if it is newer than the active configuration, and the log entries after
    /// it. For a host that was offline for long, the next entry may have been removed from the log;
    /// it continues from the snapshot.
    fn catch_up(&self, context: &context::Context) -> Result<(), log_store::Error> {
        let env = &context.settings.environment;
        let store = &*context.store;
        let read_newer = || {
            if log_store::snapshot_revision(store, env)? <= context.view().revision {
                return Ok(None);
            }
            log_store::read_snapshot(store, env)
        };
        if let Some(new_state) = readable(read_newer())? {
            self.replace(context, &new_state);
        }
        loop {
            let next = context.view().revision + 1;
            let Some(entry) = readable(log_store::read_entry(store, env, next))? else {
                return Ok(());
            };
            self.advance(context, entry);
        }
    }
}

/// Takes a value that another program has written for one that is not there: this host goes on with what it
/// could read.
fn readable<T>(read: Result<Option<T>, log_store::Error>) -> Result<Option<T>, log_store::Error> {
    match read {
        Err(log_store::Error::Unreadable(key)) => {
            FAULTY_KEYS.log("config_unreadable", &key, 0, "it can't be decoded");
            Ok(None)
        }
        read => read,
    }
}
