//! Settings of the scheduling policy.

use gypsumglade_core::policy::mechanism::{Mechanism, Mechanisms};
use gypsumglade_core::prelude::*;

use super::Findings;

/// Prices of network traffic, and mechanisms that are switched off.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct PolicySettings {
    /// Mechanisms that are switched off, for experiments.
    pub off: Vec<Mechanism>,
    /// Cost of sending a megabyte between failure domains of one region, in seconds of a caller's
    /// time.
    pub domain_price: f64,
    /// Cost of sending a megabyte between regions, in seconds of a caller's time.
    pub region_price: f64,
}

/// Maximum price of a megabyte, in seconds; a prompt of 20 KB then costs about half an hour.
const MAX_PRICE: f64 = 100_000.0;

impl Default for PolicySettings {
    fn default() -> PolicySettings {
        PolicySettings { off: Vec::new(), domain_price: 0.0, region_price: 1.5 }
    }
}

impl PolicySettings {
    /// Returns the mechanisms that are on.
    pub fn mechanisms(&self) -> Mechanisms {
        Mechanisms::without(&self.off)
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        let prices = [
            ("policy.domain_price", self.domain_price),
            ("policy.region_price", self.region_price),
        ];
        for (place, price) in prices {
            if !(0.0..=MAX_PRICE).contains(&price) {
                findings.add(place, price, "0 to 100000 seconds per megabyte");
            }
        }
    }
}
