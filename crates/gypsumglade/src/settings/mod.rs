//! Settings of a process, read from YAML and checked as a whole.
//!
//! Each part has its own file, with its defaults in one place and its checks beside them. A file is
//! never half accepted: [`Settings::load`] collects every finding and reports them together. The
//! keys are described for operators in docs/OPERATING.md.

mod discovery;
mod example;
mod finding;
mod gateway;
mod limits;
mod listen;
mod load;
mod log;
mod operators;
mod peers;
mod policy;
mod store;
mod timeouts;
mod tls;
mod tokens;
mod vm;

use std::path::Path;

use gypsumglade_core::prelude::*;

pub use self::discovery::DiscoverySettings;
pub use self::example::Role;
pub use self::finding::{Finding, Findings};
pub use self::gateway::GatewaySettings;
pub use self::limits::LimitSettings;
pub use self::listen::ListenSettings;
pub use self::log::{Level, LogSettings};
pub use self::operators::OperatorSettings;
pub use self::peers::PeerSettings;
pub use self::policy::PolicySettings;
pub use self::store::StoreSettings;
pub use self::timeouts::TimeoutSettings;
pub use self::tls::{CertificateSettings, TlsSettings};
pub use self::tokens::TokenSettings;
pub use self::vm::VmSettings;
pub use crate::secret::Secret;

/// Everything a process learns from outside before it starts.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Who this VM is and where it stands.
    pub vm: VmSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// The other VMs known from the start: every store, and enough seeds for membership.
    pub peers: Vec<PeerSettings>,
    /// How the other VMs are found where `peers` lists none.
    pub discovery: Option<DiscoverySettings>,
    /// The interface for requests that are passed through; absent where only programs are served.
    pub gateway: Option<GatewaySettings>,
    /// Threads of the runtime; zero for one on each processor.
    pub threads: u16,
    /// Number of program groups; the same on every VM, and fixed once programs exist. Zero where a
    /// gateway passes all requests through, for turns and budgets have a group of their own.
    pub groups: u32,
    /// The durable role; absent on a VM without a disk.
    pub store: Option<StoreSettings>,
    /// Shared secrets of the listeners.
    pub tokens: TokenSettings,
    /// Who may sign a bundle.
    pub operators: OperatorSettings,
    /// Bounds on size and concurrency.
    pub limits: LimitSettings,
    /// Prices of links, and mechanisms that are off.
    pub policy: PolicySettings,
    /// Bounds on time.
    pub timeouts: TimeoutSettings,
    /// Where log lines go.
    pub log: LogSettings,
    /// Certificates of the listeners.
    pub tls: TlsSettings,
}

/// Program groups of a deployment whose settings name no count: enough that a store's processors
/// are used, few enough that nine VMs' heartbeats stay small.
const DEFAULT_GROUPS: u32 = 8;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            vm: VmSettings::default(),
            listen: ListenSettings::default(),
            peers: Vec::new(),
            discovery: None,
            gateway: None,
            threads: 0,
            groups: DEFAULT_GROUPS,
            store: None,
            tokens: TokenSettings::default(),
            operators: OperatorSettings::default(),
            limits: LimitSettings::default(),
            policy: PolicySettings::default(),
            timeouts: TimeoutSettings::default(),
            log: LogSettings::default(),
            tls: TlsSettings::default(),
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every finding at once, each with its place, the bad value and what is allowed.
    pub fn load(path: &Path) -> Result<Settings, Findings> {
        load::from_file(path)
    }

    /// Checks settings text as if it stood in the file `path`, which need not exist.
    ///
    /// # Errors
    ///
    /// Returns every finding, as [`Settings::load`] does.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, Findings> {
        load::from_text(path, text)
    }

    /// Returns the settings of one process that is the whole deployment, with its state in `folder`.
    ///
    /// Every listener takes a free port on loopback and the tokens are fresh, so that two runs on
    /// one machine can't reach each other.
    pub fn embedded(folder: &Path) -> Settings {
        Settings {
            vm: VmSettings { id: 1, domain: "local".into(), region: "local".into() },
            store: Some(StoreSettings { folder: folder.to_path_buf(), ..StoreSettings::default() }),
            tokens: TokenSettings::random(),
            ..Settings::default()
        }
    }

    /// Returns an annotated settings file for a VM of this role.
    pub fn example(role: Role) -> &'static str {
        role.text()
    }

    /// Returns the names of all failure domains, sorted, so that each VM counts them alike.
    pub fn domains(&self) -> Vec<CompactString> {
        if let Some(discovery) = &self.discovery {
            return discovery.domains.keys().cloned().collect();
        }
        let peers = self.peers.iter().map(|p| p.domain.clone());
        sorted(peers.chain([self.vm.domain.clone()]).collect())
    }

    /// Returns the names of all regions, sorted, so that each VM counts them alike.
    pub fn regions(&self) -> Vec<CompactString> {
        if let Some(discovery) = &self.discovery {
            return sorted(discovery.domains.values().cloned().collect());
        }
        let peers = self.peers.iter().map(|p| p.region.clone());
        sorted(peers.chain([self.vm.region.clone()]).collect())
    }

    /// Returns the position of a failure domain in [`Settings::domains`].
    pub fn domain_id(&self, name: &str) -> Option<DomainId> {
        let index = self.domains().iter().position(|d| d == name)?;
        u16::try_from(index).ok().map(DomainId)
    }

    /// Returns the position of a region in [`Settings::regions`].
    pub fn region_id(&self, name: &str) -> Option<RegionId> {
        let index = self.regions().iter().position(|r| r == name)?;
        u16::try_from(index).ok().map(RegionId)
    }

    /// Returns a failure domain's region as the settings place it.
    pub fn region_of(&self, domain: &str) -> Option<RegionId> {
        let discovery = self.discovery.as_ref()?;
        self.region_id(discovery.domains.get(domain)?)
    }

    /// Collects what is wrong in the values, each alone and against one another.
    fn check(&self, findings: &mut Findings) {
        self.vm.check(self.discovery.is_some(), findings);
        self.listen.check(findings);
        let minimum = if self.gateway.is_some() || self.discovery.is_some() { 0 } else { 1 };
        findings.check_range(
            "groups",
            u64::from(self.groups),
            minimum..=u64::from(SLOTS),
            "groups",
        );
        match &self.discovery {
            Some(discovery) => discovery.check(&self.vm, findings),
            None => peers::check(&self.vm, &self.peers, self.store.is_some(), findings),
        }
        if let Some(store) = &self.store {
            store.check(findings);
        }
        self.tokens.check(findings);
        self.operators.check(findings);
        self.limits.check(findings);
        self.policy.check(findings);
        self.timeouts.check(findings);
        self.tls.check(findings);
    }
}

fn sorted(mut names: Vec<CompactString>) -> Vec<CompactString> {
    names.sort();
    names.dedup();
    names
}
