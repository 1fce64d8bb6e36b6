//! Seals usage windows and reports them, while this host holds the report lease.
//!
//! A window's figures are created in the store before they are first sent, and only the bytes
//! that stand there are ever sent.

use std::time;

use base::clock;
use platform::{orders, reports, store};
use policy::usage;

use crate::{context, leader, ledger, stop};

/// Hosts of each data centre that stand by for the lease.
const CANDIDATES: u32 = 2;
/// How often the lease and the windows are looked at.
const STEP: time::Duration = time::Duration::from_millis(200);
/// Books read at a time.
const PAGE: usize = 256;
/// Reported windows kept in the store.
const KEPT_WINDOWS: u64 = 2;
/// Key of the lease.
pub const LEASE: &str = "lease/report";
/// Key of the number of the last window reported.
pub const REPORTED: &str = "usage/reported";

/// Key of a sealed window.
pub fn window_key(number: u64) -> String {
    format!("usage/window/{number:012}")
}

/// Seals and reports until stopped.
pub fn run(context: &context::Context, reports: &dyn reports::Reports, stop: &stop::Stop) {
    let settings = &context.settings;
    let mut leader = leader::Leader::new(
        LEASE.to_owned(),
        context.store.clone(),
        context.clock.clone(),
        &settings.host,
        context.incarnation,
        settings.times.lease,
    );
    let mut looked = clock::Millis::ZERO;
    while !stop.wait(STEP) {
        let (index, _) = context.directory.rank(context.clock.now());
        if index >= CANDIDATES && !leader.is_holding() {
            continue;
        }
        let Some(term) = leader.step() else { continue };
        let now = context.clock.now();
        if now.since(looked) < clock::Millis(settings.times.window.0 / 4) {
            continue;
        }
        looked = now;
        if let Err(e) = step(context, reports, term) {
            tracing::debug!(event = "usage_not_reported", error = %e);
        }
    }
    leader.release();
}

/// Reports the next sealed window, or seals one if it is time.
fn step(
    context: &context::Context,
    reports: &dyn reports::Reports,
    term: orders::Term,
) -> Result<(), store::Error> {
    let store = &*context.store;
    let reported = match store.get(REPORTED)? {
        Some(e) => Some((number(&e), e.revision)),
        None => None,
    };
    let last = reported.map_or(0, |(n, _)| n);
    let next = match store.get(&window_key(last + 1))? {
        Some(sealed) => sealed,
        None => match seal(context, last)? {
            Some(sealed) => sealed,
            None => return Ok(()),
        },
    };
    let sent = reports.send(last + 1, next.bytes(), term);
    tracing::info!(event = "usage_reported", window = last + 1, fence = term.epoch, result = ?sent);
    if sent.is_err() {
        return Ok(());
    }
    let expect = reported.map_or(store::Expect::Absent, |(_, at)| store::Expect::Revision(at));
    store.put(REPORTED, (last + 1).to_string().as_bytes(), expect)?;
    prune(store, last + 1, &next)
}

fn number(e: &store::Entry) -> u64 {
    std::str::from_utf8(e.bytes())
        .ok()
        .and_then(|t| t.parse().ok())
        .unwrap_or_default()
}

fn window(e: &store::Entry) -> Result<usage::Window, store::Error> {
    serde_json::from_slice(e.bytes()).map_err(|_| store::Error::Unknown)
}

/// Seals the window after `last`, if it is time and there is something in it; the entry that
/// stands in the store, whoever wrote it.
fn seal(context: &context::Context, last: u64) -> Result<Option<store::Entry>, store::Error> {
    let store = &*context.store;
    let before = match store.get(&window_key(last))? {
        Some(e) => window(&e)?,
        None if last == 0 => usage::Window::default(),
        None => return Err(store::Error::Unknown),
    };
    let now = context.clock.unix();
    if now.since(clock::Millis(before.sealed)) < context.settings.times.window {
        return Ok(None);
    }
    let books: Vec<_> = books(store)?.into_iter().map(|(book, _)| book).collect();
    let sealed = usage::seal(&before, &books, now.0);
    if sealed.lines.is_empty() {
        return Ok(None);
    }
    let key = window_key(last + 1);
    let bytes = serde_json::to_vec(&sealed).map_err(|_| store::Error::Unknown)?;
    match store::create(store, &key, &bytes)? {
        store::Created::Mine(revision) => Ok(Some(store::Entry {
            key,
            value: Some(bytes),
            revision,
        })),
        store::Created::Other(entry) => Ok(Some(entry)),
    }
}

/// All books, each with its revision.
fn books(store: &dyn store::Store) -> Result<Vec<(usage::Book, u64)>, store::Error> {
    let mut out = Vec::new();
    let mut after = String::new();
    loop {
        let page = store.list(ledger::BOOKS, &after, PAGE)?;
        let Some(last) = page.last() else {
            return Ok(out);
        };
        after = last.key.clone();
        for entry in &page {
            match serde_json::from_slice(entry.bytes()) {
                Ok(book) => out.push((book, entry.revision)),
                Err(_) => tracing::error!(event = "book_unreadable", key = %entry.key),
            }
        }
    }
}

/// Removes old windows, and trims the entries of reported windows from the books.
fn prune(
    store: &dyn store::Store,
    reported: u64,
    entry: &store::Entry,
) -> Result<(), store::Error> {
    if let Some(old) = reported.checked_sub(KEPT_WINDOWS) {
        store.delete(&window_key(old), store::Expect::Any)?;
    }
    let sealed = window(entry)?;
    for (book, revision) in books(store)? {
        let through = sealed
            .through
            .get(&book.incarnation)
            .copied()
            .unwrap_or_default();
        let Some(trimmed) = book.trimmed(through) else {
            continue;
        };
        let bytes = serde_json::to_vec(&trimmed).map_err(|_| store::Error::Unknown)?;
        // Its host may have written first: the next window trims it then.
        let key = ledger::book_key(&book.incarnation);
        let _ = store.put(&key, &bytes, store::Expect::Revision(revision));
    }
    Ok(())
}
