//! Admission control: decides whether a call starts now, waits in a queue, or is shed with a retry
//! delay.
//!
//! One [`Admission`] guards one pool of endpoints (a model or a service). It has no clock and
//! starts no calls itself: callers pass the time in and run the tickets that it returns.
//! Organisations share the pool by surplus round robin, calls of programs under way start before
//! those of new programs, and urgent calls start first, up to a bound. A call that can't meet its
//! deadline is shed while its caller still has time to go elsewhere. See docs/design/admission.md.

mod limit;
mod queue;
mod rate;
mod request;
mod settings;

use std::collections::{BTreeSet, HashMap};

use slotmap::{SlotMap, new_key_type};

pub use limit::{Limit, LimitSettings, Signal};
pub use queue::Band;
use queue::{QueuedCall, Queues, Rank};
use rate::Rate;
pub use request::{AdmissionDecision, AdmissionRequest, ExpiredCall, ShedReason};
pub use settings::{AdmissionFeatures, AdmissionSettings};

use super::Class;
use crate::prelude::*;

new_key_type! {
    /// Identifies a running or queued call.
    pub struct Ticket;
    /// Identifies an organisation with running or queued calls.
    pub struct OrgKey;
}

/// Interval between removals of organisations without calls.
const SWEEP_EVERY: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
enum State {
    Running,
    Queued { band: Band, rank: Rank, latest_start: Time, reason: ShedReason },
}

#[derive(Clone, Copy, Debug)]
struct Call {
    org: OrgKey,
    state: State,
    service_time: Duration,
}

/// Admission control for one pool of endpoints.
#[derive(Clone, Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    limit: Limit,
    rate: Rate,
    queues: Queues,
    names: HashMap<OrgName, OrgKey>,
    calls: SlotMap<Ticket, Call>,
    latest_starts: BTreeSet<(Time, Ticket)>,
    running: u32,
    sequence: u64,
    last_sweep: Time,
}

impl Admission {
    /// Creates an admission control without calls.
    pub fn new(settings: AdmissionSettings) -> Admission {
        let max_runs = [settings.urgent_run, settings.under_way_run];
        Admission {
            limit: Limit::new(settings.limit.clone()),
            rate: Rate::default(),
            queues: Queues::new(settings.quantum, max_runs),
            names: HashMap::new(),
            calls: SlotMap::with_key(),
            latest_starts: BTreeSet::new(),
            running: 0,
            sequence: 0,
            last_sweep: Time::ZERO,
            settings,
        }
    }

    /// Starts, queues or sheds a call, in time independent of the number of organisations.
    pub fn admit(&mut self, now: Time, request: AdmissionRequest) -> AdmissionDecision {
        let org = self.org(&request.org);
        let band = self.band(&request);
        if self.has_capacity(band) && self.is_next(band) {
            return AdmissionDecision::Now(self.start(org, request.service_time));
        }
        if self.queues.len() == 0 {
            self.rate.idle(now);
        }
        if let Some((reason, retry_after)) = self.shed_reason(now, &request, org, band) {
            return AdmissionDecision::Shed { retry_after, reason };
        }
        AdmissionDecision::Queued(self.queue(now, &request, org, band))
    }

    /// Ends a running call and returns the queued calls that start in its place.
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
        self.start_waiting()
    }

    /// Removes a running or queued call whose caller went away, and returns the queued calls that
    /// start in its place.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) -> Vec<Ticket> {
        let Some(call) = self.calls.get(ticket).copied() else { return Vec::new() };
        if matches!(call.state, State::Running) {
            return self.release(now, ticket);
        }
        self.unqueue(ticket);
        self.calls.remove(ticket);
        Vec::new()
    }

    /// Removes the queued calls that can't be answered in time any more, and returns them.
    ///
    /// A call expires at its deadline less its expected service time: its caller still has time to
    /// go elsewhere, and no slot is spent on an answer that would come too late. A program's first
    /// call also expires once it has waited for `max_wait`.
    pub fn expire(&mut self, now: Time) -> Vec<ExpiredCall> {
        self.sweep(now);
        let mut expired = Vec::new();
        while let Some(&(at, ticket)) = self.latest_starts.first() {
            if at > now {
                break;
            }
            let Some(call) = self.calls.get(ticket).copied() else { break };
            let State::Queued { band, reason, .. } = call.state else { break };
            let retry_after = self.retry_after(now, call.org, band, call.service_time);
            self.unqueue(ticket);
            self.calls.remove(ticket);
            expired.push(ExpiredCall { ticket, retry_after, reason });
        }
        expired
    }

    /// Returns the time at which the next queued call expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.latest_starts.first().map(|(at, _)| *at)
    }

    /// Feeds a signal to the concurrency limit, and returns the queued calls that start as a
    /// result.
    pub fn observe(&mut self, now: Time, signal: Signal) -> Vec<Ticket> {
        let busy = self.running >= self.limit.get();
        self.limit.observe(now, signal, busy);
        self.start_waiting()
    }

    /// Sets the upper bound of the concurrency limit, usually from the slots that endpoints
    /// announce, and returns the queued calls that start as a result.
    pub fn resize(&mut self, max: f64) -> Vec<Ticket> {
        self.limit.set_max(max);
        self.start_waiting()
    }

    /// Returns the number of running calls.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of queued calls.
    pub fn waiting(&self) -> u32 {
        self.queues.len()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> u32 {
        self.limit.get()
    }

    /// Returns the number of known organisations, including idle ones that aren't removed yet.
    pub fn orgs(&self) -> usize {
        self.names.len()
    }

    fn org(&mut self, name: &OrgName) -> OrgKey {
        let shared = OrgName::const_new("");
        let name = if self.settings.features.fair { name } else { &shared };
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.queues.add_org(name.clone());
        self.names.insert(name.clone(), key);
        key
    }

    /// Removes organisations without calls every [`SWEEP_EVERY`], which bounds the memory for their
    /// names.
    fn sweep(&mut self, now: Time) {
        if now.since(self.last_sweep) < SWEEP_EVERY {
            return;
        }
        self.last_sweep = now;
        for name in self.queues.sweep() {
            self.names.remove(&name);
        }
    }

    fn band(&self, request: &AdmissionRequest) -> Band {
        let features = self.settings.features;
        match request.class {
            Class::Urgent if features.urgent => Band::Urgent,
            _ if request.under_way || !features.under_way => Band::UnderWay,
            _ => Band::New,
        }
    }

    fn has_capacity(&self, band: Band) -> bool {
        let limit = self.limit.get();
        match band {
            Band::Urgent => self.running < limit,
            Band::UnderWay | Band::New => self.running < self.shared_limit(),
        }
    }

    /// Returns true when no queued call may start before a new one of this band.
    fn is_next(&self, band: Band) -> bool {
        match band {
            Band::Urgent => self.queues.count(Band::Urgent) == 0,
            Band::UnderWay | Band::New => self.queues.len() == 0,
        }
    }

    /// Returns the part of the limit that isn't reserved for urgent calls.
    fn shared_limit(&self) -> u32 {
        let limit = self.limit.get();
        let reserve = (f64::from(limit) * self.settings.reserve) as u32;
        (limit - reserve).max(1)
    }

    fn shed_reason(
        &self,
        now: Time,
        request: &AdmissionRequest,
        org: OrgKey,
        band: Band,
    ) -> Option<(ShedReason, Duration)> {
        let wait = self.wait(now, org, band, request.service_time);
        let retry_after = self.retry_after(now, org, band, request.service_time);
        if self.queues.waiting(org) >= self.settings.org_queue {
            return Some((ShedReason::OrgQueueFull, retry_after));
        }
        if self.queues.len() >= self.settings.queue {
            return Some((ShedReason::QueueFull, retry_after));
        }
        if !self.settings.features.early_shedding {
            return None;
        }
        if request.deadline.is_some_and(|deadline| now + wait + request.service_time > deadline) {
            return Some((ShedReason::Deadline, retry_after));
        }
        (band == Band::New && wait > self.settings.max_wait)
            .then_some((ShedReason::MaxWait, retry_after))
    }

    /// Returns the expected wait of a new call of `org`.
    fn wait(&self, now: Time, org: OrgKey, band: Band, service_time: Duration) -> Duration {
        let fallback_rate = f64::from(self.limit.get()) / service_time.as_secs_f64().max(0.01);
        let rate = self.rate.get(now, fallback_rate).max(1e-3);
        // The call's own start needs a release too.
        Duration::from_secs_f64((f64::from(self.queues.ahead(org, band)) + 1.0) / rate)
    }

    /// Returns the time until the calls ahead of this one should have started, within the
    /// configured range.
    fn retry_after(&self, now: Time, org: OrgKey, band: Band, service_time: Duration) -> Duration {
        let [min, max] = self.settings.retry_range;
        self.wait(now, org, band, service_time).clamp(min, max)
    }

    fn queue(&mut self, now: Time, request: &AdmissionRequest, org: OrgKey, band: Band) -> Ticket {
        self.sequence += 1;
        let rank = Rank { at: now + request.priority.delay(), sequence: self.sequence };
        let (latest_start, reason) = self.latest_start(now, request, band);
        let state = State::Queued { band, rank, latest_start, reason };
        let ticket = self.calls.insert(Call { org, state, service_time: request.service_time });
        let cost = request.service_time.as_secs_f64();
        self.queues.push(org, band, rank, QueuedCall { ticket, cost });
        if latest_start < Time::MAX {
            self.latest_starts.insert((latest_start, ticket));
        }
        ticket
    }

    fn latest_start(
        &self,
        now: Time,
        request: &AdmissionRequest,
        band: Band,
    ) -> (Time, ShedReason) {
        let by_deadline = match request.deadline {
            Some(deadline) if self.settings.features.early_shedding => {
                deadline - request.service_time
            }
            Some(deadline) => deadline,
            None => Time::MAX,
        };
        let by_max_wait = match band {
            Band::New => now + self.settings.max_wait,
            Band::Urgent | Band::UnderWay => Time::MAX,
        };
        if by_deadline <= by_max_wait {
            (by_deadline, ShedReason::Deadline)
        } else {
            (by_max_wait, ShedReason::MaxWait)
        }
    }

    fn unqueue(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.get(ticket) else { return };
        let State::Queued { band, rank, latest_start, .. } = call.state else { return };
        self.queues.remove(call.org, band, rank);
        self.latest_starts.remove(&(latest_start, ticket));
    }

    fn start(&mut self, org: OrgKey, service_time: Duration) -> Ticket {
        let ticket = self.calls.insert(Call { org, state: State::Running, service_time });
        self.count_start(org);
        ticket
    }

    fn promote(&mut self, ticket: Ticket) {
        let Some(call) = self.calls.get_mut(ticket) else { return };
        if let State::Queued { latest_start, .. } = call.state {
            self.latest_starts.remove(&(latest_start, ticket));
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

    fn start_waiting(&mut self) -> Vec<Ticket> {
        let mut started = Vec::new();
        while self.running < self.limit.get() {
            let urgent_only = self.running >= self.shared_limit();
            let Some(ticket) = self.queues.pop(urgent_only) else { break };
            self.promote(ticket);
            started.push(ticket);
        }
        started
    }
}
