//! What a host grants itself when its service's dispatcher gives no answer.

/// The slots that one of `hosts` live hosts may use of `slots`; at least one in `hosts` turns
/// when there are fewer slots than hosts.
///
/// The shares of hosts 0 to `hosts - 1` add up to `slots`.
pub fn host_slots(slots: u32, hosts: u32, index: u32) -> u32 {
    let hosts = hosts.max(1);
    let rest = slots % hosts;
    slots / hosts + u32::from(index < rest)
}
