//! Client of the program groups: finds a group's leader, follows redirects and retries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::{Refusal, Reply, Request};
use jsonrpsee::core::params::ArrayParams;
use rand::RngExt as _;

use crate::directory::Directory;
use crate::rpc::{Method, PeerClients, RpcError, decode, encode};
use crate::settings::Settings;

/// Backoff after the first attempt; doubled after each, with jitter so that clients don't
/// synchronise.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// Bound of the random index of the store tried first, larger than any deployment.
const MAX_STORES: usize = 1_024;
/// Longest backoff, before jitter.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Error of a request that no replica of the group answered in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupUnavailable {
    /// True when a replica may have received the request.
    pub sent: bool,
}

/// Maps programs to groups, and groups to the stores that may lead them.
#[derive(Clone, Debug)]
pub struct GroupMap {
    directory: Arc<Directory>,
    groups: u32,
}

impl GroupMap {
    /// Creates a map from the group count in the settings and the stores in the directory.
    pub fn new(settings: &Settings, directory: &Arc<Directory>) -> GroupMap {
        GroupMap { directory: Arc::clone(directory), groups: settings.groups }
    }

    /// Returns the group of a program, by the slot of its root program.
    pub fn group_of(&self, org: &str, program: &str) -> GroupId {
        group_of(org, program, self.groups)
    }

    fn target(&self, leader: Option<VmId>, attempt: usize) -> Option<(VmId, SocketAddr)> {
        let stores = self.directory.stores();
        let leader = leader.and_then(|vm| Some((vm, *stores.get(&vm)?)));
        leader
            .or_else(|| stores.iter().nth(attempt % stores.len().max(1)).map(|(vm, at)| (*vm, *at)))
    }
}

/// Returns the group of a program, by the slot of its root program, when there are `groups` groups.
pub fn group_of(org: &str, program: &str, groups: u32) -> GroupId {
    let slot = Slot::of(org, gypsumglade_core::program::root_of(program));
    GroupId(1 + u32::from(slot.0) % groups.max(1))
}

/// Sends requests to program groups on behalf of one VM.
#[derive(Clone)]
pub struct GroupClient {
    vm: VmId,
    peers: PeerClients,
    map: GroupMap,
    leaders: Arc<Mutex<HashMap<GroupId, VmId>>>,
    attempt_timeout: Duration,
}

impl GroupClient {
    /// Creates a client that waits up to `attempt_timeout` for each reply.
    pub fn new(
        vm: VmId,
        peers: PeerClients,
        map: GroupMap,
        attempt_timeout: Duration,
    ) -> GroupClient {
        GroupClient { vm, peers, map, leaders: Arc::default(), attempt_timeout }
    }

    /// Returns the group of a program.
    pub fn group_of(&self, org: &str, program: &str) -> GroupId {
        self.map.group_of(org, program)
    }

    /// Sends a request to the group of a program, and retries until it answers or `timeout` passes.
    ///
    /// Retries are safe, since requests are idempotent by their key, nonce or dispatch id.
    ///
    /// # Errors
    /// Fails when no leader answers in time, and says whether a replica may have got the request.
    pub async fn ask(
        &self,
        org: &str,
        program: &str,
        request: &Request,
        timeout: Duration,
    ) -> Result<ReplyBody, GroupUnavailable> {
        let group = self.map.group_of(org, program);
        let payload = encode(request);
        let started = Instant::now();
        let mut sent = false;
        let mut backoff = INITIAL_BACKOFF;
        let mut attempt = rand::rng().random_range(0..MAX_STORES);
        while started.elapsed() < timeout {
            let Some((vm, address)) = self.target(group, attempt) else { break };
            let remaining = timeout.saturating_sub(started.elapsed());
            let asked = self
                .ask_replica(group, address, &payload, remaining.min(self.attempt_timeout))
                .await;
            match asked {
                Ok(ReplyBody::Refused(refused)) if refused.code() == Refusal::NotLeader => {
                    self.redirect(group, vm, VmId(refused.leader));
                }
                Ok(body) => {
                    self.cache_leader(group, vm);
                    return Ok(body);
                }
                Err(error) => {
                    sent |= matches!(error, RpcError::Lost(_));
                    self.forget_leader(group, vm);
                }
            }
            attempt += 1;
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(backoff.mul_f64(jitter)).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        Err(GroupUnavailable { sent })
    }

    async fn ask_replica(
        &self,
        group: GroupId,
        address: SocketAddr,
        payload: &str,
        attempt_timeout: Duration,
    ) -> Result<ReplyBody, RpcError> {
        let mut parameters = ArrayParams::new();
        let inserted = parameters
            .insert(group)
            .and_then(|()| parameters.insert(self.vm))
            .and_then(|()| parameters.insert(payload));
        inserted.map_err(|error| RpcError::Refused(address, error.to_string()))?;
        let text = self.peers.call(address, Method::Program, parameters, attempt_timeout).await?;
        let reply: Reply =
            decode(&text).map_err(|error| RpcError::Refused(address, error.to_string()))?;
        reply.body.ok_or_else(|| RpcError::Refused(address, "empty reply".to_owned()))
    }

    fn target(&self, group: GroupId, attempt: usize) -> Option<(VmId, SocketAddr)> {
        let leader = self.leaders.lock().expect("no panic while held").get(&group).copied();
        self.map.target(leader, attempt)
    }

    /// Follows a redirect, unless it points back to the replica that gave it.
    fn redirect(&self, group: GroupId, from: VmId, leader: VmId) {
        if leader != from && self.map.directory.store(leader).is_some() {
            self.cache_leader(group, leader);
        } else {
            self.forget_leader(group, from);
        }
    }

    fn cache_leader(&self, group: GroupId, leader: VmId) {
        self.leaders.lock().expect("no panic while held").insert(group, leader);
    }

    fn forget_leader(&self, group: GroupId, vm: VmId) {
        let mut leaders = self.leaders.lock().expect("no panic while held");
        if leaders.get(&group) == Some(&vm) {
            leaders.remove(&group);
        }
    }
}
