//! Cost of finding the ends of events in what an endpoint sends.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use gypsumglade_core::stream::EventScanner;

const MEGABYTE: usize = 1 << 20;

fn feed(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("feed a megabyte");
    group.sample_size(10);
    for (name, event) in [("blank", "\n\n"), ("small", "id: 1\ndata: word\n\n")] {
        let stream = event.repeat(MEGABYTE / event.len());
        group.bench_function(name, |bencher| {
            bencher.iter(|| EventScanner::default().feed(black_box(stream.as_bytes())));
        });
    }
    group.finish();
}

criterion_group!(benches, feed);
criterion_main!(benches);
