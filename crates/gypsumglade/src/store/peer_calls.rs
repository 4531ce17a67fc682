//! Calls that other processes of the system make to a store.

use std::sync::Arc;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::ConfirmRequest;
use gypsumglade_core::wire::operator::ControlRequest;
use gypsumglade_core::wire::program::{Request, Score};
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;

use super::serve::StoreState;
use crate::rpc::{Method, decode, encode, invalid_payload};

/// Answer to a call that has nothing to tell.
const DONE: &str = "done";

/// Returns the methods of a store.
///
/// # Errors
/// Fails when a name is registered twice, which is a fault of the program.
pub fn methods(state: Arc<StoreState>) -> anyhow::Result<RpcModule<Arc<StoreState>>> {
    let mut module = RpcModule::new(state);
    module.register_async_method(Method::Program.name(), |parameters, state, _| async move {
        let (group, from, text): (GroupId, VmId, String) = parameters.parse()?;
        let request: Request = decode(&text).map_err(|error| invalid_payload(&error))?;
        let group = state.context.group(group).ok_or_else(|| {
            invalid_payload(&anyhow::anyhow!("no program group {group}; compare store.groups"))
        })?;
        let reply = group.ask(from, request).await;
        let reply = reply.ok_or_else(|| invalid_payload(&anyhow::anyhow!("the store stops")))?;
        Ok::<_, ErrorObjectOwned>(encode(&reply))
    })?;
    module.register_method(Method::Replication.name(), |parameters, state, _| {
        let (from, text): (VmId, String) = parameters.parse()?;
        let batch = STANDARD.decode(text).map_err(|error| invalid_payload(&error.into()))?;
        state.context.host.receive(from, Bytes::from(batch));
        Ok::<_, ErrorObjectOwned>(DONE.to_owned())
    })?;
    module.register_async_method(Method::Control.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let request: ControlRequest = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.control.ask(request).await))
    })?;
    module.register_async_method(Method::Lease.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let request: ConfirmRequest = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.control.renew(&request).await))
    })?;
    module.register_async_method(Method::Score.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let score: Score = decode(&text).map_err(|error| invalid_payload(&error))?;
        state.context.take_score(score).await;
        Ok::<_, ErrorObjectOwned>(DONE.to_owned())
    })?;
    Ok(module)
}
