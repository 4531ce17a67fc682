//! Requests to start a call, and the decisions on them.

use super::Ticket;
use crate::policy::Class;
use crate::policy::priority::Priority;
use crate::prelude::*;

/// A call that asks to start.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Organisation that the call counts against.
    pub org: OrgName,
    /// Urgency class; urgent calls start first.
    pub class: Class,
    /// Whether the program has run a turn before.
    pub under_way: bool,
    /// Order among the calls of the same organisation.
    pub priority: Priority,
    /// Time at which the caller gives up.
    pub deadline: Option<Time>,
    /// Expected time from the start to the last byte.
    pub service_time: Duration,
}

/// Reason why a call is not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ShedReason {
    /// The organisation has reached its maximum number of queued calls.
    #[error("this organisation has too many calls waiting")]
    OrgQueueFull,
    /// The pool has reached its maximum number of queued calls.
    #[error("too many calls are waiting")]
    QueueFull,
    /// The call can't be answered before its deadline.
    #[error("the call could not be answered before its deadline")]
    Deadline,
    /// The first call of a program would wait longer than `max_wait`.
    #[error("programs under way use the whole capacity; retry later")]
    MaxWait,
}

/// A queued call that was removed before it could start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiredCall {
    /// Ticket of the call, which is no longer valid.
    pub ticket: Ticket,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
    /// Why the call was removed.
    pub reason: ShedReason,
}

/// Decision on an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call starts now.
    Now(Ticket),
    /// The call is queued. Its ticket is returned by [`release`](super::Admission::release) or
    /// another method when it starts, or by [`expire`](super::Admission::expire) when it is
    /// removed.
    Queued(Ticket),
    /// The call is not run.
    Shed {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
        /// Why the call is not run.
        reason: ShedReason,
    },
}
