//! Commands that only show.

use std::path;

use base::diagnostic;
use config::{document, item, log, parse, remote};
use ports::{store, store_http};

use crate::{change, cli, fault};

/// Revisions that `history` lists.
const LISTED: u64 = 20;

/// Reads and checks a document.
pub(crate) fn read(file: &path::Path) -> Result<document::Document, fault::Fault> {
    let text = diagnostic::read_file(file, "give the path of a document")?;
    Ok(parse::document(&file.display().to_string(), &text)?)
}

/// Checks a document.
pub(crate) fn check(file: &path::Path) -> Result<(), fault::Fault> {
    let doc = read(file)?;
    let digest = item::digest(&item::items(&doc));
    println!(
        "{}: no fault found; {} classes, {} teams, {} services; digest {digest}",
        file.display(),
        doc.classes.len(),
        doc.teams.len(),
        doc.services.len()
    );
    Ok(())
}

fn name(id: &item::Id) -> String {
    match id {
        item::Id::Class(n) => format!("class {n}"),
        item::Id::Team(n) => format!("team {n}"),
        item::Id::Service(n) => format!("service {n}"),
        item::Id::Key(digest) => format!("key {digest:.12}"),
    }
}

/// Shows what a document would change.
pub(crate) fn diff(args: &cli::Diff) -> Result<(), fault::Fault> {
    let doc = read(&args.file)?;
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::TRIAL);
    let state = remote::load(&store, env)?;
    for change in item::diff(&state.items, &item::items(&doc)) {
        let (sign, id) = match &change {
            item::Change::Remove(id) => ('-', id.clone()),
            item::Change::Put(i) if state.items.contains_key(&i.id()) => ('~', i.id()),
            item::Change::Put(i) => ('+', i.id()),
        };
        println!("{sign} {}", name(&id));
    }
    Ok(())
}

/// Shows both environments.
pub(crate) fn status(args: &cli::Status) -> Result<(), fault::Fault> {
    let store = store_http::Http::new(args.store);
    for env in [change::TRIAL, change::PRODUCTION] {
        let state = remote::load(&store, env)?;
        println!(
            "{env}: revision {} digest {}",
            state.revision,
            item::digest(&state.items)
        );
    }
    Ok(())
}

/// Lists the latest changes.
pub(crate) fn history(args: &cli::History) -> Result<(), fault::Fault> {
    let store = store_http::Http::new(args.store);
    let env = args.env.as_deref().unwrap_or(change::PRODUCTION);
    let newest = remote::load(&store, env)?.revision;
    for revision in newest.saturating_sub(LISTED - 1).max(1)..=newest {
        if let Some(entry) = remote::read_entry(&store as &dyn store::Store, env, revision)? {
            line(&entry);
        }
    }
    Ok(())
}

fn line(entry: &log::Entry) {
    let mut names = Vec::new();
    for change in &entry.changes {
        names.push(match change {
            item::Change::Put(i) => name(&i.id()),
            item::Change::Remove(id) => format!("removed {}", name(id)),
        });
    }
    let what = names.join(", ");
    println!(
        "{} at {} digest {:.12}: {what}",
        entry.revision, entry.written_ms, entry.digest
    );
}
