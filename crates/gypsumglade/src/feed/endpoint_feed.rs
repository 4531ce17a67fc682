//! Client for the list of endpoints.

use gypsumglade_core::prelude::*;
use gypsumglade_core::relays::{Source, keeps_to_relay};
use gypsumglade_core::wire::control::{EndpointNews, EndpointQuery};
use gypsumglade_core::wire::discovery::Role;

use super::Sources;
use crate::clock::Clock;
use crate::rpc::{Method, PeerClients, RpcError};

/// How long the leader may hold a query until there is a change.
const LEADER_WAIT: Duration = Duration::from_millis(800);
/// How long a relay may hold an entry VM's query.
const RELAY_WAIT: Duration = Duration::from_millis(400);
/// How long a query of a relay may be held. Short, since the ages of the news add up from relay to
/// relay.
const STORE_WAIT: Duration = Duration::from_millis(200);
/// Time limit of a query; how fast a failed source is noticed. Must be shorter than the time that a
/// draining endpoint keeps serving.
const TIMEOUT: Duration = Duration::from_millis(1_300);
/// First delay after a failed query; each further one is longer, up to [`MAX_RETRY_INTERVAL`].
const RETRY_INTERVAL: Duration = Duration::from_millis(40);
/// Longest delay after a failed query.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(320);
/// Delay after a page with changes, so that further changes come together.
const GAP: Duration = Duration::from_millis(50);

/// A page of the list, and when it was current.
#[derive(Clone, Debug)]
pub struct News {
    /// The page.
    pub page: EndpointNews,
    /// Time at which the leader had no later changes.
    pub as_of: Time,
}

/// Fetches the changes of the list of endpoints, one page at a time.
pub struct EndpointFeed {
    sources: Sources,
    peers: PeerClients,
    clock: Clock,
    /// Delay before the next query.
    delay: Duration,
    failures: u32,
}

impl EndpointFeed {
    /// Creates a feed that has not asked yet.
    pub fn new(sources: Sources, peers: PeerClients, clock: Clock) -> EndpointFeed {
        EndpointFeed { sources, peers, clock, delay: Duration::ZERO, failures: 0 }
    }

    /// Asks for the changes after those of `query`, whose wait is set here. Returns `None` if the
    /// asked process can't answer; the next call asks another one, unless the caller has no list yet and
    /// the asked relay may get it soon.
    pub async fn next(&mut self, query: EndpointQuery, has_list: bool) -> Option<News> {
        tokio::time::sleep(self.delay).await;
        let news = self.ask(query, has_list).await;
        self.delay = match &news {
            Some(news) if news.page.change < news.page.latest => Duration::ZERO,
            Some(news) if news.page.change == query.seen => Duration::ZERO,
            Some(_) => GAP,
            None => RETRY_INTERVAL
                .saturating_mul(1 << self.failures.min(8))
                .min(MAX_RETRY_INTERVAL)
                .mul_f64(rand::random_range(0.5..1.0)),
        };
        self.failures = if news.is_some() { 0 } else { self.failures + 1 };
        news
    }

    async fn ask(&mut self, query: EndpointQuery, has_list: bool) -> Option<News> {
        let Some(target) = self.sources.target() else {
            self.sources.skip();
            return None;
        };
        let wait = match (self.sources.role(), target.source) {
            (Role::Store, _) => STORE_WAIT,
            (Role::Entry, Source::Leader) => LEADER_WAIT,
            (Role::Entry, Source::Relay(_)) => RELAY_WAIT,
        };
        let query = EndpointQuery { wait_ms: wait.as_millis() as u64, ..query };
        let sent = self.clock.now();
        let asking = self.peers.fetch(target.address, Method::Endpoints, &query, TIMEOUT);
        let answer: Result<EndpointNews, RpcError> = asking.await;
        match answer {
            Ok(page) if !page.unavailable => {
                self.sources.confirm(&target);
                // Counted from the request, since the answer may have been delayed by any time.
                let held = Duration::from_millis(page.held_ms);
                let as_of = sent + held.min(wait) - Duration::from_millis(page.age_ms);
                Some(News { page, as_of })
            }
            Ok(_)
                if matches!(target.source, Source::Relay(_))
                    && keeps_to_relay(has_list, self.sources.waited()) =>
            {
                None
            }
            Ok(page) => {
                self.sources.redirect(&target, Some(VmId(page.leader)));
                None
            }
            Err(_) => {
                self.sources.unresponsive(&target);
                None
            }
        }
    }
}
