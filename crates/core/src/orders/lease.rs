//! Who may give orders, and with which fencing numbers.

use super::Mutation;
use crate::lease::LeaseSettings;
use crate::prelude::*;
use crate::wire::control::{OrderLease, TakeOrderLease};

/// Times of the order lease. Every VM of a deployment must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Length of the lease, its renewal and the bound on clock drift.
    pub lease: LeaseSettings,
    /// Longest time from giving an order until it has arrived or surely never will: the sender
    /// gives up its connection by then.
    pub delivery_timeout: Duration,
    /// Safeguard switched off by a test.
    #[doc(hidden)]
    pub mutation: Mutation,
}

impl Default for OrderSettings {
    fn default() -> OrderSettings {
        OrderSettings {
            lease: LeaseSettings::default(),
            delivery_timeout: Duration::from_secs(10),
            mutation: Mutation::None,
        }
    }
}

/// Orders of one kind of endpoint: a later order has a higher number, over all holders.
///
/// The lease's number is the upper half, so that the first order of a new holder passes all of
/// the earlier one's; the lower half counts within the lease, so that an endpoint also refuses
/// an order overtaken by a later one of the same holder.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the number of one order under a lease.
    pub fn new(lease: u32, sequence: u32) -> FencingToken {
        FencingToken(u64::from(lease) << 32 | u64::from(sequence))
    }
}

/// The granting side, on the control leader. Volatile: a new leader starts one and waits.
#[derive(Clone, Debug)]
pub struct OrderGrants {
    settings: OrderSettings,
    /// Until then the recorded holder may be giving orders.
    until: Time,
}

impl OrderGrants {
    /// Starts with a new control leader, whose predecessor may just have renewed the lease.
    pub fn for_leader(settings: OrderSettings, now: Time) -> OrderGrants {
        let length = settings.lease.length();
        let skip = settings.mutation == Mutation::NoGracePeriod;
        let until = if skip { now } else { now + settings.lease.expiry_wait(length) };
        OrderGrants { settings, until }
    }

    /// Returns true if the log may give the lease to `taker`: it is free, over, or its own.
    pub fn may_take(&self, held: Option<&OrderLease>, taker: &TakeOrderLease, now: Time) -> bool {
        let own = held.is_none_or(|held| is_holder(held, taker));
        own || now >= self.until || self.settings.mutation == Mutation::TakeRunningLease
    }

    /// Renews the lease of the VM that the log names; returns how long it runs from the moment
    /// the VM asked, or `None` for any other.
    pub fn renew(
        &mut self,
        held: &OrderLease,
        asker: &TakeOrderLease,
        now: Time,
    ) -> Option<Duration> {
        if !is_holder(held, asker) {
            return None;
        }
        let length = self.settings.lease.length();
        self.until = self.until.max(now + self.settings.lease.expiry_wait(length));
        Some(length)
    }
}

fn is_holder(held: &OrderLease, asker: &TakeOrderLease) -> bool {
    held.vm == asker.vm && held.incarnation == asker.incarnation
}

/// The holding side: gives numbers to orders while its lease runs.
#[derive(Clone, Debug)]
pub struct OrderHolder {
    settings: OrderSettings,
    lease: u32,
    sequence: u32,
    until: Time,
    /// From then on, orders may go to endpoints that ignore fencing.
    unfenced_from: Time,
}

impl OrderHolder {
    /// Starts with the lease number that the log gave this VM, at the time it learnt of it.
    ///
    /// The log gave it once the earlier lease was over, so an order of the earlier holder was
    /// given before, and is over after the longest flight.
    pub fn new(settings: OrderSettings, lease: u32, now: Time) -> OrderHolder {
        let wait = settings.lease.expiry_wait(settings.delivery_timeout);
        let skip = settings.mutation == Mutation::NoExpiryWait;
        let unfenced_from = if skip { now } else { now + wait };
        OrderHolder { settings, lease, sequence: 0, until: Time::ZERO, unfenced_from }
    }

    /// Takes a renewal asked for at `asked`.
    pub fn renewed(&mut self, asked: Time, length: Duration) {
        self.until = self.until.max(asked + length);
    }

    /// Returns the number for an order to an endpoint, or `None` if none may be given now. The
    /// order must be sent at once, and given up after the longest flight.
    pub fn next_token(&mut self, checks_fencing: bool, now: Time) -> Option<FencingToken> {
        let held = now < self.until || self.settings.mutation == Mutation::IgnoreLease;
        let safe = checks_fencing || now >= self.unfenced_from;
        if !held || !safe {
            return None;
        }
        // With every number used up, the VM takes a new lease by restarting its part.
        self.sequence = self.sequence.checked_add(1)?;
        Some(FencingToken::new(self.lease, self.sequence))
    }
}
