//! Requests under which endpoints have ended, as this entry VM knows them.

use std::collections::HashMap;

use gypsumglade_core::control::suspects::{
    QUARANTINE_CRASHES, QUARANTINE_MS, RequestDigest, SUSPECT_RETENTION_MS, read_digest,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::Suspect;

/// What is known of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Suspicion {
    /// Number of endpoints that ended while they ran it.
    pub(super) crashes: u32,
    quarantine_end: Time,
    expires: Time,
}

impl Suspicion {
    /// Returns the remaining time of the quarantine, or `None` without one.
    pub(super) fn quarantine(&self, now: Time) -> Option<Duration> {
        (self.quarantine_end > now).then(|| self.quarantine_end.since(now))
    }
}

/// Suspected requests by digest.
#[derive(Debug, Default)]
pub(super) struct SuspectTable {
    by_digest: HashMap<RequestDigest, Suspicion>,
}

impl SuspectTable {
    /// Returns whether no request is suspected.
    pub(super) fn is_empty(&self) -> bool {
        self.by_digest.is_empty()
    }

    /// Returns what is known of a request, or `None` if it isn't suspected.
    pub(super) fn get(&self, now: Time, digest: &RequestDigest) -> Option<Suspicion> {
        self.by_digest.get(digest).copied().filter(|known| known.expires > now)
    }

    /// Takes in changes that the control group reports: all suspected requests, or those that
    /// changed if `delta` is true.
    pub(super) fn apply(&mut self, now: Time, suspects: &[Suspect], delta: bool) {
        if !delta {
            self.by_digest.clear();
        }
        for suspect in suspects {
            self.update(now, suspect);
        }
        self.by_digest.retain(|_, known| known.expires > now);
    }

    /// Takes in what the control group knows of one request.
    pub(super) fn update(&mut self, now: Time, suspect: &Suspect) {
        let Some(digest) = read_digest(&suspect.digest) else { return };
        if suspect.crashes == 0 {
            self.by_digest.remove(&digest);
            return;
        }
        let known = Suspicion {
            crashes: suspect.crashes,
            quarantine_end: now + Duration::from_millis(suspect.quarantine_ms),
            expires: now + Duration::from_millis(suspect.left_ms),
        };
        self.by_digest.insert(digest, known);
    }

    /// Counts a crash that this VM has seen, until the control group's count replaces it.
    pub(super) fn record_crash(&mut self, now: Time, digest: RequestDigest) {
        let crashes = self.get(now, &digest).map_or(0, |known| known.crashes) + 1;
        let quarantine_ms = if crashes >= QUARANTINE_CRASHES { QUARANTINE_MS } else { 0 };
        let known = Suspicion {
            crashes,
            quarantine_end: now + Duration::from_millis(quarantine_ms),
            expires: now + Duration::from_millis(quarantine_ms.max(SUSPECT_RETENTION_MS)),
        };
        self.by_digest.insert(digest, known);
    }
}
