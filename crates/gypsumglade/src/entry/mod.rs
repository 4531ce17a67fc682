//! Entry daemon: the callers' interface, dispatch to endpoints and endpoint announcements.
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
mod quota;
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
pub(crate) use serve::listener_options;
pub use serve::{Entry, EntryAddresses};
use state::EntryState;

/// Returns a globally unique id.
fn unique_id(state: &EntryState) -> String {
    format!("{}-{:032x}", state.vm.0, rand::rng().random::<u128>())
}

/// Returns the hash that identifies a program in cache events and routing.
fn program_hash(org: &str, program: &str) -> u64 {
    xxh3_64(format!("{org}/{program}").as_bytes())
}

/// Returns the default class of an agent's calls, from the bundle.
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

/// Checks that a child's id starts with its parent's, so that both are in the same program group.
fn check_parent(program: &str, parent: Option<&str>) -> Result<(), Problem> {
    let Some(parent) = parent else { return Ok(()) };
    let suffix = program.strip_prefix(parent).and_then(|rest| rest.strip_prefix('/'));
    if suffix.is_some_and(|suffix| !suffix.is_empty()) {
        return Ok(());
    }
    let message = format!("x-program-id must be `{parent}/<name>` for a child of {parent:?}");
    Err(Problem::not_run(ProblemKind::BadRequest, message))
}

/// Returns true if `revision`, under which a call was read, is still active on this VM.
///
/// Checked before a grant is requested and again when it arrives: the call may have been queued,
/// or the process paused, until the configuration lease expired. A roll then goes on without this
/// VM, while a store that lags behind may still grant under the older revision.
///
/// # Errors
/// Fails when the configuration lease has expired.
fn is_active_revision(state: &EntryState, revision: RevisionNumber) -> Result<bool, Problem> {
    Ok(state.config.active(state.clock.now())?.revision == revision)
}

/// Returns the problem of a call whose program group did not answer.
///
/// A call under a caller's own key may have run in an earlier request, so its outcome is unknown.
/// Any other call did not run: a grant that never reached this VM is not used.
fn no_quorum(resent: bool) -> Problem {
    let message =
        "the program group did not answer: an earlier turn is missing or running, or no quorum";
    let problem = match resent {
        true => Problem::unknown(message),
        false => Problem::not_run(ProblemKind::Unavailable, message),
    };
    problem.retry_after(GROUP_RETRY_MS)
}

/// Retry-After when no replica of a group answered.
const GROUP_RETRY_MS: u64 = 1_000;

fn route_retry_ms(error: &RouteError) -> u64 {
    let (RouteError::NoEndpoint { retry_after, .. }
    | RouteError::NoneAvailable { retry_after, .. }) = error;
    u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX)
}

/// Records the outcome of a dispatch in the program group.
///
/// # Errors
/// Fails with an unknown outcome when no quorum records it before the timeout.
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
        Ok(ReplyBody::Refused(refused)) => Err(Problem::unknown(format!(
            "the program group refused the outcome: {}",
            refused.detail
        ))),
        Ok(_) | Err(_) => {
            Err(Problem::unknown("no quorum of the program group recorded the outcome"))
        }
    }
}
