//! Stand-ins for the systems outside: model engine, plain service, weight store, load.
//!
//! They speak real HTTP on real sockets, answer deterministically, and count what really ran, so
//! that a test can hold the system to its promises. They share no code with the system: what both
//! sides agree on is the JSON of [`announce`] and the headers of [`headers`].

pub mod announce;
pub mod engine;
pub mod headers;
pub mod load;

pub mod service;
pub mod weights;

mod announcer;
mod client;
mod process;
