//! Log lines are JSON, name their process, and follow the level and file of the settings.

use gypsumglade::logs;
use gypsumglade::settings::{Level, LogSettings};
use serde_json::Value;

#[test]
fn start_writes_json_lines() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("log.jsonl");
    let settings = LogSettings { level: Level::Info, file: Some(file.clone()) };
    let (log, guard) = logs::start(&settings, 7, "entry").unwrap();
    slog::info!(log, "turn recorded"; logs::PROGRAM => "optika/kit-1", logs::TURN => 3);
    slog::debug!(log, "not shown");
    drop(log);
    drop(guard);

    let text = std::fs::read_to_string(file).unwrap();
    let lines: Vec<Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 1);
    assert_eq!(lines[0]["msg"], "turn recorded");
    assert_eq!(lines[0]["vm"], 7);
    assert_eq!(lines[0]["program"], "optika/kit-1");
    assert_eq!(lines[0]["turn"], 3);
}

#[test]
fn start_unwritable_file() {
    let settings = LogSettings { level: Level::Info, file: Some("/no/such/folder/log".into()) };
    let error = logs::start(&settings, 7, "entry").err().expect("the folder does not exist");
    assert!(error.to_string().contains("log.file"), "{error}");
}
