//! Leak audit: has engines free memory that no program under way needs.
//!
//! Releases follow each end of a program, yet a release can be lost for good: when its program's
//! record never named the engine, or the engine took a call without the system. So the home VM
//! of each engine compares what the engine reports with what the program groups know.

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

/// Pause between two rounds: memory that leaked is held for two to three of them.
const AUDIT_INTERVAL: Duration = Duration::from_secs(5);
/// Longest wait for a group's answer; a group without a leader is asked in the next round.
const GROUP_TIMEOUT: Duration = Duration::from_secs(2);
/// Path under which an engine reports the programs that it holds memory of.
const PROGRAMS_PATH: &str = "/v1/programs";

/// Memory of one program, as an engine reports it.
#[derive(Debug, Deserialize)]
struct HeldMemory {
    /// `organisation/program`, as calls named it.
    program: CompactString,
}

/// An engine that this VM audits.
struct AuditedEngine {
    name: EndpointName,
    address: CompactString,
}

/// Leaks of each engine in the round before.
type Suspects = HashMap<EndpointName, HashSet<QualifiedName>>;

/// Audits the engines that this VM is the home of, until the process ends.
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

/// Audits each engine once and returns what it found.
///
/// Memory is freed only when two rounds in a row found it without a program. One look is not
/// enough: the engine's report is older than the groups' answer, so a program that begins in
/// between looks unknown, and so it does to a group's earlier leader that doesn't know yet that it
/// was replaced. The symptom would be a whole prefix filled again, never a wrong answer.
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

/// Returns the programs whose memory the engine holds in vain; `None` if it gave no report.
async fn find_leaks(state: &EntryState, engine: &AuditedEngine) -> Option<HashSet<QualifiedName>> {
    let mut groups: HashMap<GroupId, Vec<QualifiedName>> = HashMap::new();
    for name in held_programs(state, engine).await? {
        let group = state.groups.group_of(&name.org, &name.program);
        groups.entry(group).or_default().push(name);
    }
    let asked = groups.into_values().map(|names| ask_group(state, engine, names));
    Some(join_all(asked).await.into_iter().flatten().collect())
}

/// Asks an engine for the programs that it holds memory of. A name without an organisation was
/// not given by this system and is left alone.
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

/// Asks the group of these programs which of them need no memory; none while it has no leader.
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

/// Has an engine free a program's memory; what fails is found again in the next round.
async fn free_memory(state: &EntryState, engine: &AuditedEngine, name: &QualifiedName) {
    let release = Release { program: Some(name.to_wire()), endpoint: engine.name.to_string() };
    if state.release_memory(&release).await == ReleaseAnswer::Freed {
        slog::warn!(state.log, "an engine held memory of no program under way; freed";
            "engine" => %engine.name, "org" => %name.org, "program" => %name.program);
    }
}
