//! Timeouts and limits of a replica.

use crate::prelude::*;

/// Timeouts and limits of a replica. All replicas of a group must use the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Length of a leader's lease on its own clock, counted from when it sent the messages that a
    /// quorum acknowledged.
    pub lease: Duration,
    /// Maximum error of a clock's rate, as a fraction (0.01 is one percent).
    pub drift: f64,
    /// Maximum entry bytes in one message. A larger single entry is still sent.
    pub batch_bytes: usize,
    /// Maximum number of unacknowledged entry messages per follower.
    pub in_flight: usize,
    /// Unacknowledged entry bytes per follower above which no more are sent. This limits how much a
    /// follower that is far behind delays other followers that share a link with it.
    pub in_flight_bytes: usize,
    /// Maximum bytes of uncommitted proposals. While there are none, a larger proposal is still
    /// accepted.
    pub backlog_bytes: usize,
    /// Maximum number of entries kept before a snapshot for followers that are slightly behind.
    pub keep_entries: u64,
    /// Maximum bytes of these entries.
    pub keep_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub chunk_bytes: usize,
    /// Maximum number of entries that a learner may lack when it is promoted.
    pub promote_lag: u64,
    /// Safeguards, disabled only by tests that check that each of them is needed.
    #[doc(hidden)]
    pub safeguards: Safeguards,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            heartbeat: Duration::from_millis(100),
            lease: Duration::from_millis(1_000),
            drift: 0.01,
            batch_bytes: 256 * 1024,
            in_flight: 16,
            in_flight_bytes: 4 * 1024 * 1024,
            backlog_bytes: 32 * 1024 * 1024,
            keep_entries: 1_000,
            keep_bytes: 1024 * 1024,
            chunk_bytes: 256 * 1024,
            promote_lag: 16,
            safeguards: Safeguards::default(),
        }
    }
}

impl Settings {
    /// Returns the minimum time without contact to the leader before a follower votes or campaigns.
    ///
    /// The leader's clock may run slow and the follower's fast, each by `drift`. The timeout
    /// exceeds the lease by both, so it can't expire before the lease does.
    pub fn election_timeout(&self) -> Duration {
        self.lease.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}

/// Safeguards that tests disable one at a time, to check that the resulting failure is detected.
#[doc(hidden)]
#[derive(Clone, Debug)]
pub struct Safeguards {
    /// Requires a majority instead of a single replica.
    pub quorum: bool,
    /// Delays replies until the writes that they depend on are synced.
    pub sync: bool,
    /// Runs a pre-vote before the term is raised.
    pub pre_vote: bool,
    /// Ignores vote requests while the lease of the last known leader may be running.
    pub lease_wait: bool,
    /// Promotes a learner only once it has caught up.
    pub catch_up: bool,
    /// Counts replicas only for entries of the leader's own term when committing.
    pub own_term: bool,
    /// Counts a pulse only for groups whose last message was sent in the pulse's epoch.
    pub epochs: bool,
}

impl Default for Safeguards {
    fn default() -> Safeguards {
        Safeguards {
            quorum: true,
            sync: true,
            pre_vote: true,
            lease_wait: true,
            catch_up: true,
            own_term: true,
            epochs: true,
        }
    }
}
