//! Messages between hosts. Each pair of hosts shares one HTTP/2 connection with a single long-lived
//! stream, on which messages are sent as length-prefixed `bincode` frames.
//!
//! The package runs its own asynchronous runtime in a thread; its interface is synchronous.

pub mod auth;
pub mod frame;
pub mod link;
pub mod message;
