//! Commands that change the configuration.

use base::clock;
use config::{item, remote};
use ports::store_http;

use crate::{cli, fault, show};

/// The environment that documents are tried in.
pub(crate) const TRIAL: &str = "trial";
/// The environment that tried documents are promoted to.
pub(crate) const PRODUCTION: &str = "production";

/// A mark for one append.
pub(crate) fn stamp() -> remote::Stamp {
    remote::Stamp {
        writer: rand::random(),
        written_ms: clock::Clock::System.unix_time().0,
    }
}

/// Applies a document to trial.
pub(crate) fn apply(args: &cli::Apply) -> Result<(), fault::Fault> {
    let doc = show::read(&args.file)?;
    let store = store_http::Http::new(args.store);
    let mut state = remote::load(&store, TRIAL)?;
    let changes = item::diff(&state.items, &item::items(&doc));
    let count = changes.len();
    if count > 0 {
        remote::append(&store, TRIAL, &mut state, changes, stamp())?;
    }
    let digest = item::digest(&state.items);
    println!(
        "trial: revision {} digest {digest} changes {count}",
        state.revision
    );
    Ok(())
}

/// Puts the document tried in force in production.
pub(crate) fn promote(args: &cli::Promote) -> Result<(), fault::Fault> {
    let store = store_http::Http::new(args.store);
    let trial = remote::load(&store, TRIAL)?;
    let digest = item::digest(&trial.items);
    if digest != args.digest {
        return Err(fault::Fault::NotTried(digest));
    }
    let mut state = remote::load(&store, PRODUCTION)?;
    let tried = trial
        .items
        .into_iter()
        .filter(|(id, _)| !matches!(id, item::Id::Key(_)));
    let changes = item::diff(&state.items, &tried.collect());
    let count = changes.len();
    if count > 0 {
        remote::append(&store, PRODUCTION, &mut state, changes, stamp())?;
    }
    println!(
        "production: revision {} digest {digest} changes {count}",
        state.revision
    );
    Ok(())
}
