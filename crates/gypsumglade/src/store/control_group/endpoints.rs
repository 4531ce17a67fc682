//! Registration of endpoints at the control group, and queries by entry VMs that watch them.

use std::collections::HashMap;
use std::sync::Arc;

use futures::future::join_all;

use gypsumglade_core::control::PAGE_CHANGES;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::control::{
    Answer, Command, Deregister, EndpointNews, EndpointQuery, EndpointRecord, Expire, Register,
    Registered, Renew, answer,
};
use gypsumglade_core::wire::operator::control_reply::Body as ReplyBody;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{ControlGroup, ControlState, Role, not_leader};

/// Longest time that a query waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Interval between two checks for expired endpoints.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// Removals of expired endpoints that wait for their commit at the same time.
const EXPIRIES_IN_FLIGHT: usize = 256;
/// Time between two checks from which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Each endpoint's last announcement to this leader.
#[derive(Debug, Default)]
pub(super) struct LastAnnounced(HashMap<CompactString, Announced>);

#[derive(Clone, Copy, Debug)]
struct Announced {
    at: Time,
    /// Incarnation and sequence of the announcement, or of an earlier one if another store took the
    /// last.
    incarnation: u64,
    sequence: u64,
}

/// Sequence numbers of the last changes that entry VMs wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Watched {
    /// Of the endpoints.
    pub(super) endpoints: u64,
    /// Of the requests under which endpoints have ended.
    pub(super) suspects: u64,
}

impl Announced {
    /// Returns the state of an endpoint that this leader hasn't heard itself.
    fn unheard(at: Time) -> Announced {
        Announced { at, incarnation: 0, sequence: 0 }
    }
}

impl LastAnnounced {
    fn record(&mut self, record: &EndpointRecord, now: Time) {
        self.renew(&record.name, now);
        let Some(last) = self.0.get_mut(record.name.as_str()) else { return };
        let newest = (last.incarnation, last.sequence).max((record.incarnation, record.sequence));
        (last.incarnation, last.sequence) = newest;
    }

    /// Records an announcement that another store took.
    fn renew(&mut self, name: &str, now: Time) {
        match self.0.get_mut(name) {
            Some(last) => last.at = now,
            None => drop(self.0.insert(name.into(), Announced::unheard(now))),
        }
    }

    /// Returns the last sequence of an incarnation, or zero if none was heard.
    fn sequence(&self, name: &str, incarnation: u64) -> u64 {
        let last = self.0.get(name).filter(|last| last.incarnation == incarnation);
        last.map_or(0, |last| last.sequence)
    }

    /// Returns `true` if an endpoint has not announced itself for longer than `lease`.
    ///
    /// For an endpoint that this leader has never heard from, the time starts at the first check: a
    /// new leader must not remove endpoints that announced themselves to the previous one.
    fn is_expired(&mut self, name: &str, now: Time, lease: Duration) -> bool {
        let last = self.0.entry(name.into()).or_insert(Announced::unheard(now));
        now.since(last.at) > lease
    }
}

impl ControlGroup {
    /// Handles an endpoint's announcement.
    ///
    /// Changes are committed before they are acknowledged: an endpoint whose draining is
    /// acknowledged relies on all entry VMs to honour it, also under a new leader. A repeated
    /// announcement only renews the lease.
    pub(super) async fn register(&self, register: Register) -> ReplyBody {
        let Some(record) = &register.endpoint else { return not_leader(None) };
        let now = self.context.clock.now();
        let (update, term) = {
            let mut state = self.state();
            let term = match &state.role {
                Role::Follower(leader) => return self.redirect(*leader),
                Role::Leader { term, .. } => *term,
            };
            state.last_announced.record(record, now);
            (state.control.endpoints().is_update(record), term)
        };
        if update {
            slog::info!(self.context.log, "registering endpoint"; "endpoint" => &record.name,
                "address" => &record.address, "pool" => &record.pool,
                "incarnation" => record.incarnation, "leaving" => record.leaving);
            return self.command(Command { body: Some(CommandBody::Register(register)) }).await;
        }
        if self.context.host.lease_term(GroupId::CONTROL).await != Some(term) {
            return not_leader(None);
        }
        let body = answer::Body::Registered(Registered {});
        ReplyBody::Answer(Answer { body: Some(body) })
    }

    /// Renews the leases of endpoints that have announced themselves unchanged to another store.
    pub(super) fn renew_endpoints(&self, renew: &Renew) -> ReplyBody {
        let now = self.context.clock.now();
        let mut state = self.state();
        let ControlState { control, last_announced, role, .. } = &mut *state;
        if let Role::Follower(leader) = role {
            return self.redirect(*leader);
        }
        for name in &renew.names {
            if control.endpoints().get(name).is_some() {
                last_announced.renew(name, now);
            }
        }
        ReplyBody::Answer(Answer { body: Some(answer::Body::Registered(Registered {})) })
    }

    /// Removes an endpoint that has shut down or is about to.
    pub(super) async fn deregister(&self, mut deregister: Deregister) -> ReplyBody {
        if deregister.incarnation == 0 {
            let state = self.state();
            let known = state.control.endpoints().last_incarnation(&deregister.name);
            deregister.incarnation = known.unwrap_or_default();
        }
        slog::info!(self.context.log, "deregistering endpoint"; "endpoint" => &deregister.name,
            "incarnation" => deregister.incarnation);
        self.command(Command { body: Some(CommandBody::Deregister(deregister)) }).await
    }

    /// Returns the changes of endpoints and of suspected requests since the query's last ones, and
    /// waits for a change if there is none.
    ///
    /// Only a leader with a valid lease answers: a partitioned store would report no changes while
    /// endpoints drain and are replaced.
    pub async fn watch_endpoints(&self, query: &EndpointQuery) -> EndpointNews {
        let wait = Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let began = Instant::now();
        let deadline = began + wait;
        let known = Watched { endpoints: query.seen, suspects: query.seen_suspects };
        let mut changes = self.watched.subscribe();
        // A store that doesn't lead would hold the query in vain.
        if let Role::Follower(leader) = &self.state().role {
            return no_update(self.context.known_leader(GroupId::CONTROL, *leader));
        }
        loop {
            if *changes.borrow_and_update() != known {
                break;
            }
            if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                break;
            }
        }
        let held = began.elapsed();
        let (mut update, term) = {
            let state = self.state();
            match &state.role {
                Role::Follower(leader) => {
                    return no_update(self.context.known_leader(GroupId::CONTROL, *leader));
                }
                Role::Leader { term, .. } => (self.changes_since(&state, query), *term),
            }
        };
        if self.context.host.lease_term(GroupId::CONTROL).await != Some(term) {
            return no_update(None);
        }
        update.held_ms = held.as_millis() as u64;
        update
    }

    fn changes_since(&self, state: &ControlState, query: &EndpointQuery) -> EndpointNews {
        let now = state.trials.millis(self.context.clock.now());
        let known = state.control.suspects();
        let (suspects, suspect_delta) = known.changes_since(now, query.seen_suspects);
        EndpointNews {
            suspect_change: known.change(),
            suspects,
            suspect_delta,
            ..state.control.endpoints().list().page(query.seen, query.since, PAGE_CHANGES)
        }
    }

    /// Removes expired endpoints while this store leads, until `halt` is cancelled.
    pub async fn expire_endpoints(self: Arc<Self>, lease: Duration, halt: CancellationToken) {
        let mut last_check = self.context.clock.now();
        while !halt.is_cancelled() {
            let now = self.context.clock.now();
            if now.since(last_check) > PAUSE_THRESHOLD {
                // The process was paused and received no announcements. Removing all endpoints
                // would leave callers without any.
                self.state().last_announced = LastAnnounced::default();
            }
            last_check = now;
            for expired in self.expired_endpoints(lease).chunks(EXPIRIES_IN_FLIGHT) {
                // If leadership is lost, the next leader removes the endpoints.
                join_all(expired.iter().map(|expired| self.remove_expired(expired))).await;
            }
            tokio::select! {
                () = halt.cancelled() => {}
                () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
            }
        }
    }

    async fn remove_expired(&self, expired: &Expire) {
        slog::warn!(self.context.log, "removing expired endpoint";
            "endpoint" => &expired.name, "incarnation" => expired.incarnation);
        self.command(Command { body: Some(CommandBody::Expire(expired.clone())) }).await;
    }

    fn expired_endpoints(&self, lease: Duration) -> Vec<Expire> {
        let now = self.context.clock.now();
        let mut state = self.state();
        let super::ControlState { control, last_announced, role, .. } = &mut *state;
        if matches!(role, Role::Follower(_)) {
            return Vec::new();
        }
        let endpoints = control.endpoints().iter().filter_map(|record| {
            let name = &record.name;
            let is_expired = last_announced.is_expired(name, now, lease);
            let incarnation = record.incarnation;
            let sequence = record.sequence.max(last_announced.sequence(name, incarnation));
            is_expired.then(|| Expire { name: name.clone(), incarnation, sequence })
        });
        endpoints.collect()
    }
}

pub(in crate::store) fn no_update(leader: Option<VmId>) -> EndpointNews {
    EndpointNews {
        unavailable: true,
        leader: leader.unwrap_or_default().0,
        ..EndpointNews::default()
    }
}
