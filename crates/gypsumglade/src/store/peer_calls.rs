//! RPC methods that a store serves to other processes of the deployment.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::confirm_reply::Body as ConfirmBody;
use gypsumglade_core::wire::control::{ConfirmReply, ConfirmRequest, EndpointQuery};
use gypsumglade_core::wire::discovery::Hello;
use gypsumglade_core::wire::operator::ControlRequest;
use gypsumglade_core::wire::program::request::Body;
use gypsumglade_core::wire::program::{ProgramRef, Request, Score};
use gypsumglade_core::wire::turn;
use jsonrpsee::RpcModule;
use jsonrpsee::types::ErrorObjectOwned;

use super::program_group::ProgramGroup;
use super::serve::StoreState;
use crate::entry::groups::group_of;
use crate::rpc::{Method, decode, encode, invalid_payload};

/// Answer of methods without a result.
const DONE: &str = "done";

/// Returns the RPC module of a store.
///
/// # Errors
/// Fails when a method name is registered twice, which is a bug.
pub fn methods(state: Arc<StoreState>) -> anyhow::Result<RpcModule<Arc<StoreState>>> {
    let mut module = RpcModule::new(state);
    module.register_async_method(Method::Program.name(), |parameters, state, _| async move {
        let (group, from, text): (GroupId, VmId, String) = parameters.parse()?;
        let request: Request = decode(&text).map_err(|error| invalid_payload(&error))?;
        let group = checked_group(&state, group, &request)?;
        let reply = group.ask(from, request).await;
        let reply =
            reply.ok_or_else(|| invalid_payload(&anyhow::anyhow!("the store is shutting down")))?;
        Ok::<_, ErrorObjectOwned>(encode(&reply))
    })?;
    module.register_async_method(Method::Control.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let request: ControlRequest = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.control.ask(request).await))
    })?;
    module.register_async_method(Method::Lease.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let request: ConfirmRequest = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&renew_lease(&state, &request).await))
    })?;
    module.register_method(Method::Hello.name(), |parameters, state, _| {
        let text: String = parameters.one()?;
        let hello: Hello = decode(&text).map_err(|error| invalid_payload(&error))?;
        let nodes = state.discovery.as_ref().map(|discovery| discovery.handle_hello(hello));
        Ok::<_, ErrorObjectOwned>(encode(&nodes.unwrap_or_default()))
    })?;
    module.register_async_method(Method::Endpoints.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let query: EndpointQuery = decode(&text).map_err(|error| invalid_payload(&error))?;
        let news = match state.control.leads() {
            true => state.control.watch_endpoints(&query).await,
            false => state.relay.watch(&query).await,
        };
        Ok::<_, ErrorObjectOwned>(encode(&news))
    })?;
    module.register_async_method(Method::Turn.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let command: turn::Command = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.turns.ask(command).await))
    })?;
    module.register_async_method(Method::PutTexts.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let put: turn::TextPut = decode(&text).map_err(|error| invalid_payload(&error))?;
        // An entry VM that doesn't know yet that this store is retiring chooses another one.
        let stored = match is_retiring(&state) {
            true => turn::TextStored { stored: false, vm: state.context.vm.0 },
            false => state.texts.put(put).await,
        };
        Ok::<_, ErrorObjectOwned>(encode(&stored))
    })?;
    module.register_async_method(Method::Texts.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let query: turn::TextQuery = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.texts.get(&query).await))
    })?;
    module.register_async_method(Method::CopyTexts.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let order: turn::TextCopy = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.texts.copy(order).await))
    })?;
    module.register_async_method(Method::KeptTurns.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let query: turn::KeptQuery = decode(&text).map_err(|error| invalid_payload(&error))?;
        Ok::<_, ErrorObjectOwned>(encode(&state.turns.still_kept(&query).await))
    })?;
    module.register_async_method(Method::Score.name(), |parameters, state, _| async move {
        let text: String = parameters.one()?;
        let score: Score = decode(&text).map_err(|error| invalid_payload(&error))?;
        state.context.record_score(score).await;
        Ok::<_, ErrorObjectOwned>(DONE.to_owned())
    })?;
    Ok(module)
}

/// Renews a configuration lease: as the leader of the control group, or with what remains of this
/// store's own lease.
async fn renew_lease(state: &StoreState, request: &ConfirmRequest) -> ConfirmReply {
    let reply = state.control.renew(request).await;
    let now = state.context.clock.now();
    let unavailable = matches!(reply.body, Some(ConfirmBody::Unavailable(_)) | None);
    let holds_lease = !state.config.remaining(now).is_zero();
    if unavailable && holds_lease { state.config.serve(request, now) } else { reply }
}

/// Returns `true` if this store knows that it is retiring.
fn is_retiring(state: &StoreState) -> bool {
    let vm = state.context.vm;
    let told = state.discovery.as_ref().is_some_and(|known| known.retiring().contains(&vm));
    told || state.control.is_retiring(vm)
}

/// Returns the group that a request was sent to, if all its programs belong to that group.
///
/// VMs whose settings differ in the number of groups would send a program to two groups, which
/// would lose turns and could grant the same work in both. The store therefore computes the group
/// itself and refuses a mismatch.
fn checked_group(
    state: &StoreState,
    group: GroupId,
    request: &Request,
) -> Result<ProgramGroup, ErrorObjectOwned> {
    let groups = state.settings.groups;
    let own = programs_of(request)
        .into_iter()
        .all(|name| group_of(&name.org, &name.program, groups) == group);
    let found = state.context.group(group).filter(|_| own);
    found.ok_or_else(|| {
        let wrong =
            "the program belongs to another group: set `groups` to the same number on every VM";
        invalid_payload(&anyhow::anyhow!("{group}: {wrong}"))
    })
}

/// Returns the programs that a request names.
fn programs_of(request: &Request) -> Vec<&ProgramRef> {
    let one = match &request.body {
        Some(Body::BeginTurn(turn)) => turn.program.as_ref(),
        Some(Body::BeginCall(call)) => call.program.as_ref(),
        Some(Body::Settle(settle)) => settle.program.as_ref(),
        Some(Body::EndProgram(end)) => end.program.as_ref(),
        Some(Body::Released(released)) => released.program.as_ref(),
        Some(Body::Started(started)) => started.program.as_ref(),
        Some(Body::Audit(audit)) => return audit.programs.iter().collect(),
        None => None,
    };
    one.into_iter().collect()
}
