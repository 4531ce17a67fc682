//! Choice of the stores that hold the texts of a program's turns.
//!
//! Uses rendezvous hashing: each entry VM computes the same stores for a program, so the texts of a
//! conversation stay together, and a store that is added or removed affects only its own texts.

use std::collections::BTreeSet;

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;
use crate::replication::repair::StoreInfo;

/// Returns the stores in order of preference for the texts that belong to `key`, without those that
/// are retiring.
///
/// Stores in `region` come first, since the links between regions have little bandwidth and are
/// billed by volume. Within a region, one store of each failure domain comes before a second one of
/// any.
pub fn preferred_stores(key: &str, region: &str, stores: &[StoreInfo]) -> Vec<VmId> {
    let mut ranked: Vec<&StoreInfo> = stores.iter().filter(|store| !store.retiring).collect();
    ranked.sort_by_key(|store| (store.region != region, score(key, store.vm), store.vm));
    let mut domains = BTreeSet::new();
    let mut order: Vec<(bool, bool, VmId)> = Vec::with_capacity(ranked.len());
    for store in ranked {
        let repeats_domain = !domains.insert(&store.domain);
        order.push((store.region != region, repeats_domain, store.vm));
    }
    // The sort is stable, so the order by score is preserved within each class.
    order.sort_by_key(|(cross_region, repeats_domain, _)| (*cross_region, *repeats_domain));
    order.into_iter().map(|(_, _, vm)| vm).collect()
}

fn score(key: &str, vm: VmId) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&vm.0.to_le_bytes());
    hasher.digest()
}
