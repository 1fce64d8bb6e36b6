//! The decisions of jacinthslip: no I/O, no threads, time passed in.
//!
//! Each module takes a state, an event and the time, and gives decisions.

pub mod breaker;
pub mod budget;
pub mod dispatch;
pub mod lease;
pub mod length;
pub mod pool;
pub mod queue;
pub mod request;
pub mod scale;
pub mod share;
pub mod spill;
pub mod usage;
