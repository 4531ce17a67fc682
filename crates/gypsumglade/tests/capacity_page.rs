//! docs/CAPACITY.md contains only the recorded measurements and figures derived from them.
//!
//! docs/capacity.yaml has the target and the measurements. Each row of the page that begins with a
//! name in backticks is one of these or one of the figures worked out below.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use gypsumglade::entry::announce::{AnnouncementBody, CacheEventBody, KindName, LoadBody};
use gypsumglade_core::policy::registry::ModelId;
use serde::Deserialize;
use serde_json::json;

const SECONDS_A_DAY: f64 = 86_400.0;
/// Overhead of base64 in JSON: four bytes for each three of a message.
const BASE64: f64 = 4.0 / 3.0;
/// Replicas of a group at the target, according to the placement plan.
const REPLICAS: f64 = 3.0;
const MB: f64 = 1e6;
const GB: f64 = 1e9;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Recorded {
    target: BTreeMap<String, Quantity>,
    assumed: BTreeMap<String, Quantity>,
    measured: BTreeMap<String, Measurement>,
}

#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields)]
struct Quantity {
    value: f64,
    unit: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Measurement {
    value: f64,
    unit: String,
    command: String,
    date: String,
    seed: String,
    /// Page below docs/ that has the same figure, if there is one.
    page: Option<PathBuf>,
}

impl Recorded {
    fn read() -> Recorded {
        let text = std::fs::read_to_string(docs().join("capacity.yaml")).unwrap();
        serde_yaml_ng::from_str(&text).unwrap()
    }

    /// Returns a recorded value by its name.
    fn get(&self, name: &str) -> f64 {
        let quantity = self.target.get(name).or_else(|| self.assumed.get(name));
        let value = quantity.map(|quantity| quantity.value);
        let value = value.or_else(|| self.measured.get(name).map(|measured| measured.value));
        value.unwrap_or_else(|| panic!("docs/capacity.yaml has no {name}"))
    }

    /// Returns the slope between two recorded points.
    fn slope(&self, name: &str, (low, x): (&str, f64), (high, y): (&str, f64)) -> f64 {
        (self.get(&format!("{name}_{high}")) - self.get(&format!("{name}_{low}"))) / (y - x)
    }

    /// Extrapolates the line through 9 and 36 VMs to the target's size; at least the value of 36 VMs.
    fn at_target(&self, name: &str) -> f64 {
        let slope = self.slope(name, ("9_vms", 9.0), ("36_vms", 36.0)).max(0.0);
        self.get(&format!("{name}_36_vms")) + slope * (self.get("nodes") - 36.0)
    }

    fn quantities(&self) -> BTreeMap<String, Quantity> {
        let given = self.target.iter().chain(&self.assumed);
        let mut all: BTreeMap<String, Quantity> =
            given.map(|(name, quantity)| (name.clone(), quantity.clone())).collect();
        for (name, measured) in &self.measured {
            let quantity = Quantity { value: measured.value, unit: measured.unit.clone() };
            all.insert(name.clone(), quantity);
        }
        all
    }
}

type Figure = (&'static str, f64, &'static str);

/// Cost of calls at an entry VM.
fn call_figures(r: &Recorded) -> Vec<Figure> {
    let requests = r.get("requests") / r.get("nodes");
    let tokens = r.get("tokens") / r.get("nodes");
    let streams = r.get("tokens") * r.get("token_gap") / 1e3 / r.get("nodes");
    let prompt = r.get("program_tokens") / 2.0 * r.get("bytes_per_token");
    vec![
        ("entry_requests", requests, "calls/s"),
        ("entry_tokens", tokens, "tokens/s"),
        ("entry_call_cpu", requests * r.get("call_cpu") / 1e3 * 100.0, "% of a core"),
        ("entry_token_cpu", tokens * r.get("token_cpu") / 1e6 * 100.0, "% of a core"),
        ("entry_streams", streams, "streams"),
        ("entry_stream_memory", streams * r.get("stream_memory") / 1e3, "MB"),
        ("entry_history_bytes", requests * prompt * BASE64 / MB, "MB/s"),
    ]
}

/// Cost of control at an entry VM.
fn control_figures(r: &Recorded) -> Vec<Figure> {
    let rate = r.get("workers") / r.get("announce_interval");
    let changes = r.get("changes") / SECONDS_A_DAY;
    let events = r.get("requests") / r.get("workers") * r.get("announce_interval") * 2.0;
    let announced = r.get("announcement_call") + events * r.get("cache_event_call");
    let slope =
        r.slope("entry_cpu", ("9_vms", 0.0), ("60_endpoints", 60.0 / r.get("standin_interval")));
    let deltas = changes * (r.get("delta_bytes") + r.get("signature_bytes"));
    let summaries = 2.0 * r.get("summary_bytes");
    let registry = r.get("workers") * r.get("endpoint_memory") / MB;
    let hints = r.get("workers") * r.get("hints_memory") / MB;
    let bundle = r.get("entry_memory_large_bundle") - r.get("entry_memory_9_vms");
    vec![
        ("entry_idle_cpu", r.at_target("entry_cpu"), "% of a core"),
        ("entry_idle_memory", r.at_target("entry_memory"), "MB"),
        ("entry_idle_bytes", r.at_target("entry_sent") + r.at_target("entry_received"), "bytes/s"),
        ("entry_delta_bytes", deltas, "bytes/s"),
        ("entry_announcements", rate, "announcements/s"),
        ("entry_cache_events", events, "events"),
        ("entry_announce_received", rate * announced, "bytes/s"),
        ("entry_announce_both_ways", rate * announced * 2.0, "bytes/s"),
        ("entry_announce_slope", slope, "% of a core"),
        ("entry_announce_cpu", slope * rate, "% of a core"),
        ("entry_registry_memory", registry, "MB"),
        ("entry_hints_memory", hints, "MB"),
        ("entry_control_memory", r.at_target("entry_memory") + bundle + registry + hints, "MB"),
        (
            "entry_homes_bytes",
            r.get("membership_bytes") + r.get("lease_bytes") + deltas + summaries,
            "bytes/s",
        ),
    ]
}

/// Cost of programs at the stores.
fn program_figures(r: &Recorded) -> Vec<Figure> {
    let history = r.get("programs") * r.get("program_tokens") * r.get("bytes_per_token");
    let calls = 2.0 * r.get("program_turns");
    let keys = r.get("programs") * (r.get("program_memory") + calls * r.get("key_memory"));
    let copy = history + keys;
    let text = r.get("program_tokens") * r.get("bytes_per_token") / r.get("program_turns");
    let overhead = r.get("turn_log_bytes") - r.get("turn_text_bytes");
    let log = r.get("requests") * (text + overhead);
    let entries = r.get("requests") * r.get("turn_entries");
    let sent = log * (REPLICAS - 1.0) * BASE64 / r.get("control_vms");
    let restore = copy / (10_000.0 * r.get("snapshot_bytes")) * r.get("snapshot_restore");
    vec![
        ("programs_history", history / GB, "GB"),
        ("programs_keys", keys / GB, "GB"),
        ("programs_today", copy / GB, "GB"),
        ("programs_placed", copy * REPLICAS / r.get("control_vms") / GB, "GB"),
        ("programs_restore", restore, "s"),
        ("programs_log", log / MB, "MB/s"),
        ("programs_sent", sent / MB, "MB/s"),
        ("programs_step_cpu", r.get("requests") / r.get("turn_rate") * 100.0, "% of a core"),
        ("programs_commit_cpu", entries * r.get("entry_commit_cpu") / 1e6 * 100.0, "% of a core"),
        ("programs_parse_low", r.get("requests") * r.get("parse_low") / 1e3, "cores"),
        ("programs_parse_high", r.get("requests") * r.get("parse_high") / 1e3, "cores"),
    ]
}

/// Cost of an idle store.
fn store_figures(r: &Recorded) -> Vec<Figure> {
    let peers = r.get("control_vms") - 1.0;
    vec![
        ("store_idle_cpu", r.at_target("store_cpu"), "% of a core"),
        ("vm_idle_cpu", r.at_target("store_cpu") + r.at_target("beside_cpu"), "% of a core"),
        ("store_idle_memory", r.at_target("store_memory"), "MB"),
        (
            "store_members_slope",
            r.slope("store_received", ("9_vms", 9.0), ("36_vms", 36.0)),
            "bytes/s",
        ),
        ("store_idle_received", r.at_target("store_received"), "bytes/s"),
        ("store_heartbeats", r.get("peer_bytes") / 2.0 * peers, "bytes/s"),
    ]
}

/// Cost of bundles at the control group.
fn bundle_figures(r: &Recorded) -> Vec<Figure> {
    let changes = r.get("changes") / SECONDS_A_DAY;
    let whole = changes * r.get("bundle_bytes");
    let delta = changes * (r.get("delta_bytes") + r.get("signature_bytes"));
    vec![
        ("control_changes", changes, "changes/s"),
        ("control_gap", 1.0 / changes, "s"),
        ("control_log_day", r.get("changes") * r.get("bundle_bytes") / GB, "GB/day"),
        ("control_sent_whole", whole * (REPLICAS - 1.0) * BASE64, "bytes/s"),
        ("control_sent_delta", delta * (REPLICAS - 1.0) * BASE64, "bytes/s"),
        ("operator_file_growth", r.get("signed_file") / r.get("bundle_bytes"), "times"),
        ("operator_sign_cpu", changes * r.get("sign_cpu") * 100.0, "% of a core"),
    ]
}

fn figures(recorded: &Recorded) -> BTreeMap<String, Quantity> {
    let groups = [
        call_figures(recorded),
        control_figures(recorded),
        program_figures(recorded),
        store_figures(recorded),
        bundle_figures(recorded),
    ];
    let quantity =
        |(name, value, unit): Figure| (name.to_owned(), Quantity { value, unit: unit.to_owned() });
    groups.into_iter().flatten().map(quantity).collect()
}

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

/// Formats a number with thousands separators and at most `decimals` decimals.
fn number(value: f64, decimals: usize) -> String {
    let text = format!("{value:.decimals$}");
    let (whole, fraction) =
        text.split_once('.').map_or((text.as_str(), None), |(w, f)| (w, Some(f)));
    let mut grouped = String::new();
    for (place, digit) in whole.chars().enumerate() {
        if place > 0 && (whole.len() - place).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    fraction.map_or(grouped.clone(), |fraction| format!("{grouped}.{fraction}"))
}

/// Formats a recorded value with all its decimals.
fn exact(value: f64) -> String {
    let text = value.to_string();
    let decimals = text.split_once('.').map_or(0, |(_, fraction)| fraction.len());
    number(value, decimals)
}

/// Formats a derived value with three significant figures, or with its whole integer part.
fn rounded(value: f64) -> String {
    let decimals = 2 - value.abs().max(1e-6).log10().floor() as i64;
    number(value, usize::try_from(decimals).unwrap_or(0))
}

/// Returns the named rows of the page's tables: name, value, unit.
fn rows(page: &str) -> Vec<(String, String, String)> {
    let named = page.lines().filter(|line| line.starts_with("| `"));
    let row = |line: &str| {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        (cells[0].trim_matches('`').to_owned(), cells[1].to_owned(), cells[2].to_owned())
    };
    named.map(row).collect()
}

fn announcement(cache_events: Vec<CacheEventBody>) -> AnnouncementBody {
    AnnouncementBody {
        name: "advisor-szeged-0001".into(),
        incarnation: 1_796_256_000,
        sequence: 10_000,
        kind: KindName::Engine,
        address: "10.100.200.30:8000".into(),
        domain: "szeged".into(),
        region: "south".into(),
        models: vec![ModelId { model: "advisor".into(), version: "3".into() }],
        service: None,
        slots: 64,
        prefill_rate: 20_000.0,
        decode_rate: 40.0,
        cache_tokens: 2_000_000,
        fencing: true,
        lease_ms: 10_000,
        leaving: false,
        load: Some(LoadBody { running: 30, waiting: 2, cached_tokens: 1_500_000, age_ms: 400 }),
        cache_events,
    }
}

/// Returns the bytes of the JSON-RPC call that passes an announcement on.
fn call_bytes(body: &AnnouncementBody) -> usize {
    let text = serde_json::to_string(body).unwrap();
    let call = json!({"jsonrpc": "2.0", "id": 10_000, "method": "announce", "params": [text]});
    call.to_string().len()
}

#[test]
fn page_agrees_with_measurements() {
    // A figure that no run gave, or that is outdated, would mislead planning.
    let recorded = Recorded::read();
    let mut expected = BTreeMap::new();
    for (name, quantity) in recorded.quantities() {
        expected.insert(name, (exact(quantity.value), quantity.unit));
    }
    for (name, quantity) in figures(&recorded) {
        expected.insert(name, (rounded(quantity.value), quantity.unit));
    }
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let mut wrong = Vec::new();
    for (name, value, unit) in rows(&page) {
        match expected.remove(&name) {
            Some((right, of)) if right == value && of == unit => {}
            Some((right, of)) => wrong.push(format!("{name}: {value} {unit}, not {right} {of}")),
            None => wrong.push(format!("{name}: on the page twice, or known to nobody")),
        }
    }
    wrong.extend(
        expected.iter().map(|(name, (value, unit))| format!("{name}: missing, {value} {unit}")),
    );
    assert!(wrong.is_empty(), "docs/CAPACITY.md differs:\n{}", wrong.join("\n"));
}

#[test]
fn verdicts_agree_with_figures() {
    let recorded = Recorded::read();
    let mut all = recorded.quantities();
    all.extend(figures(&recorded));
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let mut verdicts = 0;
    for line in
        page.lines().filter(|line| line.starts_with("| within") || line.starts_with("| misses"))
    {
        let cells: Vec<&str> = line.split('|').map(|cell| cell.trim().trim_matches('`')).collect();
        let (figure, limit) = (&all[cells[2]], &all[cells[3]]);
        assert_eq!(figure.unit, limit.unit, "{line}");
        assert_eq!(figure.value <= limit.value, cells[1] == "within", "{line}");
        verdicts += 1;
    }
    assert!(verdicts > 0, "the page has no verdicts");
}

#[test]
fn measurements_say_where_they_come_from() {
    for (name, measured) in Recorded::read().measured {
        assert!(!measured.command.is_empty(), "{name} has no command");
        assert!(!measured.seed.is_empty(), "{name} has no seed, nor says that it takes none");
        assert!(measured.date.starts_with("2026-"), "{name} has no date");
        let Some(page) = measured.page else { continue };
        let text = std::fs::read_to_string(docs().join(&page)).unwrap();
        let value = exact(measured.value);
        assert!(text.contains(&value), "{} does not hold {name}, {value}", page.display());
    }
}

#[test]
fn announcement_sizes_are_as_recorded() {
    let recorded = Recorded::read();
    let event = CacheEventBody {
        program: "organisation-3000/kit-planning-00042".into(),
        tokens: 70_000,
        evicted: false,
        sequence: 100_000,
    };
    let plain = call_bytes(&announcement(Vec::new()));
    let two = call_bytes(&announcement(vec![event.clone(), event.clone()]));
    let three = call_bytes(&announcement(vec![event.clone(), event.clone(), event]));
    assert_eq!(plain as f64, recorded.get("announcement_call"));
    assert_eq!((three - two) as f64, recorded.get("cache_event_call"));
}
