//! The `gypsumglade-entry` daemon.

fn main() {}
