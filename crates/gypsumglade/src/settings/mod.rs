//! Settings of a process, read from YAML and validated as a whole.
//!
//! Each section has its own module with its defaults and checks. A file is accepted whole or not at
//! all: [`Settings::load`] collects every finding and reports them together. docs/OPERATING.md
//! describes the keys for operators.

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
mod quota;
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
pub use self::limits::{LimitSettings, ListenerRole};
pub use self::listen::ListenSettings;
pub use self::log::{Level, LogSettings};
pub use self::operators::OperatorSettings;
pub use self::peers::PeerSettings;
pub use self::policy::PolicySettings;
pub use self::quota::QuotaSettings;
pub use self::store::StoreSettings;
pub use self::timeouts::TimeoutSettings;
pub use self::tls::{CertificateSettings, TlsSettings};
pub use self::tokens::TokenSettings;
pub use self::vm::VmSettings;
pub use crate::secret::Secret;

/// All settings of a process.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// Identity and location of this VM.
    pub vm: VmSettings,
    /// Listen addresses.
    pub listen: ListenSettings,
    /// The other VMs: every store, and enough entries to join membership.
    pub peers: Vec<PeerSettings>,
    /// Discovery of the other VMs from seeds, in place of `peers`.
    pub discovery: Option<DiscoverySettings>,
    /// The gateway for requests that are passed through; absent if only programs are served.
    pub gateway: Option<GatewaySettings>,
    /// Worker threads of the runtime; zero means one per processor.
    pub threads: u16,
    /// Number of program groups, the same on every VM and fixed once programs exist. May be zero if
    /// a gateway passes all requests through: turns and budgets are in a group of their own.
    pub groups: u32,
    /// Settings of the store; absent on a VM without a disk.
    pub store: Option<StoreSettings>,
    /// Shared secrets of the listeners.
    pub tokens: TokenSettings,
    /// Public keys of the operators who may sign bundles.
    pub operators: OperatorSettings,
    /// Limits on request size and concurrency.
    pub limits: LimitSettings,
    /// Prices of network links, and policy mechanisms that are switched off.
    pub policy: PolicySettings,
    /// Enforcement of the organisations' rate limits, the same on every VM.
    pub quota: QuotaSettings,
    /// Timeouts and lease lengths.
    pub timeouts: TimeoutSettings,
    /// Log level and destination.
    pub log: LogSettings,
    /// Certificates of the listeners.
    pub tls: TlsSettings,
}

/// Default number of program groups: enough to use a store's processors, few enough to keep
/// heartbeat traffic small.
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
            quota: QuotaSettings::default(),
            timeouts: TimeoutSettings::default(),
            log: LogSettings::default(),
            tls: TlsSettings::default(),
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings, each with its place, the invalid value and the accepted values.
    pub fn load(path: &Path) -> Result<Settings, Findings> {
        load::from_file(path)
    }

    /// Parses and validates settings text as if it were the content of `path`, which need not exist.
    ///
    /// # Errors
    ///
    /// Returns all findings, as [`Settings::load`] does.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, Findings> {
        load::from_text(path, text)
    }

    /// Returns settings for a deployment of one process that keeps its state in `folder`.
    ///
    /// Every listener gets a free loopback port and the tokens are random, so that two processes on
    /// one machine don't accept each other's calls.
    pub fn embedded(folder: &Path) -> Settings {
        Settings {
            vm: VmSettings { id: 1, domain: "local".into(), region: "local".into() },
            store: Some(StoreSettings { folder: folder.to_path_buf(), ..StoreSettings::default() }),
            tokens: TokenSettings::random(),
            ..Settings::default()
        }
    }

    /// Returns the annotated example file for a VM of this role.
    pub fn example(role: Role) -> &'static str {
        role.text()
    }

    /// Returns the names of all failure domains, sorted so that positions are the same on every VM.
    pub fn domains(&self) -> Vec<CompactString> {
        if let Some(discovery) = &self.discovery {
            return discovery.domains.keys().cloned().collect();
        }
        let peers = self.peers.iter().map(|p| p.domain.clone());
        sorted(peers.chain([self.vm.domain.clone()]).collect())
    }

    /// Returns the names of all regions, sorted so that positions are the same on every VM.
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

    /// Returns the region that `discovery.domains` gives for a failure domain.
    pub fn region_of(&self, domain: &str) -> Option<RegionId> {
        let discovery = self.discovery.as_ref()?;
        self.region_id(discovery.domains.get(domain)?)
    }

    /// Validates each section, and the sections against one another.
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
        self.quota.check(findings);
        self.timeouts.check(findings);
        self.tls.check(findings);
    }
}

fn sorted(mut names: Vec<CompactString>) -> Vec<CompactString> {
    names.sort();
    names.dedup();
    names
}
