//! Where replicas should be: the first placement, and replacing a VM that is lost for good.
//!
//! The planner runs on the control leader. It looks at the placement of the log, at which store
//! VMs are up, and at what the groups' leaders report, and gives the next step of each group. It
//! may run at any time and on stale news: each step is checked when it is applied. See
//! docs/design/placement.md.

use super::placement::learner_of;
use crate::prelude::*;
use crate::wire::control::command::Body;
use crate::wire::control::place::Step;
use crate::wire::control::{
    AddLearner, Command, CreateGroups, DropLearner, GroupPlacement, Place, Promote, RemoveReplica,
    Replica, ReplicaRole,
};

/// Whether a store VM is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It is up.
    Up,
    /// It is away, and may come back with its data folder.
    Unreachable,
    /// It is away for so long that its data counts as gone.
    Lost,
}

/// A store VM, as the control leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreVm {
    /// The VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Whether it is there.
    pub availability: Availability,
}

/// What a group's leader reports of its own replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// The last placement change that its log's membership committed.
    pub change: u64,
    /// The learner holds every entry that was committed when it was last asked.
    pub caught_up: bool,
}

/// How replicas are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanSettings {
    /// Replicas of each group.
    pub replicas: usize,
    /// Groups repaired at the same time: each copies a group's state, perhaps over the paid link.
    pub repairs: usize,
    /// Safeguard switched off by a test.
    #[doc(hidden)]
    pub mutation: PlanMutation,
}

impl Default for PlanSettings {
    fn default() -> PlanSettings {
        PlanSettings { replicas: 3, repairs: 8, mutation: PlanMutation::None }
    }
}

/// A safeguard switched off, so that a test can prove that it would notice. Never set outside
/// tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PlanMutation {
    #[default]
    None,
    /// A learner votes before it caught up.
    PromoteEarly,
    /// The next step doesn't wait until the group's log made the last one.
    IgnoreReport,
    /// Replacements ignore failure domains.
    IgnoreDomains,
    /// A VM that is only away is replaced.
    ReplaceUnreachable,
}

/// Plans the groups of a new deployment, or returns `None` if no store VM is up.
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

/// Plans the next step of each group that needs one.
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

/// Returns the group's report if its log has made the last change of placement.
///
/// The failure: placement runs ahead of the group's log, two changes of membership overlap, and
/// two majorities without a common replica can form. Waiting for the log's own commit keeps
/// changes one at a time.
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
    // A learner that votes before it caught up leaves the group unable to commit when a second
    // VM goes: the majority would need a replica that doesn't have the log.
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

/// A VM that nobody tells of has been gone for long.
fn availability(vm: u32, stores: &[StoreVm]) -> Availability {
    let store = stores.iter().find(|store| store.vm.0 == vm);
    store.map_or(Availability::Lost, |store| store.availability)
}

/// Chooses the VM for another replica: in a domain of its own, in the region of the replica it
/// replaces, with the fewest replicas.
///
/// Two replicas share a domain only where there are fewer domains than replicas. Otherwise the
/// group rather waits for a VM: it still commits, and a shared domain could take its majority.
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
