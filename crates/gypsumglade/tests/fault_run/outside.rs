//! The external systems, as stand-ins in this process, and the operators.

use std::collections::HashMap;
use std::sync::Mutex;

use gypsumglade::embedded::wait_until;
use gypsumglade::operator;
use gypsumglade_core::bundle::KeyPair;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::Answer;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_standin::announce::{AnnounceSettings, ModelVersion};
use gypsumglade_standin::engine::{Engine, EngineSettings};
use gypsumglade_standin::service::{Service, ServiceSettings};
use sha2::{Digest as _, Sha256};

use super::fleet::{API_KEY, Fleet, OPERATOR, PATIENCE, TOKEN};

/// Number of endpoints that every entry must know.
pub const COUNT: usize = 5;
/// Number of engines among them.
const ENGINES: usize = 3;
/// Bundle content; version, digest and a unique value are filled in.
const BUNDLE: &str = include_str!("../support/bundle.yaml");

pub struct Outside {
    engines: Mutex<Vec<Engine>>,
    services: Vec<Service>,
    urls: Vec<CompactString>,
}

impl Outside {
    pub async fn start(fleet: &Fleet) -> Outside {
        let urls = fleet.endpoints_urls();
        let mut engines = Vec::new();
        for number in 1..=ENGINES {
            engines.push(engine(number, &urls).await);
        }
        let mut services = Vec::new();
        for number in 1..=COUNT - ENGINES {
            services.push(service(number, &urls).await);
        }
        Outside { engines: Mutex::new(engines), services, urls }
    }

    /// Kills an engine with its calls and memory, and starts a new incarnation.
    pub async fn crash_engine(&self, number: usize) {
        let next = {
            let engines = self.engines.lock().unwrap();
            engines[number].crash();
            number + 1
        };
        let reborn = engine(next, &self.urls).await;
        let dead = std::mem::replace(&mut self.engines.lock().unwrap()[number], reborn);
        dead.stop();
    }

    /// Returns how often each key ran at the services, over all instances.
    pub fn runs(&self) -> HashMap<CompactString, u64> {
        let mut runs = HashMap::new();
        for key in self.services.iter().flat_map(|service| service.stats().keys) {
            *runs.entry(key.key).or_default() += key.runs;
        }
        runs
    }

    /// Returns the programs whose memory engines hold.
    pub fn held(&self) -> Vec<CompactString> {
        let engines = self.engines.lock().unwrap();
        let programs = engines.iter().flat_map(|engine| engine.stats().programs);
        programs.map(|memory| memory.program).collect()
    }

    /// Returns how often each dispatch was started; more than once is a violation.
    pub fn most_starts(&self) -> u32 {
        let engines = self.engines.lock().unwrap();
        let dispatches = engines.iter().flat_map(|engine| engine.stats().dispatches);
        dispatches.map(|dispatch| dispatch.runs).max().unwrap_or(0)
    }

    /// Rolls out a bundle, and waits until it is in force everywhere.
    pub async fn roll(&self, fleet: &Fleet, version: &str, mark: &str) -> RevisionNumber {
        let control = fleet.control();
        let accepted = wait_until(PATIENCE, async || {
            let answer = self.offer(fleet, version, mark).await;
            matches!(answer.and_then(|answer| answer.body), Some(AnswerBody::Accepted(_)))
        });
        assert!(accepted.await, "the bundle {version} was not accepted");
        let status = operator::status(&control, RevisionNumber(0)).await.expect("a status");
        let revision = RevisionNumber(status.current);
        let in_force = wait_until(PATIENCE, async || {
            operator::status(&control, revision).await.is_some_and(|status| status.in_force)
        });
        assert!(in_force.await, "revision {revision} is not in force");
        revision
    }

    /// Submits a bundle once.
    pub async fn offer(&self, fleet: &Fleet, version: &str, mark: &str) -> Option<Answer> {
        let control = fleet.control();
        let base = operator::status(&control, RevisionNumber(0)).await?.current;
        let digest = hex::encode(Sha256::digest(API_KEY.as_bytes()));
        let content = BUNDLE.replace("1.0.PATCH", version).replace("KEY_DIGEST", &digest);
        let content = format!("# {mark}\n{content}");
        let bundle = operator::sign(&content, &KeyPair::from_seed(OPERATOR)).expect("it signs");
        let order = format!("{version}-{mark}");
        let command = operator::accept_command(&bundle, RevisionNumber(base), &order);
        operator::submit(&control, command.expect("it holds")).await
    }
}

fn announce(urls: &[CompactString]) -> AnnounceSettings {
    let token = TOKEN.into();
    AnnounceSettings { entries: urls.to_vec(), token, ..AnnounceSettings::default() }
}

async fn engine(number: usize, urls: &[CompactString]) -> Engine {
    let settings = EngineSettings {
        name: format!("advisor-{number}").into(),
        domain: "south-1".into(),
        region: "south".into(),
        models: vec![ModelVersion::new("advisor", "1")],
        announce: announce(urls),
        ..EngineSettings::default()
    };
    Engine::start(settings).await.expect("an engine starts")
}

async fn service(number: usize, urls: &[CompactString]) -> Service {
    let settings = ServiceSettings {
        name: format!("booking-{number}").into(),
        domain: "south-2".into(),
        region: "south".into(),
        announce: announce(urls),
        ..ServiceSettings::default()
    };
    Service::start(settings).await.expect("a service starts")
}
