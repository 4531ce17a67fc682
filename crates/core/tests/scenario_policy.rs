//! Runs the scripts in `scenarios/policy` against the policy modules.
//!
//! The lines of a script are commands, and the expected output follows under `---`.
//! `UPDATE_GOLDENFILES=1` rewrites the expected output.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;

use goldenscript::{Command, Context, Runner};
use gypsumglade_core::policy::Class;
use gypsumglade_core::policy::admission::{
    Admission, AdmissionDecision, AdmissionRequest, AdmissionSettings, Ticket,
};
use gypsumglade_core::policy::priority::Priority;
use gypsumglade_core::policy::registry::{
    Announcement, CacheEvents, DispatchKey, DispatchLoad, EndpointKind, LoadReport, ModelId,
    Registry,
};
use gypsumglade_core::policy::retry::{
    Failure, RetryDecision, RetryPolicy, RetryRequest, RetrySettings,
};
use gypsumglade_core::policy::route::{
    LastRun, Place, RouteError, RouteRequest, RouteSettings, Router, Target,
};
use gypsumglade_core::prelude::*;

type Outcome = Result<String, Box<dyn Error>>;

/// State of a script: the policies under test and the calls in flight.
struct Scenario {
    now: Time,
    registry: Registry,
    router: Router,
    retries: RetryPolicy,
    admission: Admission,
    sequence: u64,
    calls: Vec<(EndpointName, DispatchKey)>,
    tickets: BTreeMap<Ticket, CompactString>,
    running: Vec<Ticket>,
}

/// Arguments of a command, by position and by key.
struct Args<'a> {
    names: Vec<&'a str>,
    keys: BTreeMap<&'a str, &'a str>,
}

impl<'a> Args<'a> {
    fn of(command: &'a Command) -> Args<'a> {
        let mut consumer = command.consume_args();
        let mut args = Args { names: Vec::new(), keys: BTreeMap::new() };
        while let Some(name) = consumer.next_pos() {
            args.names.push(name);
        }
        while let Some((key, value)) = consumer.next_key() {
            args.keys.insert(key, value);
        }
        args
    }

    fn number(&self, key: &str, default: u64) -> Result<u64, Box<dyn Error>> {
        self.keys.get(key).map_or(Ok(default), |value| Ok(value.parse()?))
    }

    fn has(&self, name: &str) -> bool {
        self.names.contains(&name)
    }

    fn first(&self) -> Result<&'a str, Box<dyn Error>> {
        self.names.first().copied().ok_or_else(|| "a name is missing".into())
    }
}

impl Scenario {
    fn new() -> Scenario {
        let mut admission = AdmissionSettings { reserve: 0.0, ..AdmissionSettings::default() };
        admission.limit.start = 2.0;
        admission.limit.max = 2.0;
        admission.org_queue = 4;
        Scenario {
            now: Time::ZERO,
            registry: Registry::default(),
            router: Router::new(RouteSettings::default(), 1),
            retries: RetryPolicy::new(RetrySettings::default(), 1),
            admission: Admission::new(admission),
            sequence: 0,
            calls: Vec::new(),
            tickets: BTreeMap::new(),
            running: Vec::new(),
        }
    }

    fn wait(&mut self, args: &Args<'_>) -> Outcome {
        self.now = self.now + Duration::from_millis(args.first()?.parse()?);
        Ok(String::new())
    }

    fn announce(&mut self, args: &Args<'_>) -> Outcome {
        self.sequence += 1;
        let model = args.keys.get("model").copied().unwrap_or("advice");
        let domain = args.number("domain", 0)? as u16;
        let age = Duration::from_millis(args.number("age", 0)?);
        let running = args.number("running", 0)? as u32;
        for name in args.names.iter().filter(|name| **name != "leaving") {
            let announcement = Announcement {
                name: (*name).into(),
                incarnation: args.number("incarnation", 1)?,
                sequence: self.sequence,
                kind: EndpointKind::Engine {
                    models: vec![ModelId::new(model, "1")],
                    slots: 10,
                    prefill_rate: 8_000.0,
                    decode_rate: 32.0,
                    cache_tokens: 400_000,
                },
                address: (*name).into(),
                domain: DomainId(domain),
                region: RegionId(domain / 2),
                fencing: true,
                lease: Duration::from_millis(args.number("lease", 3_000)?),
                leaving: args.has("leaving"),
                load: Some(LoadReport { running, waiting: 0, cached_tokens: 0, age }),
                cache_events: CacheEvents::default(),
            };
            self.registry.announce(self.now, announcement);
        }
        Ok(String::new())
    }

    /// Routes and sends calls, and prints the number of calls per endpoint.
    fn send(&mut self, args: &Args<'_>) -> Outcome {
        let mut counts: BTreeMap<CompactString, u32> = BTreeMap::new();
        for _ in 0..args.number("count", 1)? {
            let request = self.request(args)?;
            let label = match self.router.choose(self.now, &self.registry, &request) {
                Ok(choice) => {
                    let load =
                        DispatchLoad { prefill_tokens: choice.prefill_tokens, isolated: false };
                    let call = self.registry.dispatched(self.now, choice.endpoint, load);
                    let endpoint = self.registry.get(choice.endpoint).ok_or("unknown endpoint")?;
                    self.calls.push((endpoint.name.clone(), call));
                    match args.keys.contains_key("last") {
                        true => compact_str::format_compact!(
                            "{} fills {}",
                            endpoint.name,
                            choice.prefill_tokens
                        ),
                        false => endpoint.name.clone(),
                    }
                }
                Err(error) => refusal(&error),
            };
            *counts.entry(label).or_default() += 1;
        }
        let mut text = String::new();
        for (label, count) in counts {
            writeln!(text, "{count} {label}")?;
        }
        Ok(text)
    }

    fn request(&self, args: &Args<'_>) -> Result<RouteRequest, Box<dyn Error>> {
        let model = args.keys.get("model").copied().unwrap_or("advice");
        let prior = args.number("prior", 0)?;
        let run = |name: &&str| LastRun { endpoint: (*name).into(), tokens: prior, at: self.now };
        Ok(RouteRequest {
            target: Target::Model(ModelId::new(model, "1")),
            program: 1,
            prompt_tokens: prior + 500,
            prior_tokens: prior,
            expected_output: 100,
            batch: None,
            prefill_seconds: None,
            bytes: None,
            last_runs: args.keys.get("last").iter().map(|name| run(name)).collect(),
            shared_prefixes: Vec::new(),
            class: Class::Normal,
            place: Place::default(),
            excluded: Vec::new(),
            isolate: false,
        })
    }

    /// Ends all calls on the named endpoints, or on all endpoints if none is named.
    fn end(&mut self, args: &Args<'_>, failed: bool) -> Outcome {
        let ended = |call: &(EndpointName, DispatchKey)| {
            args.names.is_empty() || args.names.contains(&call.0.as_str())
        };
        let (over, rest): (Vec<_>, Vec<_>) = self.calls.drain(..).partition(ended);
        self.calls = rest;
        for (_, call) in &over {
            match failed {
                true => self.registry.failed(self.now, *call),
                false => self.registry.finished(self.now, *call),
            }
        }
        Ok(format!("{} calls\n", over.len()))
    }

    /// Records calls that fail, and prints the number of retries and their first and last time.
    fn retry(&mut self, args: &Args<'_>) -> Outcome {
        let org: OrgName = args.first()?.into();
        let advice = args.number("advice", 0)?;
        let mut times = Vec::new();
        for _ in 0..args.number("count", 1)? {
            self.retries.record_call(&org);
            let request = RetryRequest {
                org: org.clone(),
                attempts: 1,
                repeatable: true,
                failure: Failure::NotRun,
                deadline: None,
                retry_after: (advice > 0).then_some(Duration::from_millis(advice)),
            };
            if let RetryDecision::At(at) = self.retries.decide(self.now, &request) {
                times.push(at.as_millis());
            }
        }
        let (first, last) = (times.iter().min(), times.iter().max());
        Ok(format!("{} retried, {first:?} to {last:?} ms\n", times.len()))
    }

    fn admit(&mut self, args: &Args<'_>) -> Outcome {
        let org = args.first()?;
        let deadline = args.number("deadline", 0)?;
        let mut text = String::new();
        for _ in 0..args.number("count", 1)? {
            let request = AdmissionRequest {
                org: org.into(),
                class: if args.has("urgent") { Class::Urgent } else { Class::Normal },
                under_way: !args.has("new"),
                priority: Priority(1),
                deadline: (deadline > 0).then(|| self.now + Duration::from_millis(deadline)),
                service_time: Duration::from_secs(1),
            };
            let outcome = match self.admission.admit(self.now, request) {
                AdmissionDecision::Now(ticket) => {
                    self.tickets.insert(ticket, org.into());
                    self.running.push(ticket);
                    "starts".to_owned()
                }
                AdmissionDecision::Queued(ticket) => {
                    self.tickets.insert(ticket, org.into());
                    "waits".to_owned()
                }
                AdmissionDecision::Shed { retry_after, reason } => {
                    format!("not run: {reason}; retry after {} ms", retry_after.as_millis())
                }
            };
            writeln!(text, "{org} {outcome}")?;
        }
        Ok(text)
    }

    /// Releases running calls in the order of their start, and prints the organisations whose calls
    /// start.
    fn release(&mut self, args: &Args<'_>) -> Outcome {
        let mut names = Vec::new();
        for _ in 0..args.number("count", 1)? {
            if self.running.is_empty() {
                break;
            }
            let ticket = self.running.remove(0);
            for started in self.admission.release(self.now, ticket) {
                names.push(self.tickets[&started].as_str().to_owned());
                self.running.push(started);
            }
        }
        Ok(format!("{}\n", names.join(" ")))
    }

    fn expire(&mut self) -> Outcome {
        let mut text = String::new();
        for expired in self.admission.expire(self.now) {
            let org = &self.tickets[&expired.ticket];
            writeln!(
                text,
                "{org} not run: {}; retry after {} ms",
                expired.reason,
                expired.retry_after.as_millis()
            )?;
        }
        Ok(text)
    }
}

fn refusal(error: &RouteError) -> CompactString {
    error.to_compact_string()
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _context: &Context) -> Outcome {
        let args = Args::of(command);
        match command.name.as_str() {
            "wait" => self.wait(&args),
            "announce" => self.announce(&args),
            "leave" => {
                let incarnation = args.number("incarnation", 1)?;
                let name = args.first()?;
                Ok(self
                    .registry
                    .leave(self.now, name, incarnation)
                    .map_or(String::new(), |_| format!("{name} gets no new work\n")))
            }
            "send" => self.send(&args),
            "finish" => self.end(&args, false),
            "fail" => self.end(&args, true),
            "retry" => self.retry(&args),
            "offer" => self.admit(&args),
            "release" => self.release(&args),
            "give-up" => self.expire(),
            other => Err(format!("unknown command {other}").into()),
        }
    }
}

fn script(name: &str) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/policy");
    goldenscript::run(&mut Scenario::new(), format!("{folder}/{name}"))
        .expect("the script gives its expected output");
}

#[test]
fn script_leaving_news_lost() {
    script("leaving_news_lost");
}

#[test]
fn script_load_frozen() {
    script("load_frozen");
}

#[test]
fn script_organisation_floods() {
    script("organisation_floods");
}

#[test]
fn script_supplier_retired() {
    script("supplier_retired");
}

#[test]
fn script_engines_gone() {
    script("engines_gone");
}

#[test]
fn script_domain_lost() {
    script("domain_lost");
}

#[test]
fn script_region_rejoins() {
    script("region_rejoins");
}
