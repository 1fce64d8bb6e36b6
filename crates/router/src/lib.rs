//! The path of a request through a host, and what hosts share, on one thread.
//!
//! [`ports`] says what is needed of the platform; the rest knows only [`model`]'s terms.

pub mod attempt;
pub mod band;
pub mod budget;
pub mod delay;
pub mod events;
pub mod fleet;
pub mod framing;
pub mod host;
pub mod http_client;
pub mod leader;
pub mod lifecycle;
pub mod link;
pub mod listeners;
pub mod membership;
pub mod metrics;
pub mod model;
pub mod ports;
pub mod relay;
pub mod response;
pub mod retry;
pub mod scale;
pub mod serve;
pub mod store_watch;
pub mod stream;
pub mod supervisor;
pub mod usage;
pub mod windows;
