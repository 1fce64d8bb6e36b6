//! Clock, names, refusals and findings shared by every jacinthslip package.

pub mod clock;
pub mod finding;
pub mod hash;
pub mod name;
pub mod refusal;
