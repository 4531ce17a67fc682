//! Leak audit: frees engine memory that no running program needs.
//!
//! Each end of a program releases its memory, but a release can be missed: the program's record
//! may not name the engine, or the engine may have taken a call that bypassed this system. So the
//! home VM of each engine compares what the engine holds with what the program groups know.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bytes::Bytes;
use futures::future::join_all;
use gypsumglade_core::policy::registry::{EndpointKind, home};
use gypsumglade_core::prelude::*;
use gypsumglade_core::program::QualifiedName;
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::program::{Audit, Release, Request};
use tokio_util::sync::CancellationToken;

use super::state::EntryState;
use crate::store::ReleaseAnswer;

/// Interval between audits; leaked memory is freed after the second audit that finds it.
const AUDIT_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a request to a program group; a group without a leader is asked in the next round.
const GROUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Path at which an engine lists the programs that it holds memory for.
const PROGRAMS_PATH: &str = "/v1/programs";

/// Entry of an engine's list; other members are ignored.
#[derive(Debug, Deserialize)]
struct HeldMemory {
    /// Program as `organisation/program`, taken from the calls' headers.
    program: CompactString,
}

/// An engine that this VM audits.
struct AuditedEngine {
    name: EndpointName,
    address: CompactString,
}

/// Possible leaks of each engine, found in the previous round.
type Suspects = HashMap<EndpointName, HashSet<QualifiedName>>;

/// Audits the engines that this VM is the home of, until shutdown.
pub(super) async fn run(state: Arc<EntryState>, halt: CancellationToken) {
    let mut suspects = Suspects::new();
    loop {
        tokio::select! {
            () = halt.cancelled() => return,
            () = tokio::time::sleep(AUDIT_INTERVAL) => {}
        }
        suspects = audit_round(&state, &suspects).await;
    }
}

/// Audits each engine once and returns the possible leaks.
///
/// Memory is freed only when two rounds in a row find it unused, since one can be wrong: a replaced
/// leader that has not noticed yet doesn't know recent programs. A wrong release would only cost
/// a repeated prefill, never a wrong answer.
async fn audit_round(state: &EntryState, previous: &Suspects) -> Suspects {
    let audits = engines_to_audit(state).into_iter().map(async |engine| {
        let found = find_leaks(state, &engine).await?;
        let repeated = previous.get(&engine.name);
        for name in
            found.iter().filter(|name| repeated.is_some_and(|repeated| repeated.contains(*name)))
        {
            free_memory(state, &engine, name).await;
        }
        Some((engine.name, found))
    });
    join_all(audits).await.into_iter().flatten().collect()
}

/// Returns the engines that this VM is the home of.
fn engines_to_audit(state: &EntryState) -> Vec<AuditedEngine> {
    let mut live: Vec<VmId> = state.directory.entries().iter().map(|entry| entry.vm).collect();
    if live.is_empty() {
        live.push(state.vm);
    }
    let routing = state.routing();
    let endpoints = routing.registry.iter().map(|(_, endpoint)| endpoint);
    let engines = endpoints.filter(|endpoint| matches!(endpoint.kind, EndpointKind::Engine { .. }));
    let own = engines.filter(|engine| home(&engine.name, &live) == Some(state.vm));
    own.map(|engine| AuditedEngine { name: engine.name.clone(), address: engine.address.clone() })
        .collect()
}

/// Returns the programs whose memory the engine holds without need, or `None` if it didn't report.
async fn find_leaks(state: &EntryState, engine: &AuditedEngine) -> Option<HashSet<QualifiedName>> {
    let mut groups: HashMap<GroupId, Vec<QualifiedName>> = HashMap::new();
    for name in held_programs(state, engine).await? {
        let group = state.groups.group_of(&name.org, &name.program);
        groups.entry(group).or_default().push(name);
    }
    let asked = groups.into_values().map(|names| ask_group(state, engine, names));
    Some(join_all(asked).await.into_iter().flatten().collect())
}

/// Returns the programs that an engine holds memory for. Skips names without an organisation,
/// which don't come from this system.
async fn held_programs(state: &EntryState, engine: &AuditedEngine) -> Option<Vec<QualifiedName>> {
    let timeout = state.settings.timeouts.peer();
    let asked = state.endpoints.control(
        http::Method::GET,
        &engine.address,
        PROGRAMS_PATH,
        Bytes::new(),
        timeout,
    );
    let (status, body) = asked.await.ok()?;
    if !status.is_success() {
        return None;
    }
    let reported: Vec<HeldMemory> = serde_json::from_slice(&body).ok()?;
    let names = reported.iter().filter_map(|memory| memory.program.split_once('/'));
    Some(
        names
            .map(|(org, program)| QualifiedName { org: org.into(), program: program.into() })
            .collect(),
    )
}

/// Returns those of a group's programs that need no memory, or none if the group doesn't answer.
async fn ask_group(
    state: &EntryState,
    engine: &AuditedEngine,
    names: Vec<QualifiedName>,
) -> Vec<QualifiedName> {
    let Some(first) = names.first() else { return Vec::new() };
    let audit = Audit {
        endpoint: engine.name.to_string(),
        programs: names.iter().map(QualifiedName::to_wire).collect(),
    };
    let request = Request { body: Some(RequestBody::Audit(audit)) };
    match state.groups.ask(&first.org, &first.program, &request, GROUP_TIMEOUT).await {
        Ok(ReplyBody::Leaks(leaks)) => {
            leaks.programs.iter().map(|program| QualifiedName::from_wire(Some(program))).collect()
        }
        Ok(_) | Err(_) => Vec::new(),
    }
}

/// Asks an engine to free the memory of a program. The next round finds it again if this fails.
async fn free_memory(state: &EntryState, engine: &AuditedEngine, name: &QualifiedName) {
    let release = Release { program: Some(name.to_wire()), endpoint: engine.name.to_string() };
    if state.release_memory(&release).await == ReleaseAnswer::Freed {
        slog::warn!(state.log, "freed leaked memory on an engine";
            "engine" => %engine.name, "org" => %name.org, "program" => %name.program);
    }
}
