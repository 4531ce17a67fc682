//! Active bundle revision, indexed for the data path.

use std::collections::HashMap;

use gypsumglade_core::bundle::{
    Access, Agent, Bundle, Digest, Model, Operation, Organisation, Pool, Route, Service,
};
use gypsumglade_core::prelude::*;

use super::call::CallHeaders;
use super::problem::{Problem, ProblemKind};

/// A bundle revision with the indexes that calls need.
#[derive(Debug)]
pub struct ActiveBundle {
    /// Revision number.
    pub revision: RevisionNumber,
    /// Content of the revision.
    pub bundle: Bundle,
    /// Indexes of the organisations by digest of an API key.
    organisations: HashMap<Digest, usize>,
    agents: HashMap<CompactString, usize>,
    /// Indexes of the routes by host, longest prefix first.
    routes: HashMap<CompactString, Vec<usize>>,
    /// Whether callers of routes may present API keys.
    has_keys: bool,
}

impl ActiveBundle {
    /// Indexes the content of a revision.
    pub fn new(revision: RevisionNumber, bundle: Bundle) -> ActiveBundle {
        let organisations = index_keys(&bundle);
        let agents = bundle.agents.iter().enumerate();
        let agents = agents.map(|(i, agent)| (agent.name.clone(), i)).collect();
        let routes = index_routes(&bundle);
        let has_keys = !bundle.organisations.is_empty()
            || bundle.routes.iter().any(|route| route.access == Access::Key);
        ActiveBundle { revision, bundle, organisations, agents, routes, has_keys }
    }

    /// Returns whether callers of routes may present API keys.
    pub fn has_keys(&self) -> bool {
        self.has_keys
    }

    /// Returns the route of a host with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?.iter();
        let mut routes = routes.filter_map(|index| self.bundle.routes.get(*index));
        routes.find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the pool with a name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.bundle.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns the organisation of an API key.
    ///
    /// # Errors
    /// Fails when the key belongs to no organisation of the bundle.
    pub fn organisation(&self, token: &str) -> Result<&Organisation, Problem> {
        let found = self.holder(token);
        found.ok_or_else(|| Problem::not_run(ProblemKind::Unauthorized, "unknown API key"))
    }

    /// Returns the organisation of an API key, or `None` if the key belongs to none.
    ///
    /// Keys are compared by digest, so the time doesn't depend on how much of a key is right.
    pub fn holder(&self, key: &str) -> Option<&Organisation> {
        let index = self.organisations.get(&Digest::of(key.as_bytes()))?;
        self.bundle.organisations.get(*index)
    }

    /// Returns the agent program that a call names, or the organisation's first one.
    ///
    /// # Errors
    /// Fails when the organisation may not run that agent program.
    pub fn agent(&self, org: &Organisation, headers: &CallHeaders) -> Result<&Agent, Problem> {
        let name = headers.agent.as_ref().or(org.agents.first());
        let allowed = name.filter(|name| org.agents.contains(name));
        let index = allowed.and_then(|name| self.agents.get(name));
        index.and_then(|index| self.bundle.agents.get(*index)).ok_or_else(|| {
            let shown = name.map_or("(none)", CompactString::as_str);
            let message = format!("agent program {shown:?} is not one of {:?}", org.agents);
            Problem::not_run(ProblemKind::NotFound, message)
        })
    }

    /// Returns a model that the agent program may use.
    ///
    /// # Errors
    /// Fails for any other model, and names those allowed.
    pub fn model(&self, agent: &Agent, name: &str) -> Result<&Model, Problem> {
        let allowed = agent.models.iter().any(|model| model == name);
        allowed.then(|| self.bundle.model(name)).flatten().ok_or_else(|| {
            let message = format!("model {name:?} is not one of {:?}", agent.models);
            Problem::not_run(ProblemKind::NotFound, message)
        })
    }

    /// Returns an operation of a plain service that the agent program may use.
    ///
    /// # Errors
    /// Fails for any other service or operation.
    pub fn operation(
        &self,
        agent: &Agent,
        service: &str,
        operation: &str,
    ) -> Result<(&Service, &Operation), Problem> {
        let allowed = agent.services.iter().any(|name| name == service);
        let service = allowed.then(|| self.bundle.service(service)).flatten();
        let found = service.and_then(|service| Some((service, service.operation(operation)?)));
        found.ok_or_else(|| {
            let message =
                format!("no operation {operation:?} of a service in {:?}", agent.services);
            Problem::not_run(ProblemKind::NotFound, message)
        })
    }
}

fn index_keys(bundle: &Bundle) -> HashMap<Digest, usize> {
    let organisations = bundle.organisations.iter().enumerate();
    let keys = organisations.flat_map(|(index, org)| {
        // The bundle's check has verified that every digest parses.
        let digests = org.key_digests.iter().filter_map(|digest| digest.parse().ok());
        digests.map(move |digest| (digest, index))
    });
    keys.collect()
}

fn index_routes(bundle: &Bundle) -> HashMap<CompactString, Vec<usize>> {
    let mut routes: HashMap<CompactString, Vec<usize>> = HashMap::new();
    for (index, route) in bundle.routes.iter().enumerate() {
        routes.entry(route.host.clone()).or_default().push(index);
    }
    for found in routes.values_mut() {
        found.sort_by_key(|index| std::cmp::Reverse(bundle.routes[*index].prefix.len()));
    }
    routes
}
