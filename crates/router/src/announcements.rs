//! What upstreams say of themselves in their responses: that they leave, or that they want no requests
//! for a while.
//!
//! This is known apart from the entries in the store, which may lag behind or be unreachable. It holds
//! for one process of an upstream, whatever its entry says and whether it is listed meanwhile.

use std::collections;

use base::clock;

/// Longest pause that an upstream is granted, and longest time for which an upstream without a start time
/// is believed that it leaves: it can't be told from the next process of its name.
const MAX_PAUSE: clock::Millis = clock::Millis::secs(300);
/// Time for which it is remembered that an upstream leaves.
const LEAVING_MEMORY: clock::Millis = clock::Millis::secs(3_600);
/// Number of processes above which expired announcements are forgotten, and if none has expired, the
/// oldest one.
const MAX_PROCESSES: usize = 4_096;

/// A process of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Process {
    /// Hash of the upstream's name and start time.
    pub id: u64,
    /// Whether the start time is known.
    pub has_start: bool,
}

/// What is known about one process of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Announcement {
    /// When it first said that it leaves, and until when that holds.
    leaving: Option<(clock::Millis, clock::Millis)>,
    paused_until: clock::Millis,
    heard_at: clock::Millis,
}

/// Whether an upstream takes requests, by its own responses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Willingness {
    /// It has not said otherwise.
    Willing,
    /// It wants no request until this time.
    Paused(clock::Millis),
    /// It has said that it leaves, first at this time.
    Leaving(clock::Millis),
}

/// Announcements of all upstreams, by a hash that identifies the process.
#[derive(Debug, Default)]
pub struct Announcements {
    processes: collections::HashMap<u64, Announcement>,
}

impl Announcements {
    fn entry(&mut self, process: Process, now: clock::Millis) -> &mut Announcement {
        if self.processes.len() >= MAX_PROCESSES && !self.processes.contains_key(&process.id) {
            self.processes
                .retain(|_, a| now.since(a.heard_at) < LEAVING_MEMORY);
            let oldest = self.processes.iter().min_by_key(|(_, a)| a.heard_at);
            if let Some((oldest, _)) = oldest.filter(|_| self.processes.len() >= MAX_PROCESSES) {
                let oldest = *oldest;
                self.processes.remove(&oldest);
            }
        }
        let announcement = self.processes.entry(process.id).or_default();
        announcement.heard_at = now;
        announcement
    }

    /// Records that the process leaves. Returns whether this is new.
    pub fn record_leaving(&mut self, process: Process, now: clock::Millis) -> bool {
        let announcement = self.entry(process, now);
        let known = announcement.leaving.filter(|(_, until)| now < *until);
        let memory = if process.has_start {
            LEAVING_MEMORY
        } else {
            MAX_PAUSE
        };
        let since = known.map_or(now, |(since, _)| since);
        announcement.leaving = Some((since, now + memory));
        known.is_none()
    }

    /// Records that the process wants no request for `pause`, and returns until when it gets none.
    /// `spread` is a random number; hosts that were told the same do not return at the same moment.
    pub fn record_pause(
        &mut self,
        process: Process,
        pause: clock::Millis,
        spread: u32,
        now: clock::Millis,
    ) -> clock::Millis {
        let pause = pause.min(MAX_PAUSE);
        // Up to a quarter longer.
        let extra = pause.0 / 4 * u64::from(spread) / u64::from(u32::MAX);
        let announcement = self.entry(process, now);
        let until = now + pause + clock::Millis(extra);
        announcement.paused_until = announcement.paused_until.max(until);
        announcement.paused_until
    }

    /// Time since the process said something of itself; zero if it never has.
    pub fn age(&self, process: Process, now: clock::Millis) -> clock::Millis {
        let announcement = self.processes.get(&process.id);
        announcement.map_or(clock::Millis::ZERO, |a| now.since(a.heard_at))
    }

    /// Whether the process takes requests.
    pub fn willingness(&self, process: Process, now: clock::Millis) -> Willingness {
        let Some(announcement) = self.processes.get(&process.id) else {
            return Willingness::Willing;
        };
        if let Some((since, until)) = announcement.leaving
            && now < until
        {
            Willingness::Leaving(since)
        } else if now < announcement.paused_until {
            Willingness::Paused(announcement.paused_until)
        } else {
            Willingness::Willing
        }
    }
}
