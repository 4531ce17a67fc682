//! The turn group on this store: kept turns and token budgets.

use std::sync::{Arc, Mutex, MutexGuard};

use bytes::Bytes;
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::LogIndex;
use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body as CommandBody;
use gypsumglade_core::wire::turn::reply::Body as ReplyBody;
use gypsumglade_core::wire::turn::{Command, NotLeader, Reply, TextQuery, Texts, Uncertain};
use prost::Message as _;
use tokio::sync::mpsc;

use super::answers::Answers;
use super::context::StoreContext;
use crate::clock::Clock;
use crate::replica::{Event, ProposeError};

/// The turn group's state on one store.
pub struct TurnGroup {
    context: Arc<StoreContext>,
    state: Mutex<TurnState>,
}

#[derive(Default)]
struct TurnState {
    turns: Turns,
    answers: Answers<Reply>,
}

impl TurnGroup {
    /// Creates the group's state machine, empty until the log is delivered.
    pub fn new(context: Arc<StoreContext>) -> Arc<TurnGroup> {
        Arc::new(TurnGroup { context, state: Mutex::default() })
    }

    /// Applies the log's news until the process ends.
    pub async fn run(self: Arc<Self>, mut events: mpsc::Receiver<Event>) {
        while let Some(event) = events.recv().await {
            match event {
                Event::Leader { term, .. } => {
                    slog::info!(self.context.log, "leads the turn group"; "term" => term.0);
                }
                Event::Follower { leader, .. } => {
                    let leader = leader.map(|vm| vm.0);
                    slog::info!(self.context.log, "follows in the turn group"; "leader" => leader);
                }
                Event::Committed { index, data, .. } => self.committed(index, data),
                Event::Restore { index, data, .. } => self.restore(index, &data),
                Event::NeedSnapshot { .. } => self.snapshot().await,
                Event::Failed { .. } => {}
            }
        }
    }

    /// Serves an entry VM's command. The answer comes once the command is committed, and is worked
    /// out where it stands in the log, so no two entry VMs are given the same tokens.
    pub async fn ask(&self, mut command: Command) -> Reply {
        stamp(&mut command, Clock::wall_millis());
        let data = Bytes::from(command.encode_to_vec());
        let body = match self.context.host.propose(GroupId::TURNS, data).await {
            Ok(index) => return self.answer_at(index).await,
            Err(ProposeError::NotLeader { hint }) => {
                ReplyBody::NotLeader(NotLeader { leader: hint.unwrap_or_default().0 })
            }
            Err(ProposeError::Dropped | ProposeError::Uncertain) => uncertain(),
        };
        Reply { body: Some(body) }
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> serde_json::Value {
        let state = self.state();
        serde_json::json!({
            "applied": state.answers.applied(),
            "turns": state.turns.kept(),
            "textless": state.turns.lacking("", usize::MAX).len(),
            "programs": state.turns.programs(),
        })
    }

    /// Returns how much the state holds.
    pub fn sizes(&self) -> TurnSizes {
        let state = self.state();
        TurnSizes { turns: state.turns.kept(), programs: state.turns.programs() }
    }

    async fn answer_at(&self, index: LogIndex) -> Reply {
        let found = self.state().answers.lookup(index);
        found.wait().await.unwrap_or_else(|| Reply { body: Some(uncertain()) })
    }

    fn committed(&self, index: LogIndex, data: Bytes) {
        let mut state = self.state();
        if data.is_empty() {
            return state.answers.note(index, None);
        }
        // Every entry was encoded by a leader of this group.
        let command = Command::decode(data).unwrap_or_default();
        let reply = state.turns.apply(&command);
        state.answers.note(index, Some(&reply));
    }

    fn restore(&self, index: LogIndex, data: &Bytes) {
        let mut state = self.state();
        match Turns::restore(data) {
            Ok(turns) => state.turns = turns,
            Err(error) => {
                slog::crit!(self.context.log, "a turn snapshot cannot be read; replace this \
                    store's data folder"; "error" => %error);
                return;
            }
        }
        state.answers.restored(index);
    }

    /// Takes a snapshot. Other stores are sent one without text, and fetch that later.
    pub(super) async fn snapshot(&self) {
        let (index, data, sent) = {
            let state = self.state();
            (state.answers.applied(), state.turns.snapshot(), state.turns.snapshot_textless())
        };
        self.context.host.snapshot_sending(GroupId::TURNS, index, data, sent).await;
    }

    /// Returns turns whose text this store does not have, from the one after `after` on.
    pub(super) fn lacking(&self, after: &str, most: usize) -> Vec<CompactString> {
        self.state().turns.lacking(after, most)
    }

    /// Tells whether this store has all that a member of the group has.
    pub(super) fn is_complete(&self) -> bool {
        let state = self.state();
        state.answers.applied() > LogIndex(0) && state.turns.lacking("", 1).is_empty()
    }

    /// Returns the text that another store asks for.
    pub fn texts(&self, query: &TextQuery) -> Texts {
        self.state().turns.texts(query)
    }

    /// Takes text that another store had.
    pub(super) fn fill(&self, texts: Texts) {
        self.state().turns.fill(texts);
    }

    fn state(&self) -> MutexGuard<'_, TurnState> {
        self.state.lock().expect("no panic while held")
    }
}

/// How much the turn group's state holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TurnSizes {
    /// Kept turns.
    pub turns: usize,
    /// Programs with a token budget.
    pub programs: usize,
}

/// Sets the wall clock of a command. The leader's counts, so that entry VMs' clocks don't matter.
fn stamp(command: &mut Command, now: u64) {
    match &mut command.body {
        Some(CommandBody::Reserve(reserve)) => reserve.now_ms = now,
        Some(CommandBody::Settle(settle)) => settle.now_ms = now,
        None => {}
    }
}

fn uncertain() -> ReplyBody {
    ReplyBody::Uncertain(Uncertain {})
}
