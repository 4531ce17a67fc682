//! Stand-ins for external systems in tests and demos: a model engine, a plain service, a weight
//! store and a load generator.
//!
//! They use HTTP over real sockets, give deterministic answers and record what ran, so that tests
//! can compare the record with what the system reports. They share no code with the system; the
//! interface is the JSON of [`announce`] and the headers of [`headers`].

pub mod announce;
pub mod engine;
pub mod headers;
pub mod load;
pub mod service;
pub mod weights;

mod announcer;
mod client;
mod process;
