//! Scheduler for agent programs: the library behind the `gypsumglade` daemons.
//!
//! This crate does the input and output: sockets, files and timers. The scheduling and replication
//! logic is in `gypsumglade-core`. See docs/ARCHITECTURE.md for an overview.

pub mod admin;
pub mod bench;
pub mod cli;
mod client_io;
pub mod clock;
mod connection_guard;
pub mod control_client;
pub mod demo;
pub mod directory;
pub mod discovery;
pub mod disk;
pub mod embedded;
pub mod entry;
pub mod feed;
pub mod gateway;
mod guarded_body;
pub mod leader_client;
pub mod leader_hint;
mod limit_report;
pub mod listener;
pub mod logs;
pub mod members;
pub mod membership;
pub mod metrics;
pub mod operator;
pub mod replica;
mod request_body;
mod request_memory;
pub mod rpc;
pub mod secret;
pub mod settings;
pub mod store;
pub mod texts;
pub mod tls;
