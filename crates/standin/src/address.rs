//! Loopback addresses for processes that bind them later.

use std::net;
use std::process;
use std::sync::atomic;

/// First port handed out. The range lies below the ephemeral ports of the system, which could
/// assign a port of that range to another socket before the process binds it.
const FIRST_PORT: u32 = 15_000;
/// Number of ports handed out before they repeat.
const PORT_COUNT: u32 = 15_000;
/// Distance between the first ports of two processes with consecutive process IDs.
const PROCESS_STEP: u32 = 61;

/// Unused loopback address. This process gets no address twice before the range is used up: two
/// tests that were given the same port would mistake each other's host for their own.
pub fn free_address() -> net::SocketAddr {
    static NEXT_OFFSET: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    loop {
        let n = NEXT_OFFSET.fetch_add(1, atomic::Ordering::SeqCst);
        let port = FIRST_PORT + (process::id() * PROCESS_STEP + n) % PORT_COUNT;
        let address = net::SocketAddr::from(([127, 0, 0, 1], port as u16));
        if net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
