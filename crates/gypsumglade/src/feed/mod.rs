//! News of the control group, as a process fetches them: from the leader, or in a large deployment
//! from stores that pass them on. See docs/design/fleet.md.

mod endpoint_feed;
mod sources;

pub use endpoint_feed::{EndpointFeed, News};
pub use sources::{Sources, Target};
