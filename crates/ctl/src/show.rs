//! Commands that only read: `check`, `diff`, `status` and `history`.

use std::path;

use base::{diagnostic, findings};
use config::{document, item, log, log_store, parse};
use ports::{store, store_http};

use crate::{change, cli, error, review};

/// Maximum number of revisions that `history` lists.
const HISTORY_LENGTH: u64 = 20;

/// Reads and validates a document.
pub(crate) fn read_document(file: &path::Path) -> Result<document::Document, error::Error> {
    let text = diagnostic::read_file(file, "give the path of a configuration document")?;
    Ok(parse::document(&file.display().to_string(), &text)?)
}

/// Runs `check`: validates a document, compares it with another one, and prints a summary.
pub(crate) fn check(args: &cli::Check) -> Result<(), error::Error> {
    let mut report = findings::Report::default();
    let file = args.file.display().to_string();
    let doc = match read_document(&args.file) {
        Ok(doc) => Some(doc),
        Err(error::Error::Document(diagnostics)) => {
            report.add_diagnostics(&diagnostics);
            None
        }
        Err(e) => return Err(e),
    };
    if let Some(doc) = &doc {
        review::add_findings(doc, &file, &mut report);
    }
    if let (Some(doc), Some(against)) = (&doc, &args.against) {
        match read_document(against) {
            Ok(old) => report.changes = Some(review::differences(&old, doc)?),
            Err(error::Error::Document(diagnostics)) => report.add_diagnostics(&diagnostics),
            Err(e) => return Err(e),
        }
    }
    report
        .print(&file, args.json)
        .map_err(error::Error::Output)?;
    if report.has_errors() {
        return Err(error::Error::Reported);
    }
    if let Some(doc) = doc.filter(|_| !args.json) {
        let digest = item::digest(&item::items(&doc));
        println!(
            "{} classes, {} teams, {} services; digest {digest}",
            doc.classes.len(),
            doc.teams.len(),
            doc.services.len()
        );
    }
    Ok(())
}

/// Returns the kind and name of an item, or the first digits of a key's digest.
fn item_label(id: &item::Id) -> String {
    match id {
        item::Id::Class(n) => format!("class {n}"),
        item::Id::Team(n) => format!("team {n}"),
        item::Id::Service(n) => format!("service {n}"),
        item::Id::Key(digest) => format!("key {digest:.12}"),
    }
}

/// Runs `diff`: prints the changes that applying a document would make.
pub(crate) fn diff(args: &cli::Diff) -> Result<(), error::Error> {
    let doc = read_document(&args.file)?;
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::TRIAL_ENV);
    let state = log_store::load(&store, env)?;
    for change in item::diff(&state.items, &item::items(&doc)) {
        let (sign, id) = match &change {
            item::Change::Remove(id) => ('-', id.clone()),
            item::Change::Put(i) if state.items.contains_key(&i.id()) => ('~', i.id()),
            item::Change::Put(i) => ('+', i.id()),
        };
        println!("{sign} {}", item_label(&id));
    }
    Ok(())
}

/// Runs `status`: prints revision and digest of both environments.
pub(crate) fn status(args: &cli::Status) -> Result<(), error::Error> {
    let store = store_http::Http::new(args.store);
    for env in [change::TRIAL_ENV, change::PRODUCTION_ENV] {
        let state = log_store::load(&store, env)?;
        println!(
            "{env}: revision {} digest {}",
            state.revision,
            item::digest(&state.items)
        );
    }
    Ok(())
}

/// Runs `history`: prints the latest revisions of an environment.
pub(crate) fn history(args: &cli::History) -> Result<(), error::Error> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION_ENV);
    let newest = log_store::load(&store, env)?.revision;
    for revision in newest.saturating_sub(HISTORY_LENGTH - 1).max(1)..=newest {
        if let Some(entry) = log_store::read_entry(&store as &dyn store::Store, env, revision)? {
            print_entry(&entry);
        }
    }
    Ok(())
}

/// Prints a log entry as one line.
fn print_entry(entry: &log::Entry) {
    let mut changes = Vec::new();
    for change in &entry.changes {
        changes.push(match change {
            item::Change::Put(i) => item_label(&i.id()),
            item::Change::Remove(id) => format!("removed {}", item_label(id)),
        });
    }
    let summary = changes.join(", ");
    println!(
        "{} at {} digest {:.12}: {summary}",
        entry.revision, entry.written_ms, entry.digest
    );
}
