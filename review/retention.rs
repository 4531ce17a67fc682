//! An entry is suspended while turns end there. Are these turns kept for as long as the route says,
//! counted from the end of their answers?

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{
    Deployment, Pace, Record, SIGCONT, SIGSTOP, Verdict, Worker, config, fresh_id, ms, turn,
};

/// How long the route keeps a turn.
const RETENTION: Duration = Duration::from_secs(60);
/// Age at which a turn is continued, counted from the end of its answer.
const CONTINUE_AT: Duration = Duration::from_millis(58_900);
/// How long the entry is suspended.
const FREEZE: Duration = Duration::from_millis(2_200);
/// Programs that send a turn at the same time.
const WAVE: usize = 100;
const WAVES: usize = 6;

struct Kept {
    id: String,
    program: String,
    ended: Instant,
    /// Time between the last event and the end of the answer.
    held: Duration,
}

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let deployment = match Deployment::start(3, 3) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CannotRun(error),
    };
    if !deployment.put_config(&config(1), Duration::from_secs(15)) {
        return Verdict::CannotRun("no store takes the configuration".to_owned());
    }
    let pace = Pace { events: 10, pause: ms(30) };
    let workers: Vec<Worker> = (0..3)
        .map(|n| Worker::start(&format!("i-engine{n}"), &deployment.control, pace, record))
        .collect();
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return Verdict::CannotRun("an entry isn't ready".to_owned());
    }
    let warm = (0..20).any(|_| {
        thread::sleep(ms(200));
        turn(deployment.callers[0], &fresh_id(), &fresh_id(), None).is_success()
    });
    if !warm {
        return Verdict::CannotRun("no turn is served".to_owned());
    }
    let ended = || workers.iter().map(|worker| worker.ended.load(Ordering::SeqCst)).sum::<usize>();
    let kept: Arc<Mutex<Vec<Kept>>> = Arc::default();
    let mut continuing = Vec::new();
    for wave in 0..WAVES {
        let before = ended();
        let mut clients = Vec::new();
        for _ in 0..WAVE {
            let (to, kept, record) = (deployment.callers[0], Arc::clone(&kept), record.clone());
            clients.push(thread::spawn(move || {
                let (id, program) = (fresh_id(), fresh_id());
                let answer = turn(to, &id, &program, None);
                if let (true, Some(ended), Some(last)) =
                    (answer.is_success(), answer.ended, answer.last_bytes)
                {
                    let held = ended.duration_since(last);
                    record.line(&format!(
                        "turn {id} is answered whole at {:.3}, {} ms after its last event",
                        record.seconds(ended),
                        held.as_millis()
                    ));
                    kept.lock().unwrap().push(Kept { id, program, ended, held });
                } else {
                    record.line(&format!("turn {id}: {}", answer.describe()));
                }
            }));
        }
        if trouble {
            // Each wave is stopped a little later after half of its streams have ended.
            let until = Instant::now() + Duration::from_secs(4);
            while ended() < before + WAVE / 2 && Instant::now() < until {
                thread::sleep(Duration::from_micros(200));
            }
            thread::sleep(ms(2 * wave as u64));
            deployment.fronts[0].signal(SIGSTOP);
            record.line(&format!("entry {} is suspended", deployment.fronts[0].name));
            thread::sleep(FREEZE);
            deployment.fronts[0].signal(SIGCONT);
            record.line(&format!("entry {} goes on", deployment.fronts[0].name));
        }
        for client in clients {
            let _ = client.join();
        }
        let turns = std::mem::take(&mut *kept.lock().unwrap());
        for turn in turns.into_iter().filter(|turn| !trouble || turn.held > ms(1_000)) {
            let (to, record) = (deployment.callers[1], record.clone());
            continuing.push(thread::spawn(move || go_on(to, &turn, &record)));
        }
        thread::sleep(ms(500));
    }
    let waiting = continuing.len();
    record.line(&format!("{waiting} turns are to be continued"));
    if waiting == 0 {
        return Verdict::CannotRun("no turn ended while the entry was suspended".to_owned());
    }
    let lost =
        continuing.into_iter().filter_map(|thread| thread.join().ok()).filter(|lost| *lost).count();
    record.line(&format!("{lost} of {waiting} turns were answered 404 too early"));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Continues a turn shortly before its retention is over. Returns whether it is lost too early.
fn go_on(to: std::net::SocketAddr, kept: &Kept, record: &Record) -> bool {
    thread::sleep((kept.ended + CONTINUE_AT).saturating_duration_since(Instant::now()));
    // As a client does, a refused turn is sent again.
    for _ in 0..3 {
        let sent = kept.ended.elapsed();
        let id = fresh_id();
        let answer = turn(to, &id, &kept.program, Some(&kept.id));
        let age = kept.ended.elapsed();
        record.line(&format!(
            "turn {id} continues {}, sent {:.3} s after the end of its answer: {}, {:.3} s after it",
            kept.id, sent.as_secs_f64(), answer.describe(), age.as_secs_f64()
        ));
        match answer.status {
            Some(404 | 410) => return age < RETENTION,
            Some(200) => return false,
            _ => {}
        }
        thread::sleep(ms(50));
    }
    false
}
