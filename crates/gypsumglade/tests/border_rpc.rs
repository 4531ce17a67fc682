//! Invalid input from other processes: no token, garbage, huge numbers, false announcements.

mod border_support;

use std::net::SocketAddr;
use std::time::Duration;

use border_support::{Answer, Raw, System, bearer, config};
use bytes::Bytes;
use gypsumglade::entry::groups::group_of;
use gypsumglade::rpc::{Method, PeerClients, RpcError, decode, encode};
use gypsumglade::secret::Secret;
use gypsumglade::settings::Settings;
use gypsumglade_core::ids::VmId;
use gypsumglade_core::wire::control as control_wire;
use gypsumglade_core::wire::control::command::Body as CommandBody;
use gypsumglade_core::wire::operator as operator_wire;
use gypsumglade_core::wire::operator::control_request::Body as ControlBody;
use gypsumglade_core::wire::program as wire;
use gypsumglade_core::wire::program::reply::Body as ReplyBody;
use gypsumglade_core::wire::program::request::Body as RequestBody;
use gypsumglade_core::wire::replication as log_wire;
use gypsumglade_core::wire::replication::message::Body as LogBody;
use jsonrpsee::core::params::ArrayParams;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::strategy::ValueTree as _;
use proptest::test_runner::TestRunner;
use prost::Message as _;
use serde_json::{Value, json};

/// Bound on the wait for one answer, far above the usual time.
const PATIENCE: Duration = Duration::from_secs(20);
/// Wait for answers to garbage; a request may be parked, which is allowed.
const SHORT: Duration = Duration::from_millis(300);

const ENTRY_METHODS: &[Method] =
    &[Method::Lease, Method::Announce, Method::Release, Method::Members, Method::Cancel];
const STORE_METHODS: &[Method] = &[
    Method::Program,
    Method::Control,
    Method::Lease,
    Method::Score,
    Method::Hello,
    Method::Endpoints,
    Method::Turn,
];

fn parameters(values: &[Value]) -> ArrayParams {
    let mut parameters = ArrayParams::new();
    values.iter().for_each(|value| parameters.insert(value).expect("JSON"));
    parameters
}

fn entry(system: &System) -> SocketAddr {
    system.embedded.entry.addresses().peers
}

fn store(system: &System) -> SocketAddr {
    system.embedded.store.addresses().peers
}

fn friend(system: &System) -> PeerClients {
    PeerClients::new(system.settings.tokens.peers.clone(), None)
}

fn begin(program: &str, number: u64) -> wire::Request {
    let turn = wire::BeginTurn {
        program: Some(wire::ProgramRef { org: "org".to_owned(), program: program.to_owned() }),
        key: "key".to_owned(),
        messages: Bytes::from_static(br#"[{"role":"user","content":"hello"}]"#),
        max_output: number,
        max_micros: number,
        deadline_ms: number,
        idle_ms: number,
        prompt_tokens: number,
        revision: number,
        budget: Some(wire::Budget {
            tokens: number,
            calls: number,
            millis: number,
            micros: number,
        }),
        nonce: "nonce".to_owned(),
        ..wire::BeginTurn::default()
    };
    wire::Request { body: Some(RequestBody::BeginTurn(turn)) }
}

/// Sends a valid request to both processes.
async fn check_serving(system: &System, program: &str) {
    let peers = friend(system);
    let members = peers.call(entry(system), Method::Members, ArrayParams::new(), PATIENCE).await;
    assert!(members.is_ok(), "the entry serves no more: {members:?}");
    let mut request = begin(program, 1_000);
    if let Some(RequestBody::BeginTurn(turn)) = &mut request.body {
        turn.budget = None;
        turn.deadline_ms = 0;
    }
    let group = group_of("org", program, Settings::default().groups);
    let values = [json!(group), json!(1), json!(encode(&request))];
    let mut answer = None;
    for _ in 0..20 {
        let text = peers.call(store(system), Method::Program, parameters(&values), PATIENCE).await;
        let reply: wire::Reply = decode(&text.expect("the store answers")).expect("a reply");
        answer = reply.body;
        if matches!(answer, Some(ReplyBody::Grant(_))) {
            return;
        }
        // There is no leader yet.
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("the store grants nothing any more: {answer:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_of_a_stranger_is_refused() {
    // Without a check of the token, any process that reaches the port could settle calls or vote.
    let system = System::bare().await;
    let peers = PeerClients::new(Secret::new("a guess of some length"), None);
    let body = json!({"jsonrpc": "2.0", "id": 1, "method": "members", "params": []}).to_string();
    for (address, methods) in [(entry(&system), ENTRY_METHODS), (store(&system), STORE_METHODS)] {
        for &method in methods {
            let answer = peers.call(address, method, ArrayParams::new(), PATIENCE).await;
            assert_eq!(answer, Err(RpcError::Unreachable(address)), "{method:?}");
        }
        let plain =
            Raw::new("POST", "/").header("content-type", "application/json").body(body.clone());
        assert_eq!(plain.send(address).await.status, 401);
        let guess = plain.header("authorization", bearer("a guess of some length"));
        assert_eq!(guess.send(address).await.status, 401);
    }
    // The token also protects the link over which stores vote.
    let link = peers.open_link(store(&system), VmId(9)).await;
    assert_eq!(link.err(), Some(RpcError::Unreachable(store(&system))));
    check_serving(&system, "good").await;
}

/// A peer of another version, or with damaged memory, sends frames that can't be decoded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_with_garbage_is_survived() {
    let system = System::bare().await;
    let mut link = friend(&system).open_link(store(&system), VmId(9)).await.expect("a link");
    let mut runner = TestRunner::deterministic();
    for _ in 0..200 {
        let garbage = vec(any::<u8>(), 0..200).new_tree(&mut runner).expect("a value").current();
        link.send(garbage.into()).await.expect("sent");
        assert!(link.acknowledged().await, "the frame is taken");
    }
    check_serving(&system, "good").await;
}

fn any_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        Just(Value::Null),
        any::<u64>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,40}".prop_map(Value::from),
        vec(any::<u8>(), 0..60).prop_map(|bytes| json!(encode_bytes(&bytes))),
        vec(any::<u32>(), 0..4).prop_map(Value::from),
    ]
}

fn encode_bytes(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_with_garbage_is_survived() {
    // A peer of another version, or a faulty one, sends requests that can't be decoded.
    let system = System::bare().await;
    let peers = friend(&system);
    let mut runner = TestRunner::new(config(73, 40));
    let strategy = vec(any_value(), 0..4);
    for _ in 0..runner.config().cases {
        let values = strategy.new_tree(&mut runner).expect("a value").current();
        for (address, methods) in [(entry(&system), ENTRY_METHODS), (store(&system), STORE_METHODS)]
        {
            for &method in methods {
                let answer = peers.call(address, method, parameters(&values), SHORT).await;
                let reached = !matches!(answer, Err(RpcError::Unreachable(_)));
                assert!(reached, "{method:?} {values:?}");
            }
        }
    }
    check_serving(&system, "good").await;
}

/// Requests to a program group in which every number is `number`.
fn program_requests(number: u64) -> Vec<wire::Request> {
    let program = || Some(wire::ProgramRef { org: "org".to_owned(), program: "odd".to_owned() });
    let usage = wire::Usage {
        prompt_tokens: number,
        output_tokens: number,
        micros: number,
        cached_tokens: number,
    };
    let settle = |outcome| wire::Settle {
        program: program(),
        dispatch: "g1.t1.1".to_owned(),
        outcome,
        status: number as u32,
        usage: Some(usage),
        ..wire::Settle::default()
    };
    let mut call = wire::BeginCall { program: program(), ..wire::BeginCall::default() };
    call.max_micros = number;
    call.deadline_ms = number;
    call.idle_ms = number;
    let bodies = [
        RequestBody::BeginCall(call),
        RequestBody::Settle(settle(0)),
        RequestBody::Settle(settle(number as i32)),
        RequestBody::Settle(wire::Settle::default()),
        RequestBody::BeginTurn(wire::BeginTurn::default()),
        RequestBody::EndProgram(wire::EndProgram::default()),
        RequestBody::Released(wire::Released::default()),
        RequestBody::Started(wire::Started::default()),
    ];
    let mut requests = vec![begin("odd", number), wire::Request::default()];
    requests.extend(bodies.map(|body| wire::Request { body: Some(body) }));
    requests
}

/// Replication batches of a VM that isn't a member, in which every number is `number`.
fn batches(number: u64) -> Vec<log_wire::Batch> {
    let entry = log_wire::Entry { term: number, index: number, ..log_wire::Entry::default() };
    let append = log_wire::Append {
        prev_index: number,
        prev_term: number,
        commit: number,
        sent: number,
        round: number,
        entries: vec![entry],
        epoch: number,
    };
    let reply = log_wire::AppendReply {
        ok: true,
        index: number,
        hint_index: number,
        hint_term: number,
        sent: number,
        round: number,
        commit: number,
        epoch: number,
        leader_epoch: number,
    };
    let vote = log_wire::VoteRequest {
        last_index: number,
        last_term: number,
        ..log_wire::VoteRequest::default()
    };
    let chunk = log_wire::ChunkReply { index: number, offset: number, ..Default::default() };
    let bodies = [
        LogBody::Append(append),
        LogBody::AppendReply(reply),
        LogBody::VoteRequest(vote),
        LogBody::VoteReply(log_wire::VoteReply { pre: true, granted: true }),
        LogBody::ChunkReply(chunk),
    ];
    let pulse =
        log_wire::Pulse { sent: number, epoch: number, echo_sent: number, echo_epoch: number };
    let message = |body| log_wire::Message { group: u32::MAX, term: 1, body: Some(body) };
    vec![
        log_wire::Batch { messages: bodies.map(message).to_vec(), pulse: Some(pulse) },
        log_wire::Batch::default(),
    ]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_with_huge_numbers_is_survived() {
    let odd_group = group_of("org", "odd", Settings::default().groups);
    // A faulty peer sends numbers at the limits of their types: sums must not overflow, and no memory
    // may be allocated by them.
    let system = System::bare().await;
    check_serving(&system, "first").await;
    let peers = friend(&system);
    for number in [0, 1, u64::from(u32::MAX), u64::MAX / 1_000, u64::MAX - 1, u64::MAX] {
        for request in program_requests(number) {
            for group in [json!(odd_group), json!(1), json!(0), json!(u32::MAX)] {
                let values = [group, json!(u32::MAX), json!(encode(&request))];
                let _ =
                    peers.call(store(&system), Method::Program, parameters(&values), SHORT).await;
            }
        }
        let mut link = peers.open_link(store(&system), VmId(9)).await.expect("a link");
        for batch in batches(number) {
            link.send(batch.encode_to_vec().into()).await.expect("sent");
            assert!(link.acknowledged().await, "the batch is taken");
        }
        let lease = control_wire::ConfirmRequest {
            vm: number as u32,
            ask: number,
            applied: number,
            floor: number,
            incarnation: number,
        };
        for address in [entry(&system), store(&system)] {
            let values = [json!(encode(&lease))];
            let _ = peers.call(address, Method::Lease, parameters(&values), SHORT).await;
        }
        let query = ControlBody::Status(operator_wire::StatusQuery { revision: number });
        let take = control_wire::TakeOrderLease::default();
        let take = control_wire::Command { body: Some(CommandBody::TakeOrders(take)) };
        for body in [query, ControlBody::Command(take), ControlBody::Command(Default::default())] {
            let request = operator_wire::ControlRequest { body: Some(body) };
            let values = [json!(encode(&request))];
            let _ = peers.call(store(&system), Method::Control, parameters(&values), SHORT).await;
        }
        check_serving(&system, &format!("good-{number}")).await;
    }
}

fn announcement(name: &str, incarnation: u64, sequence: u64, port: u16) -> Value {
    json!({
        "name": name, "incarnation": incarnation, "sequence": sequence, "kind": "engine",
        "address": format!("127.0.0.1:{port}"), "domain": "local", "region": "local",
        "models": [{"model": "advisor", "version": "1"}],
        "slots": 4, "prefill_rate": 1000.0, "decode_rate": 50.0, "cache_tokens": 1000,
        "lease_ms": 10_000,
    })
}

async fn announce(system: &System, token: &str, body: &Value) -> Answer {
    let request = Raw::new("POST", "/v1/endpoints/announce");
    let request = request.header("content-type", "application/json");
    let request = request.header("authorization", bearer(token)).body(body.to_string());
    request.send(system.embedded.entry.addresses().endpoints).await
}

fn address(system: &System, name: &str) -> Option<String> {
    system.embedded.entry.state().endpoint_address(name).map(|address| address.to_string())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announce_without_the_token_is_refused() {
    let system = System::bare().await;
    let tokens = &system.settings.tokens;
    for token in ["", "a guess of some length", tokens.peers.reveal(), tokens.admin.reveal()] {
        let answer = announce(&system, token, &announcement("engine", 1, 1, 4_001)).await;
        assert_eq!(answer.status, 401);
    }
    assert_eq!(address(&system, "engine"), None);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announce_with_huge_numbers_is_survived() {
    let system = System::bare().await;
    let token = system.settings.tokens.endpoints.reveal();
    for (place, value) in [
        ("lease_ms", json!(u64::MAX)),
        ("slots", json!(u32::MAX)),
        ("slots", json!(0)),
        ("prefill_rate", json!(f64::MAX)),
        ("prefill_rate", json!(-1.0)),
        ("decode_rate", json!(0.0)),
        ("cache_tokens", json!(u64::MAX)),
        ("incarnation", json!(u64::MAX)),
        ("sequence", json!(u64::MAX)),
        ("load", json!({"running": u32::MAX, "waiting": u32::MAX, "age_ms": u64::MAX})),
        (
            "cache_events",
            json!([{"program": "a/b", "tokens": u64::MAX, "sequence": u64::MAX},
            {"program": "/", "tokens": 1, "sequence": 0}]),
        ),
        ("name", json!("x".repeat(10_000))),
        ("name", json!("")),
        ("address", json!("not an address")),
        ("domain", json!("nowhere")),
        ("models", json!([])),
        ("lease_ms", json!(-1)),
    ] {
        let mut body = announcement(&format!("engine-{place}"), 1, 1, 4_001);
        body[place] = value.clone();
        for sequence in 1..3 {
            let answer = announce(&system, token, &body).await;
            assert!([204, 400].contains(&answer.status), "{place}: {value} {answer:?}");
            body["sequence"] = json!(sequence + 1);
        }
    }
    let good = announce(&system, token, &announcement("good", 1, 1, 4_001)).await;
    assert_eq!((good.status, address(&system, "good").is_some()), (204, true));
    check_serving(&system, "good").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn announce_of_anothers_identity_is_not_taken() {
    // An endpoint announces itself from another address under the name of one that is up. Accepted, it
    // would receive that endpoint's calls with their histories.
    let system = System::bare().await;
    let token = system.settings.tokens.endpoints.reveal();
    announce(&system, token, &announcement("engine", 5, 5, 4_001)).await;
    for (incarnation, sequence) in [(5, 6), (5, u64::MAX), (4, 9), (6, 1), (u64::MAX, 1)] {
        announce(&system, token, &announcement("engine", incarnation, sequence, 4_002)).await;
        let held = address(&system, "engine");
        assert_eq!(held.as_deref(), Some("127.0.0.1:4001"), "{incarnation} {sequence}");
    }
}
