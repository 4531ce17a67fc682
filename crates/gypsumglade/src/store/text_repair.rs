//! Fetches the text of kept turns that this store was not sent with the group's snapshot.
//!
//! A store that lost its disk must vote again within seconds, and its group's text may take longer
//! than that over a link between regions. So it is sent what the group decides on without the text,
//! and asks the other stores for that here. See docs/design/provider.md.

use std::net::SocketAddr;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::{TextQuery, Texts};
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::repair::SILENT_AFTER;
use super::turn_group::TurnGroup;
use crate::discovery::Discovery;
use crate::rpc::Method;

/// Turns asked for at one time: little enough text that what follows on a narrow link is hardly held
/// up.
const BATCH: usize = 64;
/// Pause between two looks while nothing is lacking, and after a round that brought nothing.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest wait for one batch: ten times what it takes on the narrowest link.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the loop needs.
pub(super) struct TextRepair {
    pub(super) context: Arc<StoreContext>,
    pub(super) turns: Arc<TurnGroup>,
    pub(super) discovery: Arc<Discovery>,
    /// Region of this store, whose other stores are asked first.
    pub(super) region: CompactString,
}

impl TextRepair {
    /// Fetches what is lacking until `halt`.
    pub(super) async fn run(self, halt: CancellationToken) {
        let mut after = CompactString::default();
        let mut filled = false;
        while !halt.is_cancelled() {
            self.discovery.set_lacking(!self.turns.is_complete());
            let wanted = self.turns.lacking(&after, BATCH);
            let got = self.fetch(&wanted).await;
            filled |= got > 0;
            after = wanted.last().cloned().unwrap_or_default();
            if filled && self.turns.is_complete() {
                // What was fetched is in memory only; a snapshot puts it on this store's disk.
                self.turns.snapshot().await;
                slog::info!(self.context.log, "text of kept turns is complete");
                filled = false;
            }
            if got > 0 {
                continue;
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(PAUSE) => {}
            }
        }
    }

    /// Asks the other stores, one after another, until one has some of the turns' text.
    async fn fetch(&self, wanted: &[CompactString]) -> usize {
        if wanted.is_empty() {
            return 0;
        }
        let query = TextQuery { turns: wanted.iter().map(ToString::to_string).collect() };
        for address in self.sources() {
            let asking = self.context.peers.ask(address, Method::Texts, &query, TIMEOUT);
            let texts: Texts = match asking.await {
                Ok(texts) => texts,
                Err(error) => {
                    slog::info!(self.context.log, "a store gave no text";
                        "store" => %address, "error" => %error);
                    continue;
                }
            };
            let got = texts.turns.len();
            self.turns.fill(texts);
            if got > 0 {
                return got;
            }
        }
        0
    }

    /// Returns the other stores that are there, those of this region first: the link between regions
    /// is narrow and paid by volume. One that is gone would cost each batch the whole timeout.
    fn sources(&self) -> Vec<SocketAddr> {
        let now = self.discovery.now();
        let roster = self.discovery.roster();
        let others = roster
            .stores()
            .filter(|(node, at)| node.vm != self.context.vm.0 && now.since(*at) < SILENT_AFTER);
        let mut others: Vec<_> = others.map(|(node, _)| node).collect();
        others.sort_by_key(|node| (node.region != self.region, node.lacking));
        others.into_iter().filter_map(|node| node.peers.parse().ok()).collect()
    }
}
