//! Settings of stores that run in the test's process, each at its own loopback address.

use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

use compact_str::CompactString;
use gypsumglade::settings::Settings;

/// Token of every listener.
pub const TOKEN: &str = "a-token-for-the-test";
/// Public key of an operator; tests that sign bundles set their own.
const OPERATOR: &str = "68130c21391e43a090a1b7c5eb51a54a33104d132e61d9af0d58a5821ba0e743";

/// Settings that differ between the stores of the tests.
#[derive(Clone, Debug)]
pub struct StoreSetup {
    pub own: Ipv4Addr,
    /// Port for calls between processes.
    pub port: u16,
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the seeds form the groups.
    pub first: bool,
    pub domain: char,
    pub groups: u32,
    pub tolerate: u32,
    /// The operator's public key.
    pub operator: CompactString,
    pub folder: PathBuf,
}

impl StoreSetup {
    /// Returns the settings of a store that is its own seed and forms the groups.
    pub fn alone(own: Ipv4Addr, port: u16, folder: &Path) -> StoreSetup {
        StoreSetup {
            own,
            port,
            seeds: vec![own],
            first: true,
            domain: 'a',
            groups: 0,
            tolerate: 0,
            operator: OPERATOR.into(),
            folder: folder.to_path_buf(),
        }
    }

    /// Returns the settings of its process.
    pub fn settings(&self) -> Settings {
        let StoreSetup { own, port, first, domain, groups, tolerate, operator, .. } = self;
        let folder = self.folder.display();
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}:1\"")).collect();
        let seeds = seeds.join(", ");
        let text = format!(
            r#"
vm: {{ domain: {domain}, region: south }}
threads: 1
discovery:
  name: "{own}"
  seeds: [{seeds}]
  first_start: {first}
  domains: {{ a: south, b: south, c: south, d: south }}
listen: {{ peers: "{own}:{port}" }}
groups: {groups}
store:
  folder: "{folder}"
  peers: "{own}:{port}"
  admin: "{own}:0"
  tolerate: {tolerate}
  heartbeat_ms: 50
  election_ms: 300
tokens: {{ peers: "{TOKEN}", admin: "{TOKEN}", endpoints: "{TOKEN}" }}
operators: {{ keys: ["{operator}"], threshold: 1 }}
log: {{ file: "-" }}
"#
        );
        Settings::parse(Path::new("settings.yaml"), &text)
            .unwrap_or_else(|findings| panic!("{findings}\n{text}"))
    }
}
