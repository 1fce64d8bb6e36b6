//! Runs `jacinthslip platform --check`. The test code knows the platform's formats and belongs to the
//! package of the adapter.

#[path = "../../../platform/tests/check/mod.rs"]
mod check;
