//! Clients send long turns at once: an entry must stay within its memory.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use super::{
    Answer, Fleet, Record, Setup, Treatment, Verdict, Worker, ask, config, fresh_id, route,
    trouble, until,
};

const WAIT: Duration = Duration::from_secs(4);
/// `memory_mb` of a `front` machine.
const MEMORY: u64 = 110 << 20;
/// Clients that send at once.
const CLIENTS: usize = 19;
/// Within `max_body_bytes`, 4,194,304.
const LONG_BODY: usize = 4_000_000;
/// The longest body that the site file states for a turn.
const USUAL_BODY: usize = 100_000;
/// Pause between two events of an engine, and between two clients' turns, in milliseconds.
const EVENT_PAUSE_MS: u64 = 40;
const CLIENT_PAUSE_MS: u64 = 40;
/// Ends in a day that the rule speaks of.
const ENDS: usize = 3;

pub fn play(record: &Record) -> Setup<Verdict> {
    let mut fleet = Fleet::start(record, 2)?;
    let more = r#""max_attempts":2,"retained":true,"resumable":false"#;
    fleet.configure(record, &config(&[route("r-keep", "/keep/", "models", more)], ""))?;
    let mut workers = Vec::new();
    for number in 1..=3 {
        workers.push(Worker::start(&fleet, number, "models", Arc::new(|_| Treatment::Sound))?);
    }
    fleet.until_ready()?;
    let length = if trouble() { LONG_BODY } else { USUAL_BODY };
    super::EVENT_PAUSE_MS.store(EVENT_PAUSE_MS, Ordering::Relaxed);
    let mut ends = [0; 2];
    for round in 1..=ENDS {
        for (entry, ends) in ends.iter_mut().enumerate() {
            until(Duration::from_secs(20), || {
                turn(&fleet, entry, b"hello").is_some_and(|a| a.whole && a.status == 200)
            })
            .ok_or("no turn was served")?;
            let id = fleet.entries[entry].process.ok_or("an entry isn't running")?;
            let (peak, over, answers) = press(&fleet, entry, id, length);
            let name = &fleet.entries[entry].name;
            record.line(&format!(
                "round {round}: {CLIENTS} clients sent {length} bytes each to {name}, one every {CLIENT_PAUSE_MS} ms; its memory \
                 rose to {} MB; answers: {answers:?}",
                peak >> 20
            ));
            if over {
                *ends += 1;
                record.line(&format!(
                    "{name} was over its memory and was killed, as the provider does"
                ));
                fleet.entries[entry].kill();
                thread::sleep(Duration::from_millis(500));
                fleet.entries[entry].start(false)?;
            }
        }
    }
    record.line(&format!("ends by memory: {ends:?}; the rule speaks of {ENDS} on two machines"));
    let broken = ends.iter().all(|ends| *ends >= ENDS);
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends turns at once. Returns the highest memory, whether it passed the limit, and the statuses.
/// The process is killed as soon as it is over its memory.
fn press(fleet: &Fleet, entry: usize, id: u32, length: usize) -> (u64, bool, Vec<String>) {
    let (peak, over, done) = (AtomicU64::new(0), AtomicBool::new(false), AtomicBool::new(false));
    let answers = thread::scope(|scope| {
        scope.spawn(|| {
            while !done.load(Ordering::Relaxed) {
                let now = anonymous(id).unwrap_or_default();
                peak.fetch_max(now, Ordering::Relaxed);
                if now > MEMORY && !over.swap(true, Ordering::Relaxed) {
                    super::end(id);
                }
                thread::sleep(Duration::from_millis(2));
            }
        });
        let sending: Vec<_> = (0..CLIENTS)
            .map(|number| {
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(CLIENT_PAUSE_MS * number as u64));
                    turn(fleet, entry, &vec![b'a' + number as u8; length])
                })
            })
            .collect();
        let answers: Vec<String> = sending
            .into_iter()
            .map(|sent| match sent.join().ok().flatten() {
                Some(answer) if answer.whole => answer.status.to_string(),
                Some(answer) => format!("{} cut", answer.status),
                None => "none".to_owned(),
            })
            .collect();
        done.store(true, Ordering::Relaxed);
        answers
    });
    (peak.into_inner(), over.into_inner(), answers)
}

/// Returns the bytes of anonymous memory of a process.
fn anonymous(id: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: u64 = line.trim().strip_suffix(" kB")?.parse().ok()?;
    Some(kilobytes << 10)
}

fn turn(fleet: &Fleet, entry: usize, input: &[u8]) -> Option<Answer> {
    let id = fresh_id();
    let headers = [
        ("Host", "site.example"),
        ("Request-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "1460,345"),
        ("Deadline-Ms", "4000"),
        ("Program-Id", id.as_str()),
        ("Session-Id", id.as_str()),
        ("Finish-Ms", "30000"),
        ("Token-Budget", "46000"),
    ];
    ask(fleet.front(entry), "POST", "/keep/2f", &headers, input, WAIT)
}
