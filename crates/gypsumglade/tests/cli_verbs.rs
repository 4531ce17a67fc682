//! Command line: exit codes, output, and orders on the wire.

use std::path::Path;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::State;
use axum::response::{IntoResponse as _, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use gypsumglade::cli::exit;
use gypsumglade::listener::{Listener, ListenerOptions};
use gypsumglade::settings::CertificateSettings;
use gypsumglade::tls;
use gypsumglade_core::wire::control as wire;
use gypsumglade_core::wire::control::answer::Body as AnswerBody;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::operator::Status;
use http::{HeaderMap, StatusCode};
use prost::Message as _;
use serde_json::Value;
use tokio_util::sync::CancellationToken;

const TOKEN: &str = "0123456789abcdef";
const BUNDLE: &str = r#"
version: "1.1"
models:
  - { name: advisor, version: "3", input_micros: 2, output_micros: 6, context_tokens: 160000, endpoints: ["adv-*"] }
agents:
  - name: kit-planner
    models: [advisor]
    class: normal
    budget: { tokens: 400000, calls: 200, millis: 3600000, micros: 9000000 }
    idle_ms: 600000
    max_turns: 78
organisations:
  - name: fenyrekesz
    key_digest: "c018c41c1afaf2c0b66c64f97d0ee135657b699ad260f299234cd40a5d625e0e"
    share: 1
    agents: [kit-planner]
"#;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gypsumglade"));
    command.args(args).output().expect("the command starts")
}

fn code(output: &Output) -> u8 {
    u8::try_from(output.status.code().expect("an exit code")).unwrap()
}

fn stdout(output: &Output) -> String {
    assert_eq!(code(output), exit::DONE, "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout.clone()).unwrap()
}

fn path(folder: &Path, name: &str) -> String {
    folder.join(name).to_str().unwrap().to_owned()
}

#[test]
fn settings_example_and_check() {
    let folder = tempfile::tempdir().unwrap();
    let file = path(folder.path(), "vm.yaml");
    std::fs::write(&file, stdout(&run(&["settings", "example", "entry"]))).unwrap();
    let checked = stdout(&run(&["settings", "check", &file, "--output", "json"]));
    assert_eq!(serde_json::from_str::<Value>(&checked).unwrap()["role"], "entry");
}

#[test]
fn settings_check_findings() {
    let folder = tempfile::tempdir().unwrap();
    let file = path(folder.path(), "vm.yaml");
    std::fs::write(&file, "vm: { id: 0 }\nlimits: { bodybytes: 1 }\n").unwrap();
    let failed = run(&["settings", "check", &file, "--output", "json"]);
    assert_eq!(code(&failed), exit::FINDINGS);
    let report: Value = serde_json::from_slice(&failed.stderr).unwrap();
    let list = report["error"]["findings"]["list"].as_array().unwrap();
    assert!(list.iter().any(|f| f["place"] == "limits.bodybytes"), "{report}");
    assert!(list.iter().any(|f| f["place"] == "vm.id"), "{report}");
}

#[test]
fn run_wrong_usage() {
    assert_eq!(code(&run(&["settings", "chek"])), exit::USAGE);
    assert_eq!(code(&run(&["--help"])), exit::DONE);
}

#[test]
fn completions_bash() {
    assert!(stdout(&run(&["completions", "bash"])).contains("gypsumglade"));
}

#[test]
fn key_never_overwritten() {
    let folder = tempfile::tempdir().unwrap();
    let file = path(folder.path(), "operator.key");
    assert!(stdout(&run(&["key", "new", &file])).contains("public key"));
    let before = std::fs::read_to_string(&file).unwrap();
    assert_eq!(code(&run(&["key", "new", &file])), exit::FAILED);
    assert_eq!(std::fs::read_to_string(&file).unwrap(), before);
}

#[test]
fn status_unreachable() {
    let folder = tempfile::tempdir().unwrap();
    let token = path(folder.path(), "token");
    std::fs::write(&token, TOKEN).unwrap();
    let failed = run(&["bundle", "status", "--vm", "127.0.0.1:1", "--token-file", &token]);
    assert_eq!(code(&failed), exit::UNREACHABLE);
}

/// Name of the order that gets the answer of an earlier one whose revision has been replaced.
const REPLACED: &str = "replaced";
/// Name of the order whose answer is corrupted.
const LOST: &str = "lost";

type Told = Arc<Mutex<Vec<wire::Command>>>;

async fn status(head: HeaderMap) -> Response {
    if head.get("authorization").is_none_or(|t| t != &format!("Bearer {TOKEN}")) {
        return (StatusCode::UNAUTHORIZED, "no token").into_response();
    }
    Json(Status { current: 4, in_force: true, ..Status::default() }).into_response()
}

/// Accepts a bundle, and answers a roll back with a conflict.
async fn control(State(told): State<Told>, body: Bytes) -> Vec<u8> {
    let command = wire::Command::decode(body).unwrap();
    let answer = match &command.body {
        Some(CommandBody::Accept(accept)) => AnswerBody::Accepted(wire::Accepted {
            revision: if accept.order_id == REPLACED { 2 } else { 5 },
            digest: accept.digest.clone(),
            version: accept.version.clone(),
        }),
        Some(CommandBody::RollBack(back)) if back.order_id == LOST => return Vec::from(*b"\xff"),
        _ => AnswerBody::Stale(wire::StaleBase { base: 4, current: 6, ..Default::default() }),
    };
    told.lock().unwrap().push(command);
    wire::Answer { body: Some(answer) }.encode_to_vec()
}

async fn admin(told: Told) -> String {
    let router = Router::new()
        .route("/v1/status", get(status))
        .route("/v1/control", post(control))
        .with_state(told);
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move { axum::serve(listener, router).await });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_signed_and_rolled() {
    let told = Told::default();
    let vm = admin(Arc::clone(&told)).await;
    let folder = tempfile::tempdir().unwrap();
    let [key, plain, signed, token] =
        ["a.key", "bundle.yaml", "bundle.signed", "token"].map(|n| path(folder.path(), n));
    std::fs::write(&plain, BUNDLE).unwrap();
    std::fs::write(&token, TOKEN).unwrap();
    stdout(&run(&["key", "new", &key]));
    stdout(&run(&["bundle", "sign", &plain, "--key", &key, "--out", &signed]));
    let ask = ["--vm", &vm, "--token-file", &token];

    let rolled = run(&[&["bundle", "roll", &signed, "--order", "o1"], &ask[..]].concat());
    assert!(stdout(&rolled).contains("revision 5"));
    let again = run(&[&["bundle", "roll", &signed, "--order", REPLACED], &ask[..]].concat());
    assert_eq!(code(&again), exit::REFUSED, "its revision 2 was replaced since");
    let backed =
        run(&[&["bundle", "back", "--to", "3", "--bundle", &plain, "--key", &key], &ask[..]]
            .concat());
    assert_eq!(code(&backed), exit::REFUSED, "a conflict changes nothing");

    let lost = ["bundle", "back", "--to", "3", "--bundle", &plain, "--key", &key, "--order", LOST];
    let lost = run(&[&lost[..], &ask[..]].concat());
    assert_eq!(code(&lost), exit::UNKNOWN);
    let advice = String::from_utf8_lossy(&lost.stderr).into_owned();
    assert!(advice.contains("order lost on revision 4") && advice.contains("--base"), "{advice}");

    let told = told.lock().unwrap();
    let [Some(CommandBody::Accept(accept)), Some(CommandBody::RollBack(back))] =
        [&told[0].body, &told[2].body]
    else {
        panic!("a roll and a roll back, got {told:?}");
    };
    assert_eq!((accept.order_id.as_str(), accept.base_revision), ("o1", 4));
    assert_eq!((accept.version.as_str(), accept.signatures.len()), ("1.1", 1));
    assert_eq!((back.base_revision, back.to_revision, back.signatures.len()), (4, 3, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_wrong_token() {
    let vm = admin(Told::default()).await;
    let folder = tempfile::tempdir().unwrap();
    let token = path(folder.path(), "token");
    std::fs::write(&token, "not the token").unwrap();
    let failed = run(&["bundle", "status", "--vm", &vm, "--token-file", &token]);
    assert_eq!(code(&failed), exit::REFUSED);
}

#[tokio::test(flavor = "multi_thread")]
async fn status_over_tls() {
    let folder = tempfile::tempdir().unwrap();
    let [certificate, key, token] =
        ["admin.pem", "admin.key", "token"].map(|n| path(folder.path(), n));
    let pair = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).unwrap();
    std::fs::write(&certificate, pair.cert.pem()).unwrap();
    std::fs::write(&key, pair.signing_key.serialize_pem()).unwrap();
    std::fs::write(&token, TOKEN).unwrap();
    let settings = CertificateSettings { certificate: certificate.clone().into(), key: key.into() };
    let options = ListenerOptions {
        tls: tls::server(Some(&settings)).unwrap(),
        ..ListenerOptions::plain(16 << 10, Duration::from_secs(1))
    };
    let router = Router::new().route("/v1/status", get(status));
    let any = "127.0.0.1:0".parse().unwrap();
    let stop = CancellationToken::new();
    let listener = Listener::bind(any, router, options, stop).await.unwrap();
    let vm = listener.address().to_string();

    let ask = ["bundle", "status", "--vm", &vm, "--token-file", &token];
    let trusted = run(&[&ask[..], &["--authority", &certificate]].concat());
    assert!(stdout(&trusted).starts_with("revision 4"));
    assert_ne!(code(&run(&ask)), exit::DONE, "plain HTTP is not served");
}
