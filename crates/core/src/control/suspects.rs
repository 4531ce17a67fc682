//! Requests under which endpoints have ended.
//!
//! Now and then one request crashes each endpoint that runs it, and its caller sends it again at any
//! entry VM. The control group counts, for each request, the endpoints that ended while they ran it.
//! Where its content differs each time, the caller's requests for the resource are counted together.
//! See docs/design/quarantine.md.

mod causes;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::causes::Causes;
use crate::prelude::*;
use crate::wire::control as wire;
use crate::wire::control::SuspectScope;

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 3;
/// Crashes from which a request must not share an endpoint with another one of as many, so that the
/// next crash has one cause only.
pub const ISOLATION_CRASHES: u32 = QUARANTINE_CRASHES - 1;
/// How long a request stays quarantined after its last crash, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// How long a resource stays quarantined after its last crash, in milliseconds. Shorter than a
/// content's, since its next request may be harmless.
pub const RESOURCE_QUARANTINE_MS: u64 = 60_000;
/// How long a suspected request is recorded after its last crash, in milliseconds. Its caller has
/// sent it again by then, or has given up.
pub const SUSPECT_RETENTION_MS: u64 = 60_000;
/// The same for a request that has been quarantined, which one more crash quarantines again.
pub const QUARANTINED_RETENTION_MS: u64 = RETENTION_FACTOR * QUARANTINE_MS;
/// Time for which a request that has been quarantined is recorded, in multiples of its quarantine.
const RETENTION_FACTOR: u64 = 6;
/// Time after which a quarantine stays although other requests would explain the crashes as well, in
/// milliseconds. All reports of a crash have come by then.
const SETTLE_MS: u64 = 1_000;
/// Maximum number of recorded requests. Those with the fewest crashes are removed first.
pub const MAX_SUSPECTS: usize = 1_024;
/// Maximum number of endpoints that are recorded for a request, to count each once.
const MAX_ENDPOINTS: usize = 8;
/// Maximum number of recent changes that are sent as a delta.
const MAX_RECENT: usize = 1_024;

/// Digest of a request's caller and content, which stays the same when it is sent again.
pub type RequestDigest = [u8; 16];

/// Reads a digest from the wire; returns `None` if its length is wrong.
pub fn read_digest(bytes: &[u8]) -> Option<RequestDigest> {
    bytes.try_into().ok()
}

/// Hash of an endpoint's name and incarnation.
type EndKey = u64;

/// An endpoint that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EndedEndpoint {
    name: CompactString,
    incarnation: u64,
    key: EndKey,
}

/// What a record of crashes stands for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    /// Requests with the same content.
    #[default]
    Content,
    /// All requests of a caller for one resource.
    Resource,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    scope: Scope,
    /// The resource that a content was sent to, if it is known.
    resource: Option<RequestDigest>,
    crashes: u32,
    /// Latest endpoints that ended, oldest first.
    endpoints: VecDeque<EndedEndpoint>,
    last_ms: u64,
    /// When the request was found to be the cause of crashes, which it is since.
    quarantined_ms: Option<u64>,
    /// Number of the change that recorded the last crash.
    change: u64,
}

/// Requests under which endpoints have ended, as replicated by the control group.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_digest: BTreeMap<RequestDigest, Suspect>,
    /// The requests that are quarantined, as worked out from all of them.
    causes: Causes,
    change: u64,
    /// The latest changes, oldest first. Not part of a snapshot, so empty after a restore.
    recent: VecDeque<(u64, RequestDigest)>,
    /// The latest time of any command, in milliseconds.
    clock: u64,
}

impl Suspects {
    /// Returns the number of the last change, which only grows.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the group's time, in milliseconds, or `None` before the first command.
    pub fn time(&self) -> Option<u64> {
        (self.clock > 0).then_some(self.clock)
    }

    /// Returns what is known of a request at the group's time `now`.
    pub fn status(&self, now: u64, digest: &RequestDigest) -> wire::Suspect {
        let digest_bytes = Bytes::copy_from_slice(digest);
        let empty = wire::Suspect { digest: digest_bytes, ..wire::Suspect::default() };
        let known = self.by_digest.get(digest).filter(|suspect| suspect.expires_ms() > now);
        let Some(suspect) = known else { return empty };
        let is_cause = self.causes.contains(digest);
        let crashes = match is_cause {
            true => suspect.crashes,
            false => self.causes.unexplained(digest, suspect).len() as u32,
        };
        if crashes == 0 {
            return empty;
        }
        let quarantine_end = if is_cause { suspect.last_ms + suspect.quarantine_ms() } else { 0 };
        wire::Suspect {
            crashes,
            quarantine_ms: quarantine_end.saturating_sub(now),
            left_ms: suspect.expires_ms().saturating_sub(now),
            ..empty
        }
    }

    /// Returns the time since the last crash under a request, or `None` if it isn't suspected.
    pub fn since_crash(&self, now: u64, digest: &RequestDigest) -> Option<Duration> {
        let suspect = self.by_digest.get(digest)?;
        Some(Duration::from_millis(now.saturating_sub(suspect.last_ms)))
    }

    /// Returns what is known of every request at the group's time, for operators.
    pub fn all(&self) -> Vec<wire::Suspect> {
        self.by_digest.keys().map(|digest| self.status(self.clock, digest)).collect()
    }

    /// Returns the requests that changed after change `seen` and `true`, or all requests and `false`
    /// if these changes are no longer known. A request that has been cleared has no crashes.
    pub fn changes_since(&self, now: u64, seen: u64) -> (Vec<wire::Suspect>, bool) {
        if seen == self.change {
            return (Vec::new(), true);
        }
        let status = |digest| self.status(now, digest);
        let oldest = self.recent.front().map_or(u64::MAX, |(change, _)| *change);
        if seen == 0 || seen + 1 < oldest {
            return (self.by_digest.keys().map(status).collect(), false);
        }
        let later = self.recent.iter().filter(|(change, _)| *change > seen);
        let digests: BTreeSet<&RequestDigest> = later.map(|(_, digest)| digest).collect();
        (digests.into_iter().map(status).collect(), true)
    }

    /// Counts the end of an endpoint that ran a request. Each endpoint counts once.
    pub(super) fn crash(&mut self, crash: &wire::Crash) -> Option<wire::Suspect> {
        let digest = read_digest(&crash.digest)?;
        let resource = read_digest(&crash.resource);
        let now = self.advance(crash.now_ms);
        let ended = EndedEndpoint::new(&crash.endpoint, crash.incarnation);
        let mut counted = Vec::new();
        if let Some(resource) = resource
            && self.count_resource(now, resource, ended.clone(), crash.ran_ms)
        {
            counted.push(resource);
        }
        if self.count_content(now, digest, resource, ended) {
            counted.push(digest);
        }
        self.evict();
        match self.update_causes() {
            false => counted.into_iter().for_each(|digest| self.record_change(digest)),
            true => self.record_related(&counted),
        }
        Some(self.status(now, &digest))
    }

    /// Clears a request that an endpoint has answered, unless it is quarantined.
    pub(super) fn clear(&mut self, clear: &wire::ClearSuspect) {
        self.advance(clear.now_ms);
        let Some(digest) = read_digest(&clear.digest) else { return };
        if !self.causes.contains(&digest) {
            self.remove(digest);
            self.update_causes();
        }
    }

    /// Counts the end of an endpoint for a content. Returns `false` if it has been counted.
    fn count_content(
        &mut self,
        now: u64,
        digest: RequestDigest,
        resource: Option<RequestDigest>,
        ended: EndedEndpoint,
    ) -> bool {
        let next = self.change + 1;
        let suspect = self.by_digest.entry(digest).or_default();
        suspect.resource = suspect.resource.or(resource);
        if !suspect.add(ended) {
            return false;
        }
        suspect.crashes += 1;
        suspect.last_ms = now;
        suspect.change = next;
        true
    }

    /// Counts the end of an endpoint for a resource. Returns `false` if it has been counted.
    ///
    /// Of attempts that were in flight together only the first counts: endpoints that end at the same
    /// time for another reason take many requests for one resource with them, but an attempt that
    /// begins after a crash and ends in another one is a request that came again.
    fn count_resource(
        &mut self,
        now: u64,
        resource: RequestDigest,
        ended: EndedEndpoint,
        ran_ms: u64,
    ) -> bool {
        let next = self.change + 1;
        let fresh = Suspect { scope: Scope::Resource, ..Suspect::default() };
        let suspect = self.by_digest.entry(resource).or_insert(fresh);
        if !suspect.add(ended) {
            return false;
        }
        if now.saturating_sub(ran_ms) >= suspect.last_ms {
            suspect.crashes += 1;
            suspect.last_ms = now;
        }
        suspect.change = next;
        true
    }

    /// Works out which requests are quarantined. Returns `true` if they are others than before.
    fn update_causes(&mut self) -> bool {
        let causes = Causes::find(&self.by_digest, self.clock);
        // Also if they are the same, so that a replica that was restored since keeps the same times.
        for (digest, suspect) in &mut self.by_digest {
            let since = suspect.quarantined_ms.unwrap_or(self.clock);
            suspect.quarantined_ms = causes.contains(digest).then_some(since);
        }
        let changed = causes != self.causes;
        self.causes = causes;
        changed
    }

    /// Records a change of these requests, and of those whose crashes they may explain now.
    fn record_related(&mut self, digests: &[RequestDigest]) {
        let changed: Vec<&Suspect> =
            digests.iter().filter_map(|digest| self.by_digest.get(digest)).collect();
        let is_related =
            |other: &Suspect| changed.iter().any(|suspect| other.shares_endpoint(suspect));
        let related = self.by_digest.iter().filter(|(_, other)| is_related(other));
        let related: Vec<RequestDigest> = related.map(|(digest, _)| *digest).collect();
        related.into_iter().for_each(|digest| self.record_change(digest));
    }

    fn evict(&mut self) {
        while self.by_digest.len() > MAX_SUSPECTS {
            let least = self.by_digest.iter().min_by_key(|(_, s)| (s.crashes, s.last_ms));
            let Some(digest) = least.map(|(digest, _)| *digest) else { return };
            self.remove(digest);
        }
    }

    fn remove(&mut self, digest: RequestDigest) {
        if self.by_digest.remove(&digest).is_some() {
            self.record_change(digest);
        }
    }

    fn record_change(&mut self, digest: RequestDigest) {
        self.change += 1;
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((self.change, digest));
    }

    /// Advances the group's time to that of a command, and removes expired requests.
    ///
    /// Entry VMs know when a request expires, so its removal is no change for them.
    fn advance(&mut self, now: u64) -> u64 {
        self.clock = self.clock.max(now);
        let (clock, before) = (self.clock, self.by_digest.len());
        self.by_digest.retain(|_, suspect| suspect.expires_ms() > clock);
        if self.by_digest.len() < before {
            self.update_causes();
        }
        clock
    }

    /// Writes the state into a snapshot.
    pub(super) fn save(&self, snapshot: &mut wire::Snapshot) {
        snapshot.suspects = self.by_digest.iter().map(record).collect();
        snapshot.suspect_change = self.change;
        snapshot.suspect_clock_ms = self.clock;
    }

    /// Reads the state that [`Suspects::save`] wrote. Returns `None` if a digest is malformed.
    pub(super) fn load(snapshot: &wire::Snapshot) -> Option<Suspects> {
        let mut by_digest = BTreeMap::new();
        for record in &snapshot.suspects {
            let endpoints = record.endpoints.iter();
            let endpoints =
                endpoints.map(|ended| EndedEndpoint::new(&ended.name, ended.incarnation));
            let suspect = Suspect {
                scope: match record.scope() {
                    SuspectScope::Content => Scope::Content,
                    SuspectScope::Resource => Scope::Resource,
                },
                resource: read_digest(&record.resource),
                crashes: record.crashes,
                endpoints: endpoints.collect(),
                last_ms: record.last_ms,
                quarantined_ms: (record.quarantined_ms > 0).then_some(record.quarantined_ms),
                change: record.change,
            };
            by_digest.insert(read_digest(&record.digest)?, suspect);
        }
        let (change, clock) = (snapshot.suspect_change, snapshot.suspect_clock_ms);
        let causes = Causes::find(&by_digest, clock);
        Some(Suspects { by_digest, causes, change, recent: VecDeque::new(), clock })
    }
}

impl EndedEndpoint {
    fn new(name: &str, incarnation: u64) -> EndedEndpoint {
        let key = xxh3_64_with_seed(name.as_bytes(), incarnation);
        EndedEndpoint { name: name.to_compact_string(), incarnation, key }
    }
}

impl Suspect {
    /// Returns whether enough endpoints have ended for a quarantine.
    fn may_be_cause(&self) -> bool {
        self.crashes >= QUARANTINE_CRASHES
    }

    /// Returns whether the request has been quarantined for long enough to stay so.
    fn is_settled(&self, now: u64) -> bool {
        self.quarantined_ms.is_some_and(|since| now.saturating_sub(since) >= SETTLE_MS)
    }

    /// Adds an endpoint that ended. Returns `false` if it is known.
    fn add(&mut self, ended: EndedEndpoint) -> bool {
        if self.endpoints.contains(&ended) {
            return false;
        }
        if self.endpoints.len() == MAX_ENDPOINTS {
            self.endpoints.pop_front();
        }
        self.endpoints.push_back(ended);
        true
    }

    fn shares_endpoint(&self, other: &Suspect) -> bool {
        self.endpoints.iter().any(|ended| other.endpoints.iter().any(|end| end.key == ended.key))
    }

    /// Returns how long the request stays quarantined after its last crash, in milliseconds.
    fn quarantine_ms(&self) -> u64 {
        match self.scope {
            Scope::Content => QUARANTINE_MS,
            Scope::Resource => RESOURCE_QUARANTINE_MS,
        }
    }

    fn expires_ms(&self) -> u64 {
        let retention = match self.may_be_cause() {
            true => RETENTION_FACTOR * self.quarantine_ms(),
            false => SUSPECT_RETENTION_MS,
        };
        self.last_ms + retention
    }
}

fn record((digest, suspect): (&RequestDigest, &Suspect)) -> wire::SuspectRecord {
    let endpoints = suspect.endpoints.iter().map(|ended| wire::Deregister {
        name: ended.name.to_string(),
        incarnation: ended.incarnation,
    });
    let scope = match suspect.scope {
        Scope::Content => SuspectScope::Content,
        Scope::Resource => SuspectScope::Resource,
    };
    let resource = suspect.resource.as_ref().map(|digest| Bytes::copy_from_slice(digest));
    wire::SuspectRecord {
        digest: Bytes::copy_from_slice(digest),
        crashes: suspect.crashes,
        endpoints: endpoints.collect(),
        last_ms: suspect.last_ms,
        change: suspect.change,
        scope: scope.into(),
        resource: resource.unwrap_or_default(),
        quarantined_ms: suspect.quarantined_ms.unwrap_or_default(),
    }
}
