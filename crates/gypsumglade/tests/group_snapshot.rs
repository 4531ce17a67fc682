//! Snapshots of the groups on a slow disk.

mod store_support;

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gypsumglade::directory::Directory;
use gypsumglade::disk::Faults;
use gypsumglade::replica::Event;
use gypsumglade::settings::Settings;
use gypsumglade::store::Store;
use gypsumglade::store::control_group::ControlGroup;
use gypsumglade::store::turn_group::TurnGroup;
use gypsumglade_core::bundle::OperatorKeys;
use gypsumglade_core::lease::LeaseSettings;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Term};
use store_support::StoreSetup;
use tokio::sync::mpsc;

/// Number of polls for an applied entry.
const LOOKS: usize = 200;

fn settings(own: Ipv4Addr, folder: &Path) -> Settings {
    StoreSetup::alone(own, 7_310, folder).settings()
}

/// Waits until the store has committed an entry in each group, and returns the last one's index.
async fn committed(store: &Store, group: GroupId) -> LogIndex {
    for _ in 0..LOOKS {
        let status = store.state().context.host.status().await;
        let found = status.groups.iter().find(|found| found.group == group);
        if let Some(found) = found.filter(|found| found.lease) {
            return found.commit;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{group} has no leader");
}

/// Feeds a group an entry, the request for a snapshot and another entry, while the disk is stalled.
async fn feed(events: &mpsc::Sender<Event>, group: GroupId, index: LogIndex) {
    let entry = |index| Event::Committed { group, index, term: Term(1), data: Bytes::new() };
    for event in [entry(index), Event::NeedSnapshot { group }, entry(index.next())] {
        events.send(event).await.expect("the group runs");
    }
}

async fn assert_applied(applied: impl Fn() -> serde_json::Value, index: LogIndex) {
    for _ in 0..LOOKS {
        if applied()["applied"] == index.0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{index} isn't applied: {}", applied());
}

/// Commits were answered, and a new leader served, only once a snapshot was on disk. On a slow disk,
/// callers of this and of other groups waited for seconds.
#[tokio::test]
async fn run_goes_on_beside_snapshot() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let process = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, 32 | (process[2] & 31), process[3], 9);
    let settings = settings(own, folder.path());
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let faults = Faults::default();
    let store = Store::start_with(settings, directory, log, faults.clone()).await.expect("starts");
    let context = &store.state().context;

    let index = committed(&store, GroupId::TURNS).await;
    let turns = TurnGroup::new(Arc::clone(context));
    let (turn_events, receiver) = mpsc::channel(8);
    tokio::spawn(Arc::clone(&turns).run(receiver));
    let control_index = committed(&store, GroupId::CONTROL).await;
    let keys = OperatorKeys { keys: Vec::new(), threshold: 1 };
    let control = ControlGroup::new(Arc::clone(context), keys, LeaseSettings::default());
    let (control_events, receiver) = mpsc::channel(8);
    tokio::spawn(Arc::clone(&control).run(receiver));

    faults.hold_syncs();
    feed(&turn_events, GroupId::TURNS, index).await;
    feed(&control_events, GroupId::CONTROL, control_index).await;

    assert_applied(|| turns.dump(), index.next()).await;
    assert_applied(|| control.dump(), control_index.next()).await;
    faults.release_syncs();
    store.stop().await;
}
