//! Times how long an entry takes to read a bundle of many routes, as JSON and as YAML.
//!
//! Run with `cargo run --release -p gypsumglade-core --example bundle_read`.

use std::time::Instant;

use gypsumglade_core::bundle::Bundle;

/// Routes of the bundle.
const ROUTES: usize = 350;
/// Readings of each form; their median is shown.
const READINGS: usize = 101;

fn bundle() -> Bundle {
    let route = |number| {
        format!(
            "  - {{ name: r{number}, host: h.example, prefix: /p{number}/, repeat: never, \
             timeout_ms: 4000, target_ms: 300, rank: 1, attempts: 2, \
             shares: [{{ pool: models, weight: 1 }}], stream: {{ keep_ms: 60000 }} }}\n"
        )
    };
    let routes: String = (0..ROUTES).map(route).collect();
    let pools = "  - { name: models, connections: 100, health_path: /health }\n";
    let text = format!("version: \"0.7\"\npools:\n{pools}routes:\n{routes}");
    Bundle::parse(text.as_bytes()).expect("sound")
}

/// Returns the median of the readings, in milliseconds.
fn median(text: &str) -> f64 {
    let reading = |_| {
        let started = Instant::now();
        Bundle::parse(text.as_bytes()).expect("sound");
        started.elapsed().as_secs_f64() * 1e3
    };
    let mut times: Vec<f64> = (0..READINGS).map(reading).collect();
    times.sort_by(f64::total_cmp);
    times[READINGS / 2]
}

fn main() {
    let json = serde_json::to_string(&bundle()).expect("writable");
    // The same text; a space before it is YAML only.
    let yaml = format!(" {json}");
    println!("{ROUTES} routes, {} bytes", json.len());
    println!("json {:.2} ms", median(&json));
    println!("yaml {:.2} ms", median(&yaml));
}
