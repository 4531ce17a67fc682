//! Choice of the stores that hold the texts of a program's turns.

#[path = "support/property.rs"]
mod property;

use std::collections::BTreeSet;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::StoreInfo;
use gypsumglade_core::turns::preferred_stores;
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

/// Default number of cases of each property.
const CASES: u32 = 256;
/// Seed of the properties' random choices.
const SEED: u64 = 23;
/// Number of programs whose texts are distributed over the stores.
const PROGRAMS: usize = 3_000;

fn store(vm: u32, domain: &str, region: &str) -> StoreInfo {
    let (domain, region) = (domain.into(), region.into());
    StoreInfo { vm: VmId(vm), domain, region, retiring: false }
}

fn any_stores() -> impl Strategy<Value = Vec<StoreInfo>> {
    let place = (0..3_u32, 0..2_u32, any::<bool>());
    prop::collection::vec(place, 0..9).prop_map(|places| {
        let stores = places.into_iter().zip(1..);
        let stores = stores.map(|((domain, region, retiring), vm)| {
            let store = store(vm, &format!("{region}{domain}"), &region.to_string());
            StoreInfo { retiring, ..store }
        });
        stores.collect()
    })
}

/// Serving stores of the own region come first, and within a region one store of each failure
/// domain comes before a second one of any.
#[test]
fn preferred_stores_any() {
    let mut runner = TestRunner::new(fixed(SEED, cases(CASES)));
    let property = |(stores, program): (Vec<StoreInfo>, u32)| {
        let order = preferred_stores(&program.to_string(), "0", &stores);
        let find = |vm: &VmId| stores.iter().find(|store| store.vm == *vm).expect("a known store");
        let distinct: BTreeSet<VmId> = order.iter().copied().collect();
        let serving: BTreeSet<VmId> =
            stores.iter().filter(|store| !store.retiring).map(|store| store.vm).collect();
        prop_assert_eq!(order.len(), distinct.len());
        prop_assert_eq!(distinct, serving);
        let cross_region: Vec<bool> = order.iter().map(|vm| find(vm).region != "0").collect();
        prop_assert!(cross_region.is_sorted());
        for region in ["0", "1"] {
            let here = order.iter().map(find).filter(|store| store.region == region);
            let domains: Vec<&str> = here.map(|store| store.domain.as_str()).collect();
            let first: BTreeSet<&str> = domains.iter().copied().collect();
            let leading: BTreeSet<&str> = domains[..first.len()].iter().copied().collect();
            prop_assert_eq!(first, leading);
        }
        Ok(())
    };
    runner.run(&(any_stores(), any::<u32>()), property).expect("the property holds");
}

/// Entry VMs that list the stores in a different order must choose the same ones.
#[test]
fn preferred_stores_any_input_order() {
    let mut runner = TestRunner::new(fixed(SEED, cases(CASES)));
    let property = |(mut stores, program): (Vec<StoreInfo>, u32)| {
        let program = program.to_string();
        let before = preferred_stores(&program, "0", &stores);
        stores.reverse();
        prop_assert_eq!(preferred_stores(&program, "0", &stores), before);
        Ok(())
    };
    runner.run(&(any_stores(), any::<u32>()), property).expect("the property holds");
}

/// A new store must not change the order of the others, since chains would be spread over many
/// stores.
#[test]
fn preferred_stores_new_store() {
    let mut stores: Vec<_> = (1..=4).map(|vm| store(vm, &format!("d{vm}"), "south")).collect();
    let before: Vec<_> = (0..PROGRAMS)
        .map(|program| preferred_stores(&program.to_string(), "south", &stores))
        .collect();
    stores.push(store(5, "d5", "south"));
    let mut moved = 0;
    for (program, before) in before.into_iter().enumerate() {
        let mut after = preferred_stores(&program.to_string(), "south", &stores);
        moved += usize::from(after[..2] != before[..2]);
        after.retain(|vm| *vm != VmId(5));
        assert_eq!(after, before);
    }
    // The new store is expected among the first two of five for two fifths of the programs.
    assert!((PROGRAMS / 3..PROGRAMS / 2).contains(&moved), "{moved}");
}

#[test]
fn preferred_stores_even_load() {
    let stores: Vec<_> = (1..=3).map(|vm| store(vm, &format!("d{vm}"), "south")).collect();
    for vm in 1..=3 {
        let first = |program: &usize| preferred_stores(&program.to_string(), "south", &stores)[0];
        let count = (0..PROGRAMS).filter(|program| first(program) == VmId(vm)).count();
        assert!((PROGRAMS / 4..PROGRAMS / 2).contains(&count), "{vm}: {count}");
    }
}
