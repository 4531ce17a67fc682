//! Leak audit: what endpoints still hold that no live program needs.

use super::state::{Name, State};
use crate::prelude::*;

/// Memory that an endpoint holds for a program that is not under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leak {
    /// The endpoint to be told.
    pub endpoint: EndpointName,
    /// The program whose memory it should free.
    pub program: Name,
}

/// Compares what an endpoint reports to hold with the programs under way.
///
/// Releases alone are not enough: the record of where a turn ran is lost when its entry VM and
/// the group's leader die together before it is committed. The symptom is memory that no program
/// ever names again. Comparing with what the endpoint itself reports needs no such record. Pass
/// only programs whose slot this group serves: another group's programs are unknown here.
pub fn find_leaks(state: &State, endpoint: &EndpointName, reported: &[Name]) -> Vec<Leak> {
    let idle = reported.iter().filter(|name| !state.is_alive(name));
    idle.map(|name| Leak { endpoint: endpoint.clone(), program: name.clone() }).collect()
}
