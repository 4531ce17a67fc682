//! An entry VM's whole part in distribution: it holds a lease and grants from it to others.

use super::{ConfigGrants, ConfigLease, LeaseSettings, ReplyAction};
use crate::bundle::{Bundle, OperatorKeys};
use crate::control::{History, Revision, RevisionError};
use crate::prelude::*;
use crate::wire::control::confirm_reply::Body;
use crate::wire::control::{ConfirmReply, ConfirmRequest, Unavailable};

/// Earlier revisions that a relay keeps to make deltas from.
const KEPT_REVISIONS: usize = 8;

/// Why an update wasn't applied. The lease isn't renewed then, so the VM stops taking work.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RelayError {
    /// The update changes a revision that this VM doesn't have; the whole is fetched next.
    #[error("the update doesn't fit the revision held here; fetching the whole bundle")]
    DeltaMismatch,
    /// The revision doesn't verify with this VM's settings.
    #[error("revision refused: {0}; check this VM's operator keys")]
    Refused(#[from] RevisionError),
}

/// Lease, grants and content of one entry VM.
#[derive(Clone, Debug)]
pub struct Relay {
    lease: ConfigLease,
    grants: ConfigGrants,
    history: History,
    /// The last delta didn't fit, so the next request asks for the whole.
    needs_full: bool,
    /// Floor of the last request.
    reported_floor: RevisionNumber,
}

impl Relay {
    /// Starts without a revision.
    pub fn new(settings: LeaseSettings, vm: VmId, incarnation: u64, now: Time) -> Relay {
        Relay {
            lease: ConfigLease::new(settings, vm, incarnation, now),
            grants: ConfigGrants::new(settings),
            history: History::new(KEPT_REVISIONS),
            needs_full: false,
            reported_floor: RevisionNumber::default(),
        }
    }

    /// Returns the lease, to see whether work may be taken.
    pub fn lease(&self) -> &ConfigLease {
        &self.lease
    }

    /// Returns the grants to VMs behind this one.
    pub fn grants(&self) -> &ConfigGrants {
        &self.grants
    }

    /// Returns the revision applied here.
    pub fn current(&self) -> Option<&Revision> {
        self.history.current()
    }

    /// Makes the next request if one is due.
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

    /// Takes a reply; returns the bundle to act on from now if it brought a newer one.
    ///
    /// # Errors
    ///
    /// Returns why an update was not applied.
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

    /// Notes that a request got no reply.
    pub fn request_failed(&mut self, ask: u64) {
        self.lease.request_failed(ask);
    }

    /// Asks at once if `revision`, heard of from another VM, is newer.
    pub fn hint(&mut self, revision: RevisionNumber, now: Time) {
        self.lease.hint(revision, now);
    }

    /// Answers a VM behind this one, within what the own lease has left. Once the last VM behind
    /// has left an older revision, that is told at once, since an operator is waiting for it.
    pub fn serve(&mut self, request: &ConfirmRequest, now: Time) -> ConfirmReply {
        let limit = self.lease.remaining(now);
        let reply = serve(&self.history, &mut self.grants, limit, request, now);
        if self.grants.floor(self.lease.applied(), now) > self.reported_floor {
            self.lease.make_due(now);
        }
        reply
    }
}

/// Answers a confirmation out of `history`: a lease, the newer revision, or neither. The leader
/// calls it with its whole lease length as `limit`, while its leadership lease holds, and checks
/// that again before it sends the reply.
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
