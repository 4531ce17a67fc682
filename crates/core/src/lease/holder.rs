//! The holding side: an entry VM's right to take new work.

use std::collections::VecDeque;

use super::{LeaseSettings, Mutation};
use crate::prelude::*;
use crate::wire::control::confirm_reply::Body;
use crate::wire::control::{ConfirmReply, ConfirmRequest, Update};

/// Requests whose replies may still come; older ones count as lost.
const MAX_PENDING: usize = 8;

/// How many times more often a VM asks while nobody serves it: every 0.1 s with the shortest interval
/// in use. Most such requests go to VMs that can't serve either, and few to the leader.
const RETRY_SPEEDUP: u32 = 4;

/// How many intervals ago a relay may have had its own lease renewed and still count as in touch with
/// the stores. The last of three relays on a path is two behind the first.
const FRESH_INTERVALS: u32 = 3;

/// One VM's configuration lease. It keeps nothing over a restart: a VM that starts has no lease
/// and takes no work until it has confirmed the current revision.
#[derive(Clone, Debug)]
pub struct ConfigLease {
    settings: LeaseSettings,
    vm: VmId,
    incarnation: u64,
    applied: RevisionNumber,
    until: Time,
    pending: VecDeque<Pending>,
    last_ask: u64,
    due: Time,
    failures: usize,
}

/// A request without a reply yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ask: u64,
    sent: Time,
}

/// What a reply asks of its receiver.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyAction {
    /// The lease was renewed.
    Renewed,
    /// This revision must be applied, then the lease is asked for again.
    Apply(Box<Update>),
    /// The asked VM can't serve; another one is asked next.
    Unavailable,
    /// The reply answers nothing that was asked, or came too late.
    Ignored,
}

impl ConfigLease {
    /// Starts without a revision and without a lease. `incarnation` must differ from that of the
    /// VM's earlier processes.
    pub fn new(settings: LeaseSettings, vm: VmId, incarnation: u64, now: Time) -> ConfigLease {
        ConfigLease {
            settings,
            vm,
            incarnation,
            applied: RevisionNumber::default(),
            until: Time::ZERO,
            pending: VecDeque::new(),
            last_ask: 0,
            due: now,
            failures: 0,
        }
    }

    /// Returns the revision under which new work may be taken now, or `None` when none may.
    ///
    /// It is asked before each piece of work and again after any wait, since the process may
    /// have been paused beyond its lease.
    pub fn working_revision(&self, now: Time) -> Option<RevisionNumber> {
        (now < self.until).then_some(self.applied)
    }

    /// Returns the newest revision applied, zero for none.
    pub fn applied(&self) -> RevisionNumber {
        self.applied
    }

    /// Returns how long the lease still runs.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Returns when the next request is due.
    pub fn due(&self) -> Time {
        self.due
    }

    /// Returns how many requests in a row went unserved, or were served by one that is itself behind:
    /// the place in the list of upstreams to
    /// ask next.
    pub fn failures(&self) -> usize {
        self.failures
    }

    /// Makes the next request if one is due. `floor` is the lowest revision that VMs behind this
    /// one may act on, or the applied one if there are none.
    pub fn next_request(&mut self, floor: RevisionNumber, now: Time) -> Option<ConfirmRequest> {
        if now < self.due {
            return None;
        }
        self.due = now + self.request_interval(now);
        self.last_ask += 1;
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(Pending { ask: self.last_ask, sent: now });
        Some(ConfirmRequest {
            vm: self.vm.0,
            ask: self.last_ask,
            applied: self.applied.0,
            floor: floor.min(self.applied).0,
            incarnation: self.incarnation,
        })
    }

    /// Takes a reply, whenever it comes and in whatever order.
    pub fn handle_reply(&mut self, reply: ConfirmReply, now: Time) -> ReplyAction {
        let Some(index) = self.pending.iter().position(|pending| pending.ask == reply.ask) else {
            return ReplyAction::Ignored;
        };
        let Some(pending) = self.pending.remove(index) else { return ReplyAction::Ignored };
        match reply.body {
            Some(Body::Grant(grant)) if grant.revision == self.applied.0 => {
                self.renew(pending, Duration::from_micros(grant.micros), now);
                ReplyAction::Renewed
            }
            Some(Body::Update(update)) => {
                self.failures = 0;
                ReplyAction::Apply(Box::new(update))
            }
            Some(Body::Unavailable(_)) => {
                self.failures += 1;
                ReplyAction::Unavailable
            }
            Some(Body::Grant(_)) | None => ReplyAction::Ignored,
        }
    }

    /// Notes that a request got no reply.
    pub fn request_failed(&mut self, ask: u64) {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.ask != ask);
        if self.pending.len() < before {
            self.failures += 1;
        }
    }

    /// Applies a verified revision and makes the next request due at once. Returns false, and
    /// changes nothing, for one that isn't newer: a late reply or a relay that lags must never
    /// bring an old bundle back.
    ///
    /// The lease goes on under the newer revision: the granter counts it until its end anyway.
    pub fn apply(&mut self, revision: RevisionNumber, now: Time) -> bool {
        if revision <= self.applied && self.settings.mutation != Mutation::AllowDowngrade {
            return false;
        }
        self.applied = revision;
        self.due = now;
        true
    }

    /// Makes the next request due at once if `revision`, heard of from another VM, is newer.
    pub fn hint(&mut self, revision: RevisionNumber, now: Time) {
        if revision > self.applied {
            self.make_due(now);
        }
    }

    /// Returns the time until the next request.
    ///
    /// A VM without a lease serves nobody: after all processes were killed, the VMs asked up to
    /// 0.8 s after the control group had its leader. One whose last request nobody served may lag
    /// behind a new revision.
    fn request_interval(&self, now: Time) -> Duration {
        let interval = self.settings.interval();
        let served = now < self.until && self.failures == 0;
        if served { interval } else { interval / RETRY_SPEEDUP }
    }

    /// Makes the next request due at once.
    pub(super) fn make_due(&mut self, now: Time) {
        self.due = self.due.min(now);
    }

    /// The lease counts from the request: the reply may have been under way for any time, and
    /// counting from it would let the lease outlive the granter's record of it.
    fn renew(&mut self, pending: Pending, length: Duration, now: Time) {
        let from_reply = self.settings.mutation == Mutation::CountFromReply;
        let start = if from_reply { now } else { pending.sent };
        self.until = self.until.max(start + length);
        // A relay that is cut off passes on what its lease has left, and may be many seconds behind:
        // the next request goes further up.
        let age = self.settings.length().saturating_sub(length);
        let fresh = age <= self.settings.interval() * FRESH_INTERVALS;
        self.failures = if fresh { 0 } else { self.failures + 1 };
    }
}
