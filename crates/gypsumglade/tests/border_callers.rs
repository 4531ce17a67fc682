//! Invalid input at the callers' HTTP interface: one error format, nothing runs, others are unaffected.

mod border_support;

use border_support::{Answer, LIMITED, OURS, Raw, System, THEIRS, bearer, config};
use gypsumglade::entry::call::CallHeaders;
use gypsumglade::entry::chat_request::ChatRequest;
use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::collection::vec;
use proptest::prelude::*;
use serde_json::{Value, json};

const HEADERS: [&str; 8] = [
    "x-program-id",
    "x-program-agent",
    "x-program-turn",
    "x-program-class",
    "x-program-deadline-ms",
    "x-program-parent",
    "idempotency-key",
    "authorization",
];

fn sound() -> Value {
    json!({"model": "advisor", "messages": [{"role": "user", "content": "hello"}]})
}

/// Arbitrary JSON, in which some member names are those of a chat call.
fn any_json() -> impl Strategy<Value = Value> {
    let name = prop_oneof![
        Just("model".to_owned()),
        Just("messages".to_owned()),
        Just("role".to_owned()),
        Just("stream".to_owned()),
        Just("stream_options".to_owned()),
        Just("max_tokens".to_owned()),
        Just("max_completion_tokens".to_owned()),
        ".{0,8}",
    ];
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 6, move |inner| {
        prop_oneof![
            vec(inner.clone(), 0..4).prop_map(Value::from),
            vec((name.clone(), inner), 0..6)
                .prop_map(|members| Value::Object(members.into_iter().collect())),
        ]
    })
}

/// A valid chat call in which some members are replaced.
fn bent_chat() -> impl Strategy<Value = Value> {
    let members = vec((0..7_usize, any_json()), 0..3);
    members.prop_map(|members| {
        const NAMES: [&str; 7] = [
            "model",
            "messages",
            "stream",
            "stream_options",
            "max_tokens",
            "max_completion_tokens",
            "temperature",
        ];
        let mut body = sound();
        members.into_iter().for_each(|(name, value)| body[NAMES[name]] = value);
        body
    })
}

fn any_headers() -> impl Strategy<Value = HeaderMap> {
    let value = prop_oneof![
        vec(any::<u8>(), 0..300),
        "[ -~]{0,20}".prop_map(String::into_bytes),
        any::<u64>().prop_map(|number| number.to_string().into_bytes()),
        Just(b"urgent".to_vec()),
        Just(b"Bearer key".to_vec()),
    ];
    vec((0..HEADERS.len(), value), 0..10).prop_map(|pairs| {
        let mut headers = HeaderMap::new();
        for (name, value) in pairs {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                headers.append(HeaderName::from_static(HEADERS[name]), value);
            }
        }
        headers
    })
}

proptest! {
    #![proptest_config(config(71, 256))]

    #[test]
    fn parse_survives_any_bytes(body in vec(any::<u8>(), 0..512)) {
        let _ = ChatRequest::parse(&body);
    }

    #[test]
    fn parse_keeps_what_it_accepts(body in prop_oneof![any_json(), bent_chat()]) {
        if let Ok(request) = ChatRequest::parse(body.to_string().as_bytes()) {
            prop_assert!(!request.model.is_empty() && request.max_output > 0);
            let engine = request.engine_body(&request.messages, request.max_output);
            let engine: Value = serde_json::from_slice(&engine.expect("JSON")).expect("JSON");
            prop_assert_eq!(&engine["messages"], &body["messages"]);
            prop_assert_eq!(&engine["model"], &body["model"]);
        }
    }

    #[test]
    fn read_bounds_what_it_accepts(headers in any_headers()) {
        if let Ok(read) = CallHeaders::read(&headers) {
            for name in [&read.program, &read.agent, &read.parent, &read.key].into_iter().flatten() {
                prop_assert!((1..=200).contains(&name.len()));
                prop_assert!(name.bytes().all(|byte| byte.is_ascii_graphic()));
            }
            for name in HEADERS {
                prop_assert!(headers.get_all(name).iter().count() <= 1, "{name} twice");
            }
        }
    }
}

#[test]
fn parse_refuses_deep_nesting() {
    // A body of brackets alone would overflow the stack of a parser that recurses without bound.
    let body = "[".repeat(1 << 20);
    assert!(ChatRequest::parse(body.as_bytes()).is_err());
    let body = format!("{{\"model\":{}", "{\"a\":".repeat(100_000));
    assert!(ChatRequest::parse(body.as_bytes()).is_err());
}

fn with(member: &str, value: Value) -> Vec<u8> {
    let mut body = sound();
    body[member] = value;
    body.to_string().into_bytes()
}

/// Invalid requests, each with its name.
fn faulty() -> Vec<(&'static str, Raw)> {
    let good = || Raw::chat(sound().to_string());
    let stranger = || Raw::new("POST", "/v1/chat/completions").body(sound().to_string());
    vec![
        ("no key", stranger()),
        ("another scheme", stranger().header("authorization", "Basic YTpi")),
        ("unknown key", stranger().header("authorization", bearer("guess"))),
        ("key that is not text", stranger().header("authorization", b"Bearer \xff".to_vec())),
        ("two keys", good().header("authorization", bearer(THEIRS))),
        ("empty body", Raw::chat("")),
        ("not JSON", Raw::chat("{\"model\": ")),
        ("not UTF-8", Raw::chat(b"{\"model\": \"\xff\xfe\"}".to_vec())),
        ("a list", Raw::chat("[]")),
        ("deep nesting", Raw::chat("[".repeat(1 << 20))),
        ("oversized", Raw::chat(vec![b' '; (4 << 20) + 1])),
        ("no model", Raw::chat(r#"{"messages": [{"role": "user"}]}"#)),
        ("no messages", Raw::chat(r#"{"model": "advisor"}"#)),
        ("empty messages", Raw::chat(with("messages", json!([])))),
        ("a message without a role", Raw::chat(with("messages", json!([{"content": "x"}])))),
        ("a message that is a number", Raw::chat(with("messages", json!([1])))),
        ("unknown model", Raw::chat(with("model", json!("nobody")))),
        ("stream that is a number", Raw::chat(with("stream", json!(1)))),
        ("no tokens", Raw::chat(with("max_tokens", json!(0)))),
        ("negative tokens", Raw::chat(with("max_tokens", json!(-1)))),
        ("half a token", Raw::chat(with("max_tokens", json!(0.5)))),
        ("most tokens", Raw::chat(with("max_tokens", json!(u64::MAX)))),
        ("unknown agent", good().header("x-program-agent", "nobody")),
        ("turn zero", good().header("x-program-turn", "0")),
        ("huge turn", good().header("x-program-turn", "99999999999999999999")),
        ("unknown class", good().header("x-program-class", "now")),
        ("two programs", good().header("x-program-id", "a").header("x-program-id", "b")),
        (
            "two idempotency keys",
            good().header("idempotency-key", "a").header("idempotency-key", "b"),
        ),
        ("long program", good().header("x-program-id", "p".repeat(201))),
        ("program with a space", good().header("x-program-id", "a b")),
        ("child of another", good().header("x-program-id", "a").header("x-program-parent", "b")),
        ("unknown path", Raw::new("POST", "/v2/chat")),
        ("unknown service", tool("/v1/tools/nobody/slots")),
        ("unknown operation", tool("/v1/tools/booking/nothing")),
        ("path that is not UTF-8", tool("/v1/tools/%ff/slots")),
        ("program path that is not UTF-8", Raw::new("DELETE", "/v1/programs/%ff")),
        ("wrong method", Raw::new("GET", "/v1/chat/completions")),
        ("wrong method of a program", Raw::new("POST", "/v1/programs/a")),
        ("unheard method", Raw::new("BREW", "/v1/chat/completions")),
    ]
}

fn tool(path: &str) -> Raw {
    Raw::new("POST", path).header("authorization", bearer(OURS)).body("{}")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_answers_every_fault_alike() {
    // Each invalid request is answered in the format that client libraries parse, with the reason, the
    // advice and the outcome `not-run`.
    let system = System::rolled().await;
    let mut faults = Vec::new();
    for (name, request) in faulty() {
        if let Some(fault) = request.send(system.callers()).await.fault() {
            faults.push(format!("{name}: {fault}"));
        }
    }
    let health = Raw::new("GET", "/healthz").send(system.callers()).await;
    assert_eq!(health.status, 200);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_refuses_a_huge_head() {
    // The HTTP library refuses the head before there is a request, so only the status is checked.
    let system = System::rolled().await;
    let request = Raw::chat(sound().to_string()).header("x-padding", "p".repeat(64 << 10));
    assert_eq!(request.send(system.callers()).await.status, 431);
}

async fn end(system: &System, key: &str, program: &str) -> Answer {
    let request = Raw::new("DELETE", format!("/v1/programs/{program}"));
    request.header("authorization", bearer(key)).send(system.callers()).await
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn end_by_another_organisation_tells_nothing() {
    // A caller guesses the id of another organisation's program and ends it. The answer is the same as
    // for an unknown program, and the program continues.
    let system = System::rolled().await;
    let begin = Raw::chat(sound().to_string()).header("x-program-id", "secret");
    let begun = begin.send(system.callers()).await;
    assert_eq!(begun.error("outcome"), "not-run", "no engine is up: {begun:?}");
    let taken = end(&system, THEIRS, "secret").await;
    let absent = end(&system, THEIRS, "nobodys").await;
    assert_eq!((taken.status, &taken.body), (absent.status, &absent.body));
    let again = begin.send(system.callers()).await;
    assert_eq!(again.error("code"), begun.error("code"), "the program was ended by a stranger");
}

/// Calls over an organisation's limit ran, or were refused without a time to return.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chat_over_limit() {
    let system = System::rolled().await;
    let call = |key| {
        Raw::new("POST", "/v1/chat/completions")
            .header("authorization", bearer(key))
            .header("x-program-id", "p")
            .body(sound().to_string())
    };
    for number in 0..2 {
        let answer = call(LIMITED).send(system.callers()).await;
        assert_ne!(answer.error("code"), "over_limit", "call {number}: {answer:?}");
    }
    let refused = call(LIMITED).send(system.callers()).await;
    assert_eq!((refused.status, refused.error("code")), (429, "over_limit"), "{refused:?}");
    assert_eq!(refused.error("outcome"), "not-run");
    assert!(refused.head.to_lowercase().contains("retry-after:"), "{refused:?}");
    let other = call(OURS).send(system.callers()).await;
    assert_ne!(other.error("code"), "over_limit", "{other:?}");
}
