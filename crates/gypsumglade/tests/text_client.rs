//! Puts and fetches of texts by an entry VM while stores are down.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::directory::Directory;
use gypsumglade::gateway::TextClient;
use gypsumglade::rpc::PeerClients;
use gypsumglade::settings::Settings;
use gypsumglade_core::prelude::VmId;
use gypsumglade_core::turns::Holding;
use gypsumglade_core::wire::turn::Text;
use tokio::time::Instant;

/// Bound on the duration of a test, which only a hang exceeds.
const LONG: Duration = Duration::from_secs(3_600);

/// Returns a client of stores at addresses without listeners.
fn client() -> TextClient {
    let directory = Directory::new(&Settings::default());
    let closed = || -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.local_addr().expect("an address")
    };
    let stores: BTreeMap<_, _> = (1..=3).map(|vm| (VmId(vm), closed())).collect();
    directory.set_stores(stores);
    let peers = PeerClients::new(Settings::default().tokens.peers, None);
    TextClient::new(None, Arc::new(directory), peers, "south".into(), 2)
}

fn holding(holders: &[u32]) -> Holding {
    let holders = holders.iter().copied().map(VmId).collect();
    Holding { turn: "a".into(), holders, bytes: 1 }
}

/// A caller waited for a turn that couldn't begin, although it could have been refused much earlier.
#[tokio::test]
async fn fetch_no_source_left() {
    let until = Instant::now() + LONG;
    assert_eq!(client().fetch(&[holding(&[1, 2])], until).await, None);
    assert_eq!(client().fetch(&[holding(&[9])], until).await, None);
    assert_eq!(client().fetch(&[], until).await, Some(Vec::new().into()));
}

/// A caller's stream stayed open until its deadline, although no store was left.
#[tokio::test]
async fn put_no_store_left() {
    let text = Text { turn: "a".to_owned(), ..Text::default() };
    let until = Instant::now() + LONG;
    assert_eq!(client().put("p", text, LONG, until).await, None);
}
