//! Scheduling, lease, scaling and usage logic of jacinthslip.
//!
//! The crate does no I/O, starts no threads and reads no clock: each module takes a state, an
//! event and the current time, and returns decisions.

pub mod breaker;
pub mod budget;
pub mod cold_start;
pub mod dc_link;
pub mod dispatch;
pub mod engine_classes;
pub mod lease;
pub mod length;
pub mod offload;
pub mod placement;
pub mod pool;
pub mod queue;
pub mod request;
pub mod scale;
pub mod share;
pub mod usage;
