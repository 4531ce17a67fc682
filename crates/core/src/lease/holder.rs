//! Holding side of the configuration lease: an entry VM's permission to take new work.

use std::collections::VecDeque;

use super::{LeaseSettings, Mutation};
use crate::prelude::*;
use crate::wire::control::confirm_reply::Body;
use crate::wire::control::{ConfirmReply, ConfirmRequest, Update};

/// Maximum number of outstanding requests. Replies to older ones are ignored.
const MAX_PENDING: usize = 8;

/// Factor by which requests are more frequent while none is served: every 0.1 s with the shortest
/// interval in use. Most of them go to VMs that can't serve either, and few to the leader.
const RETRY_SPEEDUP: u32 = 4;

/// Maximum age of the lease of a relay that is in touch with the stores, in request intervals. The
/// last of three relays on a path is two intervals behind the first.
const FRESH_INTERVALS: u32 = 3;

/// Configuration lease of one VM. It isn't stored: a VM that starts takes no work until it has
/// confirmed the current revision.
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

/// A request without a reply.
#[derive(Clone, Copy, Debug)]
struct Pending {
    ask: u64,
    sent: Time,
}

/// What the receiver of a reply must do.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyAction {
    /// Nothing; the lease was renewed.
    Renewed,
    /// Apply this revision and request the lease again.
    Apply(Box<Update>),
    /// Ask another VM next, since the asked one can't serve requests.
    Unavailable,
    /// Nothing; the reply matches no outstanding request or doesn't grant the applied revision.
    Ignored,
}

impl ConfigLease {
    /// Creates a lease without a revision. `incarnation` must differ from those of the VM's earlier
    /// processes.
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

    /// Returns the revision under which new work may be taken now, or `None` if no work may be
    /// taken.
    ///
    /// Check this before each piece of work and again after any wait, since the process may have
    /// been paused until after the end of its lease.
    pub fn working_revision(&self, now: Time) -> Option<RevisionNumber> {
        (now < self.until).then_some(self.applied)
    }

    /// Returns the latest applied revision, or zero if there is none.
    pub fn applied(&self) -> RevisionNumber {
        self.applied
    }

    /// Returns the remaining time of the lease.
    pub fn remaining(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Returns when the next request is due.
    pub fn due(&self) -> Time {
        self.due
    }

    /// Returns the number of consecutive requests that failed or were answered by a VM that is
    /// itself cut off.
    ///
    /// It selects the next VM to ask in the list of upstreams.
    pub fn failures(&self) -> usize {
        self.failures
    }

    /// Returns the next request if it is due.
    ///
    /// `floor` is the lowest revision that downstream VMs may act on, or the applied one if there
    /// are none.
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

    /// Handles a reply. Replies may arrive at any time and in any order.
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

    /// Records that a request got no reply.
    pub fn request_failed(&mut self, ask: u64) {
        let before = self.pending.len();
        self.pending.retain(|pending| pending.ask != ask);
        if self.pending.len() < before {
            self.failures += 1;
        }
    }

    /// Records that a verified revision was applied and makes the next request due at once.
    ///
    /// Returns false and changes nothing if the revision isn't newer, so that a late reply or a
    /// relay that lags can't restore an old bundle. The lease goes on under the newer revision,
    /// since the granter counts it until its end anyway.
    pub fn apply(&mut self, revision: RevisionNumber, now: Time) -> bool {
        if revision <= self.applied && self.settings.mutation != Mutation::AllowDowngrade {
            return false;
        }
        self.applied = revision;
        self.due = now;
        true
    }

    /// Makes the next request due at once if `revision`, learnt from another VM, is newer.
    pub fn hint(&mut self, revision: RevisionNumber, now: Time) {
        if revision > self.applied {
            self.make_due(now);
        }
    }

    /// Returns the time until the next request.
    ///
    /// It is shorter while no request is served: a VM without a lease takes no work, and one whose
    /// last request failed may lag behind a new revision.
    fn request_interval(&self, now: Time) -> Duration {
        let interval = self.settings.interval();
        let served = now < self.until && self.failures == 0;
        if served { interval } else { interval / RETRY_SPEEDUP }
    }

    /// Makes the next request due at once.
    pub(super) fn make_due(&mut self, now: Time) {
        self.due = self.due.min(now);
    }

    /// Extends the lease, counted from the request. The reply may have been delayed by any time,
    /// and a lease counted from it could outlive the granter's record of it.
    fn renew(&mut self, pending: Pending, length: Duration, now: Time) {
        let from_reply = self.settings.mutation == Mutation::CountFromReply;
        let start = if from_reply { now } else { pending.sent };
        self.until = self.until.max(start + length);
        // A relay that is cut off grants what remains of its own lease and may lag far behind. This
        // counts as a failure, so that the next request goes to a VM further upstream.
        let age = self.settings.length().saturating_sub(length);
        let fresh = age <= self.settings.interval() * FRESH_INTERVALS;
        self.failures = if fresh { 0 } else { self.failures + 1 };
    }
}
