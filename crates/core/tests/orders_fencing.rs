//! Order lease: no two holders act at once, and late orders of an earlier holder have no effect.

#[path = "support/property.rs"]
mod property;

use gypsumglade_core::orders::{FencingToken, Mutation, OrderGrants, OrderHolder, OrderSettings};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{OrderLease, TakeOrderLease};
use property::{cases, fixed};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};

const DRIFT_PPM: i64 = 100_000;
const HOLDERS: usize = 2;

#[derive(Clone, Debug)]
enum Action {
    Advance {
        millis: u64,
    },
    /// A VM asks for the lease; the request may be answered later.
    Ask {
        holder: usize,
    },
    /// The leader answers one of the requests still open, and the reply arrives.
    Answer {
        index: usize,
    },
    /// The holder sends an order to the endpoint.
    Order {
        holder: usize,
    },
    /// An order in flight arrives, or is dropped if its delivery timeout has passed.
    Arrive {
        index: usize,
    },
    ChangeLeader,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        5 => (100..6_000_u64).prop_map(|millis| Action::Advance { millis }),
        5 => (0..HOLDERS).prop_map(|holder| Action::Ask { holder }),
        6 => (0..3_usize).prop_map(|index| Action::Answer { index }),
        5 => (0..HOLDERS).prop_map(|holder| Action::Order { holder }),
        5 => (0..3_usize).prop_map(|index| Action::Arrive { index }),
        1 => Just(Action::ChangeLeader),
    ]
}

/// An order in flight to the endpoint.
struct SentOrder {
    fence: FencingToken,
    sent: u64,
}

struct Simulation {
    settings: OrderSettings,
    checks_fencing: bool,
    rates: Vec<i64>,
    micros: u64,
    held: Option<OrderLease>,
    grants: OrderGrants,
    holders: Vec<Option<OrderHolder>>,
    requested: Vec<(usize, Time)>,
    in_flight: Vec<SentOrder>,
    executed: FencingToken,
    issued: FencingToken,
}

impl Simulation {
    fn new(mutation: Mutation, checks_fencing: bool, rates: Vec<i64>) -> Simulation {
        let mut settings = OrderSettings { mutation, ..OrderSettings::default() };
        settings.lease.drift_ppm = DRIFT_PPM as u32;
        Simulation {
            settings,
            checks_fencing,
            rates,
            micros: 100_000_000,
            held: None,
            grants: OrderGrants::for_leader(settings, Time(100_000_000)),
            holders: vec![None; HOLDERS],
            requested: Vec::new(),
            in_flight: Vec::new(),
            executed: FencingToken(0),
            issued: FencingToken(0),
        }
    }

    /// The leader has clock 0, holder `n` has clock `n + 1`.
    fn clock(&self, clock: usize) -> Time {
        let drift = self.micros as i64 * self.rates[clock] / 1_000_000;
        Time(self.micros.saturating_add_signed(drift))
    }

    fn run(&mut self, action: &Action) -> Result<(), TestCaseError> {
        match *action {
            Action::Advance { millis } => self.micros += millis * 1_000,
            Action::Ask { holder } => self.requested.push((holder, self.clock(holder + 1))),
            Action::Answer { index } if !self.requested.is_empty() => self.answer(index),
            Action::Order { holder } => return self.order(holder),
            Action::Arrive { index } if !self.in_flight.is_empty() => return self.arrive(index),
            Action::ChangeLeader => {
                self.grants = OrderGrants::for_leader(self.settings, self.clock(0));
            }
            Action::Answer { .. } | Action::Arrive { .. } => {}
        }
        Ok(())
    }

    fn answer(&mut self, index: usize) {
        let (holder, requested) = self.requested.remove(index % self.requested.len());
        let now = self.clock(0);
        let taker = TakeOrderLease { vm: holder as u32, incarnation: 1 };
        if !self.grants.may_take(self.held.as_ref(), &taker, now) {
            return;
        }
        let own = self.held.is_some_and(|held| held.vm == taker.vm);
        let before = self.held.map_or(0, |held| held.number);
        let number = before + u32::from(!own);
        let lease = OrderLease { vm: taker.vm, incarnation: 1, number };
        self.held = Some(lease);
        if !own {
            let learnt = self.clock(holder + 1);
            self.holders[holder] = Some(OrderHolder::new(self.settings, number, learnt));
        }
        let length = self.grants.renew(&lease, &taker, now).expect("the VM holds the lease");
        if let Some(holder) = &mut self.holders[holder] {
            holder.renewed(requested, length);
        }
    }

    fn order(&mut self, index: usize) -> Result<(), TestCaseError> {
        let now = self.clock(index + 1);
        let Some(holder) = &mut self.holders[index] else { return Ok(()) };
        let Some(fence) = holder.next_token(self.checks_fencing, now) else { return Ok(()) };
        prop_assert!(fence > self.issued, "two holders issue orders at once");
        self.issued = fence;
        self.in_flight.push(SentOrder { fence, sent: self.micros });
        Ok(())
    }

    fn arrive(&mut self, index: usize) -> Result<(), TestCaseError> {
        let sent_order = self.in_flight.remove(index % self.in_flight.len());
        let over =
            self.micros - sent_order.sent > self.settings.delivery_timeout.as_micros() as u64;
        if over || (self.checks_fencing && sent_order.fence < self.executed) {
            return Ok(());
        }
        // Within one lease an engine has one order at a time, so only orders of different leases
        // can overtake each other.
        let (lease, before) = (sent_order.fence.0 >> 32, self.executed.0 >> 32);
        prop_assert!(lease >= before, "a late order of an earlier holder was executed");
        self.executed = self.executed.max(sent_order.fence);
        Ok(())
    }
}

/// Number of cases unless the environment sets another.
const CASES: u32 = 4_000;

fn run(mutation: Mutation, checks_fencing: bool, cases: u32) -> Result<(), String> {
    let config = Config { max_shrink_iters: 0, ..fixed(4, cases) };
    let rates = prop::collection::vec(prop::sample::select(vec![-DRIFT_PPM, DRIFT_PPM]), 3);
    let actions = prop::collection::vec(action(), 1..120);
    let result = TestRunner::new(config).run(&(rates, actions), |(rates, actions)| {
        let mut simulation = Simulation::new(mutation, checks_fencing, rates);
        actions.iter().try_for_each(|action| simulation.run(action))
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn next_token_with_endpoints_that_check() {
    // Guards against late orders of a holder that was cut off or paused while another took over.
    assert_eq!(run(Mutation::None, true, cases(CASES)), Ok(()));
}

#[test]
fn next_token_with_endpoints_that_ignore_fencing() {
    // The endpoint executes any order, so only the wait before a takeover protects it.
    assert_eq!(run(Mutation::None, false, cases(CASES)), Ok(()));
}

#[test]
fn next_token_without_expiry_wait_is_caught() {
    assert!(run(Mutation::NoExpiryWait, false, 40_000).is_err());
}

#[test]
fn next_token_without_lease_check_is_caught() {
    assert!(run(Mutation::IgnoreLease, true, 40_000).is_err());
}

#[test]
fn may_take_while_held_is_caught() {
    assert!(run(Mutation::TakeRunningLease, true, 40_000).is_err());
}

#[test]
fn may_take_without_grace_period_is_caught() {
    assert!(run(Mutation::NoGracePeriod, true, 40_000).is_err());
}
