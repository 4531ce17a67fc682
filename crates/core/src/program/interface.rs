//! Inputs and effects of a sequencer.

use bytes::Bytes;

use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::Reply;

/// Identifies a request until its reply; the daemon assigns increasing numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// Identifies a proposal, so that its failure can be reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// Input from the daemon to a sequencer.
#[expect(clippy::large_enum_variant, reason = "requests are the bulk of all inputs")]
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An entry VM sent a request.
    Request {
        /// Token that the one reply carries.
        token: RequestToken,
        /// VM that sent the request; only this VM may settle what it is granted.
        from: VmId,
        /// The request.
        request: wire::Request,
    },
    /// The log committed an entry. Every replica gets all entries in order.
    Committed {
        /// Log index of the entry.
        index: u64,
        /// Encoded entry, as proposed.
        data: Bytes,
    },
    /// A snapshot replaces the state up to `index`.
    Restored {
        /// Last log index that the snapshot covers.
        index: u64,
        /// Snapshot made by [`State::snapshot`](super::State::snapshot).
        data: Bytes,
    },
    /// This replica became the leader. The daemon repeats [`Input::VmGone`] for every dead VM.
    Leading {
        /// Term of the leadership.
        term: u64,
    },
    /// This replica is not, or no longer, the leader.
    Following {
        /// Store VM of the leader, if known.
        leader: Option<VmId>,
    },
    /// This leader will not commit the proposal; a later leader may still commit it.
    ProposalFailed {
        /// The failed proposal.
        proposal: ProposalId,
    },
    /// A bundle revision came into force.
    Config {
        /// Number of the revision.
        revision: RevisionNumber,
        /// Digests that the revision lifts from quarantine.
        lifted: Vec<Bytes>,
    },
    /// Membership declared an entry VM dead.
    VmGone {
        /// The dead VM.
        vm: VmId,
    },
    /// Membership reports the process that an entry VM runs. Earlier processes of it have ended.
    ///
    /// The daemon also sends it to a replica that becomes leader, for every VM.
    VmRuns {
        /// The VM.
        vm: VmId,
        /// Boot id of its process.
        boot_id: u32,
    },
    /// An endpoint's lease expired or it restarted, so it holds no memory of any program.
    EndpointGone {
        /// Name of the endpoint.
        endpoint: EndpointName,
    },
    /// Crash scores from other groups.
    Scores {
        /// Scores to merge.
        scores: Vec<wire::Score>,
    },
    /// Time passed. The daemon sends one every few tens of milliseconds.
    Tick,
}

/// Action that a sequencer asks the daemon to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Propose an entry to the log.
    Propose {
        /// Identifies the proposal in [`Input::ProposalFailed`].
        proposal: ProposalId,
        /// Encoded entry.
        data: Bytes,
    },
    /// Reply to a request.
    Reply {
        /// Token of the request.
        token: RequestToken,
        /// The reply.
        reply: Reply,
    },
    /// Tell an endpoint to free a program's memory. Repeated until the endpoint confirms; for an
    /// endpoint that no longer exists, the daemon sends [`Input::EndpointGone`].
    Release {
        /// Program and endpoint.
        release: wire::Release,
    },
    /// Tell an entry VM to cancel a dispatch of an ended program.
    Cancel {
        /// Id of the dispatch.
        dispatch: CompactString,
        /// VM that holds the dispatch.
        vm: VmId,
    },
    /// Stop this replica, because it cannot read an entry or a snapshot. It refuses all requests
    /// until a readable snapshot arrives.
    Halt {
        /// Description of what could not be read, for operators.
        reason: String,
    },
    /// Send a changed crash score to the other groups.
    Scored {
        /// Score of the request digest.
        score: wire::Score,
    },
}
