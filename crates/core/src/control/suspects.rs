//! Requests under which endpoints have ended.
//!
//! Now and then one request crashes each endpoint that runs it, and its caller sends it again at any
//! entry VM. The control group counts, for each request, the endpoints that ended while they ran it.
//! See docs/design/quarantine.md.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;

use crate::prelude::*;
use crate::wire::control as wire;

/// Crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: u32 = 3;
/// Crashes from which a request must not share an endpoint with another one of as many, so that the
/// next crash has one cause only.
pub const ISOLATION_CRASHES: u32 = QUARANTINE_CRASHES - 1;
/// How long a request stays quarantined after its last crash, in milliseconds.
pub const QUARANTINE_MS: u64 = 600_000;
/// How long a suspected request is recorded after its last crash, in milliseconds. Its caller has
/// sent it again by then, or has given up.
pub const SUSPECT_RETENTION_MS: u64 = 60_000;
/// The same for a request that has been quarantined, which one more crash quarantines again.
pub const QUARANTINED_RETENTION_MS: u64 = 6 * QUARANTINE_MS;
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

/// Incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Incarnation {
    name: CompactString,
    number: u64,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
    crashes: u32,
    /// Latest endpoints that ended, oldest first.
    endpoints: VecDeque<Incarnation>,
    last_ms: u64,
    /// Number of the change that recorded the last crash.
    change: u64,
}

/// Requests under which endpoints have ended, as replicated by the control group.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    by_digest: BTreeMap<RequestDigest, Suspect>,
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
        self.status_beside(now, digest, &self.causes())
    }

    /// Returns what is known of a request if `causes` are quarantined.
    fn status_beside(
        &self,
        now: u64,
        digest: &RequestDigest,
        causes: &[RequestDigest],
    ) -> wire::Suspect {
        let digest_bytes = Bytes::copy_from_slice(digest);
        let empty = wire::Suspect { digest: digest_bytes, ..wire::Suspect::default() };
        let known = self.by_digest.get(digest).filter(|suspect| suspect.expires_ms() > now);
        let Some(suspect) = known else { return empty };
        let is_cause = causes.contains(digest);
        let crashes = match is_cause {
            true => suspect.crashes,
            false => suspect.unexplained(&self.endpoints_of(causes)).len() as u32,
        };
        if crashes == 0 {
            return empty;
        }
        let quarantine_end = if is_cause { suspect.last_ms + QUARANTINE_MS } else { 0 };
        wire::Suspect {
            crashes,
            quarantine_ms: quarantine_end.saturating_sub(now),
            left_ms: suspect.expires_ms().saturating_sub(now),
            ..empty
        }
    }

    /// Returns the requests that are quarantined: the fewest that explain the crashes, each by
    /// [`QUARANTINE_CRASHES`] that no other explains.
    ///
    /// Requests that ran together at every crash are not told apart, and none of them is quarantined:
    /// the next crash of one of them will tell.
    fn causes(&self) -> Vec<RequestDigest> {
        let mut causes = Vec::new();
        let mut explained = Vec::new();
        let mut open: Vec<_> = self.by_digest.iter().filter(|(_, s)| s.may_be_cause()).collect();
        while let Some((digest, suspect)) = open.iter().copied().min_by_key(|(_, suspect)| {
            // Of two with as many, the later one's last crash may have had another reason.
            (Reverse(suspect.unexplained(&explained).len()), suspect.change)
        }) {
            let own = suspect.unexplained(&explained);
            if own.len() < QUARANTINE_CRASHES as usize {
                break;
            }
            let others = self.by_digest.iter().filter(|(other, _)| *other != digest);
            let is_tied = others
                .filter(|(other, _)| !causes.contains(*other))
                .any(|(_, other)| own.iter().all(|ended| other.endpoints.contains(ended)));
            open.retain(|(other, _)| *other != digest);
            if !is_tied {
                causes.push(*digest);
                explained.extend(own);
            }
        }
        causes
    }

    /// Returns the endpoints that ended under any of these requests.
    fn endpoints_of(&self, digests: &[RequestDigest]) -> Vec<&Incarnation> {
        let suspects = digests.iter().filter_map(|digest| self.by_digest.get(digest));
        suspects.flat_map(|suspect| &suspect.endpoints).collect()
    }

    /// Returns what is known of every request at the group's time, for operators.
    pub fn all(&self) -> Vec<wire::Suspect> {
        let causes = self.causes();
        let digests = self.by_digest.keys();
        digests.map(|digest| self.status_beside(self.clock, digest, &causes)).collect()
    }

    /// Returns the requests that changed after change `seen` and `true`, or all requests and `false`
    /// if these changes are no longer known. A request that has been cleared has no crashes.
    pub fn changes_since(&self, now: u64, seen: u64) -> (Vec<wire::Suspect>, bool) {
        if seen == self.change {
            return (Vec::new(), true);
        }
        let causes = self.causes();
        let status = |digest| self.status_beside(now, digest, &causes);
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
        let now = self.advance(crash.now_ms);
        let name = crash.endpoint.to_compact_string();
        let causes = self.causes();
        if self.count(now, digest, Incarnation { name, number: crash.incarnation }) {
            match self.causes() == causes {
                true => self.record_change(digest),
                false => self.record_related(digest),
            }
            self.evict();
        }
        Some(self.status(now, &digest))
    }

    /// Clears a request that an endpoint has answered, unless it is quarantined.
    pub(super) fn clear(&mut self, clear: &wire::ClearSuspect) {
        self.advance(clear.now_ms);
        let Some(digest) = read_digest(&clear.digest) else { return };
        if !self.causes().contains(&digest) {
            self.remove(digest);
        }
    }

    /// Returns `false` if the endpoint has been counted for this request.
    fn count(&mut self, now: u64, digest: RequestDigest, ended: Incarnation) -> bool {
        let suspect = self.by_digest.entry(digest).or_default();
        if suspect.endpoints.contains(&ended) {
            return false;
        }
        if suspect.endpoints.len() == MAX_ENDPOINTS {
            suspect.endpoints.pop_front();
        }
        suspect.endpoints.push_back(ended);
        suspect.crashes += 1;
        suspect.last_ms = now;
        suspect.change = self.change + 1;
        true
    }

    /// Records a change of a request, and of those whose crashes it may explain now.
    fn record_related(&mut self, digest: RequestDigest) {
        let Some(suspect) = self.by_digest.get(&digest) else { return };
        let related = self.by_digest.iter().filter(|(_, other)| other.shares_endpoint(suspect));
        let related: Vec<RequestDigest> = related.map(|(other, _)| *other).collect();
        related.into_iter().for_each(|other| self.record_change(other));
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
        let clock = self.clock;
        self.by_digest.retain(|_, suspect| suspect.expires_ms() > clock);
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
            let endpoints = record.endpoints.iter().map(|ended| Incarnation {
                name: ended.name.to_compact_string(),
                number: ended.incarnation,
            });
            let suspect = Suspect {
                crashes: record.crashes,
                endpoints: endpoints.collect(),
                last_ms: record.last_ms,
                change: record.change,
            };
            by_digest.insert(read_digest(&record.digest)?, suspect);
        }
        let (change, clock) = (snapshot.suspect_change, snapshot.suspect_clock_ms);
        Some(Suspects { by_digest, change, recent: VecDeque::new(), clock })
    }
}

impl Suspect {
    /// Returns whether enough endpoints have ended for a quarantine.
    fn may_be_cause(&self) -> bool {
        self.crashes >= QUARANTINE_CRASHES
    }

    /// Returns the ended endpoints that are not among `explained`.
    fn unexplained(&self, explained: &[&Incarnation]) -> Vec<&Incarnation> {
        self.endpoints.iter().filter(|ended| !explained.contains(ended)).collect()
    }

    fn shares_endpoint(&self, other: &Suspect) -> bool {
        self.endpoints.iter().any(|ended| other.endpoints.contains(ended))
    }

    fn expires_ms(&self) -> u64 {
        let retention =
            if self.may_be_cause() { QUARANTINED_RETENTION_MS } else { SUSPECT_RETENTION_MS };
        self.last_ms + retention
    }
}

fn record((digest, suspect): (&RequestDigest, &Suspect)) -> wire::SuspectRecord {
    let endpoints = suspect
        .endpoints
        .iter()
        .map(|ended| wire::Deregister { name: ended.name.to_string(), incarnation: ended.number });
    wire::SuspectRecord {
        digest: Bytes::copy_from_slice(digest),
        crashes: suspect.crashes,
        endpoints: endpoints.collect(),
        last_ms: suspect.last_ms,
        change: suspect.change,
    }
}
