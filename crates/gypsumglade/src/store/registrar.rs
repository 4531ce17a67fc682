//! What endpoints and operators may ask of any store, whatever dialect they speak.
//!
//! Each request is taken to the control group's leader, so that a caller may ask any store.

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
use gypsumglade_core::wire::operator::{ControlRequest, Status, StatusQuery};

use super::serve::StoreState;
use crate::control_client::{ControlGroupClient, PROGRAM_LIMITS};
use crate::settings::StoreSettings;

/// Times that an order is tried again because another one was accepted in between.
const MAX_ACCEPT_ATTEMPTS: usize = 16;

/// Why a request to the registrar has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistrarError {
    /// No leader answered; the request may or may not take effect. Ask again, at any store.
    #[error("no store leads the control group just now; ask again")]
    Unavailable,
    /// The order's content can't be put in force.
    #[error("the bundle has findings")]
    Invalid,
}

impl RegistrarError {
    /// Returns the name that logs use.
    const fn name(self) -> &'static str {
        match self {
            RegistrarError::Unavailable => "unavailable",
            RegistrarError::Invalid => "invalid",
        }
    }
}

/// Why a store can't be emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RetireError {
    /// No store has this name.
    #[error("no store has this name")]
    Unknown,
    /// The others could not bear the losses that they must.
    #[error("too few stores would be left")]
    TooFew,
    /// No leader took the order; ask again.
    #[error("no store leads the control group just now; ask again")]
    Unavailable,
}

/// Age past which what a leader told of its group's members no longer counts.
const LEADER_REPORT_MAX_AGE: Duration = Duration::from_secs(2);

/// A store's registrar.
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

    /// Takes an endpoint's announcement.
    ///
    /// # Errors
    /// Fails when no leader took it; the endpoint asks another store.
    pub async fn announce(&self, endpoint: EndpointRecord) -> Result<(), RegistrarError> {
        let register = Register { endpoint: Some(endpoint) };
        self.command(CommandBody::Register(register)).await.map(drop)
    }

    /// Takes an endpoint's word that it is leaving for good. Without an incarnation, the one that
    /// is known is meant.
    ///
    /// # Errors
    /// As [`Registrar::announce`].
    pub async fn depart(&self, name: &str, incarnation: Option<u64>) -> Result<(), RegistrarError> {
        let deregister =
            Deregister { name: name.to_owned(), incarnation: incarnation.unwrap_or_default() };
        self.command(CommandBody::Deregister(deregister)).await.map(drop)
    }

    /// Puts a bundle in force, unless one of this version or a higher one is.
    ///
    /// The order is signed here with the key that the settings give to orders at the registrar, so
    /// that every entry VM checks it like any other bundle. An order of a version that is in force
    /// or overtaken is acknowledged without effect.
    ///
    /// # Errors
    /// Says whether the bundle has findings, or whether nobody could tell the outcome.
    pub async fn order(&self, bundle: &Bundle) -> Result<(), RegistrarError> {
        let content = serde_json::to_vec(bundle).map_err(|_| RegistrarError::Invalid)?;
        if let Err(findings) = Bundle::parse(&content) {
            slog::info!(self.log(), "order refused"; "version" => %bundle.version,
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

    /// Asks that a store be emptied, so that it can be taken away.
    ///
    /// # Errors
    /// Says whether the store is not known, or too few would be left without it.
    pub async fn retire(&self, name: &str) -> Result<(), RetireError> {
        let vm = self.store_named(name).ok_or(RetireError::Unknown)?;
        if self.state.control.is_retiring(vm) {
            return Ok(());
        }
        if self.stores_without(vm) < self.target_voters() {
            return Err(RetireError::TooFew);
        }
        let retire = CommandBody::Retire(Retire { vm: vm.0 });
        self.command(retire).await.map(drop).map_err(|_| RetireError::Unavailable)
    }

    /// Tells whether a store that was to be emptied holds nothing any more. Each group's leader must
    /// say so: a group whose leader is not heard of may still count on the store.
    ///
    /// # Errors
    /// Says whether the store is not known.
    pub fn is_retired(&self, name: &str) -> Result<bool, RetireError> {
        let discovery = self.state.discovery.as_ref().ok_or(RetireError::Unknown)?;
        let vm = self.store_named(name).ok_or(RetireError::Unknown)?;
        let led = discovery.roster().led_groups(discovery.now(), LEADER_REPORT_MAX_AGE);
        let groups = (0..=self.state.settings.groups).chain([GroupId::TURNS.0]);
        let empty = groups.into_iter().all(|group| {
            let mut reports = led.iter().filter(|led| led.group == group).peekable();
            reports.peek().is_some()
                && reports.all(|led| led.settled && !led.members.contains(&vm.0))
        });
        Ok(empty && !is_required_holder(vm, &led) && self.state.control.is_retiring(vm))
    }

    fn store_named(&self, name: &str) -> Option<VmId> {
        let discovery = self.state.discovery.as_ref()?;
        let roster = discovery.roster();
        let found = roster.named(name).filter(|node| node.role() == Role::Store)?;
        Some(VmId(found.vm))
    }

    fn stores_without(&self, vm: VmId) -> usize {
        let Some(discovery) = &self.state.discovery else { return 0 };
        let now = discovery.now();
        let roster = discovery.roster();
        let fresh = roster.stores().filter(|(_, at)| now.since(*at) < LEADER_REPORT_MAX_AGE);
        let others = fresh.map(|(node, _)| VmId(node.vm)).filter(|other| *other != vm);
        others.filter(|other| !self.state.control.is_retiring(*other)).count()
    }

    fn target_voters(&self) -> usize {
        let own = self.state.settings.store.as_ref();
        own.map_or(1, |own| 2 * own.tolerate as usize + 1)
    }

    /// Returns the operator's text of the bundle in force, read so that no acknowledged order is
    /// missed. `None` before the first bundle, and for one that came another way.
    ///
    /// # Errors
    /// Fails when no leader could vouch for being current.
    pub async fn original(&self) -> Result<Option<CompactString>, RegistrarError> {
        let status = self.status().await?;
        let wanted = RevisionNumber(status.current);
        let found = self.state.control.await_revision(wanted).await;
        let revision = found.ok_or(RegistrarError::Unavailable)?;
        let Some(revision) = revision else { return Ok(None) };
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
                        // A higher version is in force, and this one is too old to be remembered.
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

/// Tells whether texts of kept turns may be on too few stores without this one. Another may lose its disk
/// right after this one is gone.
///
/// A leader that has just begun to lead, or has not heard yet that the store is to be emptied, has not
/// looked for such texts: its silence says nothing.
fn is_required_holder(vm: VmId, led: &[Led]) -> bool {
    let mut reports = led.iter().filter(|led| led.group == GroupId::TURNS.0);
    reports.any(|led| led.holders.contains(&vm.0) || !led.retiring.contains(&vm.0))
}

/// Tells whether a version is not above the one in force.
fn is_superseded(version: &str, current: &str) -> bool {
    use gypsumglade_core::bundle::Version;
    match (version.parse::<Version>(), current.parse::<Version>()) {
        (Ok(version), Ok(current)) => version <= current,
        _ => false,
    }
}
