//! Resident memory of the test process.

/// Returns the resident set size of this process, in bytes.
pub fn resident_bytes() -> u64 {
    let text =
        std::fs::read_to_string("/proc/self/status").expect("/proc/self/status must be readable");
    let line =
        text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("VmRSS must be listed");
    let size: u64 = line.trim().trim_end_matches(" kB").parse().expect("VmRSS must be a number");
    size * 1024
}
