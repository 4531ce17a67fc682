//! Brings the groups that this store leads back to full strength.

use std::collections::BTreeMap;
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::repair::{Candidate, Survey, next_change};
use gypsumglade_core::replication::{Members, Role};
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use crate::discovery::Discovery;

/// Pause between two looks. A repair takes three steps, and a newcomer must have caught up some
/// four seconds after its start.
const PAUSE: Duration = Duration::from_millis(200);
/// Silence after which a store counts as lost: three rounds of introductions. A store that is
/// counted out too early comes back as a learner; nothing is lost by it.
const SILENT_AFTER: Duration = Duration::from_millis(1_500);

/// What a repair needs to know.
pub(super) struct Repair {
    pub(super) context: Arc<StoreContext>,
    pub(super) discovery: Arc<Discovery>,
    /// Voters that each group should have.
    pub(super) wanted: usize,
}

impl Repair {
    /// Looks after the groups until `halt`.
    pub(super) async fn run(self, halt: CancellationToken) {
        // Where a member's identity was last heard; the roster forgets it once another takes its
        // address.
        let mut addresses = BTreeMap::new();
        while !halt.is_cancelled() {
            self.note_addresses(&mut addresses);
            for group in self.context.host.status().await.groups {
                if group.role == Role::Leader {
                    self.repair(group.group, &group.members, &addresses).await;
                }
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(PAUSE) => {}
            }
        }
    }

    async fn repair(
        &self,
        group: GroupId,
        members: &Members,
        addresses: &BTreeMap<VmId, CompactString>,
    ) {
        let survey = self.survey(members, addresses);
        let Some(change) = next_change(members, &survey) else { return };
        let made = self.context.host.change_members(group, change).await;
        match made {
            Ok(_) => slog::info!(self.context.log, "group membership changed";
                "group" => group.0, "change" => ?change),
            // Most often a learner that has not caught up yet; the next look tries again.
            Err(error) => slog::info!(self.context.log, "group membership not changed";
                "group" => group.0, "change" => ?change, "error" => %error),
        }
    }

    fn survey(&self, members: &Members, addresses: &BTreeMap<VmId, CompactString>) -> Survey {
        let now = self.discovery.now();
        let roster = self.discovery.roster();
        let heard = roster.stores().filter(|(_, at)| now.since(*at) < SILENT_AFTER);
        let alive = heard.map(|(node, _)| Candidate {
            vm: VmId(node.vm),
            domain: node.domain.to_compact_string(),
            retiring: false,
        });
        let alive = alive.collect();
        let replaced = |vm: &VmId| {
            let address = addresses.get(vm)?;
            roster.at_address(address).filter(|now_there| now_there != vm)
        };
        let gone = members.all().filter(|vm| replaced(vm).is_some()).collect();
        Survey { me: self.context.vm, alive, gone, wanted: self.wanted }
    }

    fn note_addresses(&self, addresses: &mut BTreeMap<VmId, CompactString>) {
        for (node, _) in self.discovery.roster().stores() {
            addresses.entry(VmId(node.vm)).or_insert_with(|| node.peers.to_compact_string());
        }
    }
}
