//! Polls an entry VM for the membership, and reports failed entry VMs to the program groups.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use jsonrpsee::core::params::ArrayParams;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::program_group::GroupInput;
use crate::members::{EntryMember, MemberUpdate};
use crate::rpc::Method;

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a VM must be down before its calls count as lost.
///
/// A VM that turns out to be up within this time loses no calls, while the outcome of a lost call
/// is unknown.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// State of the entry VMs according to the last update.
#[derive(Default)]
struct MemberWatch {
    boot_ids: BTreeMap<VmId, u32>,
    /// Since when each VM is down; [`Time::MAX`] once it was reported.
    down: HashMap<VmId, Time>,
    members: Vec<EntryMember>,
    digest: u64,
}

/// Polls until `halt` is cancelled: the entry on the same VM first, and the others once a poll
/// fails.
pub async fn watch(context: Arc<StoreContext>, halt: CancellationToken) {
    let mut watch = MemberWatch::default();
    let mut attempt = 0;
    while !halt.is_cancelled() {
        match poll(&context, attempt, watch.digest).await {
            Some(update) => {
                let members = watch.update(update);
                let lost = watch.lost_vms(&members, context.clock.now());
                let changed = watch.changed_boot_ids(&members);
                context.set_dead(watch.dead());
                context.set_running(watch.boot_ids.clone());
                for vm in lost {
                    slog::warn!(context.log, "entry VM has failed"; "gone" => vm.0);
                    context.feed_all(|| GroupInput::VmGone(vm)).await;
                }
                for (vm, boot_id) in changed {
                    slog::info!(context.log, "entry VM runs another process"; "entry" => vm.0);
                    context.feed_all(|| GroupInput::VmRuns { vm, boot_id }).await;
                }
                let up = members.iter().filter(|member| member.up);
                context.directory.set_entries(up.map(EntryMember::address).collect());
            }
            None => attempt += 1,
        }
        tokio::select! {
            () = halt.cancelled() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

async fn poll(context: &StoreContext, attempt: usize, known: u64) -> Option<MemberUpdate> {
    let entries = context.directory.entries();
    let own = entries.iter().find(|entry| entry.vm == context.vm && attempt == 0);
    let entry = own.or_else(|| entries.get(attempt % entries.len().max(1)))?;
    if entry.peers.port() == 0 {
        return None;
    }
    let mut parameters = ArrayParams::new();
    parameters.insert(known).ok()?;
    let call = context.peers.call(entry.peers, Method::Members, parameters, POLL_TIMEOUT);
    let update: MemberUpdate = serde_json::from_str(&call.await.ok()?).ok()?;
    // An entry that lists only itself has not joined the others yet.
    let alone = update.members.as_ref().is_some_and(|members| members.len() < 2);
    (!alone).then_some(update)
}

impl MemberWatch {
    fn update(&mut self, update: MemberUpdate) -> Vec<EntryMember> {
        self.digest = update.digest;
        if let Some(members) = update.members {
            self.members = members;
        }
        self.members.clone()
    }

    /// Returns the VMs that have newly been down for the grace period, whose calls are lost.
    fn lost_vms(&mut self, members: &[EntryMember], now: Time) -> Vec<VmId> {
        let lost = members.iter().filter(|member| self.is_newly_dead(member, now));
        lost.map(|member| member.vm).collect()
    }

    /// Returns the boot ids that are new, and forgets those of VMs that are down.
    fn changed_boot_ids(&mut self, members: &[EntryMember]) -> Vec<(VmId, u32)> {
        let up = members.iter().filter(|member| member.up);
        let boot_ids: BTreeMap<VmId, u32> = up.map(|member| (member.vm, member.boot_id)).collect();
        let known = std::mem::replace(&mut self.boot_ids, boot_ids);
        let changed = self.boot_ids.iter().filter(|(vm, boot_id)| known.get(vm) != Some(boot_id));
        changed.map(|(vm, boot_id)| (*vm, *boot_id)).collect()
    }

    /// Returns the VMs that have been down for the grace period.
    fn dead(&self) -> BTreeSet<VmId> {
        let dead = self.down.iter().filter(|(_, since)| **since == Time::MAX);
        dead.map(|(vm, _)| *vm).collect()
    }

    /// Returns `true` once, when a VM has been down for the grace period.
    fn is_newly_dead(&mut self, member: &EntryMember, now: Time) -> bool {
        if member.up {
            self.down.remove(&member.vm);
            return false;
        }
        let since = *self.down.entry(member.vm).or_insert(now);
        if since == Time::MAX || now.since(since) < GRACE_PERIOD {
            return false;
        }
        self.down.insert(member.vm, Time::MAX);
        true
    }
}
