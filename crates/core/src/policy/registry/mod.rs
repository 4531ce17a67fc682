//! Endpoints as this VM knows them: leases, incarnations, load and hints about prefix memory.
//!
//! Nobody hands the system a list of endpoints. Each announces itself, its announcement is a
//! lease, and this arena is what remains true of all of them at `now`. See
//! docs/design/registry.md.

mod announce;
mod endpoint;
mod hints;
mod home;
mod load;
mod prefix_index;
mod renewal;
mod settings;
mod summary;

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

pub use announce::{Announcement, CacheEvent, CacheEvents, EndpointKind, LoadReport, ModelId};
pub use endpoint::Endpoint;
pub use hints::{CacheHint, CacheHints};
pub use home::home;
pub use load::{LoadTracker, LoadView, STALE_AFTER};
pub use renewal::Renewal;
pub use settings::{RegistrySafeguards, RegistrySettings};
pub use summary::{RosterMismatch, SummaryNumber};

use self::prefix_index::PrefixIndex;
use super::outlier::HealthSettings;
use crate::prelude::*;

new_key_type! {
    /// Names an endpoint in the registry; a new incarnation gets a new key.
    pub struct EndpointKey;
    /// Names a call in flight from this process.
    pub struct DispatchKey;
}

/// Why an announcement changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// A newer incarnation is known.
    OldIncarnation,
    /// This or a later announcement of the incarnation was already taken.
    Replay,
    /// The incarnation said that it leaves.
    Left,
    /// The name is held by an endpoint at another address, whose lease runs.
    AddressTaken,
}

/// What an announcement did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// The endpoint is new here.
    New(EndpointKey),
    /// Its lease goes on.
    Renewed(EndpointKey),
    /// A restarted instance took its own place.
    Replaced {
        /// Key of the gone incarnation; calls in flight there will fail.
        old: EndpointKey,
        /// Key of the new one.
        new: EndpointKey,
    },
    /// It gets no new work from here on; calls in flight go on.
    Leaving(EndpointKey),
    /// Nothing changed.
    Ignored(Ignored),
}

/// What a call is expected to ask of its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchLoad {
    /// Prompt tokens to fill, the reused prefix not counted.
    pub prefill_tokens: u64,
    /// True when nothing else may run beside it.
    pub isolated: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    endpoint: EndpointKey,
    load: DispatchLoad,
    at: Time,
    prefilled: bool,
}

/// What is remembered of an instance name, also after the endpoint is gone.
#[derive(Clone, Debug)]
struct LastSeen {
    incarnation: u64,
    sequence: u64,
    left: bool,
    key: Option<EndpointKey>,
    at: Time,
}

/// All endpoints that hold a lease, and who serves what.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    settings: RegistrySettings,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    dispatches: SlotMap<DispatchKey, Dispatch>,
    seen: HashMap<EndpointName, LastSeen>,
    models: HashMap<ModelId, Vec<EndpointKey>>,
    services: HashMap<CompactString, Vec<EndpointKey>>,
    rosters: HashMap<VmId, Vec<EndpointKey>>,
    last_summaries: HashMap<VmId, SummaryNumber>,
    prefixes: PrefixIndex,
}

impl Registry {
    /// Makes an empty registry.
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry { settings, ..Registry::default() }
    }

    /// Takes an announcement in, from the endpoint itself or from its home VM.
    pub fn announce(&mut self, now: Time, announcement: Announcement) -> Announced {
        if let Some(reason) = self.ignore_reason(now, &announcement) {
            return Announced::Ignored(reason);
        }
        let seen = self.seen.get(&announcement.name);
        let old = seen.and_then(|seen| seen.key).filter(|key| self.endpoints.contains_key(*key));
        let same = seen.is_some_and(|seen| seen.incarnation == announcement.incarnation);
        let result = match old {
            Some(key) if same => self.renew(now, key, &announcement),
            Some(old) => {
                self.remove(old);
                Announced::Replaced { old, new: self.insert(now, &announcement) }
            }
            None => Announced::New(self.insert(now, &announcement)),
        };
        self.record_seen(now, &announcement, result);
        result
    }

    /// Marks an incarnation as leaving; it gets no new work from this moment.
    ///
    /// Works for names not known here too: the news of leaving may overtake the announcement.
    pub fn leave(&mut self, now: Time, name: &str, incarnation: u64) -> Option<EndpointKey> {
        let seen = self.seen.entry(name.into()).or_insert(LastSeen {
            incarnation,
            sequence: 0,
            left: true,
            key: None,
            at: now,
        });
        if seen.incarnation > incarnation {
            return None;
        }
        seen.incarnation = incarnation;
        seen.left = true;
        seen.at = now;
        let key = seen.key?;
        let endpoint = self.endpoints.get_mut(key)?;
        endpoint.leaving = true;
        Some(key)
    }

    /// Removes the endpoints whose lease is over, and forgets old names.
    pub fn expire(&mut self, now: Time) -> Vec<EndpointKey> {
        let expired =
            |(key, endpoint): (EndpointKey, &Endpoint)| (endpoint.lease_end <= now).then_some(key);
        let keys: Vec<EndpointKey> = self.endpoints.iter().filter_map(expired).collect();
        for key in &keys {
            self.remove(*key);
        }
        let seen_ttl = self.settings.seen_ttl;
        let endpoints = &self.endpoints;
        self.seen.retain(|_, seen| {
            seen.key.is_some_and(|key| endpoints.contains_key(key)) || now.since(seen.at) < seen_ttl
        });
        keys
    }

    /// Takes the load that an endpoint told with an answer.
    pub fn load_reported(&mut self, now: Time, key: EndpointKey, load: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.record_report(now, load);
        }
    }

    /// Notes that an engine will hold this many tokens of a prefix, because a call that reads them
    /// was sent there. Later cache events of the engine overrule it.
    pub fn expect_prefix(&mut self, now: Time, key: EndpointKey, prefix: u64, tokens: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.hints.record_expected(now, prefix, tokens);
            self.prefixes.insert(prefix, key);
        }
    }

    /// Returns endpoints that are expected to hold a prefix, latest first. Each must still pass
    /// [`Registry::is_available`].
    pub fn prefix_holders(&self, prefix: u64) -> &[EndpointKey] {
        self.prefixes.endpoints(prefix)
    }

    /// Counts a call as sent; the key closes it later.
    pub fn dispatched(&mut self, now: Time, key: EndpointKey, load: DispatchLoad) -> DispatchKey {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.record_sent(now, load.prefill_tokens);
            endpoint.isolated_calls += u32::from(load.isolated);
        }
        self.dispatches.insert(Dispatch { endpoint: key, load, at: now, prefilled: false })
    }

    /// Counts a call's prompt as filled: its first token came.
    pub fn prefilled(&mut self, dispatch: DispatchKey) {
        let Some(call) = self.dispatches.get_mut(dispatch) else { return };
        if std::mem::replace(&mut call.prefilled, true) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(call.endpoint) {
            endpoint.load.record_prefilled(call.load.prefill_tokens);
        }
    }

    /// Counts a call as answered. Closing one twice changes nothing.
    pub fn finished(&mut self, now: Time, dispatch: DispatchKey) {
        self.close(now, dispatch, |endpoint, _, service_time| {
            endpoint.load.record_finished(now, Some(service_time));
            endpoint.health.record_success();
        });
    }

    /// Counts a call as failed by its endpoint, which may eject it.
    pub fn failed(&mut self, now: Time, dispatch: DispatchKey) {
        self.close(now, dispatch, |endpoint, settings, _| {
            endpoint.load.record_finished(now, None);
            endpoint.health.record_failure(now, settings);
        });
    }

    /// Counts a call whose answer did not come in the usual time, which may eject its endpoint. The
    /// call itself is closed apart.
    pub fn timed_out(&mut self, now: Time, key: EndpointKey) {
        let settings = &self.settings.health;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health.record_failure(now, settings);
        }
    }

    /// Counts a call as given up by the caller, which says nothing about the endpoint.
    pub fn cancelled(&mut self, now: Time, dispatch: DispatchKey) {
        self.close(now, dispatch, |endpoint, _, _| endpoint.load.record_finished(now, None));
    }

    /// Returns the endpoints that announced a model. Each must still pass [`Registry::is_available`].
    pub fn candidates(&self, model: &ModelId) -> &[EndpointKey] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a plain service. Each must still pass [`Registry::is_available`].
    pub fn services(&self, name: &str) -> &[EndpointKey] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns true when the endpoint may get new work at `now`.
    ///
    /// The lease is checked here and not only in [`Registry::expire`], because a late timer would
    /// otherwise send work to an endpoint whose leaving was never heard.
    pub fn is_available(&self, now: Time, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else { return false };
        let leased = endpoint.lease_end > now || !self.settings.safeguards.lease;
        leased && !endpoint.leaving
    }

    /// Returns the endpoint behind a key.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the key of an instance name, if its lease holds.
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.seen.get(name)?.key.filter(|key| self.endpoints.contains_key(*key))
    }

    /// Returns all endpoints, in the arena's order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns the settings.
    pub fn settings(&self) -> &RegistrySettings {
        &self.settings
    }

    /// Tells why an announcement must not be taken.
    ///
    /// Datagrams and relays repeat and reorder. Without this an old announcement that arrives late
    /// revives an endpoint that left or restarted, and calls go to a process that is gone.
    fn ignore_reason(&self, now: Time, announcement: &Announcement) -> Option<Ignored> {
        let seen = self.seen.get(&announcement.name)?;
        let guards = self.settings.safeguards;
        if guards.address && self.address_conflicts(now, seen, announcement) {
            return Some(Ignored::AddressTaken);
        }
        if guards.replay && announcement.incarnation < seen.incarnation {
            return Some(Ignored::OldIncarnation);
        }
        if announcement.incarnation > seen.incarnation {
            return None;
        }
        if seen.left && seen.key.is_none_or(|key| !self.endpoints.contains_key(key)) {
            return guards.sticky.then_some(Ignored::Left);
        }
        (guards.replay && announcement.sequence <= seen.sequence).then_some(Ignored::Replay)
    }

    /// Tells whether an endpoint that is up elsewhere has the name.
    ///
    /// All endpoints share a token, so any of them could claim another's name with a higher
    /// incarnation, and get that one's calls with their histories. While the other's lease runs
    /// its address stays. An endpoint that restarts at another address waits out its own last
    /// lease, or says that it leaves before it stops.
    fn address_conflicts(&self, now: Time, seen: &LastSeen, announcement: &Announcement) -> bool {
        let held = seen.key.and_then(|key| self.endpoints.get(key));
        held.is_some_and(|held| {
            held.lease_end > now && !held.leaving && held.address != announcement.address
        })
    }

    fn renew(&mut self, now: Time, key: EndpointKey, announcement: &Announcement) -> Announced {
        let lease_end = now + announcement.lease.min(self.settings.max_lease);
        let sticky = self.settings.safeguards.sticky;
        self.reindex(key, &announcement.kind);
        let endpoint = &mut self.endpoints[key];
        endpoint.kind = announcement.kind.clone();
        endpoint.address = announcement.address.clone();
        endpoint.lease_end = lease_end;
        endpoint.leaving = announcement.leaving || (sticky && endpoint.leaving);
        if let Some(load) = announcement.load {
            endpoint.load.record_report(now, load);
        }
        endpoint.hints.apply_events(now, &announcement.cache_events);
        if endpoint.leaving { Announced::Leaving(key) } else { Announced::Renewed(key) }
    }

    fn insert(&mut self, now: Time, announcement: &Announcement) -> EndpointKey {
        let max_lease = self.settings.max_lease;
        let key = self.endpoints.insert(Endpoint::new(now, announcement, max_lease));
        self.index(key, &announcement.kind);
        key
    }

    fn record_seen(&mut self, now: Time, announcement: &Announcement, result: Announced) {
        let key = match result {
            Announced::New(key) | Announced::Renewed(key) | Announced::Leaving(key) => key,
            Announced::Replaced { new, .. } => new,
            Announced::Ignored(_) => return,
        };
        let left = self.endpoints.get(key).is_some_and(|endpoint| endpoint.leaving);
        let seen = LastSeen {
            incarnation: announcement.incarnation,
            sequence: announcement.sequence,
            left,
            key: Some(key),
            at: now,
        };
        self.seen.insert(announcement.name.clone(), seen);
    }

    fn remove(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.remove(key) {
            self.unindex(key, &endpoint.kind);
        }
    }

    fn reindex(&mut self, key: EndpointKey, kind: &EndpointKind) {
        if self.endpoints[key].kind == *kind {
            return;
        }
        let old = self.endpoints[key].kind.clone();
        self.unindex(key, &old);
        self.index(key, kind);
    }

    fn index(&mut self, key: EndpointKey, kind: &EndpointKind) {
        match kind {
            EndpointKind::Engine { models, .. } => {
                for model in models {
                    self.models.entry(model.clone()).or_default().push(key);
                }
            }
            EndpointKind::Service { name, .. } => {
                self.services.entry(name.clone()).or_default().push(key);
            }
        }
    }

    fn unindex(&mut self, key: EndpointKey, kind: &EndpointKind) {
        match kind {
            EndpointKind::Engine { models, .. } => {
                for model in models {
                    if let Some(keys) = self.models.get_mut(model) {
                        keys.retain(|other| *other != key);
                    }
                }
            }
            EndpointKind::Service { name, .. } => {
                if let Some(keys) = self.services.get_mut(name) {
                    keys.retain(|other| *other != key);
                }
            }
        }
    }

    fn close(
        &mut self,
        now: Time,
        dispatch: DispatchKey,
        settle: impl FnOnce(&mut Endpoint, &HealthSettings, f64),
    ) {
        self.prefilled(dispatch);
        let Some(call) = self.dispatches.remove(dispatch) else { return };
        let Some(endpoint) = self.endpoints.get_mut(call.endpoint) else { return };
        endpoint.isolated_calls -= u32::from(call.load.isolated);
        settle(endpoint, &self.settings.health, now.since(call.at).as_secs_f64());
    }
}
