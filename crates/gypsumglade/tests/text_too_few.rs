//! Texts while fewer stores are known than should hold each text.

mod store_support;

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::directory::Directory;
use gypsumglade::gateway::TextClient;
use gypsumglade::settings::Settings;
use gypsumglade::store::Store;
use gypsumglade_core::wire::turn::Text;
use store_support::StoreSetup;
use tokio::time::Instant;

const PEERS: u16 = 7_312;
/// Number of stores that should hold each text, and number of running stores.
const COPIES: usize = 3;
const STORES: u8 = 2;
const RETENTION: Duration = Duration::from_secs(60);

fn ip(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (process[2] & 63), process[3], number)
}

fn settings(own: Ipv4Addr, folder: &Path) -> Settings {
    let seed = ip(1);
    let setup = StoreSetup::alone(own, PEERS, folder);
    StoreSetup { seeds: vec![seed], first: own == seed, tolerate: 2, ..setup }.settings()
}

async fn start(number: u8, folder: &Path) -> Store {
    let settings = settings(ip(number), folder);
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Store::start(settings, directory, log).await.expect("a store starts")
}

/// A turn was acknowledged while its text was only on as many disks as may be lost at one time: an entry
/// VM that has just started knows few stores, and after a loss of power few are running.
#[tokio::test]
async fn put_needs_all_copies() {
    let folders = [0; STORES as usize].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let mut stores = Vec::new();
    for (number, folder) in (1..).zip(&folders) {
        stores.push(start(number, folder.path()).await);
    }
    let state = stores[0].state();
    let (directory, peers) = (Arc::clone(&state.context.directory), state.context.peers.clone());
    let discovery = state.discovery.clone();
    let client = TextClient::new(discovery, directory, peers, "south".into(), COPIES);
    // One store is known at first, and two a little later.
    for _ in 0..10 {
        let turn = "turn".to_owned();
        let text = Text { turn, input: "in".into(), output: "out".into() };
        let until = Instant::now() + Duration::from_millis(300);
        let holders = client.put("program", text, RETENTION, until).await;
        let found = holders.as_ref().map(Vec::len);
        assert_eq!(found, None, "put on {found:?} stores instead of {COPIES}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for store in stores {
        store.stop().await;
    }
}
