//! Brings the groups that this store leads back to full strength.

use std::collections::BTreeMap;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::{
    ClusterView, StoreInfo, next_change, next_swap, should_transfer_leadership,
};
use gypsumglade_core::replication::{MemberChange, Members, Role, Status};
use gypsumglade_core::wire::discovery::Led;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::text_copies::TextCopies;
use super::turn_group::TurnGroup;
use crate::discovery::Discovery;

/// Pause between two looks. A repair takes three steps, and a newcomer must have caught up some
/// four seconds after its start.
const PAUSE: Duration = Duration::from_millis(200);
/// Silence after which a store counts as lost: three rounds of introductions. A store that is
/// counted out too early comes back as a learner; nothing is lost by it.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// Pause between two hand-overs of one group's leadership, so that one that can't succeed costs
/// little: commits wait while it is tried.
const HAND_OVER_PAUSE: Duration = Duration::from_secs(3);

/// How long the same swap of voters must be due before it is begun: longer than restarts take, which make
/// a region look smaller for a while.
const SWAP_AFTER: Duration = Duration::from_secs(10);

/// What a repair needs to know.
pub(super) struct Repair {
    pub(super) context: Arc<StoreContext>,
    pub(super) control: Arc<ControlGroup>,
    pub(super) turns: Arc<TurnGroup>,
    pub(super) copies: Arc<TextCopies>,
    pub(super) discovery: Arc<Discovery>,
    /// Voters that each group should have.
    pub(super) wanted: usize,
}

/// Returns the stores heard of within `age`.
///
/// Which of them are to be emptied is known to members of the control group first, and told to others.
pub(super) fn candidates(
    discovery: &Discovery,
    control: &ControlGroup,
    age: Duration,
) -> Vec<StoreInfo> {
    let mut stores = discovery.stores_heard(age);
    for store in &mut stores {
        store.retiring |= control.is_retiring(store.vm);
    }
    stores
}

/// What the loop remembers between two looks.
#[derive(Default)]
struct Memory {
    /// Where a member's identity was last heard; the roster forgets it once another takes its
    /// address.
    addresses: BTreeMap<VmId, CompactString>,
    /// When each group's leadership was last to be handed over.
    handed: BTreeMap<GroupId, Time>,
    /// The swap that each group is due, and since when.
    swaps: BTreeMap<GroupId, (MemberChange, Time)>,
}

impl Repair {
    /// Looks after the groups until `halt`.
    pub(super) async fn run(self, halt: CancellationToken) {
        let mut memory = Memory::default();
        while !halt.is_cancelled() {
            self.note_addresses(&mut memory.addresses);
            let groups = self.context.host.status().await.groups;
            let led: Vec<_> =
                groups.into_iter().filter(|group| group.role == Role::Leader).collect();
            self.discovery.set_led(led.iter().map(|group| self.told(group)).collect());
            for group in led {
                self.repair(&group, &mut memory).await;
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(PAUSE) => {}
            }
        }
    }

    async fn repair(&self, group: &Status, memory: &mut Memory) {
        let survey = self.survey(&group.members, &memory.addresses);
        if self.hand_over(group, &survey, memory) {
            return;
        }
        let repair = next_change(&group.members, &survey);
        let swap = self.swap(group, &survey, repair.is_none(), memory);
        let Some(change) = repair.or(swap) else { return };
        let number = group.group.0;
        match self.context.host.change_members(group.group, change).await {
            Ok(_) => slog::info!(self.context.log, "group membership changed";
                "group" => number, "change" => ?change),
            // Most often a learner that has not caught up yet; the next look tries again.
            Err(error) => slog::debug!(self.context.log, "group membership not changed";
                "group" => number, "change" => ?change, "error" => %error),
        }
    }

    /// Returns the change that begins a swap of voters once it has been due for long.
    fn swap(
        &self,
        group: &Status,
        survey: &ClusterView,
        whole: bool,
        memory: &mut Memory,
    ) -> Option<MemberChange> {
        let wanted = (whole && group.settled).then(|| next_swap(&group.members, survey)).flatten();
        let Some(change) = wanted else {
            memory.swaps.remove(&group.group);
            return None;
        };
        let now = self.context.clock.now();
        let due = memory.swaps.entry(group.group).or_insert((change, now));
        if due.0 != change {
            *due = (change, now);
        }
        (now.since(due.1) >= SWAP_AFTER).then_some(change)
    }

    /// Hands a group's leadership over if it belongs elsewhere, and tells whether it does so.
    fn hand_over(&self, group: &Status, survey: &ClusterView, memory: &mut Memory) -> bool {
        let now = self.context.clock.now();
        let tried = memory.handed.get(&group.group);
        let paused = tried.is_some_and(|at| now.since(*at) < HAND_OVER_PAUSE);
        let unfit = group.group == GroupId::TURNS && self.turns.is_unusable();
        let misplaced = group.settled && should_transfer_leadership(&group.members, survey);
        if paused || !(unfit || misplaced) {
            return false;
        }
        memory.handed.insert(group.group, now);
        slog::info!(self.context.log, "leadership is handed over"; "group" => group.group.0);
        self.context.host.transfer(group.group);
        true
    }

    fn survey(&self, members: &Members, addresses: &BTreeMap<VmId, CompactString>) -> ClusterView {
        let alive = candidates(&self.discovery, &self.control, SILENT_AFTER);
        let roster = self.discovery.roster();
        let replaced = |vm: &VmId| {
            let address = addresses.get(vm)?;
            roster.at_address(address).filter(|now_there| now_there != vm)
        };
        let gone = members.all().filter(|vm| replaced(vm).is_some()).collect();
        ClusterView { leader: self.context.vm, alive, replaced: gone, target_voters: self.wanted }
    }

    /// Returns what to tell others of a group that this store leads.
    fn told(&self, group: &Status) -> Led {
        let members = group.members.all().map(|vm| vm.0).collect();
        let mut led =
            Led { group: group.group.0, members, settled: group.settled, ..Led::default() };
        match group.group {
            GroupId::TURNS => {
                let reliance = self.copies.reliance();
                (led.holders, led.retiring) = (reliance.holders, reliance.retiring);
            }
            GroupId::CONTROL => led.retiring = self.control.retiring(),
            _ => {}
        }
        led
    }

    fn note_addresses(&self, addresses: &mut BTreeMap<VmId, CompactString>) {
        for (node, _) in self.discovery.roster().stores() {
            addresses.entry(VmId(node.vm)).or_insert_with(|| node.peers.to_compact_string());
        }
    }
}
