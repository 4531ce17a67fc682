//! One run: the core's decisions at one point before fake engines, on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::admission::{
    Admission, AdmissionSettings, Admit, Offer, Signal, Ticket,
};
use gypsumglade_core::policy::priority::{Attained, Priority};
use gypsumglade_core::policy::registry::{
    Announcement, CacheEvents, DispatchKey, DispatchLoad, EndpointKind, LoadReport, ModelId,
    Registry, RegistrySettings,
};
use gypsumglade_core::policy::retain::{Retain, RetainAsk, Retention};
use gypsumglade_core::policy::retry::{Failure, Retries, RetryAsk, RetryDecision, RetrySettings};
use gypsumglade_core::policy::route::{LastRun, Place, RouteAsk, RouteSettings, Router, Target};
use gypsumglade_core::prelude::*;

use super::engine::{Engine, Hold, Job};
use super::strategy::{Strategy, choose};
use super::tally::Tally;
use super::workload::{Plan, tool_name};
use super::{Case, END, Fault, Fleet, OUTPUT_GUESS, PREFILL_RATE, REPORT_EVERY, TEXT_BYTES};

/// When a caller gives a turn up: normal and urgent.
const PATIENCE: [Duration; 2] = [Duration::from_secs(120), Duration::from_secs(30)];

/// Wait before a baseline tries a failed call again.
const PLAIN_RETRY: Duration = Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
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

struct Program {
    plan: Plan,
    parent: Option<usize>,
    children: usize,
    paused: bool,
    turn: usize,
    history: u64,
    last: Vec<LastRun>,
    attained: Attained,
    started: Time,
    call: usize,
    over: bool,
}

struct Call {
    program: usize,
    engine: Option<usize>,
    dispatch: Option<DispatchKey>,
    ticket: Option<Ticket>,
    job: Job,
    asked: Time,
    sent: Time,
    attempts: u32,
    over: bool,
    runs: bool,
}

struct Machine {
    engine: Engine,
    pool: usize,
    name: EndpointName,
    place: Place,
    up: bool,
    frozen: bool,
    incarnation: u64,
    sequence: u64,
    report: LoadReport,
    events: CacheEvents,
}

/// The state of a run.
pub struct Run<'a> {
    fleet: &'a Fleet,
    strategy: Strategy,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    registry: Registry,
    router: Router,
    admissions: Vec<Admission>,
    retain: Retain,
    retries: Retries,
    machines: Vec<Machine>,
    programs: Vec<Program>,
    calls: Vec<Call>,
    tickets: BTreeMap<(usize, Ticket), usize>,
    turn: usize,
    tally: Tally,
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
            settings.parts = parts.route;
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
            retain: Retain::default(),
            retries: Retries::new(RetrySettings::default(), case.seed),
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

    fn push(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn add(&mut self, plan: Plan, parent: Option<usize>) -> usize {
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

    /// A program's pause is over, or its first call comes.
    fn ready(&mut self, id: usize) {
        let program = &mut self.programs[id];
        if std::mem::replace(&mut program.paused, false) {
            let turn = &program.plan.turns[program.turn - 1];
            self.retain.learn(tool_name(turn.tool), turn.pause);
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

    fn offer(&mut self, call: usize) {
        if !self.strategy.parts().is_some_and(|parts| parts.admission) {
            return self.send(call);
        }
        let program = &self.programs[self.calls[call].program];
        let pool = program.plan.pool;
        let offer = Offer {
            org: compact_str::format_compact!("org{}", program.plan.org),
            class: program.plan.class,
            under_way: program.turn > 0 || program.parent.is_some(),
            priority: self.priority(call),
            deadline: Some(self.calls[call].asked + PATIENCE[usize::from(self.urgent(call))]),
            service: self.service(call),
        };
        match self.admissions[pool].offer(self.now, offer) {
            Admit::Now(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.send(call);
            }
            Admit::Queued(ticket) => {
                self.calls[call].ticket = Some(ticket);
                self.tickets.insert((pool, ticket), call);
            }
            Admit::Shed { .. } => self.shed(call),
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
        let held = ask.last.iter().find(|run| run.endpoint == self.machines[machine].name);
        let fill = ask.prompt_tokens - held.map_or(0, |run| run.tokens.min(ask.prior_tokens));
        let load = DispatchLoad { fill_tokens: fill, alone: false };
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

    fn ask(&self, call: usize) -> RouteAsk {
        let call = &self.calls[call];
        let program = &self.programs[call.program];
        RouteAsk {
            target: Target::Model(model(program.plan.pool)),
            program: call.job.program,
            prompt_tokens: call.job.prompt,
            prior_tokens: call.job.prior,
            output_guess: OUTPUT_GUESS,
            last: program.last.clone(),
            class: program.plan.class,
            place: program.plan.place,
            excluded: Vec::new(),
            isolate: false,
        }
    }

    fn start(&mut self, machine: usize) {
        for started in self.machines[machine].engine.start(self.now) {
            let call = &mut self.calls[started.call];
            call.runs = true;
            let wait = self.now.since(call.sent);
            let (job, program) = (call.job, call.program);
            let link = self
                .fleet
                .links
                .between(self.programs[program].plan.place, self.machines[machine].place);
            let travel =
                link.latency + Duration::from_secs_f64(job.prompt as f64 * TEXT_BYTES / link.rate);
            self.tally.cache.call(job.prompt, job.prior, started.resident);
            self.push(started.first + travel, Event::First(started.call));
            self.push(started.last + travel * 2, Event::Last(started.call));
            let pool = self.machines[machine].pool;
            let let_in = self.admissions[pool].observe(self.now, Signal::Waited(wait));
            self.begin(pool, let_in);
        }
    }

    fn begin(&mut self, pool: usize, tickets: Vec<Ticket>) {
        for ticket in tickets {
            if let Some(call) = self.tickets.remove(&(pool, ticket)) {
                self.send(call);
            }
        }
    }

    fn first(&mut self, call: usize) {
        if let Some(dispatch) = self.calls[call].dispatch {
            self.registry.filled(dispatch);
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

    fn end_turn(&mut self, call: usize, machine: usize) {
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
        let ask = RetainAsk {
            tool: tool_name(tool).into(),
            paused: Duration::ZERO,
            tokens,
            prefill_rate: PREFILL_RATE,
            pressure: held as f64 / self.fleet.cache_tokens as f64,
            moving: None,
        };
        let hold = match self.retain.decide(self.now, &ask) {
            Retention::Keep { until } => Hold::Until(Reverse(until)),
            Retention::Drop | Retention::Move => Hold::Dropped,
        };
        self.machines[machine].engine.mark(id as u64, hold);
    }

    fn end(&mut self, id: usize, whole: bool) {
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

    fn lose(&mut self, call: usize) {
        if std::mem::replace(&mut self.calls[call].over, true) {
            return;
        }
        let id = self.calls[call].program;
        self.tally.cache.thrown(self.programs[id].history);
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

    fn failed(&mut self, call: usize) {
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
        let org = compact_str::format_compact!("org{}", self.programs[id].plan.org);
        let advice = None;
        let failure = Failure::NotRun;
        let ask = RetryAsk { org, attempts, repeatable: true, failure, deadline: None, advice };
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
            self.registry.key(&run.endpoint).is_some_and(|key| self.registry.open(self.now, key))
        });
        self.push(at, Event::Ready(id));
    }

    fn report(&mut self, id: usize) {
        let machine = &mut self.machines[id];
        if self.now < END {
            let next = self.now + REPORT_EVERY;
            self.sequence += 1;
            self.events.push(Reverse((next, self.sequence, Event::Report(id))));
        }
        if !machine.up {
            return;
        }
        machine.sequence += 1;
        let news = announcement(self.fleet, machine);
        self.registry.announce(self.now, news);
        // What goes out next time is what is true now: reports lag by one interval.
        if !machine.frozen {
            let (running, waiting, cached_tokens) = machine.engine.load();
            machine.report = LoadReport { running, waiting, cached_tokens, age: REPORT_EVERY };
            let first = machine.events.first + machine.events.events.len() as u64;
            let events = machine.engine.take_events();
            machine.events = CacheEvents { first, events, age: REPORT_EVERY };
        }
    }

    fn down(&mut self, id: usize) {
        self.machines[id].up = false;
        for call in self.machines[id].engine.crash(self.now) {
            if !self.calls[call].over {
                self.failed(call);
            }
        }
    }

    fn up(&mut self, id: usize) {
        let machine = &mut self.machines[id];
        machine.up = true;
        machine.incarnation += 1;
        machine.sequence = 0;
        machine.report = LoadReport::default();
        machine.events = CacheEvents::default();
        machine.engine.take_events();
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
    settings.limit.most = slots * fleet.overbook;
    settings.limit.least = slots * 0.5;
    Admission::new(settings)
}

fn machines(fleet: &Fleet) -> Vec<Machine> {
    let mut machines = Vec::new();
    for (pool, count) in fleet.pools.iter().enumerate() {
        for index in 0..*count {
            let domain = (index % 3) as u16;
            machines.push(Machine {
                engine: Engine::new(fleet),
                pool,
                name: compact_str::format_compact!("engine-{pool}-{index}"),
                place: Place { domain: DomainId(domain), region: RegionId(domain / 2) },
                up: true,
                frozen: false,
                incarnation: 1,
                sequence: 0,
                report: LoadReport::default(),
                events: CacheEvents::default(),
            });
        }
    }
    machines
}

fn model(pool: usize) -> ModelId {
    ModelId::new(["advice", "booking"][pool], "1")
}

fn announcement(fleet: &Fleet, machine: &Machine) -> Announcement {
    Announcement {
        name: machine.name.clone(),
        incarnation: machine.incarnation,
        sequence: machine.sequence,
        kind: EndpointKind::Engine {
            models: vec![model(machine.pool)],
            slots: fleet.slots,
            prefill_rate: PREFILL_RATE,
            decode_rate: fleet.decode_rate,
            cache_tokens: fleet.cache_tokens,
        },
        address: machine.name.clone(),
        domain: machine.place.domain,
        region: machine.place.region,
        fencing: true,
        lease: REPORT_EVERY * 3,
        leaving: false,
        load: Some(machine.report),
        cache_events: machine.events.clone(),
    }
}
