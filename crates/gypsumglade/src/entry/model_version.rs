//! Which version of a model calls go to while engines change from one to the next.

use gypsumglade_core::bundle::Model;
use gypsumglade_core::policy::registry::{Endpoint, EndpointKind, ModelId};
use gypsumglade_core::prelude::*;

use super::state::EntryState;

impl EntryState {
    /// Returns the bundle's version of a model, or another that is served as long as no engine
    /// serves the bundle's.
    ///
    /// Without this, each call between the roll of a bundle and the first engine's load would be
    /// refused, although engines with the version before stand idle.
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

    /// Returns the version that a call of `model` names at an engine: the bundle's if it serves
    /// that one. An engine with two versions would otherwise pick for itself.
    pub(super) fn version_at(&self, endpoint: &str, model: &Model) -> CompactString {
        let routing = self.routing();
        let found = routing.registry.key(endpoint).and_then(|key| routing.registry.get(key));
        let loaded = found.and_then(|endpoint| loaded(endpoint, model));
        loaded.map_or_else(|| model.version.clone(), |loaded| loaded.version)
    }
}

/// Tells whether an engine serves any version of a model.
pub(super) fn serves(endpoint: &Endpoint, model: &Model) -> bool {
    loaded(endpoint, model).is_some()
}

/// Returns the version of a model that an engine serves, the bundle's before any other.
fn loaded(endpoint: &Endpoint, model: &Model) -> Option<ModelId> {
    let EndpointKind::Engine { models, .. } = &endpoint.kind else { return None };
    let versions = models.iter().filter(|loaded| loaded.model == model.name);
    versions.min_by_key(|loaded| (loaded.version != model.version, &loaded.version)).cloned()
}
