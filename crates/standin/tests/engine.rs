//! The stand-in engine behaves as a real engine does.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use gypsumglade_standin::announce::ModelVersion;
use gypsumglade_standin::engine::{Engine, EngineSettings, Message, RunState, answer_text};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use support::{Answer, send};

const PROGRAM: &str = "optika/kit-1";

fn quick() -> EngineSettings {
    EngineSettings { prefill_rate: 1_000_000, decode_rate: 100_000, ..EngineSettings::default() }
}

/// Slow enough that a call is still in flight while a test acts on it.
fn slow() -> EngineSettings {
    EngineSettings { decode_rate: 20, resume_ms: 200, ..quick() }
}

fn user(text: &str) -> Value {
    json!({"role": "user", "content": text})
}

async fn chat(address: SocketAddr, dispatch: &str, body: &Value) -> Option<Answer> {
    let headers = [("x-dispatch-id", dispatch), ("x-program-id", PROGRAM)];
    send(Method::POST, address, "/v1/chat/completions", &headers, body.to_string()).await
}

async fn until(mut done: impl FnMut() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn chat_whole_answer() {
    let engine = Engine::start(quick()).await.unwrap();
    let body = json!({"model": "advisor", "messages": [user("three lenses please")], "seed": 7});
    let answer = chat(engine.address(), "d1", &body).await.unwrap();

    let messages = [Message { role: "user".into(), content: "three lenses please".into() }];
    let text = answer_text(&messages, EngineSettings::default().answer_tokens);
    assert_eq!(answer.head["x-dispatch-id"], "d1");
    let reply = answer.json();
    assert_eq!(reply["id"], "chatcmpl-d1");
    assert_eq!(reply["choices"][0]["message"]["content"], Value::from(text));
    assert_eq!(reply["usage"]["prompt_tokens"], 3);
    assert_eq!(engine.stats().dispatch("d1").unwrap().fields, ["seed"]);
}

#[tokio::test]
async fn chat_reuses_prefix() {
    let engine = Engine::start(quick()).await.unwrap();
    let mut messages = vec![user("one two three")];
    let body = json!({"model": "advisor", "messages": messages});
    let first = chat(engine.address(), "d1", &body).await.unwrap().json();
    messages.push(first["choices"][0]["message"].clone());
    messages.push(user("four"));
    let body = json!({"model": "advisor", "messages": messages});
    let second = chat(engine.address(), "d2", &body).await.unwrap().json();

    // The first prompt and its answer are cached; only the last message is prefilled.
    assert_eq!(second["usage"]["prompt_tokens"], 3 + 16 + 1);
    assert_eq!(second["usage"]["prompt_tokens_details"]["cached_tokens"], 3 + 16);
    assert_eq!(engine.stats().held(PROGRAM), 3 + 16 + 1 + 16);

    let release = json!({"program": PROGRAM}).to_string();
    send(Method::POST, engine.address(), "/v1/programs/release", &[], release).await.unwrap();
    assert_eq!(engine.stats().held(PROGRAM), 0);
}

#[tokio::test]
async fn chat_stream_resumed() {
    // The reader of a stream is lost after the call began. Within the engine's timeout another
    // reader resumes the same dispatch, and the call must not run twice.
    let engine = Engine::start(slow()).await.unwrap();
    let address = engine.address();
    let body = json!({"model": "advisor", "messages": [user("hello")], "stream": true});
    let whole = answer_text(&[Message { role: "user".into(), content: "hello".into() }], 16);
    let lost = tokio::spawn({
        let body = body.clone();
        async move { chat(address, "d1", &body).await }
    });
    until(|| engine.stats().counts.started == 1).await;
    lost.abort();

    let headers = [("x-dispatch-id", "d1"), ("x-resume-from", "4")];
    let path = "/v1/chat/completions";
    let rest = send(Method::POST, address, path, &headers, body.to_string()).await.unwrap();
    let (text, finished) = rest.streamed();
    assert!(finished);
    assert_eq!(text, whole.split_at(4 * "w0000 ".len() - 1).1);
    assert_eq!(engine.stats().dispatch("d1").unwrap().runs, 1);
}

#[tokio::test]
async fn chat_cancelled() {
    let engine = Engine::start(slow()).await.unwrap();
    let address = engine.address();
    let body = json!({"model": "advisor", "messages": [user("hello")], "stream": true});
    let call = tokio::spawn(async move { chat(address, "d1", &body).await });
    until(|| engine.stats().counts.started == 1).await;
    let gone = send(Method::DELETE, address, "/v1/dispatches/d1", &[], "").await.unwrap();
    assert_eq!(gone.status, StatusCode::NO_CONTENT);
    let (_, finished) = call.await.unwrap().unwrap().streamed();
    assert!(!finished, "a cancelled stream is not closed as a whole one");
    assert_eq!(engine.stats().dispatch("d1").unwrap().state, RunState::Cancelled);
}

#[tokio::test]
async fn chat_refused_when_full() {
    let settings = EngineSettings { slots: 1, queue: 0, ..slow() };
    let engine = Engine::start(settings).await.unwrap();
    let address = engine.address();
    let body = json!({"model": "advisor", "messages": [user("hello")]});
    let other = body.clone();
    let _running = tokio::spawn(async move { chat(address, "d1", &other).await });
    until(|| engine.stats().counts.started == 1).await;
    assert!(chat(address, "d2", &body).await.unwrap().refused_before_start());
    assert!(engine.stats().dispatch("d2").is_none());
}

#[tokio::test]
async fn chat_crash_marker() {
    let engine = Engine::start(quick()).await.unwrap();
    let body = json!({"model": "advisor", "messages": [user("now #crash-engine")]});
    assert!(chat(engine.address(), "d1", &body).await.is_none());
    assert!(engine.is_dead());
    assert!(chat(engine.address(), "d2", &body).await.is_none());
}

#[tokio::test]
async fn leave_finishes_calls() {
    // The engine announces that it leaves while a call runs. The call must get its complete answer,
    // and a later call is refused as not run.
    let engine = Engine::start(slow()).await.unwrap();
    let address = engine.address();
    let body = json!({"model": "advisor", "messages": [user("hello")]});
    let other = body.clone();
    let running = tokio::spawn(async move { chat(address, "d1", &other).await });
    until(|| engine.stats().counts.started == 1).await;
    let (late, ()) = tokio::join!(
        async {
            tokio::time::sleep(Duration::from_millis(20)).await;
            chat(address, "d2", &body).await
        },
        engine.leave()
    );
    assert!(late.unwrap().refused_before_start());
    assert_eq!(running.await.unwrap().unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn order_stale_fence() {
    for fencing in [true, false] {
        let engine = Engine::start(EngineSettings { fencing, ..quick() }).await.unwrap();
        let order = |fence: u64, version: &str| {
            let order = json!({"fence": fence, "action": "load", "model": "m", "version": version});
            send(Method::POST, engine.address(), "/v1/orders", &[], order.to_string())
        };
        assert_eq!(order(5, "2").await.unwrap().status, StatusCode::NO_CONTENT);
        let stale = order(4, "2").await.unwrap().status;
        let expected = if fencing { StatusCode::CONFLICT } else { StatusCode::NO_CONTENT };
        assert_eq!(stale, expected);
    }
}

#[tokio::test]
async fn kv_exported_and_imported() {
    let settings = EngineSettings { models: vec![ModelVersion::new("advisor", "1")], ..quick() };
    let old = Engine::start(settings.clone()).await.unwrap();
    let new = Engine::start(settings).await.unwrap();
    let body = json!({"model": "advisor", "messages": [user("one two three")]});
    chat(old.address(), "d1", &body).await.unwrap();

    let path = format!("/v1/kv/{PROGRAM}");
    let export = send(Method::GET, old.address(), &path, &[], "").await.unwrap();
    assert_eq!(export.head["x-tokens"], "19");
    let import = send(Method::PUT, new.address(), &path, &[], export.body).await.unwrap();
    assert_eq!(import.status, StatusCode::NO_CONTENT);
    assert_eq!(new.stats().held(PROGRAM), old.stats().held(PROGRAM));
}
