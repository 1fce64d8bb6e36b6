//! The operators' configuration document, its validation, and the change log that distributes it to
//! hosts.

pub mod document;
pub mod item;
pub mod key;
pub mod log;
pub mod log_store;
pub mod parse;
pub mod view;
