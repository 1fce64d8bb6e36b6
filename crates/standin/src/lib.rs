//! Test doubles of the external systems: store, platform, model engine and plain HTTP service. Each
//! one serves its protocol over HTTP and injects faults on request.
//!
//! They are used by tests, benchmarks and the quickstart; the router does not depend on them.

pub mod address;
pub mod engine;
pub mod faults;
pub mod http;
pub mod plain;
pub mod platform;
pub mod process;
pub mod store;
