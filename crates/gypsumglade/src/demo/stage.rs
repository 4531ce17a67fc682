//! Everything the demo runs on: the system, its stand-ins and a bundle in force.

use std::path::Path;
use std::sync::Arc;

use anyhow::{Context as _, bail};
use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_standin::announce::{AnnounceSettings, ModelVersion};
use gypsumglade_standin::engine::{Engine, EngineSettings};
use gypsumglade_standin::service::{Service, ServiceSettings};
use sha2::{Digest as _, Sha256};

use super::caller::Caller;
use crate::admin::ControlClient;
use crate::embedded::{Embedded, wait_until};
use crate::operator;
use crate::settings::{OperatorSettings, Settings};

/// API key of the demo's organisation.
const API_KEY: &str = "demo-key-of-the-lens-rental";
/// Longest wait for the system to come up.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// The demo's processes, all in this one.
pub struct Stage {
    pub(super) system: Embedded,
    pub(super) engines: Vec<Engine>,
    pub(super) service: Service,
}

impl Stage {
    /// Starts everything and rolls the demo's bundle out.
    ///
    /// # Errors
    /// Fails when a process of the system does not come up.
    pub async fn start(folder: &Path, log: slog::Logger) -> anyhow::Result<Stage> {
        Stage::start_with(folder, log, EngineSettings::default()).await
    }

    /// Starts everything with engines that cost next to nothing, to see what the system costs.
    ///
    /// # Errors
    /// Fails when a process of the system does not come up.
    pub async fn fast(folder: &Path, log: slog::Logger) -> anyhow::Result<Stage> {
        let engine = EngineSettings {
            slots: 1_024,
            queue: 4_096,
            prefill_rate: 100_000_000,
            decode_rate: 400,
            answer_tokens: 4_096,
            cache_tokens: 10_000_000,
            ..EngineSettings::default()
        };
        Stage::start_with(folder, log, engine).await
    }

    async fn start_with(
        folder: &Path,
        log: slog::Logger,
        template: EngineSettings,
    ) -> anyhow::Result<Stage> {
        let operator = KeyPair::from_seed(rand::random());
        let mut settings = Settings::embedded(folder);
        settings.operators =
            OperatorSettings { keys: vec![operator.public().to_compact_string()], threshold: 1 };
        let endpoints_token = settings.tokens.endpoints.clone();
        let system = Embedded::start(settings, log).await?;
        let state = system.entry.state();
        let control =
            ControlClient { directory: Arc::clone(&state.directory), peers: state.peers.clone() };
        roll(&control, &operator).await?;
        let announce = AnnounceSettings {
            entries: vec![format!("http://{}", system.entry.addresses().endpoints).into()],
            token: endpoints_token.reveal().into(),
            ..AnnounceSettings::default()
        };
        let mut engines = Vec::new();
        for (name, model) in
            [("advisor-1", "advisor"), ("advisor-2", "advisor"), ("desk-1", "desk")]
        {
            engines.push(engine(name, model, &announce, &template).await?);
        }
        let service =
            ServiceSettings { name: "booking-1".into(), announce, ..ServiceSettings::default() };
        let service = Service::start(service).await?;
        let stage = Stage { system, engines, service };
        stage.wait_ready().await?;
        Ok(stage)
    }

    /// Returns a caller of the system.
    pub fn caller(&self) -> Caller {
        Caller::new(self.system.entry.addresses().callers, API_KEY)
    }

    /// Returns a caller of an engine, past the system.
    pub fn direct_caller(&self) -> Caller {
        Caller::direct(self.engines[0].address())
    }

    /// Stops everything as planned.
    pub async fn stop(self) {
        self.system.stop().await;
        for engine in self.engines {
            engine.stop();
        }
        self.service.stop();
    }

    /// Waits until the bundle is applied and every stand-in is known.
    async fn wait_ready(&self) -> anyhow::Result<()> {
        let state = self.system.entry.state();
        let names = ["advisor-1", "advisor-2", "desk-1", "booking-1"];
        let ready = wait_until(START_PATIENCE, async || {
            let known = names.iter().all(|name| state.endpoint_address(name).is_some());
            known && state.config.active(state.clock.now()).is_ok()
        });
        if !ready.await {
            bail!("the system did not come up in {START_PATIENCE:?}; look at the log lines above");
        }
        Ok(())
    }
}

async fn engine(
    name: &str,
    model: &str,
    announce: &AnnounceSettings,
    template: &EngineSettings,
) -> anyhow::Result<Engine> {
    let settings = EngineSettings {
        name: name.into(),
        models: vec![ModelVersion::new(model, "1")],
        announce: announce.clone(),
        ..template.clone()
    };
    Engine::start(settings).await
}

/// Signs the demo's bundle, has it accepted and waits until it is in force everywhere.
async fn roll(control: &ControlClient, key: &KeyPair) -> anyhow::Result<()> {
    let digest = hex::encode(Sha256::digest(API_KEY.as_bytes()));
    let content = include_str!("bundle.yaml").replace("KEY_DIGEST", &digest);
    let signed = operator::sign(&content, key).map_err(|findings| anyhow::anyhow!("{findings}"))?;
    let status = operator::status(control, RevisionNumber(0)).await;
    let base = RevisionNumber(status.context("no store leads the control group")?.current);
    let command =
        operator::accept_command(&signed, base, &format!("demo-{:x}", rand::random::<u64>()))
            .map_err(|findings| anyhow::anyhow!("{findings}"))?;
    let answer = operator::submit(control, command).await.context("the bundle got no answer")?;
    let Some(AnswerBody::Accepted(accepted)) = answer.body else {
        bail!("the bundle was not accepted: {answer:?}");
    };
    let revision = RevisionNumber(accepted.revision);
    let in_force = wait_until(START_PATIENCE, async || {
        operator::status(control, revision).await.is_some_and(|status| status.in_force)
    });
    if !in_force.await {
        bail!("revision {revision} is not in force after {START_PATIENCE:?}");
    }
    Ok(())
}
