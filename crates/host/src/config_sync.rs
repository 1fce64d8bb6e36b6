//! Follows the configuration: from the store's log, and from peers.
//!
//! The state only moves up, one log entry at a time, or to a newer whole state.

use std::sync;

use base::clock;
use config::{item, log, log_store, view};
use peer::message;

use crate::{context, stop};

/// How long one watch waits.
const WATCH: clock::Millis = clock::Millis(20_000);
/// How often a host looks at the store that leaves the watch to others.
const LOOK: clock::Millis = clock::Millis(5_000);
/// Pause after a failed call.
const PAUSE: clock::Millis = clock::Millis(300);
/// Entries sent to a peer at a time.
const MAX_ENTRIES: usize = 64;
/// Entries kept for peers.
const KEPT: usize = 1024;

#[derive(Default)]
struct State {
    recent: std::collections::VecDeque<log::Entry>,
    parts: Vec<Option<message::ConfigSegment>>,
}

/// Told when another configuration is in force.
pub trait ChangeListener: Send + Sync {
    /// Another configuration is in force.
    fn config_changed(&self);
}

/// The configuration of this host, and what its peers may ask of it.
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

    /// Sets who is told of changes.
    pub fn set_listener(&self, listener: sync::Weak<dyn ChangeListener>) {
        let _ = self.listener.set(listener);
    }

    fn tell_listener(&self) {
        if let Some(listener) = self.listener.get().and_then(sync::Weak::upgrade) {
            listener.config_changed();
        }
    }

    /// Applies an entry if it is the next one.
    pub fn advance(&self, context: &context::Context, entry: log::Entry) -> bool {
        let mut state = self.lock();
        if !context.view_mut().advance(&entry) {
            return false;
        }
        let revision = entry.revision;
        let lag_ms = context.clock.unix_time().0.saturating_sub(entry.written_ms);
        tracing::info!(event = "config_applied", revision, lag_ms);
        state.recent.push_back(entry);
        if state.recent.len() > KEPT {
            state.recent.pop_front();
        }
        drop(state);
        self.tell_listener();
        true
    }

    /// Takes a newer whole state.
    pub fn replace(&self, context: &context::Context, newer: &log::State) {
        let fresh = view::View::new(newer);
        let mut state = self.lock();
        let mut view = context.view_mut();
        if fresh.revision <= view.revision {
            return;
        }
        *view = fresh;
        drop(view);
        state.recent.clear();
        drop(state);
        tracing::info!(event = "config_replaced", revision = newer.revision);
        self.tell_listener();
    }

    /// What a peer at `from - 1` needs: the entries from `from` on, or the whole state in parts.
    pub fn updates_since(&self, context: &context::Context, from: u64) -> Vec<message::Message> {
        let state = self.lock();
        let view = context.view();
        if view.revision < from {
            return Vec::new();
        }
        let oldest = state.recent.front().map_or(u64::MAX, |e| e.revision);
        if from >= oldest {
            let newer = state.recent.iter().filter(|e| e.revision >= from);
            let entries = newer.take(MAX_ENTRIES).cloned().collect();
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

    /// Takes one part of a whole state from a peer.
    pub fn receive_segment(&self, context: &context::Context, segment: message::ConfigSegment) {
        let mut state = self.lock();
        if segment.revision <= context.view().revision || segment.part >= segment.parts {
            return;
        }
        let same =
            |s: &message::ConfigSegment| s.revision == segment.revision && s.parts == segment.parts;
        if !state.parts.iter().flatten().all(same) || state.parts.len() != segment.parts as usize {
            state.parts = vec![None; segment.parts as usize];
        }
        let at = segment.part as usize;
        let revision = segment.revision;
        state.parts[at] = Some(segment);
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

    /// Follows the store until stopped. `should_watch` tells whether this host is one of those
    /// that watch for its data centre.
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
                    stop.wait(PAUSE.duration());
                }
            }
            // The watching hosts may be cut from the store while this one is not.
            if !should_watch() {
                stop.wait(LOOK.duration());
            }
        }
    }

    /// Reads what is new, and watches for more; the revision of the store to watch after.
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
        // A watch that comes back is what shows that the store is heard.
        let heard = clock::Millis(context.settings.durations.key_trust.0 / 3);
        let wait = if after == 0 {
            clock::Millis::ZERO
        } else {
            WATCH.min(heard)
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

    /// Reads the snapshot, if it is ahead, and the log after it. A host that was away for long
    /// finds its next entry removed and the snapshot ahead of it.
    fn catch_up(&self, context: &context::Context) -> Result<(), log_store::Error> {
        let env = &context.settings.environment;
        let store = &*context.store;
        if log_store::snapshot_revision(store, env)? > context.view().revision
            && let Some(newer) = log_store::read_snapshot(store, env)?
        {
            self.replace(context, &newer);
        }
        loop {
            let next = context.view().revision + 1;
            let Some(entry) = log_store::read_entry(store, env, next)? else {
                return Ok(());
            };
            self.advance(context, entry);
        }
    }
}
