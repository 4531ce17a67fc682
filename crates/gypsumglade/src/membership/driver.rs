//! Task that drives the membership protocol: socket, timer and the published view.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use gypsumglade_core::membership::{Effect, Input, Membership};
use gypsumglade_core::prelude::*;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use super::View;
use super::seal::{self, ClusterKey};

/// Size of the receive buffer. Longer datagrams are truncated and fail authentication.
const READ_BUFFER_BYTES: usize = 2_048;
/// Time for which changes are batched before the view is published. Each view is a copy of all
/// members, and with many VMs digests change all the time.
const PUBLISH_DELAY: Duration = Duration::from_millis(50);

/// Command from the handle to the task.
#[derive(Debug)]
pub(super) enum Command {
    /// Replaces the digest that this VM spreads.
    SetDigest(Bytes),
    /// Leaves, and signals when the other VMs have been told.
    Leave(oneshot::Sender<()>),
}

/// State of the task.
pub(super) struct Driver {
    socket: UdpSocket,
    key: Option<ClusterKey>,
    membership: Membership,
    started: Instant,
    publisher: watch::Sender<Arc<View>>,
    /// Time of the next publication, if the view has changed.
    publish_at: Option<Instant>,
    /// Number of datagrams that failed authentication.
    rejected: u64,
    departed: bool,
}

/// Event that wakes the task.
enum Event {
    Received(SocketAddr, usize),
    Command(Option<Command>),
    Due,
}

impl Driver {
    pub fn new(
        socket: UdpSocket,
        key: Option<ClusterKey>,
        membership: Membership,
        started: Instant,
        publisher: watch::Sender<Arc<View>>,
    ) -> Driver {
        Driver {
            socket,
            key,
            membership,
            started,
            publisher,
            publish_at: None,
            rejected: 0,
            departed: false,
        }
    }

    /// Runs until this VM has left or its handle is dropped.
    pub async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut leave_done = None;
        while !self.departed {
            let event = self.next_event(&mut commands, &mut buffer).await;
            match event {
                Event::Received(from, length) => self.receive(from, &buffer[..length]).await,
                Event::Due => self.tick().await,
                Event::Command(None) => return,
                Event::Command(Some(Command::SetDigest(digest))) => {
                    self.step(Input::SetDigest(digest)).await;
                    self.schedule_publish();
                }
                Event::Command(Some(Command::Leave(done))) => {
                    leave_done = Some(done);
                    self.step(Input::Leave).await;
                }
            }
        }
        self.publish();
        if let Some(done) = leave_done {
            // Fails only if the caller no longer waits.
            let _ = done.send(());
        }
    }

    async fn next_event(&self, commands: &mut mpsc::Receiver<Command>, buffer: &mut [u8]) -> Event {
        let wake = self.started + Duration::from_micros(self.membership.next_tick().0);
        let due = self.publish_at.map_or(wake, |at| at.min(wake));
        tokio::select! {
            received = self.socket.recv_from(buffer) => match received {
                Ok((length, from)) => Event::Received(from, length),
                // The kernel reports that an earlier datagram couldn't be delivered. Probes detect
                // unreachable VMs, so an empty datagram stands for the error and is ignored.
                Err(_) => Event::Received(SocketAddr::from(([0, 0, 0, 0], 0)), 0),
            },
            command = commands.recv() => Event::Command(command),
            () = tokio::time::sleep_until(due) => Event::Due,
        }
    }

    async fn receive(&mut self, from: SocketAddr, sealed: &[u8]) {
        if sealed.is_empty() {
            return;
        }
        match seal::open(self.key.as_ref(), sealed) {
            Some(bytes) => self.step(Input::Datagram { from, bytes }).await,
            None => self.rejected += 1,
        }
    }

    async fn tick(&mut self) {
        if self.publish_at.is_some_and(|at| at <= Instant::now()) {
            self.publish();
        }
        self.step(Input::Tick).await;
    }

    async fn step(&mut self, input: Input) {
        let elapsed = self.started.elapsed().as_micros();
        let now = Time(u64::try_from(elapsed).unwrap_or(u64::MAX));
        for effect in self.membership.step(now, input) {
            match effect {
                Effect::Send { to, bytes } => {
                    let sealed = seal::seal(self.key.as_ref(), bytes);
                    // A datagram that can't be sent counts as lost, which the protocol tolerates.
                    let _ = self.socket.send_to(&sealed, to).await;
                }
                Effect::Changed(_) => self.schedule_publish(),
                Effect::Departed => self.departed = true,
            }
        }
    }

    fn schedule_publish(&mut self) {
        self.publish_at.get_or_insert_with(|| Instant::now() + PUBLISH_DELAY);
    }

    fn publish(&mut self) {
        self.publish_at = None;
        let me = std::iter::once(self.membership.me().clone());
        let view = View {
            members: me.chain(self.membership.members().cloned()).collect(),
            counts: self.membership.counts(),
            strangers: self.rejected,
        };
        self.publisher.send_replace(Arc::new(view));
    }
}
