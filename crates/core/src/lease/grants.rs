//! The granting side: which VM may still act on which revision, and until when.

use std::collections::BTreeMap;

use super::{LeaseSettings, Mutation};
use crate::prelude::*;
use crate::wire::control::{ConfirmRequest, LeaseGrant};

/// Leases that one process granted. Volatile: a new leader starts with an empty one and waits.
#[derive(Clone, Debug)]
pub struct ConfigGrants {
    settings: LeaseSettings,
    records: BTreeMap<VmId, Record>,
    /// Until then, leases that an earlier leader granted may be running unseen.
    grace_until: Time,
}

/// What one VM was granted.
#[derive(Clone, Debug, Default)]
struct Record {
    confirmed: RevisionNumber,
    leases: Vec<GrantedLease>,
}

/// The VM, or one it relays to, may act on `revision` or a newer one until `until`.
#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    incarnation: u64,
    revision: RevisionNumber,
    until: Time,
}

/// Whether a revision is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InForce {
    /// No VM acts on an older revision, nor ever will again.
    Yes,
    /// These may still act on an older revision.
    Waiting(Waiting),
}

/// What a revision waits for before it is in force everywhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// VMs, with the VMs they relay to, that hold an older lease.
    pub vms: Vec<VmId>,
    /// When the last of those leases is over, even if no VM is heard from again.
    pub until: Time,
}

/// What the granting side knows of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmStatus {
    /// The VM.
    pub vm: VmId,
    /// Revision that it last confirmed.
    pub confirmed: RevisionNumber,
    /// Lowest revision that it or a VM behind it may act on; `None` if no lease is running.
    pub floor: Option<RevisionNumber>,
    /// When its last lease is surely over.
    pub until: Time,
}

impl ConfigGrants {
    /// Starts the granting side of a relay, whose own lease already bounds what it grants.
    pub fn new(settings: LeaseSettings) -> ConfigGrants {
        ConfigGrants { settings, records: BTreeMap::new(), grace_until: Time::ZERO }
    }

    /// Starts the granting side of a new control leader.
    ///
    /// Its predecessor's leases are unknown to it, and a VM that holds one may be cut off and
    /// acting on an older revision. Nothing is in force until a whole lease has passed. The
    /// caller grants only while it holds its leadership lease, so no grant of the predecessor is
    /// younger than `now`.
    pub fn for_leader(settings: LeaseSettings, now: Time) -> ConfigGrants {
        let mut grants = ConfigGrants::new(settings);
        if settings.mutation != Mutation::NoGracePeriod {
            grants.grace_until = now + settings.expiry_wait(settings.length());
        }
        grants
    }

    /// Takes a VM's confirmation and grants it a lease if it acts on `current`.
    ///
    /// `limit` is what the granter's own lease has left; the leader passes the whole length.
    /// Returns `None` if the VM must apply another revision first, or nothing is left.
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

    /// Raises the VM's outstanding leases to the floor that it confirms.
    ///
    /// They are raised and not dropped: the lease goes on under the newer revision, so a later
    /// one must still wait for it. Leases of an earlier life stay as they are, since the new
    /// process knows nothing of the VMs that its earlier life relayed to.
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

    /// Returns the lowest revision that this process, acting on `own`, or a VM behind it may act
    /// on: what a relay confirms to its own granter.
    pub fn floor(&self, own: RevisionNumber, now: Time) -> RevisionNumber {
        if self.settings.mutation == Mutation::RelayHidesChildren {
            return own;
        }
        let floors = self.records.values().filter_map(|record| record.floor(now));
        floors.min().map_or(own, |floor| floor.min(own))
    }

    /// Tells whether `revision`, which the caller has committed and applied, is in force
    /// everywhere. Once it is, it stays so, whoever leads.
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

    /// Returns what is known of each VM that asked here.
    pub fn status(&self, now: Time) -> Vec<VmStatus> {
        let status = |(vm, record): (&VmId, &Record)| VmStatus {
            vm: *vm,
            confirmed: record.confirmed,
            floor: record.floor(now),
            until: record.leases.iter().map(|lease| lease.until).max().unwrap_or_default(),
        };
        self.records.iter().map(status).collect()
    }

    /// Forgets VMs whose leases are over, so that the map doesn't grow with replaced VMs.
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
