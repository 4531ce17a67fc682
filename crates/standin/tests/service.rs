//! The stand-in service counts the operations that ran, also when it simulates a fault.

mod support;

use std::net::SocketAddr;

use gypsumglade_standin::service::{Service, ServiceSettings};
use http::{Method, StatusCode};
use support::{Answer, send};

async fn call(address: SocketAddr, key: &str, dispatch: &str, fault: &str) -> Option<Answer> {
    let headers = [("idempotency-key", key), ("x-dispatch-id", dispatch), ("x-fault", fault)];
    send(Method::POST, address, "/v1/tools/sends", &headers, "{}").await
}

#[tokio::test]
async fn call_counts_each_run() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let answer = call(service.address(), "k1", "d1", "").await.unwrap();
    assert_eq!(answer.head["x-dispatch-id"], "d1");
    assert_eq!(answer.json()["run"], 1);
    // The service does not deduplicate, so that a repeated request is counted.
    assert_eq!(call(service.address(), "k1", "d2", "").await.unwrap().json()["run"], 2);
    assert_eq!(service.stats().runs("k1"), 2);
}

#[tokio::test]
async fn call_crash_before_and_after_effect() {
    // Both faults break the connection. Only the count shows whether the operation ran.
    for (fault, runs) in [("crash-before", 0), ("crash-after", 1)] {
        let settings = ServiceSettings { work_ms: 0, ..ServiceSettings::default() };
        let service = Service::start(settings).await.unwrap();
        assert!(call(service.address(), "k1", "d1", fault).await.is_none());
        assert_eq!(service.stats().runs("k1"), runs, "{fault}");
    }
}

#[tokio::test]
async fn call_crossed_answer() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    call(service.address(), "k1", "d1", "").await.unwrap();
    let crossed = call(service.address(), "k2", "d2", "crossed").await.unwrap();
    assert_eq!(crossed.head["x-dispatch-id"], "d1");
    assert_eq!(crossed.json()["key"], "k1");
}

#[tokio::test]
async fn status_inquiry() {
    for (inquiry, expected) in [(true, StatusCode::OK), (false, StatusCode::NOT_IMPLEMENTED)] {
        let settings = ServiceSettings { inquiry, ..ServiceSettings::default() };
        let service = Service::start(settings).await.unwrap();
        call(service.address(), "k1", "d1", "").await.unwrap();
        let path = "/v1/tools/status/k1";
        let answer = send(Method::GET, service.address(), path, &[], "").await.unwrap();
        assert_eq!(answer.status, expected);
    }
}

#[tokio::test]
async fn leave_refuses_new_calls() {
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    service.leave().await;
    let answer = call(service.address(), "k1", "d1", "").await.unwrap();
    assert!(answer.refused_before_start());
    assert_eq!(service.stats().runs("k1"), 0);
}
