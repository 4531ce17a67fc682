//! Queries for endpoints at a store that can't answer them.

mod store_support;

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gypsumglade::directory::Directory;
use gypsumglade::store::Store;
use gypsumglade_core::wire::control::EndpointQuery;
use store_support::StoreSetup;

/// Time for which the query may be held.
const WAIT: Duration = Duration::from_secs(3);

/// A store that doesn't lead held the queries of entry VMs that had just started, so that these found the
/// leader's list a second late.
#[tokio::test]
async fn watch_endpoints_without_leader() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let own = Ipv4Addr::new(127, 99, 7, 1);
    let seeds = vec![Ipv4Addr::new(127, 99, 7, 2)];
    let setup = StoreSetup::alone(own, 7_320, folder.path());
    let settings = StoreSetup { seeds, first: false, ..setup }.settings();
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let store = Store::start(settings, directory, log).await.expect("a store starts");
    let query = EndpointQuery { wait_ms: WAIT.as_millis() as u64, ..EndpointQuery::default() };
    let asked = Instant::now();
    let news = store.state().control.watch_endpoints(&query).await;
    assert!(news.unavailable);
    assert!(asked.elapsed() < WAIT / 3, "held for {:?}", asked.elapsed());
    store.stop().await;
}
