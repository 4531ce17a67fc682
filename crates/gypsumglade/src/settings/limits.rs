//! Limits on request size and concurrency.

use gypsumglade_core::policy::memory_budget::largest_request;
use gypsumglade_core::prelude::*;

use super::Findings;

/// Limits of the callers' interface; requests beyond them are refused with `not-run`.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct LimitSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Maximum total size of the request headers, in bytes.
    pub header_bytes: u64,
    /// Maximum number of calls in flight to endpoints.
    pub concurrent: u64,
    /// Maximum number of calls that wait for an endpoint.
    pub queue: u64,
    /// Memory of the machine that the process may use, in MB. The bounds on what callers' requests and
    /// connections hold follow from it.
    pub memory_mb: u64,
    /// Descriptors that the process may have open. The bounds on connections follow from it.
    pub open_files: u64,
}

/// Part of the memory for requests of callers, from their first byte to the end of their answer. What
/// is read of a body is copied once when it is complete.
const REQUEST_SHARE: u64 = 4;
/// Part of the memory for connections of callers.
const CONNECTION_SHARE: u64 = 8;
/// Memory of a connection that awaits the rest of a head, in bytes.
const CONNECTION_BYTES: u64 = 24 << 10;
/// Part of the memory for texts that are on their way to stores.
const TEXT_SHARE: u64 = 8;
/// Descriptors that are kept for files and libraries.
const RESERVED_FILES: u64 = 200;
/// Fewest connections of a listener.
const MIN_CONNECTIONS: u64 = 8;

/// Who connects to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRole {
    /// Callers.
    Callers,
    /// Endpoints and operators at the registrar.
    Registrar,
    /// Other processes of the system.
    Peers,
    /// Health checks, metrics and the operators' listener.
    Admin,
}

impl ListenerRole {
    /// Returns the part of the descriptors that the connections of the listener may use.
    const fn share(self) -> u64 {
        match self {
            ListenerRole::Callers | ListenerRole::Peers => 2,
            ListenerRole::Registrar => 4,
            ListenerRole::Admin => 16,
        }
    }
}

impl Default for LimitSettings {
    fn default() -> LimitSettings {
        LimitSettings {
            // Leaves ample room for a long history: 140,000 tokens are about 0.6 MB of text.
            body_bytes: 4 << 20,
            header_bytes: 16 << 10,
            concurrent: 2_048,
            queue: 1_024,
            memory_mb: 1_024,
            open_files: 16_384,
        }
    }
}

impl LimitSettings {
    /// Returns the bytes that all requests of callers may hold together.
    pub fn request_bytes(&self) -> u64 {
        self.memory_bytes() / REQUEST_SHARE
    }

    /// Returns the bytes that texts on their way to stores may hold together.
    pub fn text_bytes(&self) -> u64 {
        self.memory_bytes() / TEXT_SHARE
    }

    /// Returns the number of connections that a listener may have.
    pub fn connections(&self, role: ListenerRole) -> usize {
        let files = self.open_files.saturating_sub(RESERVED_FILES) / role.share();
        let memory = self.memory_bytes() / CONNECTION_SHARE / CONNECTION_BYTES;
        let most = match role {
            ListenerRole::Callers | ListenerRole::Registrar => files.min(memory),
            ListenerRole::Peers | ListenerRole::Admin => files,
        };
        usize::try_from(most.max(MIN_CONNECTIONS)).unwrap_or(usize::MAX)
    }

    fn memory_bytes(&self) -> u64 {
        self.memory_mb * 1_000_000
    }

    pub(super) fn check(&self, findings: &mut Findings) {
        findings.check_range("limits.body_bytes", self.body_bytes, 1_024..=64 << 20, "bytes");
        findings.check_range("limits.header_bytes", self.header_bytes, 1_024..=1 << 20, "bytes");
        findings.check_range("limits.concurrent", self.concurrent, 1..=65_536, "calls");
        findings.check_range("limits.queue", self.queue, 0..=65_536, "calls");
        findings.check_range("limits.memory_mb", self.memory_mb, 32..=1 << 20, "MB");
        if self.body_bytes > largest_request(self.request_bytes()) {
            let allowed = "more: six bytes for each of limits.body_bytes";
            findings.add("limits.memory_mb", self.memory_mb, allowed);
        }
        findings.check_range("limits.open_files", self.open_files, 256..=1 << 20, "files");
    }
}
