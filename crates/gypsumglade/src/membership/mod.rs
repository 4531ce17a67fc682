//! VM membership over UDP datagrams.
//!
//! The decisions are in `gypsumglade_core::membership`; here are its socket, its timer and the
//! authentication of datagrams. See docs/design/membership.md.

mod driver;
mod seal;

pub use gypsumglade_core::membership::{Liveness, Member, Times};
pub use seal::ClusterKey;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context as _, bail};
use bytes::Bytes;
use gypsumglade_core::membership as core;
use gypsumglade_core::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use driver::{Command, Driver};

/// Commands that may wait for the driver.
const COMMAND_QUEUE: usize = 64;

/// Who this VM is and whom it contacts first.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// This VM.
    pub vm: VmId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its region.
    pub region: RegionId,
    /// Address to listen on; port zero lets the platform choose.
    pub bind: SocketAddr,
    /// Address that others reach this VM at, if it differs from `bind`.
    pub advertise: Option<SocketAddr>,
    /// Addresses asked first; one that answers is enough.
    pub seeds: Vec<SocketAddr>,
    /// Secret that all VMs share; without one, datagrams of strangers are believed.
    pub key: Option<ClusterKey>,
    /// Times of the protocol.
    pub times: Times,
}

impl Default for MembershipSettings {
    fn default() -> MembershipSettings {
        MembershipSettings {
            vm: VmId(1),
            domain: DomainId(0),
            region: RegionId(0),
            bind: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            seeds: Vec::new(),
            key: None,
            times: Times::default(),
        }
    }
}

/// Every VM known, this one first, as of one moment.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// This VM, then the others by number.
    pub members: Vec<Member>,
    /// What the protocol did so far.
    pub counts: core::Counts,
    /// Datagrams dropped since they didn't carry the cluster's key.
    pub strangers: u64,
}

/// This VM's part in membership. It goes on while the handle lives, and stops without a word to
/// the others if the handle is dropped; [`Handle::leave`] tells them.
#[derive(Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<View>>,
    address: SocketAddr,
    task: JoinHandle<()>,
}

/// Starts membership on the current tokio runtime.
///
/// # Errors
///
/// Returns why the address can't be used, and what to set.
pub fn start(settings: MembershipSettings) -> anyhow::Result<Handle> {
    let socket = UdpSocket::bind(settings.bind)
        .with_context(|| format!("membership can't listen on {}: choose another", settings.bind))?;
    socket.set_nonblocking(true)?;
    let socket = tokio::net::UdpSocket::from_std(socket)?;
    let address = settings.advertise.unwrap_or(socket.local_addr()?);
    if address.ip().is_unspecified() {
        bail!("others can't reach {address}: set the advertised membership address");
    }
    let started = tokio::time::Instant::now();
    let membership = core::Membership::new(core_settings(&settings, address), Time::ZERO);
    let (commands, receiver) = mpsc::channel(COMMAND_QUEUE);
    let initial =
        View { members: vec![membership.me().clone()], counts: membership.counts(), strangers: 0 };
    let (publisher, view) = watch::channel(Arc::new(initial));
    let driver = Driver::new(socket, settings.key, membership, started, publisher);
    let task = tokio::spawn(driver.run(receiver));
    Ok(Handle { commands, view, address, task })
}

/// The clock gives each life of a process a higher incarnation. If it was set back, the protocol
/// still finds its way: the VM learns of its earlier life and steps past it.
fn core_settings(settings: &MembershipSettings, address: SocketAddr) -> core::Settings {
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    core::Settings {
        vm: settings.vm,
        address,
        domain: settings.domain,
        region: settings.region,
        seeds: settings.seeds.clone(),
        incarnation: clock.as_secs() as u32,
        seed: rand::random(),
        times: settings.times,
        mutation: core::Mutation::None,
    }
}

impl Handle {
    /// Returns the address that others reach this VM at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns every VM known, this one first, dead and departed ones too.
    pub fn members(&self) -> Vec<Member> {
        self.view.borrow().members.clone()
    }

    /// Returns a receiver that wakes when the view changes.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Spreads another digest, of which at most [`core::MAX_DIGEST`] bytes are kept.
    pub async fn set_digest(&self, digest: Bytes) {
        // A closed channel means that this VM left; nobody reads its digest any more.
        let _ = self.commands.send(Command::SetDigest(digest)).await;
    }

    /// Tells the others that this VM leaves, and stops.
    pub async fn leave(self) {
        let (done, departed) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).await.is_ok() {
            let _ = departed.await;
        }
    }

    /// Returns the state for a dump of the process.
    pub fn dump(&self) -> View {
        View::clone(&self.view.borrow())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}
