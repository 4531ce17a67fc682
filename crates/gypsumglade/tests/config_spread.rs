//! Distribution of a newer bundle from the stores to the VMs that act on it.

mod store_support;

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::directory::Directory;
use gypsumglade::operator;
use gypsumglade::settings::Settings;
use gypsumglade::store::{Store, StoreState};
use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as Answer;
use gypsumglade_core::wire::control::confirm_reply::Body;
use gypsumglade_core::wire::control::{ConfirmReply, ConfirmRequest};
use gypsumglade_core::wire::operator::ControlRequest;
use gypsumglade_core::wire::operator::control_reply::Body as Reply;
use gypsumglade_core::wire::operator::control_request::Body as Request;
use store_support::StoreSetup;

/// Port of every store; each has a loopback address of its own.
const PEERS: u16 = 7_310;
/// Number of polls for a state that must reach another store.
const LOOKS: usize = 500;
/// Interval between polls.
const PAUSE: Duration = Duration::from_millis(20);

fn key() -> KeyPair {
    KeyPair::from_seed([1; 32])
}

fn ip(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (process[2] & 63), process[3], number)
}

fn settings(own: Ipv4Addr, seed: Ipv4Addr, folder: &Path) -> Settings {
    let setup = StoreSetup::alone(own, PEERS, folder);
    let (seeds, first) = (vec![seed], own == seed);
    let operator = key().public().to_string().into();
    StoreSetup { seeds, first, operator, tolerate: 1, ..setup }.settings()
}

async fn start(own: Ipv4Addr, seed: Ipv4Addr, folder: &Path) -> Store {
    let settings = settings(own, seed, folder);
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Store::start(settings, directory, log).await.expect("a store starts")
}

/// Rolls a bundle out, and returns its revision once it is acknowledged.
async fn roll(state: &StoreState, number: u64) -> u64 {
    let bundle = operator::sign(&format!("version: \"{number}\"\n"), &key()).expect("it signs");
    let base = RevisionNumber(number - 1);
    let command = operator::accept_command(&bundle, base, &format!("order-{number}"));
    let command = Request::Command(command.expect("it holds"));
    for _ in 0..LOOKS {
        let request = ControlRequest { body: Some(command.clone()) };
        match state.control.ask(request).await.body.expect("an answer") {
            Reply::Answer(answer) => match answer.body {
                Some(Answer::Accepted(accepted)) => return accepted.revision,
                other => panic!("{other:?}"),
            },
            _ => tokio::time::sleep(PAUSE).await,
        }
    }
    panic!("no store led the control group")
}

/// A VM that acts on a revision and renews its lease.
#[derive(Clone, Copy, Debug)]
struct Vm {
    number: u32,
    applied: u64,
    ask: u64,
}

impl Vm {
    async fn renew(&mut self, state: &StoreState) -> ConfirmReply {
        self.ask += 1;
        let request = ConfirmRequest {
            vm: self.number,
            ask: self.ask,
            applied: self.applied,
            floor: self.applied,
            incarnation: 1,
        };
        let reply = state.control.renew(&request).await;
        if let Some(Body::Update(update)) = &reply.body {
            self.applied = update.revision.as_ref().expect("it has one").number;
        }
        reply
    }
}

/// Requests were handled under a bundle that had been replaced seconds earlier. The leader that
/// acknowledged the newer one had died, and the stores that had it didn't pass it on to VMs that asked.
#[tokio::test]
async fn renew_at_follower_tells_newer() {
    let folders = [0, 1].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let first = start(ip(1), ip(1), folders[0].path()).await;
    let second = start(ip(2), ip(1), folders[1].path()).await;
    assert_eq!(roll(first.state(), 1).await, 1);

    let mut vm = Vm { number: 9, applied: 0, ask: 0 };
    for _ in 0..LOOKS {
        let reply = vm.renew(second.state()).await;
        assert!(!matches!(reply.body, Some(Body::Grant(_))), "only a leader grants");
        if vm.applied == 1 {
            break;
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(vm.applied, 1, "the follower has the revision and told nobody");
    let reply = vm.renew(second.state()).await;
    assert!(matches!(reply.body, Some(Body::Unavailable(_))), "{reply:?}");
    second.stop().await;
    first.stop().await;
}

/// The same, if the leader dies before its followers know that the newer bundle is committed. VMs
/// that renew must therefore get it before it is acknowledged.
#[tokio::test]
async fn ask_accept_waits_for_vms() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let store = start(ip(3), ip(3), folder.path()).await;
    assert_eq!(roll(store.state(), 1).await, 1);
    let mut vm = Vm { number: 9, applied: 1, ask: 0 };
    vm.renew(store.state()).await;

    let state = Arc::clone(store.state());
    let rolled = tokio::spawn(async move { roll(&state, 2).await });
    let mut turns = 0;
    while !rolled.is_finished() {
        // Simulates a VM that asks a little after the commit.
        turns += 1;
        if turns > 5 {
            vm.renew(store.state()).await;
        }
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!((rolled.await.expect("it ends"), vm.applied), (2, 2));
    store.stop().await;
}

/// An operator must get an answer although a VM is lost for good.
#[tokio::test]
async fn ask_accept_despite_silent_vm() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let store = start(ip(4), ip(4), folder.path()).await;
    assert_eq!(roll(store.state(), 1).await, 1);
    Vm { number: 9, applied: 1, ask: 0 }.renew(store.state()).await;
    assert_eq!(roll(store.state(), 2).await, 2);
    store.stop().await;
}
