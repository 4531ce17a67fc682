//! Inspects a data folder without changing it.

use std::path::Path;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Ballot, Members, Position};

use super::folder;
use super::replay::{Replay, ReplayedGroup, replay};

/// A fault found in a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Name of the file.
    pub file: CompactString,
    /// Offset in the file, in bytes.
    pub offset: u64,
    /// Description of the fault, with advice on what to do.
    pub text: CompactString,
}

/// A segment file of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// Number in the file's name.
    pub number: u32,
    /// Length of the file, in bytes.
    pub bytes: u64,
    /// Number of valid frames.
    pub frames: u64,
    /// Bytes of an incomplete write at the end, which the next start removes.
    pub torn: u64,
}

/// State of one group in the folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Identifier of the group.
    pub group: GroupId,
    /// Latest term that this VM has seen.
    pub term: u64,
    /// The candidate voted for in that term.
    pub vote: Option<VmId>,
    /// Index and term of the last entry that the snapshot covers.
    pub snapshot: Position,
    /// Length of the snapshot, in bytes.
    pub length: u64,
    /// Members as of the snapshot.
    pub members: Members,
    /// Number of entries after the snapshot.
    pub entries: u64,
    /// Index and term of the last entry.
    pub last: Position,
}

/// Content and condition of a data folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The VM that owns the folder; `None` if the folder was never used.
    pub vm: Option<VmId>,
    /// Whether a process uses the folder now. The report is then a momentary view.
    pub locked: bool,
    /// Segment files of the log, in order.
    pub segments: Vec<SegmentReport>,
    /// Groups with at least one record, by identifier.
    pub groups: Vec<GroupReport>,
    /// Faults found. A folder without findings is sound.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Returns whether the folder is undamaged, so that a process can start on it.
    pub fn is_sound(&self) -> bool {
        self.findings.is_empty()
    }
}

/// Reads a whole data folder and reports its content. Changes nothing, and works on a locked folder too.
pub fn inspect(folder: &Path) -> anyhow::Result<Report> {
    let vm = folder::owner(folder)?;
    let Replay { segments, groups, findings, .. } = replay(folder)?;
    let segments = segments.iter().map(|segment| SegmentReport {
        number: segment.number,
        bytes: segment.bytes,
        frames: segment.frames,
        torn: segment.bytes - segment.valid_bytes,
    });
    Ok(Report {
        vm,
        locked: folder::is_locked(folder),
        segments: segments.collect(),
        groups: groups.iter().map(|(&id, group)| report_group(id, group)).collect(),
        findings,
    })
}

fn report_group(group: GroupId, found: &ReplayedGroup) -> GroupReport {
    let Ballot { term, vote } = found.ballot;
    GroupReport {
        group,
        term: term.0,
        vote,
        snapshot: found.snapshot,
        length: found.length,
        members: found.members.clone(),
        entries: found.entries() as u64,
        last: found.last(),
    }
}
