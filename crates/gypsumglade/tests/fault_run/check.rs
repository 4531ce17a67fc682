//! Compares the observations of callers with those of the stand-ins.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gypsumglade::embedded::wait_until;
use gypsumglade_core::prelude::*;
use tokio::task::JoinHandle;

use super::callers::{Seen, Told};
use super::fleet::{Fleet, PATIENCE, STORES, VMS};
use super::outside::Outside;

/// Interval between polls of the entries' revisions.
const LOOK: Duration = Duration::from_millis(100);
/// Timeout for an entry's revision; a suspended entry is skipped.
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the revisions that entries act on, and collects violations.
pub struct Monitor {
    floor: Arc<AtomicU64>,
    notes: Arc<Mutex<Vec<String>>>,
    task: JoinHandle<()>,
}

impl Monitor {
    pub fn start(fleet: &Arc<Fleet>) -> Monitor {
        let floor = Arc::new(AtomicU64::new(0));
        let notes = Arc::new(Mutex::new(Vec::new()));
        let watch = watch(Arc::clone(fleet), Arc::clone(&floor), Arc::clone(&notes));
        Monitor { floor, notes, task: tokio::spawn(watch) }
    }

    /// Records that no entry may act on an older revision from now on.
    pub fn in_force(&self, revision: RevisionNumber) {
        self.floor.fetch_max(revision.0, Ordering::Relaxed);
    }

    pub fn note(&self, wrong: String) {
        self.notes.lock().unwrap().push(wrong);
    }
}

async fn watch(fleet: Arc<Fleet>, floor: Arc<AtomicU64>, notes: Arc<Mutex<Vec<String>>>) {
    let mut newest = [0; VMS as usize];
    loop {
        for vm in 1..=VMS {
            let wanted = floor.load(Ordering::Relaxed);
            let Some((revision, leased)) = look(&fleet, vm).await else { continue };
            let newest = &mut newest[vm as usize - 1];
            if leased && revision < wanted {
                let wrong = format!("VM {vm} acts on r{revision} with r{wanted} in force");
                notes.lock().unwrap().push(wrong);
            }
            if revision != 0 && revision < *newest {
                let wrong = format!("VM {vm} fell back from r{newest} to r{revision}");
                notes.lock().unwrap().push(wrong);
            }
            *newest = revision.max(*newest);
        }
        tokio::time::sleep(LOOK).await;
    }
}

async fn look(fleet: &Fleet, vm: u32) -> Option<(u64, bool)> {
    let admin = fleet.admin(vm);
    let asking = admin.send(http::Method::GET, "/v1/dump", &[], String::new());
    let dump = tokio::time::timeout(LOOK_TIMEOUT, asking).await.ok()?.ok()?.json();
    Some((dump["revision"].as_u64()?, dump["lease_ms"].as_u64()? > 0))
}

/// Result of a run.
pub struct Report {
    finished: usize,
    given_up: usize,
    turns: u64,
    deposits: [usize; 3],
    held: usize,
    broken: Vec<String>,
}

impl Report {
    pub fn broken(&self) -> &[String] {
        &self.broken
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [done, not_run, unknown] = self.deposits;
        writeln!(f, "programs: {} finished, {} given up", self.finished, self.given_up)?;
        writeln!(f, "turns answered, each compared word for word: {}", self.turns)?;
        writeln!(f, "deposits: {done} done, {not_run} not run, {unknown} unknown")?;
        writeln!(f, "programs that engines still hold memory of: {}", self.held)?;
        write!(f, "promises broken: {}", self.broken.len())
    }
}

/// Checks the observations of a run.
pub async fn judge(fleet: &Fleet, outside: &Outside, seen: Seen, monitor: Monitor) -> Report {
    monitor.task.abort();
    let mut broken = seen.wrong.clone();
    broken.extend(monitor.notes.lock().unwrap().drain(..));
    broken.extend(deposits(outside, &seen));
    end_all(fleet, &seen).await;
    let released = wait_until(PATIENCE, async || outside.held().is_empty());
    let released = released.await;
    let held = outside.held();
    if !released {
        let running = running_dispatches(fleet).await;
        broken.push(format!("engines hold memory of ended programs: {held:?}; {running}"));
    }
    if outside.most_starts() > 1 {
        broken.push("a dispatch was started twice".to_owned());
    }
    let told = |wanted| seen.deposits.iter().filter(|deposit| deposit.told == wanted).count();
    Report {
        finished: seen.finished.len(),
        given_up: seen.given_up.len(),
        turns: seen.turns,
        deposits: [told(Told::Done), told(Told::NotRun), told(Told::Unknown)],
        held: held.len(),
        broken,
    }
}

/// Checks that a deposit ran at most once, and as often as its outcome says.
fn deposits(outside: &Outside, seen: &Seen) -> Vec<String> {
    let runs = outside.runs();
    let mut broken = Vec::new();
    for (key, runs) in &runs {
        if *runs > 1 {
            broken.push(format!("deposit {key} ran {runs} times"));
        }
    }
    for deposit in &seen.deposits {
        let runs = runs.get(deposit.key.as_str()).copied().unwrap_or(0);
        let fits = match deposit.told {
            Told::Done => runs == 1,
            Told::NotRun => runs == 0,
            Told::Unknown => runs <= 1,
        };
        if !fits {
            broken.push(format!("a caller was told {:?}, and it ran {runs} times", deposit.told));
        }
    }
    broken
}

/// Returns the dispatches that the program groups' leaders wait for, which keep memory from being
/// released.
async fn running_dispatches(fleet: &Fleet) -> String {
    let mut running = Vec::new();
    for vm in STORES {
        let asking =
            fleet.store_admin(vm).send(http::Method::GET, "/v1/dump", &[], String::new()).await;
        let Ok(dump) = asking.map(|dump| dump.json()) else { continue };
        let groups = dump["programs"].as_array().cloned().unwrap_or_default();
        let led = groups.iter().filter(|group| group["leads"] == true);
        running.extend(led.flat_map(|group| group["running"].as_array().cloned()).flatten());
    }
    format!("running: {running:?}")
}

async fn end_all(fleet: &Fleet, seen: &Seen) {
    for program in seen.finished.iter().chain(&seen.given_up) {
        let caller = fleet.caller(1);
        let ended = wait_until(PATIENCE, async || {
            let answer = caller.end(program).await;
            // A program that never began can't be ended.
            answer.is_ok_and(|answer| answer.status.is_success() || answer.status == 404)
        });
        assert!(ended.await, "{program} was not ended; logs are in {:?}", fleet.folder());
    }
}
