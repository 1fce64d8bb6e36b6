//! The host of jacinthslip as a library, for the program and the quickstart.

pub mod agent;
pub mod body;
pub mod caller;
pub mod chat;
pub mod chunk;
pub mod cli;
pub mod context;
pub mod directory;
pub mod exit_codes;
pub mod follow;
pub mod gate;
pub mod leader;
pub mod ledger;
pub mod life;
pub mod metrics;
pub mod node;
pub mod once;
pub mod plain;
pub mod reply;
pub mod report;
pub mod retry;
pub mod server;
pub mod settings;
pub mod stop;
pub mod supervisor;
pub mod upstream;
