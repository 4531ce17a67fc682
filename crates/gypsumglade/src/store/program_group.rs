//! One program group on this store: its sequencer, fed by requests and the replicated log.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::{
    Effect, Input, ProposalId, QualifiedName, RequestToken, Sequencer,
};
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::program::{Release, Released, Reply, Request, Score};
use tokio::sync::{mpsc, oneshot};

use super::context::StoreContext;
use crate::replica::Event;

/// Pause between two looks for what is due in a group.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Inputs that may wait before askers are slowed down.
const INPUT_BUFFER: usize = 4_096;

/// What reaches a group's task.
#[expect(clippy::large_enum_variant, reason = "requests are the bulk of all inputs")]
pub enum GroupInput {
    /// An entry VM asks.
    Request {
        /// The VM.
        from: VmId,
        /// What it asks.
        request: Request,
        /// Where the answer goes.
        reply: oneshot::Sender<Reply>,
    },
    /// The replicated log has news.
    Log(Event),
    /// A proposal of this process came to nothing.
    ProposalFailed(ProposalId),
    /// A bundle revision was committed.
    Config {
        /// Its number.
        revision: RevisionNumber,
        /// Request digests that it lifts from quarantine.
        lifted: Vec<Bytes>,
    },
    /// Membership declared a VM dead.
    VmGone(VmId),
    /// An endpoint's lease ran out.
    EndpointGone(EndpointName),
    /// Crash scores from other groups.
    Scores(Vec<Score>),
    /// Asks for the group's state, for a dump.
    Dump(oneshot::Sender<serde_json::Value>),
}

/// Handle to a group's task.
#[derive(Clone)]
pub struct ProgramGroup {
    inputs: mpsc::Sender<GroupInput>,
}

impl ProgramGroup {
    /// Starts the task of a group.
    pub fn start(group: GroupId, context: Arc<StoreContext>) -> ProgramGroup {
        let (inputs, receiver) = mpsc::channel(INPUT_BUFFER);
        let handle = ProgramGroup { inputs };
        let sequencer = Sequencer::new(group, context.program_settings.clone());
        let task = GroupTask {
            group,
            context,
            sequencer,
            inputs: handle.inputs.clone(),
            replies: HashMap::new(),
            token: 0,
            leads: false,
        };
        tokio::spawn(task.run(receiver));
        handle
    }

    /// Feeds the group; waits while it is behind.
    pub async fn feed(&self, input: GroupInput) {
        // The task ends only with the process.
        let _ = self.inputs.send(input).await;
    }

    /// Asks on behalf of an entry VM.
    pub async fn ask(&self, from: VmId, request: Request) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        self.feed(GroupInput::Request { from, request, reply }).await;
        answer.await.ok()
    }

    /// Returns the group's state for a dump.
    pub async fn dump(&self) -> Option<serde_json::Value> {
        let (sender, dump) = oneshot::channel();
        self.feed(GroupInput::Dump(sender)).await;
        dump.await.ok()
    }
}

struct GroupTask {
    group: GroupId,
    context: Arc<StoreContext>,
    sequencer: Sequencer,
    inputs: mpsc::Sender<GroupInput>,
    replies: HashMap<RequestToken, oneshot::Sender<Reply>>,
    token: u64,
    leads: bool,
}

impl GroupTask {
    async fn run(mut self, mut inputs: mpsc::Receiver<GroupInput>) {
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut effects = Vec::new();
        loop {
            let input = tokio::select! {
                _ = tick.tick() => Some(Input::Tick),
                input = inputs.recv() => match input {
                    Some(input) => self.translate(input),
                    None => return,
                },
            };
            let Some(input) = input else { continue };
            self.sequencer.step(self.context.clock.now(), input, &mut effects);
            for effect in effects.drain(..) {
                self.execute(effect);
            }
        }
    }

    fn translate(&mut self, input: GroupInput) -> Option<Input> {
        match input {
            GroupInput::Request { from, request, reply } => {
                self.record_latency(&request);
                self.token += 1;
                let token = RequestToken(self.token);
                self.replies.insert(token, reply);
                Some(Input::Request { token, from, request })
            }
            GroupInput::Log(event) => self.log_input(event),
            GroupInput::ProposalFailed(proposal) => Some(Input::ProposalFailed { proposal }),
            GroupInput::Config { revision, lifted } => Some(Input::Config { revision, lifted }),
            GroupInput::VmGone(vm) => Some(Input::VmGone { vm }),
            GroupInput::EndpointGone(endpoint) => Some(Input::EndpointGone { endpoint }),
            GroupInput::Scores(scores) => Some(Input::Scores { scores }),
            GroupInput::Dump(sender) => {
                // The asker may have given up.
                let _ = sender.send(self.dump());
                None
            }
        }
    }

    /// Records a program's latency when its caller ends it, on the replica that leads.
    fn record_latency(&self, request: &Request) {
        let Some(RequestBody::EndProgram(end)) = &request.body else { return };
        let name = QualifiedName::from_wire(end.program.as_ref());
        let latency = self.sequencer.state().latency(&name).filter(|_| self.leads);
        if let Some(latency) = latency {
            self.context.metrics.program(latency.as_secs_f64());
        }
    }

    fn log_input(&mut self, event: Event) -> Option<Input> {
        match event {
            Event::Leader { term, .. } => {
                slog::info!(self.context.log, "leads a program group";
                    "group" => self.group.0, "term" => term.0);
                // The last leader may not have heard who is dead; their calls must not wait.
                for vm in self.context.dead() {
                    let (inputs, gone) = (self.inputs.clone(), GroupInput::VmGone(vm));
                    tokio::spawn(async move { inputs.send(gone).await });
                }
                self.leads = true;
                Some(Input::Leading { term: term.0 })
            }
            Event::Follower { leader, .. } => {
                self.leads = false;
                Some(Input::Following { leader })
            }
            Event::Committed { index, data, .. } => Some(Input::Committed { index: index.0, data }),
            Event::Restore { index, data, .. } => Some(Input::Restored { index: index.0, data }),
            Event::NeedSnapshot { .. } => {
                if self.context.begin_snapshot(self.group) {
                    let snapshot = self.sequencer.state().snapshot();
                    let index = LogIndex(self.sequencer.applied());
                    self.context.write_snapshot(self.group, index, snapshot);
                }
                None
            }
            Event::Failed { .. } => None,
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::Propose { proposal, data } => self.propose(proposal, data),
            Effect::Reply { token, reply } => {
                if let Some(waiting) = self.replies.remove(&token) {
                    // An asker that gave up asks again.
                    let _ = waiting.send(reply);
                }
            }
            Effect::Release { release } => self.release(release),
            Effect::Cancel { dispatch, vm } => self.context.cancel(dispatch, vm),
            Effect::Scored { score } => self.context.broadcast_score(score),
            Effect::Halt { reason } => slog::crit!(self.context.log,
                "a program group stopped: replace this replica's data folder";
                "group" => self.group.0, "reason" => reason),
        }
    }

    fn propose(&self, proposal: ProposalId, data: Bytes) {
        let (context, inputs, group) = (Arc::clone(&self.context), self.inputs.clone(), self.group);
        tokio::spawn(async move {
            if context.host.propose(group, data).await.is_err() {
                let _ = inputs.send(GroupInput::ProposalFailed(proposal)).await;
            }
        });
    }

    /// Has an entry VM free an engine's memory, and confirms it to the group.
    fn release(&self, release: Release) {
        let (context, inputs) = (Arc::clone(&self.context), self.inputs.clone());
        tokio::spawn(async move {
            match context.release(&release).await {
                super::context::ReleaseAnswer::Freed => {
                    let endpoint = release.endpoint;
                    let released = Released { program: release.program, endpoint };
                    let request = Request { body: Some(RequestBody::Released(released)) };
                    let (reply, _unused) = oneshot::channel();
                    let from = context.vm;
                    let _ = inputs.send(GroupInput::Request { from, request, reply }).await;
                }
                super::context::ReleaseAnswer::Gone => {
                    let endpoint = release.endpoint.as_str().into();
                    let _ = inputs.send(GroupInput::EndpointGone(endpoint)).await;
                }
                super::context::ReleaseAnswer::Failed => {}
            }
        });
    }

    fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "group": self.group,
            "applied": self.sequencer.applied(),
            "waiting_replies": self.replies.len(),
            "programs": self.sequencer.state().program_count(),
            "calls": self.sequencer.state().call_count(),
            "parked": self.sequencer.parked_count(),
        })
    }
}
