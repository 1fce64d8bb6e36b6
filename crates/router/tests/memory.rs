//! The memory for requests and responses: how much growing holders get, and what is left to others.

use bytes::Bytes;
use router::memory;

const LIMIT: usize = 36 << 20;
const CHUNK_BYTES: usize = 50_000;
const SMALL_BYTES: usize = 16 << 10;

/// Guards against bodies without end that take a host over its memory, and against sound requests
/// that find no room beside them.
#[test]
fn endless_bodies_stay_within_the_limit_and_leave_room_for_small_ones() {
    for count in [1, 2, 3, 10, 75, 400] {
        let budget = memory::Budget::new(LIMIT);
        let mut holds: Vec<_> = (0..count).map(|_| (budget.open(), 0)).collect();
        for _ in 0..2_000 {
            for (hold, bytes) in &mut holds {
                if hold.grow(CHUNK_BYTES).is_ok() {
                    *bytes += CHUNK_BYTES;
                }
            }
        }
        assert!(budget.held() <= LIMIT, "{count}: {} held", budget.held());
        let most = holds.iter().map(|(_, bytes)| *bytes).max();
        let share = LIMIT / (count + 1);
        assert!(
            most <= Some(share + CHUNK_BYTES),
            "{count}: {most:?} of {share}"
        );
        assert_eq!(budget.open().grow(SMALL_BYTES), Ok(()), "{count}");
    }
}

/// Guards against held memory that is not returned, or returned too early.
#[test]
fn memory_is_held_until_the_last_bytes_are_dropped() {
    let budget = memory::Budget::new(LIMIT);
    let mut hold = budget.open();
    assert_eq!(hold.grow(1_000), Ok(()));
    assert_eq!(hold.resize(400), Ok(()));
    assert_eq!(hold.resize(LIMIT), Err(memory::Exhausted));
    assert_eq!(budget.held(), 400);
    let bytes = hold.attach(Bytes::from_static(b"the body"));
    let part = bytes.slice(4..);
    drop(bytes);
    assert_eq!((budget.held(), &part[..]), (400, &b"body"[..]));
    drop(part);
    assert_eq!(budget.held(), 0);
}
