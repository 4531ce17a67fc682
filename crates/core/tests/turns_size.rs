//! Size of a turn group's state in memory and in a snapshot.

mod resident;

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::{Command, Kept, Settle};
use resident::resident_bytes;

/// Number of turns that a large deployment keeps: 141 a second for 60 s of retention and 30 s of
/// grace.
const TURNS: usize = 12_690;
/// Number of turns of each program.
const PROGRAM_TURNS: usize = 5;
/// Limit on the memory of a turn without its text, in bytes.
const MAX_TURN_BYTES: u64 = 600;
/// Limit on the size of a turn in a snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 200;

fn id(turn: usize) -> String {
    format!("{:032x}-{:03}", turn as u128 * 0x9e37_79b9_7f4a_7c15, turn % 1_000)
}

fn filled(turns: usize) -> Turns {
    let mut state = Turns::default();
    for turn in 0..turns {
        let previous = if turn % PROGRAM_TURNS == 0 { String::new() } else { id(turn - 1) };
        let holders = (0..3).map(|copy| ((turn / PROGRAM_TURNS + copy) % 11 + 1) as u32);
        let kept =
            Kept { previous, retention_ms: 60_000, holders: holders.collect(), bytes: 18_400 };
        let settle = Settle { turn: id(turn), now_ms: 1, kept: Some(kept), ..Settle::default() };
        state.apply(&Command { body: Some(Body::Settle(settle)) });
    }
    state
}

/// The state must stay small for each turn, and must not contain the texts of turns.
#[test]
fn memory_of_turns() {
    // Must be the only test of this file: concurrent tests would add to the memory measured.
    let before = resident_bytes();
    let state = filled(TURNS);
    let each = (resident_bytes() - before) / TURNS as u64;
    let snapshot = state.snapshot().len() / TURNS;
    println!("a turn takes {each} bytes, {snapshot} in a snapshot");
    assert!(each <= MAX_TURN_BYTES, "a turn takes {each} bytes");
    assert!(snapshot <= MAX_SNAPSHOT_BYTES, "a turn takes {snapshot} bytes of a snapshot");
}
