//! Keeps the text of each kept turn on as many stores as must bear losses; see docs/design/texts.md.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use gypsumglade_core::prelude::*;
use gypsumglade_core::turns::{Copy, Holding, Survey};
use gypsumglade_core::wire::turn::{TextCopy, TextsHeld};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::turn_group::TurnGroup;
use crate::discovery::Discovery;
use crate::rpc::Method;

/// Pause between two looks while nothing is to be copied.
const PAUSE: Duration = Duration::from_millis(500);
/// Silence after which a store counts as lost: a restart takes one or two seconds and brings the disk
/// back. An identity that another one replaced is lost at once, for the roster drops it.
const LOST_AFTER: Duration = Duration::from_secs(3);
/// Texts that one store is asked to fetch at one time: little enough that it answers within
/// [`TIMEOUT`] over the narrowest link.
const BATCH: usize = 64;
/// Longest wait for a store to fetch a batch.
const TIMEOUT: Duration = Duration::from_secs(3);
/// How long a store is still told to be relied on after the last text was copied. Entry VMs learn
/// within two rounds of introductions that a store is to be emptied, and may put texts there meanwhile.
const RELIED_FOR: Duration = Duration::from_secs(2);

/// Copies texts that are on too few stores, while this store leads the turn group.
pub(super) struct TextCopies {
    context: Arc<StoreContext>,
    control: Arc<ControlGroup>,
    turns: Arc<TurnGroup>,
    discovery: Arc<Discovery>,
    /// Stores that each text should be on.
    copies: usize,
    /// When each store was last found to be relied on.
    relied: Mutex<BTreeMap<VmId, Time>>,
}

impl TextCopies {
    pub(super) fn new(
        context: Arc<StoreContext>,
        control: Arc<ControlGroup>,
        turns: Arc<TurnGroup>,
        discovery: Arc<Discovery>,
        copies: usize,
    ) -> Arc<TextCopies> {
        let relied = Mutex::default();
        Arc::new(TextCopies { context, control, turns, discovery, copies, relied })
    }

    /// Copies what must be copied until `halt`.
    pub(super) async fn run(self: Arc<Self>, halt: CancellationToken) {
        let began = self.discovery.now();
        while !halt.is_cancelled() {
            // A process that has just started has heard of few stores, and would take the others for lost.
            let settled = self.discovery.now().since(began) >= LOST_AFTER;
            let copied = if settled && self.turns.leads() { self.copy().await } else { 0 };
            if copied > 0 {
                continue;
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(PAUSE) => {}
            }
        }
    }

    /// Returns the stores that hold texts which are on too few others.
    pub(super) fn relied(&self) -> Vec<u32> {
        let now = self.discovery.now();
        let mut relied = self.relied.lock().expect("no panic while held");
        relied.retain(|_, at| now.since(*at) < RELIED_FOR);
        relied.keys().map(|vm| vm.0).collect()
    }

    /// Has every store fetch a batch of what it should hold. Returns how many texts were copied.
    async fn copy(self: &Arc<Self>) -> usize {
        let survey = self.survey();
        let plan = self.turns.plan_copies(&survey, BATCH);
        let now = self.discovery.now();
        let relied = plan.relied.into_iter().map(|vm| (vm, now));
        self.relied.lock().expect("no panic while held").extend(relied);
        let mut fetching = JoinSet::new();
        for copy in plan.copies {
            let copies = Arc::clone(self);
            fetching.spawn(async move { copies.carry_out(copy).await });
        }
        let mut copied = 0;
        while let Some(fetched) = fetching.join_next().await {
            copied += fetched.unwrap_or_default();
        }
        copied
    }

    async fn carry_out(&self, copy: Copy) -> usize {
        let Some(address) = self.context.directory.store(copy.target) else { return 0 };
        let order = TextCopy {
            turns: copy.turns.iter().map(|holding| holding.turn.to_string()).collect(),
            sources: copy.sources.iter().map(|vm| vm.0).collect(),
        };
        let asking = self.context.peers.ask(address, Method::CopyTexts, &order, TIMEOUT);
        let held: TextsHeld = match asking.await {
            Ok(held) => held,
            Err(error) => {
                slog::info!(self.context.log, "texts were not copied"; "store" => %address,
                    "texts" => order.turns.len(), "error" => %error);
                return 0;
            }
        };
        let here = |holding: &Holding| held.turns.iter().any(|turn| holding.turn == *turn);
        let copied: Vec<Holding> = copy.turns.into_iter().filter(here).collect();
        let count = copied.len();
        let noted = count > 0 && self.turns.note_copied(&copied).await;
        slog::info!(self.context.log, "texts copied"; "store" => %address, "texts" => count,
            "asked" => order.turns.len(), "noted" => noted);
        if noted { count } else { 0 }
    }

    fn survey(&self) -> Survey {
        let mut alive = self.discovery.stores_heard(LOST_AFTER);
        for store in &mut alive {
            store.retiring = self.control.is_retiring(store.vm);
        }
        Survey { alive, copies: self.copies }
    }
}
