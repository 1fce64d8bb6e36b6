//! Listening sockets, and a workaround for connections that the HTTP server library leaves queued.
//!
//! `tiny_http` 0.12 assigns connections to a pool of worker threads. Two connections that arrive
//! close together can be counted against the same idle worker. The second one then stays queued
//! until another connection closes, which can take long when clients keep idle connections open.
//! Opening a connection and closing it at once frees a worker, which then takes the queued
//! connection.

use std::io;
use std::net;
use std::time;

use base::clock;

/// Interval between calls of [`wake_worker`], and so the longest time that a connection stays
/// queued.
pub const WAKE_INTERVAL: clock::Millis = clock::Millis(50);

/// Length of the queue of connections not yet accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Binds a listening socket to `address`, with a queue long enough for a burst of connections.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn listen(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Ok(socket.into())
}

/// Opens and closes a connection to the server at `address`, which makes the server's worker pool
/// take a queued connection.
pub fn wake_worker(address: net::SocketAddr) {
    const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(200);
    drop(net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
}

/// Shuts down the connection from the address `peer` at once. The HTTP library gives no access to
/// the socket, so it is found by its peer address among the open file descriptors of this process.
pub fn shutdown_connection(peer: Option<net::SocketAddr>) {
    let Some(peer) = peer else { return };
    let Ok(fds) = std::fs::read_dir("/proc/self/fd") else {
        return;
    };
    for entry in fds.flatten() {
        let Some(fd) = entry
            .file_name()
            .to_str()
            .and_then(|n| n.parse::<i32>().ok())
        else {
            continue;
        };
        // SAFETY: the descriptor is used only to get the peer address and to shut down the socket.
        // Both calls return an error if it was closed in the meantime or is not a socket.
        let fd = unsafe { std::os::fd::BorrowedFd::borrow_raw(fd) };
        let socket = socket2::SockRef::from(&fd);
        if socket.peer_addr().ok().and_then(|a| a.as_socket()) == Some(peer) {
            let _ = socket.shutdown(net::Shutdown::Both);
        }
    }
}
