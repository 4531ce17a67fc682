//! Turns that callers continue, and the token budgets of their programs.
//!
//! A caller names the turn that it continues, so turns form a tree: several may continue the same
//! one. The group keeps which turns there are and which stores hold their texts, see
//! docs/design/texts.md. It also counts the tokens of each program, so that entry VMs share one budget,
//! and knows which engine read its prompts last, so that they find it. Every replica applies the same
//! commands in the same order; see docs/design/provider.md.

mod budget;
mod clock;
mod copies;
mod holders;
mod runs;
mod snapshot;
mod state;
mod tree;

pub use budget::BudgetExhausted;
pub use clock::LeaderClock;
pub use copies::{BatchSize, CopySurvey, Limits, Transfer};
pub use holders::preferred_stores;
pub use snapshot::RestoreError;
pub use state::Turns;
pub use tree::{Holding, TurnTree};
