//! Types shared by every jacinthslip package: clock, names, refusals, diagnostics, findings, stable hashes.

pub mod clock;
pub mod diagnostic;
pub mod findings;
pub mod hash;
pub mod name;
pub mod refusal;
