//! Pending proposals, and the replies to their requests once they are committed or fail.

use bytes::Bytes;
use prost::Message;

use super::holder::EndedHolder;
use super::interface::{Effect, ProposalId, RequestToken};
use super::replies::{refusal, reply};
use super::sequencer::{CallWaiter, Sequencer};
use super::state::{Applied, CallKey, Phase, QualifiedName};
use crate::prelude::*;
use crate::wire::common::Outcome;
use crate::wire::program as wire;
use crate::wire::program::entry::Body as EntryBody;
use crate::wire::program::reply::Body as ReplyBody;
use crate::wire::program::{Refusal, Reply};

/// What to do once a proposal is committed or fails.
#[derive(Debug)]
pub(super) enum PendingProposal {
    /// A begin whose request waits for the commit.
    Begin(Box<CallWaiter>),
    /// A begin whose caller was already told that the call does not run.
    Withdrawn(QualifiedName),
    /// A begin whose dispatch was granted before the commit.
    EarlyBegin(CompactString),
    /// Closes a program's escrow.
    CloseEscrow(QualifiedName),
    /// A request that is answered once its entry is applied.
    Reply(RequestToken),
    /// First entry of a leader; once it is committed, so are all entries of earlier terms.
    Barrier,
    /// An entry that no request waits for.
    Maintenance,
}

impl PendingProposal {
    pub(super) fn token(&self) -> Option<RequestToken> {
        match self {
            PendingProposal::Begin(waiter) => Some(waiter.token),
            PendingProposal::Reply(token) => Some(*token),
            PendingProposal::Withdrawn(_)
            | PendingProposal::EarlyBegin(_)
            | PendingProposal::CloseEscrow(_)
            | PendingProposal::Barrier
            | PendingProposal::Maintenance => None,
        }
    }
}

impl Sequencer {
    pub(super) fn propose_maintenance(
        &mut self,
        now: Time,
        body: EntryBody,
        out: &mut Vec<Effect>,
    ) {
        let proposal = self.propose(now, body, PendingProposal::Maintenance, out);
        self.maintenance.insert(proposal);
    }

    pub(super) fn propose_begin(
        &mut self,
        now: Time,
        waiter: Box<CallWaiter>,
        begin: wire::Begin,
        out: &mut Vec<Effect>,
    ) {
        self.pending_programs.insert(waiter.request.name.clone());
        self.propose(now, EntryBody::Begin(begin), PendingProposal::Begin(waiter), out);
    }

    pub(super) fn propose(
        &mut self,
        now: Time,
        body: EntryBody,
        pending: PendingProposal,
        out: &mut Vec<Effect>,
    ) -> ProposalId {
        self.last_proposal += 1;
        let proposal = ProposalId(self.last_proposal);
        let entry = wire::Entry {
            at_ms: self.now_ms(now),
            term: self.leader_state.map_or(0, |lead| lead.term),
            proposal: proposal.0,
            body: Some(body),
        };
        self.pending.insert(proposal, pending);
        out.push(Effect::Propose { proposal, data: Bytes::from(entry.encode_to_vec()) });
        proposal
    }

    /// Replies to the request whose proposal was committed and applied.
    pub(super) fn complete(
        &mut self,
        now: Time,
        proposal: ProposalId,
        applied: Applied,
        out: &mut Vec<Effect>,
    ) {
        match self.pending.remove(&proposal) {
            Some(PendingProposal::Begin(waiter)) => {
                self.pending_programs.remove(&waiter.request.name);
                self.complete_begin(now, *waiter, applied, out);
            }
            Some(PendingProposal::Withdrawn(name)) => {
                self.pending_programs.remove(&name);
                if let Applied::Granted(call) = applied {
                    self.withdraw(now, call, out);
                }
            }
            Some(PendingProposal::Reply(token)) => {
                let body = match applied {
                    Applied::Refused(refused) => ReplyBody::Refused(refused),
                    _ => ReplyBody::Done(wire::Done {}),
                };
                out.push(Effect::Reply { token, reply: reply(body) });
            }
            Some(PendingProposal::EarlyBegin(dispatch)) => self.early_applied(now, &dispatch, out),
            Some(PendingProposal::CloseEscrow(name)) => {
                self.pending_programs.remove(&name);
                self.invalid_escrows.remove(&name);
            }
            Some(PendingProposal::Barrier) => self.become_ready(now, out),
            Some(PendingProposal::Maintenance) => {
                self.maintenance.remove(&proposal);
            }
            None => {}
        }
    }

    fn complete_begin(
        &mut self,
        now: Time,
        waiter: CallWaiter,
        applied: Applied,
        out: &mut Vec<Effect>,
    ) {
        let token = waiter.token;
        match applied {
            Applied::Granted(call) if waiter.deadline_ms <= self.now_ms(now) => {
                out.push(Effect::Reply { token, reply: deadline_passed() });
                self.withdraw(now, call, out);
            }
            Applied::Granted(call) => {
                if let Some(reply) = super::replies::grant(&self.state, call) {
                    out.push(Effect::Reply { token, reply });
                }
            }
            Applied::Refused(refused) => {
                out.push(Effect::Reply { token, reply: reply(ReplyBody::Refused(refused)) });
            }
            _ => self.admit(now, waiter, out),
        }
    }

    /// Refuses the begins that are not committed by their callers' deadlines.
    ///
    /// Otherwise a leader that was cut off from its quorum would keep callers waiting until the
    /// partition ends. The refusal is correct: a call runs only once its holder has the grant, and
    /// this leader sends none for a refused request.
    pub(super) fn withdraw_expired(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        self.withdraw_pending(|waiter| waiter.deadline_ms <= now_ms, out);
    }

    /// Refuses the pending begins of an ended process, which could not use a grant.
    pub(super) fn withdraw_from(&mut self, ended: EndedHolder, out: &mut Vec<Effect>) {
        self.withdraw_pending(|waiter| waiter.is_from(ended), out);
    }

    fn withdraw_pending(
        &mut self,
        is_obsolete: impl Fn(&CallWaiter) -> bool,
        out: &mut Vec<Effect>,
    ) {
        let mut tokens = vec![];
        for pending in self.pending.values_mut() {
            if let PendingProposal::Begin(waiter) = pending
                && is_obsolete(waiter)
            {
                tokens.push(waiter.token);
                *pending = PendingProposal::Withdrawn(waiter.request.name.clone());
            }
        }
        tokens.sort();
        out.extend(
            tokens.into_iter().map(|token| Effect::Reply { token, reply: deadline_passed() }),
        );
    }

    /// Settles a committed begin as not run, since this leader never granted it.
    ///
    /// Otherwise the key would be in doubt although nothing was sent. Until the settle is
    /// committed, a repeated request must not be granted: it would run a call recorded as not run.
    fn withdraw(&mut self, now: Time, call: CallKey, out: &mut Vec<Effect>) {
        let call = &self.state.calls[call];
        let Phase::Running(attempt) = &call.phase else { return };
        let settled = wire::Settled {
            program: Some(self.state.programs[call.program].name.to_wire()),
            dispatch: call.dispatch.to_string(),
            holder: attempt.holder.0,
            outcome: Outcome::NotRun.into(),
            ..wire::Settled::default()
        };
        self.withdrawn.insert(call.dispatch.clone());
        self.propose_maintenance(now, EntryBody::Settled(settled), out);
    }

    pub(super) fn proposal_failed(&mut self, proposal: ProposalId, out: &mut Vec<Effect>) {
        self.maintenance.remove(&proposal);
        let Some(pending) = self.pending.remove(&proposal) else { return };
        match &pending {
            PendingProposal::Begin(waiter) => {
                self.pending_programs.remove(&waiter.request.name);
            }
            PendingProposal::Withdrawn(name) | PendingProposal::CloseEscrow(name) => {
                self.pending_programs.remove(name);
            }
            PendingProposal::EarlyBegin(dispatch) => self.early_failed(dispatch, out),
            PendingProposal::Reply(_) | PendingProposal::Barrier | PendingProposal::Maintenance => {
            }
        }
        if let Some(token) = pending.token() {
            out.push(Effect::Reply { token, reply: self.not_leader() });
        }
    }
}

fn deadline_passed() -> Reply {
    let detail = "the caller's deadline passed before the group could commit its request";
    refusal(Refusal::DeadlinePassed, detail)
}
