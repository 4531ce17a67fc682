//! Settings of the registry.

use crate::policy::outlier::HealthSettings;
use crate::prelude::*;

/// Limits of the registry, and the safeguards that tests can disable.
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// Longest lease granted, even if an endpoint asks for more.
    pub max_lease: Duration,
    /// Time for which the name of a removed endpoint is kept to reject replays.
    pub seen_ttl: Duration,
    /// Settings of ejection and slow start.
    pub health: HealthSettings,
    /// Safeguards that mutation tests disable one at a time.
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

/// Safeguards of the registry; all enabled except in tests.
#[doc(hidden)]
#[derive(Clone, Copy, Debug)]
pub struct RegistrySafeguards {
    /// Endpoints whose lease has expired get no work.
    pub lease: bool,
    /// An incarnation that leaves stays so.
    pub sticky: bool,
    /// Announcements with an older incarnation or sequence number are ignored.
    pub replay: bool,
    /// A name stays with its address while the lease is valid.
    pub address: bool,
}

impl Default for RegistrySafeguards {
    fn default() -> Self {
        RegistrySafeguards { lease: true, sticky: true, replay: true, address: true }
    }
}
