//! Start and end of leadership, and the group time.

use super::interface::{Effect, RequestToken};
use super::parked_requests::QueueKey;
use super::proposals::PendingProposal;
use super::replies::{refused, reply};
use super::sequencer::Sequencer;
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body as EntryBody;
use crate::wire::program::reply::Body as ReplyBody;
use crate::wire::program::{Refusal, Reply};

/// Term of the current leadership and the base of its group time.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaderState {
    pub(super) term: u64,
    /// Group time when this replica became the leader.
    base_ms: u64,
    since: Time,
    /// Whether the barrier is applied, so that the state holds all entries of earlier terms.
    pub(super) ready: bool,
}

impl Sequencer {
    pub(super) fn become_leader(&mut self, now: Time, term: u64, out: &mut Vec<Effect>) {
        self.become_follower(None, out);
        let base_ms = self.state.clock_ms();
        self.leader_state = Some(LeaderState { term, base_ms, since: now, ready: false });
        self.scanned_ms = 0;
        let barrier = EntryBody::Sweep(wire::Sweep::default());
        self.propose(now, barrier, PendingProposal::Barrier, out);
    }

    pub(super) fn become_ready(&mut self, now: Time, out: &mut Vec<Effect>) {
        if let Some(lead) = &mut self.leader_state {
            lead.ready = true;
        }
        for ended in std::mem::take(&mut self.ended_holders) {
            self.propose_holder_lost(now, ended, out);
        }
        self.propose_lift(now, out);
        self.wake(now, &QueueKey::LeaderReady, out);
    }

    /// Drops the leader's bookkeeping and refuses all open requests, naming the leader if known.
    pub(super) fn become_follower(&mut self, leader: Option<VmId>, out: &mut Vec<Effect>) {
        self.leader = leader;
        self.leader_state = None;
        let mut tokens: Vec<RequestToken> =
            self.parked.take_all().into_iter().map(|waiter| waiter.token).collect();
        tokens.extend(self.pending.drain().filter_map(|(_, pending)| pending.token()));
        tokens.extend(self.clear_early_grants());
        tokens.sort();
        let reply = self.not_leader();
        let replies = tokens.into_iter().map(|token| Effect::Reply { token, reply: reply.clone() });
        out.extend(replies);
        self.maintenance.clear();
        self.pending_programs.clear();
        self.crashes.clear();
        self.withdrawn.clear();
        self.release_timers.clear();
        self.cancel_timers.clear();
        self.ended_holders.clear();
    }

    /// Proposes the barrier again if it failed while this replica still leads.
    pub(super) fn renew_barrier(&mut self, now: Time, out: &mut Vec<Effect>) {
        let waiting =
            self.pending.values().any(|pending| matches!(pending, PendingProposal::Barrier));
        if !waiting {
            let barrier = EntryBody::Sweep(wire::Sweep::default());
            self.propose(now, barrier, PendingProposal::Barrier, out);
        }
    }

    pub(super) fn not_leader(&self) -> Reply {
        let mut refused = refused(Refusal::NotLeader, "ask the leader under the same key");
        refused.leader = self.leader.map_or(0, |vm| vm.0);
        reply(ReplyBody::Refused(refused))
    }

    /// Returns the group time in milliseconds, which never goes backwards.
    ///
    /// The monotonic clocks of two VMs have different origins, so a new leader continues from the
    /// time of the last entry. Time without a leader does not count against programs.
    pub(super) fn now_ms(&self, now: Time) -> u64 {
        let Some(lead) = self.leader_state else { return self.state.clock_ms() };
        let elapsed = now.since(lead.since).as_millis() as u64;
        self.state.clock_ms().max(lead.base_ms.saturating_add(elapsed))
    }
}
