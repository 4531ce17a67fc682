//! Decides whether to answer, propose or park a request to run a call.
//!
//! Answers are based on committed state; a proposal is checked again when it is applied. A known
//! idempotency key is checked first: a refusal tells the caller that the call did not run, which
//! may be wrong for a known key.

use bytes::Bytes;

use super::call_request::CallRequest;
use super::interface::Effect;
use super::messages::{answer_message, canonical, compare_history, message_hash};
use super::parked_requests::QueueKey;
use super::proposals::PendingProposal;
use super::replies::{early_grant, grant, recorded, refusal, unknown};
use super::sequencer::{CallWaiter, Sequencer};
use super::state::{Attempt, CallKey, Phase, Program, QualifiedName};
use crate::prelude::*;
use crate::wire::common::Outcome;
use crate::wire::program as wire;
use crate::wire::program::{Refusal, Reply};

/// Next step for a request.
enum Decision {
    Answer(Reply),
    Propose(Box<wire::Begin>),
    Park(QueueKey),
}

/// State of a request's idempotency key.
enum KeyStatus {
    /// The key is new, or its call may be granted another attempt.
    Grantable,
    Answer(Reply),
    Running,
}

impl Sequencer {
    /// Answers, proposes or parks a request.
    pub(super) fn admit(&mut self, now: Time, mut waiter: CallWaiter, out: &mut Vec<Effect>) {
        let token = waiter.token;
        match self.decide(now, &waiter) {
            Decision::Answer(reply) => out.push(Effect::Reply { token, reply }),
            Decision::Propose(mut begin) => {
                begin.dispatch = self.next_dispatch().to_string();
                if self.may_grant_early(now, &waiter, &begin) {
                    return self.grant_early(now, &waiter, *begin, out);
                }
                if !self.settings.safeguards.intent_first {
                    out.push(Effect::Reply { token, reply: early_grant(&self.state, &begin) });
                }
                self.set_ahead(&mut begin);
                waiter.isolate = self.is_suspect(&begin);
                self.propose_begin(now, Box::new(waiter), *begin, out);
            }
            Decision::Park(queue) => {
                if let Err(waiter) = self.parked.park(queue, waiter, &self.settings) {
                    let detail = "too many requests are waiting: try again later";
                    let reply = self.final_reply(&waiter, Refusal::Overloaded, detail);
                    out.push(Effect::Reply { token, reply });
                }
            }
        }
    }

    /// Builds the reply for a request that is given up.
    ///
    /// If another request runs the call under the same key, the outcome is reported as unknown: a
    /// refusal would say that the call did not run.
    pub(super) fn final_reply(&self, waiter: &CallWaiter, code: Refusal, detail: &str) -> Reply {
        let known = self.state.find_call(&waiter.request.name, &waiter.request.key);
        match known.map(|call| &self.state.calls[call]) {
            Some(call) if matches!(call.phase, Phase::Running(_)) => {
                unknown(call, "the call is still under way: ask again under the same key")
            }
            _ if self.is_proposed(&waiter.request) => super::replies::unknown_proposed(
                "the call is about to run: ask again under the same key",
            ),
            _ => refusal(code, detail),
        }
    }

    /// Returns whether a begin under the same key is proposed and not yet committed.
    fn is_proposed(&self, request: &CallRequest) -> bool {
        let same = |name: &QualifiedName, key: &CompactString| {
            *name == request.name && *key == request.key
        };
        let early = self.early_grants.values().any(|early| same(&early.name, &early.key));
        let mut pending = self.pending.values();
        early
            || pending.any(|pending| match pending {
                PendingProposal::Begin(waiter) => same(&waiter.request.name, &waiter.request.key),
                _ => false,
            })
    }

    fn decide(&self, now: Time, waiter: &CallWaiter) -> Decision {
        let request = &waiter.request;
        if !self.leader_state.is_some_and(|lead| lead.ready) {
            return Decision::Park(QueueKey::LeaderReady);
        }
        let known = self.state.find_call(&request.name, &request.key);
        match known.map_or(KeyStatus::Grantable, |call| self.key_status(call, waiter)) {
            KeyStatus::Answer(reply) => return Decision::Answer(reply),
            KeyStatus::Running => return Decision::Park(QueueKey::Program(request.name.clone())),
            KeyStatus::Grantable => {}
        }
        if let Some(reply) = self.check_request(now, waiter) {
            return Decision::Answer(reply);
        }
        if self.pending_programs.contains(&request.name) {
            return Decision::Park(QueueKey::Program(request.name.clone()));
        }
        match self.state.find(&request.name) {
            Some(program) => self.decide_for_program(now, waiter, program, known),
            None => self.decide_turn(now, waiter, None),
        }
    }

    fn key_status(&self, key: CallKey, waiter: &CallWaiter) -> KeyStatus {
        let call = &self.state.calls[key];
        let bound = self.settings.safeguards.bind_content;
        if bound && call.content != waiter.request.content {
            let detail = "the key was used for another request: take a new key";
            return KeyStatus::Answer(refusal(Refusal::KeyReused, detail));
        }
        match &call.phase {
            Phase::Ran { answer, status } => {
                KeyStatus::Answer(recorded(answer, *status, call.turn))
            }
            // The holder repeats the request that was granted, so the reply was lost. Parking the
            // repeat would make the holder wait for itself.
            Phase::Running(attempt)
                if attempt.matches(waiter) && !self.withdrawn.contains(&call.dispatch) =>
            {
                grant(&self.state, key).map_or(KeyStatus::Running, KeyStatus::Answer)
            }
            Phase::Running(_) => KeyStatus::Running,
            Phase::InDoubt(_) if !call.repeatable && self.settings.safeguards.doubt_final => {
                KeyStatus::Answer(unknown(call, "the call may have run and will not be run again"))
            }
            Phase::InDoubt(_) | Phase::NotRun => KeyStatus::Grantable,
        }
    }

    fn check_request(&self, now: Time, waiter: &CallWaiter) -> Option<Reply> {
        if waiter.deadline_ms <= self.now_ms(now) {
            return Some(refusal(Refusal::DeadlinePassed, "the caller's deadline has passed"));
        }
        if waiter.request.revision < self.revision {
            let detail = format!("revision {} is in force", self.revision);
            return Some(refusal(Refusal::StaleRevision, detail));
        }
        None
    }

    fn decide_for_program(
        &self,
        now: Time,
        waiter: &CallWaiter,
        program: &Program,
        known: Option<CallKey>,
    ) -> Decision {
        if let Some(ended) = program.ended {
            let detail = format!("the program has ended: {}", ended.reason.as_str_name());
            return Decision::Answer(refusal(Refusal::ProgramEnded, detail));
        }
        if known.is_none() && program.calls.len() >= self.settings.program_keys {
            return Decision::Answer(refusal(
                Refusal::TooLarge,
                "the program has reached its limit of idempotency keys",
            ));
        }
        let others = program.running.iter().any(|running| Some(*running) != known);
        if self.settings.safeguards.serial_calls && others {
            return Decision::Park(QueueKey::Program(waiter.request.name.clone()));
        }
        self.decide_turn(now, waiter, Some(program))
    }

    fn decide_turn(&self, now: Time, waiter: &CallWaiter, program: Option<&Program>) -> Decision {
        let request = &waiter.request;
        let stored = program.map_or(&[][..], |program| program.history.hashes());
        let Some(model) = &request.model else {
            return self.decide_by_score(now, waiter, begin_entry(waiter), stored, 0);
        };
        let next = program.map_or(0, |program| program.history.turns()) + 1;
        if model.turn > next {
            return Decision::Park(QueueKey::Program(request.name.clone()));
        }
        if model.turn > 0 && model.turn < next {
            let detail = format!("turn {} is done: the next is {next}", model.turn);
            return Decision::Answer(refusal(Refusal::TurnOutOfOrder, detail));
        }
        let skip = match compare_history(stored, &model.prompt) {
            Ok(skip) => skip,
            Err(conflict) => {
                return Decision::Answer(refusal(Refusal::HistoryConflict, conflict));
            }
        };
        let messages = model.prompt.joined(skip);
        let bytes = program.map_or(0, |program| program.history.len()) + messages.len();
        if bytes > self.settings.history_bytes {
            return Decision::Answer(refusal(
                Refusal::TooLarge,
                "the history exceeds its size limit",
            ));
        }
        let mut begin = begin_entry(waiter);
        begin.turn = next;
        begin.messages = messages;
        begin.hashes = model.prompt.hash_bytes(skip);
        begin.max_output = model.max_output;
        begin.prompt_tokens = match model.prompt_tokens {
            0 => bytes as u64,
            bound => bound,
        };
        self.decide_by_score(now, waiter, begin, stored, skip)
    }

    fn decide_by_score(
        &self,
        now: Time,
        waiter: &CallWaiter,
        mut begin: wire::Begin,
        stored: &[[u8; 16]],
        skip: usize,
    ) -> Decision {
        let digest = waiter.request.crash_digest(stored, skip);
        if self.state.scores.get(&digest).quarantined {
            let detail = format!(
                "this request crashed the endpoints that ran it: change it, or ask the operators \
                 to lift quarantine {} in the next bundle",
                hex::encode(digest)
            );
            return Decision::Answer(refusal(Refusal::Quarantined, detail));
        }
        let duplicate = self.state.in_flight.contains_key(&digest);
        let isolate = self.settings.safeguards.isolate_suspects;
        if isolate && duplicate && self.state.scores.is_suspect(&digest) {
            return Decision::Park(QueueKey::Suspect(digest));
        }
        if isolate && self.state.scores.is_suspect(&digest) {
            // One crash can make many requests suspect. Isolating all of them at once would take
            // too many engines from other requests.
            if self.isolated() >= self.settings.isolated {
                return Decision::Park(QueueKey::Isolation);
            }
        }
        begin.digest = Bytes::copy_from_slice(&digest);
        begin.expires_ms = self.expiry_ms(now, &waiter.request);
        Decision::Propose(Box::new(begin))
    }

    /// Returns the number of suspects that run isolated or are proposed to.
    pub(super) fn isolated(&self) -> usize {
        let proposed = self.pending.values().filter(|pending| match pending {
            PendingProposal::Begin(waiter) => waiter.isolate,
            _ => false,
        });
        self.state.isolated + proposed.count()
    }

    pub(super) fn is_suspect(&self, begin: &wire::Begin) -> bool {
        let digest = super::quarantine::read_digest(&begin.digest);
        digest.is_some_and(|digest| self.state.scores.is_suspect(&digest))
    }

    /// Returns the group time at which a grant without an outcome counts as lost.
    fn expiry_ms(&self, now: Time, request: &CallRequest) -> u64 {
        let run_ms = match request.timeout_ms {
            0 => self.settings.dispatch_ms,
            millis => millis,
        };
        self.now_ms(now).saturating_add(run_ms).saturating_add(self.settings.grace_ms)
    }

    /// Builds the log entry that records an outcome.
    pub(super) fn settled_entry(&mut self, from: VmId, settle: wire::Settle) -> wire::Settled {
        let crashed = self.crash_shares(&settle);
        let name = QualifiedName::from_wire(settle.program.as_ref());
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
    fn matches(&self, waiter: &CallWaiter) -> bool {
        let same = self.nonce == waiter.request.nonce && self.holder == waiter.from;
        same && !self.nonce.is_empty()
    }
}

/// Builds a begin with the fields that model calls and service calls have in common.
fn begin_entry(waiter: &CallWaiter) -> wire::Begin {
    let request = &waiter.request;
    wire::Begin {
        program: Some(request.name.to_wire()),
        key: request.key.to_string(),
        content: Bytes::copy_from_slice(&request.content),
        holder: waiter.from.0,
        repeatable: request.repeatable,
        parent: request.parent.to_string(),
        budget: Some(request.budget),
        max_micros: request.max_micros,
        idle_ms: request.idle_ms,
        nonce: request.nonce.to_string(),
        boot_id: request.boot_id,
        ..wire::Begin::default()
    }
}
