//! Types shared by every jacinthslip package: clock, names, refusals, diagnostics, findings, stable hashes, faulty
//! keys of the store and the encoding of addresses.

pub mod clock;
pub mod diagnostic;
pub mod faulty_keys;
pub mod findings;
pub mod hash;
pub mod name;
pub mod query;
pub mod refusal;
