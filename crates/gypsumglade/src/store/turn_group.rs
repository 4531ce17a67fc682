//! The turn group on this store: kept turns and token budgets.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use gypsumglade_core::policy::route::SharedPrefix;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, Term};
use gypsumglade_core::turns::{
    AssignRequest, Assignments, CopySurvey, Grants, Holding, LeaderClock, Limits, LoadCost, Offer,
    Transfer, Turns, limited,
};
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{
    Command, Copied, Draw, Drawn, Granted, KeptQuery, KeptReply, NotLeader, Reply, Uncertain,
};
use prost::Message as _;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::context::StoreContext;
use super::pending_answers::PendingAnswers;
use super::turn_load::TurnLoad;
use crate::clock::Clock;
use crate::replica::{Event, ProposeError, ReadError};

/// Longest time that grants of requests stay with the leader alone. Another command usually takes
/// them along earlier.
const GRANT_DELAY: Duration = Duration::from_millis(50);

/// The turn group's state machine on one store.
pub struct TurnGroup {
    context: Arc<StoreContext>,
    state: Mutex<TurnState>,
    pub(super) load: TurnLoad,
}

#[derive(Default)]
struct TurnState {
    turns: Turns,
    /// Set once this store leads and has applied the entries of earlier leaders.
    leader_clock: Option<LeaderClock>,
    /// True if a snapshot could not be read. The state is incomplete then: a turn that it lacks may
    /// still be kept.
    unusable: bool,
    answers: PendingAnswers<Reply>,
    /// Engines of turns in flight; empty unless this store leads.
    assignments: Assignments,
    /// Requests granted by this leader that the log doesn't have yet.
    grants: Grants,
}

impl TurnState {
    /// Returns `true` if this store can answer for the group.
    fn leads(&self) -> bool {
        self.leader_clock.is_some() && !self.unusable
    }
}

impl TurnGroup {
    /// Creates the group's state machine, empty until the log is delivered.
    pub fn new(context: Arc<StoreContext>) -> Arc<TurnGroup> {
        Arc::new(TurnGroup { context, state: Mutex::default(), load: TurnLoad::default() })
    }

    /// Applies replication events until the process ends.
    pub async fn run(self: Arc<Self>, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Leader { term, .. } => self.become_leader(term),
                Event::Follower { leader, .. } => {
                    self.end_leadership();
                    let leader = leader.map(|vm| vm.0);
                    slog::info!(self.context.log, "became follower in the turn group"; "leader" => leader);
                }
                Event::Committed { index, data, .. } => self.apply_committed(index, data),
                Event::Restore { index, data, .. } => self.restore(index, &data),
                Event::NeedSnapshot { .. } => self.take_snapshot(),
                Event::Failed { .. } => {}
            }
        }
    }

    /// Serves an entry VM's command and answers once it is committed.
    ///
    /// Answers are computed in log order, so the same tokens are never granted to two entry VMs.
    pub async fn ask(self: &Arc<Self>, command: Command) -> Reply {
        self.load.arrived(&command);
        let began = Instant::now();
        let mut reply = self.serve(command).await;
        let took = began.elapsed();
        self.load.answered(took);
        reply.took_ms = Some(took.as_millis().try_into().unwrap_or(u32::MAX));
        reply
    }

    async fn serve(self: &Arc<Self>, mut command: Command) -> Reply {
        if let Some(CommandBody::Draw(draw)) = &command.body {
            return reply(self.draw(draw).await);
        }
        let Some(time) = self.command_time() else {
            // A follower redirects to its leader. A leader without a usable state answers
            // `uncertain`, and has transferred its leadership by the time of a retry.
            return reply(self.not_ready_reply().await);
        };
        set_time(&mut command, time);
        if let Some(CommandBody::Settle(settle)) = &command.body {
            self.state().assignments.release(&settle.turn);
        }
        let request = take_offers(&mut command);
        if let Some(CommandBody::Reserve(reserve)) = &mut command.body {
            reserve.granted = self.state().grants.take();
        }
        match self.propose(command).await {
            Ok(index) => {
                let reply = self.answer_at(index).await;
                self.assign(reply, request)
            }
            Err(ProposeError::NotLeader { hint }) => reply(self.redirect(hint)),
            Err(ProposeError::Dropped | ProposeError::Uncertain) => reply(uncertain()),
        }
    }

    /// Proposes a command. Grants that it reports are kept if it may be lost.
    async fn propose(&self, command: Command) -> Result<LogIndex, ProposeError> {
        let data = Bytes::from(command.encode_to_vec());
        let proposed = self.context.host.propose(GroupId::TURNS, data).await;
        if proposed.is_err() {
            let draws = match command.body {
                Some(CommandBody::Reserve(reserve)) => reserve.granted,
                Some(CommandBody::Granted(granted)) => granted.draws,
                _ => Vec::new(),
            };
            self.state().grants.put_back(draws);
        }
        proposed
    }

    /// Assigns a reserved turn to one of the engines that its entry VM offered.
    fn assign(&self, mut reply: Reply, request: Option<AssignRequest>) -> Reply {
        let (Some(ReplyBody::Reserved(reserved)), Some(mut request)) = (&mut reply.body, request)
        else {
            return reply;
        };
        let ran = reserved.ran.as_ref();
        request.last_run = ran.map(|run| (run.endpoint.to_compact_string(), run.tokens));
        let now = self.context.clock.now();
        let assignment = self.state().assignments.assign(now, &request).unwrap_or_default();
        (reserved.endpoint, reserved.cached) = (assignment.endpoint.into(), assignment.cached);
        reply
    }

    /// Grants a request that isn't a turn, if its organisation's limit allows it.
    async fn draw(self: &Arc<Self>, draw: &Draw) -> ReplyBody {
        if let Err(ReadError::NotLeader { hint }) =
            self.context.host.read_barrier(GroupId::TURNS).await
        {
            return self.redirect(hint);
        }
        let Some(now) = self.command_time() else { return uncertain() };
        let mut state = self.state();
        if !state.leads() {
            return uncertain();
        }
        let pending = state.grants.pending(&draw.organisation);
        if let Err(reached) = state.turns.check_draw(now, draw, pending) {
            return limited(&reached, Some(draw));
        }
        if state.grants.is_empty() {
            tokio::spawn(Arc::clone(self).report_grants());
        }
        state.grants.add(draw);
        ReplyBody::Drawn(Drawn { requests: draw.requests })
    }

    /// Commits the leader's grants, unless another command takes them along first.
    async fn report_grants(self: Arc<Self>) {
        tokio::time::sleep(GRANT_DELAY).await;
        let draws = self.state().grants.take();
        let Some(now_ms) = self.command_time().filter(|_| !draws.is_empty()) else { return };
        let command = Command { body: Some(CommandBody::Granted(Granted { draws, now_ms })) };
        if self.propose(command).await.is_err() {
            slog::warn!(self.context.log, "granted requests not reported to the turn group");
        }
    }

    fn end_leadership(&self) {
        let mut state = self.state();
        state.leader_clock = None;
        state.grants = Grants::default();
        state.assignments = Assignments::default();
    }

    /// Returns the group's time for a command in milliseconds, or `None` if none may be proposed.
    ///
    /// A store without a leader clock returns the latest time in the log, so that the group's time
    /// stands still until a leader has applied the entries of earlier ones.
    fn command_time(&self) -> Option<u64> {
        let state = self.state();
        if state.unusable {
            return None;
        }
        let now = self.context.clock.now();
        state.leader_clock.map(|clock| clock.millis(now)).or_else(|| state.turns.time())
    }

    /// Returns the answer of a store that must not propose: its state is unusable, or it knows
    /// neither a leader clock nor a time in the log.
    async fn not_ready_reply(&self) -> ReplyBody {
        match self.context.host.read_barrier(GroupId::TURNS).await {
            Ok(_) => uncertain(),
            Err(ReadError::NotLeader { hint }) => self.redirect(hint),
        }
    }

    fn redirect(&self, leader: Option<VmId>) -> ReplyBody {
        let leader = self.context.known_leader(GroupId::TURNS, leader).unwrap_or_default().0;
        ReplyBody::NotLeader(NotLeader { leader })
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state();
        serde_json::json!({
            "applied": state.answers.applied(),
            "unusable": state.unusable,
            "turns": state.turns.kept(),
            "programs": state.turns.programs(),
            "assigned": state.assignments.in_flight(),
            "limits": state.turns.limits(),
        })
    }

    /// Returns the number of turns and programs in the state.
    pub fn sizes(&self) -> TurnSizes {
        let state = self.state();
        TurnSizes { turns: state.turns.kept(), programs: state.turns.programs() }
    }

    fn become_leader(&self, term: Term) {
        let unusable = {
            let mut state = self.state();
            let now = self.context.clock.now();
            state.grants = Grants::default();
            state.leader_clock =
                Some(LeaderClock::start(state.turns.time(), Clock::wall_millis(), now));
            state.unusable
        };
        slog::info!(self.context.log, "became leader of the turn group"; "term" => term.0);
        if unusable {
            // Repair retries the transfer if this one fails.
            self.context.host.transfer(GroupId::TURNS, Vec::new());
        }
    }

    async fn answer_at(&self, index: LogIndex) -> Reply {
        let found = self.state().answers.lookup(index);
        found.wait().await.unwrap_or_else(|| reply(uncertain()))
    }

    fn apply_committed(&self, index: LogIndex, data: Bytes) {
        let mut state = self.state();
        if state.unusable {
            return state.answers.record(index, Some(&reply(uncertain())));
        }
        if data.is_empty() {
            return state.answers.record(index, None);
        }
        // Every entry was encoded by a leader of this group.
        let command = Command::decode(data).unwrap_or_default();
        match &command.body {
            Some(CommandBody::Reserve(reserve)) => state.grants.applied(&reserve.granted),
            Some(CommandBody::Granted(granted)) => state.grants.applied(&granted.draws),
            _ => {}
        }
        let reply = state.turns.apply(&command);
        state.answers.record(index, Some(&reply));
    }

    fn restore(&self, index: LogIndex, data: &Bytes) {
        let mut state = self.state();
        match Turns::restore(data) {
            Ok(turns) => (state.turns, state.unusable) = (turns, false),
            Err(error) => {
                (state.turns, state.unusable) = (Turns::default(), true);
                slog::crit!(self.context.log, "turn group snapshot cannot be read; replace \
                    this store's data folder"; "error" => %error);
            }
        }
        state.answers.restored(index);
    }

    /// Takes a snapshot, unless the state is incomplete.
    fn take_snapshot(&self) {
        if self.is_unusable() || !self.context.begin_snapshot(GroupId::TURNS) {
            return;
        }
        let (index, data) = {
            let state = self.state();
            (state.answers.applied(), state.turns.snapshot())
        };
        self.context.write_snapshot(GroupId::TURNS, index, data);
    }

    /// Returns which of these turns are still kept, if this store leads the group.
    pub async fn still_kept(&self, query: &KeptQuery) -> KeptReply {
        self.load.queried();
        let barrier = self.context.host.read_barrier(GroupId::TURNS).await;
        let state = self.state();
        match barrier {
            // Texts of turns that are missing in the reply are dropped, so only a leader with the
            // entries of earlier ones may answer.
            Ok(_) if state.leads() => KeptReply {
                leads: true,
                turns: state.turns.still_kept(&query.turns),
                leader: self.context.vm.0,
            },
            Ok(_) => KeptReply::default(),
            Err(ReadError::NotLeader { hint }) => {
                let leader = self.context.known_leader(GroupId::TURNS, hint);
                KeptReply { leader: leader.unwrap_or_default().0, ..KeptReply::default() }
            }
        }
    }

    /// Returns the next transfers, and the stores that must keep their texts.
    pub(super) fn plan_copies(&self, survey: &CopySurvey, limits: &Limits) -> CopyPlan {
        let state = self.state();
        if state.unusable {
            return CopyPlan::default();
        }
        CopyPlan {
            copies: state.turns.plan_copies(survey, limits),
            required_holders: state.turns.required_holders(survey),
        }
    }

    /// Records the new holders of copied texts. Returns `true` once that is committed.
    pub(super) async fn record_copied(self: &Arc<Self>, copied: &[Holding]) -> bool {
        let turns = copied.iter().map(Holding::to_wire).collect();
        let body = CommandBody::Copied(Copied { turns, now_ms: 0 });
        let reply = self.ask(Command { body: Some(body) }).await;
        matches!(reply.body, Some(ReplyBody::Settled(_)))
    }

    /// Returns `true` if this store leads the group and has applied the entries of earlier leaders.
    pub(super) fn leads(&self) -> bool {
        self.state().leads()
    }

    /// Returns `true` if the state is incomplete, so that another store should lead.
    pub(super) fn is_unusable(&self) -> bool {
        self.state().unusable
    }

    fn state(&self) -> MutexGuard<'_, TurnState> {
        self.state.lock().expect("no panic while held")
    }
}

/// Numbers of turns and programs in the turn group's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnSizes {
    /// Number of kept turns.
    pub turns: usize,
    /// Number of programs with a token budget.
    pub programs: usize,
}

/// Transfers of texts that are on too few stores.
#[derive(Default)]
pub(super) struct CopyPlan {
    pub(super) copies: Vec<Transfer>,
    /// Stores whose texts would be on too few stores without them.
    pub(super) required_holders: BTreeSet<VmId>,
}

/// Removes the offers from a command, which the log doesn't need, and returns them as a request.
fn take_offers(command: &mut Command) -> Option<AssignRequest> {
    let Some(CommandBody::Reserve(reserve)) = &mut command.body else { return None };
    let offers = reserve.offers.take()?;
    let prefixes = reserve.prompts.iter().zip(&offers.tokens);
    let prefixes = prefixes.map(|(&hash, &tokens)| SharedPrefix { hash, tokens }).collect();
    let cost = LoadCost {
        token: Duration::from_nanos(offers.token_ns).as_secs_f64(),
        call: Duration::from_micros(offers.call_us).as_secs_f64(),
        wait: Duration::from_micros(offers.wait_us).as_secs_f64(),
    };
    let offers = offers.offers.into_iter().map(|offer| Offer {
        endpoint: offer.endpoint.into(),
        slots: offer.slots,
        base: Duration::from_micros(offer.base_us).as_secs_f64(),
        cached: offer.cached,
    });
    Some(AssignRequest {
        turn: reserve.turn.to_compact_string(),
        offers: offers.collect(),
        prefixes,
        last_run: None,
        cost,
        lasts: Duration::from_millis(reserve.lasts_ms),
    })
}

/// Sets the time of a command to the leader's, so that entry VMs' clocks don't matter.
fn set_time(command: &mut Command, now: u64) {
    match &mut command.body {
        Some(CommandBody::Reserve(reserve)) => reserve.now_ms = now,
        Some(CommandBody::Settle(settle)) => settle.now_ms = now,
        Some(CommandBody::Copied(copied)) => copied.now_ms = now,
        Some(CommandBody::Granted(granted)) => granted.now_ms = now,
        Some(CommandBody::Draw(_)) | None => {}
    }
}

fn reply(body: ReplyBody) -> Reply {
    Reply { body: Some(body), ..Reply::default() }
}

fn uncertain() -> ReplyBody {
    ReplyBody::Uncertain(Uncertain {})
}
