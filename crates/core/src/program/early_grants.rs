//! Grants turns from an escrow before their begin is committed.
//!
//! Only the leader that opened the escrow does this, only for model calls, which may be repeated,
//! and only while nothing else of the program is pending. See docs/design/budget.md.

use super::escrow::full_reservation;
use super::holder::EndedHolder;
use super::interface::{Effect, RequestToken};
use super::proposals::PendingProposal;
use super::replies::early_grant;
use super::sequencer::{CallWaiter, Sequencer};
use super::state::{Program, QualifiedName};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body as EntryBody;

/// Dispatch that was granted and whose begin is not applied yet.
#[derive(Debug)]
pub(super) struct EarlyGrant {
    pub(super) name: QualifiedName,
    pub(super) key: CompactString,
    holder: VmId,
    boot_id: u32,
    /// Set if the holder has ended since the grant.
    ended: Option<EndedHolder>,
    /// Outcomes that were reported before the begin was applied.
    settles: Vec<DeferredSettle>,
}

/// Outcome that is kept until the begin of its dispatch is applied.
#[derive(Debug)]
struct DeferredSettle {
    token: RequestToken,
    from: VmId,
    settle: wire::Settle,
}

impl Sequencer {
    /// Sets the escrow that a model call's begin reserves for later turns.
    pub(super) fn set_ahead(&self, begin: &mut wire::Begin) {
        let turns = self.settings.escrow_turns;
        if turns > 0 && begin.turn > 0 {
            begin.ahead = Some(full_reservation(begin).times(turns).to_record());
        }
    }

    /// Returns whether a turn may be granted before its begin is committed.
    pub(super) fn may_grant_early(
        &self,
        now: Time,
        waiter: &CallWaiter,
        begin: &wire::Begin,
    ) -> bool {
        let Some(lead) = self.leader_state else { return false };
        let Some(key) = self.state.names.get(&waiter.request.name) else { return false };
        if self.settings.escrow_turns == 0 || begin.turn == 0 {
            return false;
        }
        let suspect = self.is_suspect(begin);
        let due = self.state.deadline_ms(*key).is_some_and(|due| due <= self.now_ms(now));
        // The late answer of an attempt in doubt may already be in the log and take the turn.
        let usable = !self.invalid_escrows.contains(&waiter.request.name)
            && !self.state.has_turn_in_doubt(*key, begin.turn);
        usable && !suspect && !due && self.state.programs[*key].escrow_covers(lead.term, begin)
    }

    /// Grants a turn from the escrow and proposes its begin.
    pub(super) fn grant_early(
        &mut self,
        now: Time,
        waiter: &CallWaiter,
        mut begin: wire::Begin,
        out: &mut Vec<Effect>,
    ) {
        let token = waiter.token;
        let name = waiter.request.name.clone();
        begin.escrowed = true;
        out.push(Effect::Reply { token, reply: early_grant(&self.state, &begin) });
        let dispatch = CompactString::from(&begin.dispatch);
        let early = EarlyGrant {
            name: name.clone(),
            key: waiter.request.key.clone(),
            holder: waiter.from,
            boot_id: waiter.request.boot_id,
            ended: None,
            settles: vec![],
        };
        self.early_grants.insert(dispatch.clone(), early);
        self.pending_programs.insert(name);
        self.propose(now, EntryBody::Begin(begin), PendingProposal::EarlyBegin(dispatch), out);
    }

    /// Keeps an outcome whose begin is not applied yet; returns any other.
    pub(super) fn defer_settle(
        &mut self,
        token: RequestToken,
        from: VmId,
        settle: wire::Settle,
    ) -> Option<wire::Settle> {
        let Some(early) = self.early_grants.get_mut(settle.dispatch.as_str()) else {
            return Some(settle);
        };
        early.settles.push(DeferredSettle { token, from, settle });
        None
    }

    /// Proposes the outcomes, and the loss of the holder, that waited for a dispatch's begin.
    pub(super) fn early_applied(&mut self, now: Time, dispatch: &str, out: &mut Vec<Effect>) {
        let Some(early) = self.early_grants.remove(dispatch) else { return };
        self.pending_programs.remove(&early.name);
        for DeferredSettle { token, from, settle } in early.settles {
            self.settle(now, token, from, settle, out);
        }
        if let Some(ended) = early.ended {
            self.propose_holder_lost(now, ended, out);
        }
    }

    /// Marks the escrow of a program as invalid after the proposal of an early begin failed.
    ///
    /// The dispatch may run although its begin may never be recorded, so the escrow overstates the
    /// remaining budget.
    pub(super) fn early_failed(&mut self, dispatch: &str, out: &mut Vec<Effect>) {
        let Some(early) = self.early_grants.remove(dispatch) else { return };
        self.pending_programs.remove(&early.name);
        self.invalid_escrows.insert(early.name);
        let reply = self.not_leader();
        let replies = early.settles.into_iter().map(|settle| settle.token);
        out.extend(replies.map(|token| Effect::Reply { token, reply: reply.clone() }));
    }

    /// Marks the early grants of an ended process as lost.
    pub(super) fn mark_early_lost(&mut self, ended: EndedHolder) {
        let theirs = self.early_grants.values_mut();
        let theirs = theirs.filter(|early| ended.matches(early.holder, early.boot_id));
        theirs.for_each(|early| early.ended = Some(ended));
    }

    /// Removes all early grants and returns the requests whose outcomes waited for them.
    pub(super) fn clear_early_grants(&mut self) -> Vec<RequestToken> {
        self.invalid_escrows.clear();
        let settles = self.early_grants.drain().flat_map(|(_, early)| early.settles);
        settles.map(|settle| settle.token).collect()
    }

    /// Proposes to close the escrows that are no longer useful.
    pub(super) fn close_escrows(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        let programs = self.state.programs.values();
        let mut names: Vec<QualifiedName> = programs
            .filter(|program| self.should_close_escrow(program, now_ms))
            .map(|program| program.name.clone())
            .collect();
        names.sort();
        for name in names {
            let spent = self.invalid_escrows.contains(&name);
            let close = wire::CloseEscrow { program: Some(name.to_wire()), spent };
            self.pending_programs.insert(name.clone());
            self.propose(
                now,
                EntryBody::CloseEscrow(close),
                PendingProposal::CloseEscrow(name),
                out,
            );
        }
    }

    /// Returns whether to close a program's escrow: the program has ended, the escrow is invalid,
    /// or the program is idle and shares its budget with a parent or children.
    fn should_close_escrow(&self, program: &Program, now_ms: u64) -> bool {
        let busy = self.pending_programs.contains(&program.name) || !program.running.is_empty();
        if program.escrow.is_none() || busy {
            return false;
        }
        let family = program.parent.is_some() || !program.children.is_empty();
        let idle = now_ms >= program.active_ms.saturating_add(self.settings.escrow_ms);
        let invalid = self.invalid_escrows.contains(&program.name);
        program.ended.is_some() || invalid || (family && idle)
    }
}
