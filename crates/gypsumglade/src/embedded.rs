//! The whole system in one process: a store and an entry on loopback.

use std::sync::Arc;

use gypsumglade_core::prelude::*;

use crate::directory::{Directory, EntryAddress};
use crate::entry::Entry;
use crate::settings::Settings;
use crate::store::Store;

/// A running store and entry of one process.
pub struct Embedded {
    /// The durable role.
    pub store: Store,
    /// The data path.
    pub entry: Entry,
}

impl Embedded {
    /// Starts both roles; settings with a `store` section and no peers are enough.
    ///
    /// # Errors
    /// As [`Store::start`] and [`Entry::start`].
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

    /// Stops as planned: the entry first, since its last calls still need the store.
    pub async fn stop(self) {
        self.entry.stop().await;
        self.store.stop().await;
    }
}

/// Waits until `done` is true, looking every few milliseconds; false once `timeout` is over.
pub async fn wait_until(timeout: Duration, done: impl AsyncFn() -> bool) -> bool {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let waiting = async {
        while !done().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(timeout, waiting).await.is_ok()
}
