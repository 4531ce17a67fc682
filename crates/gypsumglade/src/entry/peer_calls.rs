//! RPC methods of an entry VM for the other VMs.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::ConfirmRequest;
use gypsumglade_core::wire::program::Release;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;

use super::announce::{self, AnnouncementBody};
use super::state::EntryState;
use crate::members::MemberUpdate;
use crate::rpc::{Method, decode, encode, invalid_payload};

/// Reply of a method that returns no data.
const DONE: &str = "done";

/// Returns the RPC module of an entry VM.
///
/// # Errors
/// Fails when a method name is registered twice.
pub fn methods(state: Arc<EntryState>) -> anyhow::Result<RpcModule<Arc<EntryState>>> {
    let mut module = RpcModule::new(state);
    module.register_method(Method::Lease.name(), |parameters, state, _| {
        let text: String = parameters.one()?;
        let request: ConfirmRequest = decode(&text).map_err(|error| invalid_payload(&error))?;
        let reply = state.config.serve(&request, state.clock.now());
        Ok::<_, ErrorObjectOwned>(encode(&reply))
    })?;
    module.register_method(Method::Announce.name(), |parameters, state, _| {
        let text: String = parameters.one()?;
        let body: AnnouncementBody =
            serde_json::from_str(&text).map_err(|error| invalid_payload(&error.into()))?;
        announce::apply(state, &body).map_err(|error| invalid_payload(&anyhow::anyhow!(error)))?;
        Ok::<_, ErrorObjectOwned>(DONE.to_owned())
    })?;
    module.register_async_method(Method::Release.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let release: Release = decode(&text).map_err(|error| invalid_payload(&error))?;
        let answer = state.release_memory(&release).await;
        Ok::<_, ErrorObjectOwned>(answer.name().to_owned())
    })?;
    module.register_method(Method::Members.name(), |parameters, state, _| {
        let known: u64 = parameters.one().unwrap_or_default();
        let update = MemberUpdate::since(known, state.members());
        serde_json::to_string(&update).map_err(|error| invalid_payload(&error.into()))
    })?;
    module.register_method(Method::Cancel.name(), |parameters, state, _| {
        let dispatch: CompactString = parameters.one()?;
        state.running.cancel(&dispatch);
        Ok::<_, ErrorObjectOwned>(DONE.to_owned())
    })?;
    Ok(module)
}
