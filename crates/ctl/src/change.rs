//! Commands that change the configuration: `apply` and `promote`.

use base::clock;
use config::{item, log_store};
use ports::store_http;

use crate::{cli, error, show};

/// Environment in which documents are tested before they are promoted.
pub(crate) const TRIAL_ENV: &str = "trial";
/// Environment that serves production traffic, to which documents are promoted.
pub(crate) const PRODUCTION_ENV: &str = "production";

/// Creates a stamp for one append to the change log, with a random writer number and the current
/// time.
pub(crate) fn stamp() -> log_store::Stamp {
    log_store::Stamp {
        writer: rand::random(),
        written_ms: clock::Clock::System.unix_time().0,
    }
}

/// Runs `apply`: applies a document to the trial environment.
pub(crate) fn apply(args: &cli::Apply) -> Result<(), error::Error> {
    let doc = show::read_document(&args.file)?;
    let store = store_http::Http::new(args.store);
    let mut state = log_store::load(&store, TRIAL_ENV)?;
    let changes = item::diff(&state.items, &item::items(&doc));
    let count = changes.len();
    if count > 0 {
        log_store::append(&store, TRIAL_ENV, &mut state, changes, stamp())?;
    }
    let digest = item::digest(&state.items);
    println!(
        "trial: revision {} digest {digest} changes {count}",
        state.revision
    );
    Ok(())
}

/// Runs `promote`: copies the trial document to production if its digest matches the given one.
pub(crate) fn promote(args: &cli::Promote) -> Result<(), error::Error> {
    let store = store_http::Http::new(args.store);
    let trial = log_store::load(&store, TRIAL_ENV)?;
    let digest = item::digest(&trial.items);
    if digest != args.digest {
        return Err(error::Error::DigestMismatch(digest));
    }
    let mut state = log_store::load(&store, PRODUCTION_ENV)?;
    let promoted = trial
        .items
        .into_iter()
        .filter(|(id, _)| !matches!(id, item::Id::Key(_)));
    let changes = item::diff(&state.items, &promoted.collect());
    let count = changes.len();
    if count > 0 {
        log_store::append(&store, PRODUCTION_ENV, &mut state, changes, stamp())?;
    }
    println!(
        "production: revision {} digest {digest} changes {count}",
        state.revision
    );
    Ok(())
}
