//! Where the other VMs are: stores from the settings, entries as membership reports them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{RwLock, RwLockReadGuard};

use gypsumglade_core::prelude::*;

use crate::settings::Settings;

/// An entry VM that takes calls from others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct EntryAddress {
    /// The VM.
    pub vm: VmId,
    /// Its region.
    pub region: RegionId,
    /// Its listener for calls between VMs.
    pub peers: SocketAddr,
}

/// Addresses of the deployment's processes, shared by all tasks of a process.
#[derive(Debug)]
pub struct Directory {
    entries: RwLock<Vec<EntryAddress>>,
    stores: RwLock<BTreeMap<VmId, SocketAddr>>,
}

impl Directory {
    /// Starts with what the settings name.
    pub fn new(settings: &Settings) -> Directory {
        let region = |name: &str| settings.region_id(name).unwrap_or_default();
        let entries = settings.peers.iter().map(|peer| EntryAddress {
            vm: peer.id(),
            region: region(&peer.region),
            peers: peer.peers,
        });
        let stores = settings.peers.iter().filter_map(|peer| Some((peer.id(), peer.store?)));
        Directory { entries: RwLock::new(entries.collect()), stores: RwLock::new(stores.collect()) }
    }

    /// Returns the entry VMs believed alive, this one included if it is listed.
    pub fn entries(&self) -> Vec<EntryAddress> {
        self.read_entries().clone()
    }

    /// Returns an entry VM's address.
    pub fn entry(&self, vm: VmId) -> Option<SocketAddr> {
        self.read_entries().iter().find(|entry| entry.vm == vm).map(|entry| entry.peers)
    }

    /// Takes the live entry VMs as membership now sees them.
    pub fn set_entries(&self, entries: Vec<EntryAddress>) {
        *self.entries.write().expect("no panic while held") = entries;
    }

    /// Returns the stores' addresses.
    pub fn stores(&self) -> BTreeMap<VmId, SocketAddr> {
        self.stores.read().expect("no panic while held").clone()
    }

    /// Returns one store's address.
    pub fn store(&self, vm: VmId) -> Option<SocketAddr> {
        self.stores.read().expect("no panic while held").get(&vm).copied()
    }

    /// Adds or moves a store, as the embedded default does once its port is known.
    pub fn set_store(&self, vm: VmId, address: SocketAddr) {
        self.stores.write().expect("no panic while held").insert(vm, address);
    }

    /// Takes the stores as discovery now sees them.
    pub fn set_stores(&self, stores: BTreeMap<VmId, SocketAddr>) {
        *self.stores.write().expect("no panic while held") = stores;
    }

    fn read_entries(&self) -> RwLockReadGuard<'_, Vec<EntryAddress>> {
        self.entries.read().expect("no panic while held")
    }
}
