//! Crash scores of requests, which decide what is suspect and what is quarantined.
//!
//! A request is identified by a digest of everything that the engine receives, so the same request
//! is recognised in other programs, groups and organisations. See docs/design/quarantine.md for
//! the bound on the number of endpoints that one request can crash.

use std::collections::HashMap;

use bytes::Bytes;

use crate::wire::program as wire;

/// Blame of one crash, in thousandths.
pub(super) const BLAME_PER_CRASH: u32 = 1_000;

/// Blame at which a request is quarantined: that of two crashes with nothing else running.
const QUARANTINE_THRESHOLD: u32 = 2 * BLAME_PER_CRASH;

/// Digest of everything that the engine receives for a request.
pub(super) type Digest = [u8; 16];

/// Crash score of one digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Score {
    pub(super) blame: u32,
    pub(super) deaths: u32,
    pub(super) quarantined: bool,
    pub(super) at_ms: u64,
}

/// Crash scores of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Scores {
    by_digest: HashMap<Digest, Score>,
}

impl Scores {
    /// Returns the score of a digest, which is zero if none is recorded.
    pub(super) fn get(&self, digest: &Digest) -> Score {
        self.by_digest.get(digest).copied().unwrap_or_default()
    }

    /// Returns whether the request must run alone because it has a crash score.
    pub(super) fn is_suspect(&self, digest: &Digest) -> bool {
        self.by_digest.contains_key(digest)
    }

    /// Adds the blame of one crash and quarantines the request once it reaches the threshold.
    ///
    /// A suspect that ran alone is quarantined at once, since nothing else can have caused the
    /// crash. Returns the new score, or `None` if the digest is malformed.
    pub(super) fn blame(&mut self, share: &wire::Share, now_ms: u64) -> Option<wire::Score> {
        let digest = read_digest(&share.digest)?;
        let score = self.by_digest.entry(digest).or_default();
        let proved = share.alone && score.deaths > 0;
        score.blame = score.blame.saturating_add(share.share.min(BLAME_PER_CRASH));
        score.deaths = score.deaths.saturating_add(1);
        score.quarantined |= proved || score.blame >= QUARANTINE_THRESHOLD;
        score.at_ms = now_ms;
        Some(record(&digest, score))
    }

    /// Removes the score of a request that was answered. A quarantine stays until it is lifted.
    ///
    /// Returns whether a score was removed.
    pub(super) fn clear(&mut self, digest: &Digest) -> bool {
        match self.by_digest.get(digest) {
            Some(score) if !score.quarantined => self.by_digest.remove(digest).is_some(),
            _ => false,
        }
    }

    /// Merges the score of another group, keeping the higher values.
    pub(super) fn merge(&mut self, other: &wire::Score, now_ms: u64) {
        let Some(digest) = read_digest(&other.digest) else { return };
        let score = self.by_digest.entry(digest).or_default();
        score.blame = score.blame.max(other.blame);
        score.deaths = score.deaths.max(other.deaths);
        score.quarantined |= other.quarantined;
        score.at_ms = now_ms;
    }

    /// Removes the score of a digest that a bundle lifted from quarantine.
    pub(super) fn lift(&mut self, digest: &[u8]) {
        if let Some(digest) = read_digest(digest) {
            self.by_digest.remove(&digest);
        }
    }

    /// Removes the scores of suspects last changed before `before_ms`; quarantines stay.
    pub(super) fn expire(&mut self, before_ms: u64) {
        self.by_digest.retain(|_, score| score.quarantined || score.at_ms >= before_ms);
    }

    /// Returns all scores, sorted by digest.
    pub(super) fn records(&self) -> Vec<wire::Score> {
        let mut all: Vec<_> = self.by_digest.iter().map(|(d, s)| record(d, s)).collect();
        all.sort_by(|a, b| a.digest.cmp(&b.digest));
        all
    }

    /// Restores one score from a snapshot.
    pub(super) fn restore(&mut self, other: &wire::Score) {
        let at_ms = other.at_ms;
        self.merge(other, at_ms);
    }
}

/// Reads a digest from the wire; returns `None` if its length is wrong.
pub(super) fn read_digest(bytes: &[u8]) -> Option<Digest> {
    bytes.try_into().ok()
}

fn record(digest: &Digest, score: &Score) -> wire::Score {
    wire::Score {
        digest: Bytes::copy_from_slice(digest),
        blame: score.blame,
        deaths: score.deaths,
        quarantined: score.quarantined,
        at_ms: score.at_ms,
    }
}
