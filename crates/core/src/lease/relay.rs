//! Distribution of revisions by an entry VM, which holds a lease and grants leases to downstream
//! VMs.

use super::{ConfigGrants, ConfigLease, LeaseSettings, ReplyAction};
use crate::bundle::{Bundle, OperatorKeys};
use crate::control::{History, Revision, RevisionError};
use crate::prelude::*;
use crate::wire::control::confirm_reply::Body;
use crate::wire::control::{ConfirmReply, ConfirmRequest, Unavailable};

/// Number of earlier revisions that a relay keeps to compute deltas.
const KEPT_REVISIONS: usize = 8;

/// Reason why an update was not applied. The lease isn't renewed either, so the VM stops taking
/// work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The update is a delta to a revision that this VM doesn't have. The whole bundle is requested
    /// next.
    #[error("the delta doesn't apply to this VM's revision; requesting the whole bundle")]
    DeltaMismatch,
    /// The revision doesn't pass verification on this VM.
    #[error("revision verification failed: {0}; check this VM's operator keys")]
    Refused(#[from] RevisionError),
}

/// Lease, grants and revisions of one entry VM.
#[derive(Clone, Debug)]
pub struct Relay {
    lease: ConfigLease,
    grants: ConfigGrants,
    history: History,
    /// Whether the last delta didn't apply, so that the next request asks for the whole bundle.
    needs_full: bool,
    /// Floor in the last request.
    reported_floor: RevisionNumber,
}

impl Relay {
    /// Creates a relay without a revision.
    pub fn new(settings: LeaseSettings, vm: VmId, incarnation: u64, now: Time) -> Relay {
        Relay {
            lease: ConfigLease::new(settings, vm, incarnation, now),
            grants: ConfigGrants::new(settings),
            history: History::new(KEPT_REVISIONS),
            needs_full: false,
            reported_floor: RevisionNumber::default(),
        }
    }

    /// Returns this VM's lease.
    pub fn lease(&self) -> &ConfigLease {
        &self.lease
    }

    /// Returns the leases granted to downstream VMs.
    pub fn grants(&self) -> &ConfigGrants {
        &self.grants
    }

    /// Returns the applied revision.
    pub fn current(&self) -> Option<&Revision> {
        self.history.current()
    }

    /// Returns the next request if it is due.
    pub fn next_request(&mut self, now: Time) -> Option<ConfirmRequest> {
        self.grants.expire(now);
        let floor = self.grants.floor(self.lease.applied(), now);
        let mut request = self.lease.next_request(floor, now)?;
        self.reported_floor = RevisionNumber(request.floor);
        if self.needs_full {
            request.applied = 0;
        }
        Some(request)
    }

    /// Handles a reply. Returns the bundle to act on from now on if the reply contained a newer
    /// one.
    ///
    /// # Errors
    ///
    /// Returns the reason why an update was not applied.
    pub fn handle_reply(
        &mut self,
        reply: ConfirmReply,
        keys: &OperatorKeys,
        now: Time,
    ) -> Result<Option<Bundle>, RelayError> {
        let ReplyAction::Apply(update) = self.lease.handle_reply(reply, now) else {
            return Ok(None);
        };
        let Some(revision) = self.history.resolve(*update) else {
            self.needs_full = true;
            return Err(RelayError::DeltaMismatch);
        };
        self.needs_full = false;
        if revision.number <= self.history.number() {
            return Ok(None);
        }
        let bundle = revision.verify(keys)?;
        self.lease.apply(revision.number, now);
        self.history.push(revision);
        Ok(Some(bundle))
    }

    /// Records that a request got no reply.
    pub fn request_failed(&mut self, ask: u64) {
        self.lease.request_failed(ask);
    }

    /// Makes the next request due at once if `revision`, learnt from another VM, is newer.
    pub fn hint(&mut self, revision: RevisionNumber, now: Time) {
        self.lease.hint(revision, now);
    }

    /// Answers a downstream VM, within the remaining time of this VM's own lease.
    ///
    /// Once the floor has risen, the next request is due at once, since an operator may be waiting
    /// for the revision to be in force.
    pub fn serve(&mut self, request: &ConfirmRequest, now: Time) -> ConfirmReply {
        let limit = self.lease.remaining(now);
        let reply = serve(&self.history, &mut self.grants, limit, request, now);
        if self.grants.floor(self.lease.applied(), now) > self.reported_floor {
            self.lease.make_due(now);
        }
        reply
    }
}

/// Answers a confirmation with a lease, a newer revision, or neither.
///
/// The leader passes the length of a whole lease as `limit`. It must hold its leadership lease, and
/// must check that again before it sends the reply.
pub fn serve(
    history: &History,
    grants: &mut ConfigGrants,
    limit: Duration,
    request: &ConfirmRequest,
    now: Time,
) -> ConfirmReply {
    let applied = RevisionNumber(request.applied);
    let body = match grants.grant(request, history.number(), limit, now) {
        Some(grant) => Body::Grant(grant),
        None => match history.update(applied) {
            Some(update) => Body::Update(update),
            None => Body::Unavailable(Unavailable { leader: None }),
        },
    };
    ConfirmReply { ask: request.ask, body: Some(body) }
}
