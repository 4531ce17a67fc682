//! What asks to be let in, and what it is told.

use super::Ticket;
use crate::policy::Class;
use crate::policy::priority::Priority;
use crate::prelude::*;

/// A call that asks to run.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The organisation it is counted against.
    pub org: OrgName,
    /// Urgency.
    pub class: Class,
    /// True when the program already ran a turn.
    pub under_way: bool,
    /// Order among the organisation's own programs.
    pub priority: Priority,
    /// When the caller gives up.
    pub deadline: Option<Time>,
    /// Expected time from start to last byte.
    pub service_time: Duration,
}

/// Why a call was not let in. It was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShedReason {
    /// The organisation already has as many waiting as it may.
    #[error("this organisation has too many calls waiting")]
    OrgQueueFull,
    /// Too many calls wait in all.
    #[error("too many calls are waiting")]
    QueueFull,
    /// It would start too late for its deadline.
    #[error("the call could not be answered before its deadline")]
    Deadline,
    /// A new program would wait longer than new programs may.
    #[error("the system is at capacity with programs under way")]
    MaxWait,
}

/// A waiting call that was given up, answered at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredCall {
    /// The call.
    pub ticket: Ticket,
    /// When it is worth coming back.
    pub retry_after: Duration,
    /// Why.
    pub reason: ShedReason,
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Now(Ticket),
    /// It waits; [`release`](super::Admission::release) or [`expire`](super::Admission::expire) will name it.
    Queued(Ticket),
    /// It is not run.
    Shed {
        /// When it is worth coming back.
        retry_after: Duration,
        /// Why.
        reason: ShedReason,
    },
}
