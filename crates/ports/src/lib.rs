//! Ports to the platform, one trait each: store, host list, orders, usage reports.
//!
//! Each port has an HTTP adapter and an in-memory one; both pass the same contract test.

pub mod accept;
pub mod guard;
pub mod hosts;
pub mod http;
pub mod memory;
pub mod orders;
pub mod reports;
pub mod store;
pub mod store_http;
