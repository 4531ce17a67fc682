//! Crash scores of requests: who is suspect, who is quarantined.
//!
//! A request is named by a digest of all that an engine gets, so that it is known again in
//! another program, group or organisation. See docs/design/quarantine.md for the bound on
//! endpoints lost.

use std::collections::HashMap;

use bytes::Bytes;

use crate::wire::program as wire;

/// Blame of one death, in thousandths.
pub(super) const BLAME_PER_CRASH: u32 = 1_000;

/// Blame from which a request is quarantined: as much as two deaths with nothing else in flight.
const QUARANTINE_THRESHOLD: u32 = 2 * BLAME_PER_CRASH;

/// Digest of a whole request.
pub(super) type Digest = [u8; 16];

/// What is known of one digest.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Score {
    pub(super) blame: u32,
    pub(super) deaths: u32,
    pub(super) quarantined: bool,
    pub(super) at_ms: u64,
}

/// All scores of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Scores {
    by_digest: HashMap<Digest, Score>,
}

impl Scores {
    /// Returns the score of a digest; one that never saw a death has the default score.
    pub(super) fn get(&self, digest: &Digest) -> Score {
        self.by_digest.get(digest).copied().unwrap_or_default()
    }

    /// Tells whether the request must run alone: it saw a death and was not cleared since.
    pub(super) fn is_suspect(&self, digest: &Digest) -> bool {
        self.by_digest.contains_key(digest)
    }

    /// Adds the blame of one death, and quarantines a request that has run out of doubt.
    ///
    /// A death while the suspect ran alone proves it, whatever its blame: nothing else was there.
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

    /// Clears a bystander that ran to its end; a quarantine stays until a bundle lifts it.
    pub(super) fn clear(&mut self, digest: &Digest) -> bool {
        match self.by_digest.get(digest) {
            Some(score) if !score.quarantined => self.by_digest.remove(digest).is_some(),
            _ => false,
        }
    }

    /// Takes over what another group found, keeping the worse of both.
    pub(super) fn merge(&mut self, other: &wire::Score, now_ms: u64) {
        let Some(digest) = read_digest(&other.digest) else { return };
        let score = self.by_digest.entry(digest).or_default();
        score.blame = score.blame.max(other.blame);
        score.deaths = score.deaths.max(other.deaths);
        score.quarantined |= other.quarantined;
        score.at_ms = now_ms;
    }

    /// Forgets a digest that a bundle lifted.
    pub(super) fn lift(&mut self, digest: &[u8]) {
        if let Some(digest) = read_digest(digest) {
            self.by_digest.remove(&digest);
        }
    }

    /// Forgets suspects whose last death is older than `before_ms`.
    pub(super) fn expire(&mut self, before_ms: u64) {
        self.by_digest.retain(|_, score| score.quarantined || score.at_ms >= before_ms);
    }

    /// Returns all scores in the order of their digests.
    pub(super) fn records(&self) -> Vec<wire::Score> {
        let mut all: Vec<_> = self.by_digest.iter().map(|(d, s)| record(d, s)).collect();
        all.sort_by(|a, b| a.digest.cmp(&b.digest));
        all
    }

    /// Restores one score of a snapshot.
    pub(super) fn restore(&mut self, other: &wire::Score) {
        let at_ms = other.at_ms;
        self.merge(other, at_ms);
    }
}

/// Reads a digest from the wire; one of the wrong length is none.
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
