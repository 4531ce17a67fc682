//! Which texts must be copied to other stores, so that the losses to be borne stay bearable.

use std::collections::{BTreeMap, BTreeSet};

use super::holders::preferred_stores;
use super::state::Turns;
use super::tree::{Holding, Turn};
use crate::prelude::*;
use crate::replication::repair::StoreInfo;

/// What the turn group's leader knows of the stores.
#[derive(Clone, Debug, Default)]
pub struct CopySurvey {
    /// Stores that can be read from, those that are to be emptied included.
    pub alive: Vec<StoreInfo>,
    /// Stores that each text should be on.
    pub copies: usize,
    /// Stores that lately took no text: another one of their region is chosen where there is one.
    pub failing: BTreeSet<VmId>,
    /// Turns whose texts lately could not be copied. Planned again each time, they would keep out those
    /// that can.
    pub deferred: BTreeSet<CompactString>,
}

/// A number of texts, and their length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchSize {
    /// Texts.
    pub texts: usize,
    /// Bytes of them all.
    pub bytes: u64,
}

impl BatchSize {
    fn add(&mut self, bytes: u64) {
        self.texts += 1;
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Tells whether no further text should be added. One text may be longer than the most bytes.
    fn reaches(&self, limit: BatchSize) -> bool {
        self.texts >= limit.texts || self.bytes >= limit.bytes
    }
}

/// Limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// For a store that fetches from its own region.
    pub same_region: BatchSize,
    /// For a store that fetches from another region: the link between them is narrow, and a newcomer in
    /// the texts' own region takes the rest.
    pub cross_region: BatchSize,
}

/// Texts that one store should fetch from others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The store that fetches.
    pub target: VmId,
    /// Stores that have the texts, those of the target's region first.
    pub sources: Vec<VmId>,
    /// True when none of them is in the target's region.
    pub cross_region: bool,
    /// The texts, with the holders that they have once they are copied.
    pub turns: Vec<Holding>,
}

impl Transfer {
    /// Returns the same in parts of at most `most` each, but at least one text.
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
    /// Returns what to copy next, at most `most` to each store.
    ///
    /// Texts that lost the same holders go to the same store, so that a conversation's stay together.
    /// A text of which no holder can be read is left out.
    pub fn plan_copies(&self, survey: &CopySurvey, limits: &Limits) -> Vec<Transfer> {
        let wanted = survey.copies.min(survey.serving().count());
        let mut plans: BTreeMap<BTreeSet<VmId>, Option<Transfer>> = BTreeMap::new();
        let mut taken: BTreeMap<VmId, BatchSize> = BTreeMap::new();
        for (id, turn) in self.under_replicated(survey, wanted) {
            if survey.deferred.contains(id) {
                continue;
            }
            let remaining: BTreeSet<VmId> =
                turn.holders.iter().copied().filter(|vm| survey.is_readable(*vm)).collect();
            let plan =
                plans.entry(remaining).or_insert_with_key(|remaining| survey.plan(remaining));
            let Some(copy) = plan else { continue };
            let sum = taken.entry(copy.target).or_default();
            if sum.reaches(if copy.cross_region { limits.cross_region } else { limits.same_region })
            {
                continue;
            }
            sum.add(turn.bytes);
            let mut holding = turn.holding(id);
            holding.holders.retain(|vm| survey.is_serving(*vm));
            holding.holders.push(copy.target);
            copy.turns.push(holding);
        }
        plans.into_values().flatten().filter(|copy| !copy.turns.is_empty()).collect()
    }

    /// Returns the holders of texts that are on too few stores; none of them may be taken away.
    ///
    /// Where fewer stores serve than each text should be on, the others may only be silent, and every
    /// text counts.
    pub fn required_holders(&self, survey: &CopySurvey) -> BTreeSet<VmId> {
        let under_replicated = self.under_replicated(survey, survey.copies);
        under_replicated.flat_map(|(_, turn)| turn.holders.iter().copied()).collect()
    }

    /// Returns the turns whose texts are on fewer than `wanted` stores.
    fn under_replicated(
        &self,
        survey: &CopySurvey,
        wanted: usize,
    ) -> impl Iterator<Item = (&CompactString, &Turn)> {
        let serving: BTreeSet<VmId> = survey.serving().map(|store| store.vm).collect();
        self.tree.turns.iter().filter(move |(_, turn)| {
            let kept = turn.holders.iter().filter(|vm| serving.contains(vm)).count();
            kept < wanted
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

    /// Returns how the texts that are left on these stores are copied, without any text yet.
    fn plan(&self, remaining: &BTreeSet<VmId>) -> Option<Transfer> {
        let target = self.choose_target(remaining)?;
        let other_region =
            |vm: &VmId| self.find(*vm).is_none_or(|store| store.region != target.region);
        let mut sources: Vec<VmId> = remaining.iter().copied().collect();
        sources.sort_by_key(other_region);
        let cross_region = sources.iter().all(other_region);
        Some(Transfer { target: target.vm, sources, cross_region, turns: Vec::new() })
    }

    /// Returns the store that takes the place of a lost holder: in the region of those that are left, and
    /// in a failure domain of its own where there is one.
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

    /// Returns the region with most of these stores; of two alike, the one with more others.
    fn main_region(&self, remaining: &BTreeSet<VmId>) -> Option<&CompactString> {
        let regions = remaining.iter().filter_map(|vm| self.find(*vm)).map(|store| &store.region);
        regions.max_by_key(|region| {
            let here = self.alive.iter().filter(|store| store.region == **region);
            let held = here.clone().filter(|store| remaining.contains(&store.vm)).count();
            (held, here.count(), *region)
        })
    }
}
