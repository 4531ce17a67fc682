//! Decides what becomes of a request to run a call: answer, propose or park.
//!
//! All answers here come from committed state; a proposal is looked at again when it is applied.
//! What is known of the key goes before every other reason to refuse, for a refusal says that the
//! call was not run, and the call behind a known key may have been.

use bytes::Bytes;

use super::asked::Asked;
use super::interface::Effect;
use super::messages::{answer_message, canonical, compare_history, message_hash};
use super::parking::Queue;
use super::proposals::Pending;
use super::replies::{early_grant, grant, recorded, refusal, unknown};
use super::sequencer::{Sequencer, Ticket};
use super::state::{Attempt, CallKey, Name, Phase, Program};
use crate::prelude::*;
use crate::wire::common::Outcome;
use crate::wire::program as wire;
use crate::wire::program::{Refusal, Reply};

/// What becomes of a request now.
enum Verdict {
    Answer(Reply),
    Propose(Box<wire::Begin>),
    Park(Queue),
}

/// What is known of a request's key.
enum Known {
    /// Nothing, or that the call may be granted.
    Free,
    Answer(Reply),
    Running,
}

impl Sequencer {
    /// Answers, proposes or parks a request.
    pub(super) fn admit(&mut self, now: Time, mut ticket: Ticket, out: &mut Vec<Effect>) {
        let token = ticket.token;
        match self.consider(now, &ticket) {
            Verdict::Answer(reply) => out.push(Effect::Reply { token, reply }),
            Verdict::Propose(mut begin) => {
                begin.dispatch = self.next_dispatch().to_string();
                if self.may_grant_early(now, &ticket, &begin) {
                    return self.grant_early(now, &ticket, *begin, out);
                }
                if !self.settings.safeguards.intent_first {
                    out.push(Effect::Reply { token, reply: early_grant(&self.state, &begin) });
                }
                self.set_ahead(&mut begin);
                ticket.isolate = self.is_suspect(&begin);
                self.propose_begin(now, Box::new(ticket), *begin, out);
            }
            Verdict::Park(queue) => {
                if let Err(ticket) = self.parking.park(queue, ticket, &self.settings) {
                    let detail = "too many requests wait for this program: try again later";
                    let reply = self.give_up(&ticket, Refusal::Overloaded, detail);
                    out.push(Effect::Reply { token, reply });
                }
            }
        }
    }

    /// Builds the final answer for a request that will not be looked at again.
    ///
    /// One that joined a call under way must not be told that its call was not run.
    pub(super) fn give_up(&self, ticket: &Ticket, code: Refusal, detail: &str) -> Reply {
        let known = self.state.find_call(&ticket.asked.name, &ticket.asked.key);
        match known.map(|call| &self.state.calls[call]) {
            Some(call) if matches!(call.phase, Phase::Running(_)) => {
                unknown(call, "the call is still under way: ask again under the same key")
            }
            _ if self.is_proposed(&ticket.asked) => {
                super::replies::unknown_proposed("the call is about to run: ask again")
            }
            _ => refusal(code, detail),
        }
    }

    /// Tells whether another request under the same key is on its way through the log.
    fn is_proposed(&self, asked: &Asked) -> bool {
        let same = |name: &Name, key: &CompactString| *name == asked.name && *key == asked.key;
        let early = self.early.values().any(|early| same(&early.name, &early.key));
        let mut pending = self.pending.values();
        early
            || pending.any(|pending| match pending {
                Pending::Begin(ticket) => same(&ticket.asked.name, &ticket.asked.key),
                _ => false,
            })
    }

    fn consider(&self, now: Time, ticket: &Ticket) -> Verdict {
        let asked = &ticket.asked;
        if !self.lead.is_some_and(|lead| lead.ready) {
            return Verdict::Park(Queue::Ready);
        }
        let known = self.state.find_call(&asked.name, &asked.key);
        match known.map_or(Known::Free, |call| self.consider_key(call, ticket)) {
            Known::Answer(reply) => return Verdict::Answer(reply),
            Known::Running => return Verdict::Park(Queue::Program(asked.name.clone())),
            Known::Free => {}
        }
        if let Some(reply) = self.consider_ticket(now, ticket) {
            return Verdict::Answer(reply);
        }
        if self.busy.contains(&asked.name) {
            return Verdict::Park(Queue::Program(asked.name.clone()));
        }
        match self.state.find(&asked.name) {
            Some(program) => self.consider_program(now, ticket, program, known),
            None => self.consider_turn(now, ticket, None),
        }
    }

    fn consider_key(&self, key: CallKey, ticket: &Ticket) -> Known {
        let call = &self.state.calls[key];
        let bound = self.settings.safeguards.bind_content;
        if bound && call.content != ticket.asked.content {
            let detail = "the key was used for another request: take a new key";
            return Known::Answer(refusal(Refusal::KeyReused, detail));
        }
        match &call.phase {
            Phase::Ran { answer, status } => Known::Answer(recorded(answer, *status, call.turn)),
            // The very ask that was granted comes again from its holder: the grant was lost on
            // the way, and waiting for it would make the holder wait for itself.
            Phase::Running(attempt)
                if attempt.is_for(ticket) && !self.withdrawn.contains(&call.dispatch) =>
            {
                grant(&self.state, key).map_or(Known::Running, Known::Answer)
            }
            Phase::Running(_) => Known::Running,
            Phase::InDoubt(_) if !call.repeatable && self.settings.safeguards.doubt_final => {
                Known::Answer(unknown(call, "the call may have run and will not be run again"))
            }
            Phase::InDoubt(_) | Phase::NotRun => Known::Free,
        }
    }

    fn consider_ticket(&self, now: Time, ticket: &Ticket) -> Option<Reply> {
        if ticket.until_ms <= self.now_ms(now) {
            return Some(refusal(Refusal::DeadlinePassed, "the caller's deadline has passed"));
        }
        if ticket.asked.revision < self.revision {
            let detail = format!("revision {} is in force", self.revision);
            return Some(refusal(Refusal::StaleRevision, detail));
        }
        None
    }

    fn consider_program(
        &self,
        now: Time,
        ticket: &Ticket,
        program: &Program,
        known: Option<CallKey>,
    ) -> Verdict {
        if let Some(ended) = program.ended {
            let detail = format!("the program has ended: {}", ended.reason.as_str_name());
            return Verdict::Answer(refusal(Refusal::ProgramEnded, detail));
        }
        if known.is_none() && program.calls.len() >= self.settings.program_keys {
            return Verdict::Answer(refusal(Refusal::TooLarge, "the program has too many keys"));
        }
        let others = program.running.iter().any(|running| Some(*running) != known);
        if self.settings.safeguards.serial_calls && others {
            return Verdict::Park(Queue::Program(ticket.asked.name.clone()));
        }
        self.consider_turn(now, ticket, Some(program))
    }

    fn consider_turn(&self, now: Time, ticket: &Ticket, program: Option<&Program>) -> Verdict {
        let asked = &ticket.asked;
        let stored = program.map_or(&[][..], |program| program.history.hashes());
        let Some(model) = &asked.model else {
            return self.consider_crashes(now, ticket, begin_entry(ticket), stored, 0);
        };
        let next = program.map_or(0, |program| program.history.turns()) + 1;
        if model.turn > next {
            return Verdict::Park(Queue::Program(asked.name.clone()));
        }
        if model.turn > 0 && model.turn < next {
            let detail = format!("turn {} is done: the next is {next}", model.turn);
            return Verdict::Answer(refusal(Refusal::TurnOutOfOrder, detail));
        }
        let known = match compare_history(stored, &model.prompt) {
            Ok(known) => known,
            Err(conflict) => {
                return Verdict::Answer(refusal(Refusal::HistoryConflict, conflict));
            }
        };
        let messages = model.prompt.joined(known);
        let bytes = program.map_or(0, |program| program.history.len()) + messages.len();
        if bytes > self.settings.history_bytes {
            return Verdict::Answer(refusal(Refusal::TooLarge, "the history is too large"));
        }
        let mut begin = begin_entry(ticket);
        begin.turn = next;
        begin.messages = messages;
        begin.hashes = model.prompt.hash_bytes(known);
        begin.max_output = model.max_output;
        begin.prompt_tokens = match model.prompt_tokens {
            0 => bytes as u64,
            bound => bound,
        };
        self.consider_crashes(now, ticket, begin, stored, known)
    }

    fn consider_crashes(
        &self,
        now: Time,
        ticket: &Ticket,
        mut begin: wire::Begin,
        stored: &[[u8; 16]],
        known: usize,
    ) -> Verdict {
        let digest = ticket.asked.crash_digest(stored, known);
        if self.state.scores.get(&digest).quarantined {
            let detail = format!(
                "this request crashed the endpoints that ran it: change it, or ask the operators \
                 to lift quarantine {} in the next bundle",
                hex::encode(digest)
            );
            return Verdict::Answer(refusal(Refusal::Quarantined, detail));
        }
        let beside = self.state.flights.contains_key(&digest);
        let isolate = self.settings.safeguards.isolate_suspects;
        if isolate && beside && self.state.scores.is_suspect(&digest) {
            return Verdict::Park(Queue::Suspect(digest));
        }
        if isolate && self.state.scores.is_suspect(&digest) {
            // Many requests share an engine when it dies. Run alone all at once, they would take
            // as many engines, and the fleet would stand still for its suspects.
            if self.isolated() >= self.settings.isolated {
                return Verdict::Park(Queue::Isolation);
            }
        }
        begin.digest = Bytes::copy_from_slice(&digest);
        begin.expires_ms = self.expiry_ms(now, &ticket.asked);
        Verdict::Propose(Box::new(begin))
    }

    /// Returns how many suspects run alone, or are about to.
    pub(super) fn isolated(&self) -> usize {
        let proposed = self.pending.values().filter(|pending| match pending {
            Pending::Begin(ticket) => ticket.isolate,
            _ => false,
        });
        self.state.isolated + proposed.count()
    }

    pub(super) fn is_suspect(&self, begin: &wire::Begin) -> bool {
        let digest = super::quarantine::read_digest(&begin.digest);
        digest.is_some_and(|digest| self.state.scores.is_suspect(&digest))
    }

    /// Returns the group time from which a grant without outcome counts as lost.
    fn expiry_ms(&self, now: Time, asked: &Asked) -> u64 {
        let run_ms = match asked.deadline_ms {
            0 => self.settings.dispatch_ms,
            millis => millis,
        };
        self.now_ms(now).saturating_add(run_ms).saturating_add(self.settings.grace_ms)
    }

    /// Builds the entry that records an outcome.
    pub(super) fn settled_entry(&mut self, from: VmId, settle: wire::Settle) -> wire::Settled {
        let crashed = self.crash_shares(&settle);
        let name = Name::of(settle.program.as_ref());
        let turn = self
            .state
            .find_dispatch(&name, &settle.dispatch)
            .is_some_and(|call| self.state.calls[call].turn > 0);
        let answered = turn && settle.outcome() == Outcome::Done && settle.status < 400;
        let message = answered.then(|| answer_message(&settle.answer)).flatten();
        wire::Settled {
            program: settle.program,
            dispatch: settle.dispatch,
            holder: from.0,
            outcome: settle.outcome,
            answer: settle.answer,
            status: settle.status,
            usage: settle.usage,
            endpoint: settle.endpoint,
            message: message.as_ref().map_or(Bytes::new(), canonical),
            hash: message
                .as_ref()
                .map_or(Bytes::new(), |m| Bytes::copy_from_slice(&message_hash(m))),
            crashed,
            inquired: settle.inquired,
        }
    }
}

impl Attempt {
    fn is_for(&self, ticket: &Ticket) -> bool {
        let same = self.nonce == ticket.asked.nonce && self.holder == ticket.from;
        same && !self.nonce.is_empty()
    }
}

/// Fills what every begin has; the rest depends on the kind of call.
fn begin_entry(ticket: &Ticket) -> wire::Begin {
    let asked = &ticket.asked;
    wire::Begin {
        program: Some(asked.name.to_ref()),
        key: asked.key.to_string(),
        content: Bytes::copy_from_slice(&asked.content),
        holder: ticket.from.0,
        repeatable: asked.repeatable,
        parent: asked.parent.to_string(),
        budget: Some(asked.budget),
        max_micros: asked.max_micros,
        idle_ms: asked.idle_ms,
        nonce: asked.nonce.to_string(),
        ..wire::Begin::default()
    }
}
