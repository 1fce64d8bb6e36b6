//! Deletes expired claims of idempotency keys from the store, one page at a time.

use base::clock;
use ports::store;

use crate::idempotency;

/// Time for which a claim is kept. A request with the same idempotency key runs again after that.
pub const CLAIM_TTL: clock::Millis = clock::Millis::secs(24 * 3600);
/// Number of claims read in one step.
const PAGE_CLAIMS: usize = 64;

/// Iterates over all claims in key order and starts again at the first after the last.
#[derive(Debug, Default)]
pub struct ClaimSweep {
    /// Last key of the previous page; empty at the start of a pass.
    after: String,
}

impl ClaimSweep {
    /// Reads the next page and deletes the claims that are older than [`CLAIM_TTL`]. `now` is the
    /// Unix time.
    ///
    /// # Errors
    ///
    /// Returns the error of the store; the next step reads the same page again.
    pub fn step(
        &mut self,
        store: &dyn store::Store,
        now: clock::Millis,
    ) -> Result<(), store::Error> {
        let page = store.list(idempotency::CLAIM_PREFIX, &self.after, PAGE_CLAIMS)?;
        for entry in &page {
            let Some(created_at) = idempotency::claimed_at(entry) else {
                continue;
            };
            if now.since(created_at) < CLAIM_TTL {
                continue;
            }
            match store.delete(&entry.key, store::Expect::Revision(entry.revision)) {
                // On a conflict, another request has replaced the claim, which is no longer
                // expired.
                Ok(()) | Err(store::Error::Conflict(_)) => {}
                Err(e) => return Err(e),
            }
        }
        self.after = page.last().map_or_else(String::new, |e| e.key.clone());
        Ok(())
    }
}
