//! Requests under which endpoints have ended, as this entry VM knows them.

use std::collections::HashMap;

use gypsumglade_core::control::suspects::{
    QUARANTINE_CRASHES, RequestDigest, SUSPECT_RETENTION_MS, read_digest,
};
use gypsumglade_core::prelude::*;
use gypsumglade_core::wire::control::Suspect;

/// How long a crash counts that this VM could not report.
const UNREPORTED_RETENTION: Duration = Duration::from_millis(SUSPECT_RETENTION_MS);

/// What is known of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Suspicion {
    /// Number of endpoints that ended while they ran it, according to the control group.
    recorded: u32,
    /// Number of those that this VM has seen and that the group hasn't recorded yet.
    unreported: u32,
    quarantine_end: Time,
    expires: Time,
    /// Set while the control group is told that an endpoint has answered it.
    clearing: bool,
}

impl Suspicion {
    /// Returns the number of endpoints that ended while they ran the request.
    pub(super) fn crashes(&self) -> u32 {
        self.recorded + self.unreported
    }

    /// Returns the remaining time of the quarantine, or `None` without one.
    ///
    /// While the control group doesn't answer, the crashes that this VM has seen count alone.
    pub(super) fn quarantine(&self, now: Time) -> Option<Duration> {
        let end = match self.unreported >= QUARANTINE_CRASHES {
            true => self.expires,
            false => self.quarantine_end,
        };
        (end > now).then(|| end.since(now))
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
            self.by_digest.retain(|_, known| known.unreported > 0);
            self.by_digest.values_mut().for_each(|known| known.recorded = 0);
        }
        for suspect in suspects {
            self.update(now, suspect);
        }
        self.by_digest.retain(|_, known| known.expires > now);
    }

    /// Takes in what the control group knows of one request.
    pub(super) fn update(&mut self, now: Time, suspect: &Suspect) {
        let Some(digest) = read_digest(&suspect.digest) else { return };
        let known = self.by_digest.entry(digest).or_default();
        known.recorded = suspect.crashes;
        known.clearing = false;
        known.quarantine_end = now + Duration::from_millis(suspect.quarantine_ms);
        let kept = if known.unreported > 0 { known.expires } else { Time::ZERO };
        known.expires = kept.max(now + Duration::from_millis(suspect.left_ms));
        if known.crashes() == 0 {
            self.by_digest.remove(&digest);
        }
    }

    /// Begins to clear a request. Returns `false` if that is under way.
    pub(super) fn begin_clear(&mut self, digest: &RequestDigest) -> bool {
        let known = self.by_digest.get_mut(digest);
        known.is_some_and(|known| !std::mem::replace(&mut known.clearing, true))
    }

    /// Lets a request be cleared again, unless the control group reports that it has been.
    pub(super) fn end_clear(&mut self, digest: &RequestDigest) {
        if let Some(known) = self.by_digest.get_mut(digest) {
            known.clearing = false;
        }
    }

    /// Counts a crash that this VM has seen.
    pub(super) fn record_crash(&mut self, now: Time, digest: RequestDigest) {
        let known = self.by_digest.entry(digest).or_default();
        known.unreported += 1;
        known.expires = known.expires.max(now + UNREPORTED_RETENTION);
    }

    /// Takes in the control group's answer to the report of a crash that this VM has seen.
    pub(super) fn reported(&mut self, now: Time, suspect: &Suspect) {
        let digest = read_digest(&suspect.digest);
        if let Some(known) = digest.and_then(|digest| self.by_digest.get_mut(&digest)) {
            known.unreported = known.unreported.saturating_sub(1);
        }
        self.update(now, suspect);
    }
}
