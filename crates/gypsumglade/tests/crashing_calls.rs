//! Calls of plain services that crash each instance that runs them.

mod support;

use gypsumglade_standin::service::{Service, ServiceSettings};
use http::StatusCode;
use serde_json::json;
use support::{Cluster, announce};

/// Instances that one call may crash in a program group, see docs/design/quarantine.md.
const MAX_CRASHES: usize = 2;
const INSTANCES: usize = 5;

async fn start_services(cluster: &Cluster) -> Vec<Service> {
    let mut services = Vec::new();
    for number in 0..INSTANCES {
        let settings = ServiceSettings {
            name: format!("booking-more-{number}").into(),
            domain: "south-1".into(),
            region: "south".into(),
            announce: announce(&cluster.entries),
            ..ServiceSettings::default()
        };
        services.push(Service::start(settings).await.expect("a service starts"));
    }
    services
}

/// A call that crashes instances was sent to new ones under each new key.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn crashing_call_resent() {
    let cluster = Cluster::start().await;
    let services = start_services(&cluster).await;
    for operation in ["deposit", "slots"] {
        let body = json!({"for": operation, "mark": "#crash-before"});
        let crashed = || services.iter().filter(|service| service.is_dead()).count();
        let before = crashed();
        let mut last = StatusCode::OK;
        for (number, vm) in (0..6).zip((1..=9).cycle()) {
            let (path, key) = (format!("booking/{operation}"), format!("{operation}-{number}"));
            let caller = cluster.caller(vm);
            let answer = caller.tool("kit-1", "kit-planner", &path, &key, body.clone()).await;
            last = answer.expect("an answer comes").status;
        }
        assert_eq!(last, StatusCode::UNPROCESSABLE_ENTITY, "{operation}");
        let crashes = crashed() - before;
        assert!(crashes <= MAX_CRASHES, "{operation} crashed {crashes}");
    }
}
