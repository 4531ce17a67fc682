//! Timeouts and limits of a replica.

use crate::prelude::*;

/// Timeouts and limits, the same on every replica of a group.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How often a leader sends heartbeats.
    pub heartbeat: Duration,
    /// How long a leader may trust a quorum's answers, on its own clock.
    pub lease: Duration,
    /// Bound on how far a clock's rate is off true time, as a share (0.01 is one percent).
    pub drift: f64,
    /// Most entry bytes in one message.
    pub batch_bytes: usize,
    /// Most entry messages on their way to one follower.
    pub in_flight: usize,
    /// Bytes of entries on their way to one follower, beyond which no more are sent. What one that is
    /// far behind is sent stands before the others' entries on a way that they share.
    pub in_flight_bytes: usize,
    /// Most bytes of proposals that wait for a commit.
    pub backlog_bytes: usize,
    /// Entries before a snapshot that are kept for followers a little behind.
    pub keep_entries: u64,
    /// Bytes of those entries at most.
    pub keep_bytes: usize,
    /// Bytes of one piece of a snapshot.
    pub chunk_bytes: usize,
    /// How many entries a learner may lack and still be promoted.
    pub promote_lag: u64,
    /// Safeguards; all on but in tests that prove that each is needed.
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
    /// Returns how long a follower waits after its leader's last word before it votes or campaigns.
    ///
    /// The leader's clock may run slow and the follower's fast, each by `drift`. The wait is
    /// longer than the lease by both, so that it can't end before the lease does.
    pub fn election_timeout(&self) -> Duration {
        self.lease.mul_f64((1.0 + self.drift) / (1.0 - self.drift))
    }
}

/// Safeguards that a test switches off one at a time, to prove that it would notice.
#[doc(hidden)]
#[derive(Clone, Debug)]
pub struct Safeguards {
    /// Commits need a majority, not just one replica.
    pub quorum: bool,
    /// Answers wait for the sync that they depend on.
    pub sync: bool,
    /// A candidate asks for promises before it raises its term.
    pub pre_vote: bool,
    /// Voters wait out the lease of the leader that they heard last.
    pub lease_wait: bool,
    /// A learner counts only once it has caught up.
    pub catch_up: bool,
    /// Only an entry of the leader's own term is committed by counting.
    pub own_term: bool,
    /// A pulse vouches only for what was said in its epoch.
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
