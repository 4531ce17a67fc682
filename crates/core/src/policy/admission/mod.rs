//! Admission: whether a call starts now, waits, or is told at once to come back later.
//!
//! One value guards one pool of endpoints (a model or a service). It keeps no clock and starts
//! nothing: it says which tickets may run. Organisations share by deficit round robin, programs
//! under way come before new ones, urgent calls first within a bound, and a call that cannot make
//! its deadline is shed while that still helps its caller. See docs/design/admission.md.

mod limit;
mod offer;
mod queue;
mod rate;
mod settings;

use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

pub use limit::{Limit, LimitSettings, Signal};
pub use offer::{Admit, GivenUp, Offer, ShedReason};
pub use queue::Band;
use queue::{Queues, Rank, Waiting};
use rate::Rate;
pub use settings::{AdmissionParts, AdmissionSettings};

use super::Class;
use crate::prelude::*;

new_key_type! {
    /// A call that was let in or waits.
    pub struct Ticket;
    /// An organisation with calls here.
    pub struct OrgKey;
}

/// How often organisations without calls are forgotten.
const SWEEP_EVERY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum State {
    Running,
    Queued { band: Band, rank: Rank, latest: Time, reason: ShedReason },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    org: OrgKey,
    state: State,
    service: Duration,
}

/// Lets calls in for one pool of endpoints.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: Limit,
    rate: Rate,
    queues: Queues,
    names: HashMap<OrgName, OrgKey>,
    calls: SlotMap<Ticket, Call>,
    latest: BTreeSet<(Time, Ticket)>,
    running: u32,
    sequence: u64,
    swept: Time,
}

impl Admission {
    /// Makes an admission with nothing running.
    pub fn new(settings: AdmissionSettings) -> Admission {
        let bounds = [settings.urgent_run, settings.under_way_run];
        Admission {
            limit: Limit::new(settings.limit.clone()),
            rate: Rate::default(),
            queues: Queues::new(settings.quantum, bounds),
            names: HashMap::new(),
            calls: SlotMap::with_key(),
            latest: BTreeSet::new(),
            running: 0,
            sequence: 0,
            swept: Time::ZERO,
            settings,
        }
    }

    /// Decides about a call. Takes the same time for any number of organisations.
    pub fn offer(&mut self, now: Time, offer: Offer) -> Admit {
        let org = self.org(&offer.org);
        let band = self.band(&offer);
        if self.free(band) && self.first(band) {
            return Admit::Now(self.start(org, offer.service));
        }
        if self.queues.len() == 0 {
            self.rate.idle(now);
        }
        if let Some((reason, retry_after)) = self.refuses(now, &offer, org, band) {
            return Admit::Shed { retry_after, reason };
        }
        Admit::Queued(self.queue(now, &offer, org, band))
    }

    /// Ends a running call and returns those that start in its place.
    pub fn release(&mut self, now: Time, ticket: Ticket) -> Vec<Ticket> {
        let Some(call) = self.calls.get(ticket).copied() else { return Vec::new() };
        if !matches!(call.state, State::Running) {
            return Vec::new();
        }
        self.calls.remove(ticket);
        self.running -= 1;
        if self.queues.len() > 0 {
            self.rate.count(now);
        }
        if let Some(org) = self.queues.org(call.org) {
            org.running -= 1;
        }
        self.drain()
    }

    /// Takes back a call whose caller went away, waiting or running.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) -> Vec<Ticket> {
        let Some(call) = self.calls.get(ticket).copied() else { return Vec::new() };
        if matches!(call.state, State::Running) {
            return self.release(now, ticket);
        }
        self.unqueue(ticket);
        self.calls.remove(ticket);
        Vec::new()
    }

    /// Gives up the waiting calls that could no longer be answered in time.
    ///
    /// A call is given up at its deadline less its expected service, not at the deadline: by then
    /// its caller has time left to go elsewhere, and running it would only help nobody.
    pub fn expire(&mut self, now: Time) -> Vec<GivenUp> {
        self.sweep(now);
        let mut given = Vec::new();
        while let Some(&(at, ticket)) = self.latest.first() {
            if at > now {
                break;
            }
            let Some(call) = self.calls.get(ticket).copied() else { break };
            let State::Queued { band, reason, .. } = call.state else { break };
            let retry_after = self.retry_after(now, call.org, band, call.service);
            self.unqueue(ticket);
            self.calls.remove(ticket);
            given.push(GivenUp { ticket, retry_after, reason });
        }
        given
    }

    /// Returns when [`Admission::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Time> {
        self.latest.first().map(|(at, _)| *at)
    }

    /// Feeds the concurrency limit, and returns calls that a higher limit lets in.
    pub fn observe(&mut self, now: Time, signal: Signal) -> Vec<Ticket> {
        let busy = self.running >= self.limit.get();
        self.limit.observe(now, signal, busy);
        self.drain()
    }

    /// Bounds the limit by the slots that endpoints announce, and lets in what now fits.
    pub fn resize(&mut self, most: f64) -> Vec<Ticket> {
        self.limit.cap(most);
        self.drain()
    }

    /// Returns calls running.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns calls waiting.
    pub fn waiting(&self) -> u32 {
        self.queues.len()
    }

    /// Returns the concurrency limit in force.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns organisations with calls here.
    pub fn orgs(&self) -> usize {
        self.names.len()
    }

    fn org(&mut self, name: &OrgName) -> OrgKey {
        let shared = OrgName::const_new("");
        let name = if self.settings.parts.fair { name } else { &shared };
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.queues.add_org(name.clone());
        self.names.insert(name.clone(), key);
        key
    }

    /// Forgets organisations without calls, now and then, so that names do not pile up.
    fn sweep(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP_EVERY {
            return;
        }
        self.swept = now;
        for name in self.queues.sweep() {
            self.names.remove(&name);
        }
    }

    fn band(&self, offer: &Offer) -> Band {
        let parts = self.settings.parts;
        match offer.class {
            Class::Urgent if parts.urgent => Band::Urgent,
            _ if offer.under_way || !parts.under_way => Band::UnderWay,
            _ => Band::New,
        }
    }

    fn free(&self, band: Band) -> bool {
        let limit = self.limit.get();
        match band {
            Band::Urgent => self.running < limit,
            Band::UnderWay | Band::New => self.running < self.open_limit(),
        }
    }

    /// Returns true when no waiting call could use a free place before one of this band.
    fn first(&self, band: Band) -> bool {
        match band {
            Band::Urgent => self.queues.count(Band::Urgent) == 0,
            Band::UnderWay | Band::New => self.queues.len() == 0,
        }
    }

    /// Returns the places that any class may use.
    fn open_limit(&self) -> u32 {
        let limit = self.limit.get();
        let reserve = (f64::from(limit) * self.settings.reserve) as u32;
        (limit - reserve).max(1)
    }

    fn refuses(
        &self,
        now: Time,
        offer: &Offer,
        org: OrgKey,
        band: Band,
    ) -> Option<(ShedReason, Duration)> {
        let wait = self.wait(now, org, band, offer.service);
        let advice = self.retry_after(now, org, band, offer.service);
        if self.queues.waiting(org) >= self.settings.org_queue {
            return Some((ShedReason::OrgQueueFull, advice));
        }
        if self.queues.len() >= self.settings.queue {
            return Some((ShedReason::QueueFull, advice));
        }
        if !self.settings.parts.early {
            return None;
        }
        if offer.deadline.is_some_and(|deadline| now + wait + offer.service > deadline) {
            return Some((ShedReason::Deadline, advice));
        }
        (band == Band::New && wait > self.settings.patience)
            .then_some((ShedReason::Patience, advice))
    }

    /// Returns how long a new call of `org` is expected to wait.
    fn wait(&self, now: Time, org: OrgKey, band: Band, service: Duration) -> Duration {
        let guess = f64::from(self.limit.get()) / service.as_secs_f64().max(0.01);
        let rate = self.rate.get(now, guess).max(1e-3);
        // Its own start takes a release too.
        Duration::from_secs_f64((f64::from(self.queues.ahead(org, band)) + 1.0) / rate)
    }

    /// Returns when the calls that now lie before this one will have started.
    fn retry_after(&self, now: Time, org: OrgKey, band: Band, service: Duration) -> Duration {
        let [least, most] = self.settings.retry;
        self.wait(now, org, band, service).clamp(least, most)
    }

    fn queue(&mut self, now: Time, offer: &Offer, org: OrgKey, band: Band) -> Ticket {
        self.sequence += 1;
        let rank = Rank { at: now + offer.priority.delay(), sequence: self.sequence };
        let (latest, reason) = self.latest_start(now, offer, band);
        let state = State::Queued { band, rank, latest, reason };
        let ticket = self.calls.insert(Call { org, state, service: offer.service });
        let cost = offer.service.as_secs_f64();
        self.queues.push(org, band, rank, Waiting { ticket, cost });
        if latest < Time::MAX {
            self.latest.insert((latest, ticket));
        }
        ticket
    }

    fn latest_start(&self, now: Time, offer: &Offer, band: Band) -> (Time, ShedReason) {
        let by_deadline = match offer.deadline {
            Some(deadline) if self.settings.parts.early => deadline - offer.service,
            Some(deadline) => deadline,
            None => Time::MAX,
        };
        let by_patience = match band {
            Band::New => now + self.settings.patience,
            Band::Urgent | Band::UnderWay => Time::MAX,
        };
        if by_deadline <= by_patience {
            (by_deadline, ShedReason::Deadline)
        } else {
            (by_patience, ShedReason::Patience)
        }
    }

    fn unqueue(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.get(ticket) else { return };
        let State::Queued { band, rank, latest, .. } = call.state else { return };
        self.queues.remove(call.org, band, rank);
        self.latest.remove(&(latest, ticket));
    }

    fn start(&mut self, org: OrgKey, service: Duration) -> Ticket {
        let ticket = self.calls.insert(Call { org, state: State::Running, service });
        self.count_start(org);
        ticket
    }

    fn promote(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(ticket) else { return };
        if let State::Queued { latest, .. } = call.state {
            self.latest.remove(&(latest, ticket));
        }
        call.state = State::Running;
        let org = call.org;
        self.count_start(org);
    }

    fn count_start(&mut self, org: OrgKey) {
        self.running += 1;
        if let Some(org) = self.queues.org(org) {
            org.running += 1;
        }
    }

    fn drain(&mut self) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limit.get() {
            let urgent_only = self.running >= self.open_limit();
            let Some(ticket) = self.queues.pop(urgent_only) else { break };
            self.promote(ticket);
            started.push(ticket);
        }
        started
    }
}
