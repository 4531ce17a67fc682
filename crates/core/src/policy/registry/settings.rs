//! Limits of the registry.

use crate::policy::outlier::HealthSettings;
use crate::prelude::*;

/// Limits of the registry, and safeguards that tests switch off one at a time.
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// Longest lease granted, whatever an endpoint asks for.
    pub max_lease: Duration,
    /// How long the incarnation of a gone endpoint is remembered against replays.
    pub seen_ttl: Duration,
    /// When an endpoint is ejected and how it comes back.
    pub health: HealthSettings,
    /// Safeguards that a mutation test can switch off.
    #[doc(hidden)]
    pub safeguards: RegistrySafeguards,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        RegistrySettings {
            max_lease: Duration::from_secs(10),
            seen_ttl: Duration::from_secs(3600),
            health: HealthSettings::default(),
            safeguards: RegistrySafeguards::default(),
        }
    }
}

/// Safeguards of the registry; all on outside tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct RegistrySafeguards {
    /// An announcement past its lease gives no work.
    pub lease: bool,
    /// `leaving` holds for the rest of the incarnation.
    pub sticky: bool,
    /// Announcements of an older incarnation or sequence are ignored.
    pub replay: bool,
    /// A name stays at its address while the lease runs.
    pub address: bool,
}

impl Default for RegistrySafeguards {
    fn default() -> Self {
        RegistrySafeguards { lease: true, sticky: true, replay: true, address: true }
    }
}
