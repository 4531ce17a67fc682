//! Validation of a bundle's content. All findings are collected.

use std::collections::HashSet;
use std::ops::RangeInclusive;

use super::content::{
    Agent, Bundle, EndpointPattern, Model, Organisation, Policy, RateLimit, Service, Version,
};
use super::{Digest, Findings, routes};

/// Maximum length of a name, in bytes.
const MAX_NAME: usize = 64;
/// Maximum timeout, idle time or duration of a program, in milliseconds: 30 days.
const MAX_MILLIS: u64 = 30 * 24 * 3_600 * 1_000;
/// Maximum number of tokens, calls or millionths, so that sums over programs can't overflow.
const MAX_AMOUNT: u64 = 1 << 50;
/// Maximum share of an organisation.
const MAX_SHARE: u64 = 1_000;
/// Maximum rate limit, in requests per second, and maximum burst.
const MAX_RATE: f64 = 1_000_000.0;
/// Maximum weight in the routing policy.
const MAX_WEIGHT: f64 = 1_000.0;

const NAME: &str = "1 to 64 letters, digits, '.', '_' or '-'";
const PATTERN: &str = "an instance name, or a prefix of one followed by '*'";
const UNIQUE: &str = "a name that is unique in its list";

/// Validates the content of a bundle.
pub(super) fn check(bundle: &Bundle, findings: &mut Findings) {
    if bundle.version.parse::<Version>().is_err() {
        let allowed = "1 to 4 numbers separated by dots, such as 2026.12.1";
        findings.push("version", &bundle.version, allowed);
    }
    let known = DefinedNames::of(bundle);
    let mut names = UniqueValues::default();
    for (index, model) in bundle.models.iter().enumerate() {
        check_model(&format!("models[{index}]"), model, &mut names, findings);
    }
    let mut names = UniqueValues::default();
    for (index, service) in bundle.services.iter().enumerate() {
        check_service(&format!("services[{index}]"), service, &mut names, findings);
    }
    let mut names = UniqueValues::default();
    for (index, agent) in bundle.agents.iter().enumerate() {
        check_agent(&format!("agents[{index}]"), agent, &known, &mut names, findings);
    }
    let (mut names, mut keys) = (UniqueValues::default(), UniqueValues::default());
    for (index, org) in bundle.organisations.iter().enumerate() {
        let path = format!("organisations[{index}]");
        check_organisation(&path, org, &known, &mut names, findings);
        for (index, digest) in org.key_digests.iter().enumerate() {
            let path = format!("{path}.key_digests[{index}]");
            check_digest(&path, digest, findings);
            keys.add(&path, digest, "a key that is used only once", findings);
        }
    }
    routes::check(&bundle.routes, &bundle.pools, findings);
    check_policy(&bundle.policy, findings);
    check_patterns("fencing.ignored_by", &bundle.fencing.ignored_by, findings);
    for (index, digest) in bundle.quarantine.lift.iter().enumerate() {
        check_digest(&format!("quarantine.lift[{index}]"), digest, findings);
    }
}

/// Names that the bundle defines and refers to elsewhere.
struct DefinedNames<'a> {
    models: HashSet<&'a str>,
    services: HashSet<&'a str>,
    agents: HashSet<&'a str>,
}

impl<'a> DefinedNames<'a> {
    fn of(bundle: &'a Bundle) -> DefinedNames<'a> {
        DefinedNames {
            models: bundle.models.iter().map(|model| model.name.as_str()).collect(),
            services: bundle.services.iter().map(|service| service.name.as_str()).collect(),
            agents: bundle.agents.iter().map(|agent| agent.name.as_str()).collect(),
        }
    }
}

/// Values that must be unique in their list.
#[derive(Default)]
struct UniqueValues<'a>(HashSet<&'a str>);

impl<'a> UniqueValues<'a> {
    fn add(&mut self, path: &str, value: &'a str, allowed: &str, findings: &mut Findings) {
        if !self.0.insert(value) {
            findings.push(path, value, allowed);
        }
    }
}

fn check_model<'a>(
    path: &str,
    model: &'a Model,
    names: &mut UniqueValues<'a>,
    findings: &mut Findings,
) {
    check_name(&format!("{path}.name"), &model.name, findings);
    names.add(&format!("{path}.name"), &model.name, UNIQUE, findings);
    check_name(&format!("{path}.version"), &model.version, findings);
    check_range(&format!("{path}.input_micros"), model.input_micros, 0..=MAX_AMOUNT, findings);
    check_range(&format!("{path}.output_micros"), model.output_micros, 0..=MAX_AMOUNT, findings);
    check_range(&format!("{path}.context_tokens"), model.context_tokens, 1..=MAX_AMOUNT, findings);
    check_endpoints(path, &model.endpoints, findings);
}

fn check_service<'a>(
    path: &str,
    service: &'a Service,
    names: &mut UniqueValues<'a>,
    findings: &mut Findings,
) {
    check_name(&format!("{path}.name"), &service.name, findings);
    names.add(&format!("{path}.name"), &service.name, UNIQUE, findings);
    check_endpoints(path, &service.endpoints, findings);
    if service.operations.is_empty() {
        findings.push(&format!("{path}.operations"), "nothing", "at least one operation");
    }
    let mut operations = UniqueValues::default();
    for (index, operation) in service.operations.iter().enumerate() {
        let path = format!("{path}.operations[{index}]");
        check_name(&format!("{path}.name"), &operation.name, findings);
        operations.add(&format!("{path}.name"), &operation.name, UNIQUE, findings);
        check_range(&format!("{path}.timeout_ms"), operation.timeout_ms, 1..=MAX_MILLIS, findings);
        check_range(&format!("{path}.micros"), operation.micros, 0..=MAX_AMOUNT, findings);
    }
}

fn check_agent<'a>(
    path: &str,
    agent: &'a Agent,
    known: &DefinedNames<'_>,
    names: &mut UniqueValues<'a>,
    findings: &mut Findings,
) {
    check_name(&format!("{path}.name"), &agent.name, findings);
    names.add(&format!("{path}.name"), &agent.name, UNIQUE, findings);
    check_known(&format!("{path}.models"), &agent.models, &known.models, findings);
    check_known(&format!("{path}.services"), &agent.services, &known.services, findings);
    let budget = agent.budget;
    check_range(&format!("{path}.budget.tokens"), budget.tokens, 1..=MAX_AMOUNT, findings);
    check_range(&format!("{path}.budget.calls"), budget.calls, 1..=MAX_AMOUNT, findings);
    check_range(&format!("{path}.budget.millis"), budget.millis, 1..=MAX_MILLIS, findings);
    check_range(&format!("{path}.budget.micros"), budget.micros, 1..=MAX_AMOUNT, findings);
    check_range(&format!("{path}.idle_ms"), agent.idle_ms, 1..=MAX_MILLIS, findings);
    check_range(&format!("{path}.max_turns"), agent.max_turns.into(), 1..=100_000, findings);
}

fn check_organisation<'a>(
    path: &str,
    org: &'a Organisation,
    known: &DefinedNames<'_>,
    names: &mut UniqueValues<'a>,
    findings: &mut Findings,
) {
    check_name(&format!("{path}.name"), &org.name, findings);
    names.add(&format!("{path}.name"), &org.name, UNIQUE, findings);
    check_range(&format!("{path}.share"), org.share.into(), 1..=MAX_SHARE, findings);
    check_known(&format!("{path}.agents"), &org.agents, &known.agents, findings);
    if let Some(limit) = &org.limit {
        check_limit(&format!("{path}.limit"), limit, findings);
    }
}

fn check_limit(path: &str, limit: &RateLimit, findings: &mut Findings) {
    if !(limit.per_second > 0.0 && limit.per_second <= MAX_RATE) {
        let allowed = "a number above 0, at most 1000000";
        findings.push(&format!("{path}.per_second"), limit.per_second, allowed);
    }
    if !(0.0..=MAX_RATE).contains(&limit.burst) {
        findings.push(&format!("{path}.burst"), limit.burst, "a number from 0 to 1000000");
    }
}

fn check_policy(policy: &Policy, findings: &mut Findings) {
    let weights = [
        ("policy.latency_weight", policy.latency_weight),
        ("policy.waste_weight", policy.waste_weight),
    ];
    for (path, weight) in weights {
        if !(0.0..=MAX_WEIGHT).contains(&weight) {
            findings.push(path, weight, "a number from 0 to 1000");
        }
    }
}

fn check_endpoints(path: &str, endpoints: &[EndpointPattern], findings: &mut Findings) {
    let path = format!("{path}.endpoints");
    if endpoints.is_empty() {
        findings.push(&path, "nothing", "at least one pattern");
    }
    check_patterns(&path, endpoints, findings);
}

fn check_patterns(path: &str, patterns: &[EndpointPattern], findings: &mut Findings) {
    for (index, EndpointPattern(text)) in patterns.iter().enumerate() {
        let prefix = text.strip_suffix('*').unwrap_or(text);
        let valid = !text.is_empty() && prefix.chars().all(is_name_char) && text.len() <= MAX_NAME;
        if !valid {
            findings.push(&format!("{path}[{index}]"), text, PATTERN);
        }
    }
}

fn check_known(
    path: &str,
    names: &[crate::prelude::CompactString],
    known: &HashSet<&str>,
    findings: &mut Findings,
) {
    for (index, name) in names.iter().enumerate() {
        if !known.contains(name.as_str()) {
            findings.push(&format!("{path}[{index}]"), name, "a name that the bundle defines");
        }
    }
}

fn check_name(path: &str, name: &str, findings: &mut Findings) {
    if name.is_empty() || name.len() > MAX_NAME || !name.chars().all(is_name_char) {
        findings.push(path, name, NAME);
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-')
}

fn check_digest(path: &str, digest: &str, findings: &mut Findings) {
    let lower = !digest.bytes().any(|byte| byte.is_ascii_uppercase());
    if !lower || digest.parse::<Digest>().is_err() {
        findings.push(path, digest, "a SHA-256 digest as 64 lower-case hexadecimal digits");
    }
}

fn check_range(path: &str, value: u64, range: RangeInclusive<u64>, findings: &mut Findings) {
    if !range.contains(&value) {
        let allowed = format!("a number from {} to {}", range.start(), range.end());
        findings.push(path, value, &allowed);
    }
}
