//! The bundle in force on this VM, and the lease without which it takes no new work.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use gypsumglade_core::bundle::OperatorKeys;
use gypsumglade_core::lease::{LeaseSettings, Relay, Upstream, VmRegion, upstreams};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::confirm_reply::Body;
use gypsumglade_core::wire::control::{ConfirmReply, ConfirmRequest};
use tokio_util::sync::CancellationToken;

use super::active_bundle::ActiveBundle;
use super::problem::{Problem, ProblemKind};
use crate::clock::Clock;
use crate::directory::Directory;
use crate::leader_hint::LeaderHint;
use crate::rpc::{Method, PeerClients, RpcError};

/// Longest wait for a lease's answer, before another VM is asked. An answer takes a round trip and a
/// look at the leader's lease; a processor that is out of its share stands still for a tenth of a second.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between looks at whether a renewal is due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// When to come back to a VM without a lease; by then the balancer has another.
const RETRY_MS: u64 = 1_000;

/// Configuration as the data path sees it.
pub struct ConfigView {
    relay: Mutex<Relay>,
    keys: OperatorKeys,
    active: RwLock<Option<Arc<ActiveBundle>>>,
}

/// What the renewal loop needs besides the view.
pub struct Renewal {
    /// This VM.
    pub me: VmRegion,
    /// Addresses of the others.
    pub directory: Arc<Directory>,
    /// Calls to the others.
    pub peers: PeerClients,
    /// The process's clock.
    pub clock: Clock,
    /// Ends the loop.
    pub stop: CancellationToken,
    /// Log of the process.
    pub log: slog::Logger,
}

impl ConfigView {
    /// Starts without a bundle and without a lease.
    pub fn new(lease: LeaseSettings, vm: VmId, keys: OperatorKeys, now: Time) -> ConfigView {
        // Two lives of one VM must differ, or the second would confirm for the first.
        let incarnation = rand::random();
        let relay = Mutex::new(Relay::new(lease, vm, incarnation, now));
        ConfigView { relay, keys, active: RwLock::new(None) }
    }

    /// Returns the bundle under which new work may be taken now.
    ///
    /// A VM that was cut off would otherwise act on an old bundle for as long as the cut lasts;
    /// once its lease is out, nobody counts on it any more.
    ///
    /// # Errors
    /// Refuses when the lease is out: nothing was run, and another VM can take the call.
    pub fn active(&self, now: Time) -> Result<Arc<ActiveBundle>, Problem> {
        let working = self.relay().lease().working_revision(now);
        let active = self.active.read().expect("no panic while held").clone();
        match (working, active) {
            (Some(working), Some(active)) if active.revision == working => Ok(active),
            (None, Some(_)) | (_, None) | (Some(_), Some(_)) => {
                let message = "this VM has no lease on the configuration in force";
                Err(Problem::not_run(ProblemKind::NoLease, message).retry_after(RETRY_MS))
            }
        }
    }

    /// Returns the newest revision applied, for dumps.
    pub fn applied(&self) -> RevisionNumber {
        self.relay().lease().applied()
    }

    /// Returns how long the lease still runs, for dumps.
    pub fn remaining(&self, now: Time) -> Duration {
        self.relay().lease().remaining(now)
    }

    /// Asks sooner when a newer revision was heard of.
    pub fn hint(&self, revision: RevisionNumber, now: Time) {
        self.relay().hint(revision, now);
    }

    /// Answers a VM that renews its lease through this one.
    pub fn serve(&self, request: &ConfirmRequest, now: Time) -> ConfirmReply {
        self.relay().serve(request, now)
    }

    fn relay(&self) -> std::sync::MutexGuard<'_, Relay> {
        self.relay.lock().expect("no panic while held")
    }

    fn apply_reply(&self, reply: ConfirmReply, now: Time, log: &slog::Logger) -> bool {
        let updated = matches!(reply.body, Some(Body::Update(_)));
        let mut relay = self.relay();
        match relay.handle_reply(reply, &self.keys, now) {
            Ok(Some(bundle)) => {
                let revision = relay.lease().applied();
                slog::info!(log, "bundle applied"; "revision" => revision.0,
                    "version" => %bundle.version);
                let active = Arc::new(ActiveBundle::new(revision, bundle));
                // Written before the relay is unlocked: no call sees a lease on a newer revision
                // together with the older content.
                *self.active.write().expect("no panic while held") = Some(active);
            }
            Ok(None) => {}
            Err(error) => slog::error!(log, "bundle not applied"; "error" => %error),
        }
        updated
    }
}

/// Keeps the lease fresh until the process stops; calls `applied` after each new bundle.
pub async fn renew(view: &ConfigView, renewal: &Renewal, on_applied: impl Fn(&ActiveBundle)) {
    let mut leaders = LeaderHint::default();
    let mut last = RevisionNumber::default();
    while !renewal.stop.is_cancelled() {
        renew_once(view, renewal, &mut leaders).await;
        let active = view.active.read().expect("no panic while held").clone();
        if let Some(active) = active.filter(|active| active.revision != last) {
            last = active.revision;
            on_applied(&active);
        }
        tokio::select! {
            () = renewal.stop.cancelled() => {}
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

async fn renew_once(view: &ConfigView, renewal: &Renewal, leaders: &mut LeaderHint) {
    let now = renewal.clock.now();
    let failures = view.relay().lease().failures();
    let Some(request) = view.relay().next_request(now) else { return };
    let Some(Target { store, address }) = target(renewal, leaders, failures) else {
        view.relay().request_failed(request.ask);
        return;
    };
    let call = renewal.peers.ask(address, Method::Lease, &request, REQUEST_TIMEOUT);
    let reply: Result<ConfirmReply, RpcError> = call.await;
    let now = renewal.clock.now();
    match reply {
        Ok(reply) => {
            // What a relay can't serve says nothing of the stores.
            match (&reply.body, store) {
                (Some(Body::Unavailable(unavailable)), Some(vm)) => {
                    leaders.redirect(Some(vm), unavailable.leader.map(VmId));
                }
                (Some(Body::Grant(_)), Some(vm)) => leaders.confirm(vm),
                _ => {}
            }
            view.apply_reply(reply, now, &renewal.log);
        }
        Err(_) => {
            if let Some(vm) = store {
                leaders.lost(vm, Instant::now());
            }
            view.relay().request_failed(request.ask);
        }
    }
}

/// Whom a request for the lease goes to.
struct Target {
    /// The store, unless it is another entry VM.
    store: Option<VmId>,
    address: SocketAddr,
}

fn target(renewal: &Renewal, leaders: &LeaderHint, failures: usize) -> Option<Target> {
    let entries = renewal.directory.entries();
    let members: Vec<VmRegion> =
        entries.iter().map(|entry| VmRegion { vm: entry.vm, region: entry.region }).collect();
    let path = upstreams(renewal.me, &members);
    // After every ancestor failed once, the path is tried from its start again.
    match path.get(failures % path.len().max(1))? {
        Upstream::Vm(vm) => {
            let address = renewal.directory.entry(*vm)?;
            Some(Target { store: None, address })
        }
        Upstream::Control => {
            let (vm, address) = leaders.target(&renewal.directory, Instant::now())?;
            Some(Target { store: Some(vm), address })
        }
    }
}

/// Returns the operators' keys as the core checks them.
pub fn operator_keys(settings: &crate::settings::OperatorSettings) -> OperatorKeys {
    let keys = settings.keys.iter().filter_map(|key| key.parse().ok()).collect();
    OperatorKeys { keys, threshold: settings.threshold as usize }
}
