//! Nine entries and three stores of one user, as library instances on loopback addresses.

mod support;

use std::time::Duration;

use gypsumglade::demo::caller::ChatCall;
use gypsumglade::embedded::wait_until;
use serde_json::json;
use support::{Cluster, chat, prompt_tokens};

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn program_across_vms() {
    // The balancer sends each call of a program to another VM, in both regions. Turns stay in order and
    // the history is complete.
    let cluster = Cluster::start().await;
    let mut said = 0;
    for (turn, vm) in [(1, 1), (2, 5), (3, 9), (4, 2)] {
        let answer = cluster.caller(vm).chat(&chat("kit-1", turn, "one more lens")).await;
        let answer = answer.expect("an answer comes");
        assert!(answer.status.is_success(), "turn {turn}: {}", answer.json());
        assert!(prompt_tokens(&answer) > said, "turn {turn} lost history");
        said = prompt_tokens(&answer);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn deposit_resent_elsewhere() {
    // A caller loses the answer to its deposit and resends it to other VMs. All answers are the receipt
    // of the one deposit, since the outcome is recorded in the program group.
    let cluster = Cluster::start().await;
    let mut receipts = Vec::new();
    for vm in [1, 4, 8] {
        let body = json!({"amount": 90_000});
        let caller = cluster.caller(vm);
        let answer = caller.tool("kit-2", "kit-planner", "booking/deposit", "deposit-1", body);
        receipts.push(answer.await.expect("an answer comes").body);
    }
    assert!(receipts.windows(2).all(|pair| pair[0] == pair[1]));
    let runs: u64 = cluster.service.stats().keys.iter().map(|key| key.runs).sum();
    assert_eq!(runs, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn stop_store_leads_on() {
    // A planned stop of a store between two turns transfers its leadership first, so the next turn is
    // served with the history of the first.
    let mut cluster = Cluster::start().await;
    let first = cluster.caller(2).chat(&chat("kit-3", 1, "two bodies")).await;
    let first = first.expect("an answer comes");
    assert!(first.status.is_success(), "{}", first.json());
    cluster.stores[0].take().expect("the store runs").stop().await;
    let second = cluster.caller(6).chat(&chat("kit-3", 2, "and a zoom")).await;
    let second = second.expect("an answer comes");
    assert!(second.status.is_success(), "{}", second.json());
    assert!(prompt_tokens(&second) > prompt_tokens(&first));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn stop_entry_keeps_stream() {
    // A planned stop of an entry waits for calls in flight, so the stream is complete.
    let mut cluster = Cluster::start().await;
    let caller = cluster.caller(3);
    let streaming = tokio::spawn(async move {
        let call = ChatCall { stream: true, ..chat("kit-4", 1, "a long plan please") };
        caller.chat(&call).await
    });
    let entry = cluster.entries[2].take().expect("the entry runs");
    let state = std::sync::Arc::clone(entry.state());
    let begun = wait_until(Duration::from_secs(30), async || {
        state.running.count() > 0 || streaming.is_finished()
    });
    assert!(begun.await);
    entry.stop().await;
    let answer = streaming.await.expect("no panic").expect("a whole answer");
    let text = String::from_utf8_lossy(&answer.body);
    assert!(text.trim_end().ends_with("data: [DONE]"), "{text}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn call_without_lease_is_not_run() {
    // All stores are down, so no VM can renew its lease. The call is refused at once as not run, with a
    // retry delay, and no engine has started anything.
    let mut cluster = Cluster::start().await;
    for store in &mut cluster.stores {
        store.take().expect("the store runs").stop().await;
    }
    let state = std::sync::Arc::clone(cluster.entries[4].as_ref().expect("it runs").state());
    let lapsed = wait_until(Duration::from_secs(60), async || {
        state.config.active(state.clock.now()).is_err()
    });
    assert!(lapsed.await);
    let answer = cluster.caller(5).chat(&chat("kit-5", 1, "any lens")).await;
    let answer = answer.expect("an answer comes").json();
    let named = |path: &str| answer.pointer(path).and_then(|value| value.as_str());
    assert_eq!(
        (named("/error/code"), named("/error/outcome")),
        (Some("no_lease"), Some("not-run"))
    );
    let started: u64 = cluster.engines.iter().map(|engine| engine.stats().counts.started).sum();
    assert_eq!(started, 0);
}
