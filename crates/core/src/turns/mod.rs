//! The turn group: turns that callers can continue, and the token budgets of their programs.
//!
//! A caller names the turn that it continues. Several turns may continue the same one, so they form
//! a tree. The group records which turns exist and which stores hold their texts, see
//! docs/design/texts.md. It also counts the tokens of each program, so that all entry VMs share one
//! budget, counts requests towards the rate limits of organisations, and records which engine last
//! read a prompt, so that its cache can be reused. Every
//! replica applies the same commands in the same order, see docs/design/provider.md. The leader also
//! assigns turns to engines, which is not replicated.

mod assign;
mod budget;
mod clock;
mod copies;
mod holders;
mod qualified_id;
mod quota;
mod runs;
mod snapshot;
mod state;
mod tree;

pub use assign::{AssignRequest, Assignment, Assignments, LoadCost, Offer};
pub use budget::BudgetExhausted;
pub use clock::LeaderClock;
pub use copies::{BatchSize, CopySurvey, Limits, Transfer};
pub use holders::preferred_stores;
pub use qualified_id::QualifiedId;
pub use quota::{Grants, LimitReached, LimitUse};
pub use snapshot::RestoreError;
pub use state::{Turns, limited};
pub use tree::{Holding, TurnTree};
