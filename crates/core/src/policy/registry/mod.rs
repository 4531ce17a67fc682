//! Registry of the endpoints that this VM knows: leases, incarnations, load and cached prefixes.
//!
//! Endpoints announce themselves, and each announcement is a lease. The registry holds the
//! endpoints until their leases expire. See docs/design/registry.md.

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
    /// Identifies an endpoint; each incarnation has its own key.
    pub struct EndpointKey;
    /// Identifies a call in flight from this process.
    pub struct DispatchKey;
}

/// Reason why an announcement was ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ignored {
    /// A newer incarnation is known.
    OldIncarnation,
    /// This or a later announcement of the incarnation was already applied.
    Replay,
    /// The incarnation has announced that it leaves.
    Left,
    /// The name belongs to an endpoint at another address whose lease is valid.
    AddressTaken,
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Announced {
    /// The endpoint was added.
    New(EndpointKey),
    /// The lease of the endpoint was renewed.
    Renewed(EndpointKey),
    /// A new incarnation replaced the previous one.
    Replaced {
        /// Key of the previous incarnation, whose calls in flight will fail.
        old: EndpointKey,
        /// Key of the new incarnation.
        new: EndpointKey,
    },
    /// The endpoint gets no new work, but calls in flight continue.
    Leaving(EndpointKey),
    /// The announcement was ignored.
    Ignored(Ignored),
}

/// Load that a call puts on its endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatchLoad {
    /// Prompt tokens to prefill, not counting the cached prefix.
    pub prefill_tokens: u64,
    /// Whether no other call may run beside it.
    pub isolated: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    endpoint: EndpointKey,
    load: DispatchLoad,
    at: Time,
    prefilled: bool,
}

/// Last known state of an instance name. It is kept after the endpoint is removed, to reject
/// announcements that arrive late.
#[derive(Clone, Debug)]
struct LastSeen {
    incarnation: u64,
    sequence: u64,
    left: bool,
    key: Option<EndpointKey>,
    at: Time,
}

/// All endpoints with a lease, indexed by the models and services that they offer.
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
    /// Creates an empty registry.
    pub fn new(settings: RegistrySettings) -> Registry {
        Registry { settings, ..Registry::default() }
    }

    /// Applies an announcement, from the endpoint itself or from its home VM.
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

    /// Marks an incarnation as leaving, so that it gets no new work.
    ///
    /// An unknown name is recorded too, because the notice may overtake the announcement.
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

    /// Gives an incarnation no new work until it is announced again, since nobody lists it any more.
    ///
    /// It may have left, or control may not hear of it; only the list knows.
    pub fn withdraw(&mut self, name: &str, incarnation: u64) {
        let key = self.seen.get(name).filter(|seen| seen.incarnation == incarnation);
        let key = key.and_then(|seen| seen.key);
        if let Some(endpoint) = key.and_then(|key| self.endpoints.get_mut(key)) {
            endpoint.withdrawn = true;
        }
    }

    /// Renews the leases of all endpoints that take new work, as if each were announced again
    /// unchanged.
    pub fn renew_all(&mut self, now: Time, lease: Duration) {
        let lease_end = now + lease.min(self.settings.max_lease);
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !endpoint.is_ending()) {
            endpoint.lease_end = endpoint.lease_end.max(lease_end);
        }
    }

    /// Removes the endpoints whose leases have expired and returns their keys. Also removes names
    /// that were last seen more than `seen_ttl` ago.
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

    /// Applies a load report that came with an answer.
    pub fn load_reported(&mut self, now: Time, key: EndpointKey, load: LoadReport) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.record_report(now, load);
        }
    }

    /// Records that an engine will hold `tokens` tokens of a prefix, because a call that reads them
    /// was sent there. Later cache events of the engine overwrite this.
    pub fn expect_prefix(&mut self, now: Time, key: EndpointKey, prefix: u64, tokens: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.hints.record_expected(now, prefix, tokens);
            self.prefixes.insert(prefix, key);
        }
    }

    /// Returns the endpoints that are expected to hold a prefix, latest first. The caller has to
    /// check each with [`Registry::is_available`].
    pub fn prefix_holders(&self, prefix: u64) -> &[EndpointKey] {
        self.prefixes.endpoints(prefix)
    }

    /// Counts a call as sent, and returns the key with which it is ended.
    pub fn dispatched(&mut self, now: Time, key: EndpointKey, load: DispatchLoad) -> DispatchKey {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.load.record_sent(now, load.prefill_tokens);
            endpoint.isolated_calls += u32::from(load.isolated);
        }
        self.dispatches.insert(Dispatch { endpoint: key, load, at: now, prefilled: false })
    }

    /// Counts a call's prompt as prefilled, since its first token has arrived.
    pub fn prefilled(&mut self, dispatch: DispatchKey) {
        let Some(call) = self.dispatches.get_mut(dispatch) else { return };
        if std::mem::replace(&mut call.prefilled, true) {
            return;
        }
        if let Some(endpoint) = self.endpoints.get_mut(call.endpoint) {
            endpoint.load.record_prefilled(call.load.prefill_tokens);
        }
    }

    /// Ends a call that was answered. Ending a call twice has no effect.
    pub fn finished(&mut self, now: Time, dispatch: DispatchKey) {
        self.close(now, dispatch, |endpoint, _, service_time| {
            endpoint.load.record_finished(now, Some(service_time));
            endpoint.health.record_success();
        });
    }

    /// Ends a call that failed at its endpoint, which may eject the endpoint.
    pub fn failed(&mut self, now: Time, dispatch: DispatchKey) {
        self.close(now, dispatch, |endpoint, settings, _| {
            endpoint.load.record_finished(now, None);
            endpoint.health.record_failure(now, settings);
        });
    }

    /// Counts an answer that is late as a failure, which may eject the endpoint. The call stays in
    /// flight until it is ended.
    pub fn timed_out(&mut self, now: Time, key: EndpointKey) {
        let settings = &self.settings.health;
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.health.record_failure(now, settings);
        }
    }

    /// Ends a call that its caller gave up, without effect on the endpoint's health.
    pub fn cancelled(&mut self, now: Time, dispatch: DispatchKey) {
        self.close(now, dispatch, |endpoint, _, _| endpoint.load.record_finished(now, None));
    }

    /// Returns the number of calls of this VM that are in flight at an endpoint.
    pub fn in_flight(&self, key: EndpointKey) -> u32 {
        let calls = self.dispatches.values().filter(|call| call.endpoint == key);
        u32::try_from(calls.count()).unwrap_or(u32::MAX)
    }

    /// Returns the endpoints that announced a model. The caller has to check each with
    /// [`Registry::is_available`].
    pub fn candidates(&self, model: &ModelId) -> &[EndpointKey] {
        self.models.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the endpoints of a plain service. The caller has to check each with
    /// [`Registry::is_available`].
    pub fn services(&self, name: &str) -> &[EndpointKey] {
        self.services.get(name).map_or(&[], Vec::as_slice)
    }

    /// Returns true when the endpoint may get new work at `now`.
    ///
    /// The lease is checked here as well as in [`Registry::expire`], whose timer may be late.
    pub fn is_available(&self, now: Time, key: EndpointKey) -> bool {
        let Some(endpoint) = self.endpoints.get(key) else { return false };
        let leased = endpoint.lease_end > now || !self.settings.safeguards.lease;
        leased && !endpoint.is_ending()
    }

    /// Returns the endpoint of a key, unless it has been removed.
    pub fn get(&self, key: EndpointKey) -> Option<&Endpoint> {
        self.endpoints.get(key)
    }

    /// Returns the key of the endpoint with this instance name, unless it has been removed.
    pub fn key(&self, name: &str) -> Option<EndpointKey> {
        self.seen.get(name)?.key.filter(|key| self.endpoints.contains_key(*key))
    }

    /// Returns all endpoints with their keys, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter()
    }

    /// Returns the settings that the registry was created with.
    pub fn settings(&self) -> &RegistrySettings {
        &self.settings
    }

    /// Returns why an announcement has to be ignored, if it has to be.
    ///
    /// Datagrams and relays may repeat and reorder announcements. Without these checks an old
    /// announcement would bring back an endpoint that left or restarted, and calls would go to a
    /// process that is gone.
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

    /// Returns true when an endpoint at another address holds a valid lease for the name.
    ///
    /// All endpoints share a token, so any of them could announce another's name with a higher
    /// incarnation and receive its calls with their prompts. An endpoint that restarts at another
    /// address has to wait until its last lease expires, or announce that it leaves before it
    /// stops.
    fn address_conflicts(&self, now: Time, seen: &LastSeen, announcement: &Announcement) -> bool {
        let held = seen.key.and_then(|key| self.endpoints.get(key));
        held.is_some_and(|held| {
            held.lease_end > now && !held.is_ending() && held.address != announcement.address
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
        endpoint.withdrawn = false;
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
