//! Redirects of stores that don't lead a group.

mod store_support;

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::directory::Directory;
use gypsumglade::secret::Secret;
use gypsumglade::store::Store;
use gypsumglade_core::bundle::Bundle;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use gypsumglade_core::wire::operator::{ControlRequest, StatusQuery};
use gypsumglade_core::wire::turn::KeptQuery;
use store_support::StoreSetup;

const PEERS: u16 = 7_314;
/// Registrar's key of the operator that [`StoreSetup`] trusts.
const SIGNER: &str = "4c0f3a5be1d2967880b1c4d7e9fa263548596a7b8c9dae0f1a2b3c4d5e6f7081";
const TIMEOUT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(50);

fn ip(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (process[2] & 63), process[3], number)
}

/// Starts store `number` of the deployment that store `seed` forms.
async fn start(number: u8, seed: u8, tolerate: u32, folder: &Path) -> Store {
    let (own, seed) = (ip(number), ip(seed));
    let setup = StoreSetup::alone(own, PEERS, folder);
    let setup = StoreSetup { seeds: vec![seed], first: own == seed, tolerate, ..setup };
    let mut settings = setup.settings();
    settings.store.as_mut().expect("a store").signer = Some(Secret::new(SIGNER));
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Store::start(settings, directory, log).await.expect("a store starts")
}

/// Returns a bundle that was generated from an operator's order.
fn bundle(patch: &str) -> Bundle {
    let text = include_str!("support/bundle.yaml").replace("PATCH", patch);
    let text = text.replace("KEY_DIGEST", &"0".repeat(64));
    let bundle = Bundle::parse(text.as_bytes()).expect("a valid bundle");
    Bundle { original: Some(format!("order {patch}").into()), ..bundle }
}

/// Returns the leader that a store names when it is asked for the status of the control group.
async fn named_by_status(store: &Store) -> VmId {
    let query = RequestBody::Status(StatusQuery { revision: 0 });
    let reply = store.state().control.ask(ControlRequest { body: Some(query) }).await;
    match reply.body {
        Some(ReplyBody::NotLeader(hint)) => VmId(hint.leader),
        _ => VmId::default(),
    }
}

async fn wait_for(what: &str, condition: impl AsyncFn() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, waiting).await;
    waited.unwrap_or_else(|_| panic!("not within {TIMEOUT:?}: {what}"));
}

/// Reads of the configuration timed out while they went through all stores.
#[tokio::test]
async fn status_of_store_without_replica() {
    let folders = [0; 2].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let leader = start(1, 1, 0, folders[0].path()).await;
    let other = start(2, 1, 0, folders[1].path()).await;
    let vm = leader.state().context.vm;
    wait_for("status names the leader", async || named_by_status(&other).await == vm).await;
    let turns = &other.state().turns;
    let named = async || turns.still_kept(&KeptQuery::default()).await.leader;
    wait_for("the turn group's leader is named", async || named().await == vm.0).await;
    other.stop().await;
    leader.stop().await;
}

/// Most stores couldn't return the configuration, since they have no replica.
#[tokio::test]
async fn original_of_store_without_replica() {
    let folders = [0; 2].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let leader = start(21, 21, 0, folders[0].path()).await;
    let other = start(22, 21, 0, folders[1].path()).await;
    let (first, second) = (bundle("1"), bundle("2"));
    for bundle in [&first, &second] {
        wait_for("the order is taken", async || other.registrar().order(bundle).await.is_ok())
            .await;
        for store in [&leader, &other] {
            let read = store.registrar().original().await;
            assert_eq!(read, Ok(bundle.original.clone()));
        }
    }
    other.stop().await;
    leader.stop().await;
}

/// A retiring store was reported as required for ever.
#[tokio::test]
async fn is_retired_at_store_without_replica() {
    let folders = [0; 3].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let leader = start(31, 31, 0, folders[0].path()).await;
    let others =
        [start(32, 31, 0, folders[1].path()).await, start(33, 31, 0, folders[2].path()).await];
    let (registrar, name) = (others[0].registrar(), ip(33).to_string());
    wait_for("it is retiring", async || registrar.retire(&name).await.is_ok()).await;
    wait_for("it is retired", async || registrar.is_retired(&name) == Ok(true)).await;
    for other in others {
        other.stop().await;
    }
    leader.stop().await;
}

/// A follower that knew the leader didn't name it to readers.
#[tokio::test]
async fn status_of_follower() {
    let folders = [0; 3].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let leader = start(11, 11, 1, folders[0].path()).await;
    let followers =
        [start(12, 11, 1, folders[1].path()).await, start(13, 11, 1, folders[2].path()).await];
    let host = &leader.state().context.host;
    wait_for("three voters", async || {
        let groups = host.status().await.groups;
        let control = groups.iter().find(|group| group.group == GroupId::CONTROL);
        control.is_some_and(|group| group.members.voters.len() == 3)
    })
    .await;
    for follower in &followers {
        follower.state().context.directory.set_group_reports([].into());
        assert_eq!(named_by_status(follower).await, leader.state().context.vm);
    }
    for follower in followers {
        follower.stop().await;
    }
    leader.stop().await;
}
