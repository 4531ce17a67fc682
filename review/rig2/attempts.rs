//! Workers truncate a few answers: no request may run on more workers than its route allows.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{
    Answer, EVENTS, Fleet, Record, Run, Setup, Treatment, Verdict, Worker, ask, config, event_ids,
    fresh_id, route, trouble, until, worker_name,
};

const WAIT: Duration = Duration::from_secs(4);
/// Most workers that may run one request.
const MAX_ATTEMPTS: usize = 2;
/// As many as the site has, of which less than half truncate answers.
const WORKERS: u8 = 9;
const TRUNCATING: u8 = 4;
/// Share of its answers that such a worker truncates at most.
const SHARE: f64 = 0.02;
const REQUESTS: usize = 8_000;
const LANES: usize = 24;
/// The rule allows this many requests beyond the limit.
const ALLOWED: usize = 3;

/// Answers of a worker so far.
#[derive(Default)]
struct Count {
    begun: f64,
    truncated: f64,
}

/// Which answers are truncated: of some requests the first one before its first event, and the
/// second one in the middle of its stream.
#[derive(Default)]
struct Plan {
    active: bool,
    counts: HashMap<String, Count>,
    truncated: HashSet<String>,
}

impl Plan {
    fn treat(&mut self, run: &Run) -> Treatment {
        let truncates = (1..=TRUNCATING).any(|number| run.worker == worker_name(number));
        let count = self.counts.entry(run.worker.clone()).or_default();
        count.begun += 1.0;
        let spare = count.begun * SHARE - count.truncated;
        let again = self.truncated.contains(&run.id);
        // One truncation is kept back for the second answer of another request.
        if !self.active || !truncates || spare < if again { 1.0 } else { 2.0 } {
            return Treatment::Sound;
        }
        count.truncated += 1.0;
        self.truncated.insert(run.id.clone());
        Treatment::Truncate(if again { 5 } else { 0 })
    }
}

pub fn play(record: &Record) -> Setup<Verdict> {
    let fleet = Fleet::start(record, 2)?;
    let more = r#""max_attempts":2,"retained":false,"resumable":true"#;
    fleet.configure(record, &config(&[route("r-ask", "/ask/", "models", more)], ""))?;
    let plan: Arc<Mutex<Plan>> = Arc::default();
    let treat = {
        let plan = Arc::clone(&plan);
        Arc::new(move |run: &Run| plan.lock().unwrap().treat(run))
    };
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        workers.push(Worker::start(&fleet, number, "models", treat.clone())?);
    }
    fleet.until_ready()?;
    until(Duration::from_secs(20), || {
        (0..18).all(|entry| {
            let answer = request(&fleet, entry % 2, &fresh_id());
            answer.is_some_and(|answer| answer.whole && answer.status == 200)
        })
    })
    .ok_or("no request was served")?;
    thread::sleep(Duration::from_secs(2));

    let ids: Vec<String> = (0..REQUESTS).map(|_| fresh_id()).collect();
    plan.lock().unwrap().active = trouble();
    let answers: Mutex<HashMap<String, Option<Answer>>> = Mutex::default();
    thread::scope(|scope| {
        for lane in 0..LANES {
            let (fleet, ids, answers) = (&fleet, &ids, &answers);
            scope.spawn(move || {
                for id in ids.iter().skip(lane).step_by(LANES) {
                    let answer = request(fleet, lane % 2, id);
                    answers.lock().unwrap().insert(id.clone(), answer);
                }
            });
        }
    });
    let answers = answers.into_inner().unwrap();
    let whole = |id: &String| {
        let answer = answers.get(id).and_then(Option::as_ref);
        answer.is_some_and(|answer| answer.whole && answer.status == 200)
    };
    record.line(&format!(
        "{} of {REQUESTS} requests were served",
        ids.iter().filter(|id| whole(id)).count()
    ));
    let runs: Vec<Run> = workers.iter().flat_map(Worker::runs).collect();
    for (name, count) in &plan.lock().unwrap().counts {
        record.line(&format!("{name} truncated {} of {} answers", count.truncated, count.begun));
    }
    let mut beyond = 0;
    for id in &ids {
        let ran: Vec<&str> =
            runs.iter().filter(|run| run.id == *id).map(|run| run.worker.as_str()).collect();
        if ran.len() > 1 {
            let got = answers[id].as_ref();
            let events = got.map(|answer| event_ids(&answer.body).len());
            let whole = got.map(|answer| answer.whole);
            record.line(&format!("request {id} ran at {ran:?}; its client got {events:?} of {EVENTS} events, whole: {whole:?}"));
        }
        let distinct: HashSet<&str> = ran.iter().copied().collect();
        beyond += usize::from(distinct.len() > MAX_ATTEMPTS);
    }
    record.line(&format!(
        "{beyond} requests ran on more than {MAX_ATTEMPTS} workers; the rule allows {ALLOWED}"
    ));
    Ok(if beyond > ALLOWED { Verdict::Broken } else { Verdict::Held })
}

fn request(fleet: &Fleet, entry: usize, id: &str) -> Option<Answer> {
    let headers = [
        ("Host", "site.example"),
        ("Request-Id", id),
        ("Model", "m"),
        ("Token-Usage", "1460,345"),
        ("Deadline-Ms", "4000"),
    ];
    ask(fleet.front(entry), "POST", "/ask/2f", &headers, b"a question", WAIT)
}
