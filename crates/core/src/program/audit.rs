//! Leak audit: finds memory on endpoints that no live program needs.

use super::replies::reply;
use super::state::{QualifiedName, State};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::reply::Body;

/// Memory that an endpoint holds for a program that is not live and has no running dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leak {
    /// Endpoint that holds the memory.
    pub endpoint: EndpointName,
    /// Program whose memory the endpoint should free.
    pub program: QualifiedName,
}

/// Returns the programs that an endpoint reports to hold memory of and that no longer need it.
///
/// Releases do not cover everything: the record of where a turn ran is lost if its entry VM and
/// the group's leader die before it is committed. The audit relies on the endpoint's own report
/// instead. `reported` must only contain programs whose slot this group serves, since programs of
/// other groups are unknown here and would count as leaks.
pub fn find_leaks(state: &State, endpoint: &EndpointName, reported: &[QualifiedName]) -> Vec<Leak> {
    let idle = reported.iter().filter(|name| !state.may_hold_memory(name));
    idle.map(|name| Leak { endpoint: endpoint.clone(), program: name.clone() }).collect()
}

/// Builds the reply to an audit request.
pub(super) fn leaks_reply(state: &State, audit: &wire::Audit) -> wire::Reply {
    let reported: Vec<QualifiedName> =
        audit.programs.iter().map(|name| QualifiedName::from_wire(Some(name))).collect();
    let leaks = find_leaks(state, &audit.endpoint.as_str().into(), &reported);
    let programs = leaks.iter().map(|leak| leak.program.to_wire()).collect();
    reply(Body::Leaks(wire::Leaks { programs }))
}
