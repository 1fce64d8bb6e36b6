//! The path of a request through a host, and what hosts share, on one thread.
//!
//! [`ports`] says what is needed of the platform; the rest knows only [`model`]'s terms.

pub mod attempt;
pub mod band;
pub mod budget;
pub mod delay;
pub mod duty;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod framing;
pub mod front;
pub mod host;
pub mod lifecycle;
pub mod link;
pub mod metrics;
pub mod model;
pub mod ports;
pub mod relay;
pub mod reply;
pub mod retry;
pub mod roster;
pub mod scale;
pub mod serve;
pub mod stream;
pub mod supervisor;
pub mod usage;
pub mod windows;
pub mod wire;
