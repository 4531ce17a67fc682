//! Settings are accepted as a whole or refused with all findings.

use std::path::Path;

use gypsumglade::settings::{Findings, Role, Settings};

fn parse(text: &str) -> Result<Settings, Findings> {
    Settings::parse(Path::new("vm.yaml"), text)
}

fn places(findings: &Findings) -> Vec<&str> {
    findings.list.iter().map(|f| f.place.as_str()).collect()
}

/// Returns the store example with a text, which must occur in it, replaced.
fn edited(from: &str, to: &str) -> Findings {
    let text = Settings::example(Role::Store);
    assert!(text.contains(from), "{from:?} is not in the example");
    parse(&text.replace(from, to)).expect_err("the edit must be found")
}

#[test]
fn parse_examples() {
    for role in [Role::Entry, Role::Store] {
        let settings = parse(Settings::example(role)).expect("examples have no findings");
        assert_eq!(settings.store.is_some(), role == Role::Store);
        assert_eq!(settings.domains(), ["north-1", "south-1", "south-2"]);
        assert_eq!(settings.regions(), ["north", "south"]);
    }
}

#[test]
fn parse_unknown_key() {
    let findings = edited("drain_ms: 60000", "drane_ms: 60000");
    assert_eq!(places(&findings), ["timeouts.drane_ms"]);
    let line = findings.to_string();
    assert!(line.starts_with("vm.yaml: timeouts.drane_ms: found unknown key"), "{line}");
}

#[test]
fn parse_many_findings() {
    let text = Settings::example(Role::Store)
        .replace("admin: 10.0.1.1:8083", "admin: nowhere")
        .replace("concurrent: 2048", "concurrent: many")
        .replace("threshold: 1", "threshold: 2")
        .replace("level: info", "level: loud")
        .replace("election_ms: 1000", "election_ms: 10");
    let findings = parse(&text).expect_err("five bad values");
    let mut places = places(&findings);
    places.sort_unstable();
    let expected = [
        "limits.concurrent",
        "listen.admin",
        "log.level",
        "operators.threshold",
        "store.election_ms",
    ];
    assert_eq!(places, expected);
}

#[test]
fn parse_bad_peer() {
    let findings = edited("{ vm: 4,", "{ vm: four,");
    assert!(places(&findings).contains(&"peers[1].vm"), "{findings}");
}

#[test]
fn parse_peer_twice() {
    let findings = edited("{ vm: 7,", "{ vm: 4,");
    assert_eq!(places(&findings), ["peers[2].vm"]);
}

#[test]
fn parse_own_line_differs() {
    let findings = edited("id: 1", "id: 4");
    assert_eq!(places(&findings), ["peers[1].domain"]);
}

#[test]
fn parse_short_token() {
    let findings = edited("change-me-admin-token", "short");
    assert_eq!(places(&findings), ["tokens.admin"]);
    assert!(!findings.to_string().contains("short"), "the secret itself is not shown");
}

#[test]
fn parse_broken_yaml() {
    let findings = parse("vm: {id: 1\nlisten: 2\n").expect_err("not YAML");
    assert!(findings.list[0].place.starts_with("line 2"), "{findings}");
}

#[test]
fn load_token_file() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("admin.token"), "0123456789abcdef\n").unwrap();
    let file = folder.path().join("vm.yaml");
    let text = Settings::example(Role::Entry);
    std::fs::write(&file, text.replace("change-me-admin-token", "file:admin.token")).unwrap();

    let settings = Settings::load(&file).expect("the token file is beside the settings");
    assert!(settings.tokens.admin.matches("0123456789abcdef"));
    assert!(!settings.tokens.admin.matches("0123456789abcdeX"));
}

#[test]
fn load_missing_file() {
    let findings = Settings::load(Path::new("no-such-file.yaml")).expect_err("no file");
    assert_eq!(places(&findings), ["file"]);
}

#[test]
fn load_nine_vms_of_each_user() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for user in ["fenyrekesz", "velkaneuvo"] {
        let load = |vm: u32| Settings::load(&examples.join(user).join(format!("vm{vm}.yaml")));
        let vms: Vec<Settings> = (1..=9).map(|vm| load(vm).expect("no findings")).collect();
        let disks: Vec<_> = vms.iter().filter(|s| s.store.is_some()).collect();
        let mut domains: Vec<_> = disks.iter().map(|s| s.vm.domain.clone()).collect();
        domains.sort();
        assert_eq!(domains, vms[0].domains(), "{user}: one disk in each failure domain");
        assert!(vms.iter().all(|s| s.peers == vms[0].peers), "{user}: one list for all");
    }
}

#[test]
fn parse_policy() {
    use gypsumglade_core::policy::mechanism::Mechanism;

    let text = Settings::example(Role::Store);
    let policy = "policy: { off: [holders, last_run], domain_price: 2.0 }";
    let settings = parse(&format!("{text}\n{policy}\n")).expect("no findings");
    let mechanisms = settings.policy.mechanisms();
    assert!(!mechanisms.has(Mechanism::Holders) && mechanisms.has(Mechanism::Batch));

    let bad = "policy: { off: [everything], domain_price: -1, region_price: .inf }";
    let findings = parse(&format!("{text}\n{bad}\n")).expect_err("three bad values");
    assert_eq!(places(&findings), ["policy.off[0]", "policy.domain_price", "policy.region_price"]);
}

/// Every mechanism that can be switched off is documented on one page.
#[test]
fn parse_policy_mechanisms_are_documented() {
    use gypsumglade_core::policy::mechanism::Mechanism;

    let page = include_str!("../../../docs/decisions.md");
    for mechanism in Mechanism::ALL {
        let name = serde_json::to_string(&mechanism).expect("a name");
        let name = name.trim_matches('"');
        assert!(page.contains(&format!("`{name}`")), "docs/decisions.md lacks `{name}`");
    }
}

/// A body within its limit had no room in the memory for requests.
#[test]
fn parse_memory_below_body() {
    let text = Settings::example(Role::Store)
        .replace("body_bytes: 4194304", "body_bytes: 67108864")
        .replace("memory_mb: 1024", "memory_mb: 256");
    let findings = parse(&text).expect_err("the edits must be found");
    assert_eq!(places(&findings), ["limits.memory_mb"]);
}
