//! Restores the members of the groups that this store leads after stores have failed or moved.

use std::collections::BTreeMap;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::relays::MIN_STORES;
use gypsumglade_core::replication::repair::{
    ClusterView, StoreInfo, next_change, next_swap, successors,
};
use gypsumglade_core::replication::{MemberChange, Role, Status};
use gypsumglade_core::wire::discovery::Led;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::ControlGroup;
use super::text_copies::TextCopies;
use super::turn_group::TurnGroup;
use crate::discovery::Discovery;
use crate::replica::DiskShortage;

/// Interval between two checks. A repair takes several, since each makes at most one change: add,
/// promote and remove. A newcomer must have caught up some four seconds after its start.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Silence after which a store counts as failed: three rounds of hellos, and the time that a hello
/// takes to be known. A store that is removed too early rejoins as a learner, without loss of data.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which the failure domain of a member is known after its last hello.
const MEMBER_MEMORY: Duration = Duration::from_secs(8);

/// Pause between two attempts to transfer a group's leadership, since commits wait during an
/// attempt.
const TRANSFER_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which the same swap of voters must be due before it begins. Longer than a restart,
/// during which a region seems to have fewer stores.
const SWAP_DELAY: Duration = Duration::from_secs(10);

/// Time for which the disk must be full before other stores take over its replicas and texts.
const FULL_DISK_GRACE: Duration = Duration::from_secs(3);

/// Checks the led groups' members and changes them where needed.
pub(super) struct Repair {
    pub(super) context: Arc<StoreContext>,
    pub(super) control: Arc<ControlGroup>,
    pub(super) turns: Arc<TurnGroup>,
    pub(super) copies: Arc<TextCopies>,
    pub(super) discovery: Arc<Discovery>,
    /// Number of voters that each group should have.
    pub(super) target_voters: usize,
}

/// Returns the stores that were heard of within `age`.
///
/// Members of the control group know of a retiring store before discovery reports it.
pub(super) fn live_stores(
    discovery: &Discovery,
    control: &ControlGroup,
    age: Duration,
) -> Vec<StoreInfo> {
    let mut stores = discovery.recent_stores(age + discovery.spread_time());
    for store in &mut stores {
        store.retiring |= control.is_retiring(store.vm);
    }
    stores
}

/// State that is kept between two checks.
#[derive(Default)]
struct RepairHistory {
    /// Address of each store, kept after another store has taken it and the roster has dropped the
    /// first.
    addresses: BTreeMap<VmId, CompactString>,
    /// Time of each group's last attempt to transfer leadership.
    transfers: BTreeMap<GroupId, Time>,
    /// Swap of voters that is due in each group, and since when.
    pending_swaps: BTreeMap<GroupId, (MemberChange, Time)>,
    /// Whether a write waited for room on the disk at the last check.
    short_of_room: bool,
}

impl Repair {
    /// Repairs the led groups until `halt` is cancelled.
    pub(super) async fn run(self, halt: CancellationToken) {
        let mut history = RepairHistory::default();
        while !halt.is_cancelled() {
            self.record_addresses(&mut history.addresses);
            let host = self.context.host.status().await;
            self.report_shortage(host.shortage.as_ref(), &mut history);
            let led: Vec<_> =
                host.groups.into_iter().filter(|group| group.role == Role::Leader).collect();
            self.discovery.set_led(led.iter().map(|group| self.leader_report(group)).collect());
            let leads_control = led.iter().any(|group| group.group == GroupId::CONTROL);
            for group in led {
                self.repair(&group, leads_control, &mut history).await;
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(CHECK_INTERVAL) => {}
            }
        }
    }

    /// Logs when the disk becomes full or has room again, and reports a lasting shortage to others.
    fn report_shortage(&self, shortage: Option<&DiskShortage>, history: &mut RepairHistory) {
        let log = &self.context.log;
        match shortage {
            Some(shortage) if !history.short_of_room => {
                slog::warn!(log, "disk is full, writes wait for room; see docs/OPERATING.md, \
                    \"Full disk\""; "file" => %shortage.file, "bytes" => shortage.bytes);
            }
            None if history.short_of_room => slog::info!(log, "disk has room again"),
            Some(_) | None => {}
        }
        history.short_of_room = shortage.is_some();
        let grace_ms = FULL_DISK_GRACE.as_millis() as u64;
        self.discovery.set_full(shortage.is_some_and(|shortage| shortage.wait_ms >= grace_ms));
    }

    async fn repair(&self, group: &Status, leads_control: bool, history: &mut RepairHistory) {
        let cluster_view = self.cluster_view(group, &history.addresses);
        if self.transfer_leadership(group, leads_control, &cluster_view, history) {
            return;
        }
        let repair = next_change(&group.members, &cluster_view);
        let swap = self.due_swap(group, &cluster_view, repair.is_none(), history);
        let Some(change) = repair.or(swap) else { return };
        let number = group.group.0;
        match self.context.host.change_members(group.group, change).await {
            Ok(_) => slog::info!(self.context.log, "group membership changed";
                "group" => number, "change" => ?change),
            // Usually a learner that has not caught up yet; the next check tries again.
            Err(error) => slog::debug!(self.context.log, "group membership not changed";
                "group" => number, "change" => ?change, "error" => %error),
        }
    }

    /// Returns the first change of a swap of voters that has been due for [`SWAP_DELAY`].
    fn due_swap(
        &self,
        group: &Status,
        cluster_view: &ClusterView,
        repaired: bool,
        history: &mut RepairHistory,
    ) -> Option<MemberChange> {
        let wanted =
            (repaired && group.settled).then(|| next_swap(&group.members, cluster_view)).flatten();
        let Some(change) = wanted else {
            history.pending_swaps.remove(&group.group);
            return None;
        };
        let now = self.context.clock.now();
        let due = history.pending_swaps.entry(group.group).or_insert((change, now));
        if due.0 != change {
            *due = (change, now);
        }
        (now.since(due.1) >= SWAP_DELAY).then_some(change)
    }

    /// Transfers a group's leadership if another store should lead. Returns `true` if a transfer
    /// began.
    fn transfer_leadership(
        &self,
        group: &Status,
        leads_control: bool,
        cluster_view: &ClusterView,
        history: &mut RepairHistory,
    ) -> bool {
        let now = self.context.clock.now();
        let tried = history.transfers.get(&group.group);
        let paused = tried.is_some_and(|at| now.since(*at) < TRANSFER_BACKOFF);
        // In a large deployment one store's processor is too small for the leaders of both groups.
        let crowded = leads_control && cluster_view.alive.len() >= MIN_STORES;
        let unfit = group.group == GroupId::TURNS && (self.turns.is_unusable() || crowded);
        let successors =
            if group.settled { successors(&group.members, cluster_view) } else { Vec::new() };
        if paused || (successors.is_empty() && !unfit) {
            return false;
        }
        history.transfers.insert(group.group, now);
        slog::info!(self.context.log, "transferring leadership"; "group" => group.group.0,
            "to" => ?successors);
        self.context.host.transfer(group.group, successors);
        true
    }

    /// Returns the stores as the leader of `group` sees them.
    ///
    /// A member that answers the leader is alive, whatever others have heard of it.
    fn cluster_view(
        &self,
        group: &Status,
        addresses: &BTreeMap<VmId, CompactString>,
    ) -> ClusterView {
        let members = &group.members;
        let mut alive = live_stores(&self.discovery, &self.control, STORE_TIMEOUT);
        let responsive =
            |vm: VmId| group.followers.iter().any(|lag| lag.vm == vm && lag.silent < STORE_TIMEOUT);
        for store in live_stores(&self.discovery, &self.control, MEMBER_MEMORY) {
            if responsive(store.vm) && !alive.contains(&store) {
                alive.push(store);
            }
        }
        let roster = self.discovery.roster();
        let replacement = |vm: &VmId| {
            let address = addresses.get(vm)?;
            roster.at_address(address).filter(|now_there| now_there != vm)
        };
        let replaced = members.all().filter(|vm| replacement(vm).is_some()).collect();
        ClusterView { leader: self.context.vm, alive, replaced, target_voters: self.target_voters }
    }

    /// Returns the report on a led group that hellos carry to other processes.
    fn leader_report(&self, group: &Status) -> Led {
        let members = group.members.all().map(|vm| vm.0).collect();
        let mut led =
            Led { group: group.group.0, members, settled: group.settled, ..Led::default() };
        match group.group {
            GroupId::TURNS => {
                let holder_report = self.copies.holder_report();
                (led.holders, led.retiring) = (holder_report.holders, holder_report.retiring);
            }
            GroupId::CONTROL => led.retiring = self.control.retiring(),
            _ => {}
        }
        led
    }

    fn record_addresses(&self, addresses: &mut BTreeMap<VmId, CompactString>) {
        for (node, _) in self.discovery.roster().stores() {
            addresses.entry(VmId(node.vm)).or_insert_with(|| node.peers.to_compact_string());
        }
    }
}
