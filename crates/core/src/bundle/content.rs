//! The types of a bundle's text.

use std::fmt;
use std::str::FromStr;

use super::check;
use super::routes::{CallerLimits, Pool, Route};
use super::{Findings, MAX_CONTENT};
use crate::prelude::*;

/// What operators sign off: agent programs, what each may use and how much, and who may run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// Version as dotted decimal numbers, such as `2026.12.1`; never used for other content.
    pub version: CompactString,
    /// Models that agents may use.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Plain services that agents may call.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Agent programs.
    #[serde(default)]
    pub agents: Vec<Agent>,
    /// Callers' organisations.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Weights of routing.
    #[serde(default)]
    pub policy: Policy,
    /// Endpoints that don't check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Operators' word on quarantined requests.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Callers' paths whose requests are passed through to endpoints as they are.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Pools of endpoints that routes lead to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<Pool>,
    /// What callers of the routes may send.
    #[serde(default)]
    pub callers: CallerLimits,
    /// The order that the bundle was made from, in the operator's own format, if it came so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub original: Option<CompactString>,
}

impl Bundle {
    /// Reads and checks a bundle's text.
    ///
    /// # Errors
    ///
    /// Returns every finding together. Text that isn't YAML, or a value of the wrong type, ends
    /// the reading, so it is reported alone with its place.
    pub fn parse(yaml: &[u8]) -> Result<Bundle, Findings> {
        let mut findings = Findings::default();
        if yaml.len() > MAX_CONTENT {
            findings.push(".", yaml.len(), "at most 16 MiB of text");
            return Err(findings);
        }
        let depth = nesting_depth(yaml);
        if depth > MAX_NESTING {
            findings.push(".", depth, "at most 64 brackets open at one place");
            return Err(findings);
        }
        let bundle = read(yaml, &mut findings)?;
        check::check(&bundle, &mut findings);
        if findings.is_empty() { Ok(bundle) } else { Err(findings) }
    }

    /// Returns the model of this name, if the bundle has it.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the service of this name, if the bundle has it.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the agent program of this name, if the bundle has it.
    pub fn agent(&self, name: &str) -> Option<&Agent> {
        self.agents.iter().find(|agent| agent.name == name)
    }

    /// Returns the organisation of this name, if the bundle has it.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|org| org.name == name)
    }
}

/// Most brackets open at one place, those within text counted too.
const MAX_NESTING: usize = 64;

/// Returns how many brackets are open at the deepest place.
///
/// The YAML reader looks at every open bracket again at each token. A bundle of brackets alone
/// would keep a store's control group busy for days; counting them first costs one pass.
fn nesting_depth(yaml: &[u8]) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    for byte in yaml {
        match byte {
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

/// Reads the text of a bundle.
///
/// JSON is YAML too, and its own reader is faster: a bundle of 350 routes that a tool wrote takes
/// 1.4 ms and not 6.7 (medians of 101 readings, `cargo run --release -p gypsumglade-core --example
/// bundle_read`).
fn read(text: &[u8], findings: &mut Findings) -> Result<Bundle, Findings> {
    if text.first() == Some(&b'{') {
        let mut document = serde_json::Deserializer::from_slice(text);
        return read_tracked(&mut document, findings);
    }
    read_tracked(serde_yaml_ng::Deserializer::from_slice(text), findings)
}

fn read_tracked<'de, D>(document: D, findings: &mut Findings) -> Result<Bundle, Findings>
where
    D: serde::Deserializer<'de>,
{
    let mut track = serde_path_to_error::Track::new();
    let tracked = serde_path_to_error::Deserializer::new(document, &mut track);
    let result = serde_ignored::deserialize(tracked, |path| {
        findings.push(&path.to_string(), "an unknown field", "only the fields of docs/BUNDLE.md");
    });
    result.map_err(|error: D::Error| {
        findings.push(&track.path().to_string(), error, "a value of the type in docs/BUNDLE.md");
        std::mem::take(findings)
    })
}

/// A model at one version, from one supplier's endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name that agents and callers use.
    pub name: CompactString,
    /// Version that endpoints must have loaded.
    pub version: CompactString,
    /// Price of one prompt token, in millionths of the currency.
    pub input_micros: u64,
    /// Price of one generated token, in millionths of the currency.
    pub output_micros: u64,
    /// Most tokens of prompt and answer together.
    pub context_tokens: u64,
    /// Endpoints that may serve it.
    pub endpoints: Vec<EndpointPattern>,
}

/// A plain service beside the models.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that agents and callers use.
    pub name: CompactString,
    /// Endpoints that may serve it.
    pub endpoints: Vec<EndpointPattern>,
    /// What it can be asked to do.
    pub operations: Vec<Operation>,
}

impl Service {
    /// Returns the operation of this name, if the service has it.
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        self.operations.iter().find(|operation| operation.name == name)
    }
}

/// One operation of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Name in the caller's path.
    pub name: CompactString,
    /// Whether a call that may have run may be run again.
    pub repeatable: bool,
    /// Milliseconds after which the call counts as hung.
    pub timeout_ms: u64,
    /// Price of one call, in millionths of the currency.
    #[serde(default)]
    pub micros: u64,
}

/// An agent program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agent {
    /// Name that callers give.
    pub name: CompactString,
    /// Names of the models it may use.
    #[serde(default)]
    pub models: Vec<CompactString>,
    /// Names of the services it may call.
    #[serde(default)]
    pub services: Vec<CompactString>,
    /// Urgency of its calls.
    #[serde(default)]
    pub class: Class,
    /// Limits of one program from its start to its end.
    pub budget: AgentBudget,
    /// Milliseconds without a call after which a program ends.
    pub idle_ms: u64,
    /// Most model calls of one program.
    pub max_turns: u32,
}

/// Urgency of an agent program's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Ordinary work.
    #[default]
    Normal,
    /// Placed before ordinary work, within the starvation bound.
    Urgent,
}

/// Limits of one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentBudget {
    /// Most prompt and answer tokens.
    pub tokens: u64,
    /// Most calls of models and services.
    pub calls: u64,
    /// Most milliseconds from the first call.
    pub millis: u64,
    /// Most money, in millionths of the currency.
    pub micros: u64,
}

/// An organisation whose callers may run programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name that programs are kept under.
    pub name: CompactString,
    /// SHA-256 of the callers' API key, so that the bundle holds no secret.
    pub key_digest: CompactString,
    /// Weight in the fair sharing of capacity.
    #[serde(default = "one_share")]
    pub share: u32,
    /// Names of the agent programs it may run.
    pub agents: Vec<CompactString>,
}

fn one_share() -> u32 {
    1
}

/// Weights of routing.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Weight of a second of latency.
    pub latency_weight: f64,
    /// Weight of a second of prefill whose memory is thrown away.
    pub waste_weight: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { latency_weight: 1.0, waste_weight: 6.0 }
    }
}

/// Which endpoints ignore fencing numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fencing {
    /// Endpoints that obey an order whatever number it carries.
    pub ignored_by: Vec<EndpointPattern>,
}

impl Fencing {
    /// Returns true when this endpoint doesn't check fencing numbers.
    pub fn is_ignored_by(&self, endpoint: &str) -> bool {
        self.ignored_by.iter().any(|pattern| pattern.matches(endpoint))
    }
}

/// Operators' word on quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    /// Digests of requests that may run again.
    pub lift: Vec<CompactString>,
}

/// An endpoint's instance name, or the start of one followed by `*`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointPattern(pub CompactString);

impl EndpointPattern {
    /// Returns true when the pattern covers this instance name.
    pub fn matches(&self, endpoint: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => endpoint.starts_with(prefix),
            None => self.0 == endpoint,
        }
    }
}

/// A bundle's version as numbers, so that versions have an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(Vec<u64>);

impl FromStr for Version {
    type Err = VersionError;

    /// Reads one to four decimal numbers parted by dots, without leading zeros.
    fn from_str(text: &str) -> Result<Version, VersionError> {
        let numbers = text.split('.').map(parse_number).collect::<Option<Vec<_>>>();
        match numbers {
            Some(numbers) if numbers.len() <= MAX_NUMBERS => Ok(Version(numbers)),
            _ => Err(VersionError),
        }
    }
}

/// Most numbers in a version.
const MAX_NUMBERS: usize = 4;
/// Most digits of a version's number, so that each fits its type.
const MAX_DIGITS: usize = 9;

fn parse_number(part: &str) -> Option<u64> {
    let digits = part.bytes().all(|byte| byte.is_ascii_digit());
    let leading_zero = part.len() > 1 && part.starts_with('0');
    if part.is_empty() || part.len() > MAX_DIGITS || !digits || leading_zero {
        return None;
    }
    part.parse().ok()
}

/// The text isn't a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a version is one to four decimal numbers parted by dots, such as 2026.12.1")]
pub struct VersionError;

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.0.iter().map(u64::to_string).collect();
        f.write_str(&parts.join("."))
    }
}
