//! Stand-ins for the systems outside: each serves its protocol over HTTP and fails on request.
//!
//! They are for tests, benchmarks and the quickstart; the router does not depend on them.

pub mod engine;
pub mod faults;
pub mod http;
pub mod plain;
pub mod platform;
pub mod store;
