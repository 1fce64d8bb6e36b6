//! Fault injection for the test doubles: outages, delays, lost responses and rate limits.

use std::collections;
use std::sync;
use std::thread;
use std::time;

use serde::{Deserialize, Serialize};

/// Faults to inject. Sent as JSON to `POST /fault`; fields that are left out mean no fault.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct FaultSet {
    /// Whether every call gets status 503.
    pub down: bool,
    /// Delay before each call, in milliseconds.
    #[serde(rename = "slow_ms")]
    pub call_delay_ms: u64,
    /// Number of further writes that take effect but get no response.
    #[serde(rename = "lose")]
    pub lost_responses: u32,
    /// Text that the key or path of a write must contain for its response to be lost; empty for
    /// any write.
    #[serde(rename = "lose_key")]
    pub lost_response_key: String,
    /// Delay before each watch, in milliseconds.
    #[serde(rename = "watch_ms")]
    pub watch_delay_ms: u64,
    /// Largest number of writes per second; 0 for no limit.
    pub write_rate: u32,
    /// Largest number of reads per second; 0 for no limit.
    pub read_rate: u32,
}

/// Whether a call is a read or a write, which have separate rate limits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Counts against `read_rate`.
    Read,
    /// Counts against `write_rate`.
    Write,
}

/// How the server must treat a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// Execute the call and send the response.
    Serve,
    /// Execute the call and close the connection without a response.
    DropResponse,
    /// Respond with 503 without executing the call.
    Unavailable,
    /// Respond with 429 without executing the call.
    RateLimited,
}

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct CallCounts {
    /// Read calls, including watches.
    pub reads: u64,
    /// Write calls, including those whose response was lost.
    pub writes: u64,
    /// Calls rejected by a rate limit. They are counted as reads or writes too.
    pub limited: u64,
}

#[derive(Debug, Default)]
struct State {
    set: FaultSet,
    count: CallCounts,
    recent_reads: collections::VecDeque<time::Instant>,
    recent_writes: collections::VecDeque<time::Instant>,
}

/// Faults and call counts of one server.
#[derive(Debug, Default)]
pub struct FaultInjector(sync::Mutex<State>);

impl FaultInjector {
    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Replaces all faults.
    pub fn set(&self, set: FaultSet) {
        self.lock().set = set;
    }

    /// Number of calls since the start, without those rejected because of `down`.
    pub fn count(&self) -> CallCounts {
        self.lock().count
    }

    /// Delay that the server must apply to a watch.
    pub fn watch_delay(&self) -> time::Duration {
        time::Duration::from_millis(self.lock().set.watch_delay_ms)
    }

    /// Counts a call, delays it if a delay is set, and returns how to treat it. `key` is the key or
    /// path of the call.
    pub fn intercept(&self, kind: CallKind, key: &str) -> Action {
        let delay_ms = self.lock().set.call_delay_ms;
        if delay_ms > 0 {
            thread::sleep(time::Duration::from_millis(delay_ms));
        }
        let mut state = self.lock();
        if state.set.down {
            return Action::Unavailable;
        }
        if state.exceeds_rate(kind) {
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
    fn exceeds_rate(&mut self, kind: CallKind) -> bool {
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
