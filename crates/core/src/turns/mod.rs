//! Turns that callers continue, and the token budgets of their programs.
//!
//! A caller names the turn that it continues, so turns form a tree: several may continue the same
//! one. The group keeps what each turn adds and gives back everything that precedes a new one. It
//! also counts the tokens of each program, so that entry VMs share one budget, and knows which engine
//! read its prompts last, so that they find it. Every replica applies the same commands in the same
//! order; see docs/design/provider.md.

mod budget;
mod runs;
mod snapshot;
mod state;
mod tree;

pub use budget::Spent;
pub use snapshot::RestoreError;
pub use state::Turns;
pub use tree::{History, TurnTree};
