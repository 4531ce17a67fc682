//! Memory of the test's own process.

/// Returns the memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("a process has a status");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("it has a size");
    let size: u64 = line.trim().trim_end_matches(" kB").parse().expect("a number");
    size * 1024
}
