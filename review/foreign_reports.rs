//! Another writer reports the addresses of the workers under a service that isn't named. Do the workers'
//! own reports hold?

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::{Deployment, Pace, Record, Verdict, Worker, call, config, fresh_id, ms, turn};

const WORKERS: usize = 3;
/// Time after which the processes of the system have to serve again.
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
    let served = super::ask(&deployment, record, "before the final fault", TURNS);
    record.line(&format!("{served} of {TURNS} turns were served before the final fault"));
    record.line("final fault: all processes of the system are killed");
    deployment.kill_all(ms(1_000));
    record.line("all processes are back");
    let back = Instant::now();
    thread::sleep(ms(3_000));
    if trouble {
        for (number, worker) in workers.iter().enumerate() {
            let born =
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis());
            let body = format!(
                "{{\"service\":\"other-writer\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
                 \"born\":{born}}}",
                worker.address
            );
            let to = deployment.control[number % deployment.control.len()];
            let path = format!("/instances/x-other{number}");
            let answer = call(to, "PUT", &path, &[], body.as_bytes(), ms(1_000), ms(1_000));
            record.line(&format!("another writer, PUT {path} {body}: {}", answer.describe()));
        }
    }
    thread::sleep((back + RECOVER).saturating_duration_since(Instant::now()));
    let after = super::judge_recovery(&deployment, &workers, record, TURNS);
    if served * 4 < TURNS {
        return Verdict::CannotRun(
            "less than a quarter was served before the final fault".to_owned(),
        );
    }
    if after * 4 < TURNS { Verdict::Broken } else { Verdict::Held }
}
