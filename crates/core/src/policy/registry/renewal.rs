//! Decides when all known endpoints are announced to the registry again.

use crate::prelude::*;

/// Interval between renewals of all leases.
const INTERVAL: Duration = Duration::from_secs(10);

/// The bundle revision and time of the last announcement to the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    last: Option<(RevisionNumber, Time)>,
}

impl Renewal {
    /// Returns true when the endpoints have to be announced under the bundle in force: under a new
    /// revision, or when the interval is over.
    ///
    /// Nothing is due without a bundle, which defines the endpoints of each pool. Only a completed
    /// announcement is recorded: counting a revision as done when it is first seen, before its
    /// lease is held, would leave the registry empty until the next interval.
    pub fn is_due(&self, now: Time, in_force: Option<RevisionNumber>) -> bool {
        match (in_force, self.last) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(revision), Some((announced, at))) => {
                revision != announced || now.since(at) > INTERVAL
            }
        }
    }

    /// Records that all endpoints were announced under a revision.
    pub fn record(&mut self, now: Time, revision: RevisionNumber) {
        self.last = Some((revision, now));
    }

    /// Returns true while an announcement is outstanding, which includes the time without a bundle.
    pub fn is_pending(&self) -> bool {
        self.last.is_none()
    }

    /// Makes a renewal due, because the endpoints have changed.
    pub fn make_due(&mut self) {
        self.last = None;
    }
}
