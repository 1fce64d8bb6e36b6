//! Messages between hosts: one `h2` connection a pair, `bincode` frames on one long-lived stream.
//!
//! Nothing outside this package is asynchronous.

pub mod auth;
pub mod frame;
pub mod link;
pub mod message;
