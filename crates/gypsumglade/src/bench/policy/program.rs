//! The programs' side of a run: turns, pauses, sub-agents and ends.

use std::cmp::Reverse;

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::priority::Attained;
use gypsumglade_core::policy::retention::{Retention, RetentionRequest};
use gypsumglade_core::policy::route::LastRun;
use gypsumglade_core::prelude::*;

use super::PREFILL_RATE;
use super::engine::{Hold, Job};
use super::run::{Call, Event, PATIENCE, Run, org};
use super::workload::{Plan, tool_name};

/// A program and how far it has come.
pub(super) struct Program {
    pub(super) plan: Plan,
    pub(super) parent: Option<usize>,
    pub(super) children: usize,
    pub(super) paused: bool,
    pub(super) turn: usize,
    pub(super) history: u64,
    pub(super) last: Vec<LastRun>,
    pub(super) attained: Attained,
    pub(super) started: Time,
    pub(super) call: usize,
    pub(super) over: bool,
}

impl Run<'_> {
    /// A program's pause is over, or its first call comes.
    pub(super) fn ready(&mut self, id: usize) {
        let program = &mut self.programs[id];
        if std::mem::replace(&mut program.paused, false) {
            let turn = &program.plan.turns[program.turn - 1];
            self.retain.record(tool_name(turn.tool), turn.pause);
        }
        if program.over || program.children > 0 {
            return;
        }
        if program.turn == 0 {
            program.started = self.now;
        }
        let turn = &program.plan.turns[program.turn];
        let job = Job {
            call: self.calls.len(),
            program: id as u64,
            prompt: program.history + turn.input,
            prior: program.history,
            output: turn.output,
        };
        program.call = job.call;
        let org = org(&program.plan);
        let last = program.last.first().map(|run| run.endpoint.clone());
        let urgent = program.plan.class == Class::Urgent;
        self.calls.push(Call {
            program: id,
            engine: None,
            dispatch: None,
            ticket: None,
            job,
            asked: self.now,
            sent: self.now,
            attempts: 0,
            over: false,
            runs: false,
        });
        self.push(self.now + PATIENCE[usize::from(urgent)], Event::GiveUp(job.call));
        self.retries.record_call(&org);
        self.need(id, last);
        self.offer(job.call);
    }

    /// Tells the program's engine that the pause is over, so that it holds the prefix.
    fn need(&mut self, id: usize, last: Option<EndpointName>) {
        if !self.strategy.parts().is_some_and(|parts| parts.retain) {
            return;
        }
        if let Some(machine) =
            self.machines.iter_mut().find(|machine| Some(&machine.name) == last.as_ref())
        {
            machine.engine.mark(id as u64, Hold::Needed);
        }
    }

    pub(super) fn end_turn(&mut self, call: usize, machine: usize) {
        let (id, job, sent) =
            (self.calls[call].program, self.calls[call].job, self.calls[call].sent);
        let name = self.machines[machine].name.clone();
        let program = &mut self.programs[id];
        program.history = job.prompt + job.output;
        program.attained.service += self.now.since(sent).as_secs_f64();
        program.attained.turns += 1;
        program.last.retain(|run| run.endpoint != name);
        let run = LastRun { endpoint: name, tokens: program.history, at: self.now };
        program.last.insert(0, run);
        program.last.truncate(4);
        program.turn += 1;
        if program.turn == program.plan.turns.len() {
            return self.end(id, true);
        }
        self.pause(id, machine);
    }

    fn pause(&mut self, id: usize, machine: usize) {
        let program = &mut self.programs[id];
        program.paused = true;
        let turn = &program.plan.turns[program.turn - 1];
        let (tool, pause) = (turn.tool, turn.pause);
        let children: Vec<Plan> =
            turn.children.iter().filter(|c| !c.turns.is_empty()).cloned().collect();
        program.children = children.len();
        let tokens = program.history;
        for plan in children {
            let child = self.add(plan, Some(id));
            self.push(self.now, Event::Ready(child));
        }
        self.push(self.now + pause, Event::Ready(id));
        if !self.strategy.parts().is_some_and(|parts| parts.retain) {
            return;
        }
        let held = self.machines[machine].engine.load().2;
        let ask = RetentionRequest {
            tool: tool_name(tool).into(),
            paused: Duration::ZERO,
            tokens,
            prefill_rate: PREFILL_RATE,
            pressure: held as f64 / self.fleet.cache_tokens as f64,
            move_time: None,
        };
        let hold = match self.retain.decide(self.now, &ask) {
            Retention::Keep { until } => Hold::Until(Reverse(until)),
            Retention::Drop | Retention::Move => Hold::Dropped,
        };
        self.machines[machine].engine.mark(id as u64, hold);
    }

    pub(super) fn end(&mut self, id: usize, whole: bool) {
        if std::mem::replace(&mut self.programs[id].over, true) {
            return;
        }
        if self.strategy.parts().is_some_and(|parts| parts.free) {
            for machine in &mut self.machines {
                machine.engine.free(id as u64);
            }
        }
        let program = &self.programs[id];
        let Some(parent) = program.parent else {
            let work = program.plan.work(self.fleet);
            self.tally.ended(&program.plan, program.started, self.now, whole, work);
            return;
        };
        if !whole {
            return self.end(parent, false);
        }
        let parent_state = &mut self.programs[parent];
        parent_state.children -= 1;
        if parent_state.children == 0 && !parent_state.paused {
            self.ready(parent);
        }
    }
}
