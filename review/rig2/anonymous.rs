//! A client without a key names a turn of a tenant: no worker may run it.

use std::sync::Arc;
use std::time::Duration;

use super::{
    Answer, Fleet, Record, Setup, Treatment, Verdict, Worker, ask, config, fresh_id, route,
    trouble, until,
};

const WAIT: Duration = Duration::from_secs(4);
const SECRET: &str = "deposit card ends in 4711; ";

pub fn play(record: &Record) -> Setup<Verdict> {
    let fleet = Fleet::start(record, 2)?;
    let more = r#""max_attempts":2,"retained":true,"resumable":false"#;
    let routes = [
        route("r-keep", "/keep/", "models", more),
        route("r-open", "/open/", "models", &format!(r#"{more},"public":true"#)),
    ];
    let tenants = r#","tenants":[{"name":"studio-a","api_keys":["key-of-studio-a"]},{"name":"studio-b","api_keys":["key-of-studio-b"]}]"#;
    fleet.configure(record, &config(&routes, tenants))?;
    let worker = Worker::start(&fleet, 1, "models", Arc::new(|_| Treatment::Sound))?;
    fleet.until_ready()?;
    let key = ("Authorization", "Token key-of-studio-a");
    until(Duration::from_secs(20), || {
        let answer = turn(&fleet, 0, "/keep/2f", &fresh_id(), &[key], b"hello");
        answer.is_some_and(|answer| answer.whole && answer.status == 200)
    })
    .ok_or("no turn was served")?;
    let served = turn(&fleet, 1, "/open/2f", &fresh_id(), &[], b"hello");
    if served.is_none_or(|answer| answer.status != 200) {
        return Err("the public route isn't served without a key".to_owned());
    }

    let kept = fresh_id();
    let answer = turn(&fleet, 0, "/keep/2f", &kept, &[key], SECRET.as_bytes());
    let status = answer.map(|answer| answer.status);
    record.line(&format!("studio-a sends turn {kept} with its key: status {status:?}"));
    if status != Some(200) {
        return Err("the tenant's turn wasn't served".to_owned());
    }
    let mut verdict = Verdict::Held;
    for entry in 0..2 {
        let (id, other) = (fresh_id(), ("Authorization", "Token key-of-studio-b"));
        let foreign = [other, ("Previous-Turn", kept.as_str())];
        let answer = turn(&fleet, entry, "/keep/2f", &id, &foreign, b"What was said?");
        let status = answer.map(|answer| answer.status);
        record.line(&format!("studio-b continues {kept} with its key as {id}: status {status:?}"));
        verdict = worst(verdict, judge(record, &worker, &id));

        let id = fresh_id();
        let named = if trouble() { format!("studio-a/{kept}") } else { kept.clone() };
        let foreign = [("Previous-Turn", named.as_str())];
        let answer = turn(&fleet, entry, "/open/2f", &id, &foreign, b"What was said?");
        let status = answer.map(|answer| answer.status);
        record
            .line(&format!("a client without a key continues {named} as {id}: status {status:?}"));
        verdict = worst(verdict, judge(record, &worker, &id));
    }
    Ok(verdict)
}

/// Judges a turn whose `Previous-Turn` names no turn of its sender.
fn judge(record: &Record, worker: &Worker, id: &str) -> Verdict {
    let runs = worker.runs();
    let Some(run) = runs.iter().find(|run| run.id == id) else {
        record.line("  no worker ran it");
        return Verdict::Held;
    };
    let body = String::from_utf8_lossy(&run.body);
    let foreign = if body.contains(SECRET) { ", with what studio-a said" } else { "" };
    record.line(&format!("  a worker ran it{foreign}: {body:?}"));
    Verdict::Broken
}

fn worst(a: Verdict, b: Verdict) -> Verdict {
    if a == Verdict::Broken { a } else { b }
}

fn turn(
    fleet: &Fleet,
    entry: usize,
    path: &str,
    id: &str,
    more: &[(&str, &str)],
    input: &[u8],
) -> Option<Answer> {
    let mut headers = vec![
        ("Host", "site.example"),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Usage", "1460,345"),
        ("Deadline-Ms", "4000"),
        ("Program-Id", id),
        ("Session-Id", id),
        ("Finish-Ms", "30000"),
        ("Token-Budget", "46000"),
    ];
    headers.extend_from_slice(more);
    ask(fleet.front(entry), "POST", path, &headers, input, WAIT)
}
