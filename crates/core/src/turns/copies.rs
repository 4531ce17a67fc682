//! Planning of text copies, which restore the redundancy of texts after a store is lost or retires.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use super::holders::preferred_stores;
use super::state::Turns;
use super::tree::{Holding, Turn};
use crate::prelude::*;
use crate::replication::repair::StoreInfo;

/// How long after the deadline of a turn its settlement may arrive, which extends the retention of the
/// turns that it continues.
const LATE_SETTLEMENT_MS: u64 = 5_000;

/// State of the stores as known to the turn group's leader.
#[derive(Clone, Debug, Default)]
pub struct CopySurvey {
    /// Stores that texts can be read from, including those that are retiring.
    pub alive: Vec<StoreInfo>,
    /// Number of stores that should hold each text.
    pub copies: usize,
    /// Stores that recently failed to take texts. Others in the same region are preferred.
    pub failing: BTreeSet<VmId>,
    /// Turns whose texts recently couldn't be copied. They are skipped, so that they don't delay
    /// other copies.
    pub deferred: BTreeSet<CompactString>,
}

/// Number and total length of a set of texts, also used as a limit of both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchSize {
    /// Number of texts.
    pub texts: usize,
    /// Total length of the texts, in bytes.
    pub bytes: u64,
}

impl BatchSize {
    fn add(&mut self, bytes: u64) {
        self.texts += 1;
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Returns `true` if no further text should be added. The last text may exceed the limit.
    fn reaches(&self, limit: BatchSize) -> bool {
        self.texts >= limit.texts || self.bytes >= limit.bytes
    }
}

/// Limits of the texts in one plan. They apply to each store and each way separately, so that neither
/// way holds up the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit for a store that fetches from its own region.
    pub same_region: BatchSize,
    /// Limit for a store that fetches from another region, over a link with little bandwidth.
    pub cross_region: BatchSize,
}

impl Limits {
    fn of(&self, cross_region: bool) -> BatchSize {
        if cross_region { self.cross_region } else { self.same_region }
    }
}

/// Texts that one store should fetch from others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Store that fetches the texts.
    pub target: VmId,
    /// Stores that hold the texts, those in the target's region first.
    pub sources: Vec<VmId>,
    /// Whether no source is in the target's region.
    pub cross_region: bool,
    /// Texts to fetch, with their holders after the transfer.
    pub turns: Vec<Holding>,
}

impl Transfer {
    /// Returns `true` if only one store is left that the texts can be read from. The loss of another
    /// disk would lose them.
    pub fn is_last_copy(&self) -> bool {
        self.sources.len() == 1
    }

    /// Splits the transfer into parts within `limit`, each with at least one text.
    pub fn split(self, limit: BatchSize) -> Vec<Transfer> {
        let mut parts: Vec<Transfer> = Vec::new();
        let mut sum = BatchSize::default();
        for holding in self.turns {
            let first = parts.is_empty();
            let full = sum.reaches(limit) || sum.bytes.saturating_add(holding.bytes) > limit.bytes;
            if first || full {
                let (target, sources) = (self.target, self.sources.clone());
                parts.push(Transfer {
                    target,
                    sources,
                    cross_region: self.cross_region,
                    turns: Vec::new(),
                });
                sum = BatchSize::default();
            }
            sum.add(holding.bytes);
            parts.last_mut().expect("pushed before").turns.push(holding);
        }
        parts
    }
}

impl Turns {
    /// Plans the next transfers, within `limits`, in order of need: texts that the loss of the
    /// fewest disks would lose come first, and among these the ones that are kept longest.
    ///
    /// Texts with the same remaining holders get the same target, so that the texts of a
    /// conversation stay together. Texts without a readable holder are skipped.
    pub fn plan_copies(&self, survey: &CopySurvey, limits: &Limits) -> Vec<Transfer> {
        let wanted = survey.copies.min(survey.serving().count());
        let mut plans: BTreeMap<BTreeSet<VmId>, Option<Transfer>> = BTreeMap::new();
        let mut taken: BTreeMap<(VmId, bool), BatchSize> = BTreeMap::new();
        let lacking = self.under_replicated(survey, wanted);
        let lacking = lacking.filter(|(id, _)| !survey.deferred.contains(*id));
        let mut lacking: Vec<_> = lacking
            .map(|(id, turn)| {
                let left = turn.holders.iter().copied().filter(|vm| survey.is_readable(*vm));
                (left.collect::<BTreeSet<VmId>>(), id, turn)
            })
            .collect();
        lacking.sort_by_key(|(left, _, turn)| (left.len(), Reverse(turn.needed_until())));
        for (left, id, turn) in lacking {
            let plan = plans.entry(left).or_insert_with_key(|left| survey.plan(left));
            let Some(copy) = plan else { continue };
            let sum = taken.entry((copy.target, copy.cross_region)).or_default();
            if sum.reaches(limits.of(copy.cross_region)) {
                continue;
            }
            sum.add(turn.bytes);
            let mut holding = turn.holding(id);
            holding.holders.retain(|vm| survey.is_serving(*vm));
            holding.holders.push(copy.target);
            copy.turns.push(holding);
        }
        let planned = plans.into_values().flatten().filter(|copy| !copy.turns.is_empty());
        let mut planned: Vec<Transfer> = planned.collect();
        planned.sort_by_key(|copy| copy.sources.len());
        planned
    }

    /// Returns the holders of texts that are on too few stores. None of them may be removed.
    ///
    /// If fewer stores are available than should hold each text, these are the holders of all
    /// texts, since the missing stores may come back.
    pub fn required_holders(&self, survey: &CopySurvey) -> BTreeSet<VmId> {
        let under_replicated = self.under_replicated(survey, survey.copies);
        under_replicated.flat_map(|(_, turn)| turn.holders.iter().copied()).collect()
    }

    /// Returns the turns that may still be continued and whose texts are on fewer than `wanted`
    /// stores.
    fn under_replicated(
        &self,
        survey: &CopySurvey,
        wanted: usize,
    ) -> impl Iterator<Item = (&CompactString, &Turn)> {
        let serving: BTreeSet<VmId> = survey.serving().map(|store| store.vm).collect();
        let settled = self.clock.saturating_sub(LATE_SETTLEMENT_MS);
        self.tree.turns.iter().filter(move |(_, turn)| {
            let kept = turn.holders.iter().filter(|vm| serving.contains(vm)).count();
            kept < wanted && turn.needed_until() >= settled
        })
    }
}

impl CopySurvey {
    fn serving(&self) -> impl Iterator<Item = &StoreInfo> {
        self.alive.iter().filter(|store| !store.retiring)
    }

    fn is_serving(&self, vm: VmId) -> bool {
        self.serving().any(|store| store.vm == vm)
    }

    fn is_readable(&self, vm: VmId) -> bool {
        self.find(vm).is_some()
    }

    fn find(&self, vm: VmId) -> Option<&StoreInfo> {
        self.alive.iter().find(|store| store.vm == vm)
    }

    /// Returns a transfer without texts for those whose `remaining` holders are these, or `None` if
    /// there is no target.
    fn plan(&self, remaining: &BTreeSet<VmId>) -> Option<Transfer> {
        let target = self.choose_target(remaining)?;
        let other_region =
            |vm: &VmId| self.find(*vm).is_none_or(|store| store.region != target.region);
        let mut sources: Vec<VmId> = remaining.iter().copied().collect();
        sources.sort_by_key(other_region);
        let cross_region = sources.iter().all(other_region);
        Some(Transfer { target: target.vm, sources, cross_region, turns: Vec::new() })
    }

    /// Chooses the store that replaces a lost holder, preferably in the main region of the
    /// remaining ones and in a failure domain of its own.
    fn choose_target(&self, remaining: &BTreeSet<VmId>) -> Option<&StoreInfo> {
        let region = self.main_region(remaining)?;
        let key: String = remaining.iter().map(|vm| format!("{}/", vm.0)).collect();
        let order = preferred_stores(&key, region, &self.alive);
        let free = order.into_iter().filter(|vm| !remaining.contains(vm));
        let domain_of = |vm: &VmId| self.serving().find(|store| store.vm == *vm);
        let domains: Vec<&CompactString> =
            remaining.iter().filter_map(domain_of).map(|store| &store.domain).collect();
        free.filter_map(|vm| self.find(vm)).min_by_key(|store| {
            let shared = domains.contains(&&store.domain);
            (store.region != *region, self.failing.contains(&store.vm), shared)
        })
    }

    /// Returns the region with most of the remaining holders, or among equals the one with more
    /// stores.
    fn main_region(&self, remaining: &BTreeSet<VmId>) -> Option<&CompactString> {
        let regions = remaining.iter().filter_map(|vm| self.find(*vm)).map(|store| &store.region);
        regions.max_by_key(|region| {
            let here = self.alive.iter().filter(|store| store.region == **region);
            let held = here.clone().filter(|store| remaining.contains(&store.vm)).count();
            (held, here.count(), *region)
        })
    }
}
