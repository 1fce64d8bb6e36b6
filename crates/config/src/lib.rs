//! The operators' document, its checks, and the change log that carries it to every host.

pub mod document;
pub mod item;
pub mod key;
pub mod log;
pub mod parse;
pub mod remote;
pub mod view;
