//! A program group on this store: a task that feeds requests and the replicated log to a sequencer.

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

/// Interval at which the sequencer handles timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Inputs that may be queued before senders have to wait.
const INPUT_BUFFER: usize = 4_096;

/// Input to a group's task.
#[expect(clippy::large_enum_variant, reason = "requests are the bulk of all inputs")]
pub enum GroupInput {
    /// A request from an entry VM.
    Request {
        /// The entry VM.
        from: VmId,
        /// The request.
        request: Request,
        /// Receives the reply.
        reply: oneshot::Sender<Reply>,
    },
    /// An event of the group's replica.
    Log(Event),
    /// A proposal by this process failed.
    ProposalFailed(ProposalId),
    /// A bundle revision was committed.
    Config {
        /// Number of the revision.
        revision: RevisionNumber,
        /// Digests of requests that it releases from quarantine.
        lifted: Vec<Bytes>,
    },
    /// An entry VM failed.
    VmGone(VmId),
    /// The process that an entry VM runs.
    VmRuns {
        /// The VM.
        vm: VmId,
        /// Boot id of its process.
        boot_id: u32,
    },
    /// An engine no longer exists, and its memory with it.
    EndpointGone(EndpointName),
    /// Crash scores from other groups.
    Scores(Vec<Score>),
    /// Requests the group's state for a dump.
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

    /// Sends an input to the group, waiting while its queue is full.
    pub async fn feed(&self, input: GroupInput) {
        // The task ends only with the process.
        let _ = self.inputs.send(input).await;
    }

    /// Serves an entry VM's request. Returns `None` if the store is shutting down.
    pub async fn ask(&self, from: VmId, request: Request) -> Option<Reply> {
        let (reply, answer) = oneshot::channel();
        self.feed(GroupInput::Request { from, request, reply }).await;
        answer.await.ok()
    }

    /// Returns the group's state for a dump, or `None` if the store is shutting down.
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
            GroupInput::VmRuns { vm, boot_id } => Some(Input::VmRuns { vm, boot_id }),
            GroupInput::EndpointGone(endpoint) => Some(Input::EndpointGone { endpoint }),
            GroupInput::Scores(scores) => Some(Input::Scores { scores }),
            GroupInput::Dump(sender) => {
                // The caller may have given up.
                let _ = sender.send(self.dump());
                None
            }
        }
    }

    /// Records a program's latency when its caller ends it, on the leader only.
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
                slog::info!(self.context.log, "became leader of a program group";
                    "group" => self.group.0, "term" => term.0);
                // The previous leader may not have handled the VMs that are down or were restarted.
                let inputs = self.inputs.clone();
                let (dead, running) = (self.context.dead(), self.context.running());
                tokio::spawn(async move {
                    for vm in dead {
                        let _ = inputs.send(GroupInput::VmGone(vm)).await;
                    }
                    for (vm, boot_id) in running {
                        let _ = inputs.send(GroupInput::VmRuns { vm, boot_id }).await;
                    }
                });
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
                    // A caller that gave up retries.
                    let _ = waiting.send(reply);
                }
            }
            Effect::Release { release } => self.release(release),
            Effect::Cancel { dispatch, vm } => self.context.cancel(dispatch, vm),
            Effect::Scored { score } => self.context.broadcast_score(score),
            Effect::Halt { reason } => slog::crit!(self.context.log,
                "program group stopped: replace this replica's data folder";
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

    /// Frees an engine's memory through an entry VM, and reports the outcome to the group.
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
            "leads": self.leads,
            "running": self.sequencer.state().running(),
        })
    }
}
