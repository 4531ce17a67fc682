//! Choice of the stores that pass on the control group's news.

use std::collections::BTreeMap;

use gypsumglade_core::prelude::*;
use gypsumglade_core::relays::{MIN_STORES, Source, entry_sources, store_sources};
use gypsumglade_core::replication::repair::StoreInfo;

const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn stores(count: u32) -> Vec<StoreInfo> {
    let store = |number: u32| StoreInfo {
        vm: VmId(1 + number.wrapping_mul(2_654_435_761) % 1_000_003),
        domain: DOMAINS[number as usize % DOMAINS.len()].into(),
        region: "r".into(),
        retiring: false,
    };
    (0..count).map(store).collect()
}

/// Returns how many of the entry VMs ask each process first.
fn first_choices(entries: u32, stores: &[StoreInfo]) -> BTreeMap<String, usize> {
    let mut asked = BTreeMap::new();
    for number in 0..entries {
        let domain = DOMAINS[number as usize % DOMAINS.len()];
        let first = entry_sources(VmId(1_000_000_000 + number), domain, stores)[0];
        *asked.entry(format!("{first:?}")).or_default() += 1;
    }
    asked
}

/// Every entry VM asked the leader, whose processor was used up by some hundred of them.
#[test]
fn entry_sources_leave_leader_alone() {
    let stores = stores(120);
    for entries in [50, 200, 1_000] {
        let asked = first_choices(entries, &stores);
        assert_eq!(asked.get("Leader"), None, "of {entries} entry VMs");
        let most = asked.values().max().copied().unwrap_or_default();
        let share = (entries as usize).div_ceil(stores.len());
        assert!(most <= 4 * share, "{most} of {entries} ask one relay, {share} would be even");
    }
}

/// The entry VMs of a failed relay all moved to the same other one.
#[test]
fn entry_sources_spread_after_failure() {
    let stores = stores(120);
    let failed = stores[0].clone();
    let rest: Vec<StoreInfo> = stores.iter().filter(|store| **store != failed).cloned().collect();
    let relay = format!("{:?}", Source::Relay(failed.vm));
    let before = first_choices(1_000, &stores);
    let after = first_choices(1_000, &rest);
    let gained = after.iter().filter(|(name, count)| before.get(*name) < Some(count)).count();

    assert!(before[&relay] >= 4);
    assert!(gained >= before[&relay] / 2, "{gained} relays share {}", before[&relay]);
}

/// Every store asked the leader too.
#[test]
fn store_sources_are_bounded() {
    for count in [24, 120, 240] {
        let stores = stores(count);
        let of = |store: &StoreInfo| store_sources(store.vm, &store.domain, &stores);
        let direct = stores.iter().filter(|store| of(store)[0] == Source::Leader).count();
        assert_eq!(direct, DOMAINS.len(), "of {count} stores ask the leader");
        for store in &stores {
            let sources = of(store);
            assert_eq!(sources.last(), Some(&Source::Leader));
            for source in &sources {
                let Source::Relay(vm) = source else { continue };
                assert!(*vm < store.vm, "stores that follow each other would keep old news alive");
            }
        }
    }
}

/// A small deployment has no relays: they would only add a step.
#[test]
fn sources_small_deployment() {
    let stores = stores(MIN_STORES as u32 - 1);
    assert_eq!(entry_sources(VmId(9), "a", &stores), [Source::Leader]);
    assert_eq!(store_sources(stores[3].vm, &stores[3].domain, &stores), [Source::Leader]);
}
