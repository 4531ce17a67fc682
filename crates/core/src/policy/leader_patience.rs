//! How long a group's leader may be silent before it counts as lost.
//!
//! The load pattern is a busy leader of a large deployment. Each entry VM has one or two commands under
//! way, so it can't tell from other answers that the leader is only busy. If every entry VM then searches
//! for another leader and sends its commands again, the leader stays busy for good.

use crate::prelude::*;

/// Silence after which a command is sent again: ten times the duration of a commit across regions,
/// which takes two round trips and two syncs, some 50 ms.
const RESEND_DELAY: Duration = Duration::from_millis(500);
/// The longest that it is extended to.
const MAX_RESEND_DELAY: Duration = Duration::from_millis(1_500);
/// Silence after which a search for another leader starts.
const SEARCH_DELAY: Duration = Duration::from_millis(150);
/// The longest that it is extended to.
const MAX_SEARCH_DELAY: Duration = Duration::from_millis(600);
/// Times that the last answer took for which a leader may be silent.
const SILENT_ANSWERS: u32 = 2;

/// Patience with a leader, by the time that its last answer took.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderPatience {
    last: Duration,
}

impl LeaderPatience {
    /// Records the time that an answer took.
    pub fn answered(&mut self, took: Duration) {
        self.last = took;
    }

    /// Returns the silence after which a search for another leader starts.
    pub fn search_delay(&self) -> Duration {
        (self.last * SILENT_ANSWERS).clamp(SEARCH_DELAY, MAX_SEARCH_DELAY)
    }

    /// Returns the silence after which a command is sent again.
    pub fn resend_delay(&self) -> Duration {
        (self.last * SILENT_ANSWERS).clamp(RESEND_DELAY, MAX_RESEND_DELAY)
    }
}
