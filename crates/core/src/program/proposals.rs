//! Proposals under way, and what becomes of their askers once they are committed or fail.

use bytes::Bytes;
use prost::Message;

use super::interface::{Effect, ProposalId, RequestToken};
use super::replies::{refusal, reply};
use super::sequencer::{Sequencer, Ticket};
use super::state::{Applied, CallKey, Name, Phase};
use crate::prelude::*;
use crate::wire::common::Outcome;
use crate::wire::program as wire;
use crate::wire::program::entry::Body as EntryBody;
use crate::wire::program::reply::Body as ReplyBody;
use crate::wire::program::{Refusal, Reply};

/// What waits for a proposal.
#[derive(Debug)]
pub(super) enum Pending {
    Begin(Box<Ticket>),
    /// A begin whose caller was told that it is not run, before it was committed.
    Withdrawn(Name),
    /// A begin whose grant is already given.
    Early(CompactString),
    /// The closing of a program's escrow.
    Close(Name),
    Reply(RequestToken),
    /// The first entry of a leader: once it is committed, so is all that came before.
    Barrier,
    Chore,
}

impl Pending {
    pub(super) fn token(&self) -> Option<RequestToken> {
        match self {
            Pending::Begin(ticket) => Some(ticket.token),
            Pending::Reply(token) => Some(*token),
            Pending::Withdrawn(_)
            | Pending::Early(_)
            | Pending::Close(_)
            | Pending::Barrier
            | Pending::Chore => None,
        }
    }
}

impl Sequencer {
    pub(super) fn propose_chore(&mut self, now: Time, body: EntryBody, out: &mut Vec<Effect>) {
        let proposal = self.propose(now, body, Pending::Chore, out);
        self.chores.insert(proposal);
    }

    pub(super) fn propose_begin(
        &mut self,
        now: Time,
        ticket: Box<Ticket>,
        begin: wire::Begin,
        out: &mut Vec<Effect>,
    ) {
        self.busy.insert(ticket.asked.name.clone());
        self.propose(now, EntryBody::Begin(begin), Pending::Begin(ticket), out);
    }

    pub(super) fn propose(
        &mut self,
        now: Time,
        body: EntryBody,
        pending: Pending,
        out: &mut Vec<Effect>,
    ) -> ProposalId {
        self.proposals += 1;
        let proposal = ProposalId(self.proposals);
        let entry = wire::Entry {
            at_ms: self.now_ms(now),
            term: self.lead.map_or(0, |lead| lead.term),
            proposal: proposal.0,
            body: Some(body),
        };
        self.pending.insert(proposal, pending);
        out.push(Effect::Propose { proposal, data: Bytes::from(entry.encode_to_vec()) });
        proposal
    }

    /// Answers whoever waited for a proposal that is committed now.
    pub(super) fn complete(
        &mut self,
        now: Time,
        proposal: ProposalId,
        applied: Applied,
        out: &mut Vec<Effect>,
    ) {
        match self.pending.remove(&proposal) {
            Some(Pending::Begin(ticket)) => {
                self.busy.remove(&ticket.asked.name);
                self.complete_begin(now, *ticket, applied, out);
            }
            Some(Pending::Withdrawn(name)) => {
                self.busy.remove(&name);
                if let Applied::Granted(call) = applied {
                    self.withdraw(now, call, out);
                }
            }
            Some(Pending::Reply(token)) => {
                let body = match applied {
                    Applied::Refused(refused) => ReplyBody::Refused(refused),
                    _ => ReplyBody::Done(wire::Done {}),
                };
                out.push(Effect::Reply { token, reply: reply(body) });
            }
            Some(Pending::Early(dispatch)) => self.early_applied(now, &dispatch, out),
            Some(Pending::Close(name)) => {
                self.busy.remove(&name);
                self.tainted.remove(&name);
            }
            Some(Pending::Barrier) => self.become_ready(now, out),
            Some(Pending::Chore) => {
                self.chores.remove(&proposal);
            }
            None => {}
        }
    }

    fn complete_begin(
        &mut self,
        now: Time,
        ticket: Ticket,
        applied: Applied,
        out: &mut Vec<Effect>,
    ) {
        let token = ticket.token;
        match applied {
            Applied::Granted(call) if ticket.until_ms <= self.now_ms(now) => {
                out.push(Effect::Reply { token, reply: late_begin() });
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
            _ => self.admit(now, ticket, out),
        }
    }

    /// Answers the begins that wait for the log beyond their callers' deadlines.
    ///
    /// A leader that lost its quorum without noticing would else keep its callers waiting for as
    /// long as the network is parted. That they are not run is true: the grant is this leader's
    /// to give, and it gives none to a caller that was answered.
    pub(super) fn withdraw_late(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        self.withdraw_pending(|ticket| ticket.until_ms <= now_ms, out);
    }

    /// Answers the begins of a VM that died; it would not use a grant.
    pub(super) fn withdraw_from(&mut self, vm: VmId, out: &mut Vec<Effect>) {
        self.withdraw_pending(|ticket| ticket.from == vm, out);
    }

    fn withdraw_pending(&mut self, is_over: impl Fn(&Ticket) -> bool, out: &mut Vec<Effect>) {
        let mut tokens = vec![];
        for pending in self.pending.values_mut() {
            if let Pending::Begin(ticket) = pending
                && is_over(ticket)
            {
                tokens.push(ticket.token);
                *pending = Pending::Withdrawn(ticket.asked.name.clone());
            }
        }
        tokens.sort();
        out.extend(tokens.into_iter().map(|token| Effect::Reply { token, reply: late_begin() }));
    }

    /// Takes back an intent for which this leader never gave a grant.
    ///
    /// Without this the key would stay in doubt for good though nothing was sent. A repeat of the
    /// ask must not be granted before that is committed: it would run what the entry calls unrun.
    fn withdraw(&mut self, now: Time, call: CallKey, out: &mut Vec<Effect>) {
        let call = &self.state.calls[call];
        let Phase::Running(attempt) = &call.phase else { return };
        let settled = wire::Settled {
            program: Some(self.state.programs[call.program].name.to_ref()),
            dispatch: call.dispatch.to_string(),
            holder: attempt.holder.0,
            outcome: Outcome::NotRun.into(),
            ..wire::Settled::default()
        };
        self.withdrawn.insert(call.dispatch.clone());
        self.propose_chore(now, EntryBody::Settled(settled), out);
    }

    pub(super) fn proposal_failed(&mut self, proposal: ProposalId, out: &mut Vec<Effect>) {
        self.chores.remove(&proposal);
        let Some(pending) = self.pending.remove(&proposal) else { return };
        match &pending {
            Pending::Begin(ticket) => {
                self.busy.remove(&ticket.asked.name);
            }
            Pending::Withdrawn(name) | Pending::Close(name) => {
                self.busy.remove(name);
            }
            Pending::Early(dispatch) => self.early_failed(dispatch, out),
            Pending::Reply(_) | Pending::Barrier | Pending::Chore => {}
        }
        if let Some(token) = pending.token() {
            out.push(Effect::Reply { token, reply: self.not_leader() });
        }
    }
}

fn late_begin() -> Reply {
    let detail = "the caller's deadline passed before the group could commit its request";
    refusal(Refusal::DeadlinePassed, detail)
}
