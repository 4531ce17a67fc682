//! Configuration lease of an entry VM: it takes new work only under a fresh revision.
//!
//! The control leader grants leases, entry VMs hold them, and entry VMs relay them to others, so
//! that the leader's cost doesn't grow with the number of VMs. A revision is in force everywhere
//! once no lease under an older one can still be running; docs/design/lease.md works out why
//! that is a fact and not a guess.

mod grants;
mod holder;
mod relay;
mod tree;

pub use grants::{ConfigGrants, InForce, VmStatus, Waiting};
pub use holder::{ConfigLease, ReplyAction};
pub use relay::{Relay, RelayError, serve};
pub use tree::{FAN_OUT, Upstream, VmRegion, upstreams};

use crate::prelude::*;

/// Times of the configuration lease. Every VM of a deployment must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Milliseconds that a lease runs from the moment its holder asked for it.
    pub length_ms: u64,
    /// Milliseconds between two requests of a holder.
    pub interval_ms: u64,
    /// Bound on the drift of any VM's clock rate, in millionths.
    pub drift_ppm: u32,
    /// Safeguard switched off by a test.
    #[doc(hidden)]
    #[serde(skip)]
    pub mutation: Mutation,
}

impl Default for LeaseSettings {
    /// With 12 s allowed until a revision is in force, a lease of 6 s leaves time for the commit
    /// and for a change of leader.
    fn default() -> LeaseSettings {
        LeaseSettings {
            length_ms: 6_000,
            interval_ms: 1_000,
            drift_ppm: 10_000,
            mutation: Mutation::None,
        }
    }
}

impl LeaseSettings {
    /// Returns the time a lease runs on its holder's clock.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Returns the time between two requests.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }

    /// Returns how long a granter waits on its own clock until a lease of `length` is surely
    /// over, when the holder's clock may run slow and its own fast, each by the bound.
    pub fn expiry_wait(&self, length: Duration) -> Duration {
        const WHOLE: u128 = 1_000_000;
        if self.mutation == Mutation::IgnoreDrift {
            return length;
        }
        let drift = u128::from(self.drift_ppm).min(WHOLE / 2);
        let micros = (length.as_micros() * (WHOLE + drift)).div_ceil(WHOLE - drift);
        Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// A safeguard switched off, so that a test can prove that it would notice. Never set outside
/// tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// A revision counts as in force without waiting for silent VMs.
    NoExpiryWait,
    /// Clock drift isn't allowed for.
    IgnoreDrift,
    /// A new leader doesn't wait for its predecessor's leases.
    NoGracePeriod,
    /// A holder applies an older revision.
    AllowDowngrade,
    /// A relay grants whole leases whatever its own has left.
    RelayIgnoresLimit,
    /// A relay confirms for itself only.
    RelayHidesChildren,
    /// A holder counts its lease from the reply, not from its request.
    CountFromReply,
    /// A confirmation of a restarted VM covers what its earlier life granted.
    IgnoreIncarnation,
}
