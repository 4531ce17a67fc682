//! Summaries that the home VM of some endpoints sends to the other VMs.
//!
//! Telling every VM every announcement does not fit 10 KB/s at 390 VMs and 5,900 endpoints. The
//! home keeps the whole; the others get three small columns for each of its endpoints. Names are
//! left out: both sides hold the roster, and its hash shows when they differ. The arithmetic is in
//! docs/design/registry.md.

use super::{EndpointKey, LoadReport, Registry, home};
use crate::prelude::*;
use crate::wire::endpoint::HomeSummary;

/// Milliseconds in one unit of leases and ages.
const TENTH_MS: u64 = 100;

/// Number of a home's summary: a later one is greater, across restarts of the home too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SummaryNumber {
    /// Incarnation of the home VM.
    pub incarnation: u32,
    /// Counts the summaries of the incarnation.
    pub sequence: u32,
}

/// The receiver knows other endpoints of this home than the sender; it must fetch the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the endpoints of {home} differ from those known here; fetch its roster")]
pub struct RosterMismatch {
    /// The home VM that has the roster.
    pub home: VmId,
}

impl Registry {
    /// Sorts all endpoints to their homes among the live VMs.
    ///
    /// Needed after a change of membership or of the endpoints, and not for each summary.
    pub fn assign_homes(&mut self, live: &[VmId]) {
        self.rosters.clear();
        for (key, endpoint) in &self.endpoints {
            if let Some(vm) = home(&endpoint.name, live) {
                self.rosters.entry(vm).or_default().push(key);
            }
        }
        let endpoints = &self.endpoints;
        for roster in self.rosters.values_mut() {
            roster.sort_by(|a, b| endpoints[*a].name.cmp(&endpoints[*b].name));
        }
    }

    /// Returns the endpoints that a VM is the home of, in the order of their names.
    pub fn roster(&self, vm: VmId) -> &[EndpointKey] {
        self.rosters.get(&vm).map_or(&[], Vec::as_slice)
    }

    /// Sums up the endpoints that this VM is the home of.
    pub fn summarise(&self, now: Time, vm: VmId, number: SummaryNumber) -> HomeSummary {
        let mut summary = HomeSummary {
            home: vm.0,
            roster: self.roster_hash(vm),
            incarnation: number.incarnation,
            sequence: number.sequence,
            ..HomeSummary::default()
        };
        for endpoint in self.roster(vm).iter().filter_map(|key| self.endpoints.get(*key)) {
            let load = endpoint.load(now);
            let left = endpoint.lease_end.since(now).as_millis() as u64 / TENTH_MS;
            // Rounded to zero, a lease about to be renewed would read as leaving for good.
            summary.leases.push(if endpoint.leaving { 0 } else { (left as u32).max(1) });
            summary.calls.push(load.total);
            summary
                .cached
                .push((load.cached_tokens * 100 / endpoint.kind.cache_tokens().max(1)) as u32);
        }
        summary
    }

    /// Takes a home's summary in: leases go on, loads are news, and what leaves gets no new work.
    ///
    /// # Errors
    /// Fails without any change when the rosters differ. Applied all the same, the columns would
    /// renew the lease of the wrong endpoint.
    pub fn apply_summary(
        &mut self,
        now: Time,
        summary: &HomeSummary,
    ) -> Result<(), RosterMismatch> {
        let vm = VmId(summary.home);
        let roster = self.roster(vm).to_vec();
        let columns = [summary.leases.len(), summary.calls.len(), summary.cached.len()];
        if summary.roster != self.roster_hash(vm) || columns != [roster.len(); 3] {
            return Err(RosterMismatch { home: vm });
        }
        let number = SummaryNumber { incarnation: summary.incarnation, sequence: summary.sequence };
        // A summary that was held up on its way would renew leases that have since run out.
        if self.last_summaries.get(&vm).is_some_and(|last| *last >= number) {
            return Ok(());
        }
        self.last_summaries.insert(vm, number);
        let age = Duration::from_millis(u64::from(summary.age) * TENTH_MS);
        let max_lease = self.settings.max_lease;
        for (index, key) in roster.iter().enumerate() {
            let Some(endpoint) = self.endpoints.get_mut(*key) else { continue };
            let lease = Duration::from_millis(u64::from(summary.leases[index]) * TENTH_MS);
            endpoint.leaving |= lease.is_zero();
            endpoint.lease_end =
                endpoint.lease_end.max(now + lease.min(max_lease).saturating_sub(age));
            let cached_tokens =
                u64::from(summary.cached[index]) * endpoint.kind.cache_tokens() / 100;
            let running = summary.calls[index];
            endpoint
                .load
                .record_report(now, LoadReport { running, waiting: 0, cached_tokens, age });
            let name = endpoint.name.clone();
            if let Some(seen) = self.seen.get_mut(&name) {
                seen.left |= lease.is_zero();
            }
        }
        Ok(())
    }

    fn roster_hash(&self, vm: VmId) -> u32 {
        let mut hash = xxhash_rust::xxh3::Xxh3::new();
        for endpoint in self.roster(vm).iter().filter_map(|key| self.endpoints.get(*key)) {
            hash.update(endpoint.name.as_bytes());
            hash.update(&endpoint.incarnation.to_le_bytes());
        }
        hash.digest() as u32
    }
}
