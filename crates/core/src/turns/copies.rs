//! Which texts must be copied to other stores, so that the losses to be borne stay bearable.

use std::collections::{BTreeMap, BTreeSet};

use super::holders::preferred;
use super::state::Turns;
use super::tree::{Holding, Turn};
use crate::prelude::*;
use crate::replication::repair::Candidate;

/// What the turn group's leader knows of the stores.
#[derive(Clone, Debug, Default)]
pub struct Survey {
    /// Stores that can be read from, those that are to be emptied included.
    pub alive: Vec<Candidate>,
    /// Stores that each text should be on.
    pub copies: usize,
}

/// Texts that one store should fetch from others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copy {
    /// The store that fetches.
    pub target: VmId,
    /// Stores that have the texts.
    pub sources: Vec<VmId>,
    /// The texts, with the holders that they have once they are copied.
    pub turns: Vec<Holding>,
}

impl Turns {
    /// Returns what to copy next: at most `most` texts to each store.
    ///
    /// Texts that lost the same holders go to the same store, so that a conversation's stay together.
    /// A text of which no holder can be read is left out.
    pub fn plan_copies(&self, survey: &Survey, most: usize) -> Vec<Copy> {
        let mut targets: BTreeMap<Vec<VmId>, Option<VmId>> = BTreeMap::new();
        let mut planned: BTreeMap<(VmId, Vec<VmId>), Vec<Holding>> = BTreeMap::new();
        let mut taken: BTreeMap<VmId, usize> = BTreeMap::new();
        for (id, turn) in self.lacking_copies(survey) {
            let sources: Vec<VmId> =
                turn.holders.iter().copied().filter(|vm| survey.reads(*vm)).collect();
            let target = targets.entry(sources.clone()).or_insert_with(|| survey.target(&sources));
            let Some(target) = *target else { continue };
            let count = taken.entry(target).or_default();
            if *count >= most {
                continue;
            }
            *count += 1;
            let mut holding = turn.holding(id);
            holding.holders.retain(|vm| survey.serves(*vm));
            holding.holders.push(target);
            planned.entry((target, sources)).or_default().push(holding);
        }
        let planned = planned.into_iter();
        planned.map(|((target, sources), turns)| Copy { target, sources, turns }).collect()
    }

    /// Returns the holders of texts that are on too few stores; none of them may be taken away.
    pub fn relied_on(&self, survey: &Survey) -> BTreeSet<VmId> {
        let lacking = self.lacking_copies(survey);
        lacking.flat_map(|(_, turn)| turn.holders.iter().copied()).collect()
    }

    fn lacking_copies(&self, survey: &Survey) -> impl Iterator<Item = (&CompactString, &Turn)> {
        let serving = survey.alive.iter().filter(|store| !store.retiring);
        let serving: BTreeSet<VmId> = serving.map(|store| store.vm).collect();
        let wanted = survey.copies.min(serving.len());
        self.tree.turns.iter().filter(move |(_, turn)| {
            let kept = turn.holders.iter().filter(|vm| serving.contains(vm)).count();
            kept < wanted
        })
    }
}

impl Survey {
    fn serves(&self, vm: VmId) -> bool {
        self.alive.iter().any(|store| store.vm == vm && !store.retiring)
    }

    fn reads(&self, vm: VmId) -> bool {
        self.alive.iter().any(|store| store.vm == vm)
    }

    /// Returns the store that takes the place of a lost holder: in the region of those that are left,
    /// and in a failure domain of its own where there is one.
    fn target(&self, sources: &[VmId]) -> Option<VmId> {
        let left = self.alive.iter().filter(|store| sources.contains(&store.vm));
        let left: Vec<&Candidate> = left.collect();
        let region = &left.first()?.region;
        let key: String = sources.iter().map(|vm| format!("{}/", vm.0)).collect();
        let order = preferred(&key, region, &self.alive);
        let free = order.into_iter().filter(|vm| !sources.contains(vm));
        let stores = free.filter_map(|vm| self.alive.iter().find(|store| store.vm == vm));
        let target = stores.min_by_key(|store| {
            let shared = left.iter().any(|other| other.domain == store.domain && !other.retiring);
            (store.region != *region, shared)
        });
        target.map(|store| store.vm)
    }
}
