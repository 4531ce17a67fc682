//! Placement: permanently lost VMs are replaced, with one change of a group at a time.

#[path = "support/property.rs"]
mod property;

use gypsumglade_core::control::plan::{
    Availability, GroupReport, PlanMutation, PlanSettings, StoreVm, create, plan,
};
use gypsumglade_core::control::{Control, Mutation, group_of};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::place::Step;
use gypsumglade_core::wire::control::{Command, GroupPlacement, ReplicaRole};
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};

const GROUPS: u32 = 4;
const DOMAINS: u32 = 3;
const STORES: u32 = 9;

#[derive(Clone, Debug)]
enum Action {
    /// A VM becomes unreachable, is declared lost, or comes back.
    Availability { vm: usize, availability: Availability },
    /// The planner plans steps from the current state; they may be applied later.
    Plan,
    /// One of the planned steps is applied.
    Apply { step: usize },
    /// A group completes its last placement change and reports it.
    Report { group: usize },
    /// The learner catches up. The group's own leader checks this again at promotion, which is not
    /// simulated here.
    CatchUp { group: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let availability =
        prop::sample::select(vec![Availability::Up, Availability::Unreachable, Availability::Lost]);
    let group = 0..GROUPS as usize;
    prop_oneof![
        1 => (0..STORES as usize, availability)
            .prop_map(|(vm, availability)| Action::Availability { vm, availability }),
        4 => Just(Action::Plan),
        6 => (0..12_usize).prop_map(|step| Action::Apply { step }),
        4 => group.clone().prop_map(|group| Action::Report { group }),
        2 => group.prop_map(|group| Action::CatchUp { group }),
    ]
}

/// State of a group's replicated log, as reported to placement.
#[derive(Clone, Copy, Default)]
struct Log {
    change: u64,
    caught_up: bool,
}

struct Simulation {
    control: Control,
    settings: PlanSettings,
    stores: Vec<StoreVm>,
    logs: Vec<Log>,
    planned: Vec<Command>,
}

impl Simulation {
    fn new(mutation: Mutation, settings: PlanSettings) -> Simulation {
        let store = |vm: u32| StoreVm {
            vm: VmId(vm),
            domain: DomainId((vm % DOMAINS) as u16),
            region: RegionId(u16::from(vm % DOMAINS == 2)),
            availability: Availability::Up,
        };
        let stores: Vec<StoreVm> = (1..=STORES).map(store).collect();
        let mut control = Control::with_mutation(mutation);
        control.apply(&create(GROUPS, &stores, &settings).expect("stores are up"));
        let logs = vec![Log::default(); GROUPS as usize];
        Simulation { control, settings, stores, logs, planned: Vec::new() }
    }

    fn run(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match *action {
            Action::Availability { vm, availability } => {
                // A lost VM is replaced and never comes back under the same id.
                if self.stores[vm].availability != Availability::Lost {
                    self.stores[vm].availability = availability;
                }
            }
            Action::Plan => self.plan(),
            Action::Apply { step } if !self.planned.is_empty() => {
                let step = self.planned[step % self.planned.len()].clone();
                return self.apply(&step);
            }
            Action::Apply { .. } => {}
            Action::Report { group } => {
                self.logs[group].change = self.control.groups()[group].change;
            }
            Action::CatchUp { group } => self.logs[group].caught_up = true,
        }
        Ok(())
    }

    fn plan(&mut self) {
        let reports: Vec<GroupReport> = self.logs.iter().zip(1..).map(report).collect();
        let steps = plan(self.control.groups(), &self.stores, &reports, &self.settings);
        self.planned.extend(steps);
        let old = self.planned.len().saturating_sub(12);
        self.planned.drain(..old);
    }

    fn apply(&mut self, command: &Command) -> Result<(), TestCaseError> {
        let before = self.control.groups().to_vec();
        let answer = self.control.apply(command).body;
        let Some(AnswerBody::Placed(_)) = answer else {
            prop_assert_eq!(self.control.groups(), before.as_slice());
            return Ok(());
        };
        let changed =
            (0..before.len()).find(|group| before[*group] != self.control.groups()[*group]);
        let group = changed.expect("a placed step changes a group");
        prop_assert_eq!(self.logs[group].change, before[group].change, "two changes overlap");
        self.check_step(command, &before[group], group)?;
        check_group(&self.control.groups()[group])
    }

    fn check_step(
        &mut self,
        command: &Command,
        before: &GroupPlacement,
        group: usize,
    ) -> Result<(), TestCaseError> {
        let Some(Body::Place(place)) = &command.body else { return Ok(()) };
        match &place.step {
            Some(Step::Add(add)) => {
                let lost = self.stores[add.retiring as usize - 1].availability;
                prop_assert_ne!(
                    lost,
                    Availability::Unreachable,
                    "a VM that may come back was replaced"
                );
                prop_assert!(before.retiring.is_none());
                self.logs[group].caught_up = false;
            }
            Some(Step::Promote(_)) => {
                prop_assert!(self.logs[group].caught_up, "a learner votes before it caught up");
            }
            _ => {}
        }
        Ok(())
    }
}

fn report((log, group): (&Log, u32)) -> GroupReport {
    GroupReport { group: GroupId(group), change: log.change, caught_up: log.caught_up }
}

fn check_group(group: &GroupPlacement) -> Result<(), TestCaseError> {
    let voters = group.replicas.iter().filter(|replica| replica.role() == ReplicaRole::Voter);
    prop_assert!(voters.count() >= 3, "fewer than three voters: {group:?}");
    let remaining = group.replicas.iter().filter(|replica| Some(replica.vm) != group.retiring);
    let mut domains: Vec<u32> = remaining.map(|replica| replica.domain).collect();
    domains.sort_unstable();
    prop_assert_eq!(domains, vec![0, 1, 2], "replicas share a domain");
    Ok(())
}

/// Number of cases unless the environment sets another.
const CASES: u32 = 1_000;

fn run(mutation: Mutation, plan: PlanMutation, cases: u32) -> Result<(), String> {
    let config = Config { max_shrink_iters: 0, ..fixed(4, cases) };
    let settings = PlanSettings { mutation: plan, ..PlanSettings::default() };
    let actions = prop::collection::vec(action(), 1..200);
    let result = TestRunner::new(config).run(&actions, |actions| {
        let mut simulation = Simulation::new(mutation, settings);
        actions.iter().try_for_each(|action| simulation.run(action))
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn plan_replaces_one_replica_at_a_time() {
    // VMs become unreachable, come back or are lost at any time. Steps are applied late, twice or
    // not at all, and may be based on outdated reports.
    assert_eq!(run(Mutation::None, PlanMutation::None, cases(CASES)), Ok(()));
}

#[test]
fn plan_promoting_early_is_caught() {
    assert!(run(Mutation::None, PlanMutation::PromoteEarly, 5_000).is_err());
}

#[test]
fn plan_ahead_of_the_log_is_caught() {
    assert!(run(Mutation::None, PlanMutation::IgnoreReport, 5_000).is_err());
}

#[test]
fn plan_ignoring_domains_is_caught() {
    assert!(run(Mutation::None, PlanMutation::IgnoreDomains, 5_000).is_err());
}

#[test]
fn plan_replacing_an_unreachable_vm_is_caught() {
    assert!(run(Mutation::None, PlanMutation::ReplaceUnreachable, 5_000).is_err());
}

#[test]
fn apply_of_a_late_step_is_caught() {
    assert!(run(Mutation::IgnoreChange, PlanMutation::None, 5_000).is_err());
}

/// Runs 100 rounds of planning and applying, enough for every repair to finish.
fn run_to_completion(simulation: &mut Simulation) {
    for _ in 0..100 {
        simulation.planned.clear();
        simulation.plan();
        for step in std::mem::take(&mut simulation.planned) {
            simulation.apply(&step).expect("the step is valid");
        }
        for group in 0..GROUPS as usize {
            simulation.run(&Action::Report { group }).expect("the report is applied");
            simulation.run(&Action::CatchUp { group }).expect("the learner catches up");
        }
    }
}

#[test]
fn plan_second_loss_right_after_repair() {
    // A second VM of the same groups is lost right after the first was replaced. Every group must
    // end with three voters that are up, in three domains.
    let mut simulation = Simulation::new(Mutation::None, PlanSettings::default());
    for _ in 0..2 {
        let vm = simulation.control.groups()[0].replicas[0].vm as usize;
        simulation.stores[vm - 1].availability = Availability::Lost;
        run_to_completion(&mut simulation);
    }
    for group in simulation.control.groups() {
        assert!(check_group(group).is_ok(), "{group:?}");
        assert_eq!((group.replicas.len(), group.retiring), (3, None));
        let up = |vm: u32| simulation.stores[vm as usize - 1].availability == Availability::Up;
        assert!(group.replicas.iter().all(|replica| up(replica.vm)), "{group:?}");
    }
}

#[test]
fn plan_waits_when_no_domain_is_free() {
    // Replicas of a lost domain must not move into the two remaining ones, where one more loss
    // could take a majority.
    let mut simulation = Simulation::new(Mutation::None, PlanSettings::default());
    let before = simulation.control.groups().to_vec();
    for store in simulation.stores.iter_mut().filter(|store| store.domain == DomainId(2)) {
        store.availability = Availability::Lost;
    }
    run_to_completion(&mut simulation);
    assert_eq!(simulation.control.groups(), before.as_slice());
}

#[test]
fn create_balances_replicas() {
    let simulation = Simulation::new(Mutation::None, PlanSettings::default());
    let replica_count = |vm: u32| {
        let replicas = simulation.control.groups().iter().flat_map(|group| &group.replicas);
        replicas.filter(|replica| replica.vm == vm).count()
    };
    let counts: Vec<usize> = (1..=STORES).map(replica_count).collect();
    assert!(counts.iter().all(|count| (1..=2).contains(count)), "{counts:?}");
}

#[test]
fn group_of_covers_every_group_evenly() {
    let in_first = (0..SLOTS).filter(|slot| group_of(Slot(*slot), 64) == GroupId(1)).count();
    assert_eq!(in_first, 16);
}
