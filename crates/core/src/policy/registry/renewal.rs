//! When everything known of the endpoints is to be announced to the registry again.

use crate::prelude::*;

/// Pause between two renewals of all leases.
const INTERVAL: Duration = Duration::from_secs(10);

/// What the registry was last told under.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Renewal {
    last: Option<(RevisionNumber, Time)>,
}

impl Renewal {
    /// Tells whether the registry is to be told again under the bundle that is in force.
    ///
    /// The bundle says what the endpoints of each pool are, so nothing is told without one. Only the
    /// telling itself counts as done: a process that noted the revision when it first saw it, before
    /// it held the lease to use it, had no endpoints for ten seconds and refused every request.
    pub fn is_due(&self, now: Time, in_force: Option<RevisionNumber>) -> bool {
        match (in_force, self.last) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(revision), Some((announced, at))) => {
                revision != announced || now.since(at) > INTERVAL
            }
        }
    }

    /// Notes that the registry was told.
    pub fn record(&mut self, now: Time, revision: RevisionNumber) {
        self.last = Some((revision, now));
    }

    /// Tells whether there is something that could not be told yet, for want of a bundle.
    pub fn is_pending(&self) -> bool {
        self.last.is_none()
    }

    /// Makes a renewal due, since there is news.
    pub fn make_due(&mut self) {
        self.last = None;
    }
}
