//! Usage of each window, sealed in the store before it is first sent.
//!
//! A sealed window has one set of figures: the compare-and-swap that seals it names the revision
//! it was made from, and only what stands in the store is sent, and sent again.

use std::collections;

use base::clock;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{host, leader, membership, ports};

/// The key of the sealed windows.
pub const STORE_KEY: &str = "jacinthslip/usage";
/// How often windows are looked at.
const LOOK_EVERY: clock::Millis = clock::Millis(400);
/// Part of the time for a report after which a window is sealed whoever has not told: time is left
/// to send it.
const SEAL_LATEST: f64 = 0.8;
/// Part of that time for requests that began in the window and whose outcome is not known.
const SEAL_EARLIEST: f64 = 0.15;
/// Times for a report after which a host that tells nothing is not waited for any more.
const GONE_AFTER: u64 = 2;
/// How long what a host wrote is kept: until its windows have long been sealed.
const KEPT: clock::Millis = clock::Millis(60_000);
/// Sealed windows for which what hosts told is kept.
const KEPT_WINDOWS: u64 = 6;
/// Old keys removed with one seal, within the store's bound on a transaction.
const MAX_REMOVED: usize = 16;
/// Pause after a failed call.
const PAUSE: clock::Millis = clock::Millis(300);

/// What stands in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct SealedWindows {
    /// The first window that is not sealed.
    pub next: u64,
    /// Sealed windows that may not have been taken yet.
    pub sealed: collections::BTreeMap<u64, ports::Counts>,
}

impl SealedWindows {
    /// Whether the next window may be sealed at this wall time: when `told` says that all hosts
    /// have told what they counted up to a time, or when it can't wait.
    pub fn is_due(
        &self,
        wall: clock::Millis,
        times: &host::Timing,
        told: impl Fn(u64) -> bool,
    ) -> bool {
        let end = (self.next + 1) * times.usage_window.0;
        let after = |part: f64| end + (times.report_deadline.0 as f64 * part) as u64;
        let settled = after(SEAL_EARLIEST);
        wall.0 >= after(SEAL_LATEST) || wall.0 >= settled && told(settled)
    }

    /// Whether the next window has ended and its requests are known: hosts that could not tell may
    /// have written what they counted.
    pub fn is_settled(&self, wall: clock::Millis, times: &host::Timing) -> bool {
        let end = (self.next + 1) * times.usage_window.0;
        wall.0 >= end + (times.report_deadline.0 as f64 * SEAL_EARLIEST) as u64
    }

    /// Seals the next window with these counts.
    pub fn seal(&mut self, counts: ports::Counts) {
        self.sealed.insert(self.next, counts);
        self.next += 1;
    }
}

/// Seals and reports windows while the duties are held.
pub async fn run(host: &host::Host, tenure: &leader::Leadership) {
    loop {
        let Some((mut record, mut revision)) = load(host).await else {
            time::sleep(PAUSE.duration()).await;
            continue;
        };
        loop {
            let times = &host.settings.timing;
            let wall = host.wall_time();
            let since = wall
                .since(clock::Millis(times.report_deadline.0 * GONE_AFTER))
                .0;
            if record.is_settled(wall, times) {
                read_counts(host).await;
            }
            let told = |at| host.membership.borrow().is_reported_up_to(since, at);
            if record.is_due(wall, times, told) {
                match seal(host, &mut record, revision).await {
                    Some(at) => revision = at,
                    None => break,
                }
            }
            report(host, tenure, &mut record).await;
            time::sleep(LOOK_EVERY.duration()).await;
        }
        time::sleep(PAUSE.duration()).await;
    }
}

/// The record as it stands; a new one begins as early as a report may still come: requests may
/// have begun before anybody held the duties.
async fn load(host: &host::Host) -> Option<(SealedWindows, u64)> {
    let (item, _) = host.store.get(STORE_KEY).await.ok()?;
    let Some(item) = item else {
        let times = &host.settings.timing;
        let next = host.wall_time().since(times.report_deadline).0 / times.usage_window.0;
        let record = SealedWindows {
            next,
            ..SealedWindows::default()
        };
        return Some((record, 0));
    };
    match serde_json::from_slice(&item.value) {
        Ok(record) => Some((record, item.revision)),
        Err(e) => {
            tracing::error!(event = "usage_unreadable", error = %e);
            None
        }
    }
}

/// Seals the next window and writes it; `None` if it is not known to stand.
async fn seal(host: &host::Host, record: &mut SealedWindows, revision: u64) -> Option<u64> {
    let old = read_counts(host).await?;
    let counts = {
        let mut membership = host.membership.borrow_mut();
        membership.forget_before(record.next.saturating_sub(KEPT_WINDOWS));
        membership.window_counts(record.next)
    };
    let mut sealed = record.clone();
    sealed.seal(counts);
    let value = serde_json::to_vec(&sealed).ok()?;
    let t = ports::Transaction {
        expected: vec![(STORE_KEY.to_owned(), revision)],
        writes: vec![ports::Write {
            key: STORE_KEY.to_owned(),
            value,
            lease: 0,
        }],
        removes: old.into_iter().take(MAX_REMOVED).collect(),
    };
    match host.store.commit(&t).await {
        Ok(at) => {
            let counts = sealed.sealed.get(&record.next);
            let requests: u64 = counts.into_iter().flatten().map(|(_, n)| n).sum();
            tracing::info!(event = "window_sealed", window = record.next, requests);
            *record = sealed;
            Some(at)
        }
        Err(e) => {
            let window = record.next;
            tracing::warn!(event = "window_not_sealed", window, error = e.as_str());
            None
        }
    }
}

/// Reads what hosts that could not tell have written; returns the keys that are no longer needed.
async fn read_counts(host: &host::Host) -> Option<Vec<String>> {
    let (items, _) = host
        .store
        .list(membership::COUNTS_PREFIX, false)
        .await
        .ok()?;
    host.membership.borrow_mut().record_stored(&items);
    let old = items
        .into_iter()
        .filter(|i| is_old(i, host.clock.unix()))
        .map(|i| i.key);
    Some(old.collect())
}

fn is_old(item: &ports::Item, unix: clock::Millis) -> bool {
    let entry = serde_json::from_slice::<membership::HostReport>(&item.value);
    entry.is_ok_and(|e| unix.since(clock::Millis(e.at)) > KEPT)
}

/// Sends what is sealed and not known to be taken.
async fn report(host: &host::Host, tenure: &leader::Leadership, record: &mut SealedWindows) {
    let windows: Vec<u64> = record.sealed.keys().copied().collect();
    for window in windows {
        let Some(counts) = record.sealed.get(&window) else {
            continue;
        };
        match host.orders.report(tenure.term(), window, counts).await {
            Ok(()) => {
                tracing::info!(event = "usage_reported", window, token = tenure.token);
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
