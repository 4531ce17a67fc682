//! Joins VM membership and keeps the directory up to date with it.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context as _;
use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use super::state::EntryState;
use crate::members::{EntryDigest, EntryMember, seeds};
use crate::membership::{self, ClusterKey, Handle, MembershipSettings};

/// Joins membership and advertises the address of this VM's RPC listener.
///
/// # Errors
/// Fails when the peers token is too short or the UDP address can't be bound.
pub(super) async fn join(state: &EntryState, peers: SocketAddr) -> anyhow::Result<Handle> {
    let settings = &state.settings;
    let secret = Bytes::copy_from_slice(settings.tokens.peers.reveal().as_bytes());
    let key = ClusterKey::new(secret).context("tokens.peers is too short for a cluster key")?;
    let handle = membership::start(MembershipSettings {
        vm: state.vm,
        domain: state.place.domain,
        region: state.place.region,
        bind: settings.listen.gossip,
        seeds: seeds(settings),
        key: Some(key),
        ..MembershipSettings::default()
    })?;
    let digest = EntryDigest { boot_id: state.boot_id, peers };
    handle.set_digest(digest.to_bytes()).await;
    Ok(handle)
}

/// Applies changes of the membership view until shutdown.
pub(super) fn follow(state: &Arc<EntryState>, handle: &Handle, halt: &CancellationToken) {
    let (state, halt) = (Arc::clone(state), halt.clone());
    let mut view = handle.watch();
    let standalone = seeds(&state.settings).is_empty();
    tokio::spawn(async move {
        loop {
            let members: Vec<EntryMember> =
                view.borrow_and_update().members.iter().filter_map(EntryMember::of).collect();
            state.update_members(members, standalone);
            tokio::select! {
                () = halt.cancelled() => return,
                changed = view.changed() => if changed.is_err() { return },
            }
        }
    });
}

impl EntryState {
    /// Updates the directory and the member list. A VM without seeds knows only itself, so its
    /// directory keeps the entries from the settings.
    fn update_members(&self, members: Vec<EntryMember>, standalone: bool) {
        if !standalone {
            let up = members.iter().filter(|member| member.up);
            self.directory.set_entries(up.map(EntryMember::address).collect());
            self.resize_pools();
        }
        *self.members.lock().expect("no panic while held") = members;
    }

    /// Returns the entry VMs that membership knows.
    pub fn members(&self) -> Vec<EntryMember> {
        self.members.lock().expect("no panic while held").clone()
    }
}
