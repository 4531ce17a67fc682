//! Selection of the model versions that engines load or drop next.
//!
//! Each plan is computed from what the engines announce, so orders need no record: one that was
//! lost is planned again, and one that was carried out isn't.

use super::{LoadLimiter, Mutation};
use crate::bundle::{Bundle, Model};
use crate::prelude::*;

/// A version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelVersion {
    /// Name of the model.
    pub model: CompactString,
    /// Version of the model.
    pub version: CompactString,
}

/// A model engine as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Name of the engine's endpoint.
    pub name: EndpointName,
    /// Model versions that the engine serves.
    pub loaded: Vec<ModelVersion>,
    /// Maximum number of versions that the engine can hold.
    pub slots: usize,
    /// Order that was given to the engine and has neither been carried out nor failed.
    pub pending: Option<Order>,
    /// Whether the engine is leaving, so that it gets no orders and isn't counted.
    pub leaving: bool,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Fetches and serves a version.
    Load {
        /// Engine that receives the order.
        endpoint: EndpointName,
        /// Version to load.
        version: ModelVersion,
    },
    /// Stops serving a version and frees its memory.
    Drop {
        /// Engine that receives the order.
        endpoint: EndpointName,
        /// Version to drop.
        version: ModelVersion,
    },
}

/// Plans orders within the rate limit of the weight store.
#[derive(Clone, Debug)]
pub struct Planner {
    limiter: LoadLimiter,
    mutation: Mutation,
}

impl Planner {
    /// Creates a planner whose loads are limited by `limiter`.
    pub fn new(limiter: LoadLimiter) -> Planner {
        Planner::with_mutation(limiter, Mutation::None)
    }

    /// Creates a planner with one safeguard disabled.
    #[doc(hidden)]
    pub fn with_mutation(limiter: LoadLimiter, mutation: Mutation) -> Planner {
        Planner { limiter, mutation }
    }

    /// Returns the orders to give now, at most one for each engine without a pending order.
    ///
    /// The caller must give all of them, or report them as pending until they have failed.
    pub fn plan(&mut self, bundle: &Bundle, engines: &[Engine], now: Time) -> Vec<Order> {
        let mutation = self.mutation;
        let mut fleet = Fleet { bundle, engines, orders: Vec::new(), mutation };
        let mut idle: Vec<&Engine> =
            engines.iter().filter(|engine| engine.pending.is_none() && !engine.leaving).collect();
        idle.sort_by(|a, b| a.name.cmp(&b.name));
        for engine in idle {
            let order = fleet.next_order(engine, &mut self.limiter, now);
            fleet.orders.extend(order);
        }
        fleet.orders
    }
}

/// One in this many engines of a model may be empty or change its version at a time.
const SWAP_DIVISOR: usize = 4;

/// All engines, with the orders planned so far counted as given.
struct Fleet<'a> {
    bundle: &'a Bundle,
    engines: &'a [Engine],
    orders: Vec<Order>,
    mutation: Mutation,
}

impl Fleet<'_> {
    fn next_order(&self, engine: &Engine, limiter: &mut LoadLimiter, now: Time) -> Option<Order> {
        let endpoint = engine.name.clone();
        let missing = self.most_needed(engine);
        let free = engine.loaded.len() < engine.slots;
        let drop_first = self.mutation == Mutation::DropFirst && self.droppable(engine).is_some();
        match missing {
            Some(version) if free && !drop_first => limiter
                .try_start(self.running_loads(), now)
                .then_some(Order::Load { endpoint, version }),
            _ => self.droppable(engine).map(|version| Order::Drop { endpoint, version }),
        }
    }

    /// Returns the version that this engine lacks and that the fewest engines serve or load.
    ///
    /// An engine with fewer slots than models keeps its versions as long as they are wanted.
    fn most_needed(&self, engine: &Engine) -> Option<ModelVersion> {
        let wanted = self.bundle.models.iter().filter(|model| covers(model, engine));
        let held = engine.loaded.iter().filter(|version| self.is_wanted(engine, version)).count();
        if held >= engine.slots {
            return None;
        }
        let missing = wanted.map(version_of).filter(|version| !engine.loaded.contains(version));
        missing.min_by_key(|version| self.serving(version) + self.loading(version))
    }

    /// Returns a version that is no longer wanted on this engine and can be dropped without an
    /// interruption.
    fn droppable(&self, engine: &Engine) -> Option<ModelVersion> {
        let mut unwanted = engine.loaded.iter().filter(|held| !self.is_wanted(engine, held));
        let early = self.mutation == Mutation::DropFirst;
        unwanted.find(|held| early || self.is_replaced(engine, held)).cloned()
    }

    /// Returns whether an unwanted version can be dropped: its model is no longer in the bundle,
    /// this engine serves the current version, or the model has moved to engines that serve it.
    ///
    /// An engine without room for both versions must drop the old one first. It does so only while
    /// others serve the model, and only a share of the engines does so at a time, or else a change
    /// of the bundle would empty all of them at once. A single engine without room keeps the old
    /// version.
    fn is_replaced(&self, engine: &Engine, held: &ModelVersion) -> bool {
        let Some(model) = self.bundle.model(&held.model) else { return true };
        let current = version_of(model);
        if engine.loaded.contains(&current) {
            return true;
        }
        if !covers(model, engine) {
            return self.serving(&current) > 0;
        }
        let full = engine.loaded.len() >= engine.slots;
        full && self.others_serve(engine, &held.model) && self.may_swap(model)
    }

    fn is_wanted(&self, engine: &Engine, version: &ModelVersion) -> bool {
        let model = self.bundle.model(&version.model);
        model.is_some_and(|model| model.version == version.version && covers(model, engine))
    }

    fn active(&self) -> impl Iterator<Item = &Engine> {
        self.engines.iter().filter(|engine| !engine.leaving)
    }

    fn outstanding(&self) -> impl Iterator<Item = &Order> {
        let pending = self.engines.iter().filter_map(|engine| engine.pending.as_ref());
        pending.chain(&self.orders)
    }

    fn running_loads(&self) -> usize {
        self.outstanding().filter(|order| matches!(order, Order::Load { .. })).count()
    }

    fn loading(&self, version: &ModelVersion) -> usize {
        let loads =
            |order: &&Order| matches!(order, Order::Load { version: v, .. } if v == version);
        self.outstanding().filter(loads).count()
    }

    /// Counts the engines that serve this version and have no order to drop it.
    fn serving(&self, version: &ModelVersion) -> usize {
        let serves = |engine: &&Engine| {
            engine.loaded.contains(version) && !self.is_dropping(&engine.name, version)
        };
        self.active().filter(serves).count()
    }

    fn others_serve(&self, engine: &Engine, model: &str) -> bool {
        let serves = |other: &Engine| {
            let mut held = other.loaded.iter().filter(|version| version.model == model);
            held.any(|version| !self.is_dropping(&other.name, version))
        };
        self.active().any(|other| other.name != engine.name && serves(other))
    }

    fn is_dropping(&self, name: &str, dropped: &ModelVersion) -> bool {
        self.outstanding().any(|order| match order {
            Order::Drop { endpoint, version } => endpoint == name && version == dropped,
            Order::Load { .. } => false,
        })
    }

    /// Returns whether few enough engines of this model are empty or changing their version.
    fn may_swap(&self, model: &Model) -> bool {
        let covering: Vec<&Engine> = self.active().filter(|engine| covers(model, engine)).collect();
        let changing = covering.iter().filter(|engine| self.is_changing(engine, model)).count();
        changing < (covering.len() / SWAP_DIVISOR).max(1)
    }

    fn is_changing(&self, engine: &Engine, model: &Model) -> bool {
        engine.loaded.is_empty()
            || self.outstanding().any(|order| {
                let (Order::Load { endpoint, version } | Order::Drop { endpoint, version }) = order;
                *endpoint == engine.name && version.model == model.name
            })
    }
}

fn covers(model: &Model, engine: &Engine) -> bool {
    model.endpoints.iter().any(|pattern| pattern.matches(&engine.name))
}

fn version_of(model: &Model) -> ModelVersion {
    ModelVersion { model: model.name.clone(), version: model.version.clone() }
}
