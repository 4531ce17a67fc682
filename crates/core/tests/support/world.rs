//! Simulated callers, entry VMs and endpoints of a group, with checks of what each of them
//! observes.

use std::collections::{BTreeMap, BTreeSet};

use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{Effect, Input, RequestToken, Settings, find_leaks};
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::Refusal;
use gypsumglade_core::wire::program::request::Body;

use super::{Fate, Group, ReplyBody, assistant, begin_call, begin_turn, done, end, name, not_run};
use super::{program_ref, started, user};

/// Token budget of the root program, shared with its descendants.
pub const FAMILY_TOKENS: u64 = 4_000;
/// Call budget of the root program, shared with its descendants.
pub const FAMILY_CALLS: u64 = 9;
/// Number of prompt tokens that callers declare for each turn.
const PROMPT_TOKENS: u64 = 20;
/// Time after which no request may be pending, in milliseconds.
const QUIET_MS: u64 = 700_000;

/// The programs under test with their parents: a root, its child, its grandchild and an unrelated
/// one.
pub const PROGRAMS: [(&str, &str); 4] = [("r", ""), ("r/a", "r"), ("r/a/b", "r/a"), ("s", "")];

/// Identifies a call by the index of its program in [`PROGRAMS`] and its key. Odd keys are service
/// calls, even ones are turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId {
    pub program: usize,
    pub key: u8,
}

impl CallId {
    pub fn program(self) -> &'static str {
        PROGRAMS[self.program % PROGRAMS.len()].0
    }

    pub fn is_service(self) -> bool {
        self.key % 2 == 1
    }

    fn key_text(self) -> String {
        format!("k{}", self.key)
    }

    /// Returns the answer of an endpoint to a dispatch, which is different for each.
    fn answer(self, dispatch: &str) -> String {
        assistant(&format!("{}:{}:{dispatch}", self.program(), self.key))
    }
}

/// A step of a simulation.
#[derive(Clone, Copy, Debug)]
pub enum Op {
    /// A caller sends a request through a VM. If `lose` is set, a granted reply is lost on the way.
    Ask { vm: u32, call: CallId, lose: bool },
    /// All proposals in flight are committed.
    Commit,
    /// A VM sends a grant that it holds to an endpoint.
    Send { vm: u32, pick: usize },
    /// A VM reports the outcome of a grant that it holds.
    Settle { vm: u32, pick: usize },
    /// A VM crashes and is declared dead. It returns without its state.
    Kill { vm: u32 },
    /// A VM is declared dead but later continues with its state.
    Pause { vm: u32 },
    /// Another replica becomes the leader.
    Lead { to: usize, kept: bool },
    /// A replica restarts from its snapshot and log.
    Restart { replica: usize },
    /// Time passes.
    Wait { millis: u64 },
    /// A program is ended by a request.
    End { program: usize },
}

/// A grant that a VM holds.
#[derive(Clone, Debug)]
struct HeldGrant {
    call: CallId,
    grant: wire::Grant,
    ran: Option<String>,
    /// Becomes `false` once the group may consider the grant lost, or its outcome was sent.
    active: bool,
    /// Whether the VM reported that it will not run the grant, even if the report was lost.
    declined: bool,
}

/// A request without a reply so far.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    vm: u32,
    call: CallId,
    lose: bool,
}

/// A group with its simulated callers, VMs and endpoints.
pub struct World {
    pub group: Group,
    held: BTreeMap<u32, Vec<HeldGrant>>,
    pending: BTreeMap<RequestToken, PendingRequest>,
    settles: BTreeMap<RequestToken, (u32, HeldGrant)>,
    /// Dispatches that endpoints ran, by call.
    runs: BTreeMap<CallId, Vec<String>>,
    /// Tokens that endpoints used, by program.
    used: BTreeMap<usize, u64>,
    /// Calls that endpoints ran, by program.
    calls: BTreeMap<usize, u64>,
    /// Endpoints that hold engine memory, with the program that they hold it for.
    memory: BTreeSet<(String, &'static str)>,
    histories: BTreeMap<usize, Vec<serde_json::Value>>,
    pub violations: Vec<String>,
}

impl World {
    pub fn new(settings: Settings) -> World {
        let mut group = Group::with_settings(3, settings);
        group.held = true;
        group.commit();
        World {
            group,
            held: BTreeMap::new(),
            pending: BTreeMap::new(),
            settles: BTreeMap::new(),
            runs: BTreeMap::new(),
            used: BTreeMap::new(),
            calls: BTreeMap::new(),
            memory: BTreeSet::new(),
            histories: BTreeMap::new(),
            violations: vec![],
        }
    }

    pub fn perform(&mut self, op: Op) {
        match op {
            Op::Ask { vm, call, lose } => self.ask(vm, call, lose),
            Op::Commit => self.group.commit(),
            Op::Send { vm, pick } => self.send(vm, pick),
            Op::Settle { vm, pick } => self.settle(vm, pick),
            Op::Kill { vm } => {
                self.held.remove(&vm);
                self.pending.retain(|_, request| request.vm != vm);
                self.settles.retain(|_, (by, _)| *by != vm);
                self.declare_dead(vm);
            }
            Op::Pause { vm } => {
                self.held.entry(vm).or_default().iter_mut().for_each(|held| held.active = false);
                self.declare_dead(vm);
            }
            Op::Lead { to, kept } => {
                let fate = if kept { Fate::Kept } else { Fate::Lost };
                self.group.change_leader(to % 3, fate);
                self.group.commit();
                self.deactivate_unknown_grants();
            }
            Op::Restart { replica } => self.restart(replica % 3),
            Op::Wait { millis } => self.wait(millis),
            Op::End { program } => {
                self.group.send(VmId(1), end(PROGRAMS[program % PROGRAMS.len()].0));
            }
        }
        self.deliver();
        self.check();
    }

    /// Settles all grants, ends all programs, and checks that no request is pending, that replicas
    /// are equal and that no engine memory is left.
    pub fn finish(&mut self) {
        self.group.commit();
        self.deliver();
        let vms: Vec<u32> = self.held.keys().copied().collect();
        for vm in vms {
            while self.held.get(&vm).is_some_and(|held| !held.is_empty()) {
                self.settle(vm, 0);
                self.group.commit();
                self.deliver();
            }
        }
        (0..PROGRAMS.len()).for_each(|program| self.perform(Op::End { program }));
        self.group.held = false;
        self.group.commit();
        self.group.advance(QUIET_MS);
        self.deliver();
        self.group.advance(5_000);
        self.deliver();
        self.check();
        if !self.pending.is_empty() {
            self.violations.push(format!("requests without a reply: {:?}", self.pending));
        }
        self.check_memory();
        self.check_replicas();
    }

    fn ask(&mut self, vm: u32, call: CallId, lose: bool) {
        let (program, parent) = PROGRAMS[call.program % PROGRAMS.len()];
        let limits =
            wire::Budget { tokens: FAMILY_TOKENS, calls: FAMILY_CALLS, ..Default::default() };
        let budget = if parent.is_empty() { limits } else { wire::Budget::default() };
        let body = if call.is_service() {
            Body::BeginCall(wire::BeginCall {
                parent: parent.into(),
                budget: Some(budget),
                ..begin_call(program, &call.key_text())
            })
        } else {
            let text = format!("{program}:{}", call.key);
            Body::BeginTurn(wire::BeginTurn {
                parent: parent.into(),
                budget: Some(budget),
                prompt_tokens: PROMPT_TOKENS,
                ..begin_turn(program, &call.key_text(), &[user(&text)])
            })
        };
        let token = self.group.send(VmId(vm), body);
        self.pending.insert(token, PendingRequest { vm, call, lose });
    }

    fn send(&mut self, vm: u32, pick: usize) {
        let Some(list) = self.held.get(&vm).filter(|list| !list.is_empty()) else { return };
        let pick = pick % list.len();
        let HeldGrant { call, grant, ran, declined, .. } = list[pick].clone();
        let endpoint = format!("e{vm}");
        if declined || ran.is_some() || !self.report_started(vm, call, &grant.dispatch, &endpoint) {
            return;
        }
        let dispatch = grant.dispatch;
        let output = grant.max_output;
        if let Some(held) = self.held.get_mut(&vm).and_then(|list| list.get_mut(pick)) {
            held.ran = Some(call.answer(&dispatch));
        }
        self.memory.insert((endpoint, call.program()));
        self.runs.entry(call).or_default().push(dispatch);
        *self.calls.entry(call.program).or_default() += 1;
        let tokens = if call.is_service() { 0 } else { PROMPT_TOKENS + output };
        *self.used.entry(call.program).or_default() += tokens;
    }

    /// Reports the endpoint of a dispatch. Returns whether the group confirmed it, which a VM must
    /// await before it sends the dispatch.
    fn report_started(&mut self, vm: u32, call: CallId, dispatch: &str, endpoint: &str) -> bool {
        let token = self.group.send(VmId(vm), started(call.program(), dispatch, endpoint));
        self.group.commit();
        matches!(self.group.reply(token), Some(ReplyBody::Done(_)))
    }

    fn settle(&mut self, vm: u32, pick: usize) {
        let Some(list) = self.held.get_mut(&vm).filter(|list| !list.is_empty()) else { return };
        let pick = pick % list.len();
        let mut held = list.remove(pick);
        held.active = false;
        let program = held.call.program();
        let dispatch = &held.grant.dispatch;
        let Some(answer) = held.ran.clone() else {
            let token = self.group.send(VmId(vm), not_run(program, dispatch));
            held.declined = true;
            self.settles.insert(token, (vm, held));
            return;
        };
        let Body::Settle(mut settle) = done(program, dispatch, &answer) else { return };
        settle.endpoint = format!("e{vm}");
        let (prompt_tokens, output_tokens) =
            if held.call.is_service() { (0, 0) } else { (PROMPT_TOKENS, held.grant.max_output) };
        settle.usage = Some(wire::Usage { prompt_tokens, output_tokens, ..Default::default() });
        let token = self.group.send(VmId(vm), Body::Settle(settle));
        self.settles.insert(token, (vm, held));
    }

    fn declare_dead(&mut self, vm: u32) {
        let leader = self.group.leader.unwrap_or(0);
        self.group.step(leader, Input::VmGone { vm: VmId(vm) });
    }

    /// Deactivates the grants of turns that the new leader does not know. Their settles will be
    /// refused, so the next call of the program need not wait for them.
    fn deactivate_unknown_grants(&mut self) {
        let state = self.group.leader().state();
        for held in self.held.values_mut().flatten() {
            let known = state.knows_dispatch(&name(held.call.program()), &held.grant.dispatch);
            let model = !held.call.is_service();
            held.active &= known || !model;
        }
    }

    fn restart(&mut self, replica: usize) {
        if self.group.leader == Some(replica) {
            self.perform(Op::Lead { to: replica + 1, kept: true });
        }
        self.group.restart(replica);
    }

    fn wait(&mut self, millis: u64) {
        self.group.advance(millis);
        let active = millis < self.group.settings.dispatch_ms;
        let all = self.held.values_mut().flatten();
        all.for_each(|held| held.active &= active);
    }

    /// Checks and delivers replies, and performs releases.
    fn deliver(&mut self) {
        for (token, reply) in std::mem::take(&mut self.group.replies) {
            let Some(body) = reply.body else { continue };
            if let Some(request) = self.pending.remove(&token) {
                self.check_reply(request, body);
            } else if let Some((vm, held)) = self.settles.remove(&token) {
                self.check_settled(vm, held, &body);
            }
        }
        for effect in std::mem::take(&mut self.group.effects) {
            if let Effect::Release { release } = effect {
                self.release(&release);
            }
        }
    }

    fn release(&mut self, release: &wire::Release) {
        let program = release.program.clone().unwrap_or_default().program;
        self.memory.retain(|(endpoint, held)| *endpoint != release.endpoint || *held != program);
        let endpoint = release.endpoint.clone();
        let released = wire::Released { program: program_ref(&program), endpoint };
        self.group.send(VmId(1), Body::Released(released));
    }

    fn check_reply(&mut self, request: PendingRequest, body: ReplyBody) {
        let call = request.call;
        match body {
            ReplyBody::Grant(grant) => self.accept_grant(request, grant),
            ReplyBody::Recorded(recorded) => {
                let answer = String::from_utf8_lossy(&recorded.answer).into_owned();
                let runs = self.runs.get(&call).cloned().unwrap_or_default();
                if !runs.iter().any(|dispatch| call.answer(dispatch) == answer) {
                    self.violations.push(format!(
                        "{call:?} got an answer of none of its dispatches: {answer}"
                    ));
                }
            }
            ReplyBody::Refused(refused) if refused.code() != Refusal::NotLeader => {
                let ran = call.is_service() && self.runs.contains_key(&call);
                if ran || self.is_held(call) {
                    let code = refused.code();
                    self.violations.push(format!(
                        "{call:?} was refused although it ran or is in flight ({code:?})"
                    ));
                }
            }
            _ => {}
        }
    }

    fn accept_grant(&mut self, request: PendingRequest, grant: wire::Grant) {
        let program = request.call.program();
        let concurrent =
            self.held.values().flatten().find(|h| h.active && h.call.program() == program);
        if let Some(concurrent) = concurrent {
            let message =
                format!("{:?} was granted while {:?} was in flight", request.call, concurrent.call);
            self.violations.push(message);
        }
        if !request.lose {
            let held =
                HeldGrant { call: request.call, grant, ran: None, active: true, declined: false };
            self.held.entry(request.vm).or_default().push(held);
        }
    }

    fn is_held(&self, call: CallId) -> bool {
        self.held.values().flatten().any(|held| held.active && held.call == call)
    }

    /// Checks that a confirmed turn is in the history. A settle that reached no leader is retried
    /// later.
    fn check_settled(&mut self, vm: u32, held: HeldGrant, body: &ReplyBody) {
        if let ReplyBody::Refused(refused) = body
            && refused.code() == Refusal::NotLeader
        {
            return self.held.entry(vm).or_default().push(held);
        }
        let confirmed = matches!(body, ReplyBody::Done(_));
        let Some(answer) = held.ran.filter(|_| confirmed && !held.call.is_service()) else {
            return;
        };
        if !self.group.history(held.call.program()).contains(&answer) {
            let message = format!("{:?} was confirmed but is not in the history", held.call);
            self.violations.push(message);
        }
    }

    fn check(&mut self) {
        for (call, runs) in &self.runs {
            if call.is_service() && runs.len() > 1 {
                self.violations.push(format!("{call:?} ran {} times", runs.len()));
            }
        }
        let family = 0..3;
        let tokens: u64 = family.clone().filter_map(|p| self.used.get(&p)).sum();
        let calls: u64 = family.filter_map(|p| self.calls.get(&p)).sum();
        if tokens > FAMILY_TOKENS || calls > FAMILY_CALLS {
            self.violations
                .push(format!("the budget was exceeded with {tokens} tokens and {calls} calls"));
        }
        (0..PROGRAMS.len()).for_each(|program| self.check_history(program));
    }

    /// Checks that a history only grows, and has each turn of its own program once and no others.
    fn check_history(&mut self, program: usize) {
        let id = PROGRAMS[program].0;
        let json = self.group.history(id);
        let messages: Vec<serde_json::Value> = serde_json::from_str(&json).unwrap_or_default();
        let before = self.histories.insert(program, messages.clone()).unwrap_or_default();
        if !messages.starts_with(&before) {
            self.violations.push(format!("the history of {id} no longer starts with {before:?}"));
        }
        let mut seen = BTreeSet::new();
        for pair in messages.chunks(2) {
            let texts: Vec<&str> = pair.iter().filter_map(|m| m["content"].as_str()).collect();
            let matches = texts.len() == 2
                && texts[0].starts_with(&format!("{id}:"))
                && texts[1].starts_with(&format!("{}:", texts[0]));
            if !matches || !seen.insert(texts[0]) {
                self.violations
                    .push(format!("the history of {id} has a repeated or foreign turn: {texts:?}"));
            }
        }
    }

    fn check_memory(&mut self) {
        let state = self.group.leader().state();
        for (endpoint, program) in &self.memory {
            let leaks = find_leaks(state, &endpoint.into(), &[name(program)]);
            let message =
                format!("{endpoint} still holds memory of {program}, leaks found: {leaks:?}");
            self.violations.push(message);
        }
    }

    fn check_replicas(&mut self) {
        let snapshots: Vec<_> = self.group.replicas.iter().map(|r| r.state().snapshot()).collect();
        if snapshots.iter().any(|snapshot| *snapshot != snapshots[0]) {
            self.violations.push("replicas differ".to_owned());
        }
    }
}
