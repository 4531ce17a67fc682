//! Grants and renewals of the order lease by the control group's leader.

use gypsumglade_core::orders::{OrderGrants, OrderSettings};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{Answer, Command, OrderLease, TakeOrderLease};
use gypsumglade_core::wire::operator::Uncertain;
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;

use super::{ControlGroup, Role, not_leader};

/// Decision on a request for the order lease.
enum LeaseDecision {
    /// Renewed, provided that leadership is confirmed afterwards.
    Renewed,
    /// The lease may be granted to the caller through the log.
    Free,
    /// Another VM holds the lease.
    Held(OrderLease),
    /// This store does not lead; names the leader if it is known.
    NotLeader(Option<VmId>),
}

impl ControlGroup {
    /// Grants or renews the order lease, or returns the lease that another VM holds.
    ///
    /// A renewal counts from the time of the request. Before it is answered, leadership is
    /// confirmed and all entries committed until then are applied: a leader that was paused could
    /// otherwise renew a lease that its successor has granted to another VM.
    pub(super) async fn take_order_lease(&self, take: TakeOrderLease) -> ReplyBody {
        // A new leader that has not applied the log yet could mistake a held lease for a free one.
        let unheld = self.state().control.order_lease().is_none();
        if unheld && !self.is_caught_up().await {
            return uncertain();
        }
        if let Some(reply) = self.grant_if_free(&take).await {
            return reply;
        }
        match self.try_renew(&take) {
            LeaseDecision::Renewed => self.confirm_renewal(&take).await,
            LeaseDecision::Held(held) => answer(held),
            LeaseDecision::Free => uncertain(),
            LeaseDecision::NotLeader(leader) => not_leader(leader),
        }
    }

    /// Proposes a grant to the caller if the lease is free. Returns a reply only if that failed.
    async fn grant_if_free(&self, take: &TakeOrderLease) -> Option<ReplyBody> {
        let LeaseDecision::Free = self.try_renew(take) else { return None };
        let command = Command { body: Some(CommandBody::TakeOrders(*take)) };
        match self.command(command).await {
            ReplyBody::Answer(_) => None,
            failed => Some(failed),
        }
    }

    fn try_renew(&self, take: &TakeOrderLease) -> LeaseDecision {
        let now = self.context.clock.now();
        let mut state = self.state();
        if let Role::Follower(leader) = state.role {
            return LeaseDecision::NotLeader(leader);
        }
        let held = state.control.order_lease().copied();
        let settings = self.order_settings();
        let grants =
            state.order_grants.get_or_insert_with(|| OrderGrants::for_leader(settings, now));
        if held.is_some_and(|held| grants.renew(&held, take, now).is_some()) {
            return LeaseDecision::Renewed;
        }
        if let Some(held) = held.filter(|held| !grants.may_take(Some(held), take, now)) {
            return LeaseDecision::Held(held);
        }
        // Resetting the grants prevents two holders: two callers' entries could otherwise both be
        // proposed, and the first holder renewed before the second's entry is applied. Until this
        // entry is surely applied, the leader waits as a new leader does.
        *grants = OrderGrants::for_leader(settings, now);
        LeaseDecision::Free
    }

    async fn is_caught_up(&self) -> bool {
        let barrier = self.context.host.read_barrier(GroupId::CONTROL).await;
        barrier.is_ok_and(|barrier| self.state().answers.applied() >= barrier)
    }

    async fn confirm_renewal(&self, take: &TakeOrderLease) -> ReplyBody {
        if !self.is_caught_up().await {
            return uncertain();
        }
        let state = self.state();
        let held = state.control.order_lease();
        let held = held.filter(|held| held.vm == take.vm && held.incarnation == take.incarnation);
        held.map_or_else(uncertain, |held| answer(*held))
    }

    fn order_settings(&self) -> OrderSettings {
        OrderSettings { lease: self.lease, ..OrderSettings::default() }
    }
}

fn answer(lease: OrderLease) -> ReplyBody {
    ReplyBody::Answer(Answer { body: Some(AnswerBody::Orders(lease)) })
}

fn uncertain() -> ReplyBody {
    ReplyBody::Uncertain(Uncertain {})
}
