//! State machine of a program group: order, history, budget, journal, ends.
//!
//! Two values make a group. [`State`] is replicated and deterministic: it applies log entries and
//! decides everything that must survive. [`Sequencer`] runs on the leader, owns a state and turns
//! requests into proposals and replies. Every decision is taken when an entry is applied, never
//! when it is proposed, so that the log's order alone settles races. See
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
pub use state::{Applied, Attempt, CallKey, Phase, ProgramKey, QualifiedName, State};

/// Separates a child's id from its ancestors' in a program id.
pub const CHILD_SEPARATOR: char = '/';

/// Returns the root of a program's family: the part of its id before the first separator.
///
/// A child's id is `<root>/<suffix>`, and slots are taken of the root alone. A whole family
/// therefore lives in one group, where one log orders all reservations against its budgets.
pub fn root_of(program: &str) -> &str {
    program.split(CHILD_SEPARATOR).next().unwrap_or(program)
}
