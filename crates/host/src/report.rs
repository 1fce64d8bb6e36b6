//! Seals usage windows and reports them, while this host holds the report lease.
//!
//! A window's figures stand in the store before they are first sent, and only the bytes that
//! stand there are ever sent. They are in parts, since those of many teams pass the largest value
//! of the store; the window's head, created only if absent, names the parts that count.

use std::time;

use base::clock;
use policy::usage;
use ports::{orders, reports, store};
use serde::{Deserialize, Serialize};

use crate::{context, leader, ledger, stop, sweep};

/// Hosts of each data centre that stand by for the lease.
const CANDIDATES: u32 = 2;
/// How often the lease and the windows are looked at.
const STEP: time::Duration = time::Duration::from_millis(200);
/// How often a page of claims is looked at.
const SWEEP: clock::Millis = clock::Millis(1_000);
/// Journals read at a time.
const PAGE: usize = 256;
/// Reported windows kept in the store.
const KEPT_WINDOWS: u64 = 2;
/// Lines of a part at most: it stays well under the store's largest value.
const PART_LINES: usize = 4_000;
/// A journal with no open entry that was not written for this long is removed.
const JOURNAL_LIFE: clock::Millis = clock::Millis::secs(48 * 3600);
/// Key of the lease.
pub const LEASE: &str = "lease/report";
/// Key of the number of the last window reported.
pub const REPORTED: &str = "usage/reported";

/// Prefix of all windows' heads.
const WINDOWS: &str = "usage/window/";

/// Key of a window's head.
pub fn window_key(number: u64) -> String {
    format!("{WINDOWS}{number:012}")
}

fn part_prefix(number: u64) -> String {
    format!("usage/part/{number:012}/")
}

fn part_key(number: u64, seal: u64, part: u32) -> String {
    format!("{}{seal:016x}/{part:04}", part_prefix(number))
}

/// The head of a sealed window.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct Head {
    number: u64,
    sealed: u64,
    seal: u64,
    parts: u32,
    through: std::collections::BTreeMap<usage::Incarnation, u64>,
}

/// One part of a window's figures, as it is reported.
#[derive(Debug, Serialize)]
struct Part<'a> {
    window: u64,
    part: u32,
    parts: u32,
    lines: &'a [usage::LineItem],
}

/// Seals and reports until stopped, and sweeps old claims.
pub fn run(context: &context::Context, reports: &dyn reports::ReportSender, stop: &stop::StopFlag) {
    let settings = &context.settings;
    let mut leader = leader::Leader::new(
        LEASE.to_owned(),
        context.store.clone(),
        context.clock.clone(),
        &settings.host,
        context.incarnation,
        settings.durations.lease_ttl,
    );
    let mut looked = clock::Millis::ZERO;
    let mut swept = clock::Millis::ZERO;
    let mut sweep = sweep::ClaimSweep::default();
    while !stop.wait(STEP) {
        let (index, _) = context.directory.rank(context.clock.now());
        if index >= CANDIDATES && !leader.is_holding() {
            continue;
        }
        let Some(term) = leader.step() else { continue };
        let now = context.clock.now();
        if now.since(swept) >= SWEEP {
            swept = now;
            let _ = sweep.step(&*context.store, context.clock.unix_time());
        }
        if now.since(looked) < clock::Millis(settings.durations.usage_window.0 / 4) {
            continue;
        }
        looked = now;
        if let Err(e) = step(context, reports, term) {
            tracing::debug!(event = "usage_not_reported", error = %e);
        }
    }
    leader.release();
}

/// Seals a window if it is time, and reports those that are sealed and not reported, in their
/// order.
fn step(
    context: &context::Context,
    reports: &dyn reports::ReportSender,
    term: orders::Term,
) -> Result<(), store::Error> {
    let store = &*context.store;
    let (mut reported, mut at) = match store.get(REPORTED)? {
        Some(e) => (number(&e), store::Expect::Revision(e.revision)),
        None => (0, store::Expect::Absent),
    };
    let mut waiting = unreported(store, reported)?;
    let last = match (waiting.last(), store.get(&window_key(reported))?) {
        (Some(head), _) => head.clone(),
        (None, Some(e)) => read_head(&e)?,
        (None, None) if reported == 0 => Head::default(),
        (None, None) => return Err(store::Error::Unknown),
    };
    if let Some(head) = seal(context, &last)? {
        trim(context, &head)?;
        waiting.push(head);
    }
    for head in waiting {
        if !report(store, reports, &head, term)? {
            return Ok(());
        }
        reported = head.number;
        at = store::Expect::Revision(store.put(REPORTED, reported.to_string().as_bytes(), at)?);
        remove_old(store, reported)?;
    }
    Ok(())
}

/// The heads of windows sealed after `reported`, in their order.
fn unreported(store: &dyn store::Store, reported: u64) -> Result<Vec<Head>, store::Error> {
    let heads = store.list(WINDOWS, &window_key(reported), PAGE)?;
    heads.iter().map(read_head).collect()
}

/// Sends the parts of a window; tells whether all were taken.
fn report(
    store: &dyn store::Store,
    reports: &dyn reports::ReportSender,
    head: &Head,
    term: orders::Term,
) -> Result<bool, store::Error> {
    for part in 0..head.parts {
        let key = part_key(head.number, head.seal, part);
        let Some(sealed) = store.get(&key)? else {
            return Err(store::Error::Unknown);
        };
        let number = reports::ReportId {
            window: head.number,
            part,
            parts: head.parts,
        };
        let sent = reports.send(number, sealed.bytes(), term);
        tracing::info!(event = "usage_reported", window = head.number, part, fence = term.epoch, result = ?sent);
        if sent.is_err() {
            return Ok(false);
        }
    }
    Ok(true)
}

fn number(e: &store::Entry) -> u64 {
    std::str::from_utf8(e.bytes())
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or_default()
}

fn read_head(e: &store::Entry) -> Result<Head, store::Error> {
    serde_json::from_slice(e.bytes()).map_err(|_| store::Error::Unknown)
}

/// Seals the window after `before`, if it is time and there is something in it; the head that
/// stands in the store, whoever wrote it.
fn seal(context: &context::Context, before: &Head) -> Result<Option<Head>, store::Error> {
    let store = &*context.store;
    let now = context.clock.unix_time();
    if now.since(clock::Millis(before.sealed)) < context.settings.durations.usage_window {
        return Ok(None);
    }
    let journals: Vec<_> = journals(store)?
        .into_iter()
        .map(|(journal, _)| journal)
        .collect();
    let before = usage::Window {
        number: before.number,
        last_entries: before.through.clone(),
        ..usage::Window::default()
    };
    let window = usage::seal(&before, &journals, now.0);
    if window.lines.is_empty() {
        return Ok(None);
    }
    write(store, window).map(Some)
}

/// Writes a window's parts, then its head if there is none.
fn write(store: &dyn store::Store, window: usage::Window) -> Result<Head, store::Error> {
    let chunks: Vec<_> = window.lines.chunks(PART_LINES).collect();
    let head = Head {
        number: window.number,
        sealed: window.sealed_ms,
        seal: rand::random(),
        parts: chunks.len() as u32,
        through: window.last_entries.clone(),
    };
    let unreadable = |_| store::Error::Unknown;
    for (n, lines) in chunks.iter().enumerate() {
        let part = Part {
            window: head.number,
            part: n as u32,
            parts: head.parts,
            lines,
        };
        let bytes = serde_json::to_vec(&part).map_err(unreadable)?;
        let key = part_key(head.number, head.seal, n as u32);
        store.put(&key, &bytes, store::Expect::Any)?;
    }
    let bytes = serde_json::to_vec(&head).map_err(unreadable)?;
    match store::create(store, &window_key(head.number), &bytes)? {
        store::CreateOutcome::Own(_) => Ok(head),
        store::CreateOutcome::Other(entry) => read_head(&entry),
    }
}

/// All journals, each with its revision.
fn journals(store: &dyn store::Store) -> Result<Vec<(usage::Journal, u64)>, store::Error> {
    let mut out = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.list(ledger::JOURNALS, &after, PAGE)?;
        let Some(last) = page.last() else {
            return Ok(out);
        };
        after = last.key.clone();
        for entry in &page {
            let Ok(journal) = serde_json::from_slice(entry.bytes()) else {
                // A journal left out would be taken again from its beginning later.
                tracing::error!(event = "journal_unreadable", key = %entry.key);
                return Err(store::Error::Unknown);
            };
            out.push((journal, entry.revision));
        }
    }
}

/// Removes windows that were reported a while ago.
fn remove_old(store: &dyn store::Store, reported: u64) -> Result<(), store::Error> {
    let Some(old) = reported.checked_sub(KEPT_WINDOWS) else {
        return Ok(());
    };
    store.delete(&window_key(old), store::Expect::Any)?;
    for part in store.list(&part_prefix(old), "", PAGE)? {
        store.delete(&part.key, store::Expect::Any)?;
    }
    Ok(())
}

/// Trims the entries of a sealed window from the journals, and removes journals that are long done.
fn trim(context: &context::Context, sealed: &Head) -> Result<(), store::Error> {
    let store = &*context.store;
    let now = context.clock.unix_time();
    for (journal, revision) in journals(store)? {
        let key = ledger::journal_key(&journal.incarnation);
        let at = store::Expect::Revision(revision);
        let through = sealed
            .through
            .get(&journal.incarnation)
            .copied()
            .unwrap_or_default();
        // Its host may have written first: a later window trims it then.
        if let Some(trimmed) = journal.trimmed(through) {
            let bytes = serde_json::to_vec(&trimmed).map_err(|_| store::Error::Unknown)?;
            let _ = store.put(&key, &bytes, at);
        } else if journal.entries.is_empty()
            && now.since(clock::Millis(journal.updated_ms)) > JOURNAL_LIFE
        {
            let _ = store.delete(&key, at);
        }
    }
    Ok(())
}
