//! Whom a process asks when it doesn't know who leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gypsumglade::directory::Directory;
use gypsumglade::leader_hint::LeaderHint;
use gypsumglade::settings::Settings;
use gypsumglade_core::prelude::*;

const FROZEN: VmId = VmId(2);

fn directory() -> Directory {
    let directory = Directory::new(&Settings::default());
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let stores: BTreeMap<_, _> = (1..=3).map(|vm| (VmId(vm), address(vm as u16))).collect();
    directory.set_stores(stores);
    directory
}

/// An operator's change is in force at most VMs, and one serves callers under the bundle before it
/// for seconds. The leader was suspended: its connections stay open, and until the followers elect
/// another they name it, so that the VM goes back to it time after time and waits for nothing.
#[test]
fn target_not_a_silent_store() {
    let (directory, now) = (directory(), Instant::now());
    let mut hint = LeaderHint::default();
    hint.confirm(FROZEN);
    hint.mark_unresponsive(FROZEN, now);
    for _ in 0..10 {
        let (asked, _) = hint.target(&directory, now).expect("three stores are known");
        assert_ne!(asked, FROZEN);
        hint.redirect(Some(asked), Some(FROZEN));
    }
}

#[test]
fn target_silent_store_later() {
    let (directory, now) = (directory(), Instant::now());
    let mut hint = LeaderHint::default();
    hint.mark_unresponsive(FROZEN, now);
    hint.redirect(Some(VmId(1)), Some(FROZEN));
    let later = now + Duration::from_secs(1);
    assert_eq!(hint.target(&directory, later).map(|(vm, _)| vm), Some(FROZEN));
}

#[test]
fn target_some_store_when_all_are_silent() {
    let (directory, now) = (directory(), Instant::now());
    let mut hint = LeaderHint::default();
    for vm in 1..=3 {
        hint.mark_unresponsive(VmId(vm), now);
    }
    assert!(hint.target(&directory, now).is_some());
}
