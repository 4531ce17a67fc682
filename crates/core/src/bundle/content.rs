//! Types of a bundle's content.

use std::fmt;
use std::str::FromStr;

use super::check;
use super::routes::{CallerLimits, Pool, Route};
use super::{Findings, MAX_CONTENT};
use crate::prelude::*;

/// Signed configuration of a deployment: models, services and routes, the agent programs with their
/// limits, and the organisations that may run them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// Version as dotted decimal numbers, such as `2026.12.1`, used for this content only.
    pub version: CompactString,
    /// Models that agents may use.
    #[serde(default)]
    pub models: Vec<Model>,
    /// Services other than models that agents may call.
    #[serde(default)]
    pub services: Vec<Service>,
    /// Agent programs that callers may run.
    #[serde(default)]
    pub agents: Vec<Agent>,
    /// Organisations whose callers may run programs.
    #[serde(default)]
    pub organisations: Vec<Organisation>,
    /// Weights of the routing policy.
    #[serde(default)]
    pub policy: Policy,
    /// Endpoints that don't check fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Requests that operators released from quarantine.
    #[serde(default)]
    pub quarantine: Quarantine,
    /// Routes whose requests are passed through to endpoints unchanged.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<Route>,
    /// Pools of endpoints that routes lead to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pools: Vec<Pool>,
    /// Limits for the callers of routes.
    #[serde(default)]
    pub callers: CallerLimits,
    /// The operator's order that the bundle was generated from, in the operator's own format.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub original: Option<CompactString>,
}

impl Bundle {
    /// Parses and validates a bundle's text.
    ///
    /// # Errors
    ///
    /// Returns all findings of the validation together. A syntax error or a value of the wrong type
    /// stops the parser, so the values after it aren't checked.
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

    /// Returns the model with this name, if the bundle defines it.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }

    /// Returns the service with this name, if the bundle defines it.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns the agent program with this name, if the bundle defines it.
    pub fn agent(&self, name: &str) -> Option<&Agent> {
        self.agents.iter().find(|agent| agent.name == name)
    }

    /// Returns the organisation with this name, if the bundle defines it.
    pub fn organisation(&self, name: &str) -> Option<&Organisation> {
        self.organisations.iter().find(|org| org.name == name)
    }
}

/// Maximum nesting depth of brackets.
const MAX_NESTING: usize = 64;

/// Returns the maximum nesting depth of brackets, including those within strings.
///
/// The YAML parser's time for each token grows with the depth, so a bundle of brackets could occupy
/// the control group for days.
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

/// Deserializes a bundle. JSON is valid YAML, but its own parser is several times faster.
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

/// A version of a model and the endpoints that serve it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name that agents and callers use.
    pub name: CompactString,
    /// Version that an endpoint must have loaded to serve the model.
    pub version: CompactString,
    /// Price of one prompt token, in millionths of the currency.
    pub input_micros: u64,
    /// Price of one generated token, in millionths of the currency.
    pub output_micros: u64,
    /// Maximum number of tokens of prompt and answer together.
    pub context_tokens: u64,
    /// Endpoints that may serve the model.
    pub endpoints: Vec<EndpointPattern>,
}

/// A service other than a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name that agents and callers use.
    pub name: CompactString,
    /// Endpoints that may serve it.
    pub endpoints: Vec<EndpointPattern>,
    /// Operations that callers can request.
    pub operations: Vec<Operation>,
}

impl Service {
    /// Returns the operation with this name, if the service has it.
    pub fn operation(&self, name: &str) -> Option<&Operation> {
        self.operations.iter().find(|operation| operation.name == name)
    }
}

/// An operation of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Name in the path of a call.
    pub name: CompactString,
    /// Whether a call may be repeated if it may already have been executed.
    pub repeatable: bool,
    /// Time after which the call counts as hung, in milliseconds.
    pub timeout_ms: u64,
    /// Price of one call, in millionths of the currency.
    #[serde(default)]
    pub micros: u64,
}

/// An agent program that callers can run, and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Agent {
    /// Name that callers use to start a program.
    pub name: CompactString,
    /// Names of the models that a program may use.
    #[serde(default)]
    pub models: Vec<CompactString>,
    /// Names of the services that a program may call.
    #[serde(default)]
    pub services: Vec<CompactString>,
    /// Priority class of the program's calls.
    #[serde(default)]
    pub class: Class,
    /// Limits of one program from its start to its end.
    pub budget: AgentBudget,
    /// Time without a call after which a program ends, in milliseconds.
    pub idle_ms: u64,
    /// Maximum number of model calls of one program.
    pub max_turns: u32,
}

/// Priority class of an agent program's calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// The default priority.
    #[default]
    Normal,
    /// Scheduled before normal calls, within the starvation bound.
    Urgent,
}

/// Limits on the total use of one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentBudget {
    /// Maximum number of prompt and answer tokens.
    pub tokens: u64,
    /// Maximum number of calls of models and services.
    pub calls: u64,
    /// Maximum time since the first call, in milliseconds.
    pub millis: u64,
    /// Maximum cost, in millionths of the currency.
    pub micros: u64,
}

/// An organisation whose callers may run programs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Name under which its programs run.
    pub name: CompactString,
    /// SHA-256 digests of the callers' API keys, so that the bundle contains no secret. Without a
    /// key, the organisation can't call.
    #[serde(alias = "key_digest", deserialize_with = "one_or_more")]
    pub key_digests: Vec<CompactString>,
    /// Weight in the fair sharing of capacity.
    #[serde(default = "one_share")]
    pub share: u32,
    /// Names of the agent programs it may run.
    #[serde(default)]
    pub agents: Vec<CompactString>,
    /// Rank of its requests, which replaces the rank of their routes; zero is the most urgent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Limit of its request rate; unlimited if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<RateLimit>,
}

/// Limit of an organisation's requests to endpoints, over all entry VMs together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests per second in the long run.
    pub per_second: f64,
    /// Number of requests that may exceed the rate for a moment.
    pub burst: f64,
}

fn one_share() -> u32 {
    1
}

/// Deserializes a list, or a single value as a list of one.
fn one_or_more<'de, D>(deserializer: D) -> Result<Vec<CompactString>, D::Error>
where
    D: serde::Deserializer<'de>,
{
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum OneOrMore {
        One(CompactString),
        More(Vec<CompactString>),
    }
    Ok(match OneOrMore::deserialize(deserializer)? {
        OneOrMore::One(value) => vec![value],
        OneOrMore::More(values) => values,
    })
}

/// Weights of the routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// Weight of one second of latency.
    pub latency_weight: f64,
    /// Weight of one second of prefill whose cache entries are evicted.
    pub waste_weight: f64,
}

impl Default for Policy {
    fn default() -> Policy {
        Policy { latency_weight: 1.0, waste_weight: 6.0 }
    }
}

/// Endpoints that don't check fencing numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fencing {
    /// Endpoints that execute an order regardless of its fencing number.
    pub ignored_by: Vec<EndpointPattern>,
}

impl Fencing {
    /// Returns `true` if this endpoint doesn't check fencing numbers.
    pub fn is_ignored_by(&self, endpoint: &str) -> bool {
        self.ignored_by.iter().any(|pattern| pattern.matches(endpoint))
    }
}

/// Operators' decisions about quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Quarantine {
    /// Digests of requests that may run again.
    pub lift: Vec<CompactString>,
}

/// An endpoint's instance name, or a prefix of one followed by `*`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointPattern(pub CompactString);

impl EndpointPattern {
    /// Returns `true` if the pattern matches this instance name.
    pub fn matches(&self, endpoint: &str) -> bool {
        match self.0.strip_suffix('*') {
            Some(prefix) => endpoint.starts_with(prefix),
            None => self.0 == endpoint,
        }
    }
}

/// A bundle's parsed version. Versions are ordered number by number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version(Vec<u64>);

impl FromStr for Version {
    type Err = VersionError;

    /// Parses one to four decimal numbers separated by dots, without leading zeros.
    fn from_str(text: &str) -> Result<Version, VersionError> {
        let numbers = text.split('.').map(parse_number).collect::<Option<Vec<_>>>();
        match numbers {
            Some(numbers) if numbers.len() <= MAX_NUMBERS => Ok(Version(numbers)),
            _ => Err(VersionError),
        }
    }
}

/// Maximum number of numbers in a version.
const MAX_NUMBERS: usize = 4;
/// Maximum number of digits of each number in a version.
const MAX_DIGITS: usize = 9;

fn parse_number(part: &str) -> Option<u64> {
    let digits = part.bytes().all(|byte| byte.is_ascii_digit());
    let leading_zero = part.len() > 1 && part.starts_with('0');
    if part.is_empty() || part.len() > MAX_DIGITS || !digits || leading_zero {
        return None;
    }
    part.parse().ok()
}

/// Error returned when a text isn't a valid version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a version must be one to four decimal numbers separated by dots, such as 2026.12.1")]
pub struct VersionError;

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.0.iter().map(u64::to_string).collect();
        f.write_str(&parts.join("."))
    }
}
