//! How old this host's knowledge of the store's contents is.
//!
//! A host that follows another knows the contents up to the time up to which its source knew them
//! when it was asked. So the age adds up along any number of hosts, and delays on the way count.

use std::cell;

use base::clock;

/// Share of the deadline for changes up to which the contents relayed by another host may be old.
/// The rest is for reading them from the store.
const MAX_RELAYED_SHARE: f64 = 0.75;
/// Share of the deadline for changes that one watch call waits. It bounds the age of a watching
/// host's knowledge, so its followers' knowledge stays younger than `MAX_RELAYED_SHARE` allows.
const WATCH_TIMEOUT_SHARE: f64 = 0.4;
/// Share of the deadline for changes that a watch call waits at least.
const MIN_WATCH_TIMEOUT_SHARE: f64 = 0.05;
/// Share of the deadline for changes between two questions of a follower to its source.
const ASK_INTERVAL_SHARE: f64 = 0.125;

/// Data in the store that is watched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WatchTarget {
    /// The configuration, and the drained data centres.
    Config,
    /// The entries of upstreams.
    Upstreams,
}

impl WatchTarget {
    /// Stable text of the target in log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Upstreams => "upstreams",
        }
    }
}

/// Times up to which the store's contents are known to this host.
#[derive(Debug)]
pub struct Freshness {
    change_deadline: clock::Millis,
    read: [cell::Cell<Option<clock::Millis>>; 2],
    relayed: cell::Cell<Option<clock::Millis>>,
}

impl Freshness {
    /// Creates the state of a host that knows nothing. `change_deadline` is the time within which a
    /// change must take effect.
    pub fn new(change_deadline: clock::Millis) -> Self {
        Self {
            change_deadline,
            read: Default::default(),
            relayed: cell::Cell::new(None),
        }
    }

    /// Records a read that began at `began`, after its response has been applied.
    pub fn record_read(&self, target: WatchTarget, began: clock::Millis) {
        self.read[target as usize].set(Some(began));
    }

    /// Records a watch call that began at `began` and waited up to `wait`, after its response has
    /// been applied. `is_quiet` is whether there was no change: then the response was sent at the
    /// end of the wait, otherwise at an unknown time since the call began.
    pub fn record_watch(
        &self,
        target: WatchTarget,
        began: clock::Millis,
        wait: clock::Millis,
        now: clock::Millis,
        is_quiet: bool,
    ) {
        let waited_whole = is_quiet && now.since(began) >= wait;
        self.record_read(target, if waited_whole { began + wait } else { began });
    }

    /// Records that the contents are those that the source knew up to `until`.
    pub fn record_relayed(&self, until: clock::Millis) {
        self.relayed.set(self.relayed.get().max(Some(until)));
    }

    /// Time up to which this host knows the contents; `None` if it doesn't know all of them.
    pub fn known_until(&self) -> Option<clock::Millis> {
        let [config, upstreams] = &self.read;
        let read = config.get().zip(upstreams.get()).map(|(c, u)| c.min(u));
        read.max(self.relayed.get())
    }

    /// Whether contents that a source knew up to `until` are recent enough to do without the store.
    pub fn is_recent(&self, until: clock::Millis, now: clock::Millis) -> bool {
        now.since(until) <= self.share(MAX_RELAYED_SHARE)
    }

    /// Whether the contents relayed by other hosts are recent enough to do without the store.
    pub fn has_recent_relayed(&self, now: clock::Millis) -> bool {
        let relayed = self.relayed.get();
        relayed.is_some_and(|until| self.is_recent(until, now))
    }

    /// How long the next watch call may wait: less if the response to the last one does not show
    /// until when it was complete, which the end of a wait without a change does.
    pub fn watch_timeout(&self, target: WatchTarget, now: clock::Millis) -> clock::Millis {
        let known = self.read[target as usize].get().unwrap_or(now);
        let left = self.share(WATCH_TIMEOUT_SHARE).since(now.since(known));
        left.max(self.share(MIN_WATCH_TIMEOUT_SHARE))
    }

    /// Time between two questions of a follower to its source.
    pub fn ask_interval(&self) -> clock::Millis {
        self.share(ASK_INTERVAL_SHARE)
    }

    fn share(&self, share: f64) -> clock::Millis {
        clock::Millis((self.change_deadline.0 as f64 * share) as u64)
    }
}
