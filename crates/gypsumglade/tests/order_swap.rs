//! A bundle changes a model's version while the engines serve calls.

mod support;

use gypsumglade::embedded::wait_until;
use gypsumglade_core::policy::registry::home;
use gypsumglade_core::prelude::*;
use serde_json::Value;
use support::{BUNDLE, Cluster, PATIENCE, chat};
use tokio_util::sync::CancellationToken;

const OLD: &str = "name: advisor, version: \"1\"";
const NEW: &str = "name: advisor, version: \"2\"";

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn order_swap_unnoticed() {
    // A program calls continuously while a bundle changes the advisor's version. Every call is
    // answered, since each engine loads the new version before it drops the old one. In the end every
    // engine has only version 2.
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

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn order_swap_after_holder_stops() {
    // The holder of the order lease stops before the bundle changes the version. Another VM takes the
    // lease after its expiry, with a higher number, and its orders are obeyed.
    let mut cluster = Cluster::start().await;
    let held = wait_until(PATIENCE, async || lease_number(&cluster) == 1).await;
    assert!(held, "nobody took the order lease");
    let vms: Vec<VmId> = (1..=9).map(VmId).collect();
    let holder = home("order lease", &vms).expect("a VM is up");
    let stopped = cluster.entries[holder.0 as usize - 1].take().expect("the entry runs");
    stopped.stop().await;
    for entry in cluster.entries.iter().flatten() {
        // The test has no membership, which would remove the stopped VM from the list.
        let directory = &entry.state().directory;
        let left = directory.entries().into_iter().filter(|entry| entry.vm != holder);
        directory.set_entries(left.collect());
    }
    cluster.roll_content(&BUNDLE.replace(OLD, NEW), 2, RevisionNumber(1)).await;
    let swapped = wait_until(PATIENCE, async || versions(&cluster) == ["2", "2", "2"]).await;
    assert!(swapped, "the engines serve {:?}", versions(&cluster));
    assert_eq!(lease_number(&cluster), 2);
    let stale: u64 = cluster.engines.iter().map(|e| e.stats().counts.stale_orders).sum();
    assert_eq!(stale, 0);
}

/// Returns the highest number of the order lease that a store knows, zero if there is none.
fn lease_number(cluster: &Cluster) -> u64 {
    let dumps = cluster.stores.iter().flatten().map(|store| store.state().control.dump());
    let number = |dump: Value| dump.pointer("/order_lease/number").and_then(Value::as_u64);
    dumps.filter_map(number).max().unwrap_or(0)
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

/// Returns each engine's versions, as known to an entry VM.
fn versions(cluster: &Cluster) -> Vec<String> {
    let dump = cluster.entries.iter().flatten().next().expect("an entry runs").state().dump();
    let mut engines: Vec<&Value> = dump["endpoints"].as_array().into_iter().flatten().collect();
    engines.sort_by_key(|engine| engine["name"].to_string());
    let models = engines.iter().filter_map(|engine| engine.pointer("/kind/Engine/models"));
    let text = |model: &Value| model["version"].as_str().unwrap_or_default().to_owned();
    let versions = |models: &Value| -> Vec<String> {
        models.as_array().into_iter().flatten().map(text).collect()
    };
    models.map(|models| versions(models).join(" ")).collect()
}
