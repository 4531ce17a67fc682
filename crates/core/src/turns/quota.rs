//! Rate limits of organisations, over all entry VMs together.
//!
//! The load pattern is an organisation that sends several times its limit for some seconds. Every
//! program needs all of its requests to succeed, so if any request over the limit were refused,
//! nearly all programs of the organisation would fail half-way. New programs are refused instead,
//! as soon as those that began within a window need the whole limit.
//!
//! The limit applies to any window of time, so requests are counted in slots of a sliding window.
//! The counts are replicated with the turns: a new leader continues them. See
//! docs/design/quotas.md.

use std::collections::{BTreeMap, VecDeque};

use crate::prelude::*;
use crate::wire::turn as wire;

/// Number of slots in a window. The window is longer than stated by up to one slot.
const SLOTS: u64 = 40;
/// Requests of a program, as long as the organisation's own programs are unknown.
const ASSUMED_REQUESTS: u64 = 10;
/// Number of assumed programs in the initial mean.
const ASSUMED_PROGRAMS: u64 = 32;
/// Number of programs after which the counts for the mean are halved, so that it follows changes.
const MEAN_PROGRAMS: u64 = 1_024;
/// Age from which a program counts in the mean, in milliseconds. The requests of newer programs are
/// yet to come, and would be missing from the mean when many programs begin at once.
const MEAN_DELAY_MS: u64 = 2_000;
/// How long an account is kept after its last request, in milliseconds.
const ACCOUNT_RETENTION_MS: u64 = 600_000;

/// Error returned when an organisation's limit doesn't allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReached {
    /// Time until the limit allows the request, in milliseconds.
    pub retry_ms: u64,
    /// Requests in the current window.
    pub used: u64,
}

/// Kind of a request, which decides how much of the limit it may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrawKind {
    /// First request of a program, which commits the organisation to the program's other requests.
    NewProgram,
    /// Request of a program under way.
    UnderWay,
    /// Request that belongs to no program.
    Single,
}

/// Use of one organisation's limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Account {
    pub(super) limit: wire::Limit,
    /// Slots with requests, oldest first.
    pub(super) slots: VecDeque<wire::SlotRecord>,
    /// Recent programs, and their requests.
    pub(super) programs: u64,
    pub(super) requests: u64,
}

/// Use of the limits, by organisation.
#[derive(Clone, Debug, Default)]
pub(super) struct Accounts {
    pub(super) accounts: BTreeMap<CompactString, Account>,
}

/// An organisation's use of its limit, for operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LimitUse {
    /// Name of the organisation.
    pub organisation: CompactString,
    /// Requests in the current window.
    pub used: u64,
    /// Most requests in a window.
    pub limit: u64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

impl Accounts {
    /// Checks a request against the limit. `pending` requests have been granted and aren't counted
    /// yet.
    pub(super) fn check(
        &self,
        now: u64,
        draw: &wire::Draw,
        kind: DrawKind,
        pending: u64,
    ) -> Result<(), LimitReached> {
        let new = Account::default();
        let account = self.accounts.get(draw.organisation.as_str()).unwrap_or(&new);
        account.check(now, account.newest_limit(draw), kind, pending)
    }

    /// Records that a program under way was refused a request, after which it asks for no further
    /// ones. Without its missing requests, the mean would fall and let even more programs begin.
    pub(super) fn record_broken(&mut self, organisation: &str) {
        let Some(account) = self.accounts.get_mut(organisation) else { return };
        let (programs, requests) = account.mean(u64::MAX);
        account.requests += requests / programs / 2;
    }

    /// Counts requests that may run.
    pub(super) fn count(&mut self, now: u64, draw: &wire::Draw, kind: DrawKind) {
        let account = self.accounts.entry(draw.organisation.to_compact_string()).or_default();
        account.limit = account.newest_limit(draw);
        account.count(now, draw.requests, kind == DrawKind::NewProgram);
    }

    /// Removes accounts without recent requests.
    pub(super) fn expire(&mut self, now: u64) {
        self.accounts.retain(|_, account| {
            let last = account.slots.back().map_or(0, |slot| slot.start_ms);
            now.saturating_sub(last) < ACCOUNT_RETENTION_MS
        });
    }

    /// Returns the use of every limit.
    pub(super) fn usage(&self, now: u64) -> Vec<LimitUse> {
        let usage = self.accounts.iter().map(|(name, account)| LimitUse {
            organisation: name.clone(),
            used: account.used(now).0,
            limit: account.limit.requests,
            window_ms: account.limit.window_ms,
        });
        usage.collect()
    }
}

impl Account {
    /// Returns the newer one of the known limit and that of a request. Entry VMs may have different
    /// bundle revisions for a moment.
    fn newest_limit(&self, draw: &wire::Draw) -> wire::Limit {
        let stated = draw.limit.unwrap_or_default();
        if stated.revision >= self.limit.revision { stated } else { self.limit }
    }

    fn check(
        &self,
        now: u64,
        limit: wire::Limit,
        kind: DrawKind,
        pending: u64,
    ) -> Result<(), LimitReached> {
        let (used, programs) = self.used(now);
        let used = used + pending;
        let most = match kind {
            DrawKind::UnderWay => limit.requests + limit.overdraft,
            DrawKind::NewProgram | DrawKind::Single => limit.requests,
        };
        let excess = (used + 1).saturating_sub(most);
        if excess > 0 {
            let retry_ms = self.retry_ms(now, limit, excess, |slot| slot.requests.into());
            return Err(LimitReached { retry_ms, used });
        }
        let (mean_programs, mean_requests) = self.mean(now);
        let fitting = (limit.requests.saturating_mul(mean_programs) / mean_requests).max(1);
        let excess = (programs + 1).saturating_sub(fitting);
        if kind == DrawKind::NewProgram && excess > 0 {
            let retry_ms = self.retry_ms(now, limit, excess, |slot| slot.programs.into());
            return Err(LimitReached { retry_ms, used });
        }
        Ok(())
    }

    fn count(&mut self, now: u64, requests: u32, is_new: bool) {
        while self.slots.front().is_some_and(|slot| self.leaves_at(slot) <= now) {
            self.slots.pop_front();
        }
        let programs = u32::from(is_new);
        let slot_ms = self.slot_ms();
        let start_ms = now - now % slot_ms;
        match self.slots.back_mut().filter(|slot| slot.start_ms >= start_ms) {
            Some(slot) => {
                slot.requests = slot.requests.saturating_add(requests);
                slot.programs = slot.programs.saturating_add(programs);
            }
            None => self.slots.push_back(wire::SlotRecord { start_ms, requests, programs }),
        }
        self.requests += u64::from(requests);
        self.programs += u64::from(programs);
        if self.programs > MEAN_PROGRAMS {
            (self.programs, self.requests) = (self.programs / 2, self.requests / 2);
        }
    }

    /// Returns the numbers of requests and new programs in the current window.
    fn used(&self, now: u64) -> (u64, u64) {
        let recent = self.slots.iter().filter(|slot| self.leaves_at(slot) > now);
        recent.fold((0, 0), |(requests, programs), slot| {
            (requests + u64::from(slot.requests), programs + u64::from(slot.programs))
        })
    }

    /// Returns a number of programs, and the number of requests that they needed together.
    fn mean(&self, now: u64) -> (u64, u64) {
        let newest = self.slots.iter().filter(|slot| slot.start_ms + MEAN_DELAY_MS > now);
        let newest: u64 = newest.map(|slot| u64::from(slot.programs)).sum();
        let programs = self.programs.saturating_sub(newest) + ASSUMED_PROGRAMS;
        (programs, self.requests + ASSUMED_REQUESTS * ASSUMED_PROGRAMS)
    }

    /// Returns the time until slots with at least `excess` have left the window, in milliseconds.
    fn retry_ms(
        &self,
        now: u64,
        limit: wire::Limit,
        excess: u64,
        counted: impl Fn(&wire::SlotRecord) -> u64,
    ) -> u64 {
        let mut left = excess;
        for slot in self.slots.iter().filter(|slot| self.leaves_at(slot) > now) {
            left = left.saturating_sub(counted(slot));
            if left == 0 {
                return self.leaves_at(slot) - now;
            }
        }
        limit.window_ms
    }

    /// Returns the time at which no request of a slot is in the window any more.
    fn leaves_at(&self, slot: &wire::SlotRecord) -> u64 {
        slot.start_ms + self.slot_ms() + self.limit.window_ms
    }

    fn slot_ms(&self) -> u64 {
        (self.limit.window_ms / SLOTS).max(1)
    }
}

/// Requests that a leader has granted and that the group's state doesn't count yet.
///
/// A commit for each request would delay it, so the leader reports grants with its next command. A
/// grant is lost with its leader only if the leader fails in between.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    unsent: BTreeMap<CompactString, wire::Draw>,
    /// Granted requests that aren't applied, by organisation.
    unapplied: BTreeMap<CompactString, u64>,
}

impl Grants {
    /// Adds a granted request.
    pub fn add(&mut self, draw: &wire::Draw) {
        let organisation = draw.organisation.to_compact_string();
        *self.unapplied.entry(organisation).or_default() += u64::from(draw.requests);
        self.add_unsent(draw.clone());
    }

    fn add_unsent(&mut self, draw: wire::Draw) {
        match self.unsent.get_mut(draw.organisation.as_str()) {
            Some(sum) => sum.requests = sum.requests.saturating_add(draw.requests),
            None => drop(self.unsent.insert(draw.organisation.to_compact_string(), draw)),
        }
    }

    /// Returns the number of granted requests of an organisation that aren't counted yet.
    pub fn pending(&self, organisation: &str) -> u64 {
        self.unapplied.get(organisation).copied().unwrap_or_default()
    }

    /// Returns the grants to report with the next command.
    pub fn take(&mut self) -> Vec<wire::Draw> {
        std::mem::take(&mut self.unsent).into_values().collect()
    }

    /// Returns grants whose report may have been lost, so that the next command reports them again.
    pub fn put_back(&mut self, draws: Vec<wire::Draw>) {
        for draw in draws {
            self.add_unsent(draw);
        }
    }

    /// Records that reported grants are counted now.
    pub fn applied(&mut self, draws: &[wire::Draw]) {
        for draw in draws {
            let Some(pending) = self.unapplied.get_mut(draw.organisation.as_str()) else {
                continue;
            };
            *pending = pending.saturating_sub(draw.requests.into());
            if *pending == 0 {
                self.unapplied.remove(draw.organisation.as_str());
            }
        }
    }

    /// Returns whether no grant is to be reported.
    pub fn is_empty(&self) -> bool {
        self.unsent.is_empty()
    }
}
