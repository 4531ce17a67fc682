//! Serves the texts of kept turns on this store's disk, and drops those that are no longer needed.

use std::collections::HashMap;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::turn::{
    KeptQuery, KeptReply, Text, TextCopy, TextPut, TextQuery, TextStored, Texts, TextsHeld,
};
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use crate::leader_client::{LeaderClient, ReplyKind, RetryLimits};
use crate::rpc::Method;
use crate::texts::{TextStatus, TextStore};

/// Timeout of fetching texts from another store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two checks for texts whose retention has ended.
const DUE_INTERVAL: Duration = Duration::from_secs(1);
/// Turns in one query to the turn group's leader.
const DUE_BATCH: usize = 512;
/// Limits of a query for the turns that are still kept.
const KEPT_QUERY_LIMITS: RetryLimits = RetryLimits {
    per_call: Duration::from_secs(1),
    total: Duration::from_secs(3),
    pause: Duration::from_millis(100),
};
/// Retention of a copied text, after which the turn group is queried.
const COPY_RETENTION: Duration = Duration::from_secs(60);

/// Stores, returns, copies and drops the texts on this store's disk.
pub struct TextHolder {
    context: Arc<StoreContext>,
    texts: TextStore,
    group: LeaderClient,
}

impl TextHolder {
    /// Creates the holder of the texts on this store's disk.
    pub fn new(context: Arc<StoreContext>, texts: TextStore) -> Arc<TextHolder> {
        let directory = Arc::clone(&context.directory);
        let peers = context.peers.clone();
        let group = LeaderClient::new(directory, peers, GroupId::TURNS, Method::KeptTurns);
        Arc::new(TextHolder { context, texts, group })
    }

    /// Stores texts on disk.
    pub async fn put(&self, put: TextPut) -> TextStored {
        let retention = Duration::from_millis(put.retention_ms);
        let stored = self.texts.put(put.texts, retention).await;
        if let Err(error) = stored {
            slog::warn!(self.context.log, "texts could not be stored"; "error" => %error);
        }
        TextStored { stored: stored.is_ok(), vm: self.context.vm.0 }
    }

    /// Returns those of the queried texts that this store holds.
    pub async fn get(&self, query: &TextQuery) -> Texts {
        Texts { texts: self.texts.get(&query.turns).await }
    }

    /// Returns statistics of the held texts, for a dump.
    pub fn status(&self) -> TextStatus {
        self.texts.status()
    }

    /// Fetches texts from other stores, and returns which of them this store then holds.
    pub async fn copy(&self, order: TextCopy) -> TextsHeld {
        let here = self.texts.get(&order.turns).await;
        let mut held: Vec<String> = here.into_iter().map(|text| text.turn).collect();
        for source in order.sources.iter().copied().map(VmId) {
            let turns: Vec<String> =
                order.turns.iter().filter(|turn| !held.contains(turn)).cloned().collect();
            if turns.is_empty() {
                break;
            }
            let texts = self.fetch(source, turns).await;
            let names: Vec<String> = texts.iter().map(|text| text.turn.clone()).collect();
            match self.texts.put(texts, COPY_RETENTION).await {
                Ok(()) => held.extend(names),
                Err(error) => {
                    slog::warn!(self.context.log, "copied texts could not be stored"; "error" => %error);
                    break;
                }
            }
        }
        TextsHeld { turns: held, vm: self.context.vm.0 }
    }

    /// Drops texts whose turns are no longer kept, until `halt` is cancelled.
    pub(super) async fn drop_expired(self: Arc<Self>, halt: CancellationToken) {
        while !halt.is_cancelled() {
            let due = self.texts.expired(DUE_BATCH);
            let full = due.len() == DUE_BATCH;
            if self.check_due(due).await && full {
                continue;
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(DUE_INTERVAL) => {}
            }
        }
    }

    async fn fetch(&self, source: VmId, turns: Vec<String>) -> Vec<Text> {
        let Some(address) = self.context.directory.store(source) else { return Vec::new() };
        let query = TextQuery { turns };
        let asking = self.context.peers.ask(address, Method::Texts, &query, FETCH_TIMEOUT);
        let texts: Result<Texts, _> = asking.await;
        match texts {
            Ok(texts) => texts.texts,
            Err(error) => {
                slog::info!(self.context.log, "texts could not be fetched";
                    "store" => %address, "error" => %error);
                Vec::new()
            }
        }
    }

    /// Queries which turns are still kept, extends their texts' retention and drops the other
    /// texts.
    ///
    /// Returns `false` if there are no turns or the query failed.
    async fn check_due(&self, due: Vec<CompactString>) -> bool {
        if due.is_empty() {
            return false;
        }
        let query = KeptQuery { turns: due.iter().map(ToString::to_string).collect() };
        let Some(reply) = self.group.ask(&query, KEPT_QUERY_LIMITS, classify).await else {
            return false;
        };
        let kept: HashMap<&str, u64> =
            reply.turns.iter().map(|kept| (kept.turn.as_str(), kept.left_ms)).collect();
        for turn in due {
            match kept.get(turn.as_str()) {
                Some(left) => self.texts.extend(&turn, Duration::from_millis(*left)),
                None => self.texts.drop(&turn),
            }
        }
        true
    }
}

fn classify(reply: &KeptReply) -> ReplyKind {
    match reply.leads {
        true => ReplyKind::Answer,
        false if reply.leader == 0 => ReplyKind::Uncertain,
        false => ReplyKind::Redirect(VmId(reply.leader)),
    }
}
