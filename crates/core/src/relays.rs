//! Choice of the stores that pass the control group's news on to other processes.
//!
//! In a large deployment the leader would spend its processor on answering every process. Instead, a
//! few stores of each failure domain follow the leader, the other stores follow these, and entry VMs
//! follow stores of their own failure domain, so that the leader's load doesn't grow with the number
//! of entry VMs. See docs/design/fleet.md.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::prelude::*;
use crate::replication::repair::StoreInfo;

/// Number of stores from which on entry VMs follow relays. A leader serves the entry VMs of a smaller
/// deployment itself.
pub const MIN_STORES: usize = 16;

/// Stores of each failure domain that other stores follow: one, and one for when it fails.
const HEADS: usize = 2;

/// Longest time for which a process that has no list of endpoints keeps to a relay that has none either.
const START_PATIENCE: Duration = Duration::from_secs(4);

/// A process that answers for the control group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The group's leader.
    Leader,
    /// A store that follows the leader or another relay.
    Relay(VmId),
}

/// Returns the sources of a store, in order of preference.
///
/// Stores only follow stores with a lower number, so there are no cycles, even if their lists of
/// stores differ.
pub fn store_sources(me: VmId, domain: &str, stores: &[StoreInfo]) -> Vec<Source> {
    let mut heads: Vec<VmId> = Vec::new();
    if stores.len() >= MIN_STORES {
        let near = stores.iter().filter(|store| store.domain == domain && store.vm < me);
        heads.extend(near.map(|store| store.vm));
        heads.sort_unstable();
        heads.truncate(HEADS);
    }
    heads.into_iter().map(Source::Relay).chain([Source::Leader]).collect()
}

/// Returns the sources of an entry VM, in order of preference.
///
/// Each entry VM has its own order of the stores of its failure domain, followed by the others and
/// the leader, so that the entry VMs of a failed relay spread over all remaining ones.
pub fn entry_sources(me: VmId, domain: &str, stores: &[StoreInfo]) -> Vec<Source> {
    if stores.len() < MIN_STORES {
        return vec![Source::Leader];
    }
    let weight = |store: &StoreInfo| {
        let far = store.domain != domain;
        (far, xxh3_64_with_seed(&store.vm.0.to_le_bytes(), me.0.into()))
    };
    let mut order: Vec<_> = stores.iter().map(|store| (weight(store), store.vm)).collect();
    order.sort_unstable();
    let relays = order.into_iter().map(|(_, vm)| Source::Relay(vm));
    relays.chain([Source::Leader]).collect()
}

/// Returns whether a process keeps to a relay that is reachable but can't answer yet, after it has waited
/// for `waited`.
///
/// After a restart of all processes the list of endpoints reaches one level of relays after the other. If
/// those that wait for it asked others, and at last the leader, the leader would send the list to each of
/// them. A process that has a list turns to another source at once, since its list gets old.
pub fn keeps_to_relay(has_list: bool, waited: Duration) -> bool {
    !has_list && waited < START_PATIENCE
}
