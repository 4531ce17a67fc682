//! The entry daemon: callers' interface, dispatch and endpoint announcements.
//!
//! docs/ARCHITECTURE.md follows one call through these modules.

pub mod active_bundle;
pub mod admit;
pub mod announce;
pub mod answer;
pub mod call;
pub mod callers;
pub mod chat_request;
pub mod config;
pub mod endpoint_client;
pub mod groups;
mod leak_audit;
mod membership_loop;
mod model_version;
mod newer_revision;
mod order_holder;
mod peer_calls;
pub mod problem;
mod retrying;
mod serve;
pub mod sse;
pub mod state;
pub mod tool;
pub mod turn;
pub mod turn_call;
mod turn_dispatch;
mod turn_settlement;
pub mod waiting_caller;

use gypsumglade_core::bundle::{Agent, AgentBudget, Class as BundleClass, EndpointPattern};
use gypsumglade_core::policy::route::RouteError;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::common::Class;
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::program::{Budget, Request, Settle};
use rand::RngExt as _;
use xxhash_rust::xxh3::xxh3_64;

use problem::{Problem, ProblemKind};
pub use serve::{Entry, EntryAddresses, listener_options};
use state::EntryState;

/// Returns an id that no other process and no other moment gives.
fn unique_id(state: &EntryState) -> String {
    format!("{}-{:032x}", state.vm.0, rand::rng().random::<u128>())
}

/// Returns the hash under which cache events and routing know a program.
fn program_hash(org: &str, program: &str) -> u64 {
    xxh3_64(format!("{org}/{program}").as_bytes())
}

/// Returns the urgency that the bundle gives an agent program.
fn class_of(agent: &Agent) -> Class {
    match agent.class {
        BundleClass::Normal => Class::Normal,
        BundleClass::Urgent => Class::Urgent,
    }
}

fn call_budget(budget: &AgentBudget) -> Budget {
    Budget {
        tokens: budget.tokens,
        calls: budget.calls,
        millis: budget.millis,
        micros: budget.micros,
    }
}

fn matches_any(patterns: &[EndpointPattern], endpoint: &str) -> bool {
    patterns.iter().any(|pattern| pattern.matches(endpoint))
}

/// Checks that a child's id starts with its parent's, so that both share a program group.
fn check_parent(program: &str, parent: Option<&str>) -> Result<(), Problem> {
    let Some(parent) = parent else { return Ok(()) };
    let suffix = program.strip_prefix(parent).and_then(|rest| rest.strip_prefix('/'));
    if suffix.is_some_and(|suffix| !suffix.is_empty()) {
        return Ok(());
    }
    let message = format!("x-program-id must be `{parent}/<name>` for a child of {parent:?}");
    Err(Problem::not_run(ProblemKind::BadRequest, message))
}

/// Tells whether this VM acts on the revision that a call was read under, at this moment.
///
/// It is asked before a grant is asked for and again when it is there: the call may have waited in
/// a queue, or the process been paused, beyond its lease. A roll counts a silent VM's lease as
/// over by then, and a store that lags behind might still grant under the older revision.
///
/// # Errors
/// Refuses when the lease is out.
fn is_active_revision(state: &EntryState, revision: RevisionNumber) -> Result<bool, Problem> {
    Ok(state.config.active(state.clock.now())?.revision == revision)
}

/// Tells that no quorum answered. A call under a caller's own key may have been sent before, and
/// then only the program's group knows what became of it; any other was not run, since a grant
/// that this VM never learnt of is never used.
fn no_quorum(resent: bool) -> Problem {
    let message =
        "the program's group gave no answer: an earlier turn is missing or under way, or no quorum";
    let problem = match resent {
        true => Problem::unknown(message),
        false => Problem::not_run(ProblemKind::Unavailable, message),
    };
    problem.retry_after(GROUP_RETRY_MS)
}

/// When to come back after no replica of a group answered.
const GROUP_RETRY_MS: u64 = 1_000;

fn route_retry_ms(error: &RouteError) -> u64 {
    let (RouteError::NoEndpoint { retry_after, .. }
    | RouteError::NoneAvailable { retry_after, .. }) = error;
    u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX)
}

/// Makes an outcome durable at the program's group.
///
/// # Errors
/// Fails when no quorum took it in time; the caller then learns `unknown`.
async fn settle(
    state: &EntryState,
    org: &str,
    program: &str,
    settle: Settle,
    timeout: Duration,
) -> Result<(), Problem> {
    let request = Request { body: Some(RequestBody::Settle(settle)) };
    match state.groups.ask(org, program, &request, timeout).await {
        Ok(ReplyBody::Done(_) | ReplyBody::Recorded(_)) => Ok(()),
        Ok(ReplyBody::Refused(refused)) => {
            Err(Problem::unknown(format!("the outcome was refused: {}", refused.detail)))
        }
        Ok(_) | Err(_) => {
            Err(Problem::unknown("no quorum of the program's group took the outcome"))
        }
    }
}
