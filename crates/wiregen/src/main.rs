//! Regenerates the wire types of `gypsumglade-core` from its `.proto` files.
//!
//! Run `cargo run -p gypsumglade-wiregen` after a change to a schema and commit what it writes.
//! The build itself never runs it, so that building needs no generator.

use std::path::PathBuf;

/// Schemas in `crates/core/proto`, one generated module each.
const SCHEMAS: [&str; 9] = [
    "common.proto",
    "program.proto",
    "replication.proto",
    "control.proto",
    "membership.proto",
    "operator.proto",
    "endpoint.proto",
    "turn.proto",
    "discovery.proto",
];

fn main() -> anyhow::Result<()> {
    let core = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../core");
    let files = protox::compile(SCHEMAS, [core.join("proto")])?;
    let out = core.join("src/wire/generated");
    std::fs::create_dir_all(&out)?;
    prost_build::Config::new()
        .out_dir(out)
        .type_attribute(".", "#[derive(serde::Serialize, serde::Deserialize)]")
        .bytes(["."])
        .compile_fds(files)?;
    Ok(())
}
