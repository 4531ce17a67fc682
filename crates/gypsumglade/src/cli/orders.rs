//! Orders to the control group and their outcomes.

use std::fmt;

use bytes::Bytes;
use gypsumglade_core::bundle::{Digest, Signature};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{
    Accepted, Answer, Command, Fault, RollBack, VersionConflict,
};
use gypsumglade_core::wire::operator::Status;

use super::Failure;
use super::failure::FailureKind;

/// Name of an order, and the revision that it replaces.
#[derive(Clone, Debug)]
pub(super) struct OrderHeader {
    /// Name of the order, repeated when it is resent.
    pub(super) id: CompactString,
    /// Revision that the order replaces. The order is refused if another revision is current.
    pub(super) base: u64,
}

/// Returns the command that rolls back to an earlier revision's content, as a new revision.
pub(super) fn roll_back(header: &OrderHeader, to: u64, signatures: &[Signature]) -> Command {
    let back = RollBack {
        order_id: header.id.to_string(),
        base_revision: header.base,
        to_revision: to,
        signatures: signatures.iter().map(Signature::to_wire).collect(),
    };
    Command { body: Some(CommandBody::RollBack(back)) }
}

/// Returns the accepted revision, or the failure for an order that was not accepted.
pub(super) fn outcome(answer: Answer) -> Result<Accepted, Failure> {
    match answer.body {
        Some(AnswerBody::Accepted(accepted)) => Ok(accepted),
        Some(AnswerBody::Conflict(conflict)) => Err(conflict_failure(&conflict)),
        Some(AnswerBody::Stale(stale)) => {
            let message = format!(
                "the order replaces revision {}, but {} is the current one (digest {})",
                stale.base,
                stale.current,
                digest(&stale.digest)
            );
            let advice = "another operator changed the bundle: check `gypsumglade bundle status`, agree \
                          on the change, and give a new order";
            Err(Failure::new(FailureKind::Refused, message, advice))
        }
        Some(AnswerBody::Rejected(rejected)) => {
            let fault = rejected.fault();
            let message = format!("{}: {}", fault.as_str_name(), rejected.detail);
            Err(Failure::new(FailureKind::Refused, message, advice(fault)))
        }
        Some(
            AnswerBody::Orders(_)
            | AnswerBody::Placed(_)
            | AnswerBody::Registered(_)
            | AnswerBody::Suspect(_)
            | AnswerBody::TrialGranted(_)
            | AnswerBody::TrialPending(_)
            | AnswerBody::TrialRefused(_),
        )
        | None => {
            let message = "the answer belongs to another kind of order";
            let advice = "use the gypsumglade command of the same version as the process";
            Err(Failure::new(FailureKind::Unknown, message, advice))
        }
    }
}

fn conflict_failure(conflict: &VersionConflict) -> Failure {
    let message = format!(
        "version {} is taken: revision {} has digest {}, the offered bundle {}",
        conflict.version,
        conflict.revision,
        digest(&conflict.accepted),
        digest(&conflict.offered)
    );
    let advice = "give the bundle a new version, sign it and roll it out again";
    Failure::new(FailureKind::Refused, message, advice)
}

fn advice(fault: Fault) -> &'static str {
    match fault {
        Fault::NotSigned => "add signatures with `gypsumglade bundle sign`",
        Fault::OrderIdReused => "omit --order, or repeat the first order unchanged",
        Fault::RevisionNotKept => "sign the earlier bundle under a new version and roll it out",
        Fault::VersionTooOld => "give the bundle a higher version",
        Fault::InvalidContent => "fix each finding and sign again",
        Fault::Unspecified
        | Fault::DigestMismatch
        | Fault::Malformed
        | Fault::PlacementChanged
        | Fault::PlacementRefused => "sign the bundle again with this version of the tool",
    }
}

/// Result of an accepted order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct RollReport {
    pub(super) revision: u64,
    pub(super) version: CompactString,
    pub(super) digest: CompactString,
    /// Whether no VM uses an earlier revision any more.
    pub(super) in_force: bool,
    /// VMs that may still use an earlier revision.
    pub(super) waiting: Vec<u32>,
    /// The current revision. Later than `revision` if the order was resent and replaced since.
    pub(super) current: u64,
}

impl RollReport {
    pub(super) fn new(accepted: &Accepted, status: &Status) -> RollReport {
        RollReport {
            revision: accepted.revision,
            version: accepted.version.as_str().into(),
            digest: digest(&accepted.digest),
            in_force: status.in_force,
            waiting: status.waiting.clone(),
            current: status.current,
        }
    }

    /// Returns whether a later revision has replaced this one.
    ///
    /// A bundle that was rolled out before is not rolled out again. The resent order gets its first
    /// answer.
    pub(super) fn is_replaced(&self) -> bool {
        self.current > self.revision
    }
}

impl fmt::Display for RollReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RollReport { revision, version, digest, current, .. } = self;
        write!(f, "revision {revision}: version {version}, digest {digest}, ")?;
        if self.is_replaced() {
            return write!(f, "replaced by revision {current}");
        }
        if self.in_force {
            return write!(f, "in force everywhere");
        }
        write!(f, "accepted, but VMs {:?} may still use an earlier revision", self.waiting)
    }
}

/// Result of `bundle status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct StatusReport {
    pub(super) revision: u64,
    pub(super) version: CompactString,
    pub(super) digest: CompactString,
    pub(super) in_force: bool,
    pub(super) waiting: Vec<u32>,
    pub(super) vms: Vec<VmReport>,
}

/// State of one entry VM, according to the control group's leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct VmReport {
    pub(super) vm: u32,
    pub(super) confirmed: u64,
    pub(super) lease_ms: u64,
}

impl StatusReport {
    pub(super) fn new(status: &Status) -> StatusReport {
        let vms = status.vms.iter();
        StatusReport {
            revision: status.current,
            version: status.version.as_str().into(),
            digest: digest(&status.digest),
            in_force: status.in_force,
            waiting: status.waiting.clone(),
            vms: vms
                .map(|v| VmReport { vm: v.vm, confirmed: v.confirmed, lease_ms: v.lease_ms })
                .collect(),
        }
    }
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StatusReport { revision, version, digest, .. } = self;
        if *revision == 0 {
            return write!(f, "no bundle has been rolled out yet");
        }
        let force = if self.in_force { "in force everywhere" } else { "not yet in force" };
        writeln!(f, "revision {revision}: version {version}, digest {digest}, {force}")?;
        if !self.waiting.is_empty() {
            writeln!(f, "VMs that may still use an earlier revision: {:?}", self.waiting)?;
        }
        let mut table = tabled::builder::Builder::default();
        table.push_record(["VM", "confirmed", "lease ends in"]);
        for VmReport { vm, confirmed, lease_ms } in &self.vms {
            table.push_record([vm.to_string(), confirmed.to_string(), format!("{lease_ms} ms")]);
        }
        write!(f, "{}", table.build().with(tabled::settings::Style::blank()))
    }
}

fn digest(bytes: &Bytes) -> CompactString {
    Digest::from_wire(bytes).map(|d| hex::encode(d.0).into()).unwrap_or_default()
}
