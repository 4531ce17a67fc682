//! Snapshots of a group's state. Equal states give equal bytes on every replica.

use std::collections::HashMap;

use bytes::Bytes;
use prost::Message;

use super::budget::{Account, Amounts};
use super::escrow::Escrow;
use super::history::History;
use super::quarantine::read_digest;
use super::replies::read_hash;
use super::state::{
    Attempt, Call, CallKey, Ended, Phase, Program, ProgramKey, QualifiedName, State,
};
use crate::prelude::*;
use crate::wire::program as wire;
use crate::wire::program::KeyPhase;

/// Why a snapshot could not be restored.
#[derive(Debug, thiserror::Error)]
pub enum RestoreError {
    /// The bytes are damaged or not a snapshot.
    #[error("the snapshot cannot be read: {0}")]
    Decode(#[from] prost::DecodeError),
    /// A program names a parent that the snapshot does not contain.
    #[error("the snapshot holds program {0} without its parent {1}")]
    Orphan(ProgramName, ProgramName),
}

impl State {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Bytes {
        let mut keys: Vec<ProgramKey> = self.programs.keys().collect();
        keys.sort_by(|a, b| self.programs[*a].name.cmp(&self.programs[*b].name));
        let snapshot = wire::Snapshot {
            clock_ms: self.clock_ms,
            programs: keys.into_iter().map(|key| self.program_record(key)).collect(),
            scores: self.scores.records(),
            lifted: self.lifted_revision,
        };
        Bytes::from(snapshot.encode_to_vec())
    }

    /// Replaces the whole state with a snapshot; on an error the state stays unchanged.
    pub fn restore(&mut self, bytes: &Bytes) -> Result<(), RestoreError> {
        let snapshot = wire::Snapshot::decode(bytes.clone())?;
        let mut fresh = State::with_safeguards(self.safeguards);
        fresh.clock_ms = snapshot.clock_ms;
        fresh.lifted_revision = snapshot.lifted;
        snapshot.scores.iter().for_each(|score| fresh.scores.restore(score));
        for record in &snapshot.programs {
            fresh.insert_program(record);
        }
        fresh.link_parents(&snapshot.programs)?;
        for record in &snapshot.programs {
            fresh.insert_calls(record);
        }
        *self = fresh;
        Ok(())
    }

    fn program_record(&self, key: ProgramKey) -> wire::ProgramRecord {
        let program = &self.programs[key];
        let parent = program.parent.map(|parent| self.programs[parent].name.program.to_string());
        let mut calls: Vec<CallKey> = program.calls.values().copied().collect();
        calls.sort_by(|a, b| self.calls[*a].key.cmp(&self.calls[*b].key));
        wire::ProgramRecord {
            program: Some(program.name.to_wire()),
            parent: parent.unwrap_or_default(),
            budget: Some(program.account.limits),
            spent: Some(program.account.spent.to_record()),
            started_ms: program.started_ms,
            active_ms: program.active_ms,
            idle_ms: program.idle_ms,
            segments: program.history.records(),
            keys: calls.into_iter().map(|call| key_record(&self.calls[call])).collect(),
            endpoints: program.endpoints.iter().map(ToString::to_string).collect(),
            ended: program.ended.is_some(),
            reason: program.ended.map_or(0, |ended| ended.reason.into()),
            ended_ms: program.ended.map_or(0, |ended| ended.at_ms),
            escrow: program.escrow.map(|escrow| wire::Escrow {
                term: escrow.term,
                amounts: Some(escrow.amounts.to_record()),
            }),
        }
    }

    fn insert_program(&mut self, record: &wire::ProgramRecord) {
        let mut history = History::default();
        for segment in &record.segments {
            history.append(segment.messages.clone(), &segment.hashes);
        }
        let ended = record.ended.then(|| Ended { reason: record.reason(), at_ms: record.ended_ms });
        let name = QualifiedName::from_wire(record.program.as_ref());
        let limits = record.budget.unwrap_or_default();
        let spent = Amounts::from_record(record.spent.unwrap_or_default());
        let key = self.programs.insert(Program {
            name: name.clone(),
            parent: None,
            children: vec![],
            account: Account { limits, spent, reserved: Amounts::default() },
            started_ms: record.started_ms,
            active_ms: record.active_ms,
            idle_ms: record.idle_ms,
            history,
            calls: HashMap::with_capacity(record.keys.len()),
            running: vec![],
            endpoints: record.endpoints.iter().map(Into::into).collect(),
            ended,
            escrow: record.escrow.map(|escrow| Escrow {
                term: escrow.term,
                amounts: Amounts::from_record(escrow.amounts.unwrap_or_default()),
            }),
        });
        if ended.is_some() && !record.endpoints.is_empty() {
            self.releasing.insert(key);
        }
        self.names.insert(name, key);
    }

    fn link_parents(&mut self, records: &[wire::ProgramRecord]) -> Result<(), RestoreError> {
        for record in records.iter().filter(|record| !record.parent.is_empty()) {
            let name = QualifiedName::from_wire(record.program.as_ref());
            let parent = QualifiedName { org: name.org.clone(), program: (&record.parent).into() };
            let Some(parent_key) = self.names.get(&parent).copied() else {
                return Err(RestoreError::Orphan(name.program, parent.program));
            };
            let key = self.names[&name];
            self.programs[key].parent = Some(parent_key);
            self.programs[parent_key].children.push(key);
        }
        Ok(())
    }

    fn insert_calls(&mut self, record: &wire::ProgramRecord) {
        let program = self.names[&QualifiedName::from_wire(record.program.as_ref())];
        for key in &record.keys {
            let phase = read_phase(key);
            let call = self.calls.insert(Call {
                program,
                key: (&key.key).into(),
                content: read_hash(&key.content),
                dispatch: (&key.dispatch).into(),
                turn: key.turn,
                attempt: key.attempt,
                repeatable: key.repeatable,
                phase: phase.clone(),
            });
            self.programs[program].calls.insert((&key.key).into(), call);
            if let Phase::Running(attempt) = phase {
                self.resume(program, call, &attempt);
            }
        }
        if let Some(escrow) = self.programs[program].escrow {
            self.add_reserved(program, escrow.amounts);
        }
    }

    /// Rebuilds the derived state of a running attempt, which a snapshot does not contain.
    fn resume(&mut self, program: ProgramKey, call: CallKey, attempt: &Attempt) {
        self.programs[program].running.push(call);
        if self.programs[program].ended.is_some() {
            self.cancelling.insert(program);
        }
        self.add_reserved(program, attempt.reserved);
        self.isolated += usize::from(attempt.isolate);
        if let Some(digest) = attempt.digest {
            *self.in_flight.entry(digest).or_default() += 1;
        }
    }
}

fn key_record(call: &Call) -> wire::KeyRecord {
    let mut record = wire::KeyRecord {
        key: call.key.to_string(),
        content: Bytes::copy_from_slice(&call.content),
        dispatch: call.dispatch.to_string(),
        turn: call.turn,
        attempt: call.attempt,
        repeatable: call.repeatable,
        ..wire::KeyRecord::default()
    };
    let phase = match &call.phase {
        Phase::Running(attempt) => {
            record.open = Some(attempt_record(attempt));
            KeyPhase::Running
        }
        Phase::InDoubt(attempt) => {
            record.open = Some(attempt_record(attempt));
            KeyPhase::InDoubt
        }
        Phase::Ran { answer, status } => {
            record.answer = answer.clone();
            record.status = *status;
            KeyPhase::Ran
        }
        Phase::NotRun => KeyPhase::ProvedNotRun,
    };
    record.phase = phase.into();
    record
}

fn read_phase(record: &wire::KeyRecord) -> Phase {
    let attempt = || Box::new(read_attempt(&record.open.clone().unwrap_or_default()));
    match record.phase() {
        KeyPhase::Running => Phase::Running(attempt()),
        KeyPhase::InDoubt => Phase::InDoubt(attempt()),
        KeyPhase::Ran => Phase::Ran { answer: record.answer.clone(), status: record.status },
        KeyPhase::ProvedNotRun => Phase::NotRun,
    }
}

fn attempt_record(attempt: &Attempt) -> wire::DispatchRecord {
    wire::DispatchRecord {
        holder: attempt.holder.0,
        boot_id: attempt.boot_id,
        nonce: attempt.nonce.to_string(),
        messages: attempt.messages.clone(),
        hashes: attempt.hashes.clone(),
        reserved: Some(attempt.reserved.to_record()),
        max_output: attempt.max_output,
        expires_ms: attempt.expires_ms,
        digest: attempt.digest.map_or(Bytes::new(), |d| Bytes::copy_from_slice(&d)),
        isolate: attempt.isolate,
        term: attempt.term,
        escrowed: attempt.escrowed,
    }
}

fn read_attempt(record: &wire::DispatchRecord) -> Attempt {
    Attempt {
        holder: VmId(record.holder),
        boot_id: record.boot_id,
        nonce: (&record.nonce).into(),
        messages: record.messages.clone(),
        hashes: record.hashes.clone(),
        reserved: Amounts::from_record(record.reserved.unwrap_or_default()),
        max_output: record.max_output,
        expires_ms: record.expires_ms,
        digest: read_digest(&record.digest),
        isolate: record.isolate,
        term: record.term,
        escrowed: record.escrowed,
    }
}
