//! Configuration of the stand-in service.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::announce::AnnounceSettings;

/// Settings of a stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Instance name.
    pub name: CompactString,
    /// Number that grows with each start. Zero selects the Unix time in milliseconds.
    pub incarnation: u64,
    /// Name of the service that this is an instance of.
    pub service: CompactString,
    /// Address to listen on. Port zero selects a free port.
    pub listen: SocketAddr,
    /// Failure domain that it announces.
    pub domain: CompactString,
    /// Region that it announces.
    pub region: CompactString,
    /// Maximum number of calls that run at the same time.
    pub slots: u32,
    /// Maximum number of calls that wait for a slot. Further calls are refused.
    pub queue: usize,
    /// Duration of an operation in milliseconds.
    pub work_ms: u64,
    /// Number of times that the operation `slots` can succeed.
    pub stock: u64,
    /// Whether `GET /v1/tools/status/{key}` answers.
    pub inquiry: bool,
    /// Where and how often it announces itself.
    pub announce: AnnounceSettings,
}

impl Default for ServiceSettings {
    fn default() -> ServiceSettings {
        ServiceSettings {
            name: "service-1".into(),
            incarnation: 0,
            service: "booking".into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            domain: "local".into(),
            region: "local".into(),
            slots: 16,
            queue: 64,
            work_ms: 5,
            stock: 1_000_000,
            inquiry: true,
            announce: AnnounceSettings::default(),
        }
    }
}
