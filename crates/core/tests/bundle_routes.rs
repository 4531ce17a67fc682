//! Parsing and validation of the routes of a bundle.

use gypsumglade_core::bundle::{Bundle, Repeat};

const BUNDLE: &str = r#"
version: "0.7"
pools:
  - { name: models, connections: 100, health_path: /health, engine: { slots: 8, cache_tokens: 1000, token_bytes: 16, event_tokens: 17 } }
  - { name: desk, connections: 100, health_path: /health }
routes:
  - { name: chat, host: h.example, prefix: /chat/, repeat: never, timeout_ms: 4000, target_ms: 300, rank: 1, attempts: 2, shares: [{ pool: models, weight: 1 }], stream: { keep_ms: 60000 } }
  - { name: book, host: h.example, prefix: /book/, repeat: never, timeout_ms: 1500, target_ms: 200, rank: 2, attempts: 1, shares: [{ pool: desk, weight: 3 }] }
"#;

fn findings(from: &str, to: &str) -> String {
    assert!(BUNDLE.contains(from), "the test bundle does not contain {from:?}");
    let text = BUNDLE.replace(from, to);
    Bundle::parse(text.as_bytes()).expect_err("the bundle is invalid").to_string()
}

#[test]
fn parse_routes() {
    let bundle = Bundle::parse(BUNDLE.as_bytes()).expect("the bundle is valid");
    assert_eq!(bundle.routes.len(), 2);
    assert_eq!(bundle.routes[0].stream.and_then(|stream| stream.keep_ms), Some(60_000));
    assert_eq!(bundle.routes[1].repeat, Repeat::Never);
}

/// Stores write bundles as JSON, which another library parses than YAML. If the two disagreed,
/// entries could apply different routes.
#[test]
fn parse_json_equals_yaml() {
    let bundle = Bundle::parse(BUNDLE.as_bytes()).expect("the bundle is valid");
    let json = serde_json::to_vec(&bundle).expect("the bundle is serializable");
    assert_eq!(Bundle::parse(&json).expect("the bundle is valid"), bundle);
}

#[test]
fn parse_json_reports_unknown_field() {
    let text = br#"{"version":"1.0","colour":"red"}"#;
    assert!(Bundle::parse(text).expect_err("the bundle is invalid").to_string().contains("colour"));
}

#[test]
fn parse_truncated_json() {
    assert!(Bundle::parse(br#"{"version":"1.0","routes":["#).is_err());
}

#[test]
fn parse_unknown_pool() {
    assert!(findings("pool: desk", "pool: nobody").contains("routes[1].shares[0].pool"));
}

#[test]
fn parse_duplicate_prefix() {
    assert!(findings("/book/", "/chat/").contains("routes[1]"));
}

#[test]
fn parse_zero_weight() {
    assert!(findings("weight: 3", "weight: 0").contains("routes[1].shares"));
}

#[test]
fn parse_zero_timeout() {
    assert!(findings("timeout_ms: 1500", "timeout_ms: 0").contains("routes[1].timeout_ms"));
}

#[test]
fn parse_prefix_without_slash() {
    assert!(findings("prefix: /book/", "prefix: /book").contains("routes[1].prefix"));
}

#[test]
fn parse_duplicate_pool() {
    assert!(findings("name: desk", "name: models").contains("pools"));
}
