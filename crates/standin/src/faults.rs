//! FaultInjector that a test switches on: down, slow, lost answers, refused answers, rate limits.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use serde::{Deserialize, Serialize};

/// The faults in force. Sent as JSON to `POST /fault`; fields left out go back to no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct FaultSet {
    /// Answer 503 to everything.
    pub down: bool,
    /// Wait before each call, in milliseconds.
    #[serde(rename = "slow_ms")]
    pub call_delay_ms: u64,
    /// Let this many writes take effect and lose their answers.
    #[serde(rename = "lose")]
    pub lost_responses: u32,
    /// Lose answers only of writes whose key holds this text.
    #[serde(rename = "lose_key")]
    pub lost_response_key: String,
    /// Hold watches back for this long, in milliseconds.
    #[serde(rename = "watch_ms")]
    pub watch_delay_ms: u64,
    /// Writes a second; 0 for no limit.
    pub write_rate: u32,
    /// Reads a second; 0 for no limit.
    pub read_rate: u32,
}

/// Whether a call reads or writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Counts against the read rate.
    Read,
    /// Counts against the write rate.
    Write,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Serve it.
    Serve,
    /// Let it take effect and lose the answer.
    DropResponse,
    /// Answer 503 with no effect.
    Unavailable,
    /// Answer 429 with no effect.
    RateLimited,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct CallCounts {
    /// Reads, waiting watches included.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused over a rate.
    pub limited: u64,
}

#[derive(Debug, Default)]
struct State {
    set: FaultSet,
    count: CallCounts,
    recent_reads: collections::VecDeque<time::Instant>,
    recent_writes: collections::VecDeque<time::Instant>,
}

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct FaultInjector(sync::Mutex<State>);

impl FaultInjector {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Puts `set` in force.
    pub fn set(&self, set: FaultSet) {
        self.lock().set = set;
    }

    /// The calls counted.
    pub fn count(&self) -> CallCounts {
        self.lock().count
    }

    /// How long watches are held back.
    pub fn watch_hold(&self) -> time::Duration {
        time::Duration::from_millis(self.lock().set.watch_delay_ms)
    }

    /// Counts a call on `key` and decides on it, waiting if calls are slow.
    pub fn intercept(&self, kind: CallKind, key: &str) -> Action {
        let slow = self.lock().set.call_delay_ms;
        if slow > 0 {
            thread::sleep(time::Duration::from_millis(slow));
        }
        let mut state = self.lock();
        if state.set.down {
            return Action::Unavailable;
        }
        if state.over_rate(kind) {
            state.count.limited += 1;
            return Action::RateLimited;
        }
        if kind == CallKind::Write
            && state.set.lost_responses > 0
            && key.contains(&state.set.lost_response_key)
        {
            state.set.lost_responses -= 1;
            return Action::DropResponse;
        }
        Action::Serve
    }
}

impl State {
    fn over_rate(&mut self, kind: CallKind) -> bool {
        let (recent, rate) = match kind {
            CallKind::Read => {
                self.count.reads += 1;
                (&mut self.recent_reads, self.set.read_rate)
            }
            CallKind::Write => {
                self.count.writes += 1;
                (&mut self.recent_writes, self.set.write_rate)
            }
        };
        if rate == 0 {
            return false;
        }
        let now = time::Instant::now();
        while recent
            .front()
            .is_some_and(|t| now - *t > time::Duration::from_secs(1))
        {
            recent.pop_front();
        }
        if recent.len() >= rate as usize {
            return true;
        }
        recent.push_back(now);
        false
    }
}
