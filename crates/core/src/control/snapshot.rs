//! Serialization of the control group's state for snapshots.

use bytes::Bytes;
use prost::Message;

use super::dedup::{DedupRecords, OrderRecord, VersionRecord};
use super::{Control, Endpoints, History, KEPT_REVISIONS, Mutation, Suspects};
use crate::bundle::Digest;
use crate::prelude::*;
use crate::wire::control as wire;

/// Version of the snapshot format. Snapshots of a higher version are rejected.
const FORMAT: u32 = 1;

/// Reason why a snapshot can't be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The bytes can't be decoded, or a part of the state is invalid.
    #[error("the control snapshot is damaged: {0}")]
    Damaged(CompactString),
    /// A newer release wrote the snapshot, in the format of this number.
    #[error("the control snapshot has format {0}, this version reads up to {FORMAT}: upgrade")]
    Format(u32),
}

impl Control {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Bytes {
        let (current, past) = self.history.to_wire();
        let mut snapshot = wire::Snapshot {
            format: FORMAT,
            current,
            past,
            versions: self.dedup.versions.iter().map(version_to_wire).collect(),
            orders: self.dedup.orders.iter().map(order_to_wire).collect(),
            floor: self.dedup.floor.as_ref().map(ToString::to_string).unwrap_or_default(),
            order_lease: self.order_lease,
            groups: self.groups.clone(),
            retiring: self.retiring.iter().map(|vm| vm.0).collect(),
            ..wire::Snapshot::default()
        };
        self.endpoints.save(&mut snapshot);
        self.suspects.save(&mut snapshot);
        snapshot.encode_to_vec().into()
    }

    /// Restores a state that [`Control::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can't be read; the replica must not serve requests then.
    pub fn restore(snapshot: &[u8]) -> Result<Control, RestoreError> {
        let snapshot = wire::Snapshot::decode(snapshot)
            .map_err(|error| RestoreError::Damaged(error.to_compact_string()))?;
        if snapshot.format > FORMAT {
            return Err(RestoreError::Format(snapshot.format));
        }
        let dedup = restore_dedup(&snapshot).ok_or_else(|| damaged("orders or versions"))?;
        let endpoints = Endpoints::load(&snapshot);
        let suspects = Suspects::load(&snapshot).ok_or_else(|| damaged("suspected requests"))?;
        let history = History::from_wire(KEPT_REVISIONS, snapshot.current, snapshot.past)
            .ok_or_else(|| damaged("revisions"))?;
        let whole = history.current().is_none_or(|now| Digest::of(&now.content) == now.digest);
        if !whole {
            return Err(damaged("the current bundle's digest"));
        }
        Ok(Control {
            history,
            dedup,
            order_lease: snapshot.order_lease,
            groups: snapshot.groups,
            endpoints,
            retiring: snapshot.retiring.into_iter().map(VmId).collect(),
            suspects,
            mutation: Mutation::None,
        })
    }
}

fn damaged(part: &str) -> RestoreError {
    RestoreError::Damaged(part.into())
}

fn version_to_wire((version, record): (&CompactString, &VersionRecord)) -> wire::VersionRecord {
    wire::VersionRecord {
        version: version.to_string(),
        digest: record.digest.to_wire(),
        revision: record.revision.0,
    }
}

fn order_to_wire((id, record): (&CompactString, &OrderRecord)) -> wire::OrderRecord {
    wire::OrderRecord {
        order_id: id.to_string(),
        fingerprint: record.fingerprint.to_wire(),
        answer: Some(record.answer.clone()),
    }
}

fn restore_dedup(snapshot: &wire::Snapshot) -> Option<DedupRecords> {
    let mut dedup = DedupRecords::default();
    for record in &snapshot.versions {
        let digest = Digest::from_wire(&record.digest)?;
        let revision = RevisionNumber(record.revision);
        dedup.versions.insert((&record.version).into(), VersionRecord { digest, revision });
    }
    for record in &snapshot.orders {
        let fingerprint = Digest::from_wire(&record.fingerprint)?;
        let answer = record.answer.clone()?;
        dedup.orders.insert((&record.order_id).into(), OrderRecord { fingerprint, answer });
    }
    if !snapshot.floor.is_empty() {
        dedup.floor = Some(snapshot.floor.parse().ok()?);
    }
    Some(dedup)
}
