//! Runs the host program against the test doubles of the platform. The test code is shared with
//! the platform adapter and belongs to its package.

#[path = "../../../platform/tests/env/mod.rs"]
mod env;
#[path = "../../../platform/tests/site/mod.rs"]
mod site;
