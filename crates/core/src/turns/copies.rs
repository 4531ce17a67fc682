//! Which texts must be copied to other stores, so that the losses to be borne stay bearable.

use std::collections::{BTreeMap, BTreeSet};

use super::holders::preferred;
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
    pub put_off: BTreeSet<CompactString>,
}

/// A number of texts, and their length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Portion {
    /// Texts.
    pub texts: usize,
    /// Bytes of them all.
    pub bytes: u64,
}

impl Portion {
    fn add(&mut self, bytes: u64) {
        self.texts += 1;
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Tells whether no further text should be added. One text may be longer than the most bytes.
    fn is_over(&self, most: Portion) -> bool {
        self.texts >= most.texts || self.bytes >= most.bytes
    }
}

/// Limits of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// For a store that fetches from its own region.
    pub near: Portion,
    /// For a store that fetches from another region: the link between them is narrow, and a newcomer in
    /// the texts' own region takes the rest.
    pub abroad: Portion,
}

/// Texts that one store should fetch from others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// The store that fetches.
    pub target: VmId,
    /// Stores that have the texts, those of the target's region first.
    pub sources: Vec<VmId>,
    /// True when none of them is in the target's region.
    pub abroad: bool,
    /// The texts, with the holders that they have once they are copied.
    pub turns: Vec<Holding>,
}

impl Transfer {
    /// Returns the same in parts of at most `most` each, but at least one text.
    pub fn split(self, most: Portion) -> Vec<Transfer> {
        let mut parts: Vec<Transfer> = Vec::new();
        let mut sum = Portion::default();
        for holding in self.turns {
            let first = parts.is_empty();
            let full = sum.is_over(most) || sum.bytes.saturating_add(holding.bytes) > most.bytes;
            if first || full {
                let (target, sources) = (self.target, self.sources.clone());
                parts.push(Transfer { target, sources, abroad: self.abroad, turns: Vec::new() });
                sum = Portion::default();
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
        let mut taken: BTreeMap<VmId, Portion> = BTreeMap::new();
        for (id, turn) in self.lacking_copies(survey, wanted) {
            if survey.put_off.contains(id) {
                continue;
            }
            let left: BTreeSet<VmId> =
                turn.holders.iter().copied().filter(|vm| survey.reads(*vm)).collect();
            let plan = plans.entry(left).or_insert_with_key(|left| survey.plan(left));
            let Some(copy) = plan else { continue };
            let sum = taken.entry(copy.target).or_default();
            if sum.is_over(if copy.abroad { limits.abroad } else { limits.near }) {
                continue;
            }
            sum.add(turn.bytes);
            let mut holding = turn.holding(id);
            holding.holders.retain(|vm| survey.serves(*vm));
            holding.holders.push(copy.target);
            copy.turns.push(holding);
        }
        plans.into_values().flatten().filter(|copy| !copy.turns.is_empty()).collect()
    }

    /// Returns the holders of texts that are on too few stores; none of them may be taken away.
    ///
    /// Where fewer stores serve than each text should be on, the others may only be silent, and every
    /// text counts.
    pub fn relied_on(&self, survey: &CopySurvey) -> BTreeSet<VmId> {
        let lacking = self.lacking_copies(survey, survey.copies);
        lacking.flat_map(|(_, turn)| turn.holders.iter().copied()).collect()
    }

    /// Returns the turns whose texts are on fewer than `wanted` stores.
    fn lacking_copies(
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

    fn serves(&self, vm: VmId) -> bool {
        self.serving().any(|store| store.vm == vm)
    }

    fn reads(&self, vm: VmId) -> bool {
        self.find(vm).is_some()
    }

    fn find(&self, vm: VmId) -> Option<&StoreInfo> {
        self.alive.iter().find(|store| store.vm == vm)
    }

    /// Returns how the texts that are left on these stores are copied, without any text yet.
    fn plan(&self, left: &BTreeSet<VmId>) -> Option<Transfer> {
        let target = self.target(left)?;
        let far = |vm: &VmId| self.find(*vm).is_none_or(|store| store.region != target.region);
        let mut sources: Vec<VmId> = left.iter().copied().collect();
        sources.sort_by_key(far);
        let abroad = sources.iter().all(far);
        Some(Transfer { target: target.vm, sources, abroad, turns: Vec::new() })
    }

    /// Returns the store that takes the place of a lost holder: in the region of those that are left, and
    /// in a failure domain of its own where there is one.
    fn target(&self, left: &BTreeSet<VmId>) -> Option<&StoreInfo> {
        let region = self.region(left)?;
        let key: String = left.iter().map(|vm| format!("{}/", vm.0)).collect();
        let order = preferred(&key, region, &self.alive);
        let free = order.into_iter().filter(|vm| !left.contains(vm));
        let domain_of = |vm: &VmId| self.serving().find(|store| store.vm == *vm);
        let domains: Vec<&CompactString> =
            left.iter().filter_map(domain_of).map(|store| &store.domain).collect();
        free.filter_map(|vm| self.find(vm)).min_by_key(|store| {
            let shared = domains.contains(&&store.domain);
            (store.region != *region, self.failing.contains(&store.vm), shared)
        })
    }

    /// Returns the region with most of these stores; of two alike, the one with more others.
    fn region(&self, left: &BTreeSet<VmId>) -> Option<&CompactString> {
        let regions = left.iter().filter_map(|vm| self.find(*vm)).map(|store| &store.region);
        regions.max_by_key(|region| {
            let here = self.alive.iter().filter(|store| store.region == **region);
            let held = here.clone().filter(|store| left.contains(&store.vm)).count();
            (held, here.count(), *region)
        })
    }
}
