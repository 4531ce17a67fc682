//! The demo's program: a cinematographer plans a kit, while the counter checks a lens.

use std::time::{Duration, Instant};

use anyhow::ensure;
use serde_json::{Value, json};

use super::caller::{Caller, ChatCall, HttpAnswer};
use super::report::DemoReport;
use super::stage::Stage;
use crate::embedded::wait_until;

/// The main program.
const PROGRAM: &str = "kit-4711";
/// Its sub-agent.
const SCOUT: &str = "kit-4711/lens-scout";
/// The urgent program at the counter.
const CHECK: &str = "desk-17";
/// Longest wait for engines to free the memory of ended programs.
const RELEASE_PATIENCE: Duration = Duration::from_secs(10);

/// Runs the story and checks its promises.
pub(super) async fn tell(stage: &Stage, progress: &dyn Fn(&str)) -> anyhow::Result<DemoReport> {
    let mut report = DemoReport::default();
    let caller = stage.caller();
    let started = Instant::now();

    progress("turn 1: the cinematographer describes the shoot");
    let first = turn(&caller, 1, "Night exteriors in Szeged, anamorphic, two bodies.").await?;
    record(&mut report, &first);

    progress("a sub-agent looks for lenses while the counter makes an urgent check");
    let scout = ChatCall {
        program: SCOUT,
        agent: "kit-planner",
        model: "advisor",
        says: "Which anamorphic sets are free?",
        parent: Some(PROGRAM),
        ..ChatCall::default()
    };
    let urgent_started = Instant::now();
    let check = ChatCall {
        program: CHECK,
        agent: "desk-check",
        model: "desk",
        says: "Is the 40 mm on the shelf?",
        urgent: true,
        ..ChatCall::default()
    };
    let (scouted, checked) = tokio::join!(caller.chat(&scout), caller.chat(&check));
    let (scouted, checked) = (success(scouted?)?, success(checked?)?);
    report.urgent_seconds = urgent_started.elapsed().as_secs_f64();
    record(&mut report, &scouted);
    record(&mut report, &checked);
    report.check("an urgent check is answered meanwhile", !checked.text().is_empty(), "answered");

    progress("a tool pause: the program asks the booking service for free slots");
    let slots = caller.tool(PROGRAM, "kit-planner", "booking/slots", "slots-1", json!({})).await?;
    success(slots)?;

    progress("turn 2, streamed");
    let second = ChatCall { stream: true, key: Some("turn-2"), ..main_call(2, "Add a zoom.") };
    let second = success(caller.chat(&second).await?)?;
    let ended = String::from_utf8_lossy(&second.body).trim_end().ends_with("data: [DONE]");
    report.check("a streamed answer arrives whole", ended, format!("{:?}", second.text()));

    progress("the same turn is sent again, as if its answer had been lost");
    let again = ChatCall { key: Some("turn-2"), ..main_call(2, "Add a zoom.") };
    let again = success(caller.chat(&again).await?)?;
    let same = again.text() == second.text();
    report.check("a resent turn gets the recorded answer", same, "the same text");

    deposit(stage, &caller, &mut report, progress).await?;

    progress("turn 3: the plan is closed");
    let third = turn(&caller, 3, "Close the plan.").await?;
    record(&mut report, &third);
    report.turns = 3;
    report.program_seconds = started.elapsed().as_secs_f64();
    history(&mut report, &again, &third);

    progress("the programs end; engines free what they held");
    for program in [PROGRAM, CHECK] {
        let ended = caller.end(program).await?;
        ensure!(ended.status.is_success(), "{program} was not ended: {}", ended.json());
    }
    memory(stage, &mut report).await;
    Ok(report)
}

/// Takes the deposit twice under one key, and a third time after the answer.
async fn deposit(
    stage: &Stage,
    caller: &Caller,
    report: &mut DemoReport,
    progress: &dyn Fn(&str),
) -> anyhow::Result<()> {
    progress("a deposit that may not be repeated is sent three times under one key");
    let body = json!({"amount": 90_000, "currency": "HUF"});
    let pay = || caller.tool(PROGRAM, "kit-planner", "booking/deposit", "deposit-1", body.clone());
    let (first, twin) = tokio::join!(pay(), pay());
    let late = pay().await?;
    let (first, twin) = (success(first?)?, success(twin?)?);
    let keys = stage.service.stats().keys;
    let deposits = keys.iter().filter(|key| key.operation == "deposit");
    let runs: u64 = deposits.map(|key| key.runs).sum();
    report.check("a deposit runs at most once", runs == 1, format!("ran {runs} time"));
    let equal = first.body == twin.body && first.body == late.body;
    report.check("each sender gets the same receipt", equal, first.json());
    Ok(())
}

/// Checks that the last prompt held everything that was said before it.
fn history(report: &mut DemoReport, before: &HttpAnswer, last: &HttpAnswer) {
    let said = usage(before, "prompt_tokens") + usage(before, "completion_tokens");
    let prompt = usage(last, "prompt_tokens");
    let seen = format!("{said} tokens said, {prompt} in the last prompt");
    report.check("a program's history is kept", said > 0 && prompt > said, seen);
}

/// Checks that no engine holds memory of an ended program.
async fn memory(stage: &Stage, report: &mut DemoReport) {
    let held = || {
        let programs = stage.engines.iter().flat_map(|engine| engine.stats().programs);
        programs.map(|program| program.tokens).sum::<u64>()
    };
    let freed = wait_until(RELEASE_PATIENCE, async || held() == 0).await;
    let seen = format!("{} tokens held", held());
    report.check("no engine memory stays held for ended programs", freed, seen);
}

fn main_call(turn: u64, says: &str) -> ChatCall<'_> {
    ChatCall {
        program: PROGRAM,
        agent: "kit-planner",
        turn,
        model: "advisor",
        says,
        ..ChatCall::default()
    }
}

async fn turn(caller: &Caller, turn: u64, says: &str) -> anyhow::Result<HttpAnswer> {
    success(caller.chat(&main_call(turn, says)).await?)
}

fn success(answer: HttpAnswer) -> anyhow::Result<HttpAnswer> {
    ensure!(answer.status.is_success(), "{}: {}", answer.status, answer.json());
    Ok(answer)
}

fn record(report: &mut DemoReport, answer: &HttpAnswer) {
    let cached = usage(answer, "prompt_tokens_details/cached_tokens");
    report.filled_tokens += usage(answer, "prompt_tokens").saturating_sub(cached);
    report.reused_tokens += cached;
}

fn usage(answer: &HttpAnswer, member: &str) -> u64 {
    answer.json().pointer(&format!("/usage/{member}")).and_then(Value::as_u64).unwrap_or(0)
}
