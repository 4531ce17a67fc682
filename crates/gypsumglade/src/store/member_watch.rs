//! Learns from an entry VM who takes part, and tells the groups of VMs that are gone.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use gypsumglade_core::prelude::*;
use jsonrpsee::core::params::ArrayParams;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::program_group::GroupInput;
use crate::members::{EntryMember, MemberUpdate};
use crate::rpc::Method;

/// Pause between two askings.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for an entry's answer.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a VM must be seen down before its calls count as lost.
///
/// A suspicion that is refuted in between costs nothing then; a call declared lost stays in doubt.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Lives of the entry VMs as last told.
#[derive(Default)]
struct MemberWatch {
    boot_ids: HashMap<VmId, u32>,
    down: HashMap<VmId, Time>,
    members: Vec<EntryMember>,
    digest: u64,
}

/// Asks until the process ends: the entry on the same VM first, then any other.
pub async fn watch(context: Arc<StoreContext>, halt: CancellationToken) {
    let mut watch = MemberWatch::default();
    let mut attempt = 0;
    while !halt.is_cancelled() {
        match ask(&context, attempt, watch.digest).await {
            Some(update) => {
                let members = watch.update(update);
                for vm in watch.gone(&members, context.clock.now()) {
                    slog::warn!(context.log, "an entry VM is gone"; "gone" => vm.0);
                    context.feed_all(|| GroupInput::VmGone(vm)).await;
                }
                context.set_dead(watch.dead());
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

async fn ask(context: &StoreContext, attempt: usize, known: u64) -> Option<MemberUpdate> {
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
    // An entry that knows itself alone has not joined yet.
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

    /// Returns the VMs whose calls nobody carries any more: down for a while, or restarted.
    fn gone(&mut self, members: &[EntryMember], now: Time) -> Vec<VmId> {
        let mut gone = Vec::new();
        for member in members {
            let boot_id = self.boot_ids.insert(member.vm, member.life);
            let restarted = boot_id.is_some_and(|boot_id| boot_id != member.life);
            let dead = self.is_dead(member, now);
            if restarted || dead {
                gone.push(member.vm);
            }
        }
        gone
    }

    /// Returns the VMs that have been down for the grace time.
    fn dead(&self) -> BTreeSet<VmId> {
        let dead = self.down.iter().filter(|(_, since)| **since == Time::MAX);
        dead.map(|(vm, _)| *vm).collect()
    }

    /// Tells once that a VM has been down for the grace time.
    fn is_dead(&mut self, member: &EntryMember, now: Time) -> bool {
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
