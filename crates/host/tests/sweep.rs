//! Removal of expired idempotency claims from the store. Guards against removing claims that have
//! not expired, which would let a retried request run twice, and against removing other keys.

use base::clock;
use jacinthslip::{idempotency, sweep};
use ports::memory;
use ports::store::{Expect, Store as _};

/// Stored claim of an idempotency key, made at the Unix time `at` in milliseconds.
fn claim(at: u64) -> Vec<u8> {
    let claim = serde_json::json!({"request": "r", "digest": "d", "at": at, "answer": null});
    claim.to_string().into_bytes()
}

#[test]
fn expired_claims_are_removed_page_by_page() {
    let store = memory::MemoryStore::default();
    let now = clock::Millis(10 * sweep::CLAIM_TTL.0);
    let expiry_ms = now.since(sweep::CLAIM_TTL).0;
    for n in 0..200u64 {
        let at = if n % 2 == 0 {
            expiry_ms - n
        } else {
            expiry_ms + 1 + n
        };
        store
            .put(
                &format!("{}quotes/ledger/{n:03}", idempotency::CLAIM_PREFIX),
                &claim(at),
                Expect::Absent,
            )
            .expect("put");
    }
    store
        .put(
            &format!("{}quotes/ledger/odd", idempotency::CLAIM_PREFIX),
            b"not a claim",
            Expect::Absent,
        )
        .expect("put");
    store.put("other/key", b"x", Expect::Absent).expect("put");
    let mut sweep = sweep::ClaimSweep::default();
    for _ in 0..10 {
        sweep.step(&store, now).expect("step");
    }
    assert_eq!(store.len(), 102);
    assert!(
        store
            .get(&format!("{}quotes/ledger/001", idempotency::CLAIM_PREFIX))
            .expect("get")
            .is_some()
    );
    assert!(
        store
            .get(&format!("{}quotes/ledger/002", idempotency::CLAIM_PREFIX))
            .expect("get")
            .is_none()
    );
}
