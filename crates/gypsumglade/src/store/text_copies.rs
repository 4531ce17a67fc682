//! Keeps the text of each kept turn on the configured number of stores; see docs/design/texts.md.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::{BatchSize, CopySurvey, Holding, Limits, Transfer};
use gypsumglade_core::wire::turn::{TextCopy, TextsHeld};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::repair::live_stores;
use super::turn_group::TurnGroup;
use crate::discovery::Discovery;
use crate::rpc::{Method, RpcError};

/// Interval between two checks while no copy finishes.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a store counts as lost; longer than a restart, after which the texts are
/// back.
///
/// A store whose identity was replaced is lost at once, since the roster drops it.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Texts planned for one store and way at a time. Several batches are planned together, since planning
/// scans all kept turns.
const PLAN_LIMITS: Limits = Limits {
    same_region: BatchSize { texts: 4_096, bytes: 8 * 1024 * 1024 },
    cross_region: BatchSize { texts: 1_024, bytes: 2 * 1024 * 1024 },
};
/// Size of a batch, which bounds the memory that it takes at its source and its target.
const SAME_REGION_BATCH: BatchSize = BatchSize { texts: 256, bytes: 512 * 1024 };
/// Size of a batch from another region, which bounds the delay of heartbeats behind it.
const CROSS_REGION_BATCH: BatchSize = BatchSize { texts: 64, bytes: 128 * 1024 };
/// Pause after a batch from another region, so that copies use only a part of the link. Texts that
/// are left on one disk are copied without it: their callers would lose more than the others wait.
const CROSS_REGION_PAUSE: Duration = Duration::from_millis(50);
/// Batches in flight to one store and way: one is synced while the next one is fetched.
const MAX_IN_FLIGHT: usize = 2;
/// Timeout of a batch.
const COPY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which other stores are preferred over one that failed to fetch texts.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a text that could not be copied is skipped.
const DEFER_FOR: Duration = Duration::from_secs(2);
/// Time for which a store is reported as a required holder after it was found to be one or began to
/// retire.
///
/// Entry VMs may store texts there until a round of hellos tells them that it is retiring.
const REQUIRED_FOR: Duration = Duration::from_secs(3);

/// Copies texts that are on too few stores while this store leads the turn group.
pub(super) struct TextCopies {
    context: Arc<StoreContext>,
    control: Arc<ControlGroup>,
    turns: Arc<TurnGroup>,
    discovery: Arc<Discovery>,
    /// Number of stores that each text should be on.
    copies: usize,
    history: Mutex<CopyHistory>,
}

/// State that is kept between two checks while this store leads.
#[derive(Debug, Default)]
struct CopyHistory {
    /// When each store was last found to be a required holder.
    required: BTreeMap<VmId, Time>,
    /// Stores that were retiring at the last check.
    retiring: BTreeSet<VmId>,
    /// When each store last failed to fetch texts.
    failing: BTreeMap<VmId, Time>,
    /// When copying each turn's text last failed.
    deferred: BTreeMap<CompactString, Time>,
}

/// A store that fetches texts, and by which way. Both ways go on side by side, since only the one
/// between regions is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CopyLane {
    target: VmId,
    cross_region: bool,
}

/// Report by the turn group's leader on the stores that hold texts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct HolderReport {
    /// Stores with texts that would be on too few stores without them.
    pub(super) holders: Vec<u32>,
    /// Retiring stores that the leader has checked for such texts.
    pub(super) retiring: Vec<u32>,
}

impl TextCopies {
    pub(super) fn new(
        context: Arc<StoreContext>,
        control: Arc<ControlGroup>,
        turns: Arc<TurnGroup>,
        discovery: Arc<Discovery>,
        copies: usize,
    ) -> Arc<TextCopies> {
        let history = Mutex::default();
        Arc::new(TextCopies { context, control, turns, discovery, copies, history })
    }

    /// Copies texts until `halt` is cancelled.
    pub(super) async fn run(self: Arc<Self>, halt: CancellationToken) {
        let began = self.discovery.now();
        let mut fetching: JoinSet<CopyLane> = JoinSet::new();
        let mut busy: BTreeSet<CopyLane> = BTreeSet::new();
        while !halt.is_cancelled() {
            // After a start, stores that were not heard of yet would count as lost.
            let settled = self.discovery.now().since(began) >= LOST_AFTER;
            if settled && self.turns.leads() {
                for (lane, copies) in self.plan_transfers(&busy) {
                    busy.insert(lane);
                    fetching.spawn(Arc::clone(&self).copy_to(lane, copies));
                }
            } else {
                *self.history() = CopyHistory::default();
            }
            tokio::select! {
                () = halt.cancelled() => {}
                Some(filled) = fetching.join_next() => match filled {
                    Ok(lane) => drop(busy.remove(&lane)),
                    // The lane of a task that panicked is not known.
                    Err(_) => busy.clear(),
                },
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Returns the report on required holders and retiring stores.
    pub(super) fn holder_report(&self) -> HolderReport {
        let history = self.history();
        HolderReport {
            holders: history.required.keys().map(|vm| vm.0).collect(),
            retiring: history.retiring.iter().map(|vm| vm.0).collect(),
        }
    }

    /// Returns the batches to fetch in each idle lane.
    fn plan_transfers(&self, busy: &BTreeSet<CopyLane>) -> BTreeMap<CopyLane, Vec<Transfer>> {
        // Read before planning: a store may be reported as retiring only once a plan has taken that
        // into account.
        let mut retiring = self.discovery.retiring();
        retiring.extend(self.control.retiring().into_iter().map(VmId));
        let survey = self.survey();
        let plan = self.turns.plan_copies(&survey, &PLAN_LIMITS);
        self.history().update(self.discovery.now(), plan.required_holders, retiring);
        let mut lanes: BTreeMap<CopyLane, Vec<Transfer>> = BTreeMap::new();
        for copy in plan.copies {
            let lane = CopyLane { target: copy.target, cross_region: copy.cross_region };
            if !busy.contains(&lane) && !survey.failing.contains(&lane.target) {
                let batch = if copy.cross_region { CROSS_REGION_BATCH } else { SAME_REGION_BATCH };
                lanes.entry(lane).or_default().extend(copy.split(batch));
            }
        }
        lanes
    }

    /// Makes a store fetch its batches, until one fails.
    async fn copy_to(self: Arc<Self>, lane: CopyLane, copies: Vec<Transfer>) -> CopyLane {
        let mut in_flight: JoinSet<bool> = JoinSet::new();
        let mut copies = copies.into_iter();
        loop {
            while in_flight.len() < MAX_IN_FLIGHT
                && let Some(copy) = copies.next()
            {
                let is_alone = leaves_link_free(&copy);
                in_flight.spawn(Arc::clone(&self).copy_batch(copy));
                if is_alone {
                    break;
                }
            }
            match in_flight.join_next().await {
                Some(Ok(true)) => {}
                Some(Ok(false) | Err(_)) => {
                    self.history().failing.insert(lane.target, self.discovery.now());
                    return lane;
                }
                None => return lane,
            }
        }
    }

    /// Makes a store fetch a batch. Returns `true` if it may go on with the next one.
    async fn copy_batch(self: Arc<Self>, copy: Transfer) -> bool {
        let order = TextCopy {
            turns: copy.turns.iter().map(|holding| holding.turn.to_string()).collect(),
            sources: copy.sources.iter().map(|vm| vm.0).collect(),
        };
        let held = match self.request_copy(copy.target, &order).await {
            Ok(held) => held,
            Err(error) => {
                slog::info!(self.context.log, "texts could not be copied"; "store" => %copy.target,
                    "texts" => order.turns.len(), "error" => %error);
                return false;
            }
        };
        let pauses = leaves_link_free(&copy);
        let here: BTreeSet<&str> = held.turns.iter().map(String::as_str).collect();
        let (copied, missing): (Vec<Holding>, Vec<Holding>) =
            copy.turns.into_iter().partition(|holding| here.contains(holding.turn.as_str()));
        let now = self.discovery.now();
        self.history().deferred.extend(missing.into_iter().map(|holding| (holding.turn, now)));
        let noted = copied.is_empty() || self.turns.record_copied(&copied).await;
        slog::info!(self.context.log, "texts copied"; "store" => %copy.target,
            "texts" => copied.len(), "asked" => order.turns.len(), "noted" => noted);
        if pauses {
            tokio::time::sleep(CROSS_REGION_PAUSE).await;
        }
        noted && !copied.is_empty()
    }

    async fn request_copy(&self, target: VmId, order: &TextCopy) -> Result<TextsHeld, CopyError> {
        let address = self.context.directory.store(target).ok_or(CopyError::Unknown)?;
        let asking = self.context.peers.ask(address, Method::CopyTexts, order, COPY_TIMEOUT);
        let held: TextsHeld = asking.await?;
        match VmId(held.vm) {
            vm if vm == target => Ok(held),
            other => Err(CopyError::Replaced(other)),
        }
    }

    fn survey(&self) -> CopySurvey {
        let alive = live_stores(&self.discovery, &self.control, LOST_AFTER);
        let now = self.discovery.now();
        let mut history = self.history();
        history.expire(now);
        let failing = history.failing.keys().copied().collect();
        let deferred = history.deferred.keys().cloned().collect();
        CopySurvey { alive, copies: self.copies, failing, deferred }
    }

    fn history(&self) -> MutexGuard<'_, CopyHistory> {
        self.history.lock().expect("no panic while held")
    }
}

impl CopyHistory {
    fn update(&mut self, now: Time, required: BTreeSet<VmId>, retiring: BTreeSet<VmId>) {
        self.required.extend(required.into_iter().map(|vm| (vm, now)));
        let newly = retiring.difference(&self.retiring).map(|vm| (*vm, now));
        self.required.extend(newly);
        self.retiring = retiring;
    }

    fn expire(&mut self, now: Time) {
        self.required.retain(|_, at| now.since(*at) < REQUIRED_FOR);
        self.failing.retain(|_, at| now.since(*at) < FAILURE_BACKOFF);
        self.deferred.retain(|_, at| now.since(*at) < DEFER_FOR);
    }
}

/// Returns whether a batch should leave most of the link between regions to others.
fn leaves_link_free(copy: &Transfer) -> bool {
    copy.cross_region && !copy.is_last_copy()
}

/// Reason why a store fetched nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum CopyError {
    /// The store's address is not known.
    #[error("the address of the store is not known")]
    Unknown,
    /// Another store answers at the store's address, so the texts are on the wrong disk.
    #[error("{0} answers at the address of the store")]
    Replaced(VmId),
    /// The call failed.
    #[error(transparent)]
    Call(#[from] RpcError),
}
