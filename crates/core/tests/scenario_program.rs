//! Runs the scenarios of scenarios/program on a group with an in-memory log and a virtual clock.
//!
//! The language is described in docs/design/scenarios.md. Run with `UPDATE_GOLDENFILES=1` to
//! write the output of changed scenarios, and read what changed.

mod support;

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::Write;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Effect, Input, RequestToken, find_leaks};
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::request::Body;
use support::*;

/// Folder of the scenarios, relative to this crate.
const FOLDER: &str = "../../scenarios/program";

/// One line of a scenario.
#[derive(goldenscript::Command, Clone, Debug)]
enum Line {
    /// Starts a fresh group.
    Group {
        replicas: usize,
    },
    /// Requests a model turn that adds one user message.
    Turn {
        program: String,
        #[arg(key)]
        key: String,
        #[arg(key)]
        user: String,
        #[arg(key, optional)]
        number: u64,
        #[arg(key, optional)]
        limits: Limits,
    },
    /// Requests a model turn with a whole list of messages: `u:text` and `a:text`.
    Whole {
        program: String,
        #[arg(key)]
        key: String,
        messages: Vec<String>,
    },
    /// Requests a service call that may not be repeated.
    Call {
        program: String,
        #[arg(key)]
        key: String,
        #[arg(key, optional)]
        vm: Option<u32>,
        #[arg(key, optional)]
        body: Option<String>,
        #[arg(key, optional)]
        deadline: u64,
        #[arg(key, optional)]
        revision: u64,
    },
    /// Reports that a dispatch runs at an endpoint.
    Started {
        program: String,
        #[arg(key)]
        key: String,
        #[arg(key)]
        endpoint: String,
    },
    /// Reports the outcome of the latest grant of a key.
    Settle {
        program: String,
        outcome: SettleOutcome,
        #[arg(key)]
        key: String,
        #[arg(key, optional)]
        answer: Option<String>,
        #[arg(key, optional)]
        endpoint: Option<String>,
        #[arg(key, optional)]
        vm: Option<u32>,
    },
    End {
        program: String,
    },
    Released {
        program: String,
        endpoint: String,
    },
    Wait {
        millis: u64,
    },
    /// Membership declares an entry VM dead.
    Gone {
        vm: u32,
    },
    EndpointGone {
        endpoint: String,
    },
    /// Changes the leader; the proposals in flight are `kept` or `lost`.
    Lead {
        replica: usize,
        #[arg(key, optional)]
        proposals: Option<String>,
    },
    Restart {
        replica: usize,
    },
    /// Holds proposals back until `commit`.
    Hold,
    Commit,
    Config {
        revision: u64,
    },
    History {
        program: String,
    },
    Consumed {
        program: String,
    },
    /// Compares the programs that an endpoint reports with those that are alive.
    Audit {
        endpoint: String,
        programs: Vec<String>,
    },
}

/// Outcome of a dispatch, as reported by its holder.
#[derive(Clone, Copy, Debug)]
enum SettleOutcome {
    Done,
    NotRun,
    Crashed,
}

impl std::str::FromStr for SettleOutcome {
    type Err = String;

    fn from_str(text: &str) -> Result<SettleOutcome, String> {
        match text {
            "done" => Ok(SettleOutcome::Done),
            "not-run" => Ok(SettleOutcome::NotRun),
            "crashed" => Ok(SettleOutcome::Crashed),
            other => Err(format!("unknown outcome {other}: done, not-run or crashed")),
        }
    }
}

/// Limits of a new program as `tokens/calls/millis`; zero means no limit.
#[derive(Clone, Copy, Debug, Default)]
struct Limits(wire::Budget);

impl std::str::FromStr for Limits {
    type Err = String;

    fn from_str(text: &str) -> Result<Limits, String> {
        let parts: Result<Vec<u64>, _> = text.split('/').map(str::parse).collect();
        match parts.as_deref() {
            Ok([tokens, calls, millis]) => {
                let (tokens, calls, millis) = (*tokens, *calls, *millis);
                Ok(Limits(wire::Budget { tokens, calls, millis, micros: 0 }))
            }
            _ => Err(format!("expected tokens/calls/millis, got {text}")),
        }
    }
}

/// State of a scenario.
struct Scenario {
    group: Group,
    grants: BTreeMap<(String, String), String>,
    /// Requests whose reply has not been printed yet.
    pending: BTreeMap<RequestToken, PendingRequest>,
}

/// A request and its name in the output.
struct PendingRequest {
    line: String,
    program: String,
    key: String,
}

impl Scenario {
    fn new() -> Scenario {
        Scenario { group: Group::new(1), grants: BTreeMap::new(), pending: BTreeMap::new() }
    }

    fn ask(&mut self, verb: &str, program: &str, key: &str, vm: VmId, body: Body) {
        let token = self.group.send(vm, body);
        let line = if key.is_empty() {
            format!("{verb} {program}")
        } else {
            format!("{verb} {program} {key}")
        };
        let asked = PendingRequest { line, program: program.into(), key: key.into() };
        self.pending.insert(token, asked);
    }

    fn dispatch(&self, program: &str, key: &str) -> String {
        let grant = self.grants.get(&(program.to_owned(), key.to_owned()));
        grant.cloned().unwrap_or_else(|| "none".to_owned())
    }

    fn settle(&mut self, line: &Line) -> Result<(), Box<dyn Error>> {
        let Line::Settle { program, outcome, key, answer, endpoint, vm } = line else {
            return Ok(());
        };
        let dispatch = self.dispatch(program, key);
        let endpoint = endpoint.as_deref().unwrap_or("e1");
        let answer = answer.as_deref().unwrap_or_default();
        let body = match outcome {
            SettleOutcome::Done => done(program, &dispatch, &assistant(answer)),
            SettleOutcome::NotRun => not_run(program, &dispatch),
            SettleOutcome::Crashed => crashed(program, &dispatch, endpoint),
        };
        let Body::Settle(mut settle) = body else { return Err("no settle".into()) };
        settle.endpoint = endpoint.to_owned();
        self.ask("settle", program, key, VmId(vm.unwrap_or(1)), Body::Settle(settle));
        Ok(())
    }

    fn call(&mut self, line: &Line) {
        let Line::Call { program, key, vm, body, deadline, revision } = line else { return };
        let mut begin = begin_call(program, key);
        if let Some(body) = body {
            begin.digest = Bytes::from(body.clone());
        }
        begin.deadline_ms = *deadline;
        begin.revision = *revision;
        self.ask("call", program, key, VmId(vm.unwrap_or(1)), Body::BeginCall(begin));
    }

    fn turn(&mut self, line: &Line) {
        let Line::Turn { program, key, user: text, number, limits } = line else { return };
        let mut begin = begin_turn(program, key, &[user(text)]);
        begin.turn = *number;
        begin.budget = Some(limits.0);
        if let Some((parent, _)) = program.rsplit_once('/') {
            begin.parent = parent.to_owned();
        }
        self.ask("turn", program, key, ENTRY, Body::BeginTurn(begin));
    }

    fn perform(&mut self, line: &Line) -> Result<String, Box<dyn Error>> {
        match line {
            Line::History { program } => Ok(self.group.history(program)),
            Line::Consumed { program } => self.consumed(program),
            Line::Audit { endpoint, programs } => Ok(self.audit(endpoint, programs)),
            Line::Settle { .. } => self.settle(line).map(|()| String::new()),
            Line::Whole { program, key, messages } => {
                let list: Result<Vec<String>, _> = messages.iter().map(|m| message(m)).collect();
                self.ask("turn", program, key, ENTRY, turn(program, key, &list?));
                Ok(String::new())
            }
            _ => {
                self.request(line);
                self.fault(line);
                Ok(String::new())
            }
        }
    }

    /// Sends the request of an entry VM.
    fn request(&mut self, line: &Line) {
        match line {
            Line::Turn { .. } => self.turn(line),
            Line::Call { .. } => self.call(line),
            Line::Started { program, key, endpoint } => {
                let body = started(program, &self.dispatch(program, key), endpoint);
                self.ask("started", program, key, ENTRY, body);
            }
            Line::End { program } => self.ask("end", program, "", ENTRY, end(program)),
            Line::Released { program, endpoint } => {
                let endpoint = endpoint.clone();
                let released = wire::Released { program: program_ref(program), endpoint };
                self.ask("released", program, "", ENTRY, Body::Released(released));
            }
            _ => {}
        }
    }

    /// Applies a change to the group or its environment.
    fn fault(&mut self, line: &Line) {
        match line {
            Line::Group { replicas } => self.group = Group::new(*replicas),
            Line::Wait { millis } => self.group.advance(*millis),
            Line::Gone { vm } => self.input(Input::VmGone { vm: VmId(*vm) }),
            Line::EndpointGone { endpoint } => {
                self.input(Input::EndpointGone { endpoint: endpoint.into() });
            }
            Line::Lead { replica, proposals } => {
                let kept = proposals.as_deref() == Some("kept");
                let fate = if kept { Fate::Kept } else { Fate::Lost };
                self.group.change_leader(*replica, fate);
            }
            Line::Restart { replica } => self.group.restart(*replica),
            Line::Hold => self.group.held = true,
            Line::Commit => {
                self.group.held = false;
                self.group.commit();
            }
            Line::Config { revision } => {
                let revision = RevisionNumber(*revision);
                self.input(Input::Config { revision, lifted: vec![] });
            }
            _ => {}
        }
    }

    fn consumed(&self, program: &str) -> Result<String, Box<dyn Error>> {
        let state = self.group.leader().state();
        let (spent, held) = state.consumed(&name(program)).ok_or("no such program")?;
        Ok(format!(
            "spent {} tokens, {} calls; held {} tokens, {} calls",
            spent.tokens, spent.calls, held.tokens, held.calls
        ))
    }

    fn audit(&self, endpoint: &str, programs: &[String]) -> String {
        let reported: Vec<_> = programs.iter().map(|program| name(program)).collect();
        let state = self.group.leader().state();
        let leaks = find_leaks(state, &endpoint.into(), &reported);
        let lines = leaks.iter().map(|l| format!("free {} at {}", l.program.program, l.endpoint));
        lines.collect::<Vec<_>>().join("\n")
    }

    fn input(&mut self, input: Input) {
        let leader = self.group.leader.unwrap_or(0);
        self.group.step(leader, input);
    }

    /// Prints the replies and effects of the last line.
    fn print(&mut self, before: &[RequestToken]) -> Result<String, std::fmt::Error> {
        let mut out = String::new();
        for (token, reply) in std::mem::take(&mut self.group.replies) {
            let Some(asked) = self.pending.remove(&token) else { continue };
            if let Some(ReplyBody::Grant(grant)) = &reply.body {
                let key = (asked.program.clone(), asked.key.clone());
                self.grants.insert(key, grant.dispatch.clone());
            }
            writeln!(out, "{}: {}", asked.line, describe(reply.body))?;
        }
        for (token, asked) in &self.pending {
            if !before.contains(token) {
                writeln!(out, "{}: waits", asked.line)?;
            }
        }
        for effect in std::mem::take(&mut self.group.effects) {
            match effect {
                Effect::Release { release } => {
                    let program = release.program.unwrap_or_default().program;
                    writeln!(out, "release {program} at {}", release.endpoint)?;
                }
                Effect::Cancel { dispatch, vm } => writeln!(out, "cancel {dispatch} at {vm}")?,
                Effect::Scored { score } => {
                    let state = if score.quarantined { "quarantined" } else { "suspect" };
                    writeln!(out, "score {} after {} deaths: {state}", score.blame, score.deaths)?;
                }
                Effect::Halt { reason } => writeln!(out, "halt: {reason}")?,
                Effect::Propose { .. } | Effect::Reply { .. } => {}
            }
        }
        Ok(out)
    }
}

impl goldenscript::Runner for Scenario {
    type Command = Line;

    fn run(&mut self, line: &Line, _: &goldenscript::Context) -> Result<String, Box<dyn Error>> {
        let before: Vec<RequestToken> = self.pending.keys().copied().collect();
        let mut out = self.perform(line)?;
        if !out.is_empty() {
            out.push('\n');
        }
        out.push_str(&self.print(&before)?);
        Ok(out)
    }
}

fn message(text: &str) -> Result<String, String> {
    match text.split_once(':') {
        Some(("u", text)) => Ok(user(text)),
        Some(("a", text)) => Ok(assistant(text)),
        _ => Err(format!("expected u:text or a:text, got {text}")),
    }
}

fn describe(reply: Option<ReplyBody>) -> String {
    match reply {
        Some(ReplyBody::Grant(grant)) => {
            let alone = if grant.isolate { ", alone" } else { "" };
            let turn = if grant.turn > 0 { format!(" turn {}", grant.turn) } else { String::new() };
            format!("granted {}{turn}, attempt {}{alone}", grant.dispatch, grant.attempt)
        }
        Some(ReplyBody::Recorded(recorded)) => {
            format!("recorded {}", String::from_utf8_lossy(&recorded.answer))
        }
        Some(ReplyBody::Refused(refused)) => {
            format!("refused {}: {}", refused.code().as_str_name(), refused.detail)
        }
        Some(ReplyBody::Unknown(unknown)) => format!("unknown {}", unknown.dispatch),
        Some(ReplyBody::Done(_)) => "done".to_owned(),
        Some(ReplyBody::Leaks(leaks)) => format!("leaks {}", leaks.programs.len()),
        None => "empty".to_owned(),
    }
}

#[test]
fn scenarios_give_their_recorded_output() {
    let mut paths: Vec<_> = std::fs::read_dir(FOLDER)
        .expect("the scenario folder is readable")
        .map(|entry| entry.expect("the folder entry is readable").path())
        .collect();
    paths.sort();
    assert!(!paths.is_empty());
    for path in paths {
        goldenscript::run(&mut Scenario::new(), &path)
            .unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    }
}
