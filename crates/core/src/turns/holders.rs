//! Which stores hold the text of a program's turns.
//!
//! Rendezvous hashing: each entry VM works out the same stores for a program, so the texts of one
//! conversation lie together, and a store that comes or goes moves only what it holds.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;
use crate::replication::repair::StoreInfo;

/// Returns stores in the order in which they should hold the texts that belong to `key`; those that are
/// to be emptied are left out.
///
/// Those of `region` come first, for the link between regions is narrow and paid by volume. Within a
/// region one store of each failure domain comes before a second one of any.
pub fn preferred_stores(key: &str, region: &str, stores: &[StoreInfo]) -> Vec<VmId> {
    let mut ranked: Vec<&StoreInfo> = stores.iter().filter(|store| !store.retiring).collect();
    ranked.sort_by_key(|store| (store.region != region, score(key, store.vm), store.vm));
    let mut domains = BTreeSet::new();
    let mut order: Vec<(bool, bool, VmId)> = Vec::with_capacity(ranked.len());
    for store in ranked {
        let repeats_domain = !domains.insert(&store.domain);
        order.push((store.region != region, repeats_domain, store.vm));
    }
    // Stable, so the order by score stays within each part.
    order.sort_by_key(|(cross_region, repeats_domain, _)| (*cross_region, *repeats_domain));
    order.into_iter().map(|(_, _, vm)| vm).collect()
}

fn score(key: &str, vm: VmId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&vm.0.to_le_bytes());
    hasher.digest()
}
