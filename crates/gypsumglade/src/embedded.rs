//! Store and entry in one process, connected over loopback.

use std::sync::Arc;

use gypsumglade_core::prelude::*;

use crate::directory::{Directory, EntryAddress};
use crate::entry::Entry;
use crate::settings::Settings;
use crate::store::Store;

/// A running store and entry of one process.
pub struct Embedded {
    /// The store, which holds the replicas.
    pub store: Store,
    /// The entry, which serves callers.
    pub entry: Entry,
}

impl Embedded {
    /// Starts both roles. The settings need a `store` section but no peers.
    ///
    /// # Errors
    /// Fails as [`Store::start`] and [`Entry::start`] do.
    pub async fn start(settings: Settings, log: slog::Logger) -> anyhow::Result<Embedded> {
        let directory = Arc::new(Directory::new(&settings));
        let vm = settings.vm.vm();
        let store = Store::start(settings.clone(), Arc::clone(&directory), log.clone()).await?;
        directory.set_store(vm, store.addresses().peers);
        let region = settings.region_id(&settings.vm.region).unwrap_or_default();
        let entry = Entry::start(settings, Arc::clone(&directory), log).await?;
        let peers = entry.addresses().peers;
        directory.set_entries(vec![EntryAddress { vm, region, peers }]);
        Ok(Embedded { store, entry })
    }

    /// Stops both roles, the entry first, since its calls in flight need the store.
    pub async fn stop(self) {
        self.entry.stop().await;
        self.store.stop().await;
    }
}

/// Polls `done` until it returns true. Returns false if `timeout` elapses first.
pub async fn wait_until(timeout: Duration, done: impl AsyncFn() -> bool) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let waiting = async {
        while !done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(timeout, waiting).await.is_ok()
}
