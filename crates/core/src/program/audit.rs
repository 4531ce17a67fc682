//! Leak audit: what endpoints still hold that no live program needs.

use super::replies::reply;
use super::state::{QualifiedName, State};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::reply::Body;

/// Memory that an endpoint holds for a program that is not under way and runs nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leak {
    /// The endpoint to be told.
    pub endpoint: EndpointName,
    /// The program whose memory it should free.
    pub program: QualifiedName,
}

/// Compares what an endpoint reports to hold with the programs under way.
///
/// Releases alone are not enough: the record of where a turn ran is lost when its entry VM and
/// the group's leader die together before it is committed. The symptom is memory that no program
/// ever names again. Comparing with what the endpoint itself reports needs no such record. Pass
/// only programs whose slot this group serves: another group's programs are unknown here.
pub fn find_leaks(state: &State, endpoint: &EndpointName, reported: &[QualifiedName]) -> Vec<Leak> {
    let idle = reported.iter().filter(|name| !state.may_hold_memory(name));
    idle.map(|name| Leak { endpoint: endpoint.clone(), program: name.clone() }).collect()
}

/// Builds the reply to an audit.
pub(super) fn leaks_reply(state: &State, audit: &wire::Audit) -> wire::Reply {
    let reported: Vec<QualifiedName> =
        audit.programs.iter().map(|name| QualifiedName::from_wire(Some(name))).collect();
    let leaks = find_leaks(state, &audit.endpoint.as_str().into(), &reported);
    let programs = leaks.iter().map(|leak| leak.program.to_wire()).collect();
    reply(Body::Leaks(wire::Leaks { programs }))
}
