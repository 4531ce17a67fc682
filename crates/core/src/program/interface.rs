//! What a sequencer is told and what it asks for.

use bytes::Bytes;

use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::Reply;

/// Names a request so that its reply finds back; the daemon counts them up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// Names a proposal so that its failure finds back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// What the daemon tells a sequencer.
#[expect(clippy::large_enum_variant, reason = "requests are the bulk of all inputs")]
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An entry VM asks for something.
    Request {
        /// Comes back with the one reply.
        token: RequestToken,
        /// The VM that asks; it alone may settle what it is granted.
        from: VmId,
        /// What it asks.
        request: wire::Request,
    },
    /// The log committed an entry; all are fed, in order, on every replica.
    Committed {
        /// Place in the log.
        index: u64,
        /// The entry as proposed.
        data: Bytes,
    },
    /// A snapshot replaces the state up to `index`.
    Restored {
        /// Last place in the log that the snapshot covers.
        index: u64,
        /// What [`State::snapshot`](super::State::snapshot) gave.
        data: Bytes,
    },
    /// This replica leads. Repeat [`Input::VmGone`] for every VM that is dead by now.
    Leading {
        /// The leader's term.
        term: u64,
    },
    /// This replica does not lead, or no longer.
    Following {
        /// The leader's store VM when known.
        leader: Option<VmId>,
    },
    /// A proposal will not be committed by this leader; it may still be committed by a later one.
    ProposalFailed {
        /// The proposal.
        proposal: ProposalId,
    },
    /// A bundle revision is in force.
    Config {
        /// Its number.
        revision: RevisionNumber,
        /// Digests that it lifts from quarantine.
        lifted: Vec<Bytes>,
    },
    /// Membership declared an entry VM dead, or saw it restart.
    VmGone {
        /// The VM.
        vm: VmId,
    },
    /// An endpoint's lease ran out, or it restarted: it holds no memory of any program.
    EndpointGone {
        /// The endpoint.
        endpoint: EndpointName,
    },
    /// Crash scores that other groups found.
    Scores {
        /// The scores.
        scores: Vec<wire::Score>,
    },
    /// Time passed; fed every few tens of milliseconds.
    Tick,
}

/// What a sequencer asks of the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose an entry to the log.
    Propose {
        /// Names it in [`Input::ProposalFailed`].
        proposal: ProposalId,
        /// The entry.
        data: Bytes,
    },
    /// Answer a request.
    Reply {
        /// The request.
        token: RequestToken,
        /// The answer.
        reply: Reply,
    },
    /// Tell an endpoint to free a program's memory. Repeated until it confirms; an endpoint that
    /// is not known any more is answered by [`Input::EndpointGone`].
    Release {
        /// What to free, and where.
        release: wire::Release,
    },
    /// Tell an entry VM to cancel a dispatch of a program that ended.
    Cancel {
        /// The dispatch.
        dispatch: CompactString,
        /// Its holder.
        vm: VmId,
    },
    /// Stop this replica: its state can no longer follow the log. It answers nothing from now on.
    Halt {
        /// What could not be read, for the operators.
        reason: String,
    },
    /// Tell the other groups what is known of a request that crashes endpoints.
    Scored {
        /// The score.
        score: wire::Score,
    },
}
