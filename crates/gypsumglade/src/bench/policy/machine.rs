//! The engines' side of a run: what they start, report and lose.

use gypsumglade_core::policy::admission::Signal;
use gypsumglade_core::policy::registry::{Announcement, CacheEvents, EndpointKind, LoadReport};
use gypsumglade_core::policy::route::Place;
use gypsumglade_core::prelude::*;

use super::engine::Engine;
use super::run::{Event, Run, model};
use super::{END, Fleet, PREFILL_RATE, REPORT_EVERY, TEXT_BYTES};

/// A fake engine and what it announces.
pub(super) struct Machine {
    pub(super) engine: Engine,
    pub(super) pool: usize,
    pub(super) name: EndpointName,
    pub(super) place: Place,
    pub(super) up: bool,
    pub(super) frozen: bool,
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
    pub(super) report: LoadReport,
    pub(super) events: CacheEvents,
}

impl Run<'_> {
    pub(super) fn report(&mut self, id: usize) {
        if self.now < END {
            self.push(self.now + REPORT_EVERY, Event::Report(id));
        }
        let machine = &mut self.machines[id];
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

    pub(super) fn down(&mut self, id: usize) {
        self.machines[id].up = false;
        for call in self.machines[id].engine.crash(self.now) {
            if !self.calls[call].over {
                self.failed(call);
            }
        }
    }

    pub(super) fn up(&mut self, id: usize) {
        let machine = &mut self.machines[id];
        machine.up = true;
        machine.incarnation += 1;
        machine.sequence = 0;
        machine.report = LoadReport::default();
        machine.events = CacheEvents::default();
        machine.engine.take_events();
    }

    pub(super) fn start(&mut self, machine: usize) {
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
            self.tally.cache.record_call(job.prompt, job.prior, started.resident);
            self.push(started.first + travel, Event::First(started.call));
            self.push(started.last + travel * 2, Event::Last(started.call));
            let pool = self.machines[machine].pool;
            let let_in = self.admissions[pool].observe(self.now, Signal::Waited(wait));
            self.begin(pool, let_in);
        }
    }
}

/// Makes the engines of a fleet, spread over its failure domains.
pub(super) fn machines(fleet: &Fleet) -> Vec<Machine> {
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
