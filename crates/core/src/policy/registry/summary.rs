//! Summaries of endpoints, which their home VM sends to the other VMs.
//!
//! Sending every announcement to every VM would take too much bandwidth in a large cluster. The
//! home VM keeps the full state and sends three small columns: leases, calls and cache use. Names
//! are left out: both sides hold the roster, and a hash of it shows when they differ.
//! docs/design/registry.md has the calculation.

use super::{EndpointKey, LoadReport, Registry, home};
use crate::prelude::*;
use crate::wire::endpoint::HomeSummary;

/// Milliseconds in the unit of leases and ages, a tenth of a second.
const TENTH_MS: u64 = 100;

/// Number of a home VM's summary; later ones are greater, also after the home VM restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SummaryNumber {
    /// Incarnation of the home VM.
    pub incarnation: u32,
    /// Number of the summary within the incarnation.
    pub sequence: u32,
}

/// The receiver knows other endpoints of this home VM than the sender, and must fetch the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the endpoints of {home} differ from those known here; fetch its roster")]
pub struct RosterMismatch {
    /// Home VM that has the roster.
    pub home: VmId,
}

impl Registry {
    /// Assigns all endpoints to their home VMs among the live ones.
    ///
    /// Needed after a change of membership or of the endpoints, not for each summary.
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

    /// Returns the endpoints whose home is `vm`, ordered by name.
    pub fn roster(&self, vm: VmId) -> &[EndpointKey] {
        self.rosters.get(&vm).map_or(&[], Vec::as_slice)
    }

    /// Returns a summary of the endpoints whose home is this VM.
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
            // Zero means leaving, so a lease that is about to expire counts as at least one unit.
            summary.leases.push(if endpoint.leaving { 0 } else { (left as u32).max(1) });
            summary.calls.push(load.total);
            summary
                .cached
                .push((load.cached_tokens * 100 / endpoint.kind.cache_tokens().max(1)) as u32);
        }
        summary
    }

    /// Applies a summary of a home VM: renews leases, updates loads, and marks endpoints that
    /// leave.
    ///
    /// # Errors
    ///
    /// Returns [`RosterMismatch`] without any change if the rosters differ, since the columns would
    /// then apply to the wrong endpoints.
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
        // A summary that arrives late would renew leases that have expired since.
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
