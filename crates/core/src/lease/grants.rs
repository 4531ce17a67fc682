//! Granting side of the configuration lease: which VMs may act on which revision, and until when.

use std::collections::BTreeMap;

use super::{LeaseSettings, Mutation};
use crate::prelude::*;
use crate::wire::control::{ConfirmRequest, LeaseGrant};

/// Leases that a process has granted. They aren't stored: a new leader starts without any and waits
/// for a grace period.
#[derive(Clone, Debug)]
pub struct ConfigGrants {
    settings: LeaseSettings,
    records: BTreeMap<VmId, Record>,
    /// Until then, leases that an earlier leader granted may be running.
    grace_until: Time,
}

/// Leases granted to one VM and the revision that it confirmed.
#[derive(Clone, Debug, Default)]
struct Record {
    confirmed: RevisionNumber,
    leases: Vec<GrantedLease>,
}

/// Permission of a VM and its downstream VMs to act on `revision` or a newer one until `until`.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    incarnation: u64,
    revision: RevisionNumber,
    until: Time,
}

/// Whether a revision is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// No VM acts on an older revision, now or later.
    Yes,
    /// Leases for older revisions may still be running.
    Waiting(Waiting),
}

/// Leases that must expire before a revision is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// VMs that hold a lease for an older revision, or whose downstream VMs do.
    pub vms: Vec<VmId>,
    /// When the last of these leases has expired, even if no VM responds.
    pub until: Time,
}

/// Lease of one VM, as known to its granter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmStatus {
    /// VM that holds the lease.
    pub vm: VmId,
    /// Latest revision that the VM has confirmed.
    pub confirmed: RevisionNumber,
    /// Lowest revision that the VM or its downstream VMs may act on; `None` if no lease is running.
    pub floor: Option<RevisionNumber>,
    /// When the VM's last lease has expired.
    pub until: Time,
}

impl ConfigGrants {
    /// Creates the grants of a relay, which are limited by the relay's own lease.
    pub fn new(settings: LeaseSettings) -> ConfigGrants {
        ConfigGrants { settings, records: BTreeMap::new(), grace_until: Time::ZERO }
    }

    /// Creates the grants of a new control leader.
    ///
    /// The leader doesn't know the leases that its predecessor granted, and their holders may be
    /// cut off and acting on an older revision. No revision is in force until a whole lease has
    /// passed. The caller must grant only while it holds its leadership lease, so that no grant of
    /// the predecessor is later than `now`.
    pub fn for_leader(settings: LeaseSettings, now: Time) -> ConfigGrants {
        let mut grants = ConfigGrants::new(settings);
        if settings.mutation != Mutation::NoGracePeriod {
            grants.grace_until = now + settings.expiry_wait(settings.length());
        }
        grants
    }

    /// Records a VM's confirmation and grants a lease if the VM has applied `current`.
    ///
    /// `limit` is the remaining time of the granter's own lease; the leader passes the length of a
    /// whole lease. Returns `None` if the VM must apply another revision first, or if no time
    /// remains.
    pub fn grant(
        &mut self,
        request: &ConfirmRequest,
        current: RevisionNumber,
        limit: Duration,
        now: Time,
    ) -> Option<LeaseGrant> {
        self.confirm(request, now);
        let extends = self.settings.mutation == Mutation::RelayIgnoresLimit;
        let length = self.settings.length();
        let length = if extends { length } else { length.min(limit) };
        if RevisionNumber(request.applied) != current || current.0 == 0 || length.is_zero() {
            return None;
        }
        let lease = GrantedLease {
            incarnation: request.incarnation,
            revision: current,
            until: now + self.settings.expiry_wait(length),
        };
        self.records.entry(VmId(request.vm)).or_default().add(lease);
        let micros = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        Some(LeaseGrant { revision: current.0, micros })
    }

    /// Raises the revision of the VM's running leases to the confirmed floor.
    ///
    /// The leases aren't removed: they go on under the newer revision, so a later revision must
    /// still wait for them. Leases of an earlier incarnation stay unchanged, since the new process
    /// doesn't know to which VMs the earlier one granted leases.
    fn confirm(&mut self, request: &ConfirmRequest, now: Time) {
        let floor = RevisionNumber(request.floor);
        let record = self.records.entry(VmId(request.vm)).or_default();
        record.confirmed = record.confirmed.max(RevisionNumber(request.applied));
        record.leases.retain(|lease| lease.until > now);
        for lease in &mut record.leases {
            let same = lease.incarnation == request.incarnation;
            if same || self.settings.mutation == Mutation::IgnoreIncarnation {
                lease.revision = lease.revision.max(floor);
            }
        }
    }

    /// Returns the lowest revision that this process, which acts on `own`, or a downstream VM may
    /// act on. A relay confirms it to its own granter.
    pub fn floor(&self, own: RevisionNumber, now: Time) -> RevisionNumber {
        if self.settings.mutation == Mutation::RelayHidesChildren {
            return own;
        }
        let floors = self.records.values().filter_map(|record| record.floor(now));
        floors.min().map_or(own, |floor| floor.min(own))
    }

    /// Returns whether `revision`, which the caller has committed and applied, is in force
    /// everywhere. Once in force, a revision stays so under any leader.
    pub fn in_force(&self, revision: RevisionNumber, now: Time) -> InForce {
        if self.settings.mutation == Mutation::NoExpiryWait {
            return InForce::Yes;
        }
        let mut waiting = Waiting { vms: Vec::new(), until: self.grace_until };
        for (vm, record) in &self.records {
            if let Some(until) = record.older_until(revision, now) {
                waiting.vms.push(*vm);
                waiting.until = waiting.until.max(until);
            }
        }
        if waiting.until > now { InForce::Waiting(waiting) } else { InForce::Yes }
    }

    /// Returns the status of each VM that has requested a lease here.
    pub fn status(&self, now: Time) -> Vec<VmStatus> {
        let status = |(vm, record): (&VmId, &Record)| VmStatus {
            vm: *vm,
            confirmed: record.confirmed,
            floor: record.floor(now),
            until: record.leases.iter().map(|lease| lease.until).max().unwrap_or_default(),
        };
        self.records.iter().map(status).collect()
    }

    /// Removes VMs whose leases have expired, so that replaced VMs don't accumulate.
    pub fn expire(&mut self, now: Time) {
        self.records.retain(|_, record| record.leases.iter().any(|lease| lease.until > now));
    }
}

impl Record {
    fn add(&mut self, lease: GrantedLease) {
        let same = |other: &&mut GrantedLease| {
            other.incarnation == lease.incarnation && other.revision == lease.revision
        };
        match self.leases.iter_mut().find(same) {
            Some(other) => other.until = other.until.max(lease.until),
            None => self.leases.push(lease),
        }
    }

    fn running(&self, now: Time) -> impl Iterator<Item = &GrantedLease> {
        self.leases.iter().filter(move |lease| lease.until > now)
    }

    fn floor(&self, now: Time) -> Option<RevisionNumber> {
        self.running(now).map(|lease| lease.revision).min()
    }

    fn older_until(&self, revision: RevisionNumber, now: Time) -> Option<Time> {
        self.running(now).filter(|lease| lease.revision < revision).map(|lease| lease.until).max()
    }
}
