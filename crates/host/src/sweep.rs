//! Removes old claims of calls under idempotency keys, a page at a time.

use base::clock;
use ports::store;

use crate::idempotency;

/// How long a claim is kept: a repeat after that runs again.
pub const CLAIM_TTL: clock::Millis = clock::Millis::secs(24 * 3600);
/// Claims looked at in one step.
const PAGE: usize = 64;

/// Walks over all claims, from the first again after the last.
#[derive(Debug, Default)]
pub struct ClaimSweep {
    after: String,
}

impl ClaimSweep {
    /// Looks at the next page and removes the claims made before `now` less [`CLAIM_TTL`], by
    /// the Unix clock.
    ///
    /// # Errors
    ///
    /// The store failed; the page is looked at again.
    pub fn step(
        &mut self,
        store: &dyn store::Store,
        now: clock::Millis,
    ) -> Result<(), store::Error> {
        let page = store.list(idempotency::CLAIM_PREFIX, &self.after, PAGE)?;
        for entry in &page {
            let Some(at) = idempotency::claimed_at(entry) else {
                continue;
            };
            if now.since(at) < CLAIM_TTL {
                continue;
            }
            match store.delete(&entry.key, store::Expect::Revision(entry.revision)) {
                // Taken over meanwhile: it is young again.
                Ok(()) | Err(store::Error::Conflict(_)) => {}
                Err(e) => return Err(e),
            }
        }
        self.after = page.last().map_or_else(String::new, |e| e.key.clone());
        Ok(())
    }
}
