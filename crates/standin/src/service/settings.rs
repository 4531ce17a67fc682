//! Settings of a stand-in service.

use std::net::SocketAddr;

use compact_str::CompactString;

use crate::announce::AnnounceSettings;

/// How the service behaves.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Instance name.
    pub name: CompactString,
    /// Grows with each start; the milliseconds since 1970 when zero.
    pub incarnation: u64,
    /// Service that it is an instance of.
    pub service: CompactString,
    /// Where it listens; port zero takes a free one.
    pub listen: SocketAddr,
    /// Failure domain that it announces.
    pub domain: CompactString,
    /// Region that it announces.
    pub region: CompactString,
    /// Calls that run at one time.
    pub slots: u32,
    /// Calls that wait before the service refuses.
    pub queue: usize,
    /// Milliseconds that an operation takes.
    pub work_ms: u64,
    /// Counsellor slots, lenses or the like that the operation `slots` may give out.
    pub stock: u64,
    /// Whether `GET /v1/tools/status/{key}` answers.
    pub inquiry: bool,
    /// Where it announces itself.
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
