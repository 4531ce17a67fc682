//! The faults, each injected once per round, in an order that the seed shuffles.

use std::time::Duration;

use gypsumglade_core::wire::control::Answer;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use rand::RngExt as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand_chacha::ChaCha8Rng;

use super::check::Monitor;
use super::fleet::{Fleet, Role, STORES, VMS};
use super::outside::Outside;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry is killed and restarted.
    KillEntry,
    /// A store is killed and restarted.
    KillStore,
    /// Two entries and a store are killed at the same time.
    KillTogether,
    /// A second store is killed right after the first one's restart.
    KillAfterRepair,
    /// An entry is silently cut off for longer than its lease.
    FreezeEntry,
    /// A store is silently cut off for longer than its leadership.
    FreezeStore,
    /// An engine is killed with its calls.
    CrashEngine,
    /// A planned stop of an entry.
    StopEntry,
    /// A planned stop of a store.
    StopStore,
    /// Two operators roll different bundles under one version.
    RaceOperators,
    /// A store is down while the configuration changes many times.
    ManyChanges,
}

pub struct Schedule;

impl Schedule {
    pub fn shuffled(rng: &mut ChaCha8Rng) -> Vec<Fault> {
        let mut faults = Fault::ALL.to_vec();
        faults.shuffle(rng);
        faults
    }
}

/// Longer than a configuration lease.
const BEYOND_LEASE: Duration = Duration::from_secs(8);
/// Longer than a leadership.
const BEYOND_LEADERSHIP: Duration = Duration::from_secs(4);
/// Time until a killed daemon is restarted.
const AWAY: Duration = Duration::from_millis(1_500);
/// Number of changes that a store misses.
const CHANGES: u32 = 30;

impl Fault {
    pub const ALL: [Fault; 11] = [
        Fault::KillEntry,
        Fault::KillStore,
        Fault::KillTogether,
        Fault::KillAfterRepair,
        Fault::FreezeEntry,
        Fault::FreezeStore,
        Fault::CrashEngine,
        Fault::StopEntry,
        Fault::StopStore,
        Fault::RaceOperators,
        Fault::ManyChanges,
    ];

    pub async fn inflict(
        self,
        fleet: &Fleet,
        outside: &Outside,
        monitor: &Monitor,
        rng: &mut ChaCha8Rng,
    ) {
        let entry = Role::Entry(rng.random_range(1..=VMS));
        let store = Role::Store(*STORES.choose(rng).expect("there are stores"));
        match self {
            Fault::KillEntry => kill(fleet, &[entry]).await,
            Fault::KillStore => kill(fleet, &[store]).await,
            Fault::KillTogether => kill(fleet, &[entry, second(entry), store]).await,
            Fault::KillAfterRepair => {
                kill(fleet, &[store]).await;
                kill(fleet, &[second(store)]).await;
            }
            Fault::FreezeEntry => freeze(fleet, entry, BEYOND_LEASE).await,
            Fault::FreezeStore => freeze(fleet, store, BEYOND_LEADERSHIP).await,
            Fault::CrashEngine => outside.crash_engine(rng.random_range(0..3)).await,
            Fault::StopEntry => stop(fleet, entry, monitor).await,
            Fault::StopStore => stop(fleet, store, monitor).await,
            Fault::RaceOperators => race(fleet, outside, monitor, rng).await,
            Fault::ManyChanges => many_changes(fleet, outside, monitor, store).await,
        }
    }
}

fn second(role: Role) -> Role {
    match role {
        Role::Entry(vm) => Role::Entry(vm % VMS + 1),
        Role::Store(vm) => Role::Store((vm + 2) % VMS + 1),
    }
}

async fn kill(fleet: &Fleet, roles: &[Role]) {
    for role in roles {
        fleet.kill(*role);
    }
    tokio::time::sleep(AWAY).await;
    for role in roles {
        fleet.spawn(*role);
    }
}

async fn freeze(fleet: &Fleet, role: Role, time: Duration) {
    fleet.freeze(role, true);
    tokio::time::sleep(time).await;
    fleet.freeze(role, false);
}

async fn stop(fleet: &Fleet, role: Role, monitor: &Monitor) {
    if !fleet.stop(role).await {
        monitor.note(format!("a planned stop of {role:?} did not end well"));
    }
    fleet.spawn(role);
}

/// Two operators submit different contents under one version; at most one may be accepted.
async fn race(fleet: &Fleet, outside: &Outside, monitor: &Monitor, rng: &mut ChaCha8Rng) {
    let version = format!("2.{}.0", rng.random_range(0..1_000_000));
    let (one, two) =
        tokio::join!(outside.offer(fleet, &version, "one"), outside.offer(fleet, &version, "two"),);
    let accepted = |answer: &Option<Answer>| {
        let body = answer.as_ref().and_then(|answer| answer.body.as_ref());
        matches!(body, Some(AnswerBody::Accepted(_)))
    };
    if accepted(&one) && accepted(&two) {
        monitor.note(format!("both contents of version {version} were accepted"));
    }
}

async fn many_changes(fleet: &Fleet, outside: &Outside, monitor: &Monitor, store: Role) {
    fleet.kill(store);
    let first = rand::random::<u16>();
    for change in 0..CHANGES {
        let version = format!("3.{first}.{change}");
        outside.offer(fleet, &version, "change").await;
    }
    fleet.spawn(store);
    let revision = outside.roll(fleet, &format!("3.{first}.{CHANGES}"), "last").await;
    monitor.in_force(revision);
}
