//! Measurements that a person runs; none of them is a test.

pub mod path;
pub mod policy;
