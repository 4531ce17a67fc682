//! Renewal of the configuration lease over a slow link.

mod store_support;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::clock::Clock;
use gypsumglade::directory::Directory;
use gypsumglade::entry::config::{ConfigView, Renewal, operator_keys, renew};
use gypsumglade::feed::Sources;
use gypsumglade::metrics::Metrics;
use gypsumglade::operator;
use gypsumglade::rpc::PeerClients;
use gypsumglade::secret::Secret;
use gypsumglade::store::{Store, StoreState};
use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::lease::VmRegion;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::discovery::Role;
use gypsumglade_core::wire::operator::ControlRequest;
use gypsumglade_core::wire::operator::control_reply::Body as Reply;
use gypsumglade_core::wire::operator::control_request::Body as Request;
use rand::RngExt as _;
use store_support::{StoreSetup, TOKEN};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Port of the store.
const PEERS: u16 = 7_311;
/// Bytes that the link carries in each step.
const LINK_BYTES: usize = 16 * 1024;
/// Length of a step of the link.
const LINK_STEP: Duration = Duration::from_millis(50);
/// Size of the bundle, which the link carries in several seconds.
const BUNDLE_BYTES: usize = 1024 * 1024;
/// Number of polls for an expected state.
const LOOKS: usize = 1_000;
/// Interval between polls.
const PAUSE: Duration = Duration::from_millis(20);

fn ip() -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (process[2] & 63), process[3], 1)
}

fn key() -> KeyPair {
    KeyPair::from_seed([1; 32])
}

fn log() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Rolls out a bundle that can't be compressed to a small size.
async fn roll_large(state: &StoreState) {
    let mut random = vec![0; BUNDLE_BYTES / 2];
    rand::rng().fill(random.as_mut_slice());
    let content = format!("version: \"1\"\noriginal: \"{}\"\n", hex::encode(random));
    let bundle = operator::sign(&content, &key()).expect("a valid bundle");
    let command = operator::accept_command(&bundle, RevisionNumber(0), "order");
    let command = Request::Command(command.expect("a valid bundle"));
    for _ in 0..LOOKS {
        let request = ControlRequest { body: Some(command.clone()) };
        if let Some(Reply::Answer(_)) = state.control.ask(request).await.body {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("no store led the control group");
}

/// Forwards connections to `target`, whose bytes arrive at the rate of the link.
async fn slow_link(target: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let Ok(far) = TcpStream::connect(target).await else { continue };
            let (mut near_read, mut near_write) = near.into_split();
            let (mut far_read, mut far_write) = far.into_split();
            tokio::spawn(async move { tokio::io::copy(&mut near_read, &mut far_write).await });
            tokio::spawn(async move {
                let mut buffer = vec![0; LINK_BYTES];
                while let Ok(count @ 1..) = far_read.read(&mut buffer).await {
                    if near_write.write_all(&buffer[..count]).await.is_err() {
                        break;
                    }
                    tokio::time::sleep(LINK_STEP).await;
                }
            });
        }
    });
    address
}

/// An update takes longer than the timeout of a lease request. It was given up and fetched again each
/// time, so the VM acted on its old bundle until its lease ended.
#[tokio::test]
async fn renew_over_slow_link() {
    let folder = tempfile::tempdir().expect("a folder");
    let operator = key().public().to_string().into();
    let setup = StoreSetup { operator, ..StoreSetup::alone(ip(), PEERS, folder.path()) };
    let settings = setup.settings();
    let shared = Arc::new(Directory::new(&settings));
    let store = Store::start(settings.clone(), shared, log()).await.expect("a store starts");
    roll_large(store.state()).await;

    let directory = Arc::new(Directory::new(&settings));
    let link = slow_link(store.addresses().peers).await;
    directory.set_store(store.state().context.vm, link);
    let clock = Clock::start();
    let me = VmRegion { vm: VmId(7), region: RegionId::default() };
    let keys = operator_keys(&settings.operators);
    let lease = settings.timeouts.config_lease();
    let view = Arc::new(ConfigView::new(lease, me.vm, keys, clock.now()));
    let stop = CancellationToken::new();
    let renewal = Renewal {
        me,
        sources: Sources::new(me.vm, Role::Entry, "", Arc::clone(&directory), None).into(),
        directory,
        peers: PeerClients::new(Secret::new(TOKEN), None),
        clock,
        stop: stop.clone(),
        metrics: Metrics::new().expect("metrics").leases(),
        log: log(),
    };
    let renewing = Arc::clone(&view);
    tokio::spawn(async move { renew(&renewing, &renewal, |_| {}).await });
    for _ in 0..LOOKS {
        if view.applied() == RevisionNumber(1) {
            stop.cancel();
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("the update never arrived");
}
