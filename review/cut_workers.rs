//! Workers are partitioned from control, one after another and each for five seconds. Do they get work
//! again once they report again?

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use super::{Deployment, Pace, Record, Verdict, Worker, config, fresh_id, ms, turn};

/// A fifth of these is one.
const WORKERS: usize = 5;
/// How long each is cut off from control.
const CUT: Duration = Duration::from_secs(5);
/// Time after the processes are back from which on turns count.
const RECOVER: Duration = Duration::from_secs(12);
/// Number of turns that are sent before the final fault, and after the recovery.
const TURNS: usize = 40;

pub fn run(trouble: bool, record: &Record) -> Verdict {
    let mut deployment = match Deployment::start(3, 3) {
        Ok(deployment) => deployment,
        Err(error) => return Verdict::CannotRun(error),
    };
    if !deployment.put_config(&config(1), Duration::from_secs(15)) {
        return Verdict::CannotRun("no store takes the configuration".to_owned());
    }
    let pace = Pace { events: 5, pause: ms(20) };
    let workers: Vec<Worker> = (0..WORKERS)
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
    let (last, others) = workers.split_last().expect("some workers");
    for worker in others {
        cut(worker, trouble, record);
    }
    let served = super::ask(&deployment, record, "before the final fault", TURNS);
    record.line(&format!("{served} of {TURNS} turns were served before the final fault"));
    record.line("final fault: all processes of the system are killed");
    deployment.kill_all(ms(1_000));
    record.line("all processes are back");
    let back = Instant::now();
    thread::sleep(ms(2_500));
    cut(last, trouble, record);
    thread::sleep((back + RECOVER).saturating_duration_since(Instant::now()));
    let after = super::judge_recovery(&deployment, &workers, record, TURNS);
    if served * 4 < TURNS {
        return Verdict::CannotRun(
            "less than a quarter was served before the final fault".to_owned(),
        );
    }
    if after * 4 < TURNS { Verdict::Broken } else { Verdict::Held }
}

/// Cuts a worker off from control.
fn cut(worker: &Worker, trouble: bool, record: &Record) {
    // Begins in the middle between two reports.
    let reports = worker.acknowledged.load(Ordering::SeqCst);
    let until = Instant::now() + Duration::from_secs(4);
    while worker.acknowledged.load(Ordering::SeqCst) == reports && Instant::now() < until {
        thread::sleep(ms(5));
    }
    thread::sleep(ms(600));
    if trouble {
        worker.cut.store(true, Ordering::SeqCst);
        record.line(&format!("worker {} is partitioned from control", worker.id));
    }
    thread::sleep(CUT);
    if trouble {
        worker.cut.store(false, Ordering::SeqCst);
        record.line(&format!("the partition of worker {} has ended", worker.id));
    }
    // It reports again.
    thread::sleep(ms(2_500));
}
