//! Usage of each window, sealed in the store before it is first reported.
//!
//! A sealed window has exactly one set of counts: the compare-and-swap that seals it names the
//! revision that it was made from, and only counts that are in the store are reported, also when a
//! report is repeated.
//!
//! A store that is restored from an older copy loses seals. The leader adds those that it knows itself. Windows
//! that an earlier leader may have sealed and that nobody knows are not sealed again, so their usage is not
//! reported: a second report could differ from the first.

use std::collections;

use base::clock;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{host, leader, membership, ports, revision};

/// Store key of the sealed windows.
pub const STORE_KEY: &str = "jacinthslip/usage";
/// Time between checks whether a window can be sealed or reported.
const CHECK_INTERVAL: clock::Millis = clock::Millis(400);
/// Share of the report deadline after which a window is sealed even if some hosts have not
/// reported; the remaining time is for sending the report.
const LATEST_SEAL_SHARE: f64 = 0.8;
/// Share of the report deadline that is left for requests that began in the window and whose
/// outcome is not known yet.
const EARLIEST_SEAL_SHARE: f64 = 0.15;
/// Number of report deadlines after which a host that has not reported is no longer waited for.
const MAX_SILENT_DEADLINES: u64 = 2;
/// Time for which counts that a host wrote into the store are kept; by then their windows have long
/// been sealed.
const STORED_COUNTS_TTL: clock::Millis = clock::Millis(60_000);
/// Number of sealed windows for which the counts reported by hosts are kept in memory.
const MAX_KEPT_WINDOWS: u64 = 6;
/// Largest number of expired keys removed in the transaction of one seal, to stay within the
/// store's limit on the size of a transaction.
const MAX_REMOVED_KEYS: usize = 16;
/// Number of windows by which the next window of a record may be ahead of this host's clock, for clocks
/// that differ, or behind it, after an outage. A record outside was not written by a leader.
const MAX_WINDOWS_AHEAD: u64 = 120;
const MAX_WINDOWS_BEHIND: u64 = 10_000;
/// Delay after a failed call to the store before the record is loaded again.
const RETRY_DELAY: clock::Millis = clock::Millis(300);

/// Sealed windows as stored under [`STORE_KEY`].
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SealedWindows {
    /// Number of the first window that is not sealed.
    #[serde(rename = "next")]
    pub next_window: u64,
    /// Era of the store in which the record was last written or checked.
    #[serde(default)]
    pub era: u64,
    /// Counts of sealed windows whose report has not been confirmed yet, by window number.
    pub sealed: collections::BTreeMap<u64, ports::RequestCounts>,
}

impl SealedWindows {
    /// Whether the next window may be sealed at this wall time: either `reported` confirms that all
    /// hosts have reported their counts up to the time passed to it, or the window cannot wait any
    /// longer.
    pub fn is_due(
        &self,
        wall: clock::Millis,
        timing: &host::Timing,
        reported: impl Fn(u64) -> bool,
    ) -> bool {
        let end = (self.next_window + 1) * timing.usage_window.0;
        let after = |share: f64| end + (timing.report_deadline.0 as f64 * share) as u64;
        let settled = after(EARLIEST_SEAL_SHARE);
        wall.0 >= after(LATEST_SEAL_SHARE) || wall.0 >= settled && reported(settled)
    }

    /// Whether the next window has ended and the outcome of its requests is known. From then on,
    /// counts that hosts wrote into the store are read too.
    pub fn is_settled(&self, wall: clock::Millis, timing: &host::Timing) -> bool {
        let end = (self.next_window + 1) * timing.usage_window.0;
        wall.0 >= end + (timing.report_deadline.0 as f64 * EARLIEST_SEAL_SHARE) as u64
    }

    /// Adds the windows of another record of the same history: each window has one set of counts in both.
    pub fn merge(&mut self, other: &Self) {
        self.next_window = self.next_window.max(other.next_window);
        for (window, counts) in &other.sealed {
            self.sealed.entry(*window).or_insert_with(|| counts.clone());
        }
    }

    /// Leaves out the windows that could be sealed up to this wall time.
    pub fn skip_until(&mut self, wall: clock::Millis, timing: &host::Timing) {
        while self.is_settled(wall, timing) {
            self.next_window += 1;
        }
    }

    /// Seals the next window with `counts` in memory; the caller has to store the result.
    pub fn seal(&mut self, counts: ports::RequestCounts) {
        self.sealed.insert(self.next_window, counts);
        self.next_window += 1;
    }
}

/// Seals and reports windows for as long as this host is leader.
pub async fn run(host: &host::Host, leadership: &leader::Leadership) {
    let mut own = None;
    loop {
        let loaded = load(host, leadership, own.as_ref()).await;
        let Some((mut record, mut revision)) = loaded else {
            time::sleep(RETRY_DELAY.duration()).await;
            continue;
        };
        *host.sealed_windows.borrow_mut() = record.clone();
        leadership.knows_windows.set(true);
        loop {
            let timing = &host.settings.timing;
            let wall = host.wall_time();
            let since = wall
                .since(clock::Millis(
                    timing.report_deadline.0 * MAX_SILENT_DEADLINES,
                ))
                .0;
            if record.is_settled(wall, timing) {
                read_counts(host).await;
            }
            let reported = |at| host.membership.borrow().is_reported_up_to(since, at);
            if record.is_due(wall, timing, reported) {
                match seal(host, leadership, &mut record, revision).await {
                    Some(at) => revision = at,
                    None => break,
                }
            }
            report_sealed(host, leadership, &mut record).await;
            time::sleep(CHECK_INTERVAL.duration()).await;
        }
        own = Some(record);
        time::sleep(RETRY_DELAY.duration()).await;
    }
}

/// Loads the sealed windows and their store revision. Without a stored record, a new one begins at
/// the oldest window that may still be reported: requests may have begun before any host was
/// leader.
///
/// A record that another program has written is replaced: by `own`, the record that this leader has stored
/// last, or by one that begins at the current window, which no leader can have sealed.
async fn load(
    host: &host::Host,
    leadership: &leader::Leadership,
    own: Option<&SealedWindows>,
) -> Option<(SealedWindows, revision::Revision)> {
    let (item, at) = host.store.get(STORE_KEY).await.ok()?;
    if at.era() != leadership.era() {
        return None;
    }
    let timing = &host.settings.timing;
    let wall = host.wall_time();
    let begin_at = |wall: clock::Millis| SealedWindows {
        next_window: wall.0 / timing.usage_window.0,
        ..SealedWindows::default()
    };
    let Some(item) = item else {
        let mut record = begin_at(wall.since(timing.report_deadline));
        record.era = leadership.era();
        if !leadership.is_first {
            record = adopt(host, leadership, record);
        }
        return Some((record, revision::Revision::NONE));
    };
    let current = begin_at(wall);
    let parsed = item.parse().and_then(|record: SealedWindows| {
        let earliest = current.next_window.saturating_sub(MAX_WINDOWS_BEHIND);
        let latest = current.next_window + MAX_WINDOWS_AHEAD;
        let is_possible = (earliest..=latest).contains(&record.next_window);
        is_possible
            .then_some(record)
            .ok_or("its next window is far from the current one".to_owned())
    });
    let record = parsed.unwrap_or_else(|fault| {
        let faulty_keys = &host.store_cache.faulty_keys;
        faulty_keys.log(
            "usage_unreadable",
            STORE_KEY,
            item.revision.number(),
            &fault,
        );
        let era = leadership.era();
        own.cloned().unwrap_or(SealedWindows { era, ..current })
    });
    if record.era == leadership.era() {
        return Some((record, item.revision));
    }
    Some((adopt(host, leadership, record), item.revision))
}

/// Brings a record of an earlier era into the era of this leadership.
fn adopt(
    host: &host::Host,
    leadership: &leader::Leadership,
    mut record: SealedWindows,
) -> SealedWindows {
    let (timing, now) = (&host.settings.timing, host.now());
    let from = record.next_window;
    record.merge(&host.sealed_windows.borrow());
    let known = record.next_window;
    if let Some(until) = leadership.lost_until {
        // The clocks of hosts may differ.
        let margin = clock::Millis(timing.usage_window.0);
        let until = host.wall_time().since(now.since(until)) + margin;
        record.skip_until(until, timing);
    }
    record.era = leadership.era();
    if record.next_window != from {
        let (next, skipped) = (record.next_window, record.next_window - known);
        tracing::warn!(event = "windows_restored", from, next, skipped);
    }
    record
}

/// Seals the next window in the store and returns the new revision, or `None` if the write is not
/// known to have succeeded.
async fn seal(
    host: &host::Host,
    leadership: &leader::Leadership,
    record: &mut SealedWindows,
    revision: revision::Revision,
) -> Option<revision::Revision> {
    let expired = read_counts(host).await?;
    let counts = {
        let mut membership = host.membership.borrow_mut();
        membership.forget_before(record.next_window.saturating_sub(MAX_KEPT_WINDOWS));
        membership.window_counts(record.next_window)
    };
    let mut sealed = record.clone();
    sealed.seal(counts);
    let value = serde_json::to_vec(&sealed).ok()?;
    let transaction = ports::Transaction {
        expected: vec![(STORE_KEY.to_owned(), revision), leadership.condition()],
        writes: vec![ports::Write {
            key: STORE_KEY.to_owned(),
            value,
            lease: None,
        }],
        removes: expired.into_iter().take(MAX_REMOVED_KEYS).collect(),
    };
    match host.store.commit(&transaction).await {
        Ok(at) => {
            let counts = sealed.sealed.get(&record.next_window);
            let requests: u64 = counts.into_iter().flatten().map(|(_, n)| n).sum();
            tracing::info!(
                event = "window_sealed",
                window = record.next_window,
                requests
            );
            *record = sealed;
            *host.sealed_windows.borrow_mut() = record.clone();
            Some(at)
        }
        Err(e) => {
            let window = record.next_window;
            tracing::warn!(event = "window_not_sealed", window, error = e.as_str());
            None
        }
    }
}

/// Reads the counts that hosts wrote into the store because they could not reach the leader.
/// Returns the keys that are expired.
async fn read_counts(host: &host::Host) -> Option<Vec<String>> {
    let (items, _) = host
        .store
        .list(membership::COUNTS_PREFIX, false)
        .await
        .ok()?;
    host.membership.borrow_mut().record_stored(&items);
    let expired = items
        .into_iter()
        .filter(|i| is_expired(i, host.clock.unix_time()))
        .map(|i| i.key);
    Some(expired.collect())
}

fn is_expired(item: &ports::Item, unix: clock::Millis) -> bool {
    let entry = item.parse::<membership::HostReport>();
    entry.is_ok_and(|e| unix.since(clock::Millis(e.counted_until)) > STORED_COUNTS_TTL)
}

/// Reports the sealed windows whose report has not been confirmed.
async fn report_sealed(
    host: &host::Host,
    leadership: &leader::Leadership,
    record: &mut SealedWindows,
) {
    let windows: Vec<u64> = record.sealed.keys().copied().collect();
    for window in windows {
        let Some(counts) = record.sealed.get(&window) else {
            continue;
        };
        match host
            .orders
            .report_usage(leadership.term(), window, counts)
            .await
        {
            Ok(()) => {
                tracing::info!(event = "usage_reported", window, token = leadership.token);
                record.sealed.remove(&window);
            }
            Err(ports::OrderError::Rejected(status)) => {
                tracing::error!(event = "usage_rejected", window, status);
                record.sealed.remove(&window);
            }
            Err(e) => {
                tracing::warn!(event = "usage_not_reported", window, error = ?e);
                return;
            }
        }
    }
}
