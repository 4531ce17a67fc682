//! Configuration lease: once a revision is reported in force, no VM acts on an older one.

#[path = "support/property.rs"]
mod property;

use gypsumglade_core::lease::{
    ConfigGrants, ConfigLease, InForce, LeaseSettings, Mutation, ReplyAction, Upstream, VmRegion,
    upstreams,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::confirm_reply::Body;
use gypsumglade_core::wire::control::{
    ConfirmReply, ConfirmRequest, Revision, Unavailable, Update,
};
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};

/// Clock drift in the property, larger than in practice so that failures that depend on it are
/// found quickly.
const DRIFT_PPM: i64 = 100_000;
const NODES: usize = 4;

/// One event of a generated run. Messages may arrive late, twice, out of order or never.
#[derive(Clone, Debug)]
enum Action {
    Advance {
        millis: u64,
    },
    /// A node sends a request to an ancestor; ancestor 0 is the control leader.
    Ask {
        node: usize,
        ancestor: usize,
    },
    Deliver {
        index: usize,
    },
    /// A node sends a request and receives the reply at once.
    Exchange {
        node: usize,
        ancestor: usize,
    },
    Commit,
    ChangeLeader,
    Restart {
        node: usize,
    },
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (50..2_500_u64).prop_map(|millis| Action::Advance { millis }),
        8 => (0..NODES, 0..NODES).prop_map(|(node, ancestor)| Action::Ask { node, ancestor }),
        8 => (0..NODES, 0..NODES).prop_map(|(node, ancestor)| Action::Exchange { node, ancestor }),
        12 => (0..6_usize).prop_map(|index| Action::Deliver { index }),
        2 => Just(Action::Commit),
        1 => Just(Action::ChangeLeader),
        1 => (0..NODES).prop_map(|node| Action::Restart { node }),
    ]
}

#[derive(Clone)]
enum Message {
    Request { to: usize, from: usize, request: ConfirmRequest },
    Reply { to: usize, reply: ConfirmReply },
}

struct Node {
    lease: ConfigLease,
    grants: ConfigGrants,
}

/// A control leader and nodes that relay leases to the nodes after them, each with its own clock.
struct Simulation {
    settings: LeaseSettings,
    rates: Vec<i64>,
    micros: u64,
    committed: RevisionNumber,
    in_force: RevisionNumber,
    leader: ConfigGrants,
    nodes: Vec<Node>,
    wire: Vec<Message>,
    incarnations: u64,
}

impl Simulation {
    fn new(mutation: Mutation, rates: Vec<i64>) -> Simulation {
        let drift_ppm = DRIFT_PPM as u32;
        let settings = LeaseSettings { drift_ppm, mutation, ..LeaseSettings::default() };
        let mut simulation = Simulation {
            settings,
            rates,
            micros: 1_000_000,
            committed: RevisionNumber(1),
            in_force: RevisionNumber(0),
            leader: ConfigGrants::new(settings),
            nodes: Vec::new(),
            wire: Vec::new(),
            incarnations: 0,
        };
        simulation.nodes = (0..NODES).map(|node| simulation.start(node)).collect();
        simulation
    }

    fn start(&mut self, node: usize) -> Node {
        self.incarnations += 1;
        let now = self.clock(node + 1);
        let vm = VmId(node as u32);
        Node {
            lease: ConfigLease::new(self.settings, vm, self.incarnations, now),
            grants: ConfigGrants::new(self.settings),
        }
    }

    /// The leader has clock 0, node `n` has clock `n + 1`.
    fn clock(&self, clock: usize) -> Time {
        let drift = self.micros as i64 * self.rates[clock] / 1_000_000;
        Time(self.micros.saturating_add_signed(drift) + 1_000 * clock as u64)
    }

    fn run(&mut self, action: &Action) {
        match *action {
            Action::Advance { millis } => self.micros += millis / 50 * 50_000,
            Action::Ask { node, ancestor } => self.ask(node, ancestor.min(node)),
            Action::Deliver { index } if !self.wire.is_empty() => self.deliver(index),
            Action::Deliver { .. } => {}
            Action::Exchange { node, ancestor } => {
                self.ask(node, ancestor.min(node));
                self.deliver(0);
                self.deliver(0);
            }
            Action::Commit => self.committed.0 += 1,
            Action::ChangeLeader => {
                self.leader = ConfigGrants::for_leader(self.settings, self.clock(0));
            }
            Action::Restart { node } => self.nodes[node] = self.start(node),
        }
    }

    fn ask(&mut self, node: usize, to: usize) {
        let now = self.clock(node + 1);
        let Node { lease, grants } = &mut self.nodes[node];
        lease.hint(RevisionNumber(u64::MAX), now);
        let floor = grants.floor(lease.applied(), now);
        if let Some(request) = lease.next_request(floor, now) {
            self.wire.push(Message::Request { to, from: node, request });
        }
    }

    /// Delivers one of the newest messages and keeps it, so that it may be delivered again.
    fn deliver(&mut self, index: usize) {
        let index = self.wire.len() - 1 - index % self.wire.len();
        match self.wire[index].clone() {
            Message::Request { to, from, request } => {
                let reply = self.serve(to, &request);
                self.wire.push(Message::Reply { to: from, reply });
            }
            Message::Reply { to, reply } => {
                let now = self.clock(to + 1);
                let lease = &mut self.nodes[to].lease;
                if let ReplyAction::Apply(update) = lease.handle_reply(reply, now) {
                    let number = update.revision.expect("an update carries a revision").number;
                    lease.apply(RevisionNumber(number), now);
                }
            }
        }
    }

    fn serve(&mut self, to: usize, request: &ConfirmRequest) -> ConfirmReply {
        let now = self.clock(to);
        let (grants, current, limit) = match to {
            0 => (&mut self.leader, self.committed, self.settings.length()),
            _ => {
                let node = &mut self.nodes[to - 1];
                (&mut node.grants, node.lease.applied(), node.lease.remaining(now))
            }
        };
        let body = match grants.grant(request, current, limit, now) {
            Some(grant) => Body::Grant(grant),
            None if request.applied < current.0 => {
                let revision = Revision { number: current.0, ..Revision::default() };
                Body::Update(Update { revision: Some(revision), ..Update::default() })
            }
            None => Body::Unavailable(Unavailable { leader: None }),
        };
        ConfirmReply { ask: request.ask, body: Some(body) }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        if self.leader.in_force(self.committed, self.clock(0)) == InForce::Yes {
            self.in_force = self.committed;
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let now = self.clock(index + 1);
            let Some(revision) = node.lease.working_revision(now) else { continue };
            prop_assert!(revision >= self.in_force, "vm{index} acts on {revision}");
        }
        Ok(())
    }
}

/// Number of cases unless the environment sets another.
const CASES: u32 = 4_000;

fn run(mutation: Mutation, cases: u32) -> Result<(), String> {
    let config = Config { max_shrink_iters: 0, ..fixed(4, cases) };
    let rates = prop::collection::vec(prop::sample::select(vec![-DRIFT_PPM, DRIFT_PPM]), 5);
    let actions = prop::collection::vec(action(), 1..160);
    let result = TestRunner::new(config).run(&(rates, actions), |(rates, actions)| {
        let mut simulation = Simulation::new(mutation, rates);
        for action in &actions {
            simulation.run(action);
            simulation.check()?;
        }
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

/// Number of cases within which a disabled safeguard must be detected.
const MUTATION_CASES: u32 = 60_000;

fn assert_caught(mutation: Mutation) {
    let result = run(mutation, MUTATION_CASES);
    assert!(result.is_err(), "{mutation:?} was not detected");
}

#[test]
fn in_force_holds_under_loss_delay_drift_and_restarts() {
    // Guards against a VM that acts on an old bundle after the new one was reported in force, under
    // message loss, reordering, restarts, leader changes and clock drift up to the bound.
    assert_eq!(run(Mutation::None, cases(CASES)), Ok(()));
}

#[test]
fn in_force_without_expiry_wait_is_caught() {
    assert_caught(Mutation::NoExpiryWait);
}

#[test]
fn in_force_without_drift_bound_is_caught() {
    assert_caught(Mutation::IgnoreDrift);
}

#[test]
fn in_force_without_grace_period_is_caught() {
    assert_caught(Mutation::NoGracePeriod);
}

#[test]
fn in_force_with_downgrade_is_caught() {
    assert_caught(Mutation::AllowDowngrade);
}

#[test]
fn in_force_with_relay_ignoring_limit_is_caught() {
    assert_caught(Mutation::RelayIgnoresLimit);
}

#[test]
fn in_force_with_relay_hiding_children_is_caught() {
    assert_caught(Mutation::RelayHidesChildren);
}

#[test]
fn in_force_with_lease_counted_from_reply_is_caught() {
    assert_caught(Mutation::CountFromReply);
}

/// Runs a restart of a relay while a VM behind it holds a lease under the older revision.
fn restarted_relay(mutation: Mutation) -> Simulation {
    let mut simulation = Simulation::new(mutation, vec![0; NODES + 1]);
    let exchange = |simulation: &mut Simulation, node: usize, ancestor: usize| {
        simulation.run(&Action::Exchange { node, ancestor });
    };
    for node in [0, 0, 1, 1] {
        exchange(&mut simulation, node, node);
    }
    simulation.run(&Action::Commit);
    simulation.run(&Action::Restart { node: 0 });
    exchange(&mut simulation, 0, 0);
    exchange(&mut simulation, 0, 0);
    simulation
}

#[test]
fn in_force_waits_for_vms_behind_a_restarted_relay() {
    // A restarted relay confirms the new revision without knowing that a VM behind it still holds a
    // lease under the old one. Its confirmation must not cover grants of its earlier incarnation.
    let mut simulation = restarted_relay(Mutation::None);
    let now = simulation.clock(2);
    assert_eq!(simulation.nodes[1].lease.working_revision(now), Some(RevisionNumber(1)));
    assert!(simulation.check().is_ok());
    assert_ne!(simulation.leader.in_force(RevisionNumber(2), simulation.clock(0)), InForce::Yes);
    simulation.micros += 6_000_000;
    assert_eq!(simulation.nodes[1].lease.working_revision(simulation.clock(2)), None);
    simulation.micros += 2_000_000;
    assert_eq!(simulation.leader.in_force(RevisionNumber(2), simulation.clock(0)), InForce::Yes);
}

#[test]
fn in_force_without_incarnation_check_is_caught() {
    // Scripted, since the random property rarely generates this order of events.
    let mut simulation = restarted_relay(Mutation::IgnoreIncarnation);
    assert!(simulation.check().is_err(), "vm1 acts on an old revision undetected");
}

#[test]
fn in_force_waits_for_an_unreachable_vm_until_its_lease_expires() {
    let settings = LeaseSettings::default();
    let mut grants = ConfigGrants::new(settings);
    let request = ConfirmRequest { vm: 7, ask: 1, applied: 1, floor: 1, incarnation: 1 };
    let start = Time::from_millis(1_000);
    grants.grant(&request, RevisionNumber(1), settings.length(), start).expect("a lease");
    let over = start + settings.expiry_wait(settings.length());
    let InForce::Waiting(waiting) = grants.in_force(RevisionNumber(2), start) else {
        panic!("vm7 may act on revision 1");
    };
    assert_eq!((waiting.vms, waiting.until), (vec![VmId(7)], over));
    assert_eq!(grants.in_force(RevisionNumber(2), over), InForce::Yes);
}

#[test]
fn upstreams_cross_the_paid_link_once_for_each_region() {
    let member = |vm: u32| VmRegion { vm: VmId(vm), region: RegionId((vm % 4) as u16) };
    let members: Vec<VmRegion> = (0..390).map(member).collect();
    let paths: Vec<Vec<Upstream>> = members.iter().map(|me| upstreams(*me, &members)).collect();
    let heads = paths.iter().filter(|path| path[0] == Upstream::Control).count();
    let depth = paths.iter().map(Vec::len).max();
    assert_eq!((heads, depth), (4, Some(3)));
    for parent in &members {
        let asked = paths.iter().filter(|path| path[0] == Upstream::Vm(parent.vm)).count();
        assert!(asked <= gypsumglade_core::lease::FAN_OUT, "{} serves {asked}", parent.vm);
    }
}
