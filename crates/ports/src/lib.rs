//! Interfaces to the platform, with one trait each for the store, host list, orders and usage
//! reports.
//!
//! Each trait has an HTTP adapter and an in-memory adapter, and both pass the same contract tests.

pub mod accept;
pub mod guard;
pub mod hosts;
pub mod http;
pub mod memory;
pub mod orders;
pub mod reports;
pub mod store;
pub mod store_http;
