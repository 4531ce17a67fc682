//! The operators' command line.
