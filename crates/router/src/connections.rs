//! Open connections of clients, and the choice of the one that is closed when descriptors or memory
//! run short: the one on which the host has waited longest for its client, never one whose request
//! runs at an upstream.

use std::cell;
use std::collections;
use std::io;
use std::rc;

use base::clock;
use tokio::sync::Notify;
use tokio::task;

use crate::{framing, memory};

/// Time without a byte from the client after which a connection may be closed to free its memory.
const SEND_STALL_PERIOD: clock::Millis = clock::Millis(1_000);
/// Time without a byte taken by the client after which a connection may be closed to free its memory.
/// Longer, since a slow reader opens its receive window only now and then.
const READ_STALL_PERIOD: clock::Millis = clock::Millis(5_000);
/// Turns of the runtime within which the task of a closed connection ends.
const CLOSE_TURNS: u32 = 64;
/// Least time between two log lines about closed connections.
const LOG_INTERVAL: clock::Millis = clock::Millis(1_000);

/// Why the host closed a connection of a client or did not serve a new one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Cause {
    /// The limit of connections is reached; the connection had waited longest for its client.
    TooMany,
    /// The limit of connections is reached, and none waits for its client: the new one is closed.
    NoPlace,
    /// The memory for requests and responses is needed; the client had made no progress.
    Memory,
}

impl Cause {
    /// All causes.
    pub const ALL: [Self; 3] = [Self::TooMany, Self::NoPlace, Self::Memory];

    /// Name of the cause in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooMany => "too_many",
            Self::NoPlace => "no_place",
            Self::Memory => "memory",
        }
    }
}

/// Metrics that count the connections closed by the host.
pub trait ClosureCounter {
    /// Counts a connection of a client that the host closed for `cause`.
    fn record_closure(&self, cause: Cause);
}

/// Activity on a client's connection, for its timeouts and for the choice of what to close.
#[derive(Debug)]
pub struct Activity {
    /// Requests in progress on the connection.
    in_flight: cell::Cell<u32>,
    /// Time at which the last request ended or the connection was opened.
    idle_since: cell::Cell<clock::Millis>,
    /// Time of the first byte of a request head that is not complete; `None` between requests.
    receiving_since: cell::Cell<Option<clock::Millis>>,
    /// Time of the last bytes from the client.
    read_at: cell::Cell<clock::Millis>,
    /// Time since which the client takes no bytes of a response; `None` if it does.
    write_blocked_since: cell::Cell<Option<clock::Millis>>,
    /// Bytes received of the current request, or length of its response if that is larger.
    held_bytes: cell::Cell<usize>,
    /// Scanner of all bytes of the connection.
    scanner: cell::RefCell<framing::RequestScanner>,
    /// Memory of the request head, until the end of the request.
    head_hold: cell::RefCell<memory::Hold>,
    is_closing: cell::Cell<bool>,
    close: Notify,
    clock: clock::Clock,
}

impl Activity {
    /// Creates the record of a connection that was opened just now.
    pub fn new(clock: clock::Clock, memory: &memory::Budget) -> Self {
        Self {
            in_flight: cell::Cell::new(0),
            idle_since: cell::Cell::new(clock.now()),
            receiving_since: cell::Cell::new(None),
            read_at: cell::Cell::new(clock.now()),
            write_blocked_since: cell::Cell::new(None),
            held_bytes: cell::Cell::new(0),
            scanner: cell::RefCell::default(),
            head_hold: cell::RefCell::new(memory.open()),
            is_closing: cell::Cell::new(false),
            close: Notify::new(),
            clock,
        }
    }

    /// Records the begin of a request. Returns whether its head contains both a length and a
    /// transfer coding.
    pub fn begin_request(&self) -> bool {
        self.in_flight.set(self.in_flight.get() + 1);
        self.receiving_since.set(None);
        self.scanner.borrow_mut().take_head()
    }

    /// Records a response of this length, in bytes, as what the host holds for the client.
    pub fn begin_response(&self, bytes: usize) {
        self.held_bytes.set(self.held_bytes.get().max(bytes));
    }

    /// Records that a response was handed to the HTTP library as a whole.
    pub fn end_request(&self) {
        self.in_flight.set(self.in_flight.get().saturating_sub(1));
        self.idle_since.set(self.clock.now());
        // Shrinking never fails.
        let _ = self.head_hold.borrow_mut().resize(0);
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// There is no memory for the bytes of a request head.
    pub fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        self.scanner.borrow_mut().push(bytes);
        if bytes.is_empty() {
            return Ok(());
        }
        self.read_at.set(self.clock.now());
        self.held_bytes.set(self.held_bytes.get() + bytes.len());
        if self.in_flight.get() > 0 {
            return Ok(());
        }
        let grown = self.head_hold.borrow_mut().grow(bytes.len());
        grown.map_err(|e| io::Error::new(io::ErrorKind::OutOfMemory, e))?;
        if self.receiving_since.get().is_none() {
            self.receiving_since.set(Some(self.clock.now()));
            self.held_bytes.set(bytes.len());
        }
        Ok(())
    }

    /// Records whether the client's connection took bytes of a response.
    pub fn record_write(&self, is_blocked: bool) {
        let since = self.write_blocked_since.get();
        let since = is_blocked.then(|| since.unwrap_or_else(|| self.clock.now()));
        self.write_blocked_since.set(since);
    }

    /// Whether a request head, or the next request, has not arrived in time.
    pub fn is_timed_out(&self, head_timeout: clock::Millis, idle_timeout: clock::Millis) -> bool {
        if self.in_flight.get() > 0 {
            return false;
        }
        let now = self.clock.now();
        match self.receiving_since.get() {
            Some(since) => now.since(since) >= head_timeout,
            None => now.since(self.idle_since.get()) >= idle_timeout,
        }
    }

    /// Whether the client has taken no byte of a response for `timeout`.
    pub fn is_write_timed_out(&self, timeout: clock::Millis) -> bool {
        let since = self.write_blocked_since.get();
        since.is_some_and(|since| self.clock.now().since(since) >= timeout)
    }

    /// Whether a part of a request head has arrived.
    pub fn is_receiving_head(&self) -> bool {
        self.receiving_since.get().is_some()
    }

    /// Time since which the host waits for the client: to read, to go on with a body, or to send a
    /// request. `None` if it is the client that waits.
    fn waiting_since(&self) -> Option<clock::Millis> {
        if let Some(since) = self.write_blocked_since.get() {
            return Some(since);
        }
        if self.in_flight.get() == 0 {
            return Some(self.receiving_since.get().unwrap_or(self.idle_since.get()));
        }
        let is_in_body = self.scanner.borrow().is_in_body();
        is_in_body.then(|| self.read_at.get())
    }

    /// Waits until the connection has to be closed.
    pub async fn wait_for_close(&self) {
        self.close.notified().await;
    }
}

/// Open connections of clients.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    open: cell::RefCell<collections::BTreeMap<u64, rc::Rc<Activity>>>,
    next_id: cell::Cell<u64>,
    /// Time of the last log line about closed connections, and how many were closed since then.
    logged_at: cell::Cell<Option<clock::Millis>>,
    unlogged: cell::Cell<u32>,
}

impl Connections {
    /// Creates the list for at most `limit` connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            open: cell::RefCell::default(),
            next_id: cell::Cell::new(0),
            logged_at: cell::Cell::new(None),
            unlogged: cell::Cell::new(0),
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection and returns its number in the list.
    pub fn add(&self, activity: rc::Rc<Activity>) -> u64 {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open.borrow_mut().insert(id, activity);
        id
    }

    /// Removes a connection by its number.
    pub fn remove(&self, id: u64) {
        self.open.borrow_mut().remove(&id);
    }

    /// Makes place for one more connection. Returns whether there is one.
    pub async fn make_place(&self, now: clock::Millis, counter: &impl ClosureCounter) -> bool {
        if self.count() < self.limit {
            return true;
        }
        let longest = |activity: &Activity| {
            let since = activity.waiting_since()?;
            Some(now.since(since).0 + 1)
        };
        if !self.close_one(now, Cause::TooMany, counter, longest) {
            self.record(now, Cause::NoPlace, counter);
            return false;
        }
        for _ in 0..CLOSE_TURNS {
            if self.count() < self.limit {
                return true;
            }
            task::yield_now().await;
        }
        self.record(now, Cause::NoPlace, counter);
        false
    }

    /// Closes the connection that holds most for the longest time without progress. Returns whether
    /// memory was freed.
    pub async fn free_memory(&self, now: clock::Millis, counter: &impl ClosureCounter) -> bool {
        let most = |activity: &Activity| {
            let waited = now.since(activity.waiting_since()?);
            let held = activity.held_bytes.get() as u64;
            let least = match activity.write_blocked_since.get() {
                Some(_) => READ_STALL_PERIOD,
                None => SEND_STALL_PERIOD,
            };
            (waited >= least && held > 0).then(|| waited.0.saturating_mul(held))
        };
        let before = self.count();
        if !self.close_one(now, Cause::Memory, counter, most) {
            return false;
        }
        for _ in 0..CLOSE_TURNS {
            if self.count() < before {
                return true;
            }
            task::yield_now().await;
        }
        false
    }

    /// Closes the connection with the highest weight; those without weight stay open.
    fn close_one(
        &self,
        now: clock::Millis,
        cause: Cause,
        counter: &impl ClosureCounter,
        weight: impl Fn(&Activity) -> Option<u64>,
    ) -> bool {
        let open = self.open.borrow();
        let candidates = open.values().filter(|a| !a.is_closing.get());
        let weighed = candidates.filter_map(|a| Some((weight(a)?, a)));
        let Some((_, chosen)) = weighed.max_by_key(|(weight, _)| *weight) else {
            return false;
        };
        chosen.is_closing.set(true);
        chosen.close.notify_one();
        self.record(now, cause, counter);
        true
    }

    /// Counts a closed connection, and logs at most one line per [`LOG_INTERVAL`].
    fn record(&self, now: clock::Millis, cause: Cause, counter: &impl ClosureCounter) {
        counter.record_closure(cause);
        self.unlogged.set(self.unlogged.get() + 1);
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| now.since(at) < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(now));
        tracing::warn!(
            event = "client_closed",
            cause = cause.as_str(),
            closed = self.unlogged.replace(0),
            open = self.count(),
            limit = self.limit,
        );
    }
}
