//! Configuration lease: an entry VM takes new work only under a lease for a current revision.
//!
//! The control leader grants leases to entry VMs, and these relay them to others, so that the
//! leader's load doesn't grow with the number of VMs. A revision is in force everywhere once no
//! lease for an older one can still be running. docs/design/lease.md explains why this is certain.

mod grants;
mod holder;
mod relay;
mod tree;

pub use grants::{ConfigGrants, InForce, VmStatus, Waiting};
pub use holder::{ConfigLease, ReplyAction};
pub use relay::{Relay, RelayError, serve};
pub use tree::{FAN_OUT, Upstream, VmRegion, upstreams};

use crate::prelude::*;

/// Timing of the configuration lease. Every VM of a deployment must use the same values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeaseSettings {
    /// Length of a lease in milliseconds, counted from its holder's request.
    pub length_ms: u64,
    /// Interval between two requests of a holder, in milliseconds.
    pub interval_ms: u64,
    /// Maximum error of any VM's clock rate, in parts per million.
    pub drift_ppm: u32,
    /// Safeguard that a test disables.
    #[doc(hidden)]
    #[serde(skip)]
    pub mutation: Mutation,
}

impl Default for LeaseSettings {
    /// A revision should be in force within 12 s. A lease of 6 s leaves time for the commit and a
    /// change of leader.
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
    /// Returns the length of a lease on its holder's clock.
    pub fn length(&self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Returns the interval between two requests of a holder.
    pub fn interval(&self) -> Duration {
        Duration::from_millis(self.interval_ms)
    }

    /// Returns how long a granter must wait on its own clock until a lease of `length` has expired,
    /// if the holder's clock runs slow and the granter's fast, each by the maximum error.
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

/// A safeguard that a test disables, to check that the resulting failure is detected. Never set
/// outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mutation {
    #[default]
    None,
    /// A revision counts as in force before the leases for older ones have expired.
    NoExpiryWait,
    /// Errors of clock rates are ignored.
    IgnoreDrift,
    /// A new leader doesn't wait for its predecessor's leases to expire.
    NoGracePeriod,
    /// A holder applies older revisions.
    AllowDowngrade,
    /// A relay grants leases that outlast its own.
    RelayIgnoresLimit,
    /// A relay confirms its own revision, whatever its downstream VMs act on.
    RelayHidesChildren,
    /// A holder counts its lease from the reply instead of the request.
    CountFromReply,
    /// The confirmation of a restarted VM also covers leases of its earlier processes.
    IgnoreIncarnation,
}
