//! `gypsumglade dump`: prints the state of a running process.

use super::Failure;
use super::admin_client::{AdminArgs, AdminClient};
use super::output::{json, line};

#[derive(Debug, clap::Args)]
pub(super) struct DumpArgs {
    #[command(flatten)]
    admin: AdminArgs,
}

pub(super) fn run(args: DumpArgs) -> Result<(), Failure> {
    let client = AdminClient::new(&args.admin)?;
    let state: serde_json::Value = client.get("/v1/dump")?;
    line(&json(&state)?)
}
