//! The `gypsumglade` command.

fn main() {}
