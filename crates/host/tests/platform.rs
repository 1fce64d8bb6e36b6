//! The program on the platform's stand-ins, which live beside the adapter.

#[path = "../../../platform/tests/env/mod.rs"]
mod env;
#[path = "../../../platform/tests/site/mod.rs"]
mod site;
