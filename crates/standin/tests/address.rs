//! Tests of the addresses that tests hand to the processes they start.

use std::collections;

use standin::address;

/// Two tests that ran at the same time were given the same port once in a few hundred runs. One
/// took the other's host for its own, found it ready, and got no response on its own client port.
#[test]
fn no_address_is_handed_out_twice() {
    const ADDRESSES: usize = 2_000;
    let mut seen = collections::HashSet::new();
    for _ in 0..ADDRESSES {
        assert!(seen.insert(address::free_address()));
    }
}
