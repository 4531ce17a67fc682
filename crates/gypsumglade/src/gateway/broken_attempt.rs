//! Finds out whether an endpoint ended under a request, and reports it.
//!
//! A broken attempt alone doesn't tell: an answer may be lost on its way, spoiled, or reset together
//! with its connection while the endpoint goes on. An endpoint that has ended refuses connections.

use std::sync::Arc;

use gypsumglade_core::prelude::*;
use tokio::sync::oneshot;

use super::abandoned_attempts::{self, Incarnation};
use super::call::Call;
use super::endpoint_state::{EndpointState, probe};
use super::placement::ActiveDispatch;
use super::state::GatewayState;
use super::suspects::{Run, report_crash};

/// Time for which a retry waits until the crash is recorded: a connection attempt and a commit
/// between regions. A longer wait would cost callers more than the endpoint that it may save.
const REPORT_WAIT: Duration = Duration::from_millis(250);

/// Delay before an endpoint that still accepts connections is probed again. A process that ends
/// closes its connections and its listener one after the other.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// A report on a broken attempt, which continues in the background.
pub(super) struct CrashReport(oneshot::Receiver<()>);

impl CrashReport {
    /// Waits until a crash is recorded, so that a retry of the request respects it. An endpoint that
    /// accepts connections isn't waited for.
    pub(super) async fn finish(self) {
        // The sender is dropped when there is nothing more to wait for, and on a timeout the count
        // of this VM applies.
        let _ = tokio::time::timeout(REPORT_WAIT, self.0).await;
    }
}

/// Ends an attempt that the endpoint broke off after it may have begun to run the request.
pub(super) fn record(
    state: &Arc<GatewayState>,
    call: &Call,
    mut dispatch: ActiveDispatch,
) -> CrashReport {
    let run = Run::of(call, dispatch.started);
    let log = state.log.new(slog::o!("request" => call.head.id.to_string(),
        "route" => call.route.name.to_string(), "digest" => hex::encode(run.digest),
        "parts" => call.digest_summary(),
        "endpoint" => dispatch.name.to_string(), "incarnation" => dispatch.incarnation,
        "ran_ms" => dispatch.started.elapsed().as_millis() as u64,
        "beside" => dispatch.others_in_flight()));
    let ended = Incarnation { name: dispatch.name.clone(), number: dispatch.incarnation };
    let (address, leaving) = (dispatch.address, dispatch.is_leaving());
    let (recorded, report) = oneshot::channel();
    // Another copy of the request must not start before the crash is recorded.
    let trial = dispatch.take_trial();
    dispatch.failed();
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let mut recorded = Some(recorded);
        let mut endpoint = probe(&state, address, leaving).await;
        if endpoint == EndpointState::Running {
            recorded = None;
            tokio::time::sleep(PROBE_DELAY).await;
            endpoint = probe(&state, address, leaving).await;
        }
        state.metrics.broken_attempt(endpoint.name());
        slog::info!(log, "endpoint broke off an attempt"; "state" => endpoint.name());
        if endpoint == EndpointState::Ended {
            abandoned_attempts::report(&state, &ended);
            report_crash(&state, run, &ended).await;
        }
        drop((trial, recorded));
    });
    CrashReport(report)
}
