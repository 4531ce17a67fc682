//! End-to-end run in one process: caller, entry, program group and endpoint.

use gypsumglade::demo;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn demo_run_keeps_promises() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let report = demo::run(folder.path(), log, &|_| {}).await.expect("the demo runs");
    assert!(report.passed(), "{report}");
}
