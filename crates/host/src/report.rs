//! Seals usage windows and reports them, while this host holds the report lease.
//!
//! The totals of a window are written to the store before they are first sent, and only the stored
//! bytes are ever sent. They are split into parts, because the totals of many teams exceed the
//! largest value of the store. The header of a window, created only if absent, names its valid
//! parts.

use std::time;

use base::{clock, faulty_keys};
use policy::usage;
use ports::{orders, reports, store};
use serde::{Deserialize, Serialize};

use crate::{context, leader, ledger, stop, sweep};

/// Number of hosts per data centre that try to acquire the lease.
const CANDIDATES_PER_DC: u32 = 2;
/// Interval at which the lease and the windows are checked.
const LEASE_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Interval at which a page of idempotency claims is checked for expired ones.
const SWEEP_INTERVAL: clock::Millis = clock::Millis(1_000);
/// Number of entries that one call lists from the store.
const PAGE_ENTRIES: usize = 256;
/// Number of reported windows that are kept in the store.
const KEPT_WINDOWS: u64 = 2;
/// Maximum number of windows that are removed after each report.
const MAX_REMOVED_WINDOWS: usize = 4;
/// Maximum number of lines in a part; such a part stays well under the largest value of the store.
const MAX_PART_LINES: usize = 4_000;
/// Time since the last write at which a journal without pending entries is removed.
const JOURNAL_TTL: clock::Millis = clock::Millis::secs(48 * 3600);
/// Store key of the lease for usage reports.
pub const LEASE_KEY: &str = "lease/report";
/// Store key of the number of the last reported window.
pub const REPORTED_KEY: &str = "usage/reported";

/// Prefix of the store keys of all window headers.
const WINDOW_PREFIX: &str = "usage/window/";

/// Store key of the header of window `number`.
pub fn window_key(number: u64) -> String {
    format!("{WINDOW_PREFIX}{number:012}")
}

fn part_prefix(number: u64) -> String {
    format!("usage/part/{number:012}/")
}

fn part_key(number: u64, seal_id: u64, part: u32) -> String {
    format!("{}{seal_id:016x}/{part:04}", part_prefix(number))
}

/// Entries of journals and windows that were logged as unusable.
static FAULTY_KEYS: faulty_keys::FaultyKeys = faulty_keys::FaultyKeys::new();

/// Header of a sealed window in the store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct WindowHeader {
    number: u64,
    #[serde(rename = "sealed")]
    sealed_ms: u64,
    #[serde(rename = "seal")]
    seal_id: u64,
    parts: u32,
    #[serde(rename = "through")]
    last_entries: std::collections::BTreeMap<usage::Incarnation, u64>,
}

/// One part of the totals of a window, as stored and reported.
#[derive(Debug, Serialize)]
struct Part<'a> {
    window: u64,
    part: u32,
    parts: u32,
    lines: &'a [usage::LineItem],
}

/// Seals and reports usage windows and removes expired idempotency claims until stopped, while this
/// host holds the lease.
pub fn run(context: &context::Context, reports: &dyn reports::ReportSender, stop: &stop::StopFlag) {
    let settings = &context.settings;
    let mut leader = leader::Leader::new(
        LEASE_KEY.to_owned(),
        context.store.clone(),
        context.clock.clone(),
        &settings.host,
        context.incarnation,
        settings.durations.lease_ttl,
    );
    let mut checked_at = clock::Millis::ZERO;
    let mut swept_at = clock::Millis::ZERO;
    let mut sweep = sweep::ClaimSweep::default();
    while !stop.wait(LEASE_CHECK_INTERVAL) {
        let (index, _) = context.directory.rank(context.clock.now());
        if index >= CANDIDATES_PER_DC && !leader.is_holding() {
            continue;
        }
        let Some(term) = leader.step() else { continue };
        let now = context.clock.now();
        if now.since(swept_at) >= SWEEP_INTERVAL {
            swept_at = now;
            let _ = sweep.step(&*context.store, context.clock.unix_time());
        }
        if now.since(checked_at) < clock::Millis(settings.durations.usage_window.0 / 4) {
            continue;
        }
        checked_at = now;
        let window = settings.durations.usage_window;
        let unix_time = context.clock.unix_time();
        let store = &*context.store;
        if let Err(e) = seal_and_report(store, window, unix_time, reports, term) {
            tracing::debug!(event = "usage_not_reported", error = %e);
        }
    }
    leader.release();
}

/// Seals a window if the last one was sealed at least `usage_window` before the Unix time `now`,
/// and reports all sealed windows that have not been reported, in their order.
///
/// # Errors
///
/// Returns the error of the store; the next call goes on where this one ended. `Conflict` means
/// that another host has reported windows meanwhile.
pub fn seal_and_report(
    store: &dyn store::Store,
    usage_window: clock::Millis,
    now: clock::Millis,
    reports: &dyn reports::ReportSender,
    term: orders::Term,
) -> Result<(), store::Error> {
    let (mut reported, mut expected) = match store.get(REPORTED_KEY)? {
        Some(e) => (parse_number(&e), store::Expect::Revision(e.revision)),
        None => (0, store::Expect::Absent),
    };
    let mut unreported = list_unreported(store, reported)?;
    let last = match (unreported.last(), store.get(&window_key(reported))?) {
        (Some(header), _) => header.clone(),
        (None, Some(e)) => read_header(&e)?,
        (None, None) if reported == 0 => WindowHeader::default(),
        (None, None) => return Err(store::Error::Unknown),
    };
    let is_due = now.since(clock::Millis(last.sealed_ms)) >= usage_window;
    if is_due && let Some(header) = seal(store, &last, now)? {
        // The header may be one that this call created anew after others had reported its window
        // and removed it. Nothing may be trimmed or sent by that one.
        expected = store_reported(store, reported, expected)?;
        trim_journals(store, &header, now)?;
        unreported.push(header);
    }
    for header in unreported {
        if !send_report(store, reports, &header, term)? {
            return Ok(());
        }
        reported = header.number;
        expected = store_reported(store, reported, expected)?;
        remove_old_windows(store, reported)?;
    }
    Ok(())
}

/// Writes the number of the last reported window, unless another host has written it since
/// `expected`. Returns the precondition of the next write.
fn store_reported(
    store: &dyn store::Store,
    reported: u64,
    expected: store::Expect,
) -> Result<store::Expect, store::Error> {
    let revision = store.put(REPORTED_KEY, reported.to_string().as_bytes(), expected)?;
    Ok(store::Expect::Revision(revision))
}

/// Lists the headers of the sealed windows after window `reported`, in their order.
fn list_unreported(
    store: &dyn store::Store,
    reported: u64,
) -> Result<Vec<WindowHeader>, store::Error> {
    let headers = store.list(WINDOW_PREFIX, &window_key(reported), PAGE_ENTRIES)?;
    Ok(headers.iter().filter_map(read_listed).collect())
}

/// Reads a listed header; `None` for an entry that no host has written.
fn read_listed(e: &store::Entry) -> Option<WindowHeader> {
    let header = read_header(e)
        .ok()
        .filter(|h| window_key(h.number) == e.key);
    if header.is_none() {
        let fault = "it is not the header of its window";
        FAULTY_KEYS.log("window_unreadable", &e.key, e.revision, fault);
    }
    header
}

/// Sends the parts of a window to the platform; returns whether all were accepted.
fn send_report(
    store: &dyn store::Store,
    reports: &dyn reports::ReportSender,
    header: &WindowHeader,
    term: orders::Term,
) -> Result<bool, store::Error> {
    for part in 0..header.parts {
        let key = part_key(header.number, header.seal_id, part);
        let Some(sealed) = store.get(&key)? else {
            return Err(store::Error::Unknown);
        };
        let id = reports::ReportId {
            window: header.number,
            part,
            parts: header.parts,
        };
        let sent = reports.send(id, sealed.bytes(), term);
        tracing::info!(event = "usage_reported", window = header.number, part, fence = term.epoch, result = ?sent);
        if sent.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

fn parse_number(e: &store::Entry) -> u64 {
    std::str::from_utf8(e.bytes())
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or_default()
}

fn read_header(e: &store::Entry) -> Result<WindowHeader, store::Error> {
    serde_json::from_slice(e.bytes()).map_err(|_| store::Error::Unknown)
}

/// Seals the window after `previous` if it has any usage. Returns its header in the store, which
/// may be that of another host.
fn seal(
    store: &dyn store::Store,
    previous: &WindowHeader,
    now: clock::Millis,
) -> Result<Option<WindowHeader>, store::Error> {
    let (journals, unreadable) = list_journals(store)?;
    let journals: Vec<_> = journals.into_iter().map(|(journal, _)| journal).collect();
    let previous = usage::Window {
        number: previous.number,
        last_entries: previous.last_entries.clone(),
        ..usage::Window::default()
    };
    let mut window = usage::seal(&previous, &journals, now.0);
    // A journal that is overwritten may be written again, with entries that are sealed already.
    for incarnation in unreadable {
        if let Some(last) = previous.last_entries.get(&incarnation) {
            window.last_entries.insert(incarnation, *last);
        }
    }
    if window.lines.is_empty() {
        return Ok(None);
    }
    write_window(store, window).map(Some)
}

/// Writes the parts of a window, then its header unless there is one. Returns the stored header.
fn write_window(
    store: &dyn store::Store,
    window: usage::Window,
) -> Result<WindowHeader, store::Error> {
    let chunks: Vec<_> = window.lines.chunks(MAX_PART_LINES).collect();
    let header = WindowHeader {
        number: window.number,
        sealed_ms: window.sealed_ms,
        seal_id: rand::random(),
        parts: chunks.len() as u32,
        last_entries: window.last_entries.clone(),
    };
    let unreadable = |_| store::Error::Unknown;
    for (n, lines) in chunks.iter().enumerate() {
        let part = Part {
            window: header.number,
            part: n as u32,
            parts: header.parts,
            lines,
        };
        let bytes = serde_json::to_vec(&part).map_err(unreadable)?;
        let key = part_key(header.number, header.seal_id, n as u32);
        store.put(&key, &bytes, store::Expect::Any)?;
    }
    let bytes = serde_json::to_vec(&header).map_err(unreadable)?;
    match store::create(store, &window_key(header.number), &bytes)? {
        store::CreateOutcome::Own(_) => Ok(header),
        store::CreateOutcome::Other(entry) => match read_listed(&entry) {
            Some(other) => Ok(other),
            None => {
                store::replace(store, &entry.key, &bytes, entry.revision)?;
                Ok(header)
            }
        },
    }
}

/// Usage journals with their revisions in the store, and the hosts of those that can't be read.
type Journals = (Vec<(usage::Journal, u64)>, Vec<usage::Incarnation>);

/// Lists all usage journals.
fn list_journals(store: &dyn store::Store) -> Result<Journals, store::Error> {
    let (mut out, mut unreadable) = (Vec::new(), Vec::new());
    let mut after = String::new();
    loop {
        let page = store.list(ledger::JOURNAL_PREFIX, &after, PAGE_ENTRIES)?;
        let Some(last) = page.last() else {
            return Ok((out, unreadable));
        };
        after = last.key.clone();
        for entry in &page {
            let journal = serde_json::from_slice::<usage::Journal>(entry.bytes()).ok();
            match journal.filter(|j| ledger::journal_key(&j.incarnation) == entry.key) {
                Some(journal) => out.push((journal, entry.revision)),
                None => {
                    let fault = "it is not the journal of its host";
                    FAULTY_KEYS.log("journal_unreadable", &entry.key, entry.revision, fault);
                    let host = entry.key.strip_prefix(ledger::JOURNAL_PREFIX);
                    unreadable.extend(host.map(|h| usage::Incarnation(h.to_owned())));
                }
            }
        }
    }
}

/// Removes windows that were reported `KEPT_WINDOWS` windows or more before `reported`.
fn remove_old_windows(store: &dyn store::Store, reported: u64) -> Result<(), store::Error> {
    let mut removed = 0;
    let mut after = String::new();
    loop {
        let page = store.list(WINDOW_PREFIX, &after, PAGE_ENTRIES)?;
        let Some(last) = page.last() else {
            return Ok(());
        };
        after = last.key.clone();
        for header in page.iter().filter_map(read_listed) {
            if header.number + KEPT_WINDOWS > reported || removed >= MAX_REMOVED_WINDOWS {
                return Ok(());
            }
            for part in store.list(&part_prefix(header.number), "", PAGE_ENTRIES)? {
                store.delete(&part.key, store::Expect::Any)?;
            }
            store.delete(&window_key(header.number), store::Expect::Any)?;
            removed += 1;
        }
    }
}

/// Removes the entries of a sealed window from the journals, and removes expired journals.
fn trim_journals(
    store: &dyn store::Store,
    sealed: &WindowHeader,
    now: clock::Millis,
) -> Result<(), store::Error> {
    let (journals, _) = list_journals(store)?;
    for (journal, revision) in journals {
        let key = ledger::journal_key(&journal.incarnation);
        let expected = store::Expect::Revision(revision);
        let last_entry = sealed
            .last_entries
            .get(&journal.incarnation)
            .copied()
            .unwrap_or_default();
        // If the host of the journal has written it meanwhile, a later window trims the journal.
        if let Some(trimmed) = journal.trimmed(last_entry) {
            let bytes = serde_json::to_vec(&trimmed).map_err(|_| store::Error::Unknown)?;
            let _ = store.put(&key, &bytes, expected);
        } else if journal.entries.is_empty()
            && now.since(clock::Millis(journal.updated_ms)) > JOURNAL_TTL
        {
            let _ = store.delete(&key, expected);
        }
    }
    Ok(())
}
