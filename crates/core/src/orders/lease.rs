//! Order lease: who may give orders, and with which fencing tokens.

use super::Mutation;
use crate::lease::LeaseSettings;
use crate::prelude::*;
use crate::wire::control::{OrderLease, TakeOrderLease};

/// Timing of the order lease. Every VM of a deployment must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderSettings {
    /// Length and renewal interval of the lease, and the maximum error of clock rates.
    pub lease: LeaseSettings,
    /// Time after which a sender gives up an order that has not arrived, by closing its connection.
    pub delivery_timeout: Duration,
    /// Safeguard that a test disables.
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

/// Fencing token of an order. For each kind of endpoint, later orders have higher tokens, across
/// all holders.
///
/// The upper half is the number of the lease, so that the first order of a new holder supersedes
/// all orders of the earlier one. The lower half counts orders within the lease, so that an
/// endpoint also refuses an order overtaken by a later one of the same holder.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Returns the token of an order under a lease.
    pub fn new(lease: u32, sequence: u32) -> FencingToken {
        FencingToken(u64::from(lease) << 32 | u64::from(sequence))
    }
}

/// Granting side of the order lease, on the control leader. It isn't stored: a new leader waits
/// until any lease of its predecessor has expired.
#[derive(Clone, Debug)]
pub struct OrderGrants {
    settings: OrderSettings,
    /// Until then, the recorded holder may give orders.
    until: Time,
}

impl OrderGrants {
    /// Creates the grants of a new control leader, whose predecessor may just have renewed the
    /// lease.
    pub fn for_leader(settings: OrderSettings, now: Time) -> OrderGrants {
        let length = settings.lease.length();
        let skip = settings.mutation == Mutation::NoGracePeriod;
        let until = if skip { now } else { now + settings.lease.expiry_wait(length) };
        OrderGrants { settings, until }
    }

    /// Returns whether `taker` may be given the lease: it is free, has expired, or belongs to
    /// `taker`.
    pub fn may_take(&self, held: Option<&OrderLease>, taker: &TakeOrderLease, now: Time) -> bool {
        let own = held.is_none_or(|held| is_holder(held, taker));
        own || now >= self.until || self.settings.mutation == Mutation::TakeRunningLease
    }

    /// Renews the lease if `asker` is its recorded holder. Returns its length, counted from the
    /// request, or `None` for any other VM.
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

/// Holding side of the order lease, which issues fencing tokens while the lease is valid.
#[derive(Clone, Debug)]
pub struct OrderHolder {
    settings: OrderSettings,
    lease: u32,
    sequence: u32,
    until: Time,
    /// From then on, orders may be sent to endpoints that ignore fencing tokens.
    unfenced_from: Time,
}

impl OrderHolder {
    /// Creates the holder of lease number `lease`, at the time when this VM learnt of it.
    ///
    /// The lease was given only after the earlier one had expired, so orders of the earlier holder
    /// have arrived or been given up once the delivery timeout has passed, even with errors of
    /// clock rates.
    pub fn new(settings: OrderSettings, lease: u32, now: Time) -> OrderHolder {
        let wait = settings.lease.expiry_wait(settings.delivery_timeout);
        let skip = settings.mutation == Mutation::NoExpiryWait;
        let unfenced_from = if skip { now } else { now + wait };
        OrderHolder { settings, lease, sequence: 0, until: Time::ZERO, unfenced_from }
    }

    /// Extends the lease by a renewal that was requested at `requested_at`.
    pub fn renewed(&mut self, requested_at: Time, length: Duration) {
        self.until = self.until.max(requested_at + length);
    }

    /// Returns the token of an order to an endpoint, or `None` if no order may be given now.
    ///
    /// The order must be sent at once and given up after the delivery timeout.
    pub fn next_token(&mut self, checks_fencing: bool, now: Time) -> Option<FencingToken> {
        let held = now < self.until || self.settings.mutation == Mutation::IgnoreLease;
        let safe = checks_fencing || now >= self.unfenced_from;
        if !held || !safe {
            return None;
        }
        // Once all tokens are used, no order is given until the VM has taken a new lease.
        self.sequence = self.sequence.checked_add(1)?;
        Some(FencingToken::new(self.lease, self.sequence))
    }
}
