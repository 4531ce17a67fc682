//! Operations for endpoints and operators, independent of the dialect that they use.
//!
//! Requests are forwarded to the control group's leader, so every store accepts them.

use std::sync::Arc;
use std::time::Instant;

use gypsumglade_core::bundle::{Bundle, Digest, KeyPair};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{
    Accept, Answer, Command, Content, Deregister, EndpointRecord, Fault, Register, Retire, content,
};
use gypsumglade_core::wire::discovery::{Led, Role};
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use gypsumglade_core::wire::operator::{ContentQuery, ControlRequest, Status, StatusQuery};

use super::serve::StoreState;
use crate::control_client::{ControlGroupClient, PROGRAM_LIMITS};
use crate::settings::StoreSettings;

/// Attempts to put an order in force while other orders are accepted in between.
const MAX_ACCEPT_ATTEMPTS: usize = 16;

/// Reason why a request to the registrar failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistrarError {
    /// No leader answered. The request may or may not take effect, and can be retried at any store.
    #[error("no store leads the control group just now; ask again")]
    Unavailable,
    /// The bundle is invalid, or this store has no key to sign it with.
    #[error("the bundle has findings")]
    Invalid,
}

impl RegistrarError {
    /// Returns the name used in logs.
    const fn name(self) -> &'static str {
        match self {
            RegistrarError::Unavailable => "unavailable",
            RegistrarError::Invalid => "invalid",
        }
    }
}

/// Reason why a store can't be retired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetireError {
    /// No store has this name.
    #[error("no store has this name")]
    Unknown,
    /// The remaining stores could not tolerate the configured number of failures.
    #[error("too few stores would be left")]
    TooFew,
    /// No leader answered; the request can be retried.
    #[error("no store leads the control group just now; ask again")]
    Unavailable,
}

/// Age from which a leader's report on its group, or a hello from a store, is ignored.
const LEADER_REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// Registrar of a store.
#[derive(Clone)]
pub struct Registrar {
    state: Arc<StoreState>,
    control: ControlGroupClient,
    signer: Option<Arc<KeyPair>>,
}

impl Registrar {
    /// Creates the registrar of a store.
    pub fn new(state: &Arc<StoreState>) -> Registrar {
        let context = &state.context;
        let directory = Arc::clone(&context.directory);
        let control = ControlGroupClient::new(directory, context.peers.clone(), PROGRAM_LIMITS);
        let own = state.settings.store.as_ref();
        let signer = own.and_then(StoreSettings::key_pair).map(Arc::new);
        Registrar { state: Arc::clone(state), control, signer }
    }

    /// Returns the log of the process.
    pub fn log(&self) -> &slog::Logger {
        &self.state.context.log
    }

    /// Registers an endpoint, or renews its lease.
    ///
    /// # Errors
    /// Fails when no leader answered; the endpoint should try another store.
    pub async fn announce(&self, endpoint: EndpointRecord) -> Result<(), RegistrarError> {
        if self.state.relay.is_renewal(&endpoint) {
            self.state.renewals.add(&endpoint.name);
            return Ok(());
        }
        let register = Register { endpoint: Some(endpoint) };
        self.command(CommandBody::Register(register)).await.map(drop)
    }

    /// Removes an endpoint that is shutting down. Without an incarnation, the registered one is
    /// removed.
    ///
    /// # Errors
    /// As [`Registrar::announce`].
    pub async fn depart(&self, name: &str, incarnation: Option<u64>) -> Result<(), RegistrarError> {
        let deregister =
            Deregister { name: name.to_owned(), incarnation: incarnation.unwrap_or_default() };
        self.command(CommandBody::Deregister(deregister)).await.map(drop)
    }

    /// Puts a bundle in force, unless its version or a higher one already is.
    ///
    /// The order is signed with the store's registrar key, so that entry VMs verify it like any
    /// other bundle. An order for a version that is in force or superseded succeeds without effect.
    ///
    /// # Errors
    /// Fails when the bundle is invalid or the outcome is unknown, see [`RegistrarError`].
    pub async fn order(&self, bundle: &Bundle) -> Result<(), RegistrarError> {
        let content = serde_json::to_vec(bundle).map_err(|_| RegistrarError::Invalid)?;
        if let Err(findings) = Bundle::parse(&content) {
            slog::info!(self.log(), "order rejected"; "version" => %bundle.version,
                "findings" => %findings);
            return Err(RegistrarError::Invalid);
        }
        let signer = self.signer.as_ref().ok_or(RegistrarError::Invalid)?;
        let digest = Digest::of(&content);
        let accept = Accept {
            order_id: String::new(),
            base_revision: 0,
            version: bundle.version.to_string(),
            digest: digest.to_wire(),
            content: Some(Content { body: Some(content::Body::Whole(content.into())) }),
            signatures: vec![signer.sign_bundle(&digest, &bundle.version).to_wire()],
        };
        let began = Instant::now();
        let taken = self.accept(accept).await;
        slog::info!(self.log(), "order answered"; "version" => %bundle.version,
            "outcome" => match &taken { Ok(()) => "taken", Err(error) => error.name() },
            "ms" => began.elapsed().as_millis() as u64);
        taken
    }

    /// Starts to drain a store of its replicas and texts, so that it can be removed.
    ///
    /// # Errors
    /// Fails when the store is not known, too few stores would be left, or no leader answered.
    pub async fn retire(&self, name: &str) -> Result<(), RetireError> {
        let vm = self.store_named(name).ok_or(RetireError::Unknown)?;
        if self.is_retiring(vm) {
            return Ok(());
        }
        if self.stores_without(vm) < self.target_voters() {
            return Err(RetireError::TooFew);
        }
        let retire = CommandBody::Retire(Retire { vm: vm.0 });
        self.command(retire).await.map(drop).map_err(|_| RetireError::Unavailable)
    }

    /// Returns `true` once a retiring store is no longer needed by any group.
    ///
    /// Each group's leader must report this: a group without a recent report may still need the
    /// store.
    ///
    /// # Errors
    /// Fails when the store is not known.
    pub fn is_retired(&self, name: &str) -> Result<bool, RetireError> {
        let discovery = self.state.discovery.as_ref().ok_or(RetireError::Unknown)?;
        let vm = self.store_named(name).ok_or(RetireError::Unknown)?;
        let age = LEADER_REPORT_MAX_AGE + discovery.spread_time();
        let led = discovery.roster().led_groups(discovery.now(), age);
        let groups = (0..=self.state.settings.groups).chain([GroupId::TURNS.0]);
        let empty = groups.into_iter().all(|group| {
            let mut reports = led.iter().filter(|led| led.group == group).peekable();
            reports.peek().is_some()
                && reports.all(|led| led.settled && !led.members.contains(&vm.0))
        });
        Ok(empty && !is_required_holder(vm, &led) && self.is_retiring(vm))
    }

    fn store_named(&self, name: &str) -> Option<VmId> {
        let discovery = self.state.discovery.as_ref()?;
        let roster = discovery.roster();
        let found = roster.named(name).filter(|node| node.role() == Role::Store)?;
        Some(VmId(found.vm))
    }

    /// Returns `true` if a store is retiring, according to the log applied here or to the control
    /// group's leader. Only the latter is known to a store without a replica of the group.
    fn is_retiring(&self, vm: VmId) -> bool {
        let discovery = self.state.discovery.as_ref();
        let reported = discovery.is_some_and(|discovery| discovery.retiring().contains(&vm));
        reported || self.state.control.is_retiring(vm)
    }

    fn stores_without(&self, vm: VmId) -> usize {
        let Some(discovery) = &self.state.discovery else { return 0 };
        let now = discovery.now();
        let age = LEADER_REPORT_MAX_AGE + discovery.spread_time();
        let stores: Vec<VmId> = {
            let roster = discovery.roster();
            let fresh = roster.stores().filter(|(_, at)| now.since(*at) < age);
            fresh.map(|(node, _)| VmId(node.vm)).collect()
        };
        let others = stores.into_iter().filter(|other| *other != vm);
        others.filter(|other| !self.is_retiring(*other)).count()
    }

    fn target_voters(&self) -> usize {
        let own = self.state.settings.store.as_ref();
        own.map_or(1, |own| 2 * own.tolerate as usize + 1)
    }

    /// Returns the operator's order that the bundle in force was generated from.
    ///
    /// Every order that was acknowledged before the call is taken into account.
    ///
    /// Returns `None` before the first bundle, and for a bundle without an original text.
    ///
    /// Most stores of a large deployment have no replica of the control group, so the content that
    /// this store lacks comes with the leader's answer.
    ///
    /// # Errors
    /// Fails when no leader answered.
    pub async fn original(&self) -> Result<Option<CompactString>, RegistrarError> {
        let began = Instant::now();
        let read = self.read_original().await;
        slog::info!(self.log(), "configuration read"; "outcome" => match &read {
            Ok(_) => "answered", Err(error) => error.name() },
            "ms" => began.elapsed().as_millis() as u64);
        read
    }

    async fn read_original(&self) -> Result<Option<CompactString>, RegistrarError> {
        let known = self.state.control.applied_revision().0;
        let query = RequestBody::Content(ContentQuery { known });
        let reply = self.control.ask(&ControlRequest { body: Some(query) }).await;
        let Some(ReplyBody::Content(content)) = reply.and_then(|reply| reply.body) else {
            return Err(RegistrarError::Unavailable);
        };
        if content.revision == 0 {
            return Ok(None);
        }
        let wanted = RevisionNumber(content.revision);
        let revision = self.state.control.resolve(wanted, content.update);
        let revision = revision.ok_or(RegistrarError::Unavailable)?;
        let bundle = Bundle::parse(&revision.content).map_err(|_| RegistrarError::Invalid)?;
        Ok(bundle.original)
    }

    async fn accept(&self, mut accept: Accept) -> Result<(), RegistrarError> {
        for _ in 0..MAX_ACCEPT_ATTEMPTS {
            let status = self.status().await?;
            if is_superseded(&accept.version, &status.version) {
                return Ok(());
            }
            accept.base_revision = status.current;
            accept.order_id = format!("{:032x}", rand::random::<u128>());
            match self.command(CommandBody::Accept(accept.clone())).await?.body {
                Some(AnswerBody::Accepted(_) | AnswerBody::Conflict(_)) => return Ok(()),
                Some(AnswerBody::Stale(_)) => {}
                Some(AnswerBody::Rejected(rejected)) => {
                    return match rejected.fault() {
                        // A higher version is in force.
                        Fault::VersionTooOld => Ok(()),
                        _ => Err(RegistrarError::Invalid),
                    };
                }
                _ => return Err(RegistrarError::Unavailable),
            }
        }
        Err(RegistrarError::Unavailable)
    }

    async fn status(&self) -> Result<Status, RegistrarError> {
        let query = RequestBody::Status(StatusQuery { revision: 0 });
        let reply = self.control.ask(&ControlRequest { body: Some(query) }).await;
        match reply.and_then(|reply| reply.body) {
            Some(ReplyBody::Status(status)) => Ok(status),
            _ => Err(RegistrarError::Unavailable),
        }
    }

    async fn command(&self, body: CommandBody) -> Result<Answer, RegistrarError> {
        let command = RequestBody::Command(Command { body: Some(body) });
        let reply = self.control.ask(&ControlRequest { body: Some(command) }).await;
        match reply.and_then(|reply| reply.body) {
            Some(ReplyBody::Answer(answer)) => Ok(answer),
            _ => Err(RegistrarError::Unavailable),
        }
    }
}

/// Returns `true` if texts of kept turns may be on too few stores without this one.
///
/// That is also the case while the turn group's leader has not reported the store as retiring: it
/// has not checked for such texts yet.
fn is_required_holder(vm: VmId, led: &[Led]) -> bool {
    let mut reports = led.iter().filter(|led| led.group == GroupId::TURNS.0);
    reports.any(|led| led.holders.contains(&vm.0) || !led.retiring.contains(&vm.0))
}

/// Returns `true` if a version is not higher than the one in force.
fn is_superseded(version: &str, current: &str) -> bool {
    use gypsumglade_core::bundle::Version;
    match (version.parse::<Version>(), current.parse::<Version>()) {
        (Ok(version), Ok(current)) => version <= current,
        _ => false,
    }
}
