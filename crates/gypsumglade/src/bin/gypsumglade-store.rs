//! The `gypsumglade-store` daemon.

fn main() {}
