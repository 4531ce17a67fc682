//! A small fake of a model engine at its interface: slots, prefill, decode, prefix memory.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use gypsumglade_core::policy::registry::CacheEvent;
use gypsumglade_core::prelude::*;

use super::{Fleet, PREFILL_RATE};

/// A call as the engine sees it.
#[derive(Clone, Copy, Debug)]
pub struct Job {
    /// Number of the call.
    pub call: usize,
    /// Program it belongs to.
    pub program: u64,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of it that earlier turns held.
    pub prior: u64,
    /// Tokens generated.
    pub output: u64,
}

/// A call that began to run.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    /// Number of the call.
    pub call: usize,
    /// Prompt tokens found in memory.
    pub resident: u64,
    /// When the first token comes.
    pub first: Time,
    /// When the last token comes.
    pub last: Time,
}

/// When a prefix is pushed out: smallest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hold {
    /// First to go.
    Dropped,
    /// By last use alone.
    Unmarked,
    /// Held in a pause that is expected to end by then; the farthest goes first.
    Until(Reverse<Time>),
    /// Its next call already waits.
    Needed,
}

#[derive(Clone, Copy, Debug)]
struct Prefix {
    tokens: u64,
    used: Time,
    hold: Hold,
    running: bool,
}

impl Prefix {
    /// Returns the order of eviction; a hold that has run out counts as none.
    fn rank(&self, now: Time) -> (Hold, Time) {
        match self.hold {
            Hold::Until(Reverse(until)) if until < now => (Hold::Unmarked, self.used),
            hold => (hold, self.used),
        }
    }
}

/// One engine.
#[derive(Clone, Debug)]
pub struct Engine {
    slots: usize,
    decode_rate: f64,
    capacity: u64,
    waiting: BTreeSet<(u8, Time, usize)>,
    jobs: BTreeMap<usize, Job>,
    running: BTreeMap<usize, Job>,
    memory: BTreeMap<u64, Prefix>,
    held: u64,
    prefill_free: Time,
    events: Vec<CacheEvent>,
}

impl Engine {
    /// Makes an idle engine.
    pub fn new(fleet: &Fleet) -> Engine {
        Engine {
            slots: fleet.slots as usize,
            decode_rate: fleet.decode_rate,
            capacity: fleet.cache_tokens,
            waiting: BTreeSet::new(),
            jobs: BTreeMap::new(),
            running: BTreeMap::new(),
            memory: BTreeMap::new(),
            held: 0,
            prefill_free: Time::ZERO,
            events: Vec::new(),
        }
    }

    /// Queues a call; lower priority values run first.
    pub fn push(&mut self, now: Time, priority: u8, job: Job) {
        self.waiting.insert((priority, now, job.call));
        self.jobs.insert(job.call, job);
    }

    /// Takes a waiting call out; false when it already runs.
    pub fn cancel(&mut self, call: usize) -> bool {
        let waits = self.jobs.remove(&call).is_some();
        self.waiting.retain(|(_, _, other)| *other != call);
        waits
    }

    /// Starts what fits.
    pub fn start(&mut self, now: Time) -> Vec<Started> {
        let mut started = Vec::new();
        while self.running.len() < self.slots {
            let Some(&next) = self.waiting.first() else { break };
            let job = self.jobs[&next.2];
            if !self.make_room(now, &job) {
                break;
            }
            self.waiting.remove(&next);
            self.jobs.remove(&next.2);
            started.push(self.run(now, job));
        }
        started
    }

    /// Ends a running call; its prefix stays in memory.
    pub fn finish(&mut self, now: Time, call: usize) {
        let Some(job) = self.running.remove(&call) else { return };
        if let Some(prefix) = self.memory.get_mut(&job.program) {
            prefix.running = false;
            prefix.used = now;
            prefix.hold = Hold::Unmarked;
            self.events.push(CacheEvent::Filled { program: job.program, tokens: prefix.tokens });
        }
    }

    /// Returns the changes of prefix memory since the last call.
    pub fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    /// Marks a program's prefix.
    pub fn mark(&mut self, program: u64, hold: Hold) {
        if let Some(prefix) = self.memory.get_mut(&program) {
            prefix.hold = hold;
        }
    }

    /// Frees a program's prefix.
    pub fn free(&mut self, program: u64) {
        if let Some(prefix) = self.memory.remove(&program) {
            self.held -= prefix.tokens;
        }
    }

    /// Loses everything and returns the calls that were there.
    pub fn crash(&mut self, now: Time) -> Vec<usize> {
        let calls = self.jobs.keys().chain(self.running.keys()).copied().collect();
        self.waiting.clear();
        self.jobs.clear();
        self.running.clear();
        self.memory.clear();
        self.held = 0;
        self.prefill_free = now;
        calls
    }

    /// Returns calls running, calls waiting and tokens held.
    pub fn load(&self) -> (u32, u32, u64) {
        (self.running.len() as u32, self.waiting.len() as u32, self.held)
    }

    fn run(&mut self, now: Time, job: Job) -> Started {
        let old = self.memory.get(&job.program).map_or(0, |prefix| prefix.tokens);
        let resident = old.min(job.prior);
        let tokens = job.prompt + job.output;
        self.held = self.held - old + tokens;
        let prefix = Prefix { tokens, used: now, hold: Hold::Unmarked, running: true };
        self.memory.insert(job.program, prefix);
        self.running.insert(job.call, job);
        let fill = (job.prompt - resident) as f64 / PREFILL_RATE;
        let first = now.max(self.prefill_free) + Duration::from_secs_f64(fill);
        self.prefill_free = first;
        let last = first + Duration::from_secs_f64(job.output as f64 / self.decode_rate);
        Started { call: job.call, resident, first, last }
    }

    fn make_room(&mut self, now: Time, job: &Job) -> bool {
        let own = self.memory.get(&job.program).map_or(0, |prefix| prefix.tokens);
        let wanted = self.held - own + job.prompt + job.output;
        let pinned: u64 = self.running.values().map(|job| job.prompt + job.output).sum();
        if pinned + job.prompt + job.output > self.capacity {
            return false;
        }
        let mut excess = wanted.saturating_sub(self.capacity);
        while excess > 0 {
            let idle = self.memory.iter().filter(|(_, prefix)| !prefix.running);
            let others = idle.filter(|(id, _)| **id != job.program);
            let Some((&victim, _)) = others.min_by_key(|(_, prefix)| prefix.rank(now)) else {
                return false;
            };
            excess = excess.saturating_sub(self.memory[&victim].tokens);
            self.free(victim);
            self.events.push(CacheEvent::Evicted { program: victim });
        }
        true
    }
}
