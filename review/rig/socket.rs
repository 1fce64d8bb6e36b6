//! Client sockets with the segment size and the small window of an ordinary network path.
//!
//! On the loopback interface, segments of 64 kB make the kernel buffer megabytes for each
//! connection, where a network path buffers some ten kilobytes.

use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

/// Largest segment on an Ethernet path, in bytes.
const SEGMENT_BYTES: i32 = 1_460;
/// Receive buffer, in bytes.
const WINDOW_BYTES: i32 = 16 << 10;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct SockaddrIn {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(socket: i32, address: *const SockaddrIn, length: u32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Connects to `address` with a small window.
pub fn open(address: SocketAddr) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain system calls with values that live until they return.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        TcpStream::from_raw_fd(fd)
    };
    set(&stream, SOL_SOCKET, SO_RCVBUF, WINDOW_BYTES)?;
    set(&stream, IPPROTO_TCP, TCP_MAXSEG, SEGMENT_BYTES)?;
    let target = sockaddr(address);
    // SAFETY: as above.
    if unsafe { connect(stream.as_raw_fd(), &target, 16) } != 0 {
        return Err(io::Error::last_os_error());
    }
    Ok(stream)
}

fn set(stream: &TcpStream, level: i32, name: i32, value: i32) -> io::Result<()> {
    // SAFETY: as above.
    match unsafe { setsockopt(stream.as_raw_fd(), level, name, &value, 4) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

fn sockaddr(address: SocketAddrV4) -> SockaddrIn {
    SockaddrIn {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: address.ip().octets(),
        zero: [0; 8],
    }
}
