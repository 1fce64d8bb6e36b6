//! Faults that a test switches on: down, slow, lost answers, refused answers, rate limits.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use serde::{Deserialize, Serialize};

/// The faults in force. Sent as JSON to `POST /fault`; fields left out go back to no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Set {
    /// Answer 503 to everything.
    pub down: bool,
    /// Wait before each call, in milliseconds.
    pub slow_ms: u64,
    /// Let this many writes take effect and lose their answers.
    pub lose: u32,
    /// Lose answers only of writes whose key holds this text.
    pub lose_key: String,
    /// Hold watches back for this long, in milliseconds.
    pub watch_ms: u64,
    /// Writes a second; 0 for no limit.
    pub write_rate: u32,
    /// Reads a second; 0 for no limit.
    pub read_rate: u32,
}

/// Whether a call reads or writes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Counts against the read rate.
    Read,
    /// Counts against the write rate.
    Write,
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Serve it.
    Serve,
    /// Let it take effect and lose the answer.
    Lose,
    /// Answer 503 with no effect.
    Down,
    /// Answer 429 with no effect.
    Limited,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Count {
    /// Reads, waiting watches included.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused over a rate.
    pub limited: u64,
}

#[derive(Debug, Default)]
struct State {
    set: Set,
    count: Count,
    recent_reads: collections::VecDeque<time::Instant>,
    recent_writes: collections::VecDeque<time::Instant>,
}

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct Faults(sync::Mutex<State>);

impl Faults {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Puts `set` in force.
    pub fn set(&self, set: Set) {
        self.lock().set = set;
    }

    /// The calls counted.
    pub fn count(&self) -> Count {
        self.lock().count
    }

    /// How long watches are held back.
    pub fn watch_hold(&self) -> time::Duration {
        time::Duration::from_millis(self.lock().set.watch_ms)
    }

    /// Counts a call on `key` and decides on it, waiting if calls are slow.
    pub fn judge(&self, kind: Kind, key: &str) -> Verdict {
        let slow = self.lock().set.slow_ms;
        if slow > 0 {
            thread::sleep(time::Duration::from_millis(slow));
        }
        let mut state = self.lock();
        if state.set.down {
            return Verdict::Down;
        }
        if state.over_rate(kind) {
            state.count.limited += 1;
            return Verdict::Limited;
        }
        if kind == Kind::Write && state.set.lose > 0 && key.contains(&state.set.lose_key) {
            state.set.lose -= 1;
            return Verdict::Lose;
        }
        Verdict::Serve
    }
}

impl State {
    fn over_rate(&mut self, kind: Kind) -> bool {
        let (recent, rate) = match kind {
            Kind::Read => {
                self.count.reads += 1;
                (&mut self.recent_reads, self.set.read_rate)
            }
            Kind::Write => {
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
