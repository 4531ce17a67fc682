//! Looks at a data folder without changing it.

use std::path::Path;

use gypsumglade_core::prelude::*;
use gypsumglade_core::replication::{Ballot, Members, Position};

use super::folder;
use super::replay::{Replay, ReplayedGroup, replay};

/// Something that is wrong with a folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The file.
    pub file: CompactString,
    /// Where in the file, in bytes.
    pub offset: u64,
    /// What is wrong and what to do.
    pub text: CompactString,
}

/// One file of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// Its number.
    pub number: u32,
    /// Its length in bytes.
    pub bytes: u64,
    /// How many syncs it holds.
    pub frames: u64,
    /// Bytes of a write that was cut short; the next start removes them.
    pub torn: u64,
}

/// One group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// Its latest term and vote.
    pub term: u64,
    /// The candidate voted for in that term.
    pub vote: Option<VmId>,
    /// Where its snapshot stands.
    pub snapshot: Position,
    /// Bytes of its snapshot.
    pub length: u64,
    /// The members as of the snapshot.
    pub members: Members,
    /// Entries after the snapshot.
    pub entries: u64,
    /// The last entry.
    pub last: Position,
}

/// What a folder holds and whether it is sound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The VM whose folder it is; nothing for a folder that was never used.
    pub vm: Option<VmId>,
    /// Whether a process uses it now; the report is of one moment then.
    pub locked: bool,
    /// The files of the log.
    pub segments: Vec<SegmentReport>,
    /// The groups.
    pub groups: Vec<GroupReport>,
    /// What is wrong; a folder without findings is sound.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Tells whether a process could start on the folder.
    pub fn is_sound(&self) -> bool {
        self.findings.is_empty()
    }
}

/// Reads a whole folder and reports on it. Changes nothing, and needs no lock.
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
