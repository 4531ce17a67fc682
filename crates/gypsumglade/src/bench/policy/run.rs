//! One run: the core's decisions at one point before fake engines, on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::admission::{
    Admission, AdmissionDecision, AdmissionRequest, AdmissionSettings, Ticket,
};
use gypsumglade_core::policy::priority::{Attained, Priority};
use gypsumglade_core::policy::registry::{
    DispatchKey, DispatchLoad, ModelId, Registry, RegistrySettings,
};
use gypsumglade_core::policy::retention::RetentionPolicy;
use gypsumglade_core::policy::retry::{
    Failure, RetryDecision, RetryPolicy, RetryRequest, RetrySettings,
};
use gypsumglade_core::policy::route::{RouteRequest, RouteSettings, Router, Target};
use gypsumglade_core::prelude::*;

use super::engine::Job;
use super::machine::{Machine, machines};
use super::program::Program;
use super::strategy::{Strategy, choose};
use super::tally::Tally;
use super::workload::Plan;
use super::{Case, END, Fault, Fleet, OUTPUT_GUESS, PREFILL_RATE, REPORT_EVERY, TEXT_BYTES};

/// When a caller gives a turn up: normal and urgent.
pub(super) const PATIENCE: [Duration; 2] = [Duration::from_secs(120), Duration::from_secs(30)];

/// Wait before a baseline tries a failed call again.
const PLAIN_RETRY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Ready(usize),
    First(usize),
    Last(usize),
    GiveUp(usize),
    Report(usize),
    Down(usize),
    Up(usize),
    Freeze(usize, bool),
    Expire,
}

pub(super) struct Call {
    pub(super) program: usize,
    pub(super) engine: Option<usize>,
    pub(super) dispatch: Option<DispatchKey>,
    pub(super) ticket: Option<Ticket>,
    pub(super) job: Job,
    pub(super) asked: Time,
    pub(super) sent: Time,
    pub(super) attempts: u32,
    pub(super) over: bool,
    pub(super) runs: bool,
}

/// The state of a run.
pub struct Run<'a> {
    pub(super) fleet: &'a Fleet,
    pub(super) strategy: Strategy,
    pub(super) now: Time,
    pub(super) events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    pub(super) sequence: u64,
    pub(super) registry: Registry,
    pub(super) router: Router,
    pub(super) admissions: Vec<Admission>,
    pub(super) retain: RetentionPolicy,
    pub(super) retries: RetryPolicy,
    pub(super) machines: Vec<Machine>,
    pub(super) programs: Vec<Program>,
    pub(super) calls: Vec<Call>,
    pub(super) tickets: BTreeMap<(usize, Ticket), usize>,
    pub(super) turn: usize,
    pub(super) tally: Tally,
}

/// Runs one case to its end.
pub fn run(fleet: &Fleet, strategy: Strategy, case: &Case, plans: Vec<Plan>) -> Tally {
    let mut run = Run::new(fleet, strategy, case);
    for plan in plans {
        let at = plan.at;
        let program = run.add(plan, None);
        run.push(at, Event::Ready(program));
    }
    while let Some(Reverse((at, _, event))) = run.events.pop() {
        run.now = at;
        run.step(event);
    }
    run.tally
}

impl<'a> Run<'a> {
    fn new(fleet: &'a Fleet, strategy: Strategy, case: &Case) -> Run<'a> {
        let mut settings = RouteSettings {
            weights: fleet.weights,
            links: fleet.links,
            text_bytes: TEXT_BYTES,
            ..RouteSettings::default()
        };
        if let Some(parts) = strategy.parts() {
            settings.mechanisms = parts.route;
        }
        let mut run = Run {
            fleet,
            strategy,
            now: Time::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            registry: Registry::new(RegistrySettings::default()),
            router: Router::new(settings, case.seed),
            admissions: fleet.pools.iter().map(|count| admission(fleet, *count)).collect(),
            retain: RetentionPolicy::default(),
            retries: RetryPolicy::new(RetrySettings::default(), case.seed),
            machines: machines(fleet),
            programs: Vec::new(),
            calls: Vec::new(),
            tickets: BTreeMap::new(),
            turn: 0,
            tally: Tally::default(),
        };
        for machine in 0..run.machines.len() {
            run.push(Time::ZERO, Event::Report(machine));
        }
        for fault in &case.faults {
            run.plant(*fault);
        }
        run.push(Time::ZERO, Event::Expire);
        run
    }

    fn plant(&mut self, fault: Fault) {
        match fault {
            Fault::Crash { engine, at, back } => {
                self.push(at, Event::Down(engine));
                self.push(back, Event::Up(engine));
            }
            Fault::Frozen { engine, at, back } => {
                self.push(at, Event::Freeze(engine, true));
                self.push(back, Event::Freeze(engine, false));
            }
        }
    }

    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    pub(super) fn add(&mut self, plan: Plan, parent: Option<usize>) -> usize {
        self.programs.push(Program {
            plan,
            parent,
            children: 0,
            paused: false,
            turn: 0,
            history: 0,
            last: Vec::new(),
            attained: Attained::default(),
            started: self.now,
            call: 0,
            over: false,
        });
        self.programs.len() - 1
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Ready(program) => self.ready(program),
            Event::First(call) => self.first(call),
            Event::Last(call) => self.last(call),
            Event::GiveUp(call) => self.give_up(call),
            Event::Report(machine) => self.report(machine),
            Event::Down(machine) => self.down(machine),
            Event::Up(machine) => self.up(machine),
            Event::Freeze(machine, frozen) => self.machines[machine].frozen = frozen,
            Event::Expire => self.expire(),
        }
    }

    pub(super) fn offer(&mut self, call: usize) {
        if !self.strategy.parts().is_some_and(|parts| parts.admission) {
            return self.send(call);
        }
        let program = &self.programs[self.calls[call].program];
        let pool = program.plan.pool;
        let offer = AdmissionRequest {
            org: org(&program.plan),
            class: program.plan.class,
            under_way: program.turn > 0 || program.parent.is_some(),
            priority: self.priority(call),
            deadline: Some(self.calls[call].asked + PATIENCE[usize::from(self.urgent(call))]),
            service_time: self.service(call),
        };
        match self.admissions[pool].admit(self.now, offer) {
            AdmissionDecision::Now(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.send(call);
            }
            AdmissionDecision::Queued(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.tickets.insert((pool, ticket), call);
            }
            AdmissionDecision::Shed { .. } => self.shed(call),
        }
    }

    fn service(&self, call: usize) -> Duration {
        let job = self.calls[call].job;
        let fill = (job.prompt - job.prior) as f64 / PREFILL_RATE;
        Duration::from_secs_f64(fill + OUTPUT_GUESS as f64 / self.fleet.decode_rate)
    }

    fn urgent(&self, call: usize) -> bool {
        self.programs[self.calls[call].program].plan.class == Class::Urgent
    }

    fn priority(&self, call: usize) -> Priority {
        let program = &self.programs[self.calls[call].program];
        match self.strategy.parts() {
            Some(parts) if parts.order => Priority::of(program.plan.class, program.attained),
            _ => Priority(u8::from(program.plan.class != Class::Urgent)),
        }
    }

    fn send(&mut self, call: usize) {
        let ask = self.ask(call);
        let key =
            choose(self.strategy, self.now, &self.registry, &mut self.router, &mut self.turn, &ask);
        let found =
            key.and_then(|key| self.registry.get(key)).map(|endpoint| endpoint.name.clone());
        let found = found.and_then(|name| self.machines.iter().position(|m| m.name == name));
        let (Some(key), Some(machine)) = (key, found) else { return self.failed(call) };
        let held = ask.last_runs.iter().find(|run| run.endpoint == self.machines[machine].name);
        let fill = ask.prompt_tokens - held.map_or(0, |run| run.tokens.min(ask.prior_tokens));
        let load = DispatchLoad { prefill_tokens: fill, isolated: false };
        let dispatch = self.registry.dispatched(self.now, key, load);
        let priority = self.priority(call).0;
        let state = &mut self.calls[call];
        state.dispatch = Some(dispatch);
        state.engine = Some(machine);
        state.sent = self.now;
        if !self.machines[machine].up {
            return self.failed(call);
        }
        let job = state.job;
        if self.machines[machine].place.region != ask.place.region {
            let bytes = (job.prompt + job.output) as f64 * TEXT_BYTES;
            self.tally.paid += bytes as u64;
        }
        self.machines[machine].engine.push(self.now, priority, job);
        self.drop_copies(call, machine);
        self.start(machine);
    }

    /// Frees the prefix on engines that the program has moved away from.
    fn drop_copies(&mut self, call: usize, machine: usize) {
        if !self.strategy.parts().is_some_and(|parts| parts.free) {
            return;
        }
        let id = self.calls[call].program;
        let new = self.machines[machine].name.clone();
        for other in self.machines.iter_mut().filter(|other| other.name != new) {
            other.engine.free(id as u64);
        }
        self.programs[id].last.retain(|run| run.endpoint == new);
    }

    fn ask(&self, call: usize) -> RouteRequest {
        let call = &self.calls[call];
        let program = &self.programs[call.program];
        RouteRequest {
            target: Target::Model(model(program.plan.pool)),
            program: call.job.program,
            prompt_tokens: call.job.prompt,
            prior_tokens: call.job.prior,
            expected_output: OUTPUT_GUESS,
            batch: None,
            prefill_seconds: None,
            bytes: None,
            last_runs: program.last.clone(),
            shared_prefixes: Vec::new(),
            class: program.plan.class,
            place: program.plan.place,
            excluded: Vec::new(),
            isolate: false,
        }
    }

    pub(super) fn begin(&mut self, pool: usize, tickets: Vec<Ticket>) {
        for ticket in tickets {
            if let Some(call) = self.tickets.remove(&(pool, ticket)) {
                self.send(call);
            }
        }
    }

    fn first(&mut self, call: usize) {
        if let Some(dispatch) = self.calls[call].dispatch {
            self.registry.prefilled(dispatch);
        }
    }

    fn last(&mut self, call: usize) {
        if self.calls[call].over || !self.calls[call].runs {
            return;
        }
        let (Some(machine), Some(dispatch)) = (self.calls[call].engine, self.calls[call].dispatch)
        else {
            return;
        };
        self.calls[call].over = true;
        self.machines[machine].engine.finish(self.now, call);
        self.registry.finished(self.now, dispatch);
        self.end_turn(call, machine);
        self.leave(call);
        self.start(machine);
    }

    /// Gives the call's place at the entry to the next one.
    fn leave(&mut self, call: usize) {
        let Some(ticket) = self.calls[call].ticket.take() else { return };
        let pool = self.programs[self.calls[call].program].plan.pool;
        self.tickets.remove(&(pool, ticket));
        let next = self.admissions[pool].cancel(self.now, ticket);
        self.begin(pool, next);
    }

    fn lose(&mut self, call: usize) {
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        let id = self.calls[call].program;
        self.tally.cache.record_evicted(self.programs[id].history);
        self.leave(call);
        self.end(id, false);
    }

    /// A call was refused before it ran: a new program is shed, one under way is lost.
    fn shed(&mut self, call: usize) {
        let id = self.calls[call].program;
        if self.programs[id].turn > 0 || self.programs[id].parent.is_some() {
            return self.lose(call);
        }
        self.calls[call].over = true;
        self.programs[id].over = true;
        let plan = &self.programs[id].plan;
        self.tally.shed(plan);
    }

    fn give_up(&mut self, call: usize) {
        if self.calls[call].over || self.calls[call].runs {
            return;
        }
        if let Some(machine) = self.calls[call].engine {
            self.machines[machine].engine.cancel(call);
        }
        if let Some(dispatch) = self.calls[call].dispatch {
            self.registry.cancelled(self.now, dispatch);
        }
        self.lose(call);
    }

    pub(super) fn failed(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.attempts += 1;
        state.runs = false;
        state.engine = None;
        if let Some(dispatch) = state.dispatch.take() {
            self.registry.failed(self.now, dispatch);
        }
        let attempts = state.attempts;
        let id = state.program;
        if self.strategy.parts().is_none() {
            return self.again(call, self.now + PLAIN_RETRY);
        }
        let org = org(&self.programs[id].plan);
        let advice = None;
        let failure = Failure::NotRun;
        let ask = RetryRequest {
            org,
            attempts,
            repeatable: true,
            failure,
            deadline: None,
            retry_after: advice,
        };
        match self.retries.decide(self.now, &ask) {
            RetryDecision::At(at) => self.again(call, at),
            RetryDecision::Stop(_) => self.lose(call),
        }
    }

    /// Tries a failed call again as a call of its own.
    fn again(&mut self, call: usize, at: Time) {
        self.calls[call].over = true;
        let id = self.calls[call].program;
        self.leave(call);
        self.programs[id].last.retain(|run| {
            self.registry
                .key(&run.endpoint)
                .is_some_and(|key| self.registry.is_available(self.now, key))
        });
        self.push(at, Event::Ready(id));
    }

    fn expire(&mut self) {
        self.registry.expire(self.now);
        for pool in 0..self.admissions.len() {
            for given in self.admissions[pool].expire(self.now) {
                if let Some(call) = self.tickets.remove(&(pool, given.ticket)) {
                    self.calls[call].ticket = None;
                    self.shed(call);
                }
            }
        }
        if self.now < END {
            self.push(self.now + REPORT_EVERY / 4, Event::Expire);
        }
    }
}

fn admission(fleet: &Fleet, engines: u32) -> Admission {
    let mut settings = AdmissionSettings::default();
    let slots = f64::from(engines * fleet.slots);
    settings.limit.start = slots * fleet.overbook;
    settings.limit.max = slots * fleet.overbook;
    settings.limit.min = slots * 0.5;
    Admission::new(settings)
}

pub(super) fn org(plan: &Plan) -> OrgName {
    compact_str::format_compact!("org{}", plan.org)
}

pub(super) fn model(pool: usize) -> ModelId {
    ModelId::new(["advice", "booking"][pool], "1")
}
