//! Choice of the model version that calls use while engines change versions.

use gypsumglade_core::bundle::Model;
use gypsumglade_core::policy::registry::{Endpoint, EndpointKind, ModelId};
use gypsumglade_core::prelude::*;

use super::state::EntryState;

impl EntryState {
    /// Returns the version of a model to route to: the bundle's, or another one while no available
    /// engine serves the bundle's.
    ///
    /// Otherwise calls would be refused between the roll of a bundle and the first engine's load,
    /// although engines with the previous version are available.
    pub(super) fn served_version(&self, model: &Model) -> ModelId {
        let wanted = ModelId::new(&model.name, &model.version);
        let now = self.clock.now();
        let routing = self.routing();
        let allowed = |endpoint: &Endpoint| {
            model.endpoints.iter().any(|pattern| pattern.matches(&endpoint.name))
        };
        let registry = &routing.registry;
        let is_usable =
            |key| registry.is_available(now, key) && registry.get(key).is_some_and(allowed);
        if registry.candidates(&wanted).iter().any(|key| is_usable(*key)) {
            return wanted;
        }
        let available = registry.iter().filter(|(key, _)| is_usable(*key));
        available.filter_map(|(_, endpoint)| loaded(endpoint, model)).min().unwrap_or(wanted)
    }

    /// Returns the version to request from an engine, the bundle's if the engine serves it.
    /// Without it, an engine with two versions would choose by itself.
    pub(super) fn version_at(&self, endpoint: &str, model: &Model) -> CompactString {
        let routing = self.routing();
        let found = routing.registry.key(endpoint).and_then(|key| routing.registry.get(key));
        let loaded = found.and_then(|endpoint| loaded(endpoint, model));
        loaded.map_or_else(|| model.version.clone(), |loaded| loaded.version)
    }
}

/// Returns true if an engine serves any version of a model.
pub(super) fn serves(endpoint: &Endpoint, model: &Model) -> bool {
    loaded(endpoint, model).is_some()
}

/// Returns the version of a model that an engine serves, preferably the bundle's.
fn loaded(endpoint: &Endpoint, model: &Model) -> Option<ModelId> {
    let EndpointKind::Engine { models, .. } = &endpoint.kind else { return None };
    let versions = models.iter().filter(|loaded| loaded.model == model.name);
    versions.min_by_key(|loaded| (loaded.version != model.version, &loaded.version)).cloned()
}
