//! The control group on this store: bundles and configuration leases.

mod endpoints;
mod order_lease;

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use gypsumglade_core::bundle::{Bundle, OperatorKeys};
use gypsumglade_core::control::{Control, Revision};
use gypsumglade_core::lease::{ConfigGrants, InForce, LeaseSettings, serve};
use gypsumglade_core::orders::OrderGrants;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Term};
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::confirm_reply::Body as ConfirmBody;
use gypsumglade_core::wire::control::{Answer, Command, ConfirmReply, ConfirmRequest, Unavailable};
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use gypsumglade_core::wire::operator::{
    ControlReply, ControlRequest, NotLeader, Status, StatusQuery, Uncertain, VmState,
};
use prost::Message as _;
use tokio::sync::{mpsc, watch};

use super::context::StoreContext;
use super::pending_answers::PendingAnswers;
use super::program_group::GroupInput;
use crate::replica::{Event, ProposeError};
use endpoints::LastAnnounced;

/// The control group's state on one store, and its leases while it leads.
pub struct ControlGroup {
    context: Arc<StoreContext>,
    keys: OperatorKeys,
    lease: LeaseSettings,
    state: Mutex<ControlState>,
    /// Number of the last change to the endpoints.
    endpoint_changes: watch::Sender<u64>,
    /// Number of the revision that this store has applied.
    applied_revision: watch::Sender<u64>,
}

struct ControlState {
    control: Control,
    answers: PendingAnswers<Answer>,
    role: Role,
    last_announced: LastAnnounced,
    /// Renewals of the order lease, from this leader's first asker on.
    order_grants: Option<OrderGrants>,
}

/// Longest wait of a reader for a follower to apply what the leader has committed: several
/// heartbeats.
const APPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest wait of an order's answer for the VMs to have its revision: a renewal's interval, and some
/// time for the answer to get there. Operators count answers from a second on.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two looks at which VMs have it.
const IN_FORCE_POLL: Duration = Duration::from_millis(20);

enum Role {
    Leader { term: Term, grants: Box<ConfigGrants> },
    Follower(Option<VmId>),
}

impl ControlGroup {
    /// Creates the group's state machine, empty until the log is delivered.
    pub fn new(
        context: Arc<StoreContext>,
        keys: OperatorKeys,
        lease: LeaseSettings,
    ) -> Arc<ControlGroup> {
        let state = ControlState {
            control: Control::new(),
            answers: PendingAnswers::default(),
            role: Role::Follower(None),
            last_announced: LastAnnounced::default(),
            order_grants: None,
        };
        let (endpoint_changes, applied_revision) = (watch::Sender::new(0), watch::Sender::new(0));
        let state = Mutex::new(state);
        Arc::new(ControlGroup { context, keys, lease, state, endpoint_changes, applied_revision })
    }

    /// Applies the log's news until the process ends.
    pub async fn run(self: Arc<Self>, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Leader { term, .. } => self.become_leader(term),
                Event::Follower { leader, .. } => self.state().role = Role::Follower(leader),
                Event::Committed { index, data, .. } => self.apply_committed(index, &data).await,
                Event::Restore { index, data, .. } => self.restore(index, &data).await,
                Event::NeedSnapshot { .. } => self.take_snapshot(),
                Event::Failed { .. } => {}
            }
        }
    }

    /// Serves an operator's command or question.
    pub async fn ask(&self, request: ControlRequest) -> ControlReply {
        let body = match request.body {
            Some(RequestBody::Command(command)) => match command.body {
                Some(CommandBody::TakeOrders(take)) => self.take_order_lease(take).await,
                Some(CommandBody::Register(register)) => self.register(register).await,
                Some(CommandBody::Deregister(deregister)) => self.deregister(deregister).await,
                _ => self.command(command).await,
            },
            Some(RequestBody::Status(query)) => self.status(&query).await,
            None => not_leader(None),
        };
        ControlReply { body: Some(body) }
    }

    /// Serves an entry VM that renews its lease.
    ///
    /// Leadership is confirmed after the answer was worked out and before it leaves, and in the
    /// term that the answer was worked out in: a store that was paused, or lost leadership and got
    /// it back, would otherwise grant next to another leader, and a bundle could be called in
    /// force while a VM still acts on the one before.
    pub async fn renew(&self, request: &ConfirmRequest) -> ConfirmReply {
        let (reply, term) = self.work_out_renewal(request);
        let grants = matches!(reply.body, Some(ConfirmBody::Grant(_)));
        if grants && self.context.host.lease_term(GroupId::CONTROL).await != term {
            return unavailable(request, None);
        }
        reply
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state();
        let current = state.control.current();
        serde_json::json!({
            "applied": state.answers.applied(),
            "leads": matches!(state.role, Role::Leader { .. }),
            "revision": current.map(|revision| revision.number),
            "version": current.map(|revision| revision.version.clone()),
            "digest": current.map(|revision| revision.digest.to_string()),
            "order_lease": state.control.order_lease(),
            "groups": state.control.groups(),
            "endpoints": state.control.endpoints().iter().collect::<Vec<_>>(),
        })
    }

    /// Works an answer out, with the term that it holds in.
    fn work_out_renewal(&self, request: &ConfirmRequest) -> (ConfirmReply, Option<Term>) {
        let now = self.context.clock.now();
        let mut state = self.state();
        let ControlState { control, role, .. } = &mut *state;
        match role {
            Role::Leader { term, grants } => {
                let length = self.lease.length();
                (serve(control.history(), grants, length, request, now), Some(*term))
            }
            Role::Follower(leader) => (follower_reply(control, request, *leader), None),
        }
    }

    async fn command(&self, command: Command) -> ReplyBody {
        if let Some(body) = self.reject_early(&command) {
            return body;
        }
        let data = Bytes::from(command.encode_to_vec());
        match self.context.host.propose(GroupId::CONTROL, data).await {
            Ok(index) => match self.answer_at(index).await {
                Some(answer) => {
                    self.await_in_force(&answer).await;
                    ReplyBody::Answer(answer)
                }
                None => ReplyBody::Uncertain(Uncertain {}),
            },
            Err(ProposeError::NotLeader { hint }) => not_leader(hint),
            Err(_) => ReplyBody::Uncertain(Uncertain {}),
        }
    }

    /// Waits until the VMs that renew their leases here have a new revision, or for a moment.
    ///
    /// Once an order is acknowledged, its revision must be in force within seconds. If this store died
    /// right after that, VMs would have to wait for another leader, and followers may not even know
    /// that the revision is committed.
    async fn await_in_force(&self, answer: &Answer) {
        let Some(AnswerBody::Accepted(accepted)) = &answer.body else { return };
        let revision = RevisionNumber(accepted.revision);
        let deadline = self.context.clock.now() + IN_FORCE_TIMEOUT;
        while self.is_pending(revision) && self.context.clock.now() < deadline {
            tokio::time::sleep(IN_FORCE_POLL).await;
        }
    }

    /// Tells whether a VM with a lease of this leader may still act on an older revision.
    fn is_pending(&self, revision: RevisionNumber) -> bool {
        let now = self.context.clock.now();
        match &self.state().role {
            Role::Leader { grants, .. } => match grants.in_force(revision, now) {
                InForce::Yes => false,
                InForce::Waiting(waiting) => !waiting.vms.is_empty(),
            },
            Role::Follower(_) => false,
        }
    }

    /// Answers at once what need not, or must not, go into the log.
    fn reject_early(&self, command: &Command) -> Option<ReplyBody> {
        let state = self.state();
        if let Role::Follower(leader) = state.role {
            return Some(not_leader(leader));
        }
        state.control.check(command, &self.keys).err().map(ReplyBody::Answer)
    }

    /// Waits until the entry at `index` is applied here, and returns its answer.
    async fn answer_at(&self, index: LogIndex) -> Option<Answer> {
        let found = self.state().answers.lookup(index);
        found.wait().await
    }

    async fn status(&self, query: &StatusQuery) -> ReplyBody {
        if self.context.host.read_barrier(GroupId::CONTROL).await.is_err() {
            return not_leader(None);
        }
        let now = self.context.clock.now();
        let state = self.state();
        let Role::Leader { grants, .. } = &state.role else { return not_leader(None) };
        let current = state.control.history().number();
        let revision = if query.revision == 0 { current } else { RevisionNumber(query.revision) };
        let (in_force, waiting, until) = match grants.in_force(revision, now) {
            InForce::Yes => (revision <= current, Vec::new(), now),
            InForce::Waiting(waiting) => (false, waiting.vms, waiting.until),
        };
        let found = state.control.current();
        ReplyBody::Status(Status {
            revision: revision.0,
            current: current.0,
            version: found.map(|found| found.version.to_string()).unwrap_or_default(),
            digest: found.map(|found| found.digest.to_wire()).unwrap_or_default(),
            in_force,
            waiting: waiting.iter().map(|vm| vm.0).collect(),
            wait_ms: until.since(now).as_millis() as u64,
            vms: grants.status(now).iter().map(|vm| vm_state(vm, now)).collect(),
        })
    }

    fn become_leader(&self, term: Term) {
        slog::info!(self.context.log, "leads the control group"; "term" => term.0);
        let now = self.context.clock.now();
        let grants = ConfigGrants::for_leader(self.lease, now);
        let mut state = self.state();
        state.role = Role::Leader { term, grants: Box::new(grants) };
        state.order_grants = None;
        state.last_announced = LastAnnounced::default();
    }

    async fn apply_committed(&self, index: LogIndex, data: &Bytes) {
        let changed = {
            let mut state = self.state();
            let before = state.control.history().number();
            if data.is_empty() {
                state.answers.record(index, None);
                false
            } else {
                // Every entry was encoded by a leader of this group.
                let command = Command::decode(data.clone()).unwrap_or_default();
                let answer = state.control.apply(&command);
                state.answers.record(index, Some(&answer));
                self.notify_watchers(&state);
                state.control.history().number() != before
            }
        };
        if changed {
            self.notify_groups().await;
        }
    }

    async fn restore(&self, index: LogIndex, data: &Bytes) {
        {
            let mut state = self.state();
            match Control::restore(data) {
                Ok(control) => state.control = control,
                Err(error) => {
                    slog::crit!(self.context.log, "a control snapshot cannot be read; replace \
                        this store's data folder"; "error" => %error);
                    return;
                }
            }
            state.answers.restored(index);
            self.notify_watchers(&state);
        }
        self.notify_groups().await;
    }

    fn take_snapshot(&self) {
        if !self.context.begin_snapshot(GroupId::CONTROL) {
            return;
        }
        let (index, data) = {
            let state = self.state();
            (state.answers.applied(), state.control.snapshot())
        };
        self.context.write_snapshot(GroupId::CONTROL, index, data);
    }

    /// Tells the program groups of the revision, so that no grant is given under an older one.
    async fn notify_groups(&self) {
        let found = self.state().control.current().cloned();
        let Some(revision) = found else { return };
        let bundle = Bundle::parse(&revision.content);
        let lifted = bundle.map(|bundle| lifted(&bundle)).unwrap_or_default();
        let number = revision.number;
        let input = || GroupInput::Config { revision: number, lifted: lifted.clone() };
        self.context.feed_all(input).await;
    }

    /// Wakes whoever waits for a change of the endpoints or a revision.
    fn notify_watchers(&self, state: &ControlState) {
        self.endpoint_changes.send_replace(state.control.endpoints().change());
        self.applied_revision.send_replace(state.control.history().number().0);
    }

    /// Returns the current revision once this store has applied `wanted`; `None` if it does not in
    /// time, and nothing in it before the first bundle.
    pub async fn await_revision(&self, wanted: RevisionNumber) -> Option<Option<Revision>> {
        let mut applied_revision = self.applied_revision.subscribe();
        let applied = applied_revision.wait_for(|applied| *applied >= wanted.0);
        tokio::time::timeout(APPLY_TIMEOUT, applied).await.ok()?.ok()?;
        Some(self.state().control.current().cloned())
    }

    /// Tells whether a store is to be emptied, as far as this store has applied the log.
    pub fn is_retiring(&self, vm: VmId) -> bool {
        self.state().control.is_retiring(vm)
    }

    /// Returns the stores that are to be emptied, as far as this store has applied the log.
    pub(super) fn retiring(&self) -> Vec<u32> {
        self.state().control.retiring().map(|vm| vm.0).collect()
    }

    fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().expect("no panic while held")
    }
}

fn lifted(bundle: &Bundle) -> Vec<Bytes> {
    let digests = bundle.quarantine.lift.iter().filter_map(|text| hex::decode(text).ok());
    digests.map(Bytes::from).collect()
}

fn vm_state(vm: &gypsumglade_core::lease::VmStatus, now: Time) -> VmState {
    VmState {
        vm: vm.vm.0,
        confirmed: vm.confirmed.0,
        floor: vm.floor.unwrap_or_default().0,
        lease_ms: vm.until.since(now).as_millis() as u64,
    }
}

fn not_leader(leader: Option<VmId>) -> ReplyBody {
    ReplyBody::NotLeader(NotLeader { leader: leader.unwrap_or_default().0 })
}

/// Answers a VM that asks a store that doesn't lead.
///
/// What a follower has applied is committed, so a newer revision may be told by anyone; only a lease
/// needs the leader. While there is none, VMs would otherwise act on an older revision for as long as
/// their leases last, next to stores that know better.
fn follower_reply(
    control: &Control,
    request: &ConfirmRequest,
    leader: Option<VmId>,
) -> ConfirmReply {
    match control.history().update(RevisionNumber(request.applied)) {
        Some(update) => ConfirmReply { ask: request.ask, body: Some(ConfirmBody::Update(update)) },
        None => unavailable(request, leader),
    }
}

fn unavailable(request: &ConfirmRequest, leader: Option<VmId>) -> ConfirmReply {
    let unavailable = Unavailable { leader: leader.map(|vm| vm.0) };
    ConfirmReply { ask: request.ask, body: Some(ConfirmBody::Unavailable(unavailable)) }
}
