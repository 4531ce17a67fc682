//! Membership over real sockets on loopback.

use std::net::SocketAddr;

use bytes::Bytes;
use gypsumglade::membership::{
    ClusterKey, Handle, Liveness, Member, MembershipSettings, Times, start,
};
use gypsumglade_core::prelude::*;

fn key(secret: &'static [u8]) -> Option<ClusterKey> {
    ClusterKey::new(Bytes::from_static(secret))
}

fn launch(vm: u32, seeds: &[SocketAddr], key: Option<ClusterKey>) -> Handle {
    let times = Times { period_ms: 100, direct_ms: 30, gossip_ms: 30, ..Times::default() };
    let settings = MembershipSettings {
        vm: VmId(vm),
        seeds: seeds.to_vec(),
        key,
        times,
        ..MembershipSettings::default()
    };
    start(settings).expect("loopback can be bound")
}

/// Waits until the view of `handle` satisfies `done`.
async fn until(handle: &Handle, done: impl Fn(&[Member]) -> bool) {
    let mut view = handle.watch();
    view.wait_for(|view| done(&view.members)).await.expect("membership runs");
}

fn state(members: &[Member], vm: u32) -> Option<Liveness> {
    members.iter().find(|member| member.vm == VmId(vm)).map(|member| member.liveness)
}

#[tokio::test]
async fn start_joins_spreads_digests_and_leaves() {
    let secret = key(b"a secret of the cluster");
    let first = launch(1, &[], secret.clone());
    let seeds = [first.address()];
    let second = launch(2, &seeds, secret.clone());
    let third = launch(3, &seeds, secret);
    for handle in [&first, &second, &third] {
        until(handle, |members| members.len() == 3).await;
    }
    second.set_digest(Bytes::from_static(b"load")).await;
    until(&third, |members| members.iter().any(|member| member.digest == "load")).await;
    second.leave().await;
    until(&first, |members| state(members, 2) == Some(Liveness::Left)).await;
}

#[tokio::test]
async fn drop_is_noticed_as_a_death() {
    let first = launch(1, &[], None);
    let second = launch(2, &[first.address()], None);
    until(&first, |members| members.len() == 2).await;
    drop(second);
    until(&first, |members| state(members, 2) == Some(Liveness::Dead)).await;
}

#[tokio::test]
async fn stranger_without_key_is_not_believed() {
    // A host without the key sends datagrams that would add a VM or declare one dead.
    let first = launch(1, &[], key(b"a secret of the cluster"));
    let _stranger = launch(9, &[first.address()], key(b"the secret of another"));
    let friend = launch(2, &[first.address()], key(b"a secret of the cluster"));
    until(&friend, |members| state(members, 1) == Some(Liveness::Alive)).await;
    until(&first, |members| state(members, 2) == Some(Liveness::Alive)).await;
    assert_eq!(state(&first.members(), 9), None);
}
