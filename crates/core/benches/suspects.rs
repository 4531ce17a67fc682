//! Cost of a reported crash, at the most requests and endpoints that are recorded.

use std::hint::black_box;

use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use gypsumglade_core::control::Control;
use gypsumglade_core::control::suspects::{MAX_SUSPECTS, RequestDigest};
use gypsumglade_core::wire::control::command::Body;
use gypsumglade_core::wire::control::{Command, Crash};

/// Endpoints that have ended under each request.
const CRASHES: usize = 8;
/// Engines of a failure domain, and requests in flight at each.
const ENGINES: usize = 48;
const IN_FLIGHT: usize = 16;

fn digest(number: usize) -> RequestDigest {
    let bytes = (number as u64).to_be_bytes();
    std::array::from_fn(|index| bytes.get(index).copied().unwrap_or_default())
}

fn crash(control: &mut Control, request: usize, endpoint: usize) {
    let crash = Crash {
        endpoint: format!("i-{endpoint:010x}"),
        incarnation: 1,
        digest: digest(request).to_vec().into(),
        now_ms: 1_000_000,
        ..Crash::default()
    };
    black_box(control.apply(&Command { body: Some(Body::Crash(crash)) }));
}

/// Every request has crashed as many endpoints as are recorded, each beside three others.
fn full() -> Control {
    let mut control = Control::new();
    for request in 0..MAX_SUSPECTS {
        for number in 0..CRASHES {
            crash(&mut control, request, request / 4 * CRASHES + number);
        }
    }
    control
}

/// All engines of a domain ended, with each request at one of them.
fn domain() -> Control {
    let mut control = Control::new();
    for request in 0..ENGINES * IN_FLIGHT {
        crash(&mut control, request, request / IN_FLIGHT);
    }
    control
}

fn suspects(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("crash");
    for (name, control) in [("1024_requests_of_8", full()), ("domain_of_48_engines", domain())] {
        group.bench_function(name, |bencher| {
            bencher.iter_batched_ref(
                || control.clone(),
                |control| crash(control, 1, usize::MAX),
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, suspects);
criterion_main!(benches);
