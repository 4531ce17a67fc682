//! Rumours about a VM merge to the same state in any order.

use bytes::Bytes;
use gypsumglade_core::membership::{Input, Liveness, Membership, Mutation, Settings, Times};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::membership::{Datagram, Profile, Rumour};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use prost::Message;

fn rumour(incarnation: u32, liveness: Liveness, version: u32) -> Rumour {
    let profile = Profile {
        address: Bytes::from_static(&[10, 0, 0, 2, 1, 1]),
        digest: Bytes::copy_from_slice(&version.to_be_bytes()),
        version,
        incarnation,
        ..Profile::default()
    };
    Rumour { vm: 2, incarnation, liveness: liveness.into(), accuser: 3, profile: Some(profile) }
}

fn any_rumour() -> impl Strategy<Value = Rumour> {
    let liveness = vec![Liveness::Alive, Liveness::Suspect, Liveness::Dead, Liveness::Left];
    (0..4_u32, prop::sample::select(liveness), 0..3_u32)
        .prop_map(|(incarnation, liveness, version)| rumour(incarnation, liveness, version))
}

/// Returns a new VM's state of vm2 after a first rumour that vm2 is alive and then `rumours`.
fn merged_state(mutation: Mutation, rumours: &[Rumour]) -> (Liveness, u32, Bytes) {
    let settings = Settings {
        vm: VmId(1),
        address: ([10, 0, 0, 1], 257).into(),
        domain: DomainId(0),
        region: RegionId(0),
        seeds: Vec::new(),
        incarnation: 0,
        seed: 1,
        times: Times::default(),
        mutation,
    };
    let mut node = Membership::new(settings, Time::ZERO);
    let first = rumour(0, Liveness::Alive, 0);
    for rumour in std::iter::once(&first).chain(rumours) {
        let datagram = Datagram { from: 3, body: None, rumours: vec![rumour.clone()] };
        let bytes = datagram.encode_to_vec().into();
        node.step(Time::ZERO, Input::Datagram { from: ([10, 0, 0, 3], 257).into(), bytes });
    }
    let member = node.member(VmId(2)).expect("vm2 is known");
    (member.liveness, member.incarnation, member.digest.clone())
}

fn run(mutation: Mutation) -> Result<(), String> {
    let config = Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let rumours = prop::collection::vec(any_rumour(), 1..8);
    let orders =
        rumours.prop_flat_map(|rumours| (Just(rumours.clone()), Just(rumours).prop_shuffle()));
    let result = TestRunner::new(config).run(&orders, |(rumours, shuffled)| {
        prop_assert_eq!(merged_state(mutation, &rumours), merged_state(mutation, &shuffled));
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn merge_in_any_order() {
    // Datagrams are reordered and duplicated. VMs that receive the same rumours in a different
    // order must converge to the same state.
    assert_eq!(run(Mutation::None), Ok(()));
}

#[test]
fn merge_without_incarnations_is_caught() {
    assert!(run(Mutation::IgnoreIncarnation).is_err());
}
