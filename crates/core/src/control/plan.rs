//! Planning of replica placement: the initial placement, and the replacement of lost VMs.
//!
//! The planner runs on the control leader. From the current placement, the availability of the
//! store VMs and the reports of the groups' leaders it derives the next step of each group. It may
//! run on stale data, since each step is checked when it is applied. See docs/design/placement.md.

use super::placement::learner_of;
use crate::prelude::*;
use crate::wire::control::command::Body;
use crate::wire::control::place::Step;
use crate::wire::control::{
    AddLearner, Command, CreateGroups, DropLearner, GroupPlacement, Place, Promote, RemoveReplica,
    Replica, ReplicaRole,
};

/// Availability of a store VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The VM responds.
    Up,
    /// The VM doesn't respond, but may come back with its data.
    Unreachable,
    /// The VM hasn't responded for so long that its data counts as lost.
    Lost,
}

/// A store VM as seen by the control leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreVm {
    /// Identity of the VM.
    pub vm: VmId,
    /// Failure domain of the VM; replicas of a group are spread over these.
    pub domain: DomainId,
    /// Region of the VM; a replacement is preferably in the region of the lost replica.
    pub region: RegionId,
    /// Whether the VM can take replicas, or has to be replaced.
    pub availability: Availability,
}

/// Report of a group's leader about its own replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupReport {
    /// Group that the report is about.
    pub group: GroupId,
    /// Last placement change that the group has committed in its own log.
    pub change: u64,
    /// Whether the learner holds every entry that was committed when it was last asked.
    pub caught_up: bool,
}

/// Parameters of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanSettings {
    /// Number of replicas of each group.
    pub replicas: usize,
    /// Maximum number of groups under repair at the same time, since each repair copies the state
    /// of a group.
    pub repairs: usize,
    /// Safeguard that a test disables.
    #[doc(hidden)]
    pub mutation: PlanMutation,
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings { replicas: 3, repairs: 8, mutation: PlanMutation::None }
    }
}

/// Disables one safeguard, so that tests can verify that they detect its absence.
///
/// Only set in tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlanMutation {
    #[default]
    None,
    /// Promotes a learner before it has caught up.
    PromoteEarly,
    /// Plans the next step before the group has committed the last one.
    IgnoreReport,
    /// Ignores failure domains when choosing a VM.
    IgnoreDomains,
    /// Replaces a VM that is only unreachable.
    ReplaceUnreachable,
}

/// Plans the groups of a new deployment. Returns `None` if no store VM is up or `count` is zero.
pub fn create(count: u32, stores: &[StoreVm], settings: &PlanSettings) -> Option<Command> {
    let mut groups: Vec<GroupPlacement> = Vec::new();
    for group in 1..=count {
        let mut placement = GroupPlacement { group, ..GroupPlacement::default() };
        for _ in 0..settings.replicas {
            let Some(store) = choose(&placement, None, &groups, stores, settings) else {
                break;
            };
            placement.replicas.push(replica(store, ReplicaRole::Voter));
        }
        groups.push(placement);
    }
    let placed = groups.iter().all(|group| !group.replicas.is_empty());
    (placed && count > 0).then(|| command(Step::Create(CreateGroups { groups })))
}

/// Plans the next step of each group that needs one, and begins at most
/// [`PlanSettings::repairs`] repairs in total.
pub fn plan(
    groups: &[GroupPlacement],
    stores: &[StoreVm],
    reports: &[GroupReport],
    settings: &PlanSettings,
) -> Vec<Command> {
    let mut repairs = groups.iter().filter(|group| group.retiring.is_some()).count();
    let mut steps = Vec::new();
    for group in groups {
        let Some(report) = current_report(group, reports, settings) else { continue };
        let step = match group.retiring {
            Some(_) => next_step(group, report, stores, settings),
            None if repairs < settings.repairs => begin_repair(group, groups, stores, settings),
            None => None,
        };
        repairs += usize::from(matches!(step, Some(Step::Add(_))));
        steps.extend(step.map(command));
    }
    steps
}

/// Returns the group's report if the group has committed the last placement change.
///
/// Waiting for the commit keeps membership changes one at a time. Overlapping changes could form
/// two majorities without a common replica.
fn current_report<'a>(
    group: &GroupPlacement,
    reports: &'a [GroupReport],
    settings: &PlanSettings,
) -> Option<&'a GroupReport> {
    let report = reports.iter().find(|report| report.group.0 == group.group)?;
    let current = report.change == group.change;
    (current || settings.mutation == PlanMutation::IgnoreReport).then_some(report)
}

fn next_step(
    group: &GroupPlacement,
    report: &GroupReport,
    stores: &[StoreVm],
    settings: &PlanSettings,
) -> Option<Step> {
    let (number, change) = (group.group, group.change);
    let Some(learner) = learner_of(group) else {
        return Some(Step::Remove(RemoveReplica { group: number, change }));
    };
    let vm = group.replicas[learner].vm;
    if availability(vm, stores) == Availability::Lost {
        return Some(Step::Drop(DropLearner { group: number, change }));
    }
    // If a learner became a voter before it has caught up, the loss of one more VM would leave the
    // group without a majority that holds the log.
    let early = settings.mutation == PlanMutation::PromoteEarly;
    (report.caught_up || early).then_some(Step::Promote(Promote { group: number, change }))
}

fn begin_repair(
    group: &GroupPlacement,
    groups: &[GroupPlacement],
    stores: &[StoreVm],
    settings: &PlanSettings,
) -> Option<Step> {
    let needs_replacing = |replica: &&Replica| match availability(replica.vm, stores) {
        Availability::Lost => true,
        Availability::Unreachable => settings.mutation == PlanMutation::ReplaceUnreachable,
        Availability::Up => false,
    };
    let retiring = group.replicas.iter().find(needs_replacing)?;
    let store = choose(group, Some(retiring.vm), groups, stores, settings)?;
    Some(Step::Add(AddLearner {
        group: group.group,
        change: group.change,
        learner: Some(replica(store, ReplicaRole::Learner)),
        retiring: retiring.vm,
    }))
}

/// Returns the availability of a VM; one that isn't listed counts as lost.
fn availability(vm: u32, stores: &[StoreVm]) -> Availability {
    let store = stores.iter().find(|store| store.vm.0 == vm);
    store.map_or(Availability::Lost, |store| store.availability)
}

/// Chooses the VM for another replica: in a failure domain of its own, preferably in the region of
/// the replica it replaces, with the fewest replicas.
///
/// Replicas share a domain only if there are fewer domains than replicas. Otherwise the group waits
/// for a VM: it can still commit, while the failure of a shared domain could cost it its majority.
fn choose<'a>(
    group: &GroupPlacement,
    retiring: Option<u32>,
    groups: &[GroupPlacement],
    stores: &'a [StoreVm],
    settings: &PlanSettings,
) -> Option<&'a StoreVm> {
    let staying: Vec<&Replica> =
        group.replicas.iter().filter(|replica| Some(replica.vm) != retiring).collect();
    let shared =
        |store: &StoreVm| staying.iter().any(|replica| replica.domain == u32::from(store.domain.0));
    let old = stores.iter().find(|store| Some(store.vm.0) == retiring);
    let free = stores.iter().filter(|store| {
        let holds = group.replicas.iter().any(|replica| replica.vm == store.vm.0);
        store.availability == Availability::Up && !holds
    });
    let any_domain =
        domains(stores) < settings.replicas || settings.mutation == PlanMutation::IgnoreDomains;
    free.filter(|store| any_domain || !shared(store)).min_by_key(|store| {
        let other_region = old.is_some_and(|old| old.region != store.region);
        let sharing = shared(store) && settings.mutation != PlanMutation::IgnoreDomains;
        (sharing, other_region, load(store.vm, groups), store.vm)
    })
}

fn domains(stores: &[StoreVm]) -> usize {
    let mut domains: Vec<DomainId> = stores.iter().map(|store| store.domain).collect();
    domains.sort_unstable();
    domains.dedup();
    domains.len()
}

fn load(vm: VmId, groups: &[GroupPlacement]) -> usize {
    let replicas = groups.iter().flat_map(|group| &group.replicas);
    replicas.filter(|replica| replica.vm == vm.0).count()
}

fn replica(store: &StoreVm, role: ReplicaRole) -> Replica {
    Replica { vm: store.vm.0, domain: store.domain.0.into(), role: role.into() }
}

fn command(step: Step) -> Command {
    Command { body: Some(Body::Place(Place { step: Some(step) })) }
}
