//! The control group's state machine: bundle revisions, the order lease and placement.
//!
//! Every replica of the control group applies the same commands in the same order, so
//! [`Control::apply`] depends only on the state and the command, never on a clock or settings.
//! Checks that need settings (the operators' keys) are done by the leader before it proposes, with
//! [`Control::check`], and by each entry VM with [`Revision::verify`]. See docs/design/bundles.md.

mod dedup;
pub mod delta;
mod endpoint_list;
mod endpoints;
mod history;
mod packed;
mod placement;
pub mod plan;
mod relayed_news;
mod revision;
mod snapshot;
pub mod suspects;
mod trials;

pub use dedup::MAX_DEDUP_RECORDS;
pub use endpoint_list::{EndpointList, ListChanges, PAGE_CHANGES};
pub use endpoints::{Endpoints, is_renewal};
pub use history::History;
pub use placement::group_of;
pub use relayed_news::{MAX_AGE, RelayedNews};
pub use revision::{Revision, RevisionError};
pub use snapshot::RestoreError;
pub use suspects::Suspects;
pub use trials::{SPARE_TIME, Spare, TrialRequest, Trials};

use std::collections::BTreeSet;

use bytes::Bytes;
use prost::Message;

use crate::bundle::{Bundle, Digest, OperatorKeys, RollBackOrder, Signature, Version};
use crate::prelude::*;
use crate::wire::control as wire;
use crate::wire::control::Fault;
use crate::wire::control::answer::Body as AnswerBody;
use crate::wire::control::command::Body as CommandBody;
use dedup::{DedupRecords, VersionRecord};

/// Number of earlier revisions kept as targets of a roll back.
pub const KEPT_REVISIONS: usize = 1024;

/// Maximum length of an order id, in bytes.
pub const MAX_ORDER_ID: usize = 64;

/// Disables one safeguard, so that tests can verify that they detect its absence.
///
/// Only set in tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// Applies a command without checking its base revision.
    IgnoreBase,
    /// Executes resent orders again.
    ForgetOrders,
    /// Accepts different content under an already used version.
    ForgetVersions,
    /// Skips the comparison of the content's digest.
    TrustDigest,
    /// Gives a roll back the number of its target revision.
    ReuseNumber,
    /// Drops version records without raising the version floor.
    NoVersionFloor,
    /// Applies a placement step without checking the change it was planned on.
    IgnoreChange,
}

/// The replicated state of the control group.
#[derive(Clone, Debug)]
pub struct Control {
    history: History,
    dedup: DedupRecords,
    order_lease: Option<wire::OrderLease>,
    groups: Vec<wire::GroupPlacement>,
    endpoints: Endpoints,
    retiring: BTreeSet<VmId>,
    suspects: Suspects,
    mutation: Mutation,
}

impl Default for Control {
    fn default() -> Control {
        Control::new()
    }
}

impl Control {
    /// Creates an empty state: no bundle, no order lease and no groups.
    pub fn new() -> Control {
        Control::with_mutation(Mutation::None)
    }

    /// Creates an empty state with one safeguard disabled.
    #[doc(hidden)]
    pub fn with_mutation(mutation: Mutation) -> Control {
        Control {
            history: History::new(KEPT_REVISIONS),
            dedup: DedupRecords::default(),
            order_lease: None,
            groups: Vec::new(),
            endpoints: Endpoints::default(),
            retiring: BTreeSet::new(),
            suspects: Suspects::default(),
            mutation,
        }
    }

    /// Returns the newest revision, or `None` before the first bundle.
    ///
    /// It may still be rolling out.
    pub fn current(&self) -> Option<&Revision> {
        self.history.current()
    }

    /// Returns the current and earlier revisions.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the order lease that the log last recorded.
    pub fn order_lease(&self) -> Option<&wire::OrderLease> {
        self.order_lease.as_ref()
    }

    /// Returns the placement of every program group.
    pub fn groups(&self) -> &[wire::GroupPlacement] {
        &self.groups
    }

    /// Returns the registered endpoints.
    pub fn endpoints(&self) -> &Endpoints {
        &self.endpoints
    }

    /// Returns the requests under which endpoints have ended.
    pub fn suspects(&self) -> &Suspects {
        &self.suspects
    }

    /// Returns `true` if a store is being drained of its replicas and texts.
    pub fn is_retiring(&self, vm: VmId) -> bool {
        self.retiring.contains(&vm)
    }

    /// Returns the stores that are being drained.
    pub fn retiring(&self) -> impl Iterator<Item = VmId> {
        self.retiring.iter().copied()
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &wire::Command) -> wire::Answer {
        let body = match &command.body {
            Some(CommandBody::Accept(accept)) => self.accept(accept),
            Some(CommandBody::RollBack(order)) => self.roll_back(order),
            Some(CommandBody::TakeOrders(take)) => self.take_orders(take),
            Some(CommandBody::Place(place)) => self.place(place),
            Some(CommandBody::Register(register)) => self.register(register),
            Some(CommandBody::Deregister(gone)) => self.deregister(gone),
            Some(CommandBody::Expire(silent)) => self.expire(silent),
            Some(CommandBody::Retire(retire)) => self.retire(retire),
            Some(CommandBody::Crash(crash)) => self.crash(crash),
            Some(CommandBody::ClearSuspect(clear)) => self.clear_suspect(clear),
            Some(CommandBody::BeginTrial(_) | CommandBody::EndTrial(_)) => {
                rejected(Fault::Malformed, "trials are granted by the leader alone")
            }
            Some(CommandBody::Renew(_)) => {
                rejected(Fault::Malformed, "renewals are kept by the leader alone")
            }
            None => rejected(Fault::Malformed, "the command is empty"),
        };
        wire::Answer { body: Some(body) }
    }

    /// Checks a command against the state and the operators' keys before it is proposed.
    ///
    /// # Errors
    ///
    /// Returns the answer for the caller if the command must not be proposed: the recorded answer
    /// of a resent order, a conflict, or a rejection of the signatures or the content.
    pub fn check(&self, command: &wire::Command, keys: &OperatorKeys) -> Result<(), wire::Answer> {
        let checked = match &command.body {
            Some(CommandBody::Accept(accept)) => self.check_accept(accept, keys),
            Some(CommandBody::RollBack(order)) => self.check_roll_back(order, keys),
            Some(_) => Ok(()),
            None => Err(rejected(Fault::Malformed, "the command is empty")),
        };
        checked.map_err(|body| wire::Answer { body: Some(body) })
    }

    /// Replaces an order's whole content with a delta from the current revision if that is smaller.
    ///
    /// Call it on a command that has passed [`Control::check`], before it is proposed: every replica
    /// stores the command, and some of them are behind slow links.
    pub fn shorten(&self, mut command: wire::Command) -> wire::Command {
        let Some(CommandBody::Accept(accept)) = &mut command.body else { return command };
        let Some(content) = &mut accept.content else { return command };
        let (Some(base), Some(wire::content::Body::Whole(whole))) = (self.current(), &content.body)
        else {
            return command;
        };
        if base.number.0 != accept.base_revision {
            return command;
        }
        let change = delta::diff(&base.content, whole);
        if change.encoded_len() < whole.len() {
            content.body = Some(wire::content::Body::Delta(change));
        }
        command
    }

    fn accept(&mut self, accept: &wire::Accept) -> AnswerBody {
        let fingerprint = accept_fingerprint(accept);
        if let Err(answer) = self.check_order_id(&accept.order_id, fingerprint) {
            return answer;
        }
        let answer = self.accept_new(accept).unwrap_or_else(|refusal| refusal);
        self.record_answer(&accept.order_id, fingerprint, &answer);
        answer
    }

    fn accept_new(&mut self, accept: &wire::Accept) -> Result<AnswerBody, AnswerBody> {
        let digest = parse_digest(&accept.digest)?;
        self.check_version(&accept.version, digest)?;
        self.check_base(accept.base_revision)?;
        let content = self.content(accept)?;
        if Digest::of(&content) != digest && self.mutation != Mutation::TrustDigest {
            return Err(rejected(Fault::DigestMismatch, "the content has another digest"));
        }
        let revision = Revision {
            number: self.next_number(),
            version: accept.version.to_compact_string(),
            digest,
            content,
            signatures: parse_signatures(&accept.signatures)?,
            origin: None,
            base: RevisionNumber(accept.base_revision),
        };
        let record = VersionRecord { digest, revision: revision.number };
        self.dedup.add_version(&accept.version, record);
        if self.mutation == Mutation::NoVersionFloor {
            self.dedup.floor = None;
        }
        Ok(self.push(revision))
    }

    fn roll_back(&mut self, order: &wire::RollBack) -> AnswerBody {
        let fingerprint = roll_back_fingerprint(order);
        if let Err(answer) = self.check_order_id(&order.order_id, fingerprint) {
            return answer;
        }
        let answer = self.roll_back_new(order).unwrap_or_else(|refusal| refusal);
        self.record_answer(&order.order_id, fingerprint, &answer);
        answer
    }

    fn roll_back_new(&mut self, order: &wire::RollBack) -> Result<AnswerBody, AnswerBody> {
        self.check_base(order.base_revision)?;
        let target = self.roll_back_target(order)?;
        let reuse = self.mutation == Mutation::ReuseNumber;
        let revision = Revision {
            number: if reuse { target.number } else { self.next_number() },
            signatures: parse_signatures(&order.signatures)?,
            origin: Some(target.number),
            base: RevisionNumber(order.base_revision),
            ..target
        };
        Ok(self.push(revision))
    }

    fn roll_back_target(&self, order: &wire::RollBack) -> Result<Revision, AnswerBody> {
        let target = self.history.find(RevisionNumber(order.to_revision));
        target.ok_or_else(|| {
            let detail = format!("revision {} is not among the kept ones", order.to_revision);
            rejected(Fault::RevisionNotKept, &detail)
        })
    }

    fn push(&mut self, revision: Revision) -> AnswerBody {
        let accepted = wire::Accepted {
            revision: revision.number.0,
            digest: revision.digest.to_wire(),
            version: revision.version.to_string(),
        };
        self.history.replace(revision);
        AnswerBody::Accepted(accepted)
    }

    fn take_orders(&mut self, take: &wire::TakeOrderLease) -> AnswerBody {
        let held = self.order_lease.as_ref();
        let number = match held {
            Some(lease) if lease.vm == take.vm && lease.incarnation == take.incarnation => {
                lease.number
            }
            Some(lease) => lease.number + 1,
            None => 1,
        };
        let lease = wire::OrderLease { vm: take.vm, incarnation: take.incarnation, number };
        self.order_lease = Some(lease);
        AnswerBody::Orders(lease)
    }

    fn register(&mut self, register: &wire::Register) -> AnswerBody {
        let Some(endpoint) = &register.endpoint else {
            return rejected(Fault::Malformed, "the endpoint is missing");
        };
        self.endpoints.register(endpoint);
        AnswerBody::Registered(wire::Registered {})
    }

    fn deregister(&mut self, gone: &wire::Deregister) -> AnswerBody {
        self.endpoints.deregister(&gone.name, gone.incarnation);
        AnswerBody::Registered(wire::Registered {})
    }

    fn expire(&mut self, silent: &wire::Expire) -> AnswerBody {
        self.endpoints.expire(silent);
        AnswerBody::Registered(wire::Registered {})
    }

    /// Marks a store for draining. The mark is permanent, since a drained store is removed and its
    /// identity is never used again.
    fn retire(&mut self, retire: &wire::Retire) -> AnswerBody {
        self.retiring.insert(VmId(retire.vm));
        AnswerBody::Registered(wire::Registered {})
    }

    fn crash(&mut self, crash: &wire::Crash) -> AnswerBody {
        match self.suspects.crash(crash) {
            Some(status) => AnswerBody::Suspect(status),
            None => rejected(Fault::Malformed, "a request's digest has 16 bytes"),
        }
    }

    fn clear_suspect(&mut self, clear: &wire::ClearSuspect) -> AnswerBody {
        self.suspects.clear(clear);
        AnswerBody::Registered(wire::Registered {})
    }

    fn check_accept(&self, accept: &wire::Accept, keys: &OperatorKeys) -> Result<(), AnswerBody> {
        self.check_order_id(&accept.order_id, accept_fingerprint(accept))?;
        let digest = parse_digest(&accept.digest)?;
        self.check_version(&accept.version, digest)?;
        self.check_base(accept.base_revision)?;
        let revision = Revision {
            number: self.next_number(),
            version: accept.version.to_compact_string(),
            digest,
            content: self.content(accept)?,
            signatures: parse_signatures(&accept.signatures)?,
            origin: None,
            base: RevisionNumber(accept.base_revision),
        };
        check_revision(&revision, keys).map(drop)
    }

    fn check_roll_back(
        &self,
        order: &wire::RollBack,
        keys: &OperatorKeys,
    ) -> Result<(), AnswerBody> {
        self.check_order_id(&order.order_id, roll_back_fingerprint(order))?;
        self.check_base(order.base_revision)?;
        let target = self.roll_back_target(order)?;
        let signed = RollBackOrder {
            base: RevisionNumber(order.base_revision),
            target: target.number,
            digest: target.digest,
        };
        let signatures = parse_signatures(&order.signatures)?;
        keys.check_roll_back(&signed, &signatures)
            .map_err(|error| rejected(Fault::NotSigned, &error.to_string()))
    }

    /// Returns the recorded answer as an error if this order was answered before.
    ///
    /// Without it, an order that is resent after a lost answer would be accepted twice or rejected
    /// as stale.
    fn check_order_id(&self, id: &str, fingerprint: Digest) -> Result<(), AnswerBody> {
        if id.is_empty() || id.len() > MAX_ORDER_ID {
            return Err(rejected(Fault::Malformed, "the order id must have 1 to 64 bytes"));
        }
        let Some(record) = self.dedup.orders.get(id) else { return Ok(()) };
        if record.fingerprint != fingerprint {
            let detail = "the order id belongs to a different order: use a new one";
            return Err(rejected(Fault::OrderIdReused, detail));
        }
        Err(record.answer.body.clone().unwrap_or(rejected(Fault::Malformed, "no answer recorded")))
    }

    /// Returns an answer as an error if this version can't be accepted as new: the recorded
    /// acceptance for the same content, a conflict for different content.
    fn check_version(&self, version: &str, digest: Digest) -> Result<(), AnswerBody> {
        let Ok(parsed) = version.parse::<Version>() else {
            return Err(rejected(Fault::Malformed, "the version isn't dotted decimal numbers"));
        };
        let Some(record) = self.dedup.versions.get(version) else {
            let too_old = self.dedup.is_too_old(&parsed);
            let detail = "use a higher version than any accepted so far";
            return if too_old { Err(rejected(Fault::VersionTooOld, detail)) } else { Ok(()) };
        };
        if self.mutation == Mutation::ForgetVersions {
            return Ok(());
        }
        if record.digest == digest {
            return Err(AnswerBody::Accepted(wire::Accepted {
                revision: record.revision.0,
                digest: digest.to_wire(),
                version: version.to_string(),
            }));
        }
        Err(AnswerBody::Conflict(wire::VersionConflict {
            version: version.to_string(),
            accepted: record.digest.to_wire(),
            offered: digest.to_wire(),
            revision: record.revision.0,
        }))
    }

    /// Rejects an order whose base isn't the current revision, so that an operator never
    /// overwrites a change that they haven't seen.
    fn check_base(&self, base: u64) -> Result<(), AnswerBody> {
        let current = self.history.number().0;
        if base == current || self.mutation == Mutation::IgnoreBase {
            return Ok(());
        }
        let digest = self.current().map(|revision| revision.digest.to_wire());
        let digest = digest.unwrap_or_default();
        Err(AnswerBody::Stale(wire::StaleBase { base, current, digest }))
    }

    fn content(&self, accept: &wire::Accept) -> Result<Bytes, AnswerBody> {
        use wire::content::Body;
        let body = accept.content.as_ref().and_then(|content| content.body.as_ref());
        let content = match body {
            Some(Body::Whole(content)) => Some(content.clone()),
            Some(Body::Delta(change)) => {
                let base = self.current().map_or_else(Bytes::new, |base| base.content.clone());
                delta::apply(&base, change)
            }
            None => None,
        };
        content.ok_or_else(|| rejected(Fault::Malformed, "the content doesn't fit its base"))
    }

    fn next_number(&self) -> RevisionNumber {
        RevisionNumber(self.history.number().0 + 1)
    }

    /// Records the first answer of an order in the replicated state.
    ///
    /// The texts of recorded answers must not change between releases, or replicas would diverge
    /// during an upgrade.
    fn record_answer(&mut self, id: &str, fingerprint: Digest, answer: &AnswerBody) {
        if self.mutation != Mutation::ForgetOrders {
            let answer = wire::Answer { body: Some(answer.clone()) };
            self.dedup.add_order(id, fingerprint, answer);
        }
    }
}

fn check_revision(revision: &Revision, keys: &OperatorKeys) -> Result<Bundle, AnswerBody> {
    revision.verify(keys).map_err(|error| {
        let fault = match error {
            RevisionError::DigestMismatch => Fault::DigestMismatch,
            RevisionError::Signature(_) => Fault::NotSigned,
            RevisionError::VersionMismatch | RevisionError::Content(_) => Fault::InvalidContent,
        };
        rejected(fault, &error.to_string())
    })
}

fn rejected(fault: Fault, detail: &str) -> AnswerBody {
    AnswerBody::Rejected(wire::Rejected { fault: fault.into(), detail: detail.to_string() })
}

fn parse_digest(bytes: &[u8]) -> Result<Digest, AnswerBody> {
    Digest::from_wire(bytes).ok_or_else(|| rejected(Fault::Malformed, "a digest has 32 bytes"))
}

fn parse_signatures(signatures: &[wire::Signature]) -> Result<Vec<Signature>, AnswerBody> {
    let parsed: Option<Vec<Signature>> = signatures.iter().map(Signature::from_wire).collect();
    parsed.ok_or_else(|| rejected(Fault::Malformed, "a public key has 32 bytes"))
}

fn accept_fingerprint(accept: &wire::Accept) -> Digest {
    let mut input = b"accept".to_vec();
    input.extend_from_slice(&accept.base_revision.to_be_bytes());
    input.extend_from_slice(&accept.digest);
    input.extend_from_slice(accept.version.as_bytes());
    Digest::of(&input)
}

fn roll_back_fingerprint(order: &wire::RollBack) -> Digest {
    let mut input = b"roll back".to_vec();
    input.extend_from_slice(&order.base_revision.to_be_bytes());
    input.extend_from_slice(&order.to_revision.to_be_bytes());
    Digest::of(&input)
}
