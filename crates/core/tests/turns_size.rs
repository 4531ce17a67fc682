//! What a turn group's state takes: memory of each turn, and bytes of a snapshot.

mod resident;

use gypsumglade_core::turns::Turns;
use gypsumglade_core::wire::turn::command::Body;
use gypsumglade_core::wire::turn::{Command, Kept, Settle};
use resident::resident_bytes;

/// Turns of a test: as many as a grown deployment keeps, 141 a second for a retention of 60 s and the
/// grace of 30 s after it.
const TURNS: usize = 12_690;
/// Turns that each program has.
const PROGRAM_TURNS: usize = 5;
/// Most memory of a turn, beside its text.
const MAX_TURN_BYTES: u64 = 600;
/// Most bytes of a turn in a snapshot.
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

/// Guards against a state that grows with more than the number of turns: a store has memory for what
/// load times retention comes to, and for nothing that a turn's text would add.
#[test]
fn memory_of_turns() {
    // The only test of this file: what runs beside it would count.
    let before = resident_bytes();
    let state = filled(TURNS);
    let each = (resident_bytes() - before) / TURNS as u64;
    let snapshot = state.snapshot().len() / TURNS;
    println!("a turn takes {each} bytes, {snapshot} in a snapshot");
    assert!(each <= MAX_TURN_BYTES, "a turn takes {each} bytes");
    assert!(snapshot <= MAX_SNAPSHOT_BYTES, "a turn takes {snapshot} bytes of a snapshot");
}
