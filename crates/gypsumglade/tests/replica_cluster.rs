//! Three hosts in one process, connected by channels that a test can cut.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use gypsumglade::disk::{Faults, inspect};
use gypsumglade::replica::{Event, Host, HostSettings, Outbound, ProposeError};
use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{LogIndex, MemberChange, Role, Settings, Term};
use tokio::sync::mpsc;

const GROUP: GroupId = GroupId(1);

/// Commands applied by one VM's state machine, by group.
type Told = Arc<Mutex<BTreeMap<GroupId, Vec<Event>>>>;

struct Vm {
    host: Host,
    told: Told,
}

#[derive(Clone, Default)]
struct Links {
    hosts: Arc<Mutex<BTreeMap<VmId, Host>>>,
    cuts: Arc<Mutex<BTreeSet<VmId>>>,
}

struct Cluster {
    root: tempfile::TempDir,
    links: Links,
    vms: BTreeMap<VmId, Vm>,
    /// Whether the log has small segments and is compacted often.
    compacts: bool,
}

/// Half of the default timeouts, so that elections take less time.
fn fast() -> Settings {
    Settings {
        heartbeat: Duration::from_millis(50),
        lease: Duration::from_millis(500),
        chunk_bytes: 1_000,
        keep_entries: 4,
        ..Settings::default()
    }
}

impl Cluster {
    fn new() -> Cluster {
        let root = tempfile::tempdir().expect("a folder");
        Cluster { root, links: Links::default(), vms: BTreeMap::new(), compacts: false }
    }

    async fn of(vms: u32) -> Cluster {
        let mut cluster = Cluster::new();
        for vm in 1..=vms {
            cluster.start(VmId(vm), Faults::default()).await;
        }
        cluster.create(GROUP, vms).await;
        cluster
    }

    async fn create(&self, group: GroupId, vms: u32) {
        for vm in self.vms.values() {
            vm.host.create(group, (1..=vms).map(VmId).collect()).await.expect("created");
        }
    }

    async fn start(&mut self, vm: VmId, faults: Faults) {
        let defaults = HostSettings::default();
        let settings = HostSettings {
            snapshot_entries: if self.compacts { 20 } else { defaults.snapshot_entries },
            segment_bytes: if self.compacts { 4_000 } else { defaults.segment_bytes },
            vm,
            folder: Some(self.root.path().join(vm.to_string())),
            replication: fast(),
            cache_bytes: 2_000,
            faults,
            ..defaults
        };
        let (outbound, batches) = mpsc::channel(1_000);
        let (host, events) = Host::start(settings, outbound).await.expect("the host starts");
        self.links.hosts.lock().expect("hosts").insert(vm, host.clone());
        tokio::spawn(carry(vm, batches, self.links.clone()));
        let told = Told::default();
        tokio::spawn(listen(events, Arc::clone(&told), host.clone()));
        self.vms.insert(vm, Vm { host, told });
    }

    async fn stop(&mut self, vm: VmId) {
        let stopped = self.vms.remove(&vm).expect("a VM");
        self.links.hosts.lock().expect("hosts").remove(&vm);
        stopped.host.stop().await;
    }

    fn cut(&self, vm: VmId) {
        self.links.cuts.lock().expect("cuts").insert(vm);
    }

    fn heal(&self) {
        self.links.cuts.lock().expect("cuts").clear();
    }

    fn host(&self, vm: VmId) -> &Host {
        &self.vms[&vm].host
    }

    /// Waits for a leader other than `but`.
    async fn leader(&self, group: GroupId, but: Option<VmId>) -> VmId {
        loop {
            for (&vm, node) in &self.vms {
                let status = node.host.status().await;
                let leads = |g: &&gypsumglade_core::replication::Status| {
                    g.group == group && g.role == Role::Leader && g.lease
                };
                if Some(vm) != but && status.groups.iter().any(|g| leads(&g)) {
                    return vm;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn propose(&self, group: GroupId, commands: &[Bytes]) {
        for command in commands {
            loop {
                let leader = self.leader(group, None).await;
                match self.host(leader).propose(group, command.clone()).await {
                    Ok(_) => break,
                    Err(ProposeError::Uncertain) => panic!("no certain outcome"),
                    Err(ProposeError::NotLeader { .. } | ProposeError::Dropped) => {}
                }
            }
        }
    }

    /// Waits until a VM has applied these commands last, and returns all that it has applied.
    async fn told_last(&self, vm: VmId, group: GroupId, last: &[Bytes]) -> Vec<Bytes> {
        loop {
            let state = self.vms[&vm].state(group);
            if state.ends_with(last) {
                return state;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until a VM has applied all these commands, from entries or the last snapshot.
    async fn told(&self, vm: VmId, group: GroupId, expected: &[Bytes]) {
        loop {
            if self.vms[&vm].state(group) == expected {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Vm {
    fn state(&self, group: GroupId) -> Vec<Bytes> {
        state(&self.told, group).0
    }
}

/// State machine of the tests: a list of all commands, and the index of the last one.
fn state(told: &Told, group: GroupId) -> (Vec<Bytes>, LogIndex) {
    let (mut state, mut last) = (Vec::new(), LogIndex(0));
    for event in told.lock().expect("events").get(&group).into_iter().flatten() {
        match event {
            Event::Committed { data, index, .. } => {
                state.push(data.clone());
                last = *index;
            }
            Event::Restore { data, index, .. } => {
                state = unpack(data);
                last = *index;
            }
            _ => {}
        }
    }
    (state, last)
}

async fn carry(from: VmId, mut batches: mpsc::Receiver<Outbound>, links: Links) {
    while let Some(Outbound { to, batch, .. }) = batches.recv().await {
        let cut = |vm| links.cuts.lock().expect("cuts").contains(vm);
        if cut(&from) || cut(&to) {
            continue;
        }
        if let Some(host) = links.hosts.lock().expect("hosts").get(&to) {
            host.receive(from, batch);
        }
    }
}

async fn listen(mut events: mpsc::Receiver<Event>, told: Told, host: Host) {
    while let Some(event) = events.recv().await {
        let group = match &event {
            Event::Leader { group, .. }
            | Event::Follower { group, .. }
            | Event::Committed { group, .. }
            | Event::Restore { group, .. }
            | Event::NeedSnapshot { group } => *group,
            Event::Failed { .. } => GROUP,
        };
        if matches!(event, Event::NeedSnapshot { .. }) {
            let (state, last) = state(&told, group);
            host.snapshot(group, last, Bytes::from(state.concat())).await;
        }
        told.lock().expect("events").entry(group).or_default().push(event);
    }
}

/// Commands of one length, so that a snapshot is their concatenation.
const COMMAND_BYTES: usize = 100;

fn commands(numbers: std::ops::Range<u8>) -> Vec<Bytes> {
    numbers.map(|n| Bytes::from(vec![n; COMMAND_BYTES])).collect()
}

fn unpack(data: &Bytes) -> Vec<Bytes> {
    (0..data.len()).step_by(COMMAND_BYTES).map(|at| data.slice(at..at + COMMAND_BYTES)).collect()
}

#[tokio::test]
async fn propose_three_vms() {
    let cluster = Cluster::of(3).await;
    let commands = commands(0..20);
    cluster.propose(GROUP, &commands).await;
    for vm in [VmId(1), VmId(2), VmId(3)] {
        cluster.told(vm, GROUP, &commands).await;
    }
}

#[tokio::test]
async fn propose_to_follower() {
    // A follower redirects a proposal to the leader and appends nothing.
    let cluster = Cluster::of(3).await;
    let leader = cluster.leader(GROUP, None).await;
    cluster.propose(GROUP, &commands(0..1)).await;
    let follower = cluster.vms.keys().copied().find(|&vm| vm != leader).expect("a follower");
    cluster.told(follower, GROUP, &commands(0..1)).await;
    let refused = cluster.host(follower).propose(GROUP, Bytes::new()).await;
    assert_eq!(refused, Err(ProposeError::NotLeader { hint: Some(leader) }));
}

#[tokio::test]
async fn propose_cut_off_leader() {
    // The leader is cut off with a proposal in flight, whose outcome is reported as uncertain or
    // dropped, never as committed. The others continue with all acknowledged entries.
    let cluster = Cluster::of(3).await;
    let first = commands(0..3);
    cluster.propose(GROUP, &first).await;
    let old = cluster.leader(GROUP, None).await;
    cluster.cut(old);
    let host = cluster.host(old).clone();
    let lost = tokio::spawn(async move { host.propose(GROUP, Bytes::from_static(b"lost")).await });
    let new = cluster.leader(GROUP, Some(old)).await;
    let second = commands(3..6);
    for command in &second {
        cluster.host(new).propose(GROUP, command.clone()).await.expect("committed");
    }
    cluster.heal();
    assert_eq!(lost.await.expect("an answer"), Err(ProposeError::Dropped));
    cluster.told(old, GROUP, &commands(0..6)).await;
}

#[tokio::test]
async fn read_barrier_cut_off_leader() {
    // A leader that is cut off answers no reads after its lease, since another may lead.
    let cluster = Cluster::of(3).await;
    let old = cluster.leader(GROUP, None).await;
    cluster.cut(old);
    cluster.leader(GROUP, Some(old)).await;
    assert!(cluster.host(old).read_barrier(GROUP).await.is_err());
}

#[tokio::test]
async fn restart_all_vms() {
    // All VMs restart; every command is applied again, in order.
    let mut cluster = Cluster::of(3).await;
    cluster.propose(GROUP, &commands(0..30)).await;
    for vm in [VmId(1), VmId(2), VmId(3)] {
        cluster.stop(vm).await;
    }
    for vm in [VmId(1), VmId(2), VmId(3)] {
        cluster.start(vm, Faults::default()).await;
    }
    cluster.propose(GROUP, &commands(30..31)).await;
    for vm in [VmId(1), VmId(2), VmId(3)] {
        cluster.told(vm, GROUP, &commands(0..31)).await;
    }
}

/// Stops a follower, and lets the others commit sixty commands without it. Returns it with the last
/// index of each other VM.
async fn left_behind(cluster: &mut Cluster) -> (VmId, Vec<(VmId, LogIndex)>) {
    cluster.propose(GROUP, &commands(0..5)).await;
    let leader = cluster.leader(GROUP, None).await;
    let late = cluster.vms.keys().copied().find(|&vm| vm != leader).expect("a follower");
    cluster.stop(late).await;
    cluster.propose(GROUP, &commands(5..60)).await;
    let mut others = Vec::new();
    for vm in cluster.vms.keys().copied().collect::<Vec<_>>() {
        cluster.told(vm, GROUP, &commands(0..60)).await;
        others.push((vm, cluster.host(vm).status().await.groups[0].commit));
    }
    (late, others)
}

#[tokio::test]
async fn restart_behind_snapshot() {
    // A VM is down while the others compact the log that it lacks. After its restart it installs their
    // snapshot, in several chunks.
    let mut cluster = Cluster::of(3).await;
    let (late, others) = left_behind(&mut cluster).await;
    for (vm, commit) in others {
        let whole = Bytes::from(commands(0..60).concat());
        cluster.host(vm).snapshot(GROUP, commit, whole).await;
    }
    cluster.propose(GROUP, &commands(60..62)).await;
    cluster.start(late, Faults::default()).await;
    cluster.told(late, GROUP, &commands(0..62)).await;
    let told = cluster.vms[&late].told.lock().expect("events")[&GROUP].clone();
    assert!(told.iter().any(|event| matches!(event, Event::Restore { .. })));
}

/// A VM that was down must vote again soon, but a group's state takes long over a narrow link. The owner
/// provides a shorter snapshot to send, which that VM installs; the others keep the full one.
#[tokio::test]
async fn restart_behind_shorter_snapshot() {
    let mut cluster = Cluster::of(3).await;
    let (late, others) = left_behind(&mut cluster).await;
    for (vm, commit) in &others {
        let whole = Bytes::from(commands(0..60).concat());
        let shorter = Bytes::from(commands(30..60).concat());
        cluster.host(*vm).snapshot_with_peer_data(GROUP, *commit, whole, shorter).await;
    }
    cluster.propose(GROUP, &commands(60..62)).await;
    cluster.start(late, Faults::default()).await;
    cluster.told(late, GROUP, &commands(30..62)).await;
    for (vm, _) in others {
        cluster.stop(vm).await;
        cluster.start(vm, Faults::default()).await;
        cluster.told(vm, GROUP, &commands(0..62)).await;
    }
}

#[tokio::test]
async fn propose_while_compacting() {
    // The log is compacted continuously, a VM is down for part of the time, and another group with a few
    // old entries delays the removal of segments until it takes a snapshot. Nothing is lost, and the
    // folders stay small and valid.
    let mut cluster = Cluster::new();
    cluster.compacts = true;
    for vm in 1..=3 {
        cluster.start(VmId(vm), Faults::default()).await;
    }
    cluster.create(GROUP, 3).await;
    cluster.create(GroupId(2), 3).await;
    cluster.propose(GroupId(2), &commands(0..3)).await;
    cluster.propose(GROUP, &commands(0..80)).await;
    let leader = cluster.leader(GROUP, None).await;
    let late = cluster.vms.keys().copied().find(|&vm| vm != leader).expect("a follower");
    cluster.stop(late).await;
    cluster.propose(GROUP, &commands(80..160)).await;
    cluster.start(late, Faults::default()).await;
    cluster.propose(GROUP, &commands(160..250)).await;
    for vm in [VmId(1), VmId(2), VmId(3)] {
        cluster.told(vm, GROUP, &commands(0..250)).await;
        cluster.told(vm, GroupId(2), &commands(0..3)).await;
    }
    for round in 0.. {
        assert!(round < 100, "the first file of a log never goes");
        let first = |vm: &VmId| {
            let report = inspect(&cluster.root.path().join(vm.to_string())).ok()?;
            Some(report.segments.first()?.number)
        };
        if cluster.vms.keys().all(|vm| first(vm).is_some_and(|number| number > 1)) {
            break;
        }
        cluster.propose(GROUP, &commands(0..10)).await;
    }
    for vm in [VmId(1), VmId(2), VmId(3)] {
        cluster.stop(vm).await;
        let report = inspect(&cluster.root.path().join(vm.to_string())).expect("a report");
        assert!(report.is_sound(), "{report:?}");
        // Four files are kept without a request for a snapshot, and up to two more until it is taken.
        assert!(report.segments.len() < 10, "{report:?}");
    }
}

#[tokio::test]
async fn change_members_replace_vm() {
    // A VM is lost for good and replaced by one with an empty folder, which votes only once it has the
    // log.
    let mut cluster = Cluster::of(3).await;
    cluster.propose(GROUP, &commands(0..10)).await;
    let leader = cluster.leader(GROUP, None).await;
    let lost = cluster.vms.keys().copied().find(|&vm| vm != leader).expect("a follower");
    cluster.stop(lost).await;
    cluster.start(VmId(4), Faults::default()).await;
    let host = cluster.host(leader);
    for change in [
        MemberChange::AddLearner(VmId(4)),
        MemberChange::Promote(VmId(4)),
        MemberChange::Remove(lost),
    ] {
        while host.change_members(GROUP, change).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    cluster.propose(GROUP, &commands(10..12)).await;
    cluster.told(VmId(4), GROUP, &commands(0..12)).await;
    let members = host.status().await.groups[0].members.clone();
    assert!(members.is_voter(VmId(4)) && !members.is_voter(lost), "{members:?}");
}

#[tokio::test]
async fn transfer_all_planned_stop() {
    // A planned stop transfers leadership first: when it returns, another VM leads every group, and
    // earlier proposals are committed.
    let cluster = Cluster::of(3).await;
    cluster.create(GroupId(2), 3).await;
    cluster.propose(GROUP, &commands(0..3)).await;
    cluster.propose(GroupId(2), &commands(0..3)).await;
    let leader = cluster.leader(GROUP, None).await;
    cluster.host(leader).transfer_all().await;
    let status = cluster.host(leader).status().await;
    assert!(status.groups.iter().all(|group| group.role != Role::Leader), "{status:?}");
    cluster.propose(GROUP, &commands(3..4)).await;
    cluster.told(leader, GROUP, &commands(0..4)).await;
}

#[tokio::test]
async fn propose_failed_disk() {
    // A sync of the leader's disk fails. The outcome of its proposals is uncertain, its owner is
    // notified, and another VM leads with all acknowledged entries.
    let mut cluster = Cluster::new();
    let faults: Vec<_> = (0..3).map(|_| Faults::default()).collect();
    for (vm, faults) in (1..=3).zip(&faults) {
        cluster.start(VmId(vm), faults.clone()).await;
    }
    cluster.create(GROUP, 3).await;
    cluster.propose(GROUP, &commands(0..5)).await;
    let old = cluster.leader(GROUP, None).await;
    faults[old.0 as usize - 1].fail_syncs();
    let lost = cluster.host(old).propose(GROUP, commands(5..6)[0].clone()).await;
    let new = cluster.leader(GROUP, Some(old)).await;
    cluster.host(new).propose(GROUP, commands(6..7)[0].clone()).await.expect("committed");

    let told = cluster.vms[&old].told.lock().expect("events")[&GROUP].clone();
    assert!(matches!(told.last(), Some(Event::Failed { .. })), "{told:?}");
    assert!(cluster.host(old).status().await.failed.is_some());
    assert!(cluster.host(old).read_barrier(GROUP).await.is_err());
    let acknowledged = lost.is_ok();
    let state = cluster.vms[&new].state(GROUP);
    assert!(!acknowledged || state.contains(&commands(5..6)[0]));
    assert_eq!(state[..5], commands(0..5));
}

/// A store whose disk was full for a while was lost until its restart.
#[tokio::test]
async fn propose_full_disk() {
    let mut cluster = Cluster::new();
    let faults: Vec<_> = (0..3).map(|_| Faults::default()).collect();
    for (vm, faults) in (1..=3).zip(&faults) {
        cluster.start(VmId(vm), faults.clone()).await;
    }
    cluster.create(GROUP, 3).await;
    cluster.propose(GROUP, &commands(0..5)).await;
    let old = cluster.leader(GROUP, None).await;
    let full = &faults[old.0 as usize - 1];
    full.fill_after(10);
    let sent = cluster.host(old).propose(GROUP, commands(5..6)[0].clone()).await;
    let new = cluster.leader(GROUP, Some(old)).await;
    cluster.host(new).propose(GROUP, commands(6..7)[0].clone()).await.expect("committed");
    let status = cluster.host(old).status().await;
    assert!(status.failed.is_none() && status.shortage.is_some(), "{status:?}");

    // Without the third VM, the entries commit only once the full disk has room again.
    full.clear();
    let third = (1..=3).map(VmId).find(|vm| *vm != old && *vm != new).expect("three VMs");
    cluster.cut(third);
    cluster.propose(GROUP, &commands(7..9)).await;
    assert_eq!(cluster.host(old).status().await.shortage, None);
    let state = cluster.told_last(new, GROUP, &commands(6..9)).await;
    assert!(sent.is_err() || state.contains(&commands(5..6)[0]));
    assert_eq!(state[..5], commands(0..5));
    assert_eq!(cluster.told_last(old, GROUP, &commands(6..9)).await, state);
}

/// A process couldn't be stopped while its disk was full.
#[tokio::test]
async fn stop_full_disk() {
    let mut cluster = Cluster::new();
    let faults = Faults::default();
    cluster.start(VmId(1), faults.clone()).await;
    cluster.create(GROUP, 1).await;
    cluster.propose(GROUP, &commands(0..1)).await;
    faults.fill_after(0);
    let host = cluster.host(VmId(1)).clone();
    let proposing = tokio::spawn({
        let host = host.clone();
        async move { host.propose(GROUP, commands(1..2)[0].clone()).await }
    });
    while host.status().await.shortage.is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    host.stop().await;
    assert!(proposing.await.expect("no panic").is_err());
}

#[tokio::test]
async fn leader_event_after_earlier_terms() {
    // The state machine is up to date when its owner learns that it leads.
    let cluster = Cluster::of(3).await;
    cluster.propose(GROUP, &commands(0..10)).await;
    let old = cluster.leader(GROUP, None).await;
    cluster.cut(old);
    let new = cluster.leader(GROUP, Some(old)).await;
    cluster.told(new, GROUP, &commands(0..10)).await;
    loop {
        let told = cluster.vms[&new].told.lock().expect("events")[&GROUP].clone();
        let leads = told.iter().position(|event| matches!(event, Event::Leader { .. }));
        let Some(leads) = leads else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let before = told[..leads].iter();
        let before = before.filter(|event| matches!(event, Event::Committed { .. })).count();
        assert_eq!(before, 10);
        return;
    }
}

#[tokio::test]
async fn status_names_leader() {
    let cluster = Cluster::of(3).await;
    let leader = cluster.leader(GROUP, None).await;
    let status = cluster.host(leader).status().await;
    let group = &status.groups[0];
    assert!(group.term > Term(1) && group.commit > LogIndex(1));
    assert_eq!(group.leader, Some(leader));
    assert_eq!(group.members.voters, [VmId(1), VmId(2), VmId(3)]);
}
