//! A turn whose stream was resumed is continued: the worker must get the whole conversation.

use std::sync::Arc;
use std::time::Duration;

use super::{
    EVENTS, Fleet, Record, Setup, Treatment, Verdict, Worker, ask, config, event_data, event_ids,
    fresh_id, read_answer, route, send, trouble, until,
};

/// Events that the client has when its entry is killed.
const SEEN: usize = 6;
const WAIT: Duration = Duration::from_secs(4);

pub fn play(record: &Record) -> Setup<Verdict> {
    let mut fleet = Fleet::start(record, 2)?;
    let more = r#""max_attempts":2,"retained":true,"resumable":true"#;
    fleet.configure(record, &config(&[route("r-keep", "/keep/", "models", more)], ""))?;
    let worker = Worker::start(&fleet, 1, "models", Arc::new(|_| Treatment::Sound))?;
    fleet.until_ready()?;
    until(Duration::from_secs(20), || {
        let id = fresh_id();
        let answer = turn(&fleet, 1, &id, &[], b"hello");
        answer.is_some_and(|answer| answer.whole && answer.status == 200)
    })
    .ok_or("no turn was served")?;

    let (first, input) = (fresh_id(), b"Which lens for a night shoot? ".to_vec());
    let headers = headers(&first, "p1", &[]);
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let front = fleet.front(0);
    let mut channel =
        send(front, "POST", "/keep/2f", &headers, &input, WAIT).ok_or("front-1 isn't reached")?;
    record.line(&format!("client sends turn {first} to front-1"));
    let mut killed = false;
    let part = read_answer(&mut channel, |body| {
        if trouble() && !killed && event_ids(body).len() >= SEEN {
            killed = true;
            fleet.entries[0].kill();
        }
    });
    let part = part.ok_or("the turn got no answer")?;
    let seen = event_ids(&part.body);
    record.line(&format!(
        "client got status {}, events {seen:?}, whole: {}",
        part.status, part.whole
    ));
    if part.status != 200 || part.whole == trouble() {
        return Err("the stream didn't end as planned".to_owned());
    }
    let mut conversation = input.clone();
    let mut said = |id: &str, numbers: &[u64]| {
        for number in numbers {
            conversation.extend_from_slice(event_data(id, *number).as_bytes());
            conversation.push(b'\n');
        }
    };
    said(&first, &seen);
    let mut named = first.clone();
    if trouble() {
        let last = *seen.last().ok_or("no event arrived")?;
        let resumed = fresh_id();
        record.line(&format!(
            "front-1 was killed; client resumes after event {last} as {resumed} at front-2"
        ));
        let rest = turn(&fleet, 1, &resumed, &[("Last-Event-Id", &last.to_string())], &input);
        let rest = rest.ok_or("the resumed turn got no answer")?;
        let further = event_ids(&rest.body);
        record.line(&format!(
            "client got status {}, events {further:?}, whole: {}",
            rest.status, rest.whole
        ));
        if rest.status != 200 || !rest.whole {
            return Err("the resumed turn wasn't served".to_owned());
        }
        if further != (last + 1..=EVENTS).collect::<Vec<_>>() {
            return Err("the resumed stream isn't the rest".to_owned());
        }
        said(&resumed, &further);
        named = resumed;
    }
    let (next, question) = (fresh_id(), b"And for daylight?");
    conversation.extend_from_slice(question);
    let answer = turn(&fleet, 1, &next, &[("Previous-Turn", &named)], question);
    let status = answer.map(|answer| answer.status);
    record.line(&format!("client sends turn {next} with Previous-Turn {named}: status {status:?}"));
    let runs = worker.runs();
    let Some(run) = runs.iter().find(|run| run.id == next) else {
        record.line("no worker ran it");
        return Ok(Verdict::Held);
    };
    record.line(&format!("due at the worker:  {:?}", String::from_utf8_lossy(&conversation)));
    record.line(&format!("what the worker got: {:?}", String::from_utf8_lossy(&run.body)));
    Ok(if run.body == conversation { Verdict::Held } else { Verdict::Broken })
}

fn headers<'a>(id: &str, program: &str, more: &[(&'a str, &str)]) -> Vec<(&'a str, String)> {
    let mut all = vec![
        ("Host", "site.example".to_owned()),
        ("Request-Id", id.to_owned()),
        ("Model", "m".to_owned()),
        ("Token-Usage", "1460,345".to_owned()),
        ("Deadline-Ms", "4000".to_owned()),
        ("Program-Id", program.to_owned()),
        ("Session-Id", format!("{program}-1")),
        ("Finish-Ms", "30000".to_owned()),
        ("Token-Budget", "46000".to_owned()),
    ];
    all.extend(more.iter().map(|(name, value)| (*name, (*value).to_owned())));
    all
}

fn turn(
    fleet: &Fleet,
    entry: usize,
    id: &str,
    more: &[(&str, &str)],
    input: &[u8],
) -> Option<super::Answer> {
    let headers = headers(id, "p1", more);
    let headers: Vec<(&str, &str)> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
    ask(fleet.front(entry), "POST", "/keep/2f", &headers, input, WAIT)
}
