//! The load tool against a bare stand-in engine, and announcements at a bare listener.

use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::routing::post;
use axum::{Json, Router};
use gypsumglade_standin::announce::{ANNOUNCE_PATH, AnnounceSettings, Announcement};
use gypsumglade_standin::engine::{Engine, EngineSettings, ReportSettings};
use gypsumglade_standin::load::{self, Arrivals, LoadSettings};
use http::HeaderMap;

#[tokio::test]
async fn run_closed_loop() {
    let settings = EngineSettings { decode_rate: 100_000, ..EngineSettings::default() };
    let engine = Engine::start(settings).await.unwrap();
    for stream in [true, false] {
        let report = load::run(LoadSettings {
            base_urls: vec![format!("http://{}", engine.address()).into()],
            programs: 6,
            arrivals: Arrivals::Closed(3),
            turns: 2,
            stream,
            ..LoadSettings::default()
        })
        .await
        .unwrap();
        assert_eq!((report.begun, report.finished, report.calls), (6, 6, 12));
        assert_eq!(report.tokens, 12 * 16);
    }
}

type Heard = Arc<Mutex<Vec<(String, Announcement)>>>;

async fn hear(State(heard): State<Heard>, head: HeaderMap, Json(said): Json<Announcement>) {
    let token = head["authorization"].to_str().unwrap().to_owned();
    heard.lock().unwrap().push((token, said));
}

#[tokio::test]
async fn announce_until_leaving() {
    let heard = Heard::default();
    let router = Router::new().route(ANNOUNCE_PATH, post(hear)).with_state(Arc::clone(&heard));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await });

    // The first of the two entries is down, which must not end the lease.
    let entries = vec!["http://127.0.0.1:1".into(), entry.into()];
    let announce = AnnounceSettings { entries, token: "secret".into(), lease_ms: 30 };
    let settings = EngineSettings { announce, ..EngineSettings::default() };
    let engine = Engine::start(settings).await.unwrap();
    let count = |leaving| heard.lock().unwrap().iter().filter(|h| h.1.leaving == leaving).count();
    while count(false) < 3 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    engine.leave().await;
    while count(true) < 1 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let heard = heard.lock().unwrap();
    assert!(
        heard
            .iter()
            .all(|(token, said)| token == "Bearer secret" && said.address == engine.address())
    );
    assert!(heard.windows(2).all(|w| w[0].1.sequence < w[1].1.sequence));
}

#[tokio::test]
async fn announce_cache_events_with_gaps() {
    // Every second cache event is dropped. The system detects gaps by the events' numbers, so the
    // dropped ones must be numbered too.
    let heard = Heard::default();
    let router = Router::new().route(ANNOUNCE_PATH, post(hear)).with_state(Arc::clone(&heard));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move { axum::serve(listener, router).await });
    let announce =
        AnnounceSettings { entries: vec![entry.into()], lease_ms: 30, ..Default::default() };
    let reports = ReportSettings { event_gap: 2, ..ReportSettings::default() };
    let settings =
        EngineSettings { announce, reports, decode_rate: 100_000, ..EngineSettings::default() };
    let engine = Engine::start(settings).await.unwrap();
    let load = LoadSettings {
        base_urls: vec![format!("http://{}", engine.address()).into()],
        programs: 5,
        arrivals: Arrivals::Closed(1),
        turns: 1,
        ..LoadSettings::default()
    };
    load::run(load).await.unwrap();

    let told = || -> Vec<u64> {
        let heard = heard.lock().unwrap();
        heard.iter().flat_map(|(_, said)| &said.cache_events).map(|e| e.sequence).collect()
    };
    while told().len() < 3 {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert_eq!(told(), [1, 3, 5]);
}
