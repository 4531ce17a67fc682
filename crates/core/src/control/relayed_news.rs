//! News of the control group as a store passes them on without leading the group.
//!
//! An endpoint that leaves relies on every entry VM to know of it within a bounded time. A relay that
//! is cut off from the leader, or was paused, would keep its entry VMs on an old list, so it answers
//! only as long as its list was current a short time ago. See docs/design/fleet.md.

use std::collections::BTreeMap;

use super::endpoint_list::{EndpointList, PAGE_CHANGES};
use super::suspects::{RequestDigest, read_digest};
use crate::prelude::*;
use crate::wire::control::{EndpointNews, EndpointQuery, EndpointRecord, Suspect};

/// Age of the list up to which a relay answers.
///
/// An entry VM asks at least every 400 ms and turns to another relay at once if it is refused, so it
/// hears of a change within some two seconds, also if a relay on the way is cut off.
pub const MAX_AGE: Duration = Duration::from_millis(1_000);

/// The list of endpoints and the suspected requests, as of the last news.
#[derive(Clone, Debug, Default)]
pub struct RelayedNews {
    list: EndpointList,
    suspects: BTreeMap<RequestDigest, (Suspect, Time)>,
    suspect_change: u64,
    /// Whether the list has been complete since the start.
    has_list: bool,
    /// Time at which the list was current; zero before the first news.
    as_of: Time,
}

impl RelayedNews {
    /// Returns the list of endpoints.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Returns `true` once the whole list has been fetched.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns the query for what has changed since the last news.
    pub fn query(&self) -> EndpointQuery {
        EndpointQuery {
            seen: self.list.change(),
            since: self.list.since(),
            seen_suspects: self.suspect_change,
            wait_ms: 0,
        }
    }

    /// Returns the numbers of the last changes of endpoints and of suspected requests.
    pub fn changes(&self) -> (u64, u64) {
        (self.list.change(), self.suspect_change)
    }

    /// Takes in news that were current at `as_of`.
    pub fn merge(&mut self, now: Time, as_of: Time, news: &EndpointNews) {
        self.list.merge(news);
        self.has_list |= self.list.is_complete();
        if !news.suspect_delta {
            self.suspects.clear();
        }
        for suspect in &news.suspects {
            let Some(digest) = read_digest(&suspect.digest) else { continue };
            self.suspects.insert(digest, (suspect.clone(), now));
        }
        let is_recorded = |suspect: &Suspect, at: Time| {
            suspect.crashes > 0 && now.since(at) < Duration::from_millis(suspect.left_ms)
        };
        self.suspects.retain(|_, (suspect, at)| is_recorded(suspect, *at));
        self.suspect_change = news.suspect_change;
        self.as_of = self.as_of.max(as_of);
    }

    /// Answers a query, or returns `None` if another process has to be asked: the list is incomplete,
    /// older than [`MAX_AGE`], or behind the asker's.
    pub fn answer(&self, now: Time, query: &EndpointQuery) -> Option<EndpointNews> {
        let age = now.since(self.as_of);
        let behind = query.seen > self.list.change();
        if self.as_of == Time::ZERO || age > MAX_AGE || behind || !self.list.is_complete() {
            return None;
        }
        let same = query.seen_suspects == self.suspect_change;
        let suspects = if same { Vec::new() } else { self.suspects_at(now) };
        Some(EndpointNews {
            suspect_change: self.suspect_change,
            suspects,
            suspect_delta: same,
            age_ms: age.as_millis() as u64,
            ..self.list.page(query.seen, query.since, PAGE_CHANGES)
        })
    }

    /// Returns `true` if an announcement repeats what the list has of the endpoint.
    pub fn is_renewal(&self, announced: &EndpointRecord) -> bool {
        let known = self.list.get(&announced.name);
        known.is_some_and(|known| super::is_renewal(known, announced))
    }

    fn suspects_at(&self, now: Time) -> Vec<Suspect> {
        let suspects = self.suspects.values().map(|(suspect, at)| {
            let passed = now.since(*at).as_millis() as u64;
            Suspect {
                quarantine_ms: suspect.quarantine_ms.saturating_sub(passed),
                left_ms: suspect.left_ms.saturating_sub(passed),
                ..suspect.clone()
            }
        });
        suspects.collect()
    }
}
