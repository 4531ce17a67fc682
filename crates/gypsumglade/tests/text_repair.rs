//! A store with an empty disk joins the turn group, and gets the text of kept turns after it.

use std::net::Ipv4Addr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use gypsumglade::directory::Directory;
use gypsumglade::settings::Settings;
use gypsumglade::store::Store;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::reply::Body as Reply;
use gypsumglade_core::wire::turn::{Command, Kept, Reserve, Settle, TextQuery, Texts};

/// Port of every store; each has a loopback address of its own.
const PEERS: u16 = 7_310;
/// Kept turns: more than are fetched at one time.
const TURNS: usize = 150;
/// Bytes of a turn's input: all turns together are more than a log keeps for followers that lag, so
/// that the newcomer is sent a snapshot.
const INPUT_BYTES: usize = 10_000;

fn ip(number: u8) -> Ipv4Addr {
    let process = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 128 | (process[2] & 63), process[3], number)
}

fn settings(own: Ipv4Addr, seed: Ipv4Addr, folder: &Path) -> Settings {
    let first = own == seed;
    let folder = folder.display();
    let text = format!(
        r#"
vm: {{ domain: a, region: south }}
threads: 1
discovery: {{ name: "{own}", seeds: ["{seed}:1"], first_start: {first}, domains: {{ a: south }} }}
listen: {{ peers: "{own}:{PEERS}" }}
groups: 0
store:
  folder: "{folder}"
  peers: "{own}:{PEERS}"
  admin: "{own}:0"
  tolerate: 1
  heartbeat_ms: 50
  election_ms: 300
tokens: {{ peers: "a-token-for-the-test", admin: "a-token-for-the-test", endpoints: "a-token-for-the-test" }}
operators: {{ keys: ["68130c21391e43a090a1b7c5eb51a54a33104d132e61d9af0d58a5821ba0e743"], threshold: 1 }}
log: {{ file: "-" }}
"#
    );
    Settings::parse(Path::new("settings.yaml"), &text)
        .unwrap_or_else(|findings| panic!("{findings}\n{text}"))
}

async fn start(own: Ipv4Addr, seed: Ipv4Addr, folder: &Path) -> Store {
    let settings = settings(own, seed, folder);
    let directory = Arc::new(Directory::new(&settings));
    let log = slog::Logger::root(slog::Discard, slog::o!());
    Store::start(settings, directory, log).await.expect("a store starts")
}

async fn ask(store: &Store, body: Body) -> Reply {
    loop {
        let reply = store.state().turns.ask(Command { body: Some(body.clone()) }).await;
        match reply.body.expect("every command is answered") {
            Reply::NotLeader(_) | Reply::Uncertain(_) => {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            other => return other,
        }
    }
}

async fn keep(store: &Store, number: usize) {
    let kept = Kept {
        input: format!("<{number:x>INPUT_BYTES$}>").into(),
        output: format!("[{number}]").into(),
        retention_ms: 600_000,
        ..Kept::default()
    };
    let settle = Settle {
        turn: number.to_string(),
        program: "p".to_owned(),
        kept: Some(kept),
        ..Settle::default()
    };
    assert!(matches!(ask(store, Body::Settle(settle)).await, Reply::Settled(_)));
}

fn texts(store: &Store) -> Texts {
    let turns = (0..TURNS).map(|number| number.to_string()).collect();
    store.state().turns.texts(&TextQuery { turns })
}

/// Callers lose what their conversations said, if the next disk is lost before a newcomer has what
/// the group keeps. Text takes longest, so the newcomer joins without, and has all of it soon after;
/// it answers from it like the store that it came from.
#[tokio::test]
async fn newcomer_gets_text() {
    let folders = [0, 1].map(|_| tempfile::tempdir().expect("a temporary folder"));
    let first = start(ip(1), ip(1), folders[0].path()).await;
    for number in 0..TURNS {
        keep(&first, number).await;
    }
    let second = start(ip(2), ip(1), folders[1].path()).await;
    while texts(&second).turns.len() < TURNS {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(texts(&second), texts(&first));
    let next = Reserve {
        turn: "next".to_owned(),
        program: "p".to_owned(),
        previous: "7".to_owned(),
        ..Reserve::default()
    };
    let reserved = ask(&first, Body::Reserve(next)).await;
    let history = format!("<{:x>INPUT_BYTES$}>[7]", 7);
    assert!(matches!(reserved, Reply::Reserved(reserved) if reserved.history == history));
    second.stop().await;
    first.stop().await;
}
