//! Hash functions whose results are the same on every host and in every release.

/// Computes the FNV-1a hash of `bytes`, with a final mixing step so that similar inputs differ in
/// all bits.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for b in bytes {
        h ^= u64::from(*b);
        h = h.wrapping_mul(0x0000_0100_0000_01b3);
    }
    mix(h)
}

/// Selects the member of `names` with the highest rendezvous-hashing weight for `key`; `None` if
/// `names` is empty.
pub fn rendezvous<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    names: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    let weight = |n: &T| {
        (
            mix(stable_hash(key.as_bytes()) ^ stable_hash(n.as_ref().as_bytes())),
            n.as_ref().len(),
        )
    };
    names.into_iter().max_by_key(|n| weight(n))
}

/// Finalizer of MurmurHash3 for 64 bits.
fn mix(mut h: u64) -> u64 {
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^= h >> 33;
    h = h.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    h ^ (h >> 33)
}
