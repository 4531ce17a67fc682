//! The control group on this store: bundles, endpoints, and configuration and order leases.

mod endpoints;
mod order_lease;
mod suspects;

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
use gypsumglade_core::wire::control::{
    Answer, Command, ConfirmReply, ConfirmRequest, Unavailable, Update,
};
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use gypsumglade_core::wire::operator::control_request::Body as RequestBody;
use gypsumglade_core::wire::operator::{
    ContentQuery, ControlReply, ControlRequest, CurrentContent, NotLeader, Status, StatusQuery,
    Uncertain, VmState,
};
use prost::Message as _;
use tokio::sync::{mpsc, watch};

use super::context::StoreContext;
use super::pending_answers::PendingAnswers;
use super::program_group::GroupInput;
use crate::replica::{Event, ProposeError, ReadError};
pub(super) use endpoints::no_update;
use endpoints::{LastAnnounced, Watched};
use suspects::TrialState;

/// The control group's state machine on one store, and the leases that it grants while it leads.
pub struct ControlGroup {
    context: Arc<StoreContext>,
    keys: OperatorKeys,
    lease: LeaseSettings,
    state: Mutex<ControlState>,
    /// Sequence numbers of the last changes that entry VMs wait for.
    watched: watch::Sender<Watched>,
}

struct ControlState {
    control: Control,
    answers: PendingAnswers<Answer>,
    role: Role,
    last_announced: LastAnnounced,
    /// Renewals of the order lease; set by the first request for it to this leader.
    order_grants: Option<OrderGrants>,
    /// Trials of suspected requests; used while this store leads.
    trials: TrialState,
}

/// Longest delay of an order's answer until its revision is in force: about one renewal interval.
/// Operators turn to another store after a second.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which [`ControlGroup::await_in_force`] checks the leases.
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
            trials: TrialState::start(None, context.clock.now()),
        };
        let (watched, state) = (watch::Sender::default(), Mutex::new(state));
        Arc::new(ControlGroup { context, keys, lease, state, watched })
    }

    /// Applies replication events until the process ends.
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

    /// Serves a command or a status query.
    pub async fn ask(&self, request: ControlRequest) -> ControlReply {
        let body = match request.body {
            Some(RequestBody::Command(command)) => match command.body {
                Some(CommandBody::TakeOrders(take)) => self.take_order_lease(take).await,
                Some(CommandBody::Register(register)) => self.register(register).await,
                Some(CommandBody::Deregister(deregister)) => self.deregister(deregister).await,
                Some(CommandBody::Crash(crash)) => self.report_crash(crash).await,
                Some(CommandBody::ClearSuspect(clear)) => self.clear_suspect(clear).await,
                Some(CommandBody::BeginTrial(begin)) => self.begin_trial(&begin).await,
                Some(CommandBody::EndTrial(end)) => self.end_trial(&end),
                Some(CommandBody::Renew(renew)) => self.renew_endpoints(&renew),
                _ => self.command(command).await,
            },
            Some(RequestBody::Status(query)) => self.status(&query).await,
            Some(RequestBody::Content(query)) => self.current_content(&query).await,
            None => not_leader(None),
        };
        ControlReply { body: Some(body) }
    }

    /// Renews an entry VM's configuration lease.
    ///
    /// Leadership in the term of the answer is confirmed before the answer is sent. A store that
    /// was paused, or lost leadership and regained it, could otherwise grant a lease next to
    /// another leader's, and a bundle could be reported in force while a VM still acts on the
    /// previous one.
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
            "suspects": dump_suspects(&state),
        })
    }

    /// Returns the answer to a renewal, and the term that it is valid in.
    fn work_out_renewal(&self, request: &ConfirmRequest) -> (ConfirmReply, Option<Term>) {
        let now = self.context.clock.now();
        let mut state = self.state();
        let ControlState { control, role, .. } = &mut *state;
        match role {
            Role::Leader { term, grants } => {
                let length = self.lease.length();
                (serve(control.history(), grants, length, request, now), Some(*term))
            }
            Role::Follower(leader) => {
                let leader = self.context.known_leader(GroupId::CONTROL, *leader);
                (follower_reply(control, request, leader), None)
            }
        }
    }

    async fn command(&self, command: Command) -> ReplyBody {
        if let Some(body) = self.reject_early(&command) {
            return body;
        }
        let command = self.state().control.shorten(command);
        let data = Bytes::from(command.encode_to_vec());
        match self.context.host.propose(GroupId::CONTROL, data).await {
            Ok(index) => match self.answer_at(index).await {
                Some(answer) => {
                    self.await_in_force(&answer).await;
                    ReplyBody::Answer(answer)
                }
                None => ReplyBody::Uncertain(Uncertain {}),
            },
            Err(ProposeError::NotLeader { hint }) => self.redirect(hint),
            Err(_) => ReplyBody::Uncertain(Uncertain {}),
        }
    }

    /// Waits until all VMs with a lease have an accepted revision, up to [`IN_FORCE_TIMEOUT`].
    ///
    /// An acknowledged revision must be in force within seconds, also if this store fails right
    /// after the acknowledgement. VMs that don't have the revision by then would have to wait for a
    /// new leader.
    async fn await_in_force(&self, answer: &Answer) {
        let Some(AnswerBody::Accepted(accepted)) = &answer.body else { return };
        let revision = RevisionNumber(accepted.revision);
        let deadline = self.context.clock.now() + IN_FORCE_TIMEOUT;
        while self.is_pending(revision) && self.context.clock.now() < deadline {
            tokio::time::sleep(IN_FORCE_POLL).await;
        }
    }

    /// Returns `true` if a VM with a lease from this leader may still act on an older revision.
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

    /// Returns the answer to a command that need not or must not be proposed, and `None` for all
    /// others.
    fn reject_early(&self, command: &Command) -> Option<ReplyBody> {
        let state = self.state();
        if let Role::Follower(leader) = state.role {
            return Some(self.redirect(leader));
        }
        state.control.check(command, &self.keys).err().map(ReplyBody::Answer)
    }

    fn redirect(&self, leader: Option<VmId>) -> ReplyBody {
        not_leader(self.context.known_leader(GroupId::CONTROL, leader))
    }

    /// Waits until the entry at `index` is applied here and returns its answer, if it is known.
    async fn answer_at(&self, index: LogIndex) -> Option<Answer> {
        let found = self.state().answers.lookup(index);
        found.wait().await
    }

    async fn status(&self, query: &StatusQuery) -> ReplyBody {
        if let Err(ReadError::NotLeader { hint }) =
            self.context.host.read_barrier(GroupId::CONTROL).await
        {
            return self.redirect(hint);
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

    async fn current_content(&self, query: &ContentQuery) -> ReplyBody {
        if let Err(ReadError::NotLeader { hint }) =
            self.context.host.read_barrier(GroupId::CONTROL).await
        {
            return self.redirect(hint);
        }
        let state = self.state();
        let Role::Leader { .. } = &state.role else { return not_leader(None) };
        let history = state.control.history();
        let update = history.update(RevisionNumber(query.known));
        ReplyBody::Content(CurrentContent { revision: history.number().0, update })
    }

    fn become_leader(&self, term: Term) {
        slog::info!(self.context.log, "became leader of the control group"; "term" => term.0);
        let now = self.context.clock.now();
        let grants = ConfigGrants::for_leader(self.lease, now);
        let mut state = self.state();
        state.role = Role::Leader { term, grants: Box::new(grants) };
        state.order_grants = None;
        state.last_announced = LastAnnounced::default();
        state.trials = TrialState::start(state.control.suspects().time(), now);
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
                    slog::crit!(self.context.log, "control group snapshot cannot be read; \
                        replace this store's data folder"; "error" => %error);
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

    /// Sends the current revision to the program groups, so that they grant nothing under an older
    /// one.
    async fn notify_groups(&self) {
        let found = self.state().control.current().cloned();
        let Some(revision) = found else { return };
        let bundle = Bundle::parse(&revision.content);
        let lifted = bundle.map(|bundle| lifted(&bundle)).unwrap_or_default();
        let number = revision.number;
        let input = || GroupInput::Config { revision: number, lifted: lifted.clone() };
        self.context.feed_all(input).await;
    }

    /// Wakes the tasks that wait for a change of endpoints or suspected requests.
    fn notify_watchers(&self, state: &ControlState) {
        self.watched.send_replace(Watched {
            endpoints: state.control.endpoints().change(),
            suspects: state.control.suspects().change(),
        });
    }

    /// Returns the number of the revision that this store has applied, which is zero on a store
    /// without a replica.
    pub(super) fn applied_revision(&self) -> RevisionNumber {
        self.state().control.history().number()
    }

    /// Returns the revision `wanted` if this store has applied it, or can compute it from the update.
    pub(super) fn resolve(
        &self,
        wanted: RevisionNumber,
        update: Option<Update>,
    ) -> Option<Revision> {
        let state = self.state();
        let history = state.control.history();
        let found = history.find(wanted).or_else(|| history.resolve(update?))?;
        (found.number == wanted).then_some(found)
    }

    /// Returns `true` while this store leads the group.
    pub(super) fn leads(&self) -> bool {
        matches!(self.state().role, Role::Leader { .. })
    }

    /// Returns `true` if a store is retiring, according to the log applied here.
    pub fn is_retiring(&self, vm: VmId) -> bool {
        self.state().control.is_retiring(vm)
    }

    /// Returns the retiring stores, according to the log applied here.
    pub(super) fn retiring(&self) -> Vec<u32> {
        self.state().control.retiring().map(|vm| vm.0).collect()
    }

    fn state(&self) -> MutexGuard<'_, ControlState> {
        self.state.lock().expect("no panic while held")
    }
}

fn dump_suspects(state: &ControlState) -> Vec<serde_json::Value> {
    let all = state.control.suspects().all();
    let dump = all.iter().map(|suspect| {
        serde_json::json!({
            "digest": hex::encode(&suspect.digest),
            "crashes": suspect.crashes,
            "quarantine_ms": suspect.quarantine_ms,
        })
    });
    dump.collect()
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

/// Answers a renewal on a follower.
///
/// Only the leader grants leases, but every applied revision is committed, so a follower may send a
/// newer one. Without a leader, VMs would otherwise act on an older revision until their leases
/// expire.
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
