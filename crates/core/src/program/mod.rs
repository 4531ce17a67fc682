//! State machine of a program group: turn order, history, budgets, call journal and program ends.
//!
//! [`State`] is replicated and deterministic: it applies log entries and holds everything that must
//! survive a leader change. [`Sequencer`] owns the state of one replica and, while that replica
//! leads, turns requests into proposals and replies. Binding decisions are made when an entry is
//! applied, not when it is proposed, so that the order of the log resolves races. See
//! docs/design/programs.md and docs/design/journal.md.

mod admission;
mod audit;
mod budget;
mod call_request;
mod crashes;
mod deadlines;
mod early_grants;
mod escrow;
mod history;
mod holder;
mod interface;
mod journal;
mod leadership;
mod messages;
mod parked_requests;
mod proposals;
mod quarantine;
mod replies;
mod sequencer;
mod settings;
mod settlement;
mod snapshot;
mod state;

pub use audit::{Leak, find_leaks};
pub use budget::{Amounts, BudgetExceeded};
pub use interface::{Effect, Input, ProposalId, RequestToken};
pub use messages::{HistoryConflict, Prompt, compare_history, parse_messages};
pub use replies::refused;
pub use sequencer::Sequencer;
pub use settings::{Safeguards, Settings};
pub use snapshot::RestoreError;
pub use state::{
    Applied, Attempt, CallKey, Phase, ProgramKey, QualifiedName, RunningDispatch, State,
};

/// Separates a child's id from its ancestors' in a program id.
pub const CHILD_SEPARATOR: char = '/';

/// Returns the id of the root program: the part before the first separator.
///
/// A child's id is `<root>/<suffix>`, and the slot is computed from the root alone. A program and
/// its descendants therefore share one group, whose log orders all reservations against their
/// budgets.
pub fn root_of(program: &str) -> &str {
    program.split(CHILD_SEPARATOR).next().unwrap_or(program)
}
