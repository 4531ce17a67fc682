//! Passes the control group's news on to entry VMs and other stores, in a large deployment.

use std::sync::{Arc, Mutex, MutexGuard};

use gypsumglade_core::control::RelayedNews;
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::{EndpointNews, EndpointQuery, EndpointRecord};
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::context::StoreContext;
use super::control_group::{ControlGroup, no_update};
use crate::feed::EndpointFeed;

/// Longest time that a query waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(5);
/// Interval at which a store that passes nothing on checks whether it should.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// The news that this store has fetched, and the processes that wait for further ones.
pub struct NewsRelay {
    context: Arc<StoreContext>,
    control: Arc<ControlGroup>,
    news: Mutex<RelayedNews>,
    /// Numbers of the last changes of endpoints and of suspected requests.
    changes: watch::Sender<(u64, u64)>,
}

impl NewsRelay {
    /// Creates a relay without news.
    pub(super) fn new(context: Arc<StoreContext>, control: Arc<ControlGroup>) -> Arc<NewsRelay> {
        let (news, changes) = (Mutex::default(), watch::Sender::default());
        Arc::new(NewsRelay { context, control, news, changes })
    }

    /// Fetches the news until `halt` is cancelled, unless this store leads the control group or
    /// `wanted` returns false.
    pub(super) async fn follow(
        self: Arc<Self>,
        mut feed: EndpointFeed,
        wanted: impl Fn() -> bool,
        halt: CancellationToken,
    ) {
        let began = Instant::now();
        while !halt.is_cancelled() {
            if self.control.leads() || !wanted() {
                tokio::time::sleep(IDLE_INTERVAL).await;
                continue;
            }
            let (query, has_list) = {
                let news = self.news();
                (news.query(), news.has_list())
            };
            let Some(found) = feed.next(query, has_list).await else { continue };
            let (changes, first_list) = {
                let mut news = self.news();
                news.merge(self.context.clock.now(), found.as_of, &found.page);
                let first_list = !has_list && news.has_list();
                (news.changes(), first_list.then(|| news.list().len()))
            };
            if let Some(endpoints) = first_list {
                slog::info!(self.context.log, "endpoint list fetched"; "endpoints" => endpoints,
                    "change" => changes.0, "ms" => began.elapsed().as_millis() as u64);
            }
            self.changes.send_if_modified(|known| std::mem::replace(known, changes) != changes);
        }
    }

    /// Answers a query, after a change or once its wait is over.
    pub async fn watch(&self, query: &EndpointQuery) -> EndpointNews {
        let began = Instant::now();
        let deadline = began + Duration::from_millis(query.wait_ms).min(MAX_WAIT);
        let mut changes = self.changes.subscribe();
        let known = (query.seen, query.seen_suspects);
        while *changes.borrow_and_update() == known {
            if tokio::time::timeout_at(deadline, changes.changed()).await.is_err() {
                break;
            }
        }
        let held = began.elapsed();
        let answer = self.news().answer(self.context.clock.now(), query);
        match answer {
            Some(news) => EndpointNews { held_ms: held.as_millis() as u64, ..news },
            None => no_update(self.context.known_leader(GroupId::CONTROL, None)),
        }
    }

    /// Returns `true` if an announcement repeats what this store knows of the endpoint, so that it
    /// only renews the lease.
    pub(super) fn is_renewal(&self, announced: &EndpointRecord) -> bool {
        !self.control.leads() && self.news().is_renewal(announced)
    }

    fn news(&self) -> MutexGuard<'_, RelayedNews> {
        self.news.lock().expect("no panic while held")
    }
}
