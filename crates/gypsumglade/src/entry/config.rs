//! Active bundle of this VM and the configuration lease, without which it takes no new calls.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use gypsumglade_core::bundle::OperatorKeys;
use gypsumglade_core::lease::{LeaseSettings, Relay, Upstream, VmRegion, upstreams};
use gypsumglade_core::prelude::*;
use gypsumglade_core::relays::Source;
use gypsumglade_core::wire::control::confirm_reply::Body;
use gypsumglade_core::wire::control::{ConfirmReply, ConfirmRequest};
use prost::Message as _;
use tokio_util::sync::CancellationToken;

use super::active_bundle::ActiveBundle;
use super::problem::{Problem, ProblemKind};
use crate::clock::Clock;
use crate::directory::Directory;
use crate::feed::{self, Sources};
use crate::metrics::LeaseMetrics;
use crate::rpc::{Method, PeerClients, RpcError};

/// Time without progress of a lease request after which another VM is asked. Outlasts a CPU-quota stall
/// of the peer, which takes up to 100 ms.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval between checks whether a renewal is due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Retry-After of a VM without a lease; the balancer sends the caller to another VM meanwhile.
const RETRY_MS: u64 = 1_000;

/// Configuration lease and active bundle, as the data path reads them.
pub struct ConfigView {
    relay: Mutex<Relay>,
    keys: OperatorKeys,
    active: RwLock<Option<Arc<ActiveBundle>>>,
}

/// Dependencies of the renewal loop.
pub struct Renewal {
    /// Id and region of this VM.
    pub me: VmRegion,
    /// The stores that answer for the control group.
    pub sources: Mutex<Sources>,
    /// Addresses of the other VMs.
    pub directory: Arc<Directory>,
    /// RPC clients for the other VMs.
    pub peers: PeerClients,
    /// Clock of the process.
    pub clock: Clock,
    /// Ends the loop when cancelled.
    pub stop: CancellationToken,
    /// Instruments of the requests.
    pub metrics: LeaseMetrics,
    /// Logger of the process.
    pub log: slog::Logger,
}

impl ConfigView {
    /// Creates a view without a bundle and without a lease.
    pub fn new(lease: LeaseSettings, vm: VmId, keys: OperatorKeys, now: Time) -> ConfigView {
        // A new incarnation for each start keeps a restarted VM from confirming a revision on
        // behalf of its previous process.
        let incarnation = rand::random();
        let relay = Mutex::new(Relay::new(lease, vm, incarnation, now));
        ConfigView { relay, keys, active: RwLock::new(None) }
    }

    /// Returns the bundle under which new calls may be taken now.
    ///
    /// The lease bounds how long a partitioned VM acts on an old bundle: a roll goes on without
    /// this VM once its lease has expired.
    ///
    /// # Errors
    /// Fails when this VM has no valid lease on its bundle. The call did not run and another VM can
    /// take it.
    pub fn active(&self, now: Time) -> Result<Arc<ActiveBundle>, Problem> {
        let working = self.relay().lease().working_revision(now);
        let active = self.active.read().expect("no panic while held").clone();
        match (working, active) {
            (Some(working), Some(active)) if active.revision == working => Ok(active),
            (None, Some(_)) | (_, None) | (Some(_), Some(_)) => {
                let message = "this VM has no valid lease on the active configuration";
                Err(Problem::not_run(ProblemKind::NoLease, message).retry_after(RETRY_MS))
            }
        }
    }

    /// Returns the newest revision applied on this VM.
    pub fn applied(&self) -> RevisionNumber {
        self.relay().lease().applied()
    }

    /// Returns the remaining time of the lease.
    pub fn remaining(&self, now: Time) -> Duration {
        self.relay().lease().remaining(now)
    }

    /// Makes the next lease request due at once if `revision`, learnt from another VM, is newer.
    pub fn hint(&self, revision: RevisionNumber, now: Time) {
        self.relay().hint(revision, now);
    }

    /// Answers a downstream VM that renews its lease through this one.
    pub fn serve(&self, request: &ConfirmRequest, now: Time) -> ConfirmReply {
        self.relay().serve(request, now)
    }

    fn relay(&self) -> MutexGuard<'_, Relay> {
        self.relay.lock().expect("no panic while held")
    }

    fn apply_reply(&self, reply: ConfirmReply, fetch_ms: u64, now: Time, renewal: &Renewal) {
        let bytes = reply.encoded_len();
        let mut relay = self.relay();
        match relay.handle_reply(reply, &self.keys, now) {
            Ok(Some(bundle)) => {
                let revision = relay.lease().applied();
                let apply_ms = renewal.clock.now().since(now).as_millis() as u64;
                slog::info!(renewal.log, "bundle applied"; "revision" => revision.0,
                    "version" => %bundle.version, "bytes" => bytes, "fetch_ms" => fetch_ms,
                    "apply_ms" => apply_ms);
                let active = Arc::new(ActiveBundle::new(revision, bundle));
                // Stored before the relay is unlocked, so that no call sees a lease on the new
                // revision together with the old bundle.
                *self.active.write().expect("no panic while held") = Some(active);
            }
            Ok(None) => {}
            Err(error) => {
                slog::error!(renewal.log, "failed to apply bundle"; "error" => %error);
            }
        }
    }
}

/// Returns the label of a reply in the metrics, and the size of its update in bytes.
fn outcome(reply: &Result<ConfirmReply, RpcError>) -> (&'static str, usize) {
    match reply {
        Ok(reply) => match &reply.body {
            Some(Body::Grant(_)) => ("granted", 0),
            Some(Body::Update(update)) => ("updated", update.encoded_len()),
            Some(Body::Unavailable(_)) | None => ("unavailable", 0),
        },
        Err(RpcError::Unreachable(_)) => ("unreachable", 0),
        Err(RpcError::Lost(_)) => ("timeout", 0),
        Err(RpcError::Refused(..)) => ("refused", 0),
    }
}

/// Renews the lease until the process stops. Calls `on_applied` after each new bundle.
pub async fn renew(view: &ConfigView, renewal: &Renewal, on_applied: impl Fn(&ActiveBundle)) {
    renew_while(view, renewal, || true, on_applied).await;
}

/// Renews the lease until the process stops, but only while `wanted` returns true.
pub async fn renew_while(
    view: &ConfigView,
    renewal: &Renewal,
    wanted: impl Fn() -> bool,
    on_applied: impl Fn(&ActiveBundle),
) {
    let mut state = RenewalState::default();
    let mut last = RevisionNumber::default();
    while !renewal.stop.is_cancelled() {
        if wanted() {
            renew_once(view, renewal, &mut state).await;
        }
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

impl Renewal {
    fn sources(&self) -> MutexGuard<'_, Sources> {
        self.sources.lock().expect("no panic while held")
    }
}

/// What the renewal loop knows of its requests.
#[derive(Default)]
struct RenewalState {
    /// Number of requests since the last one that was answered.
    unanswered: u32,
}

async fn renew_once(view: &ConfigView, renewal: &Renewal, state: &mut RenewalState) {
    let sent = renewal.clock.now();
    let failures = view.relay().lease().failures();
    let Some(request) = view.relay().next_request(sent) else { return };
    let Some(target) = target(renewal, failures) else {
        renewal.sources().skip();
        view.relay().request_failed(request.ask);
        return;
    };
    let call = renewal.peers.fetch(target.address, Method::Lease, &request, REQUEST_TIMEOUT);
    let reply: Result<ConfirmReply, RpcError> = call.await;
    let now = renewal.clock.now();
    let took = now.since(sent);
    let (outcome, update_bytes) = outcome(&reply);
    renewal.metrics.request(took, outcome, update_bytes);
    match reply {
        Ok(reply) => {
            state.record_answer(renewal, &target, &reply);
            view.apply_reply(reply, took.as_millis() as u64, now, renewal);
            // A relay that is itself cut off grants what remains of an old lease.
            let stale = view.relay().lease().failures() > failures;
            if stale && matches!(target.store, Some(feed::Target { source: Source::Relay(_), .. }))
            {
                renewal.sources().skip();
            }
        }
        Err(error) => {
            // Only the first of a series is logged.
            if state.unanswered == 0 {
                slog::warn!(renewal.log, "lease request not answered"; "error" => %error,
                    "ms" => took.as_millis() as u64, "revision" => request.applied,
                    "lease_ms" => view.remaining(now).as_millis() as u64);
            }
            state.record_failure(renewal, &target);
            view.relay().request_failed(request.ask);
        }
    }
}

impl RenewalState {
    fn record_answer(&mut self, renewal: &Renewal, target: &Target, reply: &ConfirmReply) {
        if self.unanswered > 0 {
            slog::info!(renewal.log, "lease requests are answered again";
                "from" => %target.address, "unanswered" => self.unanswered);
            self.unanswered = 0;
        }
        // Only a reply from a store says where the leader is; another entry VM's does not.
        let Some(store) = &target.store else { return };
        match (&reply.body, store.source) {
            (Some(Body::Unavailable(unavailable)), Source::Leader) => {
                renewal.sources().redirect(store, unavailable.leader.map(VmId));
            }
            (Some(Body::Grant(_)), _) => renewal.sources().confirm(store),
            _ => {}
        }
    }

    fn record_failure(&mut self, renewal: &Renewal, target: &Target) {
        self.unanswered += 1;
        if let Some(store) = &target.store {
            renewal.sources().unresponsive(store);
        }
    }
}

/// Destination of a lease request.
struct Target {
    /// The store, or `None` if the destination is another entry VM that relays the lease.
    store: Option<feed::Target>,
    address: SocketAddr,
}

fn target(renewal: &Renewal, failures: usize) -> Option<Target> {
    let entries = renewal.directory.entries();
    let members: Vec<VmRegion> =
        entries.iter().map(|entry| VmRegion { vm: entry.vm, region: entry.region }).collect();
    let path = upstreams(renewal.me, &members);
    // After every upstream has failed once, the path is tried from its start again.
    match path.get(failures % path.len().max(1))? {
        Upstream::Vm(vm) => {
            let address = renewal.directory.entry(*vm)?;
            Some(Target { store: None, address })
        }
        Upstream::Control => {
            let store = renewal.sources().target()?;
            Some(Target { store: Some(store), address: store.address })
        }
    }
}

/// Returns the operators' keys and the number of signatures that a bundle needs. Skips keys that
/// don't parse.
pub fn operator_keys(settings: &crate::settings::OperatorSettings) -> OperatorKeys {
    let keys = settings.keys.iter().filter_map(|key| key.parse().ok()).collect();
    OperatorKeys { keys, threshold: settings.threshold as usize }
}
