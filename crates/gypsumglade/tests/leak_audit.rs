//! The leak audit frees engine memory that nothing else would release.

mod support;

use gypsumglade::demo::caller::Caller;
use gypsumglade::embedded::wait_until;
use support::{Cluster, PATIENCE, chat};

/// A program that no program group knows.
const UNKNOWN: &str = "lens-rental/never-begun";

#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn leak_audit_frees_only_unknown() {
    // Each engine ran a call of a program that no group knows, so nothing else releases its memory. The
    // audit frees it on all engines. A program under way keeps its cached prefix: its next turn
    // prefills nothing again.
    let cluster = Cluster::start().await;
    let answer = cluster.caller(1).chat(&chat("kit-5", 1, "one tripod")).await;
    assert!(answer.expect("an answer comes").status.is_success());
    for engine in &cluster.engines {
        let answer = Caller::direct(engine.address()).chat(&chat(UNKNOWN, 0, "hello")).await;
        assert!(answer.expect("an answer comes").status.is_success());
        assert!(engine.stats().held(UNKNOWN) > 0);
    }
    let held = || cluster.engines.iter().map(|engine| engine.stats().held(UNKNOWN));
    assert!(wait_until(PATIENCE, async || held().sum::<u64>() == 0).await, "memory stays held");
    let live = cluster.engines.iter().map(|engine| engine.stats().held("lens-rental/kit-5"));
    assert!(live.sum::<u64>() > 0, "a live program lost its memory");
}
