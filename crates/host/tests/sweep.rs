//! Old claims are removed, young ones stay.

use base::clock;
use jacinthslip::{idempotency, sweep};
use ports::memory;
use ports::store::{Expect, Store as _};

fn claim(at: u64) -> Vec<u8> {
    let claim = serde_json::json!({"request": "r", "digest": "d", "at": at, "answer": null});
    claim.to_string().into_bytes()
}

#[test]
fn claims_older_than_their_life_are_removed_page_by_page() {
    let store = memory::MemoryStore::default();
    let now = clock::Millis(10 * sweep::CLAIM_TTL.0);
    let limit = now.since(sweep::CLAIM_TTL).0;
    for n in 0..200u64 {
        let at = if n % 2 == 0 { limit - n } else { limit + 1 + n };
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
