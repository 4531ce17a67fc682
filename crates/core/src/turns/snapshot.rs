//! Serialization of a turn group's state for snapshots.

use bytes::Bytes;
use prost::Message;

use super::budget::{Budgets, Usage};
use super::quota::{Account, Accounts};
use super::runs::Runs;
use super::state::Turns;
use super::tree::{Turn, TurnTree};
use crate::prelude::*;
use crate::wire::turn as wire;

/// Version of the snapshot format. Snapshots of any other version are rejected.
const FORMAT: u32 = 2;

/// Reason why a snapshot can't be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The bytes can't be decoded.
    #[error("the turn snapshot is damaged: {0}")]
    Damaged(CompactString),
    /// Another release wrote the snapshot, in the format of this number.
    #[error(
        "the turn snapshot has format {0}, this version reads {FORMAT}: run the version that \
        wrote it, or start with an empty data folder"
    )]
    Format(u32),
}

impl Turns {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Bytes {
        let programs = self.budgets.programs.iter().map(|(name, usage)| program(name, usage));
        let turns = self.tree.turns.iter().map(|(id, turn)| record(id, turn));
        let snapshot = wire::Snapshot {
            format: FORMAT,
            programs: programs.collect(),
            turns: turns.collect(),
            clock_ms: self.clock,
            accounts: self.accounts.accounts.iter().map(|(name, own)| account(name, own)).collect(),
        };
        snapshot.encode_to_vec().into()
    }

    /// Restores a state that [`Turns::snapshot`] encoded.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot can't be read; the replica must not serve requests then.
    pub fn restore(snapshot: &Bytes) -> Result<Turns, RestoreError> {
        let snapshot = wire::Snapshot::decode(snapshot.clone())
            .map_err(|error| RestoreError::Damaged(error.to_compact_string()))?;
        if snapshot.format != FORMAT {
            return Err(RestoreError::Format(snapshot.format));
        }
        let programs = snapshot.programs.into_iter().map(usage).collect();
        let turns = snapshot.turns.into_iter().map(|record| {
            let kept = record.kept.unwrap_or_default();
            (
                record.turn.to_compact_string(),
                Turn { held_until: record.held_ms, ..Turn::from_wire(&kept, record.until_ms) },
            )
        });
        let accounts = snapshot.accounts.into_iter().map(limit_use).collect();
        Ok(Turns {
            accounts: Accounts { accounts },
            budgets: Budgets { programs },
            tree: TurnTree { turns: turns.collect() },
            clock: snapshot.clock_ms,
        })
    }
}

fn record(id: &CompactString, turn: &Turn) -> wire::TurnRecord {
    wire::TurnRecord {
        turn: id.to_string(),
        kept: Some(turn.to_wire()),
        until_ms: turn.kept_until,
        held_ms: turn.held_until,
    }
}

fn program(name: &CompactString, usage: &Usage) -> wire::ProgramRecord {
    let reserved = usage.reserved.iter();
    let reserved =
        reserved.map(|(turn, most)| wire::Reservation { turn: turn.to_string(), most: *most });
    wire::ProgramRecord {
        program: name.to_string(),
        spent: usage.spent,
        reserved: reserved.collect(),
        last_ms: usage.last_ms,
        runs: usage.runs.0.clone(),
    }
}

fn usage(record: wire::ProgramRecord) -> (CompactString, Usage) {
    let reserved = record.reserved.into_iter();
    let reserved = reserved.map(|set| (set.turn.to_compact_string(), set.most)).collect();
    let runs = Runs(record.runs);
    let usage = Usage { spent: record.spent, reserved, last_ms: record.last_ms, runs };
    (record.program.to_compact_string(), usage)
}

fn account(name: &CompactString, account: &Account) -> wire::AccountRecord {
    wire::AccountRecord {
        organisation: name.to_string(),
        limit: Some(account.limit),
        slots: account.slots.iter().copied().collect(),
        programs: account.programs,
        requests: account.requests,
    }
}

fn limit_use(record: wire::AccountRecord) -> (CompactString, Account) {
    let account = Account {
        limit: record.limit.unwrap_or_default(),
        slots: record.slots.into(),
        programs: record.programs,
        requests: record.requests,
    };
    (record.organisation.to_compact_string(), account)
}
