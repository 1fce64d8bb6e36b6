//! Split of an upstream's slots among hosts, used when the dispatcher of a service does not
//! respond and each host grants slots on its own.

/// Number of an upstream's `slots` that the host at position `index` of `hosts` live hosts may
/// use.
///
/// The results for hosts 0 to `hosts - 1` add up to `slots`. With fewer slots than hosts, some
/// hosts get none; the caller rotates `index` by upstream so that these differ.
pub fn host_slots(slots: u32, hosts: u32, index: u32) -> u32 {
    let hosts = hosts.max(1);
    let remainder = slots % hosts;
    slots / hosts + u32::from(index < remainder)
}
