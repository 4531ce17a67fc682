//! A simulated replica with its disk and clock.

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{
    Links, LogIndex, Members, Position, Replica, Restored, Role, Sequence, Status, Write,
};
use gypsumglade_core::wire::replication as wire;

/// Contents of a VM's disk: the restored metadata, the entries and the snapshot's state.
#[derive(Clone, Default)]
pub struct Disk {
    pub restored: Restored,
    pub entries: Vec<wire::Entry>,
    pub state: Vec<u8>,
}

pub struct Node {
    pub id: VmId,
    pub replica: Option<Replica>,
    pub links: Links,
    /// Time of the next pulses on this node's clock.
    pub pulse: Time,
    /// Clock drift as a share: 0.05 runs 5 % fast.
    pub rate: f64,
    /// Constant offset of the clock in microseconds.
    pub offset: f64,
    /// Synced contents, which survive a crash.
    pub durable: Disk,
    /// Contents as the process reads them, unsynced writes included.
    pub cached: Disk,
    pub unsynced: Vec<(Sequence, Write, Vec<u8>)>,
    pub incoming: Vec<u8>,
    pub applied: LogIndex,
    pub sync_due: Option<u64>,
}

impl Node {
    pub fn new(id: VmId, rate: f64, disk: Disk) -> Node {
        Node {
            id,
            replica: None,
            links: Links::default(),
            pulse: Time::MAX,
            rate,
            offset: 0.0,
            cached: disk.clone(),
            durable: disk,
            unsynced: Vec::new(),
            incoming: Vec::new(),
            applied: LogIndex(0),
            sync_due: None,
        }
    }

    pub fn status(&self) -> Option<Status> {
        self.replica.as_ref().map(|replica| replica.status(Time::ZERO, &self.links))
    }

    pub fn pulse_due(&self) -> Option<u64> {
        self.replica.as_ref()?;
        Some(self.true_time(self.pulse))
    }

    pub fn role(&self) -> Option<Role> {
        self.replica.as_ref().map(Replica::role)
    }

    pub fn time(&self, now: u64) -> Time {
        Time((now as f64 * (1.0 + self.rate) + self.offset) as u64)
    }

    fn true_time(&self, time: Time) -> u64 {
        ((time.0 as f64 - self.offset) / (1.0 + self.rate)) as u64 + 1
    }

    /// Returns the true time of the replica's next tick.
    pub fn deadline(&self) -> Option<u64> {
        let deadline = self.replica.as_ref()?.deadline();
        Some(self.true_time(deadline))
    }
}

impl Disk {
    pub fn apply(&mut self, write: &Write, state: &[u8]) {
        match write {
            Write::Ballot(ballot) => self.restored.ballot = *ballot,
            Write::Entries(entries) => {
                let first = entries.first().map_or(u64::MAX, |entry| entry.index);
                self.entries.retain(|entry| entry.index < first);
                let after = self.restored.snapshot.index.0;
                self.entries.extend(entries.iter().filter(|e| e.index > after).cloned());
            }
            Write::Snapshot { position, members } => {
                self.entries.clear();
                self.restored.snapshot = *position;
                self.restored.members = members.clone();
                self.state = state.to_vec();
            }
        }
    }

    /// Records a snapshot. Earlier entries stay, since the replica may still send some of them.
    pub fn compact(&mut self, position: Position, members: Members, state: &[u8]) {
        self.restored.snapshot = position;
        self.restored.members = members;
        self.state = state.to_vec();
    }

    pub fn range(&self, first: LogIndex, last: LogIndex) -> Vec<wire::Entry> {
        let inside = |e: &&wire::Entry| (first.0..=last.0).contains(&e.index);
        self.entries.iter().filter(inside).cloned().collect()
    }
}
