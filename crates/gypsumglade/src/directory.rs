//! Addresses of the other VMs, from the settings, membership and discovery.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{RwLock, RwLockReadGuard};

use gypsumglade_core::prelude::*;
use gypsumglade_core::roster::GroupReport;

use crate::settings::Settings;

/// Address of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// Identity of the VM.
    pub vm: VmId,
    /// Region that the VM is in.
    pub region: RegionId,
    /// Address of its listener for calls between VMs.
    pub peers: SocketAddr,
}

/// Addresses of the deployment's entries and stores, shared by all tasks of a process.
#[derive(Debug)]
pub struct Directory {
    entries: RwLock<Vec<EntryAddress>>,
    stores: RwLock<BTreeMap<VmId, SocketAddr>>,
    groups: RwLock<BTreeMap<GroupId, GroupReport>>,
}

impl Directory {
    /// Creates a directory of the peers that the settings list.
    pub fn new(settings: &Settings) -> Directory {
        let region = |name: &str| settings.region_id(name).unwrap_or_default();
        let entries = settings.peers.iter().map(|peer| EntryAddress {
            vm: peer.id(),
            region: region(&peer.region),
            peers: peer.peers,
        });
        let stores = settings.peers.iter().filter_map(|peer| Some((peer.id(), peer.store?)));
        Directory {
            entries: RwLock::new(entries.collect()),
            stores: RwLock::new(stores.collect()),
            groups: RwLock::default(),
        }
    }

    /// Returns the entry VMs that are up, including this one if it is listed.
    pub fn entries(&self) -> Vec<EntryAddress> {
        self.read_entries().clone()
    }

    /// Returns an entry VM's address, or `None` if it is not known or down.
    pub fn entry(&self, vm: VmId) -> Option<SocketAddr> {
        self.read_entries().iter().find(|entry| entry.vm == vm).map(|entry| entry.peers)
    }

    /// Replaces the entry VMs with those that membership reports as up.
    pub fn set_entries(&self, entries: Vec<EntryAddress>) {
        *self.entries.write().expect("no panic while held") = entries;
    }

    /// Returns the addresses of all known stores.
    pub fn stores(&self) -> BTreeMap<VmId, SocketAddr> {
        self.stores.read().expect("no panic while held").clone()
    }

    /// Returns a store's address, or `None` if it is not known.
    pub fn store(&self, vm: VmId) -> Option<SocketAddr> {
        self.stores.read().expect("no panic while held").get(&vm).copied()
    }

    /// Adds a store or changes its address, for an embedded store whose port the kernel has chosen.
    pub fn set_store(&self, vm: VmId, address: SocketAddr) {
        self.stores.write().expect("no panic while held").insert(vm, address);
    }

    /// Replaces the stores with those that discovery knows of.
    pub fn set_stores(&self, stores: BTreeMap<VmId, SocketAddr>) {
        *self.stores.write().expect("no panic while held") = stores;
    }

    /// Returns the latest report on a group, or `None` without a recent one.
    pub fn group_report(&self, group: GroupId) -> Option<GroupReport> {
        self.groups.read().expect("no panic while held").get(&group).cloned()
    }

    /// Replaces the reports on groups.
    pub fn set_group_reports(&self, reports: BTreeMap<GroupId, GroupReport>) {
        *self.groups.write().expect("no panic while held") = reports;
    }

    fn read_entries(&self) -> RwLockReadGuard<'_, Vec<EntryAddress>> {
        self.entries.read().expect("no panic while held")
    }
}
