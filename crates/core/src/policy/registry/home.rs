//! Home VM of an endpoint: the VM that keeps the endpoint's full load and cache state.

use xxhash_rust::xxh3::Xxh3;

use crate::prelude::*;

/// Returns the home VM of an endpoint among the live VMs, the same on every VM.
///
/// Uses rendezvous hashing, so that the loss of a VM moves only the endpoints that it was the home
/// of.
pub fn home(name: &str, live: &[VmId]) -> Option<VmId> {
    live.iter().copied().max_by_key(|vm| (weight(name, *vm), *vm))
}

fn weight(name: &str, vm: VmId) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&vm.0.to_le_bytes());
    hash.update(name.as_bytes());
    hash.digest()
}
