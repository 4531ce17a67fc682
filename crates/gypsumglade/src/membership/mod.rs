//! VM membership over UDP datagrams.
//!
//! The protocol itself is in `gypsumglade_core::membership`. This module adds its socket, its timer
//! and the authentication of datagrams. See docs/design/membership.md.

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

/// Capacity of the queue of commands to the driver.
const COMMAND_QUEUE: usize = 64;

/// Identity of this VM, its addresses and the seeds that it contacts first.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Number of this VM.
    pub vm: VmId,
    /// Failure domain of this VM.
    pub domain: DomainId,
    /// Region of this VM.
    pub region: RegionId,
    /// Address to listen on; with port zero, the kernel chooses the port.
    pub bind: SocketAddr,
    /// Address at which others reach this VM, if it differs from `bind`.
    pub advertise: Option<SocketAddr>,
    /// Addresses contacted first; one that answers is enough.
    pub seeds: Vec<SocketAddr>,
    /// Secret that all VMs share. Without one, datagrams are accepted from any host.
    pub key: Option<ClusterKey>,
    /// Intervals and timeouts of the protocol.
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

/// Snapshot of all known VMs.
#[derive(Clone, Debug, Serialize)]
pub struct View {
    /// This VM, then the others by number.
    pub members: Vec<Member>,
    /// Event counters of the protocol.
    pub counts: core::Counts,
    /// Number of datagrams dropped because they failed authentication.
    pub strangers: u64,
}

/// Handle of the running membership task.
///
/// Dropping it stops the task without telling the other VMs; [`Handle::leave`] tells them.
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
/// Fails if the address can't be bound, or if other VMs can't reach it.
pub fn start(settings: MembershipSettings) -> anyhow::Result<Handle> {
    let socket = UdpSocket::bind(settings.bind).with_context(|| {
        format!("membership can't listen on {}: choose another address", settings.bind)
    })?;
    socket.set_nonblocking(true)?;
    let socket = tokio::net::UdpSocket::from_std(socket)?;
    let address = settings.advertise.unwrap_or(socket.local_addr()?);
    if address.ip().is_unspecified() {
        bail!("other VMs can't reach {address}: set the advertised membership address");
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

/// Converts the settings. The wall clock gives each start of the process a higher incarnation. If
/// the clock was set back, the VM learns its earlier incarnation from the others and exceeds it.
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
    /// Returns the address at which others reach this VM.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns all known VMs, this one first, including dead and departed ones.
    pub fn members(&self) -> Vec<Member> {
        self.view.borrow().members.clone()
    }

    /// Returns a receiver of the view, notified of each change.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Replaces the digest that this VM spreads, truncated to [`core::MAX_DIGEST`] bytes.
    pub async fn set_digest(&self, digest: Bytes) {
        // Fails only after this VM has left, when its digest is no longer read.
        let _ = self.commands.send(Command::SetDigest(digest)).await;
    }

    /// Tells the other VMs that this one leaves, and stops the task.
    pub async fn leave(self) {
        let (done, departed) = oneshot::channel();
        if self.commands.send(Command::Leave(done)).await.is_ok() {
            let _ = departed.await;
        }
    }

    /// Returns the current view, for a dump of the process.
    pub fn dump(&self) -> View {
        View::clone(&self.view.borrow())
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.task.abort();
    }
}
