//! Turns granted out of an escrow, before their begin is committed.
//!
//! Only the leader that holds the escrow does this, only for calls that may be repeated, and only
//! while nothing else of the program is under way. See docs/design/budget.md.

use super::escrow::asked;
use super::interface::{Effect, RequestToken};
use super::proposals::Pending;
use super::replies::early_grant;
use super::sequencer::{Sequencer, Ticket};
use super::state::{Name, Program};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::entry::Body as EntryBody;

/// A dispatch that is granted while its begin is on its way through the log.
#[derive(Debug)]
pub(super) struct Early {
    pub(super) name: Name,
    pub(super) key: CompactString,
    holder: VmId,
    /// The holder was declared dead meanwhile.
    lost: bool,
    /// Outcomes that overtook the begin.
    settles: Vec<EarlySettle>,
}

/// An outcome that waits until its dispatch is known.
#[derive(Debug)]
struct EarlySettle {
    token: RequestToken,
    from: VmId,
    settle: wire::Settle,
}

impl Sequencer {
    /// Sets what to reserve ahead when the begin waits for its commit.
    pub(super) fn set_ahead(&self, begin: &mut wire::Begin) {
        let turns = self.settings.escrow_turns;
        if turns > 0 && begin.turn > 0 {
            begin.ahead = Some(asked(begin).times(turns).to_record());
        }
    }

    /// Tells whether a turn may be granted at once.
    pub(super) fn may_grant_early(&self, now: Time, ticket: &Ticket, begin: &wire::Begin) -> bool {
        let Some(lead) = self.lead else { return false };
        let Some(key) = self.state.names.get(&ticket.asked.name) else { return false };
        if self.settings.escrow_turns == 0 || begin.turn == 0 {
            return false;
        }
        let suspect = self.is_suspect(begin);
        let due = self.state.deadline_ms(*key).is_some_and(|due| due <= self.now_ms(now));
        // The late answer of a lost attempt may be in the log already, and would take the turn.
        let sound = !self.tainted.contains(&ticket.asked.name)
            && !self.state.has_doubtful_turn(*key, begin.turn);
        sound && !suspect && !due && self.state.programs[*key].escrow_covers(lead.term, begin)
    }

    /// Grants a turn out of the escrow and proposes its begin.
    pub(super) fn grant_early(
        &mut self,
        now: Time,
        ticket: &Ticket,
        mut begin: wire::Begin,
        out: &mut Vec<Effect>,
    ) {
        let token = ticket.token;
        let name = ticket.asked.name.clone();
        begin.escrowed = true;
        out.push(Effect::Reply { token, reply: early_grant(&self.state, &begin) });
        let dispatch = CompactString::from(&begin.dispatch);
        let holder = ticket.from;
        let key = ticket.asked.key.clone();
        let early = Early { name: name.clone(), key, holder, lost: false, settles: vec![] };
        self.early.insert(dispatch.clone(), early);
        self.busy.insert(name);
        self.propose(now, EntryBody::Begin(begin), Pending::Early(dispatch), out);
    }

    /// Keeps an outcome that came before its begin was applied; hands any other back.
    pub(super) fn hold_settle(
        &mut self,
        token: RequestToken,
        from: VmId,
        settle: wire::Settle,
    ) -> Option<wire::Settle> {
        let Some(early) = self.early.get_mut(settle.dispatch.as_str()) else {
            return Some(settle);
        };
        early.settles.push(EarlySettle { token, from, settle });
        None
    }

    /// Goes on with what waited for the begin of a dispatch.
    pub(super) fn early_applied(&mut self, now: Time, dispatch: &str, out: &mut Vec<Effect>) {
        let Some(early) = self.early.remove(dispatch) else { return };
        self.busy.remove(&early.name);
        for EarlySettle { token, from, settle } in early.settles {
            self.settle(now, token, from, settle, out);
        }
        if early.lost {
            self.lose_held(now, early.holder, out);
        }
    }

    /// Gives up on the escrow of a program whose early begin failed.
    ///
    /// The grant is out and no record of it will be: what is left of the escrow no longer says
    /// what is left of the budget.
    pub(super) fn early_failed(&mut self, dispatch: &str, out: &mut Vec<Effect>) {
        let Some(early) = self.early.remove(dispatch) else { return };
        self.busy.remove(&early.name);
        self.tainted.insert(early.name);
        let reply = self.not_leader();
        let replies = early.settles.into_iter().map(|settle| settle.token);
        out.extend(replies.map(|token| Effect::Reply { token, reply: reply.clone() }));
    }

    /// Notes that the holder of an early grant died.
    pub(super) fn early_lost(&mut self, vm: VmId) {
        let theirs = self.early.values_mut().filter(|early| early.holder == vm);
        theirs.for_each(|early| early.lost = true);
    }

    /// Forgets all early grants and returns the settles that wait for them.
    pub(super) fn drop_early(&mut self) -> Vec<RequestToken> {
        self.tainted.clear();
        let settles = self.early.drain().flat_map(|(_, early)| early.settles);
        settles.map(|settle| settle.token).collect()
    }

    /// Proposes to close the escrows that serve nobody any more.
    pub(super) fn close_escrows(&mut self, now: Time, out: &mut Vec<Effect>) {
        let now_ms = self.now_ms(now);
        let programs = self.state.programs.values();
        let mut names: Vec<Name> = programs
            .filter(|program| self.is_escrow_over(program, now_ms))
            .map(|program| program.name.clone())
            .collect();
        names.sort();
        for name in names {
            let spent = self.tainted.contains(&name);
            let close = wire::CloseEscrow { program: Some(name.to_ref()), spent };
            self.busy.insert(name.clone());
            self.propose(now, EntryBody::CloseEscrow(close), Pending::Close(name), out);
        }
    }

    /// An escrow is over with its program, when it is tainted, or when its family may need it.
    fn is_escrow_over(&self, program: &Program, now_ms: u64) -> bool {
        let busy = self.busy.contains(&program.name) || !program.running.is_empty();
        if program.escrow.is_none() || busy {
            return false;
        }
        let family = program.parent.is_some() || !program.children.is_empty();
        let idle = now_ms >= program.active_ms.saturating_add(self.settings.escrow_ms);
        let tainted = self.tainted.contains(&program.name);
        program.ended.is_some() || tainted || (family && idle)
    }
}
