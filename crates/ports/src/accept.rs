//! Listening for callers, and keeping the HTTP server library's waiting connections moving.
//!
//! `tiny_http` 0.12 hands connections to a pool of threads. Two that come close together can be
//! counted against one idle thread; the second then waits until some other connection closes,
//! which with idle callers may be long. A connection that opens and closes at once makes a
//! thread free, and that thread takes the one that waits.

use std::io;
use std::net;
use std::time;

use base::clock;

/// How long a connection may be left waiting.
pub const PERIOD: clock::Millis = clock::Millis(50);

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// Binds `address` with a queue long enough for a burst of callers.
///
/// # Errors
///
/// The address can't be bound.
pub fn listen(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Opens and closes a connection to the server at `address`.
pub fn nudge(address: net::SocketAddr) {
    const LIMIT: time::Duration = time::Duration::from_millis(200);
    drop(net::TcpStream::connect_timeout(&address, LIMIT));
}
