//! The entry daemon: callers' interface, dispatch and endpoint announcements.

pub mod endpoint_client;
pub mod problem;
