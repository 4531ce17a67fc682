//! A bundle that changes a model's version, on engines that calls run on all the while.

mod support;

use gypsumglade::embedded::wait_until;
use gypsumglade_core::prelude::*;
use serde_json::Value;
use support::{BUNDLE, Cluster, PATIENCE, chat};
use tokio_util::sync::CancellationToken;

const OLD: &str = "name: advisor, version: \"1\"";
const NEW: &str = "name: advisor, version: \"2\"";

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn order_swap_unnoticed() {
    // A program calls without a pause while a bundle changes the advisor's version. Each call is
    // answered: engines with version 1 serve until one has version 2, and each engine loads the
    // new version before it drops the old one. In the end every engine has version 2 alone.
    let cluster = Cluster::start().await;
    assert!(BUNDLE.contains(OLD));
    let done = CancellationToken::new();
    let calling = tokio::spawn(call_until(
        done.clone(),
        (1..=9).map(|vm| cluster.caller(vm)).collect::<Vec<_>>(),
    ));
    cluster.roll_content(&BUNDLE.replace(OLD, NEW), 2, RevisionNumber(1)).await;
    let swapped = wait_until(PATIENCE, async || versions(&cluster) == ["2", "2", "2"]).await;
    done.cancel();
    let calls = calling.await.expect("every call is answered");
    assert!(swapped, "the engines serve {:?}", versions(&cluster));
    assert!(calls > 0);
    let orders: Vec<u64> = cluster.engines.iter().map(|e| e.stats().counts.orders).collect();
    assert_eq!(orders, [2, 2, 2], "one load and one drop each");
}

async fn call_until(
    done: CancellationToken,
    callers: Vec<gypsumglade::demo::caller::Caller>,
) -> u64 {
    let mut turn = 0;
    for caller in callers.iter().cycle() {
        if done.is_cancelled() {
            break;
        }
        turn += 1;
        let answer = caller.chat(&chat("kit-swap", turn, "one lens")).await;
        let answer = answer.expect("an answer comes");
        assert!(answer.status.is_success(), "turn {turn}: {}", answer.json());
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    turn
}

/// Returns each engine's versions as an entry VM knows them.
fn versions(cluster: &Cluster) -> Vec<String> {
    let dump = cluster.entries[4].as_ref().expect("the entry runs").state().dump();
    let mut engines: Vec<&Value> = dump["endpoints"].as_array().into_iter().flatten().collect();
    engines.sort_by_key(|engine| engine["name"].to_string());
    let models = engines.iter().filter_map(|engine| engine.pointer("/kind/Engine/models"));
    let text = |model: &Value| model["version"].as_str().unwrap_or_default().to_owned();
    let versions = |models: &Value| -> Vec<String> {
        models.as_array().into_iter().flatten().map(text).collect()
    };
    models.map(|models| versions(models).join(" ")).collect()
}
